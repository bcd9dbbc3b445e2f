// Package testport finds free addresses for tests.
package testport

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
)

const (
	// hostsPerProcess is the number of hosts that a process has for itself.
	hostsPerProcess = 2000
	// routerHosts is the number of those that Host returns. ServerHost has the others, so that hosts of Host are in order in a
	// fleet whose test starts servers in between.
	routerHosts = 1000
	// firstProcess keeps the hosts away from 127.0.0.0/16, from whose addresses connections are opened.
	firstProcess = 33
	// processes is the number of processes that have hosts of their own; all fit 127.0.0.0/8.
	processes = 8000
)

var hosts, serverHosts atomic.Uint32

// Host returns a loopback address that no other test uses, in this process or in another one that runs now, unless their IDs
// differ by a multiple of 8,000. A port that is free there is not taken by a listener or a connection of another test. Later calls
// return higher addresses; after 1,000 calls they begin again.
func Host() string {
	return host(hosts.Add(1) % routerHosts)
}

// ServerHost returns a loopback address for a single server. A port of 127.0.0.1 that a server frees may be given to one of
// another test, which then gets its requests, and all ports there can be taken by connections that have just ended. Addresses
// repeat as those of Host do.
func ServerHost() string {
	return host(routerHosts + serverHosts.Add(1)%(hostsPerProcess-routerHosts))
}

// Listener listens at a host of its own.
func Listener() net.Listener {
	l, err := net.Listen("tcp", ServerHost()+":0")
	if err != nil {
		panic(fmt.Sprintf("testport: %v", err))
	}
	return l
}

// NewUnstartedServer is httptest.NewUnstartedServer with a host of its own.
func NewUnstartedServer(h http.Handler) *httptest.Server {
	return &httptest.Server{Listener: Listener(), Config: &http.Server{Handler: h}}
}

// NewServer is httptest.NewServer with a host of its own.
func NewServer(h http.Handler) *httptest.Server {
	s := NewUnstartedServer(h)
	s.Start()
	return s
}

// host returns the n-th address of this process.
func host(n uint32) string {
	process := firstProcess + uint32(os.Getpid())%processes
	var addr [4]byte
	binary.BigEndian.PutUint32(addr[:], process*hostsPerProcess+n)
	addr[0] = 127
	return netip.AddrFrom4(addr).String()
}

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
