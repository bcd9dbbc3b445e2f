package slotgrant

import (
	"net/netip"
	"time"
)

const (
	// leaseTime is how long a grant is kept for a router that is not heard. A lost report costs less than that, since the granting
	// router probes grants that last longer than usual, and a request may take longer.
	leaseTime = 500 * time.Millisecond
	// probeAfter is the age, as a multiple of the usual one, from which a grant is probed every probeInterval.
	probeAfter    = 2
	probeInterval = 60 * time.Millisecond
	// defaultSlotTime is the time in a slot before any is known.
	defaultSlotTime = 40 * time.Millisecond
	// maxSlotTime bounds a time in a slot that a router reports.
	maxSlotTime = 30 * time.Second
	// maxLoadPerSlot bounds the load that a server may report: with 6 slots one was seen with 30 requests. A false report must
	// not keep its slots empty.
	maxLoadPerSlot = 8
)

// lease is a grant in use.
type lease struct {
	key       leaseKey
	server    *server
	grantedAt time.Time
	// heardAt is when its router has last said that it is in use, and probedAt when it was last asked.
	heardAt, probedAt time.Time
}

// report records what became of a grant.
func (g *Granter) report(now time.Time, from netip.Addr, r *Report) {
	key := leaseKey{from, r.Number}
	l := g.leases[key]
	if l == nil {
		if r.End != Running {
			g.queue.remove(key)
		}
		return
	}
	if r.End == Running {
		l.heardAt = now
		return
	}
	g.release(key, l)
	l.server.recordEnd(now, r.End)
	if until := l.grantedAt.Add(g.SlotTime()); (r.End == Failed || r.End == Abandoned) && now.Before(until) {
		l.server.foreign = append(l.server.foreign, until)
	}
	g.learn(now, l, r)
}

func (g *Granter) release(key leaseKey, l *lease) {
	delete(g.leases, key)
	l.server.remove(l)
}

// learn takes over what a report says of the time in a slot, and of requests at the server that were not granted here.
func (g *Granter) learn(now time.Time, l *lease, r *Report) {
	if r.End == Served {
		g.learnTimes(now, l, r)
	}
	if r.Load > 0 && r.Load <= maxLoadPerSlot*l.server.Slots {
		l.server.adjustQueueTarget(r.Load > l.server.Slots)
		// The server counted the request of the report as well, whose grant has ended now.
		l.server.setForeign(now, r.Load-1-len(l.server.leases), g.answerTime())
	}
}

// checkLease ends a grant whose router is not heard, and probes one that is at least as old as old.
func (g *Granter) checkLease(now time.Time, l *lease, old time.Duration, out *Outbox) {
	switch {
	case now.Sub(l.heardAt) >= leaseTime:
		g.release(l.key, l)
		g.counts.Expired++
	case now.Sub(l.grantedAt) >= old && now.Sub(l.probedAt) >= probeInterval && now.Sub(l.heardAt) >= probeInterval:
		l.probedAt = now
		g.counts.Probed++
		m := out.to(l.key.router, g.term)
		m.Probes = append(m.Probes, l.key.number)
	}
}
