package front_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// startBehindAnotherRouter starts a router that reaches its servers through another one only. The servers send prepared answers
// on all routes. bodyBytes is the largest body of a request; 0 means the usual one.
func startBehindAnotherRouter(t *testing.T, bodyBytes int) (cut *testBed, servers *rawServers) {
	t.Helper()
	f := newFleetWith(t, 3, 1, func(f *fleetBed) { f.routers[0].link = &serverLink{} })
	servers = startRawServers(t, f.testBed, 1)
	c := config(2)
	c.Pools = append(c.Pools, "raw")
	if bodyBytes > 0 {
		c.BodyBytes = bodyBytes
	}
	for i := range c.Routes {
		c.Routes[i].Pool = "raw"
	}
	f.publish(c)
	cut = f.routers[0]
	f.waitFor("the routers know the configuration and the server", func() bool {
		return f.all(func(r *testBed) bool { return r.front.Status().ConfigVersion == 2 && r.lists("raw-0") })
	})
	cut.link.setCut(resetsAll)
	f.waitFor("requests go through another router", func() bool {
		id := fmt.Sprintf("whole-%d", requests.Add(1))
		servers.prepare(id, func(*http.Request) rawAnswer {
			return rawAnswer{version: "HTTP/1.1", status: http.StatusOK, body: "whole", cut: -1, ending: closes}
		})
		return cut.do(cut.request(http.MethodPost, "/unsafe/x", "x", platformtest.HeaderRequestID, id)).status == http.StatusOK
	})
	return cut, servers
}

// Guards against a success that a caller takes for whole although its server stopped in the middle of the answer's head, when
// the connection to the server goes through another router.
func TestHeadCutBehindAnotherRouterIsNoAnswer(t *testing.T) {
	t.Parallel()
	cut, servers := startBehindAnotherRouter(t, 0)
	send := func(route, id string, a rawAnswer) reply {
		servers.prepare(id, func(*http.Request) rawAnswer { return a.withID(id) })
		return cut.do(cut.request(http.MethodPost, route, "x", platformtest.HeaderRequestID, id))
	}
	body := eventStream(2, "\n", "x")
	var callers sync.WaitGroup
	var mu sync.Mutex
	arrived, sent := 0, 0
	limit := make(chan struct{}, 4)
	for _, framing := range []framingKind{byLength, byChunks, byClose} {
		for _, end := range []ending{closes, resets} {
			for _, route := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/resume/x"} {
				whole := rawAnswer{version: "HTTP/1.1", status: 200, framing: framing, body: body, chunk: 5, cut: -1, ending: end}
				_, headBytes := whole.wire("id", false)
				for cutAt := 0; cutAt < headBytes; cutAt += 11 {
					a := whole
					a.cut = cutAt
					id := fmt.Sprintf("cut-%d-%d-%s-%d", framing, end, route[1:len(route)-2], cutAt)
					limit <- struct{}{}
					callers.Go(func() {
						defer func() { <-limit }()
						got := send(route, id, a)
						if got.err == nil && got.status == http.StatusOK {
							t.Errorf("%s: status 200, body %q, framed %v", id, got.body, got.framed)
						}
						mu.Lock()
						defer mu.Unlock()
						sent++
						if servers.runsOf(id) > 0 {
							arrived++
						}
					})
				}
			}
		}
	}
	callers.Wait()
	t.Logf("%d of %d requests arrived at the server", arrived, sent)
	if arrived < sent/4 {
		t.Errorf("%d of %d requests arrived at the server, want a quarter at least", arrived, sent)
	}
}
