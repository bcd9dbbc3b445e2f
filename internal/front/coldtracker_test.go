package front

import (
	"strconv"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// newColdTracker returns a tracker whose servers' entries say for how many seconds they are cold, 0 for one that is not and
// r for one that does not say. Servers of its pool are cold for 20 s after their start.
func newColdTracker(t *testing.T, firstStart bool) trackerRouter {
	t.Helper()
	tr := newTrackerRouter(t)
	tr.platform.DecodeServer = func(id string, value []byte) (*registry.Server, error) {
		s := &registry.Server{ID: id, Pool: "p", Addr: "10.0.0.1:1", Slots: 1}
		if seconds, err := strconv.Atoi(string(value)); err == nil {
			s.ColdLeft = time.Duration(seconds) * time.Second
			if seconds == 0 {
				s.ColdLeft = registry.NotCold
			}
		}
		return s, nil
	}
	if !firstStart {
		tr.servers.SetRestarted()
		tr.state.SetRestarted()
	}
	tr.state.SetColdBounds(1.5, 5)
	tr.state.SetTable(routing.Compile(routing.Config{Version: 1, Pools: []routing.Pool{{Name: "p", ColdStart: 20 * time.Second, ColdPerSecond: 9}}}))
	return tr
}

// coldFor returns for how many seconds each server is cold, in order of the IDs.
func (tr trackerRouter) coldFor() []int {
	var list []int
	for _, s := range tr.state.Status(time.Now())[0].Servers {
		list = append(list, int((s.ColdMs+500)/1000))
	}
	return list
}

// Guards against servers of the first start that are taken for cold, new ones that are not, entries that change nothing, and
// heartbeats that are told to all routers.
func TestEntriesMakeServersCold(t *testing.T) {
	tr := newColdTracker(t, true)
	check := func(what string, told int, want ...int) {
		t.Helper()
		if n := len(tr.state.TakeCold()); n != told {
			t.Errorf("%s: %d servers told, want %d", what, n, told)
		}
		got := tr.coldFor()
		for i := range want {
			if len(got) != len(want) || got[i] != want[i] {
				t.Errorf("%s: cold for %v s, want %v", what, got, want)
				break
			}
		}
	}
	tr.list(at(3), "a:r", "b:0", "c:7")
	check("first list", 1, 0, 0, 7)
	tr.records(at(4), "d:0")
	check("a server that starts and has not noticed", 0, 0, 0, 7, 20)
	tr.records(at(8), "a:r", "b:0", "c:7", "d:r")
	check("heartbeats", 0, 0, 0, 7, 20)
	tr.records(at(9), "d:0")
	check("a later entry", 1, 0, 0, 7, 0)
	deliver(tr.tracker, digest.ServerChange{ID: "e", Position: at(10), Prev: at(3), Server: &registry.Server{ID: "e", Pool: "p", Addr: "10.0.0.1:1", Slots: 1, ColdLeft: 30 * time.Second}})
	check("a server that another router has read", 0, 0, 0, 7, 0, 30)
	tr.records(at(11), "b:9")
	check("an entry that says that its server has become cold", 1, 0, 9, 7, 0, 30)
	deliver(tr.tracker, digest.ServerChange{ID: "c", Position: at(12), Prev: at(10), Server: &registry.Server{ID: "c", Pool: "p", Addr: "10.0.0.1:1", Slots: 1, ColdLeft: 15 * time.Second}})
	check("an entry that another router has read", 0, 0, 9, 15, 0, 30)
	// A record that was replaced says nothing.
	tr.records(at(2), "b:0")
	check("an old record", 0, 0, 9, 15, 0, 30)
}

// Guards against a router that starts while the fleet serves and sends to servers that have started a moment before it.
func TestRestartedRouterAsksWhichServersAreCold(t *testing.T) {
	tr := newColdTracker(t, false)
	tr.list(at(3), "a:r", "b:0", "c:7")
	got := tr.coldFor()
	if len(got) != 3 || got[0] == 0 || got[1] != 0 || got[2] != 7 {
		t.Errorf("cold for %v s, want the first until the others have told, and the third for 7 s", got)
	}
	tr.state.ApplyCold(nil, true)
	if got := tr.coldFor(); got[0] != 0 || got[2] != 7 {
		t.Errorf("cold for %v s after the others have told, want the third only", got)
	}
}
