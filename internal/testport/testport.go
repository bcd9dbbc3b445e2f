// Package testport finds free addresses for tests.
package testport

import (
	"net"
	"net/netip"
	"testing"
)

// FreeAddrsWith returns n free addresses of a host, the last with the given port, which others of a fleet use on
// their hosts as well; 0 for any.
func FreeAddrsWith(t testing.TB, host string, n int, last uint16) []netip.AddrPort {
	t.Helper()
	if last == 0 {
		return FreeAddrs(t, host, n)
	}
	addr := netip.AddrPortFrom(netip.MustParseAddr(host), last)
	// An error means that something else has the port already, so that no other address gets it either.
	if l, err := net.Listen("tcp", addr.String()); err == nil {
		defer l.Close()
	}
	return append(FreeAddrs(t, host, n-1), addr)
}

// FreeAddrs returns n addresses of a host whose ports were free when it returned. All
// listeners stay open until the last port is assigned, because the kernel may
// assign a closed port again.
func FreeAddrs(t testing.TB, host string, n int) []netip.AddrPort {
	t.Helper()
	var addrs []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addrs = append(addrs, netip.MustParseAddrPort(l.Addr().String()))
	}
	return addrs
}
