package peer

import (
	"time"

	"github.com/hashicorp/yamux"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// sender writes the one-way messages to one address.
type sender struct {
	t     *Transport
	addr  string
	queue chan *peerpb.Envelope
	stop  chan struct{}
	// lastUse is guarded by the transport's mutex.
	lastUse time.Time

	conn   *conn
	stream *Stream
}

// Send queues a one-way message for the router at addr and returns at once. The
// transport dials when there is no connection. Messages to an address arrive in
// order; a message is lost when the dial or the connection fails. env must not
// change after the call.
func (t *Transport) Send(addr string, env *peerpb.Envelope) error {
	if err := checkLimits(env); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrClosed
	}
	s := t.sender(addr)
	s.lastUse = t.cfg.Clock.Now()
	select {
	case s.queue <- env:
		return nil
	default:
		return ErrQueueFull
	}
}

// sender returns the running sender of addr. The caller holds t.mu.
func (t *Transport) sender(addr string) *sender {
	e := t.entry(addr)
	if e.sender == nil {
		e.sender = &sender{
			t:     t,
			addr:  addr,
			queue: make(chan *peerpb.Envelope, sendQueueSize),
			stop:  make(chan struct{}),
		}
		t.tomb.Go(e.sender.run)
	}
	return e.sender
}

func (s *sender) run() error {
	defer s.closeStream()
	for {
		select {
		case env := <-s.queue:
			s.write(env)
		case <-s.stop:
			return nil
		case <-s.t.tomb.Dying():
			return nil
		}
	}
}

// write sends env and drops it when the peer cannot be reached.
func (s *sender) write(env *peerpb.Envelope) {
	c, err := s.t.get(s.t.ctx, s.addr)
	if err != nil {
		s.closeStream()
		return
	}
	if c != s.conn && !s.openStream(c) {
		return
	}
	if err := s.stream.Send(env); err != nil {
		s.closeStream()
	}
}

// openStream opens the one-way stream on a new connection and reports success.
func (s *sender) openStream(c *conn) bool {
	s.closeStream()
	raw, err := c.mux.OpenStream()
	if err != nil {
		return false
	}
	s.conn = c
	s.stream = newOneWay(c, raw)
	if err := s.stream.Send(&peerpb.Envelope{Body: &peerpb.Envelope_OneWay{OneWay: &peerpb.OneWay{}}}); err != nil {
		s.closeStream()
		return false
	}
	return true
}

func newOneWay(c *conn, raw *yamux.Stream) *Stream {
	return &Stream{c: c, raw: raw}
}

func (s *sender) closeStream() {
	if s.stream != nil {
		_ = s.stream.Close()
	}
	s.stream = nil
	s.conn = nil
}
