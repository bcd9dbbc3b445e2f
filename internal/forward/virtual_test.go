package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// inVirtualTime runs a test with a clock that advances only while all goroutines wait. The load of the machine delays no timer
// there, so that times can be checked exactly. Its beds need bedOptions.virtual: on sockets the clock would stand still.
//
// Goroutines run on one processor meanwhile, so the test must not be a parallel one: with the race detector, the runtime of Go 1.26
// crashes when two goroutines of a bubble receive at the same moment from timers that were due while they waited for something else.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)
	synctest.Test(t, f)
}

// memoryNet connects callers, a router and servers in memory. It is safe for concurrent use.
type memoryNet struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// listen returns a listener with an address of its own.
func (n *memoryNet) listen() *memoryListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*memoryListener)
	}
	l := &memoryListener{addr: memoryAddr(fmt.Sprintf("10.0.0.%d:80", len(n.listeners)+1)), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[l.addr.String()] = l
	return l
}

// dial connects to a listener.
func (n *memoryNet) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	own, peer := net.Pipe()
	select {
	case l.conns <- peer:
		return own, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

type memoryListener struct {
	addr   memoryAddr
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *memoryListener) Addr() net.Addr { return l.addr }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// serveInMemory serves h until the end of the test and returns the address.
func (b *bed) serveInMemory(h http.Handler) string {
	l := b.memory.listen()
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
	b.callers = &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: b.memory.dial}
	b.t.Cleanup(b.callers.CloseIdleConnections)
}
