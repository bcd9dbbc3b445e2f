package digest

import (
	"fmt"
	"net/netip"
	"testing"
)

// Guards against the slots of a busy pool granted by a router with little processor time, which answers late, and against
// routers that disagree on the order.
func TestRoutersWithMuchProcessorTimeGrantFirst(t *testing.T) {
	list := func(reversed bool) []grantPeer {
		var peers []grantPeer
		for i := range 40 {
			p := grantPeer{processor: 192}
			p.addr = netip.MustParseAddr(fmt.Sprintf("10.0.0.%d", i+1))
			p.hash = addrHash(p.addr)
			if i%10 == 0 {
				p.processor = 800
			}
			if i == 1 {
				// One of an earlier build does not say.
				p.processor = 0
			}
			peers = append(peers, p)
		}
		if reversed {
			for i := range 20 {
				peers[i], peers[39-i] = peers[39-i], peers[i]
			}
		}
		return peers
	}
	a, b := list(false), list(true)
	rankGranters(a, 7)
	rankGranters(b, 7)
	for i := range a {
		if strong := a[i].processor == 800; strong != (i < 4) {
			t.Errorf("router %d of the order has %d thousandths of a core, want the four with 800 first", i, a[i].processor)
		}
		if a[i].addr != b[i].addr {
			t.Errorf("router %d of the order is %v or %v", i, a[i].addr, b[i].addr)
		}
	}
	rankGranters(b[:0], 7)
}
