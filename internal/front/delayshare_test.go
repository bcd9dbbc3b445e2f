package front_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// delayShare returns a router's share of the requests to the pool, or nil.
func delayShare(b *testBed) *forward.DelayShareStatus {
	for _, p := range b.front.Status().Pools {
		if p.Name == "pool" {
			return p.DelayShare
		}
	}
	return nil
}

// Guards against times that do not reach the other routers: one that has sent no request knows from digests that requests take long at the
// servers, and sends all again when they no longer do.
func TestRoutersShareTheTimesOfAPlainPool(t *testing.T) {
	inBubble(t, 0, playDelayShare)
}

func playDelayShare(f *fleetBed) {
	const routers = 3
	server := newScarceServer(f.t, f.network, 300*time.Millisecond)
	startFleet(f, routers, func(f *fleetBed) {
		for _, r := range f.routers {
			r.delayShare = true
		}
		f.store.Put(platform.TopicServers, "s-0", platformtest.Entry{Pool: "pool", Addr: server.addr, State: platformtest.StateReady, Slots: scarceSlots}.Encode())
	})
	f.waitFor("the share is known", func() bool { return delayShare(f.routers[0]) != nil })
	var callers sync.WaitGroup
	var ended, rejected atomic.Bool
	for range 30 {
		callers.Go(func() {
			for !ended.Load() {
				got := f.routers[0].do(f.routers[0].request("POST", "/unsafe/x", "x"))
				if got.status == http.StatusServiceUnavailable {
					rejected.Store(true)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	defer callers.Wait()
	defer ended.Store(true)
	f.waitFor("requests are rejected, and a router without any knows the times", func() bool {
		s := delayShare(f.routers[routers-1])
		return rejected.Load() && s != nil && s.Share < 1 && s.Mean > s.Target
	})
	ended.Store(true)
	f.waitFor("all requests are sent again", func() bool {
		for _, r := range f.routers {
			if s := delayShare(r); s == nil || s.Share < 1 {
				return false
			}
		}
		return true
	})
}
