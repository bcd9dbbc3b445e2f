package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// streamControlBytes is the estimated cost of opening and closing a stream:
// a window update and a FIN in each direction.
const streamControlBytes = 4 * (meter.YamuxFrameBytes + meter.TCPFrameBytes)

// Stream carries messages in both directions. One goroutine may send while
// another receives; Close may be called from any goroutine.
type Stream struct {
	c              *conn
	raw            *yamux.Stream
	openStreams    *atomic.Int64
	controlCounted atomic.Bool
	closeOnce      sync.Once
	sendMu         sync.Mutex
	// stopAbort cancels abortOnDone for the context of Open.
	stopAbort func() bool
}

// Peer returns the router at the other end.
func (s *Stream) Peer() Peer {
	return s.c.peer
}

// Send writes one message to the connection before it returns. It blocks while
// the peer does not read. The stream stays usable after ErrTooLarge.
func (s *Stream) Send(env *peerpb.Envelope) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	n, err := writeMessage(s.raw, env)
	if n > 0 {
		// A failed write may still have sent bytes.
		s.count(env, n)
	}
	return err
}

// Recv reads the next message. It returns io.EOF when the peer closed the
// stream after a whole message and io.ErrUnexpectedEOF within one.
func (s *Stream) Recv() (*peerpb.Envelope, error) {
	env := &peerpb.Envelope{}
	if err := s.RecvInto(env); err != nil {
		return nil, err
	}
	return env, nil
}

// RecvInto is Recv into env, whose memory is reused when it holds a Frame.
func (s *Stream) RecvInto(env *peerpb.Envelope) error {
	n, err := readMessage(s.raw, env, MaxMessageBytes)
	if err != nil {
		return err
	}
	s.count(env, n)
	return nil
}

// SetDeadline sets the time, by the real clock, at which blocked sends and
// receives fail. The zero time removes the deadline.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.raw.SetDeadline(t)
}

// Close closes the stream in both directions. The peer's receives return io.EOF;
// its sends fail after a few seconds at the latest.
func (s *Stream) Close() error {
	err := s.raw.Close()
	s.closeOnce.Do(func() {
		if s.stopAbort != nil {
			s.stopAbort()
		}
		s.c.touch()
		if s.openStreams != nil {
			s.openStreams.Add(-1)
		}
	})
	return err
}

// count adds a control message to the meter; the first one on a stream includes
// the cost of the stream.
func (s *Stream) count(env *peerpb.Envelope, n int) {
	s.c.touch()
	category, ok := categoryOf(env)
	if !ok {
		return
	}
	cost := meter.PeerMessageBytes(n)
	if s.controlCounted.CompareAndSwap(false, true) {
		cost += streamControlBytes
	}
	s.c.t.cfg.Meter.Add(category, cost)
}

// abortOnDone fails blocked operations of the stream when ctx ends.
func (s *Stream) abortOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = s.raw.SetDeadline(time.Unix(1, 0))
	})
}

// categoryOf returns the category of a control message; data messages have
// none.
func categoryOf(env *peerpb.Envelope) (meter.Category, bool) {
	switch env.Body.(type) {
	case *peerpb.Envelope_Heartbeat, *peerpb.Envelope_Hello, *peerpb.Envelope_OneWay:
		return meter.Heartbeat, true
	case *peerpb.Envelope_Claim, *peerpb.Envelope_ClaimReply, *peerpb.Envelope_VoteLost,
		*peerpb.Envelope_AttemptEnded, *peerpb.Envelope_Join, *peerpb.Envelope_JoinReply, *peerpb.Envelope_Renewal, *peerpb.Envelope_RenewalReply:
		return meter.Claim, true
	case *peerpb.Envelope_ConfigFetch, *peerpb.Envelope_ConfigReply:
		return meter.Config, true
	case *peerpb.Envelope_IntentCall, *peerpb.Envelope_IntentReply:
		return meter.Intent, true
	case *peerpb.Envelope_StatusQuery, *peerpb.Envelope_StatusReply:
		return meter.Probe, true
	default:
		return 0, false
	}
}
