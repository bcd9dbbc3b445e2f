package digest

import (
	"testing"
	"time"
)

// heardBy makes a router hear others, each of which hears some routers.
func heardBy(p *Peers, now time.Time, routers int64, hears map[int][]int) {
	for n, others := range hears {
		m := &Message{Sender: uint64(n), Routers: routers, Heard: []uint16{}}
		for _, other := range others {
			m.Heard = append(m.Heard, shortAddrHash(addr(other)))
		}
		p.RecordMessage(now, addr(n), m)
	}
	p.senders = nil
}

// soleOf returns how many of 200 servers have the router as their sole sender.
func soleOf(p *Peers, now time.Time) int {
	n := 0
	for server := range uint64(200) {
		if p.Share(now, server).Sole {
			n++
		}
	}
	return n
}

// Guards against a router that sends to a cold server beside another one: before it has run for long enough, while it hears
// few of those that it or others knew, while few hear it, or while others hear one that comes before it.
func TestSoleSenderNeedsAMajority(t *testing.T) {
	started := time.Unix(1_000_000, 0)
	now := started.Add(liveTimeoutPeriods * minPeriod)
	all := map[int][]int{2: {1, 3, 4, 5}, 3: {1, 2, 4, 5}, 4: {1, 2, 3, 5}, 5: {1, 2, 3, 4}}
	for _, c := range []struct {
		name    string
		at      time.Time
		routers int64
		hears   map[int][]int
		some    bool
	}{
		{"all hear each other", now, 5, all, true},
		{"just started", now.Add(-time.Millisecond), 5, all, false},
		{"most known routers are not heard", now, 10, all, false},
		{"most others do not hear it", now, 5, map[int][]int{2: {1, 3, 4, 5}, 3: {2, 4, 5}, 4: {2, 3, 5}, 5: {2, 3, 4}}, false},
		{"two do not hear it", now, 5, map[int][]int{2: {1, 3, 4, 5}, 3: {1, 2, 4, 5}, 4: {2, 3, 5}, 5: {2, 3, 4}}, true},
		{"others of an earlier build do not say whom they hear", now, 0, nil, false},
	} {
		p := NewPeers(addr(1), nil)
		p.since = started
		for n := 2; n <= 5; n++ {
			p.RecordMessage(c.at, addr(n), &Message{Sender: uint64(n)})
		}
		heardBy(p, c.at, c.routers, c.hears)
		if n := soleOf(p, c.at); (n > 0) != c.some {
			t.Errorf("%s: sole sender of %d servers, want some: %v", c.name, n, c.some)
		}
	}
	heard, named := NewPeers(addr(1), nil), NewPeers(addr(1), nil)
	heard.since, named.since = started, started
	heardBy(heard, now, 5, all)
	// Router 5 is heard by the others only.
	heardBy(named, now, 5, map[int][]int{2: all[2], 3: all[3], 4: all[4]})
	if a, b := soleOf(heard, now), soleOf(named, now); a != b || a == 0 {
		t.Errorf("sole sender of %d servers, and of %d when one is heard by others only, want the same number", a, b)
	}
}

// Guards against routers that leave their cold servers alone since another one was restarted or has stopped as planned.
func TestRestartsAndPlannedStopsKeepTheMajority(t *testing.T) {
	started := time.Unix(1_000_000, 0)
	now := started.Add(liveTimeoutPeriods * minPeriod)
	p := NewPeers(addr(1), nil)
	p.since = started
	heardBy(p, now, 5, map[int][]int{2: {1}, 3: {1}, 4: {1}, 5: {1}})
	for n := 2; n <= 5; n++ {
		p.RecordMessage(now, addr(n), &Message{Sender: uint64(100 + n)})
	}
	p.senders = nil
	if soleOf(p, now) == 0 {
		t.Error("no sender after the others were restarted")
	}
	p.RecordMessage(now, addr(3), &Message{Sender: 103, Heard: []uint16{}, Routers: 5})
	p.RecordMessage(now, addr(4), &Message{Sender: 104, Heard: []uint16{}, Routers: 5})
	p.RecordMessage(now, addr(5), &Message{Sender: 105, Heard: []uint16{}, Routers: 5})
	p.senders = nil
	if soleOf(p, now) > 0 {
		t.Error("sender although the restarted routers say that they do not hear this one")
	}
	p = NewPeers(addr(1), nil)
	p.since = started
	heardBy(p, now, 0, map[int][]int{2: {1}, 3: {1}, 4: {1}, 5: {1}})
	soleOf(p, now)
	for n := 3; n <= 5; n++ {
		p.RecordMessage(now, addr(n), &Message{Sender: uint64(n), Stopping: true})
	}
	p.senders = nil
	if soleOf(p, now) == 0 {
		t.Error("no sender after most routers have stopped as planned")
	}
}

// Guards against a router that is taken for one that hears nobody because it has just started, and against routers that
// agree by short hashes although they are the same.
func TestRouterSaysWhomItHears(t *testing.T) {
	started := time.Unix(1_000_000, 0)
	p := NewPeers(addr(1), nil)
	p.since = started
	p.RecordMessage(started, addr(2), &Message{Sender: 2})
	if heard, _ := p.hearing(started); heard != nil {
		t.Errorf("says at once that it hears %v", heard)
	}
	heard, routers := p.hearing(started.Add(minPeriod))
	if len(heard) != 1 || heard[0] != shortAddrHash(addr(2)) || routers != 2 {
		t.Errorf("hears %v of %d, want the other one of 2", heard, routers)
	}
	p.tracked[addr(2)].hash = addrHash(addr(1))
	p.tracked[addr(2)].Addr = addr(0)
	p.tracked[addr(2)].hearsSelf = true
	p.RecordMessage(started.Add(liveTimeoutPeriods*minPeriod), addr(2), &Message{Sender: 2})
	if p.senders = nil; soleOf(p, started.Add(liveTimeoutPeriods*minPeriod)) > 0 {
		t.Error("sender beside an earlier one with the same short hash")
	}
}
