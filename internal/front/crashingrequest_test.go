package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// crashingPath ends the paths of requests that crash servers.
const crashingPath = "/crashing"

// hasCrashingPath reports whether a request has crashingPath.
func hasCrashingPath(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, crashingPath) }

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
			sound := 0
			start := time.Now()
			for i := 0; time.Since(start) < stableTime+3*time.Second; i++ {
				r := f.routers[i%len(f.routers)]
				r.do(r.request("POST", route+crashingPath, "body"))
				if got := r.prompted(route+"/x", commonPart); got.status == http.StatusOK {
					sound++
				}
				time.Sleep(80 * time.Millisecond)
			}
			if n := c.late(crashLimitOfRequest); n > lateLimit {
				t.Errorf("the request was sent to servers %d times more later than %v after the third of %d crashes, want at most %d", n, stableTime, c.count(), lateLimit)
			}
			if n := c.count(); n == 0 || n == servers || sound < 20 {
				t.Errorf("%d of %d servers ended, %d sound requests served", n, servers, sound)
			}
		})
	}
}
