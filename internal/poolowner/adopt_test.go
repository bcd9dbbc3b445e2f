package poolowner

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

func attempts(ids ...string) []*peerpb.Attempt {
	list := make([]*peerpb.Attempt, len(ids))
	for i, id := range ids {
		list[i] = &peerpb.Attempt{AttemptId: id, Engine: "e"}
	}
	return list
}

// Guards against a wrong initial load of a new owner. Attempts dropped before the
// majority is reached let the pool exceed its bound; ended attempts that still
// count raise the bound.
func TestAdoptedLoad(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := New(Deps{Clock: clock, Meter: &meter.Meter{}, Rand: func() float64 { return 0 }})
	defer s.Kill()
	now := clock.Now()
	a := Assignment{
		Pool:          &record.Pool{Name: "p", Type: record.PoolEngines, LoadMultiple: 1.5},
		Servers:       []Server{{Name: "e", Addr: "127.0.0.1:1", State: placement.Up, Weight: 1}},
		ListedRouters: 3, Candidate: true, LeaseEnd: now.Add(time.Minute),
	}
	checkLoad := func(want int, when string) {
		t.Helper()
		if got := s.lookup("p").admission.Stats().Engines[0].Adopted; got != want {
			t.Errorf("%s: %d attempts count as load, want %d", when, got, want)
		}
	}
	s.Assign(now, []Assignment{a})
	s.Adopt(now, "p", attempts("a", "b"), false)
	checkLoad(2, "before the majority")
	a.Owned = true
	s.Assign(now, []Assignment{a})
	checkLoad(2, "with the majority")
	s.Adopt(now, "p", attempts("b", "c"), true)
	checkLoad(2, "after the previous owner reported b and c")
	s.Adopt(now, "p", attempts("a"), false)
	checkLoad(2, "after a late report of an ended attempt")
	s.RecordAttemptEnded(now, "p", "b")
	checkLoad(1, "after the end of b")
}
