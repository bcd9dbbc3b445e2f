package front_test

import (
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
)

// Guards against a removed server that the others use until their next own read, up to 30 s later, because the three
// readers were killed and came back with a first list that lacks it, before another router took over. The positions
// that they report do not show a removal. The store names no eras.
func TestRemovalWhileTheReadersRestartReachesTheOthers(t *testing.T) {
	inBubble(t, 3, playRemovalWhileTheReadersRestart)
}

func playRemovalWhileTheReadersRestart(f *fleetBed) {
	t := f.t
	startFleet(f, 6, func(f *fleetBed) { f.store.SetEra("") })
	f.waitFor("only the first three read the store", func() bool { return f.readers(0) == 3 && f.readers(3) == 0 })
	// The others hear no word of those that are killed.
	readers := f.routers[:3]
	f.network.Lose(func(from, _ netip.Addr, _ []byte) bool {
		return slices.ContainsFunc(readers, func(r *testBed) bool { return r.host == from.String() })
	})
	var kills sync.WaitGroup
	for _, r := range readers {
		kills.Go(r.stop)
	}
	kills.Wait()
	f.store.Put(platform.TopicServers, f.engines[1].ID, nil)
	f.network.Lose(nil)
	for _, r := range readers {
		r.start()
	}
	f.waitForUpTo(touchWindow, "all routers know that the server is gone", func() bool {
		return f.all(func(r *testBed) bool { return r.isReady() && r.serversIn("ready") == 2 })
	})
	calls := f.callsIn(4 * time.Second)
	// Two topics, each read by three readers with a wait of 0.8 s at the store and 0.05 s between two calls.
	if limit := 3 * 2 * 5; calls > limit {
		t.Errorf("%d calls in the 4 s after that, want at most %d", calls, limit)
	}
}
