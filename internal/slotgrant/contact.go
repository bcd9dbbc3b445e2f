package slotgrant

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// pingRepeat is the time after which a ping without an answer is sent again. With a single one a lost datagram would
	// make a second router grant. A router is silent after maxAnswerTimeout without an answer.
	pingRepeat = 25 * time.Millisecond
	// pingInterval is the time between two pings of a router that did not answer.
	pingInterval = 500 * time.Millisecond
	// recentlyHeard is how long a router counts as granting after its last message, and aliveAfter how long one that may have to
	// take its place counts as alive.
	recentlyHeard = 150 * time.Millisecond
	aliveAfter    = 10 * time.Second
	// ownFindingTime is how long this router's own finding that another one is silent outweighs an answer which names that one as
	// the granting router.
	ownFindingTime = 200 * time.Millisecond
)

// contact is what is known of a router that grants or may do so.
type contact struct {
	heardAt time.Time
	// pingedAt is when it was pinged, repeatedAt when that ping was last sent, and pingWaits is set until it answers.
	pingedAt, repeatedAt time.Time
	pingWaits            bool
	// silent is set when it has not answered in time, at silentAt; reported when this was concluded from the message of a router that
	// grants in its place.
	silent, reported bool
	silentAt         time.Time
}

func (c *contact) setSilent(now time.Time) {
	if !c.silent {
		c.silentAt = now
	}
	c.silent, c.reported = true, false
}

// Choose returns the first candidate that is not known to be silent; the zero address means none. While the first candidate is
// silent, all silent ones are pinged, so that they are asked again when they are back, and the others that were not heard for
// aliveAfter as well: many routers may have ended together, and each would cost a request the time in which it does not answer.
func (a *Asker) Choose(now time.Time, candidates []netip.Addr, out *Outbox) netip.Addr {
	for addr := range a.contacts {
		if !slices.Contains(candidates, addr) && addr != a.first {
			delete(a.contacts, addr)
		}
	}
	var chosen netip.Addr
	for _, addr := range candidates {
		silent := addr != a.self && a.contact(addr).silent
		switch {
		case silent:
			a.ping(now, addr, out)
		case addr == candidates[0]:
			return addr
		case !chosen.IsValid():
			chosen = addr
		default:
			a.Check(now, addr, aliveAfter, out)
		}
	}
	return chosen
}

// Silent reports whether a router has not answered.
func (a *Asker) Silent(addr netip.Addr) bool {
	c := a.contacts[addr]
	return c != nil && c.silent
}

// Check pings a router that was not heard for a time.
func (a *Asker) Check(now time.Time, addr netip.Addr, unheard time.Duration, out *Outbox) {
	if addr != a.self && now.Sub(a.contact(addr).heardAt) >= unheard {
		a.ping(now, addr, out)
	}
}

func (a *Asker) ping(now time.Time, addr netip.Addr, out *Outbox) {
	c := a.contact(addr)
	if c.pingWaits && !c.silent || now.Sub(c.pingedAt) < pingInterval && c.silent {
		return
	}
	c.pingedAt, c.repeatedAt, c.pingWaits = now, now, true
	out.to(addr, a.term).Ping = true
}

// awaitPing repeats the ping of a router that does not answer, since datagrams are lost, and considers it silent in the end.
func (a *Asker) awaitPing(now time.Time, addr netip.Addr, c *contact, out *Outbox) {
	switch {
	case !c.pingWaits || c.silent:
	case now.Sub(c.pingedAt) >= maxAnswerTimeout:
		c.setSilent(now)
	case now.Sub(c.repeatedAt) >= pingRepeat:
		c.repeatedAt = now
		out.to(addr, a.term).Ping = true
	}
}

func (a *Asker) contact(addr netip.Addr) *contact {
	c := a.contacts[addr]
	if c == nil {
		c = &contact{}
		a.contacts[addr] = c
	}
	return c
}

// Follow considers the candidates before the router granting, which says that it grants, silent. Questions that wait for their answers
// are sent to granting.
func (a *Asker) Follow(now time.Time, candidates []netip.Addr, granting netip.Addr, out *Outbox) {
	n := slices.Index(candidates, granting)
	for _, addr := range candidates[:max(n, 0)] {
		if addr == a.self {
			continue
		}
		c := a.contact(addr)
		c.setSilent(now)
		c.reported, c.pingedAt = true, now
		for _, number := range a.numbers() {
			p := a.pending[number]
			if p.to == addr {
				p.to, p.waitsSince = granting, now
				a.send(now, p, out)
			}
		}
	}
}

// foundSilent reports whether this router has found out itself, within ownFindingTime, that another one is silent.
func (a *Asker) foundSilent(now time.Time, addr netip.Addr) bool {
	c := a.contact(addr)
	return c.silent && !c.reported && now.Sub(c.silentAt) < ownFindingTime
}

// FirstSilent returns the silent router with the lowest address; the zero address when there is none.
func (a *Asker) FirstSilent() netip.Addr {
	var first netip.Addr
	for addr, c := range a.contacts {
		if c.silent && (!first.IsValid() || addr.Less(first)) {
			first = addr
		}
	}
	return first
}
