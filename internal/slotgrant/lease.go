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

// free returns the number of requests that a server may be granted now; it may be negative. As many grants as reports and grants
// are on the way on average are granted beyond the slots, which would else be empty for the time of both. Where times in a slot
// hardly vary these are the ones whose requests should have been answered by now, so that none waits at the server.
func (g *Granter) free(now time.Time, s *server) int {
	free := s.free(now)
	if !g.steady() {
		return free + g.beyondSlots(s)
	}
	ending, _ := s.ending(now, g.endingAge(), g.overlap(s))
	return free + ending
}

// beyondSlots returns how many grants a server may have beyond its slots where times in a slot vary. By Little's law the number of
// requests on their way is the rate of the slots times the time on the way. That time is what a grant lasts longer than its request, and half as
// much again for the way to the server and back, which the time of the request contains; and wayDeviations usual differences from it,
// since grants that are on the way for long leave slots empty. A queue at the server lengthens the time of requests and so lowers the number.
func (g *Granter) beyondSlots(s *server) int {
	if g.held.n < maxSamples {
		return 0
	}
	took, held, slots := float64(g.took.or(0)), float64(g.held.or(0)), float64(s.Slots)
	way := max(held-took, 0)*(1+serverWayShare) + wayDeviations*float64(g.wayDeviation.or(0))
	inSlot := max(took-serverWayShare*(held-took), held/maxHeldPerSlotTime)
	return int(min(max(slots*way/inSlot+s.margin(), 0), maxBeyondShare*slots))
}

// limit returns how many grants a server may have in use.
func (g *Granter) limit(s *server) int {
	if g.steady() {
		return s.Slots
	}
	return s.Slots + g.beyondSlots(s)
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
	return int(math.Ceil(g.onTheWay() * float64(s.Slots)))
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
	if r.End == Served && r.Took > 0 && r.Took <= maxSlotTime {
		if r.Load > l.server.Slots && g.held.n > 0 && (!g.steady() || g.deviation.n < maxSamples) {
			// What waits at a server whose grants exceed its slots varies as well, which must neither make steady times count as
			// varying nor keep them from being found steady.
			g.deviation.add((now.Sub(l.grantedAt) - g.held.or(0)).Abs())
		}
		way := now.Sub(l.grantedAt) - r.Took
		g.wayDeviation.add((way - g.held.or(way) + g.took.or(0)).Abs())
		g.took.add(r.Took)
		g.held.add(now.Sub(l.grantedAt))
	}
	if r.Load > 0 && r.Load <= maxLoadPerSlot*l.server.Slots {
		l.server.adjustMargin(r.Load > l.server.Slots)
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
