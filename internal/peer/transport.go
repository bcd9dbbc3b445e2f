package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peermux"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

const (
	defaultDialTimeout  = 1 * time.Second
	defaultHelloTimeout = 1 * time.Second
	defaultIdleTimeout  = 60 * time.Second
	defaultMaxStreams   = 8192

	// firstMessageTimeout bounds the wait for the first message of a stream.
	firstMessageTimeout = 10 * time.Second
	sweepInterval       = 5 * time.Second
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 2 * time.Second
	// maxHandshakes bounds the work that unauthenticated peers can cause.
	maxHandshakes = 128
	sendQueueSize = 128
)

// Errors of the transport.
var (
	ErrClosed         = errors.New("peer transport is closed")
	ErrTooManyStreams = errors.New("too many streams on the peer connection")
	ErrQueueFull      = errors.New("queue of one-way messages to the peer is full")
	// ErrNotSent is joined to an error when no byte of the message can have
	// reached the peer.
	ErrNotSent = errors.New("message not sent")
)

// DialError reports a failed dial. It matches ErrNotSent.
type DialError struct {
	Addr string
	// InBackoff is set when Err is that of an earlier dial and the address was
	// not dialled again, because its backoff has not elapsed.
	InBackoff bool
	Err       error
}

// Error returns the address and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("dial peer %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause and ErrNotSent.
func (e *DialError) Unwrap() []error { return []error{e.Err, ErrNotSent} }

// Handler serves streams and messages from peers. Its methods are called
// concurrently.
type Handler interface {
	// HandleStream serves a stream that a peer opened with first. The stream
	// is closed when it returns. ctx ends when the transport closes.
	HandleStream(ctx context.Context, first *peerpb.Envelope, s *Stream)
	// HandleMessage handles a one-way message. It must not block: the next
	// message of the same peer waits for it.
	HandleMessage(from Peer, env *peerpb.Envelope)
}

// Config holds the settings of a Transport.
type Config struct {
	// Listen is the TCP address to accept connections on.
	Listen string
	// Advertise is this router's peer_addr in the VM list. Empty means the
	// listener's address.
	Advertise  string
	Key        []byte
	VM         string
	DataCentre string
	// SchemaVersions are the record schema versions that this router reads.
	SchemaVersions []uint32
	Meter          *meter.Meter
	Events         *event.Logger
	// Clock drives the idle timeout and the backoff. Network timeouts use real
	// time.
	Clock clockwork.Clock
	// OnDialFailure, if set, is called after each failed dial.
	OnDialFailure func(addr string, err error)
	// OnConnLost, if set, is called after a connection has ended, unless the
	// transport is closing. It must not block.
	OnConnLost func(p Peer)

	// Zero values of the following fields mean the defaults.
	DialTimeout  time.Duration
	HelloTimeout time.Duration
	IdleTimeout  time.Duration
	// MaxStreams bounds the open streams of a connection in each direction.
	MaxStreams int
	// Versions are the protocol versions offered.
	Versions []uint32
}

func (c *Config) setDefaults() {
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.HelloTimeout, defaultHelloTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.MaxStreams, defaultMaxStreams)
	if c.Versions == nil {
		c.Versions = []uint32{ProtocolVersion}
	}
	if c.Meter == nil {
		c.Meter = &meter.Meter{}
	}
	if c.Events == nil {
		c.Events = event.Nop()
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Transport manages the connections to the other routers. All methods are safe
// for concurrent use.
type Transport struct {
	cfg        Config
	listener   net.Listener
	handler    Handler
	handshakes chan struct{}
	tomb       tomb.Tomb
	ctx        context.Context

	mu      sync.Mutex
	closed  bool
	entries map[string]*entry
	conns   map[*conn]struct{}
}

// entry holds the connection, dial and sender of one address.
type entry struct {
	conn    *conn
	dialing *dialing
	// No dial is made before retryAt; until then err is returned.
	retryAt  time.Time
	err      error
	failures int
	sender   *sender
}

// dialing is a running dial. err is set before done is closed.
type dialing struct {
	done chan struct{}
	err  error
}

// New opens the listener. Connections are accepted from Start on.
func New(cfg Config) (*Transport, error) {
	cfg.setDefaults()
	if len(cfg.Key) == 0 || cfg.VM == "" {
		return nil, eris.New("peer transport needs a fleet key and a VM name")
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	setDefault(&cfg.Advertise, l.Addr().String())
	return &Transport{
		cfg:        cfg,
		listener:   l,
		handshakes: make(chan struct{}, maxHandshakes),
		entries:    map[string]*entry{},
		conns:      map[*conn]struct{}{},
	}, nil
}

// Start serves incoming connections with h. It is called once, before any
// other method but Addr.
func (t *Transport) Start(h Handler) {
	t.handler = h
	t.ctx = t.tomb.Context(context.Background())
	t.tomb.Go(t.acceptLoop)
	t.tomb.Go(t.sweepLoop)
}

// Addr returns the address that peers dial.
func (t *Transport) Addr() string {
	return t.cfg.Advertise
}

// Close ends all connections and waits for handlers to return. A transport that
// was not started only closes its listener.
func (t *Transport) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return t.tomb.Wait()
	}
	t.closed = true
	if t.handler == nil {
		t.mu.Unlock()
		return t.listener.Close()
	}
	t.tomb.Kill(nil)
	conns := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	_ = t.listener.Close()
	for _, c := range conns {
		_ = c.mux.Close()
	}
	return t.tomb.Wait()
}

// Connect dials addr unless there is a connection.
func (t *Transport) Connect(ctx context.Context, addr string) error {
	_, err := t.get(ctx, addr)
	return err
}

// CloseConn closes the connection to addr, whose peer is presumed dead. The next
// use dials again.
func (t *Transport) CloseConn(addr string) {
	t.mu.Lock()
	var c *conn
	if e := t.entries[addr]; e != nil {
		c = e.conn
		e.conn = nil
	}
	t.mu.Unlock()
	if c != nil {
		_ = c.mux.Close()
	}
}

// Open opens a stream to the router at addr. The end of ctx also fails blocked
// operations of the stream. Every error matches ErrNotSent.
func (t *Transport) Open(ctx context.Context, addr string) (*Stream, error) {
	c, err := t.get(ctx, addr)
	if err != nil {
		return nil, err
	}
	s, err := c.open()
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	s.stopAbort = s.abortOnDone(ctx)
	return s, nil
}

// Call sends one message and waits for one reply. An error that matches
// ErrNotSent means that the peer has not received the message.
func (t *Transport) Call(ctx context.Context, addr string, env *peerpb.Envelope) (*peerpb.Envelope, error) {
	s, err := t.Open(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if err := s.Send(env); err != nil {
		return nil, joinContextError(ctx, markNotSent(err))
	}
	reply, err := s.Recv()
	if err != nil {
		return nil, joinContextError(ctx, err)
	}
	return reply, nil
}

// markNotSent joins ErrNotSent to an error of Stream.Send after which nothing
// was written.
func markNotSent(err error) error {
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrEmpty) {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

// joinContextError joins the error of ctx to err if ctx has ended.
func joinContextError(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return errors.Join(cause, err)
	}
	return err
}

// get returns the connection to addr. It dials, or waits for a running dial, when
// there is none.
func (t *Transport) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c, wait, err := t.lookup(addr)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-wait.done:
			if wait.err != nil {
				return nil, &DialError{Addr: addr, Err: wait.err}
			}
		case <-ctx.Done():
			return nil, &DialError{Addr: addr, Err: ctx.Err()}
		case <-t.tomb.Dying():
			return nil, &DialError{Addr: addr, Err: ErrClosed}
		}
	}
}

// lookup returns the connection to addr, the error of the last dial during its
// backoff, or the running dial, which it starts if needed.
func (t *Transport) lookup(addr string) (*conn, *dialing, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, nil, &DialError{Addr: addr, Err: ErrClosed}
	}
	e := t.entry(addr)
	if e.conn != nil && !e.conn.mux.IsClosed() {
		return e.conn, nil, nil
	}
	if e.dialing != nil {
		return nil, e.dialing, nil
	}
	if t.cfg.Clock.Now().Before(e.retryAt) {
		return nil, nil, &DialError{Addr: addr, InBackoff: true, Err: e.err}
	}
	e.dialing = &dialing{done: make(chan struct{})}
	t.tomb.Go(func() error {
		t.dial(addr, e)
		return nil
	})
	return nil, e.dialing, nil
}

// entry returns the entry of addr, which it adds if needed. The caller holds
// t.mu.
func (t *Transport) entry(addr string) *entry {
	e := t.entries[addr]
	if e == nil {
		e = &entry{}
		t.entries[addr] = e
	}
	return e
}

// dial connects to addr and records the result in the entry.
func (t *Transport) dial(addr string, e *entry) {
	c, err := t.connect(addr, false)
	t.mu.Lock()
	if err == nil {
		err = t.register(c)
	}
	if err != nil {
		e.failures++
		e.err = err
		e.retryAt = t.cfg.Clock.Now().Add(backoff(e.failures))
	}
	e.dialing.err = err
	close(e.dialing.done)
	e.dialing = nil
	t.mu.Unlock()
	if err != nil {
		t.cfg.Events.Emit(event.PeerDialFailed, "addr", addr, "error", err)
		if t.cfg.OnDialFailure != nil {
			t.cfg.OnDialFailure(addr, err)
		}
	}
}

// backoff doubles from minBackoff up to maxBackoff, with a jitter of half.
func backoff(failures int) time.Duration {
	d := minBackoff << min(failures-1, 10)
	d = min(d, maxBackoff)
	return d/2 + rand.N(d/2)
}

// Probe tests whether the router at addr answers the handshake. It dials a
// separate connection, does not affect the one in use and ignores the backoff.
func (t *Transport) Probe(addr string) error {
	c, err := t.connect(addr, true)
	if err != nil {
		return &DialError{Addr: addr, Err: err}
	}
	// The peer closes first: a close by this side could take effect before the
	// peer has read the last hello.
	select {
	case <-c.mux.CloseChan():
	case <-t.ctx.Done():
	case <-time.After(t.cfg.HelloTimeout):
	}
	return c.mux.Close()
}

func (t *Transport) connect(addr string, probe bool) (*conn, error) {
	d := net.Dialer{Timeout: t.cfg.DialTimeout}
	raw, err := d.DialContext(t.ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Client(&peermux.CoalescingConn{Conn: raw}, peermux.Config(t.cfg.Events))
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	peer, err := t.dialHandshake(mux, probe)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return &conn{t: t, peer: peer, addr: addr, mux: mux, dialled: true}, nil
}

func (t *Transport) dialHandshake(mux *yamux.Session, probe bool) (Peer, error) {
	stop := context.AfterFunc(t.ctx, func() { _ = mux.Close() })
	defer stop()
	s, err := mux.OpenStream()
	if err != nil {
		return Peer{}, err
	}
	defer s.Close()
	_ = s.SetDeadline(time.Now().Add(t.cfg.HelloTimeout))
	h := t.handshaker()
	h.hello.Probe = probe
	return h.dial(s)
}

func (t *Transport) handshaker() *handshaker {
	return &handshaker{key: t.cfg.Key, meter: t.cfg.Meter, hello: &peerpb.Hello{
		Versions:       t.cfg.Versions,
		Vm:             t.cfg.VM,
		DataCentre:     t.cfg.DataCentre,
		SchemaVersions: t.cfg.SchemaVersions,
		PeerAddr:       t.cfg.Advertise,
	}}
}

// register adds an authenticated connection to the tables and serves its streams.
// The caller holds t.mu.
func (t *Transport) register(c *conn) error {
	if t.closed {
		go c.mux.Close()
		return ErrClosed
	}
	c.touch()
	e := t.entry(c.addr)
	e.failures = 0
	e.retryAt = time.Time{}
	if c.replaces(e.conn) {
		e.conn = c
	}
	t.conns[c] = struct{}{}
	t.tomb.Go(func() error {
		t.serve(c)
		return nil
	})
	t.cfg.Events.Emit(event.PeerConnected, "vm", c.peer.VM, "addr", c.addr, "dialled", c.dialled)
	return nil
}

func (t *Transport) unregister(c *conn) {
	_ = c.mux.Close()
	if t.cfg.OnConnLost != nil && !c.peer.probe && t.tomb.Alive() {
		t.cfg.OnConnLost(c.peer)
	}
	t.mu.Lock()
	delete(t.conns, c)
	if e := t.entries[c.addr]; e != nil && e.conn == c {
		e.conn = nil
	}
	t.mu.Unlock()
	t.cfg.Events.Emit(event.PeerClosed, "vm", c.peer.VM, "addr", c.addr)
}

// sweepLoop closes idle connections and removes unused senders and entries.
func (t *Transport) sweepLoop() error {
	ticker := t.cfg.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			t.sweep()
		case <-t.tomb.Dying():
			return nil
		}
	}
}

func (t *Transport) sweep() {
	now := t.cfg.Clock.Now()
	for _, c := range t.collectIdle(now) {
		_ = c.mux.Close()
	}
}

// collectIdle returns the idle connections and removes unused senders and
// entries.
func (t *Transport) collectIdle(now time.Time) []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []*conn
	for c := range t.conns {
		if c.outgoing.Load() == 0 && c.incoming.Load() == 0 && c.idleFor(now) >= t.idleLimit(c) {
			idle = append(idle, c)
		}
	}
	for addr, e := range t.entries {
		t.removeUnused(addr, e, now)
	}
	return idle
}

// idleLimit returns the idle time after which a connection is closed. The
// dialling side closes first, so that one side does not close while the other
// begins to send. A connection that is not in the table, because a parallel one
// is used instead, is closed sooner.
func (t *Transport) idleLimit(c *conn) time.Duration {
	if e := t.entries[c.addr]; e == nil || e.conn != c {
		return sweepInterval
	}
	if c.dialled {
		return t.cfg.IdleTimeout
	}
	return 2 * t.cfg.IdleTimeout
}

// removeUnused stops an unused sender and removes an unused entry.
func (t *Transport) removeUnused(addr string, e *entry, now time.Time) {
	if e.sender != nil && now.Sub(e.sender.lastUse) >= t.cfg.IdleTimeout {
		close(e.sender.stop)
		e.sender = nil
	}
	if e.conn == nil && e.dialing == nil && e.sender == nil && now.Sub(e.retryAt) >= t.cfg.IdleTimeout {
		delete(t.entries, addr)
	}
}
