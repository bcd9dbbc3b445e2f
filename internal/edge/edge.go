// Package edge accepts callers' connections and passes their requests to a
// handler. It closes connections that are idle, or send the headers of a request, for
// longer than the limits of the configuration in force, which may change meanwhile.
package edge

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

const (
	// defaultIdleLimit is the idle limit while the configuration sets none.
	defaultIdleLimit = 60 * time.Second
	// defaultHeaderLimit is the limit for headers while the configuration sets none.
	defaultHeaderLimit = 10 * time.Second
	// limitMargin extends both limits, so that a request sent at the limit is
	// still read.
	limitMargin = time.Second
	// maxHeaderBytes bounds the headers of a request, which are read before the
	// limits of the configuration apply.
	maxHeaderBytes = 256 << 10
	// sendBuffer is the kernel's send buffer for a connection, in bytes.
	sendBuffer = 64 << 10
)

// Server serves callers. It is safe for concurrent use.
type Server struct {
	http            *http.Server
	listener        net.Listener
	idleLimit       atomic.Int64
	headerLimit     atomic.Int64
	openConnections atomic.Int64
	draining        atomic.Bool

	mu      sync.Mutex
	waiting map[*conn]time.Time
}

// Listen opens the address that callers connect to.
func Listen(addr string, handler http.Handler, logger hclog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen for callers")
	}
	return New(listener, handler, logger), nil
}

// New returns a server for callers that connect to a listener, which it closes.
func New(listener net.Listener, handler http.Handler, logger hclog.Logger) *Server {
	s := &Server{waiting: make(map[*conn]time.Time)}
	s.idleLimit.Store(int64(defaultIdleLimit))
	s.headerLimit.Store(int64(defaultHeaderLimit))
	s.listener = &acceptor{Listener: listener, server: s}
	s.http = &http.Server{
		Handler:        handler,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      s.trackState,
		ConnContext:    withConn,
		ErrorLog:       standardLog(logger),
		// net/http would answer OPTIONS * itself, with a success that no server gave.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// standardLog logs the errors that net/http reports for single connections at
// debug level, so that a caller that sends garbage does not fill the log.
func standardLog(logger hclog.Logger) *log.Logger {
	return logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

// Addr returns the address that callers connect to.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until Drain or Close. It returns nil after either.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() {
		return nil
	}
	return eris.Wrap(err, "server for callers ended")
}

// SetIdleLimit sets how long a connection may wait for its next request. A
// longer limit also applies to connections that already wait. A shorter one
// applies only to later waits, whose callers may have been informed of it.
func (s *Server) SetIdleLimit(limit time.Duration) {
	if limit <= 0 {
		limit = defaultIdleLimit
	}
	old := time.Duration(s.idleLimit.Swap(int64(limit)))
	if limit <= old {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.waiting {
		c.extend(since.Add(limit + limitMargin))
	}
}

// SetHeaderLimit sets how long the headers of a request may take from their first byte.
// It applies to headers that begin later.
func (s *Server) SetHeaderLimit(limit time.Duration) {
	if limit <= 0 {
		limit = defaultHeaderLimit
	}
	s.headerLimit.Store(int64(limit))
}

// CloseWaiting closes the connections that have carried a request and wait for
// the next one, so that their callers connect to another router. A connection
// whose next request is being read stays open: it no longer waits, and the
// request clears the read deadline.
func (s *Server) CloseWaiting() {
	s.retire(func(c *conn) bool { return c.used.Load() })
}

func (s *Server) retire(match func(*conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.waiting {
		if !match(c) {
			continue
		}
		c.retired.Store(true)
		// The caller may have closed the connection.
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// Drain stops accepting connections and closes those that wait for a request.
// Requests in progress continue; OpenConnections returns 0 once the last
// connection is closed.
func (s *Server) Drain() error {
	s.draining.Store(true)
	err := s.listener.Close()
	s.retire(func(*conn) bool { return true })
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "cannot stop accepting callers")
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int64 { return s.openConnections.Load() }

// Close closes the address and all connections.
func (s *Server) Close() error {
	s.draining.Store(true)
	// Drain may have closed the address, and net/http closes it only while Serve runs.
	for _, err := range []error{s.listener.Close(), s.http.Close()} {
		if err != nil && !errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "cannot close the server for callers")
		}
	}
	return nil
}

// pastDeadline is a read deadline that makes a pending read return at once.
var pastDeadline = time.Unix(1, 0)

// trackState tracks which connections wait for a request.
func (s *Server) trackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.openConnections.Add(1)
		s.startWaiting(c)
	case http.StateIdle:
		s.startWaiting(c)
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
		s.stopWaiting(c)
	default:
		s.stopWaiting(c)
	}
	if state == http.StateActive {
		c.used.Store(true)
		// net/http sets no read deadline for the request, so the idle one is cleared.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

func (s *Server) startWaiting(c *conn) {
	s.mu.Lock()
	s.waiting[c] = time.Now()
	s.mu.Unlock()
	c.inHeaders.Store(false)
	c.waiting.Store(true)
	if s.draining.Load() {
		c.retired.Store(true)
	}
	// The connection may be closed; its reader then gets the error.
	_ = c.SetReadDeadline(time.Time{})
}

func (s *Server) stopWaiting(c *conn) {
	c.waiting.Store(false)
	s.mu.Lock()
	delete(s.waiting, c)
	s.mu.Unlock()
}

// conn is a caller's connection. It applies the idle limit and the limit for headers
// while net/http would set no read deadline.
type conn struct {
	net.Conn
	server  *Server
	waiting atomic.Bool
	// used is set once the connection has carried a request.
	used atomic.Bool
	// retired connections read no further request.
	retired atomic.Bool
	// inHeaders is set from the first byte of a request while the connection waits, and
	// headerDeadline is when its headers must be complete. The goroutine that serves the
	// connection owns headerDeadline.
	inHeaders atomic.Bool
	// deadlineMu keeps a longer idle limit from replacing the limit of headers that begin.
	deadlineMu     sync.Mutex
	headerDeadline time.Time
	// drains is set when the next Close must wait for the caller.
	drains atomic.Bool
	// cutOff is set when a retired connection has ended inside headers, or the limit for them
	// has passed. Nothing is written then: net/http takes the start of a line for a whole
	// one and would answer 400, after which callers do not retry a request that has not
	// been read.
	cutOff atomic.Bool
}

// Read reads from the connection. The first byte of a request starts the limit for headers.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.waiting.Load() && !c.inHeaders.Load() {
		c.beginHeaders()
	}
	if err != nil && (c.retired.Load() || errors.Is(err, os.ErrDeadlineExceeded)) && c.waiting.Load() && c.inHeaders.Load() {
		c.cutOff.Store(true)
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.cutOff.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// beginHeaders starts the limit for headers.
func (c *conn) beginHeaders() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.headerDeadline = time.Now().Add(time.Duration(c.server.headerLimit.Load()) + limitMargin)
	c.inHeaders.Store(true)
	// The connection may be closed; its reader then gets the error.
	_ = c.SetReadDeadline(time.Time{})
}

// extend lets a connection that is idle wait until a later time.
func (c *conn) extend(until time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.inHeaders.Load() {
		return
	}
	// The connection may be closed; its reader then gets the error.
	_ = c.Conn.SetReadDeadline(until)
}

// SetReadDeadline sets the read deadline. While the connection waits for a request or
// reads its headers, the limit for that replaces a zero t, which means no deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && c.waiting.Load() {
		switch {
		case c.retired.Load():
			t = pastDeadline
		case c.inHeaders.Load():
			t = c.headerDeadline
		default:
			t = time.Now().Add(time.Duration(c.server.idleLimit.Load()) + limitMargin)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// SetResetOnClose sets whether the connection of a request ends with a reset instead of an
// orderly close, also when the process is killed. ctx is the context of the request.
func SetResetOnClose(ctx context.Context, reset bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	// An error means that the connection has ended.
	_ = tcp.SetLinger(linger)
}

// drainWait bounds how long a connection whose end was announced is read: the caller needs a
// round trip to read the announcement, and then closes.
const drainWait = time.Second

// SetDrainOnClose makes the connection of a request, whose end was announced, end only when
// the caller has closed it, or after drainWait. A close with unread bytes, such as those of a
// request that crosses the announcement, resets the connection, and the caller loses what it
// has not received of the answer. ctx is the context of the request.
func SetDrainOnClose(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.drains.Store(true)
	}
}

// Close closes the connection, after SetDrainOnClose in the background.
func (c *conn) Close() error {
	if !c.drains.Swap(false) || c.CloseWrite() != nil {
		return c.Conn.Close()
	}
	c.server.openConnections.Add(1)
	go c.drain()
	return nil
}

// drain discards what the caller still sends, and then closes the connection.
func (c *conn) drain() {
	defer c.server.openConnections.Add(-1)
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainWait))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
}

// CloseWrite ends the sending direction, as on a net.TCPConn. net/http uses it, too.
func (c *conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}

// acceptor wraps accepted connections.
type acceptor struct {
	net.Listener
	server *Server
}

// Accept returns the next caller's connection.
func (a *acceptor) Accept() (net.Conn, error) {
	nc, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		// A smaller buffer only saves memory, so an error is ignored.
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	return &conn{Conn: nc, server: a.server}, nil
}
