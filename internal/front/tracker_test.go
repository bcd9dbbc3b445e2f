package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Guards against a configuration that does not take effect, is replaced by an
// older version, or is lost while the store is unavailable.
func TestConfigurationIsMonotonic(t *testing.T) {
	b := newTestBed(t).run()
	newer := config(7)
	newer.Workspaces[0].Keys = []string{"k7"}
	b.publish(newer)
	status := func() int { return b.do(b.request(http.MethodGet, "/safe/x", "")).status }
	b.waitFor("the old key is refused", func() bool { return status() == 401 })
	b.publish(config(3))
	b.store.DropHistory(platform.TopicConfig)
	b.store.SetErrorStatus(503)
	for range 20 {
		if got := status(); got != 401 {
			t.Fatalf("an older version is in force: status %d, want 401", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !b.isReady() {
		t.Error("not ready while the store is unavailable")
	}
}

// Guards against new requests to a server that is leaving or removed, and against
// a malformed entry that makes the router ignore the others.
func TestLeavingServersGetNoRequests(t *testing.T) {
	b := newTestBed(t).run()
	leaving, staying := b.engines[0], b.engines[1]
	b.store.Put(platform.TopicServers, "i-broken", []byte(`{"addr":7}`))
	b.register(platformtest.StateLeaving, leaving)
	b.waitFor("no request reaches the leaving server", func() bool {
		before := len(leaving.Requests())
		for range 10 {
			b.do(b.request(http.MethodGet, "/safe/x", ""))
		}
		return len(leaving.Requests()) == before
	})
	if len(staying.Requests()) == 0 {
		t.Error("the other server got no request")
	}
	b.store.Put(platform.TopicServers, staying.ID, nil)
	b.waitFor("no server remains", func() bool {
		return b.do(b.request(http.MethodGet, "/safe/x", "")).status == 503
	})
}

// Guards against a refusal when the first few servers tried are all down, although
// another one is healthy.
func TestUnreachableServersAreSkipped(t *testing.T) {
	b := newTestBedWith(t, 7).run()
	for _, e := range b.engines[1:] {
		e.Close()
	}
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		if got := b.do(b.request(http.MethodPost, path, "body")); got.status != 200 {
			t.Errorf("%s: status %d, want 200: %s", path, got.status, got.body)
		}
	}
}

// Guards against bounds that do not follow changed settings until a restart.
func TestSettingsChangeUpdatesBounds(t *testing.T) {
	b := newTestBed(t).run()
	for _, e := range b.engines {
		e.SetDefaultFault(platformtest.Reset)
	}
	b.do(b.request(http.MethodPost, "/safe/x", "body"))
	if b.requestCount() != 2 {
		t.Fatalf("%d servers got the request, want 2", b.requestCount())
	}
	s := *b.settings
	s.Bounds.RetryRatio, s.Bounds.RetryExtra = 0, 0
	b.front.Apply(&s)
	b.do(b.request(http.MethodPost, "/safe/x", "body"))
	if b.requestCount() != 3 {
		t.Errorf("%d attempts, want 3: the second request must not be repeated", b.requestCount())
	}
}

// Guards against a status that does not show the version in force, a failing store
// or servers that leave.
func TestStatusShowsState(t *testing.T) {
	b := newTestBed(t).run()
	b.register(platformtest.StateLeaving, b.engines[1])
	states := func() map[string]string {
		found := make(map[string]string)
		for _, p := range b.front.Status().Pools {
			for _, s := range p.Servers {
				found[s.ID] = s.State
			}
		}
		return found
	}
	b.waitFor("a server is shown as leaving", func() bool { return states()["i-1"] == "leaving" })
	s := b.front.Status()
	if !s.Ready || s.ConfigVersion != 1 || len(s.StoreFailing) > 0 || states()["i-0"] != "ready" || s.Pools[0].Slots != 8 {
		t.Errorf("status %+v, want ready with version 1, 8 slots, a ready server and a store that works", s)
	}
	b.store.Close()
	b.waitFor("the store is shown as failing", func() bool { return len(b.front.Status().StoreFailing) == 2 })
}
