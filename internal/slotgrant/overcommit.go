package slotgrant

import (
	"math"
	"time"
)

// While a report and the next grant are on their way, the slot between them is empty. To keep it in use, the granting router
// grants ahead of the reports, in one of two ways:
//
//   - Where times in a slot hardly vary (steady), a grant whose request should have been answered by now counts as ended before
//     its report arrives: ending, bounded by inTransit.
//   - Where they vary, the age of a grant does not tell. A server may then have overcommit grants more than it has slots.

const (
	// Times are steady when their deviation, the mean absolute difference from the usual time, is at most maxDeviation of that time.
	maxDeviation = 0.15
	// A grant counts as ending endingDeviations deviations after the usual time. With three of them no server has more requests
	// than slots. From a transit share of longTransit on, longTransitDeviations are enough: with three a fifth of the capacity would be
	// lost at delays of 4 ms.
	endingDeviations      = 3
	longTransitDeviations = 1
	longTransit           = 0.08
	// minTransit is the transit share below which no grant counts as in transit.
	minTransit = 0.03
	// serverTransitShare is the time of the way to the server and back, as a share of that of a grant and its report: an answer waits for
	// the time slice of its router as a grant does, and a request is sent at once.
	serverTransitShare = 0.5
	// transitDeviations is the number of mean absolute differences that are added to the usual time in transit: a grant that is in
	// transit for longer than expected leaves a slot empty.
	transitDeviations = 2
	// maxOvercommitShare bounds the grants beyond the slots, as a share of these, and maxGrantPerSlotTime the time of a grant as a
	// multiple of the time in the slot that is derived from it.
	maxOvercommitShare  = 3
	maxGrantPerSlotTime = 4
)

// free returns the number of requests that a server may be granted now; it may be negative.
func (g *Granter) free(now time.Time, s *server) int {
	free := s.free(now)
	if !g.steady() {
		return free + g.overcommit(s)
	}
	ending, _ := s.ending(now, g.endingAge(), g.inTransit(s))
	return free + ending
}

// steady reports whether times in a slot vary so little that the age of a grant tells whether its request has ended.
func (g *Granter) steady() bool {
	return float64(g.deviation.or(0)) <= maxDeviation*float64(g.answerTime())
}

// endingAge is the age from which a grant counts as ending:
//
//	answerTime + k * deviation
//
// where k is endingDeviations, or longTransitDeviations when grants and reports are in transit for long.
func (g *Granter) endingAge() time.Duration {
	if g.transitShare() >= longTransit {
		return g.answerTime() + longTransitDeviations*g.deviation.or(0)
	}
	return g.answerTime() + endingDeviations*g.deviation.or(0)
}

// transitShare returns the share of the time from a grant to its report in which one of the two is in transit.
func (g *Granter) transitShare() float64 {
	return float64(g.SlotTime()-g.answerTime()) / float64(max(g.SlotTime(), 1))
}

// inTransit returns how many of a server's grants or reports are in transit on average, rounded up: transitShare * slots.
func (g *Granter) inTransit(s *server) int {
	if g.slotTime.n < maxSamples || g.transitShare() < minTransit {
		return 0
	}
	return int(math.Ceil(g.transitShare() * float64(s.Slots)))
}

// overcommit returns how many grants a server may have beyond its slots where times in a slot vary. By Little's law the number of
// grants in transit is the rate at which the slots take requests times the time in transit:
//
//	slots / timeInSlot * transit + queueTarget
//	outside    = grant time - request time
//	transit    = outside * (1 + serverTransitShare) + transitDeviations * deviation of outside
//	timeInSlot = request time - serverTransitShare * outside
//
// The grant time is that from a grant to its report, and the request time that of the request as its router sees it, which contains
// the way to the server and back. Both contain the wait in a queue at the server, so that such a queue lowers the result. The result
// is 0 to maxOvercommitShare * slots, and timeInSlot at least the grant time / maxGrantPerSlotTime.
func (g *Granter) overcommit(s *server) int {
	if g.grantTime.n < maxSamples {
		return 0
	}
	request, grant, slots := float64(g.requestTime.or(0)), float64(g.grantTime.or(0)), float64(s.Slots)
	outside := grant - request
	transit := max(outside, 0)*(1+serverTransitShare) + transitDeviations*float64(g.transitDeviation.or(0))
	inSlot := max(request-serverTransitShare*outside, grant/maxGrantPerSlotTime)
	return int(min(max(slots*transit/inSlot+s.queueTarget(), 0), maxOvercommitShare*slots))
}

// limit returns how many grants a server may have in use.
func (g *Granter) limit(s *server) int {
	if g.steady() {
		return s.Slots
	}
	return s.Slots + g.overcommit(s)
}

// overcommitted returns how many grants the servers may have and how long each usually lasts, where they exceed the slots.
func (g *Granter) overcommitted(now time.Time) (limit int, grantTime time.Duration, ok bool) {
	if g.steady() || g.grantTime.n < maxSamples {
		return 0, 0, false
	}
	for _, s := range g.servers {
		if s.available(now) {
			limit += g.limit(s)
		}
	}
	return limit, g.grantTime.or(0), limit > 0
}

// nextTick returns the time until Tick has to be called: at the latest when the first grant counts as ending while questions wait.
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
		inTransit := g.inTransit(s)
		if n, l := s.ending(now, age, inTransit); n < inTransit && l != nil {
			next = min(next, age-now.Sub(l.grantedAt))
		}
	}
	return max(next, minTick)
}

// learnTimes takes over the times of a request that was served.
func (g *Granter) learnTimes(now time.Time, l *lease, r *Report) {
	if r.Took <= 0 || r.Took > maxSlotTime {
		return
	}
	granted, queued := now.Sub(l.grantedAt), r.Load > l.server.Slots
	// A server with more requests than slots makes them wait, which says nothing of the time in a slot.
	if !queued {
		if g.serverTime.n > 0 {
			g.deviation.add((granted - g.SlotTime()).Abs())
		}
		g.serverTime.add(r.Took)
		g.slotTime.add(granted)
	}
	if queued && g.grantTime.n > 0 && (!g.steady() || g.deviation.n < maxSamples) {
		// What waits at a server whose grants exceed its slots varies as well, which must neither make steady times count as
		// varying nor keep them from being found steady.
		g.deviation.add((granted - g.grantTime.or(0)).Abs())
	}
	outside := granted - r.Took
	g.transitDeviation.add((outside - g.grantTime.or(outside) + g.requestTime.or(0)).Abs())
	g.requestTime.add(r.Took)
	g.grantTime.add(granted)
}
