package front_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// The platform's rule on servers that turn requests away for a while: from quietAfter after such an
// answer to the end of the time that it names, at most maxUnwanted requests.
const (
	quietAfter  = 500 * time.Millisecond
	maxUnwanted = 2
)

// Guards against requests to a server that has turned one away and named the time in which it wants
// none, and against a server that is not used again after that time.
func TestServerThatWantsNoRequestsForAWhileGetsNone(t *testing.T) {
	t.Parallel()
	const wanted = 2 * time.Second
	b := newTestBedWith(t, 3).run()
	refusing := b.engines[0]
	refusing.SetAnswerHeader("Retry-After", "2.0")
	refusing.SetDefaultFault(platformtest.Refuse)
	b.waitFor("the server has refused a request", func() bool {
		b.sendAll(4)
		return len(refusing.Requests()) > 0
	})
	refused := refusing.Requests()[0].ReceivedAt
	served, sent := 0, 0
	for time.Since(refused) < wanted-100*time.Millisecond {
		served += b.sendAll(4)
		sent += 4
		time.Sleep(20 * time.Millisecond)
	}
	unwanted := 0
	for _, r := range refusing.Requests() {
		if after := r.ReceivedAt.Sub(refused); after > quietAfter && after < wanted {
			unwanted++
		}
	}
	if unwanted > maxUnwanted || served != sent {
		t.Errorf("%d requests reached the server meanwhile, want at most %d; %d of %d are served", unwanted, maxUnwanted, served, sent)
	}
	refusing.SetAnswerHeader("Retry-After", "")
	refusing.SetDefaultFault(platformtest.None)
	reached := len(refusing.Requests())
	b.waitFor("the server is used again", func() bool {
		b.sendAll(4)
		return len(refusing.Requests()) > reached
	})
}

// Guards against callers that are held, or sent to servers that want nothing, when all have turned
// requests away.
func TestRequestIsRefusedWhenAllServersWantNone(t *testing.T) {
	inBubble(t, 2, playRefusalWhenAllServersWantNone)
}

func playRefusalWhenAllServersWantNone(f *fleetBed) {
	t, b := f.t, f.run()
	for _, e := range b.engines {
		e.SetAnswerHeader("Retry-After", "30")
		e.SetDefaultFault(platformtest.Refuse)
	}
	b.sendAll(8)
	reached := b.requestCount()
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			begin := time.Now()
			got := b.prompted("/safe/x")
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || time.Since(begin) > time.Second {
				t.Errorf("status %d, Retry-After %q after %v; want a refusal at once", got.status, got.header.Get("Retry-After"), time.Since(begin))
			}
		})
	}
	callers.Wait()
	if n := b.requestCount() - reached; n > 0 {
		t.Errorf("%d requests reached servers that want none", n)
	}
}
