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
