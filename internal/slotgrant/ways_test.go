package slotgrant

import (
	"slices"
	"testing"
	"time"
)

// Guards against a note that compares with what does not hold: the ways that were not taken miss the bounds. Its table has the
// logged figures.
func TestOtherWaysToShareFewSlotsMissTheBounds(t *testing.T) {
	allocated := func(q *simRequest) bool {
		return slices.Index(q.router.sim.routers, q.router) < simSlots && q.router.own < 1
	}
	rate := func(q *simRequest) bool { return q.router.fallback.Take(q.router.now(), simSlots, simRouters, simWork) }
	common := func(q *simRequest) bool { return q.router.sim.rng.Float64() < q.router.share }
	for name, admits := range map[string]func(*simRequest) bool{"slots allocated": allocated, "a rate for each": rate, "common limit": common, "now": nil} {
		missed := false
		for _, load := range []float64{0.85, 1.75} {
			for _, slower := range []bool{true, false} {
				s := newSim(t, simCase{load: load, slower: slower, admits: admits, without: admits == nil})
				s.adaptShares()
				s.run()
				t.Logf("%s, load %.2f, slower %v", name, load, slower)
				s.log()
				r := &s.result
				missed = missed || load < 1 && r.share(r.rejected+r.refusedByServer) > 0.02 || load > 1 && s.used() < 0.9
			}
		}
		if !missed {
			t.Errorf("%s keeps the bounds", name)
		}
	}
}

// adaptShares lets each router lower the share of its requests that it sends while the loads in the digests exceed the slots, and
// raise it otherwise.
func (s *sim) adaptShares() {
	var adapt func()
	adapt = func() {
		for _, r := range s.routers {
			switch {
			case r.share == 0:
				r.share = 1
			case r.loads > simSlots:
				r.share = max(r.share*float64(simSlots)/float64(r.loads), 0.02)
			default:
				r.share = min(r.share*1.15, 1)
			}
		}
		s.after(simReport, adapt)
	}
	s.at(0, adapt)
}

const (
	// delayTarget is the time at the server that the routers of a trial aim at, and delayGain the part of the difference by which they change what they
	// send, each simReport.
	delayTarget = 90 * time.Millisecond
	delayGain   = 0.1
)

// boundByDelays lets each router bound the share of its requests that it sends by the times that all have seen at the server, those of
// the report before the last.
func (s *sim) boundByDelays() {
	var sum, n, reported float64
	s.onEnd = func(q *simRequest, end End) {
		if end == Served {
			sum += (s.now - q.sentAt).Seconds()
			n++
		}
	}
	var adapt func()
	adapt = func() {
		for _, r := range s.routers {
			switch {
			case r.share == 0:
				r.share = 1
			case reported > 0:
				r.share *= 1 + delayGain*max(1-reported/delayTarget.Seconds(), -1)
				r.share = min(max(r.share, 0.05), 1)
			}
		}
		reported = 0
		if n > 0 {
			reported = sum / n
		}
		sum, n = 0, 0
		s.after(simReport, adapt)
	}
	s.at(0, adapt)
}

// Guards against a note that compares with what does not hold: a bound by delays, which needs no datagrams, is better than none and worse than
// grants where requests arrive faster than the slots take them, but for servers that get slower with more requests.
func TestBoundByDelays(t *testing.T) {
	for _, c := range []simCase{
		{load: 1}, {load: 1.75}, {load: 1, stalls: true}, {load: 1.75, stalls: true}, {load: 0.85, slower: true}, {load: 1.75, slower: true},
	} {
		c.varying, c.mixed, c.returns, c.unstated = true, true, true, true
		c.uniform, c.delay = true, 8*time.Millisecond
		values := map[string]float64{}
		for _, way := range []string{"as before", "bound by delays", "granted"} {
			c := c
			c.without = way == "as before"
			if way == "bound by delays" {
				c.admits = func(q *simRequest) bool { return q.router.sim.rng.Float64() < q.router.share }
			}
			s := newSim(t, c)
			if c.admits != nil {
				s.boundByDelays()
			}
			s.run()
			t.Logf("%s, load %.2f, stalls %v, slower %v", way, c.load, c.stalls, c.slower)
			s.log()
			values[way] = s.result.value()
		}
		if c.load > 1 && (values["bound by delays"] <= values["as before"] || values["granted"] <= values["bound by delays"]) {
			t.Errorf("load %.2f, stalls %v, slower %v: values %v", c.load, c.stalls, c.slower, values)
		}
	}
}
