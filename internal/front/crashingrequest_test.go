package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// crashingPath ends the paths of requests that crash servers.
const crashingPath = "/crashing"

// hasCrashingPath reports whether a request has crashingPath.
func hasCrashingPath(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, crashingPath) }

// repeatCrashing sends sound requests of a route to the routers in turn, and with every nth of them the
// same request that crashes servers. It returns the number of sound ones that were served.
func (f *fleetBed) repeatCrashing(route string, nth int, d time.Duration) (sound int) {
	for i, start := 0, time.Now(); time.Since(start) < d; i++ {
		r := f.routers[i%len(f.routers)]
		if i%nth == 0 {
			r.do(r.request("POST", route+crashingPath, "body"))
		}
		if got := r.prompted(route+"/x", commonPart); got.status == http.StatusOK {
			sound++
		}
		time.Sleep(80 * time.Millisecond)
	}
	return sound
}

// repeatSound sends sound requests of a route to the routers in turn.
func (f *fleetBed) repeatSound(route string, d time.Duration) {
	f.t.Helper()
	for i, start := 0, time.Now(); time.Since(start) < d; i++ {
		if got := f.routers[i%len(f.routers)].prompted(route+"/x", commonPart); got.status != http.StatusOK {
			f.t.Errorf("status %d for a sound request", got.status)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// expectKept checks the platform's rule on a request that crashes servers.
func (c *crashes) expectKept(t *testing.T) {
	t.Helper()
	if n := c.late(crashLimitOfRequest); n > lateLimit {
		t.Errorf("the request was sent to servers %d times more later than %v after the third of %d crashes, want at most %d", n, stableTime, c.count(), lateLimit)
	}
}

// newRestartingEngine starts an engine that ends all its connections when it begins to run a request
// that crashes engines, and goes on at once: whatever stands in front of it accepts connections all the
// time, and its entry stays.
func newRestartingEngine(t *testing.T, id string, c *crashes) *platformtest.Engine {
	t.Helper()
	var e *platformtest.Engine
	e = platformtest.NewObservedEngine(id, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !c.of(r) {
				next.ServeHTTP(w, r)
				return
			}
			c.record(&c.reached)
			c.record(&c.at)
			go e.CloseConnections()
			panic(http.ErrAbortHandler)
		})
	})
	t.Cleanup(e.Close)
	return e
}

// Guards against a request that crashes servers whose addresses go on accepting connections, so that
// nothing else shows that they have ended.
func TestRequestThatCrashesServersBehindOpenListenersIsKeptFromThem(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"/safe", "/unsafe", "/open", "/stream", "/resume"} {
		t.Run(route[1:], func(t *testing.T) {
			t.Parallel()
			c := &crashes{of: hasCrashingPath}
			f := newFleetWith(t, 3, 0, func(f *fleetBed) {
				for i := range 6 {
					f.engines = append(f.engines, newRestartingEngine(t, fmt.Sprintf("i-%d", i), c))
				}
				f.register(platformtest.StateReady, f.engines...)
			})
			sound := f.repeatCrashing(route, 5, stableTime+5*time.Second)
			c.expectKept(t)
			if c.count() == 0 || sound < 50 {
				t.Errorf("%d crashes, %d sound requests served", c.count(), sound)
			}
		})
	}
}

// Guards against one request that crashes server after server, because it comes again at any
// router and each sends it to the next server, and once more when it may be repeated. Sound
// requests of the same caller and route must be served meanwhile.
func TestRequestThatCrashesServersIsKeptFromThem(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"/safe", "/unsafe", "/open", "/stream", "/resume"} {
		t.Run(route[1:], func(t *testing.T) {
			t.Parallel()
			const servers = 60
			f, c := newCrashingFleet(t, 3, servers, hasCrashingPath)
			sound := f.repeatCrashing(route, 1, stableTime+3*time.Second)
			c.expectKept(t)
			if n := c.count(); n == 0 || n == servers || sound < 20 {
				t.Errorf("%d of %d servers ended, %d sound requests served", n, servers, sound)
			}
		})
	}
}

// Guards against a request that many callers send at the same moment, again and again: the servers
// that end under it together look like a rack, and each time as many end.
func TestSimultaneousRequestsThatCrashServersAreKeptFromThem(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"/safe", "/unsafe", "/open", "/stream", "/resume"} {
		t.Run(route[1:], func(t *testing.T) {
			t.Parallel()
			const routers = 5
			f, c := newCrashingFleet(t, routers, 60, func(r *http.Request) bool {
				if !hasCrashingPath(r) {
					return false
				}
				// All servers have the request before the first of them ends.
				time.Sleep(60 * time.Millisecond)
				return true
			})
			for range 4 {
				var callers sync.WaitGroup
				for _, r := range f.routers {
					callers.Go(func() { r.do(r.request("POST", route+crashingPath, "body")) })
				}
				callers.Wait()
				f.repeatSound(route, stableTime+200*time.Millisecond)
			}
			c.expectKept(t)
			if n := c.count(); n == 0 {
				t.Error("no server ended")
			}
		})
	}
}
