package slotgrant

import (
	"slices"
	"testing"
)

// Guards against a note that compares with what does not hold: the ways that were not taken miss the bounds. Its table has the
// logged figures.
func TestOtherWaysToShareFewSlotsMissTheBounds(t *testing.T) {
	allocated := func(r *simRouter) bool { return slices.Index(r.sim.routers, r) < simSlots && r.own < 1 }
	rate := func(r *simRouter) bool { return r.fallback.Take(r.now(), simSlots, simRouters, simWork) }
	common := func(r *simRouter) bool { return r.sim.rng.Float64() < r.share }
	for name, admits := range map[string]func(*simRouter) bool{"slots allocated": allocated, "a rate for each": rate, "common limit": common, "now": nil} {
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
