package forward

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/testnet"
)

// inVirtualTime runs a test with a clock that advances only while all goroutines wait. The load of the machine delays no timer
// there, so that times can be checked exactly. Its beds need bedOptions.virtual: on sockets the clock would stand still. The test
// must not be parallel (testnet.Bubble).
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	testnet.Bubble(t, f)
}

// serveInMemory serves h until the end of the test and returns the address.
func (b *bed) serveInMemory(h http.Handler) string {
	b.listeners++
	l, err := b.network.Listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(b.listeners)}), 80))
	if err != nil {
		b.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ErrorLog: hclog.NewNullLogger().StandardLogger(nil)}
	go func() { _ = s.Serve(l) }()
	b.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// serveVirtually starts a server of a bed in virtual time.
func (b *bed) serveVirtually(id string) *registry.Server {
	return &registry.Server{ID: id, Pool: "p", Addr: b.serveInMemory(b.server(id)), Slots: 64}
}

// startVirtually serves the callers of a bed in virtual time.
func (b *bed) startVirtually() {
	b.addr = b.serveInMemory(b.handler)
	b.callers = &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: b.network.Dial}
	b.t.Cleanup(b.callers.CloseIdleConnections)
}
