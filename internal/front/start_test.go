package front_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/front"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
)

// Guards against a router that cannot start and keeps the addresses that it has
// opened, so that the next attempt in the process fails as well.
func TestFailedStartReleasesAddresses(t *testing.T) {
	ports := testport.FreeAddrs(t, testport.Host(), 4)
	for _, c := range []struct {
		name string
		// busy is the index of the address that another listener has.
		busy    int
		network string
	}{{"peers", 3, "udp"}, {"readiness", 1, "tcp"}, {"metrics", 2, "tcp"}} {
		t.Run(c.name, func(t *testing.T) {
			release := occupy(t, c.network, ports[c.busy])
			s := &settings.Front{
				VM: "front-1", DataCentre: "hall-a", MemoryMB: 200, Cores: 1, FirstStart: true,
				ListenCallers: ports[0], ListenReadiness: ports[1], ListenMetrics: ports[2], ListenPeers: ports[3],
				StoreAddress: netip.MustParseAddrPort("127.0.7.1:1"), Bounds: settings.FrontBounds{StopTimeout: time.Second},
			}
			f, err := front.New(s, platform.Connect("127.0.7.1:1"), hclog.NewNullLogger())
			if err == nil {
				err = f.Start()
			}
			if err == nil {
				t.Fatal("the router started although an address is in use")
			}
			release()
			for i, addr := range ports {
				network := "tcp"
				if i == 3 {
					network = "udp"
				}
				occupy(t, network, addr)()
			}
		})
	}
}

// occupy opens an address and returns the function that closes it.
func occupy(t *testing.T, network string, addr netip.AddrPort) (release func()) {
	t.Helper()
	if network == "udp" {
		c, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(addr))
		if err != nil {
			t.Fatal(err)
		}
		return func() { _ = c.Close() }
	}
	l, err := net.Listen(network, addr.String())
	if err != nil {
		t.Fatal(err)
	}
	return func() { _ = l.Close() }
}
