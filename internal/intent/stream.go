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

// inboxSize is the number of calls that may wait for the stream's goroutine.
const inboxSize = 1024

// Stream is the owner of one intent stream. One goroutine reads and appends;
// calls may come from any goroutine. Several owners of the same stream, in
// several routers, are safe.
type Stream struct {
	name   string
	log    logstream.Log
	clock  clockwork.Clock
	events *event.Logger
	tomb   tomb.Tomb
	inbox  chan *item
	writer *writer
	wasUp  bool
}

func openStream(name string, o Options) *Stream {
	s := &Stream{
		name:   name,
		log:    o.Log,
		clock:  o.Clock,
		events: o.Events,
		inbox:  make(chan *item, inboxSize),
		writer: newWriter(o.Limits, timing{batch: o.BatchInterval, poll: o.PollInterval}, o.Clock.Now()),
	}
	s.tomb.Go(s.run)
	return s
}

// Call handles one call. The reply UNKNOWN with DetailUndecided is given when
// the context ends first.
func (s *Stream) Call(ctx context.Context, call *peerpb.IntentCall) *peerpb.IntentReply {
	answer := make(chan *peerpb.IntentReply, 1)
	it := &item{
		call:  call,
		gone:  func() bool { return ended(ctx) },
		reply: func(r *peerpb.IntentReply) { answer <- r },
	}
	it.deadline = s.clock.Now().Add(maxCallTime)
	if d, ok := ctx.Deadline(); ok && d.Before(it.deadline) {
		it.deadline = d
	}
	select {
	case s.inbox <- it:
	case <-ctx.Done():
		return refusal(call, DetailLogUnavailable)
	case <-s.tomb.Dying():
		return refusal(call, DetailNotOwner)
	}
	select {
	case r := <-answer:
		return r
	case <-ctx.Done():
	case <-s.tomb.Dead():
	}
	// The reply may have come at the same moment.
	select {
	case r := <-answer:
		return r
	default:
		return undecided()
	}
}

// Close stops the goroutine and answers the open calls.
func (s *Stream) Close() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

func (s *Stream) run() error {
	defer s.writer.stop()
	ctx := s.tomb.Context(context.Background())
	for s.tomb.Alive() {
		s.takeAll()
		now := s.clock.Now()
		switch o := s.writer.next(now); o.kind {
		case opRead:
			page, err := s.log.Read(ctx, s.name, o.from, o.max, 0)
			s.writer.readDone(s.clock.Now(), page, err)
		case opAppend:
			first, err := s.log.Append(ctx, s.name, o.data)
			s.writer.appendDone(s.clock.Now(), first, err)
		case opNone:
			s.wait(o.wake.Sub(now))
		}
		s.report()
	}
	return nil
}

// takeAll moves the waiting calls to the writer.
func (s *Stream) takeAll() {
	for {
		select {
		case it := <-s.inbox:
			s.writer.add(s.clock.Now(), it)
		default:
			return
		}
	}
}

// wait returns after d, or when a call comes or the stream closes.
func (s *Stream) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case it := <-s.inbox:
		s.writer.add(s.clock.Now(), it)
	case <-timer.Chan():
	case <-s.tomb.Dying():
	}
}

// report logs changes of the log's availability.
func (s *Stream) report() {
	up := s.writer.synced() && !s.writer.failing
	if up == s.wasUp {
		return
	}
	s.wasUp = up
	if up {
		s.events.Emit(event.IntentStreamReady, "stream", s.name, "keys", s.writer.fold.Len())
	} else {
		s.events.Emit(event.IntentLogUnavailable, "stream", s.name)
	}
}

// ended reports whether a context is over. Err of a context on a fake clock
// waits for the end, so it cannot be used for that.
func ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
