package registry

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// Guards against a server that has left and gets requests again, because the first list of
// an era has a later incarnation than any that was seen here: the record of its removal may
// have hidden that incarnation, as only the newest record of a key is applied. It is
// used when it is written again, as each live server does.
func TestLaterIncarnationInTheFirstListOfAnEraMayHaveLeft(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{inEra(4, 90, readyEntry("a", 5))}, time.Time{})
	// Records 91 to 99 had the start of incarnation 7.
	r.Apply(start, []Entry{inEra(4, 100, Entry{ID: "a"})}, time.Time{})
	r.Replace(start, []Entry{inEra(5, 10, readyEntry("a", 7))}, logpos.Position{Era: 5, Offset: 20}, time.Time{})
	if got := r.state("a"); got != "gone" {
		t.Errorf("%s after the list, want gone", got)
	}
	r.Apply(start, []Entry{inEra(5, 20, readyEntry("a", 7))}, time.Time{})
	if got := r.state("a"); got != "ready" {
		t.Errorf("%s after its next record, want ready", got)
	}
}

// Guards against a removal that only a second list of an era shows and that is not passed
// on, because it changes nothing for a router that knew it before the era: one that has
// the entry of the copy would keep it.
func TestRemovalFoundByASecondListIsReported(t *testing.T) {
	later := logpos.Position{Era: 5, Offset: 30}
	for _, c := range []struct {
		name   string
		known  Entry
		listed []Entry
		second []Entry
		want   bool
	}{
		{"known as gone, in the copy", Entry{ID: "a"}, []Entry{inEra(5, 10, readyEntry("a", 1))}, nil, true},
		{"still listed", Entry{ID: "a"}, []Entry{inEra(5, 10, readyEntry("a", 1))}, []Entry{inEra(5, 10, readyEntry("a", 1))}, false},
		{"not in the copy", Entry{ID: "a"}, nil, nil, false},
		{"known as ready", readyEntry("a", 1), []Entry{inEra(5, 10, readyEntry("a", 1))}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Apply(start, []Entry{inEra(4, 1, readyEntry("a", 1)), inEra(4, 12, c.known)}, time.Time{})
			first := logpos.Position{Era: 5, Offset: 20}
			if again := r.RemovedAgain(c.listed, first); len(again) > 0 {
				t.Errorf("the first list reports %v", again)
			}
			r.Replace(start, c.listed, first, time.Time{})
			again := r.RemovedAgain(c.second, later)
			if got := len(again) == 1 && again[0].ID == "a" && again[0].Server == nil && again[0].Position == later.Prev(); got != c.want {
				t.Errorf("reported: %v, want %v", again, c.want)
			}
			r.Replace(start, c.second, later, time.Time{})
			if again := r.RemovedAgain(c.second, logpos.Position{Era: 5, Offset: 40}); len(again) > 0 {
				t.Errorf("reported once more: %v", again)
			}
		})
	}
}

// Guards against a router that sees the return of the store late, and goes on to use a server that its
// own list lacks although another router's grace for it has ended (soak seed 7017).
func TestRemovalThatAnotherRouterHasDecidedEndsTheGrace(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{readyEntry("a", 1), readyEntry("b", 2)}, time.Time{})
	grace := start.Add(RemovalGrace)
	listed := readyEntry("b", 2)
	listed.Position = at(8)
	r.Replace(start, []Entry{listed}, at(9), grace)
	received := []Entry{{ID: "a", Position: at(5)}, {ID: "b", Position: at(1)}}
	r.Apply(start.Add(time.Second), received, time.Time{})
	if _, ok := r.servers["a"]; ok {
		t.Error("a server is used that both this router and another miss")
	}
	if _, ok := r.servers["b"]; !ok {
		t.Error("an older removal has removed a server that the list has")
	}
	if changes := r.Expire(grace); len(changes) > 0 {
		t.Errorf("removed again: %v", changes)
	}
}

// Guards against a removal of the era before, which says nothing of entries that a new era lacks.
func TestRemovalOfAnEarlierEraDoesNotEndTheGrace(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{readyEntry("a", 1)}, time.Time{})
	r.Replace(start, nil, logpos.Position{Era: 1, Offset: 9}, start.Add(RemovalGrace))
	r.Apply(start.Add(time.Second), []Entry{{ID: "a", Position: at(5)}}, time.Time{})
	if _, ok := r.servers["a"]; !ok {
		t.Error("the server is not used during the grace")
	}
}
