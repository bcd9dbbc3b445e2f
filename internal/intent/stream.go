package intent

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// inboxSize is the number of calls that can wait for the stream's goroutine.
const inboxSize = 1024

// Stream serves the calls for one intent stream that this router owns. One
// goroutine reads and appends; calls may come from any goroutine. Several
// routers may safely serve the same stream.
type Stream struct {
	name              string
	log               logstream.Log
	clock             clockwork.Clock
	events            *event.Logger
	tomb              tomb.Tomb
	inbox             chan *pendingCall
	writer            *writer
	reportedAvailable bool
}

func openStream(name string, o Options) *Stream {
	s := &Stream{
		name:   name,
		log:    o.Log,
		clock:  o.Clock,
		events: o.Events,
		inbox:  make(chan *pendingCall, inboxSize),
		writer: newWriter(o.Limits, timing{batchInterval: o.BatchInterval, pollInterval: o.PollInterval}, o.Clock.Now()),
	}
	s.tomb.Go(s.run)
	return s
}

// Call handles one call. It returns UNKNOWN with DetailUndecided if the context
// ends before the call is decided.
func (s *Stream) Call(ctx context.Context, call *peerpb.IntentCall) *peerpb.IntentReply {
	replies := make(chan *peerpb.IntentReply, 1)
	p := &pendingCall{
		call:      call,
		cancelled: func() bool { return contextEnded(ctx) },
		reply:     func(r *peerpb.IntentReply) { replies <- r },
	}
	p.deadline = s.clock.Now().Add(maxCallTime)
	if d, ok := ctx.Deadline(); ok && d.Before(p.deadline) {
		p.deadline = d
	}
	select {
	case s.inbox <- p:
	case <-ctx.Done():
		return refusalReply(call, DetailLogUnavailable)
	case <-s.tomb.Dying():
		return refusalReply(call, DetailNotOwner)
	}
	select {
	case r := <-replies:
		return r
	case <-ctx.Done():
	case <-s.tomb.Dead():
	}
	// The reply may have arrived at the same time.
	select {
	case r := <-replies:
		return r
	default:
		return undecidedReply()
	}
}

// Close stops the goroutine and replies to the open calls.
func (s *Stream) Close() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

func (s *Stream) run() error {
	defer s.writer.stop()
	ctx := s.tomb.Context(context.Background())
	for s.tomb.Alive() {
		s.drainInbox()
		now := s.clock.Now()
		switch o := s.writer.nextOp(now); o.kind {
		case opRead:
			page, err := s.log.Read(ctx, s.name, o.from, o.max, 0)
			s.writer.handleRead(s.clock.Now(), page, err)
		case opAppend:
			first, err := s.log.Append(ctx, s.name, o.data)
			s.writer.handleAppend(s.clock.Now(), first, err)
		case opNone:
			s.wait(o.wakeAt.Sub(now))
		}
		s.reportAvailability()
	}
	return nil
}

// drainInbox passes the waiting calls to the writer.
func (s *Stream) drainInbox() {
	for {
		select {
		case p := <-s.inbox:
			s.writer.add(s.clock.Now(), p)
		default:
			return
		}
	}
}

// wait returns after d, or when a call arrives or the stream closes.
func (s *Stream) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case p := <-s.inbox:
		s.writer.add(s.clock.Now(), p)
	case <-timer.Chan():
	case <-s.tomb.Dying():
	}
}

// reportAvailability logs changes of the log's availability.
func (s *Stream) reportAvailability() {
	available := s.writer.synced() && !s.writer.failing
	if available == s.reportedAvailable {
		return
	}
	s.reportedAvailable = available
	if available {
		s.events.Emit(event.IntentStreamReady, "stream", s.name, "keys", s.writer.fold.Len())
	} else {
		s.events.Emit(event.IntentLogUnavailable, "stream", s.name)
	}
}

// contextEnded reports whether a context has ended. It does not use Err, which
// blocks until the end for a context on a fake clock.
func contextEnded(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
