// Package testport finds free addresses for tests.
package testport

import (
	"net"
	"net/netip"
	"testing"
)

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
