package testport

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
)

// Guards against hosts that two tests share, or that connections are opened from, and against hosts of a fleet that are not in
// order because its test starts servers in between: the router with the lowest address acts for all.
func TestHostsAreOfOneUser(t *testing.T) {
	seen := map[netip.Addr]bool{}
	last := netip.MustParseAddr(Host())
	for range 100 {
		server, router := netip.MustParseAddr(ServerHost()), netip.MustParseAddr(Host())
		if seen[server] || seen[router] || server == router {
			t.Fatalf("%v or %v is given out twice", server, router)
		}
		seen[server], seen[router] = true, true
		if !last.Less(router) {
			t.Errorf("%v follows %v", router, last)
		}
		last = router
		for _, addr := range []netip.Addr{server, router} {
			if !addr.IsLoopback() || netip.MustParsePrefix("127.0.0.0/16").Contains(addr) {
				t.Errorf("%v is no loopback address of the tests", addr)
			}
		}
	}
	for n := range uint32(hostsPerProcess) {
		for _, process := range []uint32{firstProcess, firstProcess + processes - 1} {
			if process*hostsPerProcess+n >= 1<<24 {
				t.Fatalf("host %d of process %d is not in 127.0.0.0/8", n, process)
			}
		}
	}
}

// Guards against a server whose port another test's server gets when it has ended, and which then gets its requests.
func TestPortsOfEndedServersStayFree(t *testing.T) {
	ended := NewServer(http.NotFoundHandler())
	addr := ended.Listener.Addr().String()
	ended.Close()
	if conn, err := net.Dial("tcp", addr); err == nil {
		_ = conn.Close()
		t.Errorf("%s accepts connections after its server has ended", addr)
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	other := NewUnstartedServer(http.NotFoundHandler())
	defer other.Close()
	if otherHost, _, _ := net.SplitHostPort(other.Listener.Addr().String()); otherHost == host {
		t.Errorf("a later server is at %s as well, where it may get port %s", host, port)
	}
}
