package registry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
	_ "github.com/bluebellwell/bluebellwell/internal/testseed"
)

var start = time.Unix(1000, 0)

// at returns a position in the first era.
func at(offset int64) logpos.Position { return logpos.Position{Offset: offset} }

func readyEntry(id string, born int64) Entry {
	return Entry{ID: id, Server: &Server{ID: id, Pool: "p", Addr: "10.0.0.1:1", Born: born}}
}

// Guards against a server that is used after its removal, and against one that is
// removed because its entry expired during an outage.
func TestGraceDelaysRemoval(t *testing.T) {
	end := start.Add(RemovalGrace)
	for _, c := range []struct {
		name       string
		grace      time.Time
		addedAgain bool
		at         time.Duration
		want       int
	}{
		{"removal at once", time.Time{}, false, 0, 0},
		{"removal during the grace period", end, false, RemovalGrace - 1, 1},
		{"removal after the grace period", end, false, RemovalGrace, 0},
		{"server that is added again", end, true, RemovalGrace, 1},
	} {
		for _, fullList := range []bool{false, true} {
			r := New()
			r.Apply(start, []Entry{readyEntry("a", 1)}, time.Time{})
			if fullList {
				r.Replace(start, nil, at(1), c.grace)
			} else {
				r.Apply(start, []Entry{{ID: "a"}}, c.grace)
			}
			if c.addedAgain {
				r.Apply(start, []Entry{readyEntry("a", 1)}, c.grace)
			}
			r.Expire(start.Add(c.at))
			if r.Len() != c.want {
				t.Errorf("%s, full list %v: %d servers, want %d", c.name, fullList, r.Len(), c.want)
			}
		}
	}
}

// Guards against a grace period that lasts beyond three seconds after an outage,
// when removals must again apply at once.
func TestGraceEndsBeforeRemovalsApplyAtOnce(t *testing.T) {
	const detectionTime = 700 * time.Millisecond
	if RemovalGrace+detectionTime >= 3*time.Second {
		t.Errorf("a grace period of %s is too long", RemovalGrace)
	}
}

// Guards against a restarted server that is treated as the previous incarnation.
func TestRestartIsAChange(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{readyEntry("a", 1)}, time.Time{})
	if changes := r.Apply(start, []Entry{readyEntry("a", 1)}, time.Time{}); len(changes) != 0 {
		t.Errorf("a repeated entry caused %d changes, want none", len(changes))
	}
	changes := r.Apply(start, []Entry{readyEntry("a", 2)}, time.Time{})
	if len(changes) != 1 || changes[0].Old.Key() == changes[0].New.Key() {
		t.Errorf("changes %v, want one with two incarnations", changes)
	}
	if changes[0].Old.Key().Hash() == changes[0].New.Key().Hash() {
		t.Error("both incarnations have the same hash")
	}
}

// Guards against a view that depends on how records were batched: single records
// and the full list must give the same servers.
func TestListAndRecordsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		single, newest := New(), map[string]Entry{}
		for range rapid.IntRange(0, 30).Draw(t, "records") {
			e := readyEntry(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "born"))
			if rapid.Bool().Draw(t, "removed") {
				e.Server = nil
			}
			single.Apply(start, []Entry{e}, time.Time{})
			newest[e.ID] = e
		}
		var list []Entry
		for _, e := range newest {
			if e.Server != nil {
				list = append(list, e)
			}
		}
		full := New()
		full.Apply(start, []Entry{readyEntry("old", 1)}, time.Time{})
		full.Replace(start, list, at(1), time.Time{})
		a, b := single.Servers(), full.Servers()
		if len(a) != len(b) {
			t.Fatalf("%d servers by records, %d by list", len(a), len(b))
		}
		for i := range a {
			if *a[i] != *b[i] {
				t.Fatalf("server %v by records, %v by list", a[i], b[i])
			}
		}
	})
}

// Guards against older records or lists that are read after an update from another
// router and undo it.
func TestOlderRecordsChangeNothing(t *testing.T) {
	r := New()
	leaving := readyEntry("a", 1)
	leaving.Server.Leaving = true
	leaving.Position = at(9)
	r.Apply(start, []Entry{leaving}, time.Time{})
	older := readyEntry("a", 1)
	older.Position = at(5)
	if changes := r.Apply(start, []Entry{older, {ID: "a", Position: at(6)}}, time.Time{}); len(changes) != 0 {
		t.Errorf("older records caused %v, want no change", changes)
	}
	if changes, _ := r.Replace(start, nil, at(8), time.Time{}); len(changes) != 0 {
		t.Errorf("an older list caused %v, want no change", changes)
	}
	if changes, _ := r.Replace(start, nil, at(10), time.Time{}); len(changes) != 1 {
		t.Errorf("a newer list caused %v, want one removal", changes)
	}
}

// Guards against servers that are dropped before the platform has restored their
// entries, within two seconds of the end of an outage, and against removals that
// still don't apply three seconds after it.
func TestRemovalGraceCoversTheRestoringOfEntries(t *testing.T) {
	const restored, mustApply, detection = 2 * time.Second, 3 * time.Second, 500 * time.Millisecond
	if RemovalGrace < restored || RemovalGrace+detection > mustApply {
		t.Errorf("removal grace of %s, want at least %s and at most %s with %s to detect the end", RemovalGrace, restored, mustApply, detection)
	}
}

// Guards against an entry of a list that undoes a newer record, which another router has
// sent while the list was read, and against the removal of a server that is not known.
func TestListDoesNotUndoNewerRecords(t *testing.T) {
	r := New()
	leaving := readyEntry("a", 1)
	leaving.Server.Leaving = true
	leaving.Position = at(9)
	r.Apply(start, []Entry{leaving}, time.Time{})
	older := readyEntry("a", 1)
	older.Position = at(5)
	if changes, _ := r.Replace(start, []Entry{older}, at(12), time.Time{}); len(changes) != 0 || !r.Servers()[0].Leaving {
		t.Errorf("a list with an older entry caused %v, want no change", changes)
	}
	if changes := r.Apply(start, []Entry{{ID: "b", Position: at(13)}}, time.Time{}); len(changes) != 0 {
		t.Errorf("the removal of an unknown server caused %v, want no change", changes)
	}
}
