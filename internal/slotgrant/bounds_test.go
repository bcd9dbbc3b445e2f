package slotgrant

import (
	"fmt"
	"testing"
	"time"
)

// mid is when something happens in the middle of a simulation.
const mid = 8 * time.Second

// forLoads runs a test for loads of 0.85 and 1.75 of a server that gets slower with more requests than slots.
func forLoads(t *testing.T, f func(t *testing.T, load float64)) {
	for _, load := range []float64{0.85, 1.75} {
		t.Run(fmt.Sprintf("load %.2f", load), func(t *testing.T) { f(t, load) })
	}
}

func (s *sim) check() {
	s.t.Helper()
	s.log()
	if s.load < 1 {
		s.checkUnderload()
	} else {
		s.checkOverload()
	}
}

// Guards against routers that together send a server more than its slots, and so let a queue form there that does not drain,
// and against slots that stay empty while requests wait.
func TestFewSlotsAreUsedUnderLoad(t *testing.T) {
	forLoads(t, func(t *testing.T, load float64) {
		for _, slower := range []bool{true, false} {
			for _, lost := range []float64{0, 0.01} {
				t.Run(fmt.Sprintf("slower %v, lost %.2f", slower, lost), func(t *testing.T) {
					s := newSim(t, simCase{load: load, slower: slower, lost: lost})
					s.run()
					s.check()
					most := simSlots
					if lost > 0 {
						// A grant that is lost may be taken for one that ends.
						most++
					}
					if s.result.mostInside > most {
						t.Errorf("%d requests at a server of %d slots", s.result.mostInside, simSlots)
					}
				})
			}
		}
	})
}

// Guards against a model in which nothing goes wrong: without grants it shows what was measured with real routers.
func TestFewSlotsWithoutGrants(t *testing.T) {
	for _, slower := range []bool{true, false} {
		s := newSim(t, simCase{load: 1.75, slower: slower, without: true})
		s.run()
		s.log()
		if s.result.mostInside < simSlots+simRoom {
			t.Errorf("at most %d requests at the server, want it full", s.result.mostInside)
		}
	}
}

// Guards against a granting router that takes long to learn what it needs after a restart of all routers, and one that overfills
// the server with what it does not know of.
func TestFewSlotsAfterARestartOfAll(t *testing.T) {
	forLoads(t, func(t *testing.T, load float64) {
		s := newSim(t, simCase{load: load, slower: true, lost: 0.01})
		s.disturbed = true
		s.countFrom = mid
		s.at(mid, func() {
			for _, r := range s.routers {
				r.start(false)
			}
		})
		s.run()
		s.check()
	})
}

// Guards against a kill of the granting router after which the others flood the server, or nobody grants.
func TestFewSlotsWhenTheGrantingRouterIsKilled(t *testing.T) {
	forLoads(t, func(t *testing.T, load float64) {
		s := newSim(t, simCase{load: load, slower: true, lost: 0.01})
		s.disturbed = true
		s.countFrom = mid - time.Second
		s.at(mid, func() { s.routers[0].dead = true })
		s.run()
		s.check()
		if !s.routers[1].endpoint.Granter.Active() {
			t.Error("the next router does not grant")
		}
	})
}

// Guards against a kill of most routers after which those that are left ask one dead router after the other.
func TestFewSlotsWhenMostRoutersAreKilled(t *testing.T) {
	forLoads(t, func(t *testing.T, load float64) {
		s := newSim(t, simCase{load: load, slower: true, lost: 0.01})
		s.disturbed = true
		s.countFrom = mid - time.Second
		s.at(mid, func() {
			for i, r := range s.routers {
				r.dead = i < 5 || i%5 >= 2
			}
		})
		granting := time.Duration(0)
		var look func()
		look = func() {
			if s.routers[5].endpoint.Granter.Active() {
				granting = s.now - mid
				return
			}
			s.after(10*time.Millisecond, look)
		}
		s.at(mid, look)
		s.run()
		s.check()
		t.Logf("the next live router grants after %v", granting)
		if granting == 0 || granting > time.Second {
			t.Errorf("the next live router grants after %v, want a second at most", granting)
		}
	})
}

// Guards against a granting router that was frozen, and grants on what it knew before beside the one that has taken its place.
func TestFewSlotsWhenTheGrantingRouterIsFrozen(t *testing.T) {
	const freeze = 2 * time.Second
	forLoads(t, func(t *testing.T, load float64) {
		s := newSim(t, simCase{load: load, slower: true, lost: 0.01})
		s.disturbed = true
		s.countFrom = mid - time.Second
		s.at(mid, func() { s.routers[0].freeze(freeze) })
		s.at(mid+freeze-time.Millisecond, func() { s.result.mostInside = 0 })
		s.run()
		s.check()
		if most := s.result.mostInside; most > 2*simSlots {
			t.Errorf("%d requests at the server after the freeze, want at most the slots of two routers that grant", most)
		}
		if !s.routers[0].endpoint.Granter.Active() || s.routers[1].endpoint.Granter.Active() {
			t.Error("the first router does not grant again")
		}
	})
}

// Guards against slots that wait for their next request where datagrams take up to 8 ms and request times vary, so that the server
// answers less than it would if every router sent its requests at once.
func TestFewSlotsWithSlowDatagramsAndVaryingTimes(t *testing.T) {
	forLoads(t, func(t *testing.T, load float64) {
		for _, unstated := range []bool{false, true} {
			t.Run(fmt.Sprintf("load unstated %v", unstated), func(t *testing.T) {
				c := simCase{load: load, varying: true, uniform: true, delay: 8 * time.Millisecond, unstated: unstated}
				s := newSim(t, c)
				s.run()
				s.log()
				c.without = true
				before := newSim(t, c)
				before.run()
				before.log()
				if load < 1 {
					s.checkUnderload()
					return
				}
				s.checkUse()
				if within := s.result.rejectedWithin(0.85); within > 2*c.delay {
					t.Errorf("0.85 of the rejections came within %v, want them after a question and its answer", within)
				}
				if s.result.value() <= before.result.value() {
					t.Errorf("value %.3f, want more than %.3f without grants", s.result.value(), before.result.value())
				}
			})
		}
	})
}

// Guards against slots that are empty while callers are rejected: routers with little processor time read some datagrams and answers
// up to 80 ms late, few of the 40 workspaces keep within their usual share, and callers come back.
func TestFewSlotsWithStalledRoutersAndReturningCallers(t *testing.T) {
	for _, load := range []float64{1, 1.75} {
		t.Run(fmt.Sprintf("load %.2f", load), func(t *testing.T) {
			c := simCase{load: load, varying: true, stalls: true, mixed: true, returns: true, unstated: true}
			s := newSim(t, c)
			s.run()
			s.log()
			c.without = true
			before := newSim(t, c)
			before.run()
			before.log()
			// At a load of 1 the server's own queue is as good, and the way of grants costs a little.
			want := 0.97 * before.result.value()
			if load > 1 {
				want = 1.1 * before.result.value()
			}
			if s.result.value() <= want {
				t.Errorf("value %.3f, want more than %.3f, with %.3f without grants", s.result.value(), want, before.result.value())
			}
			if load > 1 && s.busyShare() < 0.95 {
				t.Errorf("the slots are in use for %.3f of the time, want 0.95", s.busyShare())
			}
		})
	}
}
