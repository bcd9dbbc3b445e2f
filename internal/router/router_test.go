package router_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
	"github.com/bluebellwell/bluebellwell/internal/testport"
)

// waitLimit bounds waits for events that must happen.
const waitLimit = 20 * time.Second

// startBed starts a testbed with one engine and one backend server.
func startBed(t *testing.T, tune func(*settings.Settings)) *testbed.Bed {
	t.Helper()
	bed, err := testbed.New(testbed.Options{
		Profile: testbed.Profiles()["lam-dong"], Routers: 1, Engines: 1, Backends: 1, Tune: tune,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	return bed
}

// listens reports whether something accepts connections at an address.
func listens(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Guards against a stop that never ends, or that leaves a listener open so that
// the next start of the router on the VM fails.
func TestStopClosesListeners(t *testing.T) {
	// Nothing else listens at this host, so that nobody gets the ports once they are free.
	bed := startBed(t, func(s *settings.Settings) {
		s.ListenCallers = netip.MustParseAddrPort(testport.Host() + ":0")
		s.ListenPeers = netip.MustParseAddrPort(testport.Host() + ":0")
	})
	r, err := bed.StartRouter()
	if err != nil {
		t.Fatal(err)
	}
	if !listens(r.Addr()) || !listens(r.PeerAddr()) {
		t.Fatal("a started router does not listen")
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	if err := bed.StopRouter(ctx, r.VM()); err != nil {
		t.Fatal(err)
	}
	select {
	case <-r.Dead():
	case <-ctx.Done():
		t.Fatal("the router has not stopped")
	}
	if listens(r.Addr()) || listens(r.PeerAddr()) {
		t.Error("a stopped router still listens")
	}
}

// Guards against a failed start that leaves the listener for peers open, so that
// no later start of the router on the VM succeeds.
func TestFailedStartClosesPeerListener(t *testing.T) {
	used, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer used.Close()
	// Nothing else listens at this host, so that nobody gets the port while it is free.
	free, err := net.Listen("tcp", testport.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	peers := free.Addr().String()
	_ = free.Close()
	bed := startBed(t, func(s *settings.Settings) {
		s.ListenCallers = netip.MustParseAddrPort(used.Addr().String())
		s.ListenPeers = netip.MustParseAddrPort(peers)
	})
	if _, err := bed.StartRouter(); err == nil {
		t.Fatal("a router started on a used address")
	}
	if listens(peers) {
		t.Error("the listener for peers is still open")
	}
}
