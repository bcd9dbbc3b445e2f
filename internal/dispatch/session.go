package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/answer"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	open     Opener
	clock    clockwork.Clock
	inflight *InFlight
	dropped  atomic.Uint64
}

// Dropped returns the number of frames that were late, repeated or crossed.
func (d *Dispatcher) Dropped() uint64 {
	return d.dropped.Load()
}

// New returns a dispatcher.
func New(cfg Config, open Opener, clock clockwork.Clock) *Dispatcher {
	return &Dispatcher{cfg: cfg, open: open, clock: clock, inflight: newInFlight()}
}

// InFlight returns the registry of attempts that this router relays.
func (d *Dispatcher) InFlight() *InFlight {
	return d.inflight
}

// session is the state of one request.
type session struct {
	d    *Dispatcher
	req  *peerpb.Relay
	sink Sink
	seq  *answer.Sequencer
	// delivered is set once a part of an answer has reached the sink.
	delivered bool
	// mayHaveRun is set once any attempt can have reached a backend server.
	mayHaveRun bool
	retries    int
	// giveUp is the time at which an unreachable owner ends the request.
	giveUp time.Time
}

// Run executes a request and writes its answer to sink. The caller fills req
// but for the attempt id, the deadline and the resume fields. Run returns when
// the answer is complete, or has failed for good, or the caller has gone.
func (d *Dispatcher) Run(ctx context.Context, req *peerpb.Relay, sink Sink) Result {
	s := &session{d: d, req: req, sink: sink}
	s.newAttempt()
	s.giveUp = d.clock.Now().Add(d.cfg.OwnerWait)
	return s.run(ctx)
}

// Resume reads the rest of an earlier answer from the character offset in
// req.ResumeOffset. It never starts a new attempt.
func (d *Dispatcher) Resume(ctx context.Context, req *peerpb.Relay, sink Sink) Result {
	req.Repeatable = false
	req.Resume = true
	s := &session{d: d, req: req, sink: sink, mayHaveRun: true}
	s.seq = answer.NewSequencerAt(req.AttemptId, 0, req.ResumeOffset)
	s.giveUp = d.clock.Now().Add(d.cfg.ResumeWait)
	return s.run(ctx)
}

func (s *session) run(ctx context.Context) Result {
	// The attempt id changes with a retry and is found during a look-up.
	defer func() { s.d.inflight.remove(s.req.Pool, s.req.AttemptId) }()
	for {
		if err := ctx.Err(); err != nil {
			return s.interrupted(err)
		}
		res, again := s.try(ctx)
		if !again {
			return res
		}
		if s.d.clock.Now().After(s.giveUp) {
			return s.gaveUp()
		}
		s.pause(ctx)
	}
}

// try relays the request once. It reports again when another try makes sense.
func (s *session) try(ctx context.Context) (res Result, again bool) {
	target, ok := s.d.open.Owner(s.req.Pool)
	if !ok {
		return Result{}, true
	}
	s.setDeadline(ctx)
	stream, err := s.d.open.Open(ctx, target, s.req)
	if err != nil {
		return s.openFailed(err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	last, err := s.pump(stream)
	switch {
	case errors.Is(err, errSink):
		stream.Cancel()
		return s.interrupted(context.Canceled), false
	case err != nil:
		return s.streamBroken()
	default:
		return s.ended(last)
	}
}

// openFailed decides after the owner could not be reached.
func (s *session) openFailed(err error) (Result, bool) {
	if errors.Is(err, ErrNotSent) {
		return Result{}, true
	}
	return s.streamBroken()
}

var errSink = errors.New("caller has gone")

// pump copies frames to the sink until the terminal frame.
func (s *session) pump(stream FrameStream) (*peerpb.Frame, error) {
	for {
		f, err := stream.Next()
		if err != nil {
			return nil, err
		}
		if !s.accept(f) {
			continue
		}
		if f.Engine != "" {
			s.granted(f)
		}
		if f.Terminal && f.Outcome != peerpb.Outcome_OUTCOME_DONE {
			return f, nil
		}
		s.delivered = s.delivered || len(f.Payload) > 0 || f.Status != 0
		if err := s.sink.Frame(f); err != nil {
			return nil, errSink
		}
		if f.Terminal {
			return f, nil
		}
	}
}

// accept checks that a frame is the next one of the current attempt. The owner
// names the attempt of a resumed answer that was looked up by request id.
func (s *session) accept(f *peerpb.Frame) bool {
	if s.req.AttemptId == "" && f.AttemptId != "" {
		s.req.AttemptId = f.AttemptId
		s.seq = answer.NewSequencerAt(f.AttemptId, 0, s.req.ResumeOffset)
	}
	v := s.seq.Accept(f.AttemptId, f.Seq, f.Offset, int(f.Characters), f.Terminal)
	if v != answer.Accepted {
		s.d.dropped.Add(1)
	}
	return v == answer.Accepted
}

// granted records that the owner has placed the attempt on an engine.
func (s *session) granted(f *peerpb.Frame) {
	s.mayHaveRun = true
	s.req.Engine = f.Engine
	s.d.inflight.add(s.req.Pool, &peerpb.Attempt{
		AttemptId:     s.req.AttemptId,
		Engine:        f.Engine,
		TokenEstimate: s.req.TokenEstimate,
	})
}

// streamBroken decides after the connection to the owner was lost. The engine
// may be running the attempt, so the answer is resumed and not repeated.
func (s *session) streamBroken() (Result, bool) {
	s.mayHaveRun = true
	if !s.resumable() {
		if s.canRetry() {
			s.retry("")
			return Result{}, true
		}
		return s.failed(CodeAnswerCut, "the connection to the pool's owner was lost"), false
	}
	s.resume()
	return Result{}, true
}

// resumable reports whether the backend keeps answers for resuming. Plain
// services do not.
func (s *session) resumable() bool {
	return s.req.Path == ""
}

func (s *session) resume() {
	if !s.req.Resume {
		s.giveUp = s.d.clock.Now().Add(s.d.cfg.ResumeWait)
	}
	s.req.Resume = true
	s.req.ResumeOffset = s.seq.Offset()
	s.restartSequence()
}

// restartSequence expects the frames of a new stream, which count from 0 again.
func (s *session) restartSequence() {
	s.seq = answer.NewSequencerAt(s.req.AttemptId, 0, s.seq.Offset())
}

// ended decides after a terminal frame.
func (s *session) ended(f *peerpb.Frame) (Result, bool) {
	if f.Outcome == peerpb.Outcome_OUTCOME_DONE {
		return Result{Outcome: f.Outcome, Delivered: s.seq.Offset(), Status: f.Status}, false
	}
	switch f.Code {
	case CodeNotOwner, CodeHandedBack:
		s.restartSequence()
		return Result{}, true
	case CodeAttemptNotFound, CodeEngineFailed:
		if f.Outcome != peerpb.Outcome_OUTCOME_NOT_RUN {
			s.mayHaveRun = true
		}
		if s.canRetry() {
			s.retry(f.Engine)
			return Result{}, true
		}
	}
	return s.refused(f), false
}

// canRetry reports whether a new attempt may be started: the request is
// repeatable and the caller has received nothing yet.
func (s *session) canRetry() bool {
	return s.req.Repeatable && !s.delivered && s.retries < s.d.cfg.MaxRetries
}

func (s *session) retry(failed string) {
	s.retries++
	if failed == "" {
		failed = s.req.Engine
	}
	if failed != "" {
		s.req.Excluded = append(s.req.Excluded, failed)
	}
	s.d.inflight.remove(s.req.Pool, s.req.AttemptId)
	s.req.Retry = true
	s.req.Resume = false
	s.req.ResumeOffset = 0
	s.req.Engine = ""
	s.newAttempt()
	s.giveUp = s.d.clock.Now().Add(s.d.cfg.OwnerWait)
}

func (s *session) newAttempt() {
	s.req.AttemptId = answer.NewAttemptID()
	s.seq = answer.NewSequencer(s.req.AttemptId)
}

// refused turns a terminal frame into the result for the caller.
func (s *session) refused(f *peerpb.Frame) Result {
	res := Result{
		Outcome:    f.Outcome,
		Code:       f.Code,
		Detail:     f.Detail,
		RetryAfter: time.Duration(f.RetryAfterMs) * time.Millisecond,
		Delivered:  s.seq.Offset(),
		Status:     f.Status,
	}
	res.Outcome = s.truthful(res.Outcome)
	return res
}

// truthful corrects an outcome of the last attempt by what earlier attempts
// may have done.
func (s *session) truthful(o peerpb.Outcome) peerpb.Outcome {
	if s.delivered {
		return peerpb.Outcome_OUTCOME_INCOMPLETE
	}
	if o == peerpb.Outcome_OUTCOME_NOT_RUN && s.mayHaveRun {
		return peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return o
}

func (s *session) failed(code, detail string) Result {
	return Result{
		Outcome:   s.truthful(peerpb.Outcome_OUTCOME_NOT_RUN),
		Code:      code,
		Detail:    detail,
		Delivered: s.seq.Offset(),
	}
}

func (s *session) gaveUp() Result {
	res := s.failed(CodeNoOwner, "no router could serve the pool in time")
	res.RetryAfter = s.d.cfg.OwnerWait
	return res
}

func (s *session) interrupted(err error) Result {
	if errors.Is(err, context.DeadlineExceeded) {
		return s.failed(CodeDeadline, "the request's deadline has passed")
	}
	return s.failed(CodeCallerGone, "the caller closed the connection")
}

func (s *session) setDeadline(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		s.req.DeadlineMs = 0
		return
	}
	left := deadline.Sub(s.d.clock.Now())
	s.req.DeadlineMs = uint32(max(left.Milliseconds(), 1))
}

func (s *session) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.d.clock.After(s.d.cfg.Backoff):
	}
}
