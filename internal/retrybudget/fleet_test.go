package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// step is the resolution of the simulated time.
const step = 50 * time.Millisecond

var simulationStart = time.Unix(1000, 0)

// simulation is a fleet before servers that refuse every request, so that each request asks
// for two retries. It counts in steps what the platform counts.
type simulation struct {
	t       *rapid.T
	limits  Limits
	start   time.Time
	fleets  []*Fleet
	budgets []*Budget
	// requests and retries are those of the whole fleet in each step.
	requests, retries []int
}

func newSimulation(t *rapid.T, routers int, limits Limits) *simulation {
	s := &simulation{t: t, limits: limits, start: simulationStart}
	for range routers {
		fleet := fleetOf(routers)
		s.fleets, s.budgets = append(s.fleets, fleet), append(s.budgets, New(limits, fleet))
	}
	s.run(15*time.Second+step*time.Duration(rapid.IntRange(0, 19).Draw(t, "phase")), grownRequests, false)
	return s
}

// fleetOf returns a fleet of a number of routers.
func fleetOf(routers int) *Fleet {
	f := NewFleet()
	f.SetRouters(simulationStart, routers)
	return f
}

// now returns the time of the step that is played next.
func (s *simulation) now() time.Time { return s.start.Add(step * time.Duration(len(s.requests))) }

// run plays a time in which the fleet gets a number of requests in each step.
func (s *simulation) run(d time.Duration, requestsPerStep int, failing bool) {
	for end := s.now().Add(d); s.now().Before(end); {
		now, retries := s.now(), 0
		for i := range requestsPerStep {
			b := s.budgets[(len(s.requests)*requestsPerStep+i)%len(s.budgets)]
			b.RecordRequest(now)
			for try := 0; failing && try < 2 && b.AllowRetry(now); try++ {
				retries++
			}
		}
		s.requests, s.retries = append(s.requests, requestsPerStep), append(s.retries, retries)
	}
}

// check compares the retries of each window with the limit. The platform counts the requests
// of that window, of the one before it or of the one half a window before, whichever has most.
func (s *simulation) check() {
	s.t.Helper()
	window := int(s.limits.Window / step)
	for first := 0; first+window <= len(s.requests); first++ {
		requests := 0
		for _, from := range []int{first, first - window/2, first - window} {
			requests = max(requests, sum(s.requests, from, from+window))
		}
		retries, most := sum(s.retries, first, first+window), s.limits.Ratio*float64(requests)+s.limits.Extra
		if float64(retries) > most {
			s.t.Fatalf("%d retries in %v from %v, for %d requests; want at most %.0f", retries, s.limits.Window, step*time.Duration(first), requests, most)
		}
	}
}

func sum(counts []int, from, to int) int {
	n := 0
	for _, c := range counts[max(from, 0):max(to, 0)] {
		n += c
	}
	return n
}

// grownLimits and grownRouters are those of a large fleet, grownRequests its requests to one
// pool in a step.
var grownLimits = Limits{Ratio: 0.2, Window: 10 * time.Second, Extra: 160}

const (
	grownRouters  = 60
	grownRequests = 16
)

// Guards against a budget that counts a retry for less than a window: a fleet that spends the
// budget within a moment would spend it again before a window has passed.
func TestFleetKeepsTheBudgetInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, grownRouters, grownLimits)
		s.run(25*time.Second, grownRequests, true)
		s.check()
	})
}

// restart gives a share of the routers an empty budget, as after a restart, and the number of
// routers that they know at first.
func (s *simulation) restart(share float64, known int) {
	for i := range int(share * float64(len(s.budgets))) {
		s.fleets[i] = fleetOf(known)
		s.fleets[i].SetRestarted(s.now())
		s.budgets[i] = New(s.limits, s.fleets[i])
	}
}

// setKnown sets the number of routers that all know.
func (s *simulation) setKnown(n int) {
	for _, f := range s.fleets {
		f.SetRouters(s.now(), n)
	}
}

// Guards against routers that restart and spend once more what they had spent before, while they
// know few others.
func TestFleetKeepsTheBudgetThroughRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, grownRouters, grownLimits)
		for range rapid.IntRange(1, 3).Draw(t, "restarts") {
			s.run(step*time.Duration(rapid.IntRange(1, 100).Draw(t, "steps before")), grownRequests, true)
			s.restart(rapid.Float64Range(0.3, 1).Draw(t, "share"), 1)
			s.run(step*time.Duration(rapid.IntRange(1, 40).Draw(t, "steps alone")), grownRequests, true)
			s.setKnown(grownRouters)
		}
		s.run(15*time.Second, grownRequests, true)
		s.check()
	})
}

// Guards against a restarted router without any retries, and against one that never has its whole
// share again.
func TestRestartedRouterHasItsShareAfterAWindow(t *testing.T) {
	fleet := fleetOf(1)
	fleet.SetRestarted(simulationStart)
	b := New(Limits{Ratio: 0.2, Window: 10 * time.Second, Extra: 24}, fleet)
	for range 40 {
		b.RecordRequest(simulationStart)
	}
	if got := b.Remaining(simulationStart); got != 2 {
		t.Errorf("%v retries for 40 requests after a restart, want 2: a quarter of the ratio", got)
	}
	if got := b.Remaining(simulationStart.Add(10*time.Second + time.Millisecond)); got != 1 {
		t.Errorf("%v retries without requests a window after the restart, want the extra of 1", got)
	}
}

// Guards against routers that take more than their part of the extra because they are cut off from
// each other, or hear less of each other.
func TestFleetKeepsTheBudgetThroughPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, grownRouters, Limits{Ratio: 0.2, Window: 10 * time.Second, Extra: 1600})
		s.setKnown(rapid.IntRange(1, 20).Draw(t, "known"))
		s.run(15*time.Second, grownRequests, true)
		s.check()
	})
}

// Guards against a fleet that shares the extra with routers for good that are gone.
func TestRoutersThatAreGoneAreForgotten(t *testing.T) {
	f := fleetOf(100)
	f.SetRouters(simulationStart.Add(routersMemory), 40)
	at, limits := simulationStart.Add(routersMemory+time.Second), Limits{Extra: 250}
	if _, got := f.shares(at, limits); got != 2 {
		t.Errorf("share %v while 100 routers are remembered, want 2", got)
	}
	f.SetRouters(at, 40)
	if _, got := f.shares(at, limits); got != 5 {
		t.Errorf("share %v of 40 routers, want 5", got)
	}
}
