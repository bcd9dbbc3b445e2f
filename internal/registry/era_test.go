package registry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

func inEra(era, offset int64, e Entry) Entry {
	e.Position = logpos.Position{Era: era, Offset: offset}
	return e
}

func leavingEntry(id string, born int64) Entry {
	e := readyEntry(id, born)
	e.Server.Leaving = true
	return e
}

// state returns how a registry sees a server.
func (r *Registry) state(id string) string {
	s := r.servers[id]
	switch {
	case s == nil:
		return "gone"
	case s.Leaving:
		return "leaving"
	}
	return "ready"
}

// Guards against the first list of an era, which may be of an older copy, that brings a
// server back which is known to leave, to have left or to run as a later incarnation,
// and against a record of the new era that is ignored.
func TestFirstListOfAnEraMayBeOutdated(t *testing.T) {
	for _, c := range []struct {
		name          string
		known, listed Entry
		want          string
		outdated      bool
		// later is written after the list.
		later     Entry
		wantLater string
	}{
		{name: "ready as before", known: readyEntry("a", 1), listed: readyEntry("a", 1), want: "ready", later: leavingEntry("a", 1), wantLater: "leaving"},
		{name: "known to leave", known: leavingEntry("a", 1), listed: readyEntry("a", 1), want: "leaving", outdated: true, later: readyEntry("a", 1), wantLater: "ready"},
		{name: "known to leave, and listed so", known: leavingEntry("a", 1), listed: leavingEntry("a", 1), want: "leaving", later: Entry{ID: "a"}, wantLater: "gone"},
		{name: "known as gone", known: Entry{ID: "a"}, listed: readyEntry("a", 1), want: "gone", outdated: true, later: readyEntry("a", 1), wantLater: "ready"},
		{name: "earlier incarnation", known: readyEntry("a", 2), listed: leavingEntry("a", 1), want: "ready", outdated: true, later: readyEntry("a", 2), wantLater: "ready"},
		{name: "later incarnation", known: leavingEntry("a", 1), listed: readyEntry("a", 2), want: "ready", later: leavingEntry("a", 2), wantLater: "leaving"},
		{name: "begins to leave", known: readyEntry("a", 1), listed: leavingEntry("a", 1), want: "leaving", later: leavingEntry("a", 1), wantLater: "leaving"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Apply(start, []Entry{inEra(4, 90, readyEntry("a", 1)), inEra(4, 100, c.known)}, time.Time{})
			for range 2 {
				// The list may have to be read again.
				_, outdated := r.Replace(start, []Entry{inEra(5, 10, c.listed)}, logpos.Position{Era: 5, Offset: 20}, time.Time{})
				if r.state("a") != c.want || (len(outdated) > 0) != c.outdated {
					t.Errorf("after the list: %s, outdated %v; want %s, %v", r.state("a"), outdated, c.want, c.outdated)
				}
			}
			// Another router may still send a record of the earlier era.
			r.Apply(start, []Entry{inEra(4, 200, leavingEntry("a", 1))}, time.Time{})
			if !c.outdated && r.state("a") != c.want {
				t.Errorf("after a record of the earlier era: %s, want %s", r.state("a"), c.want)
			}
			r.Apply(start, []Entry{inEra(5, 20, c.later)}, time.Time{})
			if r.state("a") != c.wantLater {
				t.Errorf("after the record that follows the list: %s, want %s", r.state("a"), c.wantLater)
			}
		})
	}
}

// Guards against a server that is lost for good because its removal, found by a list,
// counts as later than the record that adds it again.
func TestServerMissingInAListReturns(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{inEra(4, 100, readyEntry("a", 1))}, time.Time{})
	grace := start.Add(RemovalGrace)
	r.Replace(start, nil, logpos.Position{Era: 5, Offset: 20}, grace)
	if r.state("a") != "ready" {
		t.Error("removed before the end of the grace period")
	}
	changes := r.Expire(grace)
	if r.state("a") != "gone" || len(changes) != 1 || changes[0].Position != (logpos.Position{Era: 5, Offset: 19}) {
		t.Fatalf("%s, changes %v; want gone at the end of the list", r.state("a"), changes)
	}
	r.Apply(start, []Entry{inEra(5, 20, readyEntry("a", 1))}, time.Time{})
	if r.state("a") != "ready" {
		t.Error("not added again")
	}
}

// Guards against a server that is kept for good although a list lacks it, because another
// router sends an earlier change of it once more during the grace.
func TestChangeSentAgainDoesNotCancelARemoval(t *testing.T) {
	r := New()
	added := inEra(4, 90, readyEntry("a", 1))
	r.Apply(start, []Entry{added}, time.Time{})
	grace := start.Add(RemovalGrace)
	r.Replace(start, nil, logpos.Position{Era: 5, Offset: 20}, grace)
	r.Apply(start, []Entry{added}, time.Time{})
	if r.Expire(grace); r.state("a") != "gone" {
		t.Errorf("%s after the grace, want gone", r.state("a"))
	}
}

// Guards against records that a new era has regained and that are not passed on because
// they change nothing for a router that knew them before, and against passing on the
// entries of the copy, or every later heartbeat.
func TestRecordsWrittenAgainAreReported(t *testing.T) {
	leaving, ready := leavingEntry("a", 1), readyEntry("a", 1)
	for _, c := range []struct {
		name   string
		known  Entry
		listed []Entry
		read   Entry
		want   bool
	}{
		{"leaves again", leaving, []Entry{inEra(5, 10, ready)}, inEra(5, 20, leaving), true},
		{"removed again", Entry{ID: "a"}, []Entry{inEra(5, 10, ready)}, inEra(5, 20, Entry{ID: "a"}), true},
		{"missing in the copy", ready, nil, inEra(5, 20, ready), true},
		{"a change", leaving, []Entry{inEra(5, 10, ready)}, inEra(5, 20, ready), false},
		{"heartbeat of a server that the copy has", ready, []Entry{inEra(5, 10, ready)}, inEra(5, 20, ready), false},
		{"record of the copy", leaving, []Entry{inEra(5, 10, ready)}, inEra(5, 19, leaving), false},
		{"era that was not listed yet", leaving, nil, inEra(6, 20, leaving), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Apply(start, []Entry{inEra(4, 1, ready), inEra(4, 12, c.known)}, time.Time{})
			r.Replace(start, c.listed, logpos.Position{Era: 5, Offset: 20}, start.Add(RemovalGrace))
			if got := len(r.WrittenAgain([]Entry{c.read})) == 1; got != c.want {
				t.Errorf("reported: %v, want %v", got, c.want)
			}
			r.Apply(start, []Entry{c.read}, time.Time{})
			if again := r.WrittenAgain([]Entry{c.read}); len(again) > 0 {
				t.Error("reported again after it was applied")
			}
		})
	}
}

// Guards against a view that does not become that of the store, and against a server
// that gets requests although it was known to have left, over several eras.
func TestViewFollowsTheStoreOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c"}
		r, now := New(), start
		var log []Entry
		era := int64(1)
		write := func(e Entry) Entry {
			e = inEra(era, int64(len(log)), e)
			log = append(log, e)
			return e
		}
		draw := func() Entry {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			born := rapid.Int64Range(1, 2).Draw(t, "born")
			return rapid.SampledFrom([]Entry{readyEntry(id, born), leavingEntry(id, born), {ID: id}}).Draw(t, "entry")
		}
		list := func(n int) []Entry {
			newest := map[string]Entry{}
			for _, e := range log[:n] {
				newest[e.ID] = e
			}
			var entries []Entry
			for _, id := range ids {
				if e, ok := newest[id]; ok && e.Server != nil {
					entries = append(entries, e)
				}
			}
			return entries
		}
		for range rapid.IntRange(1, 4).Draw(t, "eras") {
			for range rapid.IntRange(0, 6).Draw(t, "records") {
				r.Apply(now, []Entry{write(draw())}, time.Time{})
			}
			left := map[string]bool{}
			for _, id := range ids {
				_, known := r.known[id]
				left[id] = known && r.state(id) != "ready"
			}
			// The store comes back from a copy.
			log = log[:rapid.IntRange(0, len(log)).Draw(t, "copy")]
			era++
			for i := range log {
				log[i].Position.Era = era
			}
			r.Replace(now, list(len(log)), logpos.Position{Era: era, Offset: int64(len(log))}, now.Add(RemovalGrace))
			for _, e := range list(len(log)) {
				if left[e.ID] && r.state(e.ID) == "ready" && r.servers[e.ID].Born <= 1 {
					t.Fatalf("%s was %v and is ready by the copy", e.ID, left[e.ID])
				}
			}
			now = now.Add(RemovalGrace)
			r.Expire(now)
		}
		// All servers write again.
		for _, id := range ids {
			r.Apply(now, []Entry{write(readyEntry(id, 3))}, time.Time{})
			if r.state(id) != "ready" {
				t.Fatalf("%s is %s after it was written again", id, r.state(id))
			}
		}
	})
}

// Guards against a record that a new era has regained and that is taken for one of the
// older copy: it was written after the first list of the era, or contradicts only what was
// read in the same era.
func TestOnlyTheFirstListOfAnEraMayBeOutdated(t *testing.T) {
	leaving := readyEntry("a", 1)
	leaving.Server.Leaving = true
	grace := start.Add(time.Hour)

	r := New()
	leaving.Position = logpos.Position{Era: 1, Offset: 9}
	r.Apply(start, []Entry{leaving}, time.Time{})
	r.Replace(start, nil, logpos.Position{Era: 2, Offset: 5}, grace)
	ready := readyEntry("a", 1)
	ready.Position = logpos.Position{Era: 2, Offset: 7}
	if _, outdated := r.Replace(start, []Entry{ready}, logpos.Position{Era: 2, Offset: 10}, grace); len(outdated) != 0 || r.Servers()[0].Leaving {
		t.Errorf("outdated %v, server %+v; want the entry from after the first list", outdated, r.Servers()[0])
	}

	r = New()
	leaving.Position = logpos.Position{Era: 2, Offset: 2}
	r.Apply(start, []Entry{leaving}, time.Time{})
	ready.Position = logpos.Position{Era: 2, Offset: 3}
	if _, outdated := r.Replace(start, []Entry{ready}, logpos.Position{Era: 2, Offset: 5}, grace); len(outdated) != 0 || r.Servers()[0].Leaving {
		t.Errorf("outdated %v, server %+v; want the later entry of the same era", outdated, r.Servers()[0])
	}
}

// Guards against two incarnations that are taken for one, because they have the same ID.
func TestIncarnationsDiffer(t *testing.T) {
	base := Server{ID: "a", Addr: "10.0.0.1:1", Born: 1}
	for _, s := range []Server{{ID: "b", Addr: base.Addr, Born: 1}, {ID: "a", Addr: "10.0.0.2:1", Born: 1}, {ID: "a", Addr: base.Addr, Born: 2}} {
		if s.Key() == base.Key() || s.Key().Hash() == base.Key().Hash() {
			t.Errorf("%+v has the key or the hash of %+v", s, base)
		}
	}
}
