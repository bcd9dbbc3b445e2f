package front_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"testing/synctest"

	"github.com/bluebellwell/bluebellwell/internal/testnet"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// bubblePeersPort is the port for digests of routers in a bubble.
const bubblePeersPort = 4

// bubbleStore is the address of the store there.
var bubbleStore = netip.MustParseAddrPort("10.0.0.1:80")

// bubbleRouter is the address of the bed's own router, for tests without a fleet.
const bubbleRouter = "10.0.0.2"

// inBubble plays a test of a fleet with the clock of a bubble of testing/synctest: it stands still while a goroutine can run. A
// slow machine makes no digest and no call to the store late there, to which routers would react by reading the store themselves,
// and rightly.
//
// Goroutines run on one processor meanwhile, so the test must not be a parallel one: with the race detector, the runtime of Go 1.26
// crashes when two goroutines of a bubble receive from timers at the same moment that were due while they waited for something else
// (both use the race context of the bubble's timers, in unlockAndRun).
func inBubble(t *testing.T, engines int, play func(f *fleetBed)) {
	t.Helper()
	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)
	synctest.Test(t, func(t *testing.T) {
		network := testnet.New()
		l, err := network.Listen(bubbleStore)
		if err != nil {
			t.Fatal(err)
		}
		f := &fleetBed{testBed: &testBed{t: t, store: platformtest.NewStoreAt(l), network: network, host: bubbleRouter, peersPort: bubblePeersPort}}
		t.Cleanup(f.store.Close)
		for range engines {
			f.addEngine()
		}
		play(f)
		if n := network.Dropped(); n > 0 {
			t.Logf("%d datagrams were dropped at full sockets", n)
		}
	})
}

// addEngine adds an engine to a bed, in the network of its bubble if it has one.
func (f *fleetBed) addEngine() *platformtest.Engine {
	f.t.Helper()
	id := fmt.Sprintf("i-%d", len(f.engines))
	var e *platformtest.Engine
	if f.network == nil {
		e = platformtest.NewEngine(id)
	} else {
		l, err := f.network.Listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 4, 0, byte(len(f.engines))}), 80))
		if err != nil {
			f.t.Fatal(err)
		}
		e = platformtest.NewEngineAt(id, l)
	}
	f.t.Cleanup(e.Close)
	f.engines = append(f.engines, e)
	return e
}
