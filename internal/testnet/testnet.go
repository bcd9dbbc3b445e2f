// Package testnet is a network in memory for tests that run in a bubble of testing/synctest. There the clock stands still while
// any goroutine can run, so that a slow machine makes no timer and no datagram late; goroutines that wait at a real socket
// would stop the clock for good.
package testnet

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
)

const (
	// Latency is how long a datagram is on its way. All arrive in the order in which they were sent, as on a loopback device.
	Latency = time.Millisecond
	// queuedDatagrams is how many datagrams a socket holds. Further ones are dropped, as by a kernel.
	queuedDatagrams = 256
	// queuedConns is how many connections a listener holds that are not accepted yet.
	queuedConns = 128
)

// Network is a network of hosts, each with any address. Its methods are safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	sockets   map[netip.AddrPort]*socket
	lost      func(from, to netip.Addr, datagram []byte) bool
	dropped   int
	sent      map[netip.Addr]int
	received  map[netip.Addr]int
}

// Bubble runs a test in a bubble of testing/synctest.
//
// Goroutines run on one processor meanwhile, so the test must not be a parallel one: with the race detector, the runtime of Go 1.26
// crashes when two goroutines of a bubble receive from timers at the same moment that were due while they waited for something else
// (both use the race context of the bubble's timers, in unlockAndRun).
func Bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	processors := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(processors)
	synctest.Test(t, f)
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		listeners: map[netip.AddrPort]*listener{}, sockets: map[netip.AddrPort]*socket{},
		sent: map[netip.Addr]int{}, received: map[netip.Addr]int{},
	}
}

// Lose makes the network lose the datagrams for which lost returns true; nil for none.
func (n *Network) Lose(lost func(from, to netip.Addr, datagram []byte) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = lost
}

// Dropped returns how many datagrams were dropped because the queue of a socket was full.
func (n *Network) Dropped() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropped
}

// Bytes returns how many bytes of datagrams, without their headers, a host has sent and received.
func (n *Network) Bytes(host netip.Addr) (sent, received int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[host], n.received[host]
}

// ResetBytes makes Bytes count from now on.
func (n *Network) ResetBytes() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.sent)
	clear(n.received)
}

// addressError returns the error that a kernel would give, which callers tell by its number.
func addressError(op, network string, addr netip.AddrPort, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: network, Addr: net.TCPAddrFromAddrPort(addr), Err: errno}
}

// Listen opens an address for connections.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, addressError("listen", "tcp", addr, syscall.EADDRINUSE)
	}
	l := &listener{network: n, addr: addr, conns: make(chan net.Conn, queuedConns), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial opens a connection. Nobody answers at an address without a listener; the call fails at once there.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, addressError("dial", "tcp", addr, syscall.ECONNREFUSED)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, addressError("dial", "tcp", addr, syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type listener struct {
	network *Network
	addr    netip.AddrPort
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address and ends the connections that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.conns:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// ListenPacket opens an address for datagrams.
func (n *Network) ListenPacket(addr netip.AddrPort) (digest.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets[addr] != nil {
		return nil, addressError("listen", "udp", addr, syscall.EADDRINUSE)
	}
	s := &socket{network: n, addr: addr, queue: make(chan datagram, queuedDatagrams), closed: make(chan struct{})}
	n.sockets[addr] = s
	return s, nil
}

type datagram struct {
	from netip.AddrPort
	data []byte
	// arrives is when it can be read.
	arrives time.Time
}

type socket struct {
	network *Network
	addr    netip.AddrPort
	queue   chan datagram
	once    sync.Once
	closed  chan struct{}
}

// ReadFromUDPAddrPort returns the next datagram.
func (s *socket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-s.queue:
		time.Sleep(time.Until(d.arrives))
		return copy(b, d.data), d.from, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort sends a datagram, which arrives after Latency unless it is lost.
func (s *socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	select {
	case <-s.closed:
		return 0, net.ErrClosed
	default:
	}
	s.network.send(datagram{from: s.addr, data: append([]byte(nil), b...), arrives: time.Now().Add(Latency)}, to)
	return len(b), nil
}

func (n *Network) send(d datagram, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[d.from.Addr()] += len(d.data)
	target := n.sockets[to]
	if target == nil || n.lost != nil && n.lost(d.from.Addr(), to.Addr(), d.data) {
		return
	}
	select {
	case target.queue <- d:
		n.received[to.Addr()] += len(d.data)
	default:
		n.dropped++
	}
}

// LocalAddr returns the address.
func (s *socket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.addr) }

// Close frees the address.
func (s *socket) Close() error {
	err := net.ErrClosed
	s.once.Do(func() {
		s.network.mu.Lock()
		delete(s.network.sockets, s.addr)
		s.network.mu.Unlock()
		close(s.closed)
		err = nil
	})
	return err
}
