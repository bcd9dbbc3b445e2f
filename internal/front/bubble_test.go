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

// inBubble plays a test of a fleet with the clock of a bubble of testing/synctest: it stands still while a goroutine can run. A
// slow machine makes no digest and no call to the store late there, to which routers would react by reading the store themselves,
// and rightly. The servers serve nothing; they only have entries in the store.
//
// Goroutines run on one processor meanwhile, so the test must not be a parallel one: with the race detector, the runtime of Go 1.26
// crashes when two goroutines of a bubble receive from timers at the same moment that were due while they waited for something else
// (both use the race context of the bubble's timers, in unlockAndRun).
func inBubble(t *testing.T, engines int, play func(f *fleetBed)) {
	t.Helper()
	var list []*platformtest.Engine
	for i := range engines {
		e := platformtest.NewEngine(fmt.Sprintf("i-%d", i))
		t.Cleanup(e.Close)
		list = append(list, e)
	}
	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)
	synctest.Test(t, func(t *testing.T) {
		network := testnet.New()
		l, err := network.Listen(bubbleStore)
		if err != nil {
			t.Fatal(err)
		}
		f := &fleetBed{testBed: &testBed{t: t, store: platformtest.NewStoreAt(l), engines: list, network: network}}
		t.Cleanup(f.store.Close)
		play(f)
		if n := network.Dropped(); n > 0 {
			t.Logf("%d datagrams were dropped at full sockets", n)
		}
	})
}
