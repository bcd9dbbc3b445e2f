package tunnel

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/peermux"
)

const (
	// maxAsked is the number of routers that are asked for one connection. Most of a data centre
	// may have lost the same links.
	maxAsked = 4
	// askTimeout bounds the wait for one router: for its connection to the server and the way there.
	askTimeout = 200 * time.Millisecond
	// avoidTime is how long a router that could not help is asked after the others.
	avoidTime = time.Second
	// idleSession is how long the connection to a carrier is kept without use.
	idleSession = 10 * time.Second
	// keepAlive is the time between probes of the connection to a carrier, and sessionWrite how long it
	// may take no data.
	keepAlive    = time.Second
	sessionWrite = time.Second
)

// Errors of Dial.
var (
	// ErrRefused: the server accepts no connections from another router either.
	ErrRefused = errors.New("tunnel: the server refuses another router as well")
	// ErrNoCarrier: no other router could open the connection.
	ErrNoCarrier = errors.New("tunnel: no other router reaches the server")
)

// Client opens connections through other routers. It is safe for concurrent use.
type Client struct {
	port   uint16
	events *event.Logger
	// routers returns the addresses of the routers that may carry connections.
	routers func() []netip.Addr
	// regionOf returns the region of a router; empty when it is not known.
	regionOf func(netip.Addr) string
	// askTimeout bounds the wait for one router.
	askTimeout time.Duration

	mu       sync.Mutex
	sessions map[netip.Addr]*session
	// avoid has until when a router is asked after the others.
	avoid map[netip.Addr]time.Time
}

// session is the connection to a carrier; its mutex is held while it is opened.
type session struct {
	mu  sync.Mutex
	mux *yamux.Session
}

// NewClient returns a client. All routers listen at the same port.
func NewClient(port uint16, routers func() []netip.Addr, events *event.Logger) *Client {
	regionOf := func(netip.Addr) string { return "" }
	return &Client{
		port: port, events: events, routers: routers, regionOf: regionOf, askTimeout: askTimeout,
		sessions: make(map[netip.Addr]*session), avoid: make(map[netip.Addr]time.Time),
	}
}

// SetRegionOf sets the function that returns the region of a router, empty for one that is not known. Call it before Dial.
func (c *Client) SetRegionOf(f func(netip.Addr) string) { c.regionOf = f }

// Dial opens a connection to a server through another router, in one of the regions when there are any. Its error is
// ErrRefused, ErrNoCarrier or that of ctx.
func (c *Client) Dial(ctx context.Context, addr string, regions ...string) (net.Conn, error) {
	for _, router := range c.candidates(time.Now(), regions...) {
		conn, err := c.dialThrough(ctx, router, addr)
		switch {
		case err == nil:
			return conn, nil
		case errors.Is(err, ErrRefused):
			return nil, err
		case ctx.Err() != nil:
			return nil, eris.Wrap(ctx.Err(), "no other router answered in time")
		}
		c.setAvoided(time.Now(), router)
	}
	return nil, ErrNoCarrier
}

// candidates returns the routers to ask, in a random order, so that those which carry share the load,
// and the ones that could not help lately last. Only those in one of the regions count when there are any.
func (c *Client) candidates(now time.Time, regions ...string) []netip.Addr {
	list := c.routers()
	if len(regions) > 0 {
		list = slices.DeleteFunc(list, func(router netip.Addr) bool {
			region := c.regionOf(router)
			return region == "" || !slices.Contains(regions, region)
		})
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	first, last := make([]netip.Addr, 0, len(list)), []netip.Addr{}
	for _, router := range list {
		if now.Before(c.avoid[router]) {
			last = append(last, router)
			continue
		}
		delete(c.avoid, router)
		first = append(first, router)
	}
	list = append(first, last...)
	return list[:min(maxAsked, len(list))]
}

func (c *Client) setAvoided(now time.Time, router netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[router] = now.Add(avoidTime)
}

// dialThrough opens a connection to a server through one router.
func (c *Client) dialThrough(ctx context.Context, router netip.Addr, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.askTimeout)
	defer cancel()
	s := c.session(router)
	stream, err := s.open(ctx, netip.AddrPortFrom(router, c.port), c.events)
	if err != nil {
		return nil, err
	}
	conn := newConn(stream, router, s.closeWhenIdle)
	deadline, _ := ctx.Deadline()
	if err := conn.ask(deadline, addr); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

// ask asks the carrier for a connection to a server.
func (c *Conn) ask(deadline time.Time, addr string) error {
	if err := c.SetDeadline(deadline); err != nil {
		return eris.Wrap(err, "cannot set a deadline")
	}
	if _, err := c.Stream.Write((&frame{open: addr}).append(nil)); err != nil {
		return eris.Wrap(err, "cannot ask another router for a connection")
	}
	f, err := readFrame(c.r, c.buffer)
	switch {
	case err != nil:
		return eris.Wrap(err, "no answer of another router")
	case f.result == refused:
		return ErrRefused
	case f.result != opened:
		return ErrNoCarrier
	}
	return eris.Wrap(c.SetDeadline(time.Time{}), "cannot clear the deadline")
}

func (c *Client) session(router netip.Addr) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sessions[router]
	if s == nil {
		s = &session{}
		c.sessions[router] = s
	}
	return s
}

// open opens a stream, and the connection to the carrier when there is none.
func (s *session) open(ctx context.Context, router netip.AddrPort, events *event.Logger) (*yamux.Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mux == nil || s.mux.IsClosed() {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", router.String())
		if err != nil {
			return nil, eris.Wrap(err, "cannot connect to another router")
		}
		s.mux, err = yamux.Client(&peermux.CoalescingConn{Conn: raw}, sessionConfig(events))
		if err != nil {
			return nil, eris.Wrap(errors.Join(err, raw.Close()), "cannot start yamux")
		}
	}
	stream, err := s.mux.OpenStream()
	return stream, eris.Wrap(err, "cannot open a stream to another router")
}

// closeWhenIdle closes the connection to the carrier once it has not been used for a while.
func (s *session) closeWhenIdle() {
	time.AfterFunc(idleSession, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.mux != nil && s.mux.NumStreams() == 0 {
			_ = s.mux.Close()
			s.mux = nil
		}
	})
}

// Close closes the connections to all carriers.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	for _, s := range c.sessions {
		s.mu.Lock()
		if s.mux != nil {
			err = errors.Join(err, s.mux.Close())
			s.mux = nil
		}
		s.mu.Unlock()
	}
	return err
}

// sessionConfig returns the configuration of the connections between routers. Probes end one whose
// other side is frozen or cut off.
func sessionConfig(events *event.Logger) *yamux.Config {
	cfg := peermux.Config(events)
	cfg.EnableKeepAlive, cfg.KeepAliveInterval = true, keepAlive
	cfg.ConnectionWriteTimeout = sessionWrite
	return cfg
}

var _ net.Conn = (*Conn)(nil)
