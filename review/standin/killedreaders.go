//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// drainBound is the bound of the rule: drainMs of the site.
	drainBound = 2 * time.Second
	// kills is how often routers are killed, and killTime the time from one to the next.
	kills    = 6
	killTime = 14 * time.Second
	// killed is the number of routers that are killed, at the same moment: 3 of 9, a share of 0.33.
	// Their processes start again after restartTime.
	killed      = 3
	restartTime = 500 * time.Millisecond
	// A server is replaced by the operators: the new one enters replaceLead before the kills, and the
	// entry of the old one goes unregisterDelay after them. It has never reported that it drains,
	// and serves on for serveOn.
	replaceLead     = 4 * time.Second
	unregisterDelay = 50 * time.Millisecond
	serveOn         = 5 * time.Second
)

// killedReaders kills three of nine routers at the same moment, while a server leaves without a
// report that it drains. The other routers are undisturbed.
func killedReaders(b *bed) ([]string, error) {
	if _, err := startFleet(b); err != nil {
		return nil, err
	}
	return repeat(kills, killTime, func(i int) ([]string, error) { return killOnce(b, b.servers[i]) })
}

// killOnce plays the disruption once and returns the requests that break the rule.
func killOnce(b *bed, leaving *server) ([]string, error) {
	if _, err := b.addServer(leaving.zone); err != nil {
		return nil, err
	}
	time.Sleep(replaceLead)
	sent := sendToAll(b, b.fleet.routers[killed:], keptKey, unregisterDelay+serveOn)
	if b.trouble {
		for _, r := range b.fleet.routers[:killed] {
			if err := b.fleet.kill(r); err != nil {
				return nil, err
			}
		}
	}
	killedAt := time.Now()
	time.Sleep(unregisterDelay)
	goneAt := leaving.unregister()
	b.rec.add("confirmed that server %s is gone", leaving.id)
	if b.trouble {
		time.Sleep(time.Until(killedAt.Add(restartTime)))
		for _, r := range b.fleet.routers[:killed] {
			if err := b.fleet.restart(r); err != nil {
				return nil, err
			}
		}
	}
	list := <-sent
	leaving.listener.Close()
	return judgeDrained(b, leaving, goneAt, list), nil
}

// judgeDrained returns the requests that reached a server later than drainBound after the confirmation
// that it leaves or is gone. All were sent to routers that nothing has disturbed.
func judgeDrained(b *bed, leaving *server, confirmedAt time.Time, sent []request) []string {
	var broken []string
	for _, q := range sent {
		for _, x := range b.runs.of(q.id) {
			if late := x.at.Sub(confirmedAt); x.server == leaving.id && late > drainBound {
				broken = append(broken, fmt.Sprintf("request %s, sent to %s, reached server %s %d ms after the confirmation that it leaves, ran and got %d",
					q.id, q.router.name, x.server, late.Milliseconds(), q.status))
			}
		}
	}
	return broken
}
