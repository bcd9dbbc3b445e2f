package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// drainTime is drainMs of the platform's bounds: requests that callers send later must not reach a
// server that has said that it leaves.
const drainTime = 2 * time.Second

// sendAll sends requests of each kind, whose prompts no engine has, and returns how many got 200.
func (b *testBed) sendAll(n int) (served int) {
	for i := range n {
		route := []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"}[i%4]
		if got := b.prompted(route, fmt.Sprintf("50%x", requests.Add(1))); got.status == http.StatusOK {
			served++
		}
	}
	return served
}

// Guards against requests to a server that says in its answers that it leaves, while its entry in the
// store still says that it is ready, and against a server that is not used again when it has restarted.
func TestServerThatSaysThatItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]platformtest.Fault{"answers": platformtest.None, "refusals": platformtest.Refuse, "failures": platformtest.Fail} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 3).run()
			leaving := b.engines[0]
			leaving.SetAnswerHeader(platformtest.HeaderLeaving, "1")
			leaving.SetDefaultFault(fault)
			b.waitFor("the server has answered", func() bool {
				b.sendAll(4)
				return len(leaving.Requests()) > 0
			})
			time.Sleep(drainTime)
			reached := len(leaving.Requests())
			if served := b.sendAll(40); served != 40 {
				t.Errorf("%d of 40 requests are served by the others", served)
			}
			if n := len(leaving.Requests()) - reached; n > 0 {
				t.Errorf("%d requests reached the server that leaves", n)
			}
			leaving.SetAnswerHeader(platformtest.HeaderLeaving, "")
			leaving.SetDefaultFault(platformtest.None)
			leaving.Restart(time.Now())
			b.register(platformtest.StateReady, leaving)
			b.waitFor("the server is used again after its restart", func() bool {
				b.sendAll(4)
				return len(leaving.Requests()) > reached
			})
		})
	}
}

// Guards against requests that are held or guessed when all servers leave.
func TestRequestIsRefusedWhenAllServersLeave(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 2).run()
	for _, e := range b.engines {
		e.SetAnswerHeader(platformtest.HeaderLeaving, "1")
	}
	b.sendAll(8)
	reached := b.requestCount()
	if got := b.prompted("/safe/x"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || b.requestCount() != reached {
		t.Errorf("status %d, Retry-After %q, %d further requests; want a refusal", got.status, got.header.Get("Retry-After"), b.requestCount()-reached)
	}
}
