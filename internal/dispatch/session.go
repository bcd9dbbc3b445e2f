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
	cfg           Config
	opener        Opener
	clock         clockwork.Clock
	inFlight      *InFlight
	droppedFrames atomic.Uint64
}

// DroppedFrames returns the number of frames that failed the sequence check.
func (d *Dispatcher) DroppedFrames() uint64 {
	return d.droppedFrames.Load()
}

// New returns a dispatcher.
func New(cfg Config, opener Opener, clock clockwork.Clock) *Dispatcher {
	return &Dispatcher{cfg: cfg, opener: opener, clock: clock, inFlight: newInFlight()}
}

// InFlight returns the registry of attempts that this router relays.
func (d *Dispatcher) InFlight() *InFlight {
	return d.inFlight
}

// session is the state of one request.
type session struct {
	d         *Dispatcher
	req       *peerpb.Relay
	sink      Sink
	sequencer *answer.Sequencer
	// delivered is set once a part of an answer has reached the sink.
	delivered bool
	// mayHaveRun is set once any attempt can have reached a backend server.
	mayHaveRun bool
	retries    int
	// ownerDeadline is the time at which the request fails if no owner can be
	// reached.
	ownerDeadline time.Time
}

// Run executes a request and writes its answer to sink. The caller fills in req
// except for the attempt id, the deadline and the resume fields. Run returns when
// the answer is complete, the request has finally failed or the caller has
// disconnected.
func (d *Dispatcher) Run(ctx context.Context, req *peerpb.Relay, sink Sink) Result {
	s := &session{d: d, req: req, sink: sink}
	s.newAttempt()
	s.ownerDeadline = d.clock.Now().Add(d.cfg.OwnerTimeout)
	return s.run(ctx)
}

// Resume reads the rest of an earlier answer from the character offset in
// req.ResumeOffset. It never starts a new attempt.
func (d *Dispatcher) Resume(ctx context.Context, req *peerpb.Relay, sink Sink) Result {
	req.Repeatable = false
	req.Resume = true
	s := &session{d: d, req: req, sink: sink, mayHaveRun: true}
	s.sequencer = answer.NewSequencerAt(req.AttemptId, 0, req.ResumeOffset)
	s.ownerDeadline = d.clock.Now().Add(d.cfg.ResumeTimeout)
	return s.run(ctx)
}

func (s *session) run(ctx context.Context) Result {
	// A retry changes the attempt id, and a resume by request id sets it.
	defer func() { s.d.inFlight.remove(s.req.Pool, s.req.AttemptId) }()
	for {
		if err := ctx.Err(); err != nil {
			return s.interruptedResult(err)
		}
		res, again := s.relayOnce(ctx)
		if !again {
			return res
		}
		if s.d.clock.Now().After(s.ownerDeadline) {
			return s.ownerTimeoutResult()
		}
		s.waitBackoff(ctx)
	}
}

// relayOnce relays the request once. again reports whether it should be called
// again.
func (s *session) relayOnce(ctx context.Context) (res Result, again bool) {
	target, ok := s.d.opener.Owner(s.req.Pool)
	if !ok {
		return Result{}, true
	}
	s.setDeadline(ctx)
	stream, err := s.d.opener.Open(ctx, target, s.req)
	if err != nil {
		return s.handleOpenError(err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	last, err := s.copyFrames(stream)
	switch {
	case errors.Is(err, errSinkClosed):
		stream.Cancel()
		return s.interruptedResult(context.Canceled), false
	case err != nil:
		return s.handleBrokenStream()
	default:
		return s.handleTerminal(last)
	}
}

// handleOpenError retries when nothing was sent. Otherwise the owner may have
// received the request, as after a broken stream.
func (s *session) handleOpenError(err error) (Result, bool) {
	if errors.Is(err, ErrNotSent) {
		return Result{}, true
	}
	return s.handleBrokenStream()
}

var errSinkClosed = errors.New("caller has disconnected")

// copyFrames copies frames to the sink until the terminal frame.
func (s *session) copyFrames(stream FrameStream) (*peerpb.Frame, error) {
	for {
		f, err := stream.Next()
		if err != nil {
			return nil, err
		}
		if !s.accept(f) {
			continue
		}
		if f.Engine != "" {
			s.recordPlacement(f)
		}
		if f.Terminal && f.Outcome != peerpb.Outcome_OUTCOME_DONE {
			return f, nil
		}
		s.delivered = s.delivered || len(f.Payload) > 0 || f.Status != 0
		if err := s.sink.Frame(f); err != nil {
			return nil, errSinkClosed
		}
		if f.Terminal {
			return f, nil
		}
	}
}

// accept reports whether a frame is the next one of the current attempt. For a
// resume by request id, the first frame from the owner sets the attempt id.
func (s *session) accept(f *peerpb.Frame) bool {
	if s.req.AttemptId == "" && f.AttemptId != "" {
		s.req.AttemptId = f.AttemptId
		s.sequencer = answer.NewSequencerAt(f.AttemptId, 0, s.req.ResumeOffset)
	}
	v := s.sequencer.Accept(f.AttemptId, f.Seq, f.Offset, int(f.Characters), f.Terminal)
	if v != answer.Accepted {
		s.d.droppedFrames.Add(1)
	}
	return v == answer.Accepted
}

// recordPlacement records that the owner has placed the attempt on an engine.
func (s *session) recordPlacement(f *peerpb.Frame) {
	s.mayHaveRun = true
	s.req.Engine = f.Engine
	s.d.inFlight.add(s.req.Pool, &peerpb.Attempt{
		AttemptId:     s.req.AttemptId,
		Engine:        f.Engine,
		TokenEstimate: s.req.TokenEstimate,
	})
}

// handleBrokenStream handles the loss of the stream to the owner. The engine may
// be running the attempt, so an answer that can be resumed is not repeated.
func (s *session) handleBrokenStream() (Result, bool) {
	s.mayHaveRun = true
	if !s.resumable() {
		if s.canRetry() {
			s.retry("")
			return Result{}, true
		}
		return s.failureResult(CodeAnswerCut, "the connection to the pool's owner was lost"), false
	}
	s.resume()
	return Result{}, true
}

// resumable reports whether the backend stores answers that can be resumed. Plain
// HTTP services do not.
func (s *session) resumable() bool {
	return s.req.Path == ""
}

func (s *session) resume() {
	if !s.req.Resume {
		s.ownerDeadline = s.d.clock.Now().Add(s.d.cfg.ResumeTimeout)
	}
	s.req.Resume = true
	s.req.ResumeOffset = s.sequencer.Offset()
	s.restartSequence()
}

// restartSequence prepares for the frames of a new stream, whose sequence numbers
// start at 0 again.
func (s *session) restartSequence() {
	s.sequencer = answer.NewSequencerAt(s.req.AttemptId, 0, s.sequencer.Offset())
}

// handleTerminal returns the result of a terminal frame, or prepares another try
// when its code and the request allow one.
func (s *session) handleTerminal(f *peerpb.Frame) (Result, bool) {
	if f.Outcome == peerpb.Outcome_OUTCOME_DONE {
		return Result{Outcome: f.Outcome, Delivered: s.sequencer.Offset(), Status: f.Status}, false
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
	return s.frameResult(f), false
}

// canRetry reports whether a new attempt may be started: the request is
// repeatable and the caller has received nothing yet.
func (s *session) canRetry() bool {
	return s.req.Repeatable && !s.delivered && s.retries < s.d.cfg.MaxRetries
}

func (s *session) retry(failedEngine string) {
	s.retries++
	if failedEngine == "" {
		failedEngine = s.req.Engine
	}
	if failedEngine != "" {
		s.req.Excluded = append(s.req.Excluded, failedEngine)
	}
	s.d.inFlight.remove(s.req.Pool, s.req.AttemptId)
	s.req.Retry = true
	s.req.Resume = false
	s.req.ResumeOffset = 0
	s.req.Engine = ""
	s.newAttempt()
	s.ownerDeadline = s.d.clock.Now().Add(s.d.cfg.OwnerTimeout)
}

func (s *session) newAttempt() {
	s.req.AttemptId = answer.NewAttemptID()
	s.sequencer = answer.NewSequencer(s.req.AttemptId)
}

// frameResult returns the result that a terminal frame reports.
func (s *session) frameResult(f *peerpb.Frame) Result {
	res := Result{
		Outcome:    f.Outcome,
		Code:       f.Code,
		Detail:     f.Detail,
		RetryAfter: time.Duration(f.RetryAfterMs) * time.Millisecond,
		Delivered:  s.sequencer.Offset(),
		Status:     f.Status,
	}
	res.Outcome = s.overallOutcome(res.Outcome)
	return res
}

// overallOutcome returns the outcome of the request. o is the outcome of the last
// attempt; an earlier one may have run or delivered a part of an answer.
func (s *session) overallOutcome(o peerpb.Outcome) peerpb.Outcome {
	if s.delivered {
		return peerpb.Outcome_OUTCOME_INCOMPLETE
	}
	if o == peerpb.Outcome_OUTCOME_NOT_RUN && s.mayHaveRun {
		return peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return o
}

func (s *session) failureResult(code, detail string) Result {
	return Result{
		Outcome:   s.overallOutcome(peerpb.Outcome_OUTCOME_NOT_RUN),
		Code:      code,
		Detail:    detail,
		Delivered: s.sequencer.Offset(),
	}
}

func (s *session) ownerTimeoutResult() Result {
	res := s.failureResult(CodeNoOwner, "no router could serve the pool in time")
	res.RetryAfter = s.d.cfg.OwnerTimeout
	return res
}

func (s *session) interruptedResult(err error) Result {
	if errors.Is(err, context.DeadlineExceeded) {
		return s.failureResult(CodeDeadline, "the request's deadline has passed")
	}
	return s.failureResult(CodeCallerDisconnected, "the caller closed the connection")
}

func (s *session) setDeadline(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		s.req.DeadlineMs = 0
		return
	}
	remaining := deadline.Sub(s.d.clock.Now())
	s.req.DeadlineMs = uint32(max(remaining.Milliseconds(), 1))
}

func (s *session) waitBackoff(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.d.clock.After(s.d.cfg.Backoff):
	}
}
