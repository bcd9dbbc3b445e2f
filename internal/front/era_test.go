package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// statusOf returns the status of a request on a path.
func (b *testBed) statusOf(path string) int {
	b.t.Helper()
	got := b.do(b.request(http.MethodPost, path, "body"))
	if got.err != nil {
		b.t.Logf("%s: %v", path, got.err)
	}
	return got.status
}

// configWithRoute returns a configuration with one more route.
func configWithRoute(version int, name string) platformtest.Config {
	c := config(version)
	c.Routes = append(c.Routes, platformtest.Route{
		Name: name, Kind: "safe", Pool: "pool", Attempts: 1, Timeout: 3 * time.Second, Objective: 400 * time.Millisecond,
	})
	return c
}

// newEraBed returns a store in era 4 with a configuration and two of three engines, and
// a copy of it.
func newEraBed(t *testing.T) (*testBed, platformtest.Copy) {
	b := newTestBedWith(t, 3)
	b.publish(config(1))
	b.register(platformtest.StateReady, b.engines[:2]...)
	b.store.SetEra("4")
	return b, b.store.Copy()
}

// heartbeat writes an entry again, as an engine does that lives.
func (b *testBed) heartbeat(n int, engines ...*platformtest.Engine) {
	for range n {
		b.register(platformtest.StateReady, engines...)
	}
}

// Guards against a router that ignores what the store gives out at offsets below
// those that it has read, after the store came back from an older copy.
func TestNewEraIsFollowedFromItsNewestRecords(t *testing.T) {
	b, old := newEraBed(t)
	b.heartbeat(20, b.engines[:2]...)
	b.publish(config(2))
	b.startReady()
	b.store.Restore(old, 5)
	b.publish(configWithRoute(3, "new"))
	b.register(platformtest.StateReady, b.engines...)
	b.waitFor("the configuration of the new era is in force", func() bool { return b.statusOf("/new/x") == http.StatusOK })
	b.waitFor("the engine of the new era is used", func() bool {
		b.statusOf("/safe/x")
		return len(b.engines[2].Requests()) > 0
	})
}

// Guards against records that are skipped because their offsets had belonged to
// other records in the era before, without the store refusing the read.
func TestOffsetsGivenOutAgainAreRead(t *testing.T) {
	b, old := newEraBed(t)
	b.heartbeat(5, b.engines[:2]...)
	b.startReady()
	end := b.store.End(platform.TopicServers)
	b.store.SetErrorStatus(http.StatusServiceUnavailable)
	b.store.Restore(old, 5)
	b.register(platformtest.StateReady, b.engines[2])
	for b.store.End(platform.TopicServers) < end+3 {
		b.heartbeat(1, b.engines[:2]...)
	}
	b.store.SetErrorStatus(0)
	b.waitFor("the engine at an offset given out again is used", func() bool {
		b.statusOf("/safe/x")
		return len(b.engines[2].Requests()) > 0
	})
}

// Guards against requests to a server that was known to leave or to have left,
// because the copy from which the store came back still has it as ready.
func TestOlderCopyBringsNoServerBack(t *testing.T) {
	b := newTestBedWith(t, 4)
	b.publish(config(1))
	b.register(platformtest.StateReady, b.engines[:3]...)
	b.store.SetEra("4")
	b.startReady()
	old := b.store.Copy()
	b.register(platformtest.StateLeaving, b.engines[0])
	b.store.Put(platform.TopicServers, b.engines[1].ID, nil)
	b.waitFor("the servers have left", func() bool { return b.serversIn("ready") == 1 && b.serversIn("leaving") == 1 })
	b.store.Restore(old, 5)
	b.register(platformtest.StateReady, b.engines[3])
	b.waitFor("the servers of the new era are used", func() bool {
		if got := b.statusOf("/safe/x"); got != http.StatusOK {
			t.Fatalf("status %d, want 200", got)
		}
		return len(b.engines[3].Requests()) > 10
	})
	for _, e := range b.engines[:2] {
		if n := len(e.Requests()); n != 0 {
			t.Errorf("%d requests reached %s, which had left", n, e.ID)
		}
	}
}

// Guards against requests that are refused because an entry is missing in the copy
// from which the store came back, and against a server that stays for good although
// nobody writes its entry again.
func TestServerMissingInTheCopyIsKeptForTheGrace(t *testing.T) {
	b := newTestBedWith(t, 2)
	b.publish(config(1))
	b.register(platformtest.StateReady, b.engines[0])
	b.store.SetEra("4")
	old := b.store.Copy()
	b.register(platformtest.StateReady, b.engines[1])
	b.startReady()
	b.engines[0].SetDefaultFault(platformtest.Refuse)
	b.store.Restore(old, 5)
	b.publish(configWithRoute(2, "new"))
	b.waitFor("the configuration of the new era is in force", func() bool { return b.statusOf("/new/x") == http.StatusOK })
	for range 20 {
		if got := b.statusOf("/safe/x"); got != http.StatusOK {
			t.Fatalf("status %d although the missing server lives", got)
		}
	}
	b.waitFor("the server that is not written again is gone", func() bool { return b.serversIn("ready") == 1 })
}

// Guards against a store whose era goes down or can't be read, and whose records are
// believed.
func TestNothingIsBelievedFromALowerOrUnreadableEra(t *testing.T) {
	for _, era := range []string{"3", "-1", "x", "99999999999999999999", ""} {
		t.Run("era "+era, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t)
			b.store.SetEra("4")
			b.run()
			b.store.SetEra(era)
			b.publish(configWithRoute(2, "new"))
			calls := b.store.Calls()
			b.waitFor("the router has called the store several times", func() bool { return b.store.Calls() > calls+5 })
			if got := b.statusOf("/new/x"); got != http.StatusNotFound {
				t.Errorf("status %d on a route of an era that is not to be believed, want 404", got)
			}
			b.store.SetEra("4")
			b.waitFor("the store is believed again", func() bool { return b.statusOf("/new/x") == http.StatusOK })
		})
	}
}

// serversIn returns the number of servers that the router knows in a state.
func (b *testBed) serversIn(state string) int {
	n := 0
	for _, p := range b.front.Status().Pools {
		for _, s := range p.Servers {
			if s.State == state {
				n++
			}
		}
	}
	return n
}
