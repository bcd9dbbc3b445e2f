package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/connend"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/peermux"
)

const (
	// maxCarried bounds the connections that a router carries at the same time, and with them the
	// memory that they take.
	maxCarried = 256
	// openTimeout bounds the wait for the address of the server.
	openTimeout = time.Second
	// carrierDialTimeout bounds the opening of the connection to the server. The other router waits for it,
	// and may ask a further one.
	carrierDialTimeout = 150 * time.Millisecond
	// acceptPause keeps the accept loop from spinning when there are no file descriptors.
	acceptPause = 50 * time.Millisecond
)

// DialFunc opens a connection. It must be safe for concurrent use.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Server carries connections for other routers. Its methods are safe for concurrent use.
type Server struct {
	listener net.Listener
	events   *event.Logger
	// known reports whether an address is that of a server; no other is connected to.
	known func(addr string) bool
	dial  DialFunc
	// dialTimeout bounds the opening of a connection to a server.
	dialTimeout time.Duration

	carried  atomic.Int64
	declines atomic.Bool

	mu       sync.Mutex
	closed   bool
	sessions map[*yamux.Session]bool
	// streams are those with an open connection to a server.
	streams map[*yamux.Stream]bool
}

// Listen opens the address at which other routers ask for connections. dial opens those to servers;
// it must not use a tunnel, so that nothing passes more than one carrier.
func Listen(addr netip.AddrPort, known func(addr string) bool, dial DialFunc, events *event.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen for other routers' connections")
	}
	return New(l, known, dial, events), nil
}

// New is Listen with a listener that is open already, which the server closes.
func New(l net.Listener, known func(addr string) bool, dial DialFunc, events *event.Logger) *Server {
	return &Server{
		listener: l, events: events, known: known, dial: dial, dialTimeout: carrierDialTimeout,
		sessions: make(map[*yamux.Session]bool), streams: make(map[*yamux.Stream]bool),
	}
}

// Serve accepts other routers until Close.
func (s *Server) Serve() error {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.events.Emit(event.TunnelAcceptFailed, "error", err)
			time.Sleep(acceptPause)
			continue
		}
		go s.serveRouter(raw)
	}
}

// Carried returns the number of connections that are carried now.
func (s *Server) Carried() int64 { return s.carried.Load() }

// Decline makes the server open no further connections. Those that are open go on for the exchange in progress; the
// other routers are told to begin no further one.
func (s *Server) Decline() {
	s.declines.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream := range s.streams {
		s.tellStop(stream)
	}
}

// tellStop tells the router that has a stream that this one stops.
func (s *Server) tellStop(stream *yamux.Stream) {
	// A stream that takes no data must not hold up the stop. The end of the process ends it.
	go func() { _, _ = stream.Write((&frame{stops: true}).append(nil)) }()
}

// track keeps a stream with an open connection, and tells it at once when the server has stopped meanwhile.
func (s *Server) track(stream *yamux.Stream) (untrack func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = true
	if s.declines.Load() {
		s.tellStop(stream)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, stream)
	}
}

// Close closes the address and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	err := s.listener.Close()
	for session := range s.sessions {
		err = errors.Join(err, session.Close())
	}
	return eris.Wrap(err, "cannot close the address for other routers' connections")
}

// serveRouter serves the streams of another router.
func (s *Server) serveRouter(raw net.Conn) {
	session, err := yamux.Server(&peermux.CoalescingConn{Conn: raw}, sessionConfig(s.events))
	if err != nil || !s.add(session) {
		_ = raw.Close()
		return
	}
	defer s.remove(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go s.carry(stream)
	}
}

func (s *Server) add(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = true
	return true
}

func (s *Server) remove(session *yamux.Session) {
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
	// The other router may have closed it.
	_ = session.Close()
}

// carry opens the connection that a stream asks for and passes bytes on in both directions.
func (s *Server) carry(stream *yamux.Stream) {
	defer stream.Close()
	defer s.carried.Add(-1)
	s.carried.Add(1)
	r := bufio.NewReader(stream)
	buffer := make([]byte, maxFrameBytes)
	if stream.SetReadDeadline(time.Now().Add(openTimeout)) != nil {
		return
	}
	f, err := readFrame(r, buffer)
	if err != nil || f.open == "" || stream.SetReadDeadline(time.Time{}) != nil {
		return
	}
	server, res := s.open(f.open)
	s.events.Emit(event.ConnectionCarried, "addr", f.open, "router", stream.RemoteAddr().String(), "result", res.String(), "carried", s.Carried())
	if _, err := stream.Write((&frame{result: res}).append(nil)); err != nil || server == nil {
		if server != nil {
			_ = server.Close()
		}
		return
	}
	defer s.track(stream)()
	end := &connend.Detector{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		passToServer(server, r, buffer, end)
	}()
	passToRouter(stream, server, end)
	// Ends passToServer, whose stream the other router may keep open.
	_ = stream.Close()
	_ = server.Close()
	<-done
}

// open opens a connection to a server.
func (s *Server) open(addr string) (net.Conn, result) {
	if s.declines.Load() || s.carried.Load() > maxCarried || !s.known(addr) {
		return nil, declined
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.dialTimeout)
	defer cancel()
	server, err := s.dial(ctx, "tcp", addr)
	switch {
	case err == nil:
		return server, opened
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, refused
	}
	return nil, declined
}

// passToServer passes on what the other router sends, until it closes the stream or the server's
// connection has ended. It then closes that connection, which cancels what the server runs for it.
func passToServer(server net.Conn, r *bufio.Reader, buffer []byte, end *connend.Detector) {
	defer server.Close()
	for {
		f, err := readFrame(r, buffer)
		if err != nil {
			return
		}
		if _, err := server.Write(f.data); err != nil {
			end.RecordWrite(err)
			return
		}
	}
}

// passToRouter passes on what the server sends, and how it ended.
func passToRouter(stream *yamux.Stream, server net.Conn, end *connend.Detector) {
	buffer, out := make([]byte, dataBytes), make([]byte, 0, maxFrameBytes)
	for {
		n, err := server.Read(buffer)
		err = end.ReadError(server, err)
		f := frame{data: buffer[:n]}
		switch {
		case errors.Is(err, io.EOF):
			f.end = closed
		case err != nil:
			f.end = reset
		}
		out = f.append(out[:0])
		if _, writeErr := stream.Write(out); writeErr != nil || err != nil {
			return
		}
	}
}

// String returns the name used in logs.
func (r result) String() string {
	switch r {
	case opened:
		return "opened"
	case refused:
		return "refused"
	}
	return "declined"
}
