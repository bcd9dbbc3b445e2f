package peer

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/peermux"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// acceptRetryDelay keeps the accept loop from spinning when accepting fails, for
// example for lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

func (t *Transport) acceptLoop() error {
	for {
		raw, err := t.listener.Accept()
		if err == nil {
			t.startHandshake(raw)
			continue
		}
		if !t.tomb.Alive() || errors.Is(err, net.ErrClosed) {
			return nil
		}
		t.cfg.Events.Emit(event.PeerAcceptFailed, "error", err)
		select {
		case <-t.cfg.Clock.After(acceptRetryDelay):
		case <-t.tomb.Dying():
			return nil
		}
	}
}

// startHandshake starts the handshake in a goroutine, or closes the connection
// when too many handshakes are running.
func (t *Transport) startHandshake(raw net.Conn) {
	select {
	case t.handshakes <- struct{}{}:
	default:
		_ = raw.Close()
		return
	}
	t.tomb.Go(func() error {
		defer func() { <-t.handshakes }()
		if err := t.acceptConn(raw); err != nil {
			t.cfg.Events.Emit(event.PeerHelloRejected, "remote", raw.RemoteAddr().String(), "error", err)
		}
		return nil
	})
}

func (t *Transport) acceptConn(raw net.Conn) error {
	mux, err := yamux.Server(&peermux.CoalescingConn{Conn: raw}, peermux.Config(t.cfg.Events))
	if err != nil {
		_ = raw.Close()
		return err
	}
	peer, err := t.acceptHandshake(mux)
	if err != nil {
		_ = mux.Close()
		return err
	}
	if peer.probe {
		return mux.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.register(&conn{t: t, peer: peer, addr: peer.Addr, mux: mux})
}

func (t *Transport) acceptHandshake(mux *yamux.Session) (Peer, error) {
	timeout := time.AfterFunc(t.cfg.HelloTimeout, func() { _ = mux.Close() })
	defer timeout.Stop()
	s, err := mux.AcceptStreamWithContext(t.ctx)
	if err != nil {
		return Peer{}, err
	}
	defer s.Close()
	return t.handshaker().accept(s)
}

// serve accepts the streams of a connection until it ends.
func (t *Transport) serve(c *conn) {
	defer t.unregister(c)
	for {
		raw, err := c.mux.AcceptStream()
		if err != nil {
			return
		}
		if c.incoming.Add(1) > int64(t.cfg.MaxStreams) {
			c.incoming.Add(-1)
			t.cfg.Events.Emit(event.PeerStreamLimit, "vm", c.peer.VM)
			_ = raw.Close()
			continue
		}
		t.tomb.Go(func() error {
			t.serveStream(&Stream{c: c, raw: raw, openStreams: &c.incoming})
			return nil
		})
	}
}

func (t *Transport) serveStream(s *Stream) {
	defer s.Close()
	_ = s.SetDeadline(time.Now().Add(firstMessageTimeout))
	first, err := s.Recv()
	if err != nil {
		t.logRejection(s, err)
		return
	}
	_ = s.SetDeadline(time.Time{})
	switch first.Body.(type) {
	case *peerpb.Envelope_OneWay:
		t.serveOneWay(s)
	case *peerpb.Envelope_Hello:
		t.logRejection(s, ErrHello)
	default:
		t.handler.HandleStream(t.ctx, first, s)
	}
}

// serveOneWay passes messages to the handler until the peer closes the stream.
// The stream does not count as open, so that the connection can become idle.
func (t *Transport) serveOneWay(s *Stream) {
	s.openStreams.Add(-1)
	defer s.openStreams.Add(1)
	for {
		env, err := s.Recv()
		if err != nil {
			t.logRejection(s, err)
			return
		}
		t.handler.HandleMessage(s.Peer(), env)
	}
}

// logRejection logs a message that violates the protocol. The end of a stream or
// of the connection is not logged.
func (t *Transport) logRejection(s *Stream, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrConnectionReset) || s.c.mux.IsClosed() {
		return
	}
	t.cfg.Events.Emit(event.PeerMessageRejected, "vm", s.Peer().VM, "error", err)
}
