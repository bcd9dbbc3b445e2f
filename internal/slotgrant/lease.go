package slotgrant

import (
	"math"
	"net/netip"
	"time"
)

// lease is a grant in use.
type lease struct {
	key       leaseKey
	server    *server
	grantedAt time.Time
	// heardAt is when its router has last said that it is in use, and probedAt when it was last asked.
	heardAt, probedAt time.Time
}

// free returns the free slots of a server; it may be negative. As many grants as reports and grants are on the way on average
// count as free: their slots would else be empty for the time of both. Where times in a slot hardly vary these are the ones whose
// requests should have been answered by now.
func (g *Granter) free(now time.Time, s *server) int {
	free, overlap := s.free(now), g.overlap(s)
	if overlap == 0 || !g.steady() {
		return free + overlap
	}
	ending, _ := s.ending(now, g.endingAge(), overlap)
	return free + ending
}

// endingAge is the age from which a grant counts as ending.
func (g *Granter) endingAge() time.Duration {
	if g.onTheWay() >= longOnTheWay {
		return g.answerTime() + endingDeviationsAtFar*g.deviation.or(0)
	}
	return g.answerTime() + endingDeviations*g.deviation.or(0)
}

// onTheWay returns the share of the time of a grant in which it and its report are on the way.
func (g *Granter) onTheWay() float64 {
	return float64(g.SlotTime()-g.answerTime()) / float64(max(g.SlotTime(), 1))
}

// steady reports whether times in a slot vary so little that the age of a grant tells whether its request has ended.
func (g *Granter) steady() bool {
	return float64(g.deviation.or(0)) <= maxDeviation*float64(g.answerTime())
}

// overlap returns how many grants of a server are on the way to it or back, and not in a slot.
func (g *Granter) overlap(s *server) int {
	if g.slotTime.n < maxSamples || g.onTheWay() < minOnTheWay {
		return 0
	}
	if g.steady() {
		return int(math.Ceil(g.onTheWay() * float64(s.Slots)))
	}
	return int(math.Round(g.onTheWay() * float64(s.Slots)))
}

// nextTick returns when Tick has to be called.
func (g *Granter) nextTick(now time.Time) time.Duration {
	next := tickInterval
	if len(g.queue.list) == 0 {
		return next
	}
	age := g.endingAge()
	if !g.steady() {
		return next
	}
	for _, s := range g.servers {
		overlap := g.overlap(s)
		if n, l := s.ending(now, age, overlap); n < overlap && l != nil {
			next = min(next, age-now.Sub(l.grantedAt))
		}
	}
	return max(next, minTick)
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
	// A server with more requests than slots makes them wait, which says nothing of the time in a slot.
	if r.End == Served && r.Took > 0 && r.Took <= maxSlotTime && r.Load <= l.server.Slots {
		if g.serverTime.n > 0 {
			g.deviation.add((now.Sub(l.grantedAt) - g.SlotTime()).Abs())
		}
		g.serverTime.add(r.Took)
		g.slotTime.add(now.Sub(l.grantedAt))
	}
	if r.Load > 0 && r.Load <= maxLoadPerSlot*l.server.Slots {
		// The server counted the request of the report as well, whose grant has ended now.
		l.server.setForeign(now, r.Load-1-len(l.server.leases), g.answerTime())
	}
}

// checkLease ends a grant whose router is not heard, and asks about one of an age.
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
