package registry

import (
	"testing"
	"time"
)

// Guards against servers of the first list that are taken for ones which have just started, against ones that start later and
// are not, and against an entry that is missing for a moment and makes its server a new one.
func TestStartsAreThoseSeenWhileTheFleetServes(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	later := now.Add(time.Minute)
	born := func(age time.Duration) int64 { return now.Add(-age).UnixMilli() }
	for _, restarted := range []bool{false, true} {
		r := New()
		if restarted {
			r.SetRestarted()
		}
		r.Replace(now, []Entry{readyEntry("a", 0), readyEntry("b", born(5*time.Second)), readyEntry("c", born(2*time.Hour)), readyEntry("d", born(-time.Second))}, at(9), time.Time{})
		list := r.Servers()
		want := []Start{{}, {}, {}, {}}
		if restarted {
			want = []Start{{Unknown: true}, {At: now.Add(-5 * time.Second)}, {}, {At: now}}
		}
		for i, s := range list {
			if s.Start.Unknown != want[i].Unknown || !s.Start.At.Equal(want[i].At) {
				t.Errorf("restarted %v: server %s started %+v, want %+v", restarted, s.ID, s.Start, want[i])
			}
		}
		r.Apply(later, []Entry{{ID: "e", Server: readyEntry("e", 0).Server, Position: at(10)}, {ID: "c", Server: readyEntry("c", 7).Server, Position: at(11)}}, time.Time{})
		for _, id := range []string{"c", "e"} {
			if s := r.servers[id]; !s.Start.At.Equal(later) {
				t.Errorf("server %s started %+v, want now", id, s.Start)
			}
		}
		r.Apply(later, []Entry{{ID: "a", Position: at(12)}, {ID: "e", Position: at(12)}}, time.Time{})
		r.Apply(later.Add(time.Second), []Entry{{ID: "a", Server: readyEntry("a", 0).Server, Position: at(13)}, {ID: "e", Server: readyEntry("e", 0).Server, Position: at(13)}}, time.Time{})
		if s := r.servers["a"]; !s.Start.At.IsZero() {
			t.Errorf("a server whose entry was missing for a moment started %+v", s.Start)
		}
		if s := r.servers["e"]; !s.Start.At.Equal(later) {
			t.Errorf("a server whose entry was missing soon after its start started %+v, want the same", s.Start)
		}
	}
}

// Guards against heartbeats of cold servers that are changes, which would be sent to all routers.
func TestTimesAreNoChange(t *testing.T) {
	r := New()
	entry := func(left time.Duration, offset int64) Entry {
		e := readyEntry("a", 1)
		e.Server.ColdLeft, e.Position = left, at(offset)
		return e
	}
	r.Replace(start, []Entry{entry(9*time.Second, 1)}, at(2), time.Time{})
	if changes := r.Apply(start, []Entry{entry(8*time.Second, 3)}, time.Time{}); len(changes) > 0 {
		t.Errorf("changes %+v of a heartbeat", changes)
	}
	if !r.IsNewest(entry(8*time.Second, 3)) || r.IsNewest(entry(9*time.Second, 1)) {
		t.Error("the newest entry is not known as such")
	}
	if again := r.WrittenAgain([]Entry{entry(8*time.Second, 3)}); len(again) > 0 {
		t.Errorf("written again: %+v", again)
	}
}
