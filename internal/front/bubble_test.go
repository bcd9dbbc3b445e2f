package front_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/testnet"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// bubblePeersPort is the port for digests of routers in a bubble.
const bubblePeersPort = 5000

// bubbleStore is the address of the store there.
var bubbleStore = netip.MustParseAddrPort("10.0.0.1:80")

// bubbleRouter is the address of the bed's own router, for tests without a fleet.
const bubbleRouter = "10.0.0.2"

// inBubble runs a test of a fleet in a bubble (testnet.Bubble), whose clock stands still while a goroutine can run. On a slow
// machine digests and calls to the store would be late, and routers react to that by reading the store themselves.
func inBubble(t *testing.T, engines int, play func(f *fleetBed)) {
	t.Helper()
	testnet.Bubble(t, func(t *testing.T) {
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
