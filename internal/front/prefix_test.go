package front_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Guards against a router that sends prompts to engines that have to read them again
// after all routers have restarted: it asks the engines what they have cached, and
// holds requests until it knows. With one of the two cases alone the home of the
// prefix may be the engine by chance.
func TestRestartedRouterFindsCachedPrefixes(t *testing.T) {
	for i := range 2 {
		// A router counts on the inventory for a second, which may be over on a slow machine.
		inBubble(t, 2, func(f *fleetBed) { playRestartWithCachedPrefix(f.testBed, i) })
	}
}

func playRestartWithCachedPrefix(b *testBed, engine int) {
	t := b.t
	b.restarted = true
	b.engines[engine].AddCachedPart("5c1e07a2", 5000000, "m")
	b.publishSlow()
	got := b.do(b.promptRequest())
	if got.status != http.StatusOK {
		t.Fatalf("status %d, error %v; want 200", got.status, got.err)
	}
	if n := len(b.engines[engine].Requests()); n != 1 {
		t.Errorf("the engine that has the prefix received %d requests, want 1", n)
	}
}

// Guards against a prefix that is read again although the engine that leaves with it
// could hand over a copy.
func TestPrefixIsCopiedFromLeavingEngine(t *testing.T) {
	t.Parallel()
	b := newTestBed(t).run()
	b.do(b.promptRequest())
	holder, other := b.engines[0], b.engines[1]
	if len(holder.Requests()) == 0 {
		holder, other = other, holder
	}
	b.register(platformtest.StateLeaving, holder)
	b.waitFor("a request reaches the other engine", func() bool {
		b.do(b.promptRequest())
		return len(other.Requests()) > 0
	})
	if got := other.Requests()[0].Header.Get(platformtest.HeaderFetchFrom); got != holder.Addr() {
		t.Errorf("copied from %q, want %s", got, holder.Addr())
	}
}

// Guards against an engine that works on a request for longer than its caller waits
// or its route allows.
func TestServerGetsTheRemainingTime(t *testing.T) {
	t.Parallel()
	b := newTestBed(t).run()
	for target, longest := range map[string]int{"/safe/x": 3000, "/short/x": 300, "/unsafe/x": 200} {
		r := b.request(http.MethodPost, target, "body")
		if target == "/unsafe/x" {
			r.Header.Set(platformtest.HeaderDeadline, "200")
		}
		before := b.received()
		b.do(r)
		list := b.received()
		if len(list) != len(before)+1 {
			t.Fatalf("%s: servers received %d requests, want 1", target, len(list)-len(before))
		}
		for _, got := range list {
			if got.ID != r.Header.Get(platformtest.HeaderRequestID) {
				continue
			}
			if ms, err := strconv.Atoi(got.Header.Get(platformtest.HeaderDeadline)); err != nil || ms > longest {
				t.Errorf("%s: the server got a deadline of %q ms, want at most %d", target, got.Header.Get(platformtest.HeaderDeadline), longest)
			}
		}
	}
}

// Guards against servers that are ejected because of requests that fail everywhere.
func TestRequestsThatFailEverywhereEjectNoServer(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 3).run()
	for _, e := range b.engines {
		e.SetDefaultFault(platformtest.Fail)
	}
	for range 20 {
		b.do(b.request(http.MethodGet, "/safe/x", ""))
	}
	for _, s := range b.front.Status().Pools[0].Servers {
		if s.State == "ejected" {
			t.Errorf("server %s is ejected, want none", s.ID)
		}
	}
}
