package poolowner

import (
	"context"
	"errors"
	"io"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/answer"
	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/kvmove"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/telemetry"
)

const (
	// maxDetachedTime bounds how long an attempt is followed without an entry
	// router, so that its slot stays counted.
	maxDetachedTime = 10 * time.Minute
	// cancelTimeout bounds the call that cancels an attempt at its engine.
	cancelTimeout = 2 * time.Second
	// maxResumeTries and resumeRetryDelay bound the tries to resume a lost engine
	// connection.
	maxResumeTries   = 4
	resumeRetryDelay = 250 * time.Millisecond
)

// exchange is the processing of one relayed request.
type exchange struct {
	pool      *ownedPool
	req       *peerpb.Relay
	out       Sender
	startedAt time.Time
	seq       uint64
	// offset counts the characters of text, or the bytes of a plain answer,
	// that were sent, or dropped because the connection to the entry router was
	// lost.
	offset           uint64
	detached         bool
	engine           string
	ticket           *admission.Ticket
	usage            answer.Usage
	outputCharacters int
}

func (e *exchange) now() time.Time {
	return e.pool.deps.Clock.Now()
}

// send sends a frame unless the connection to the entry router is lost.
func (e *exchange) send(f *peerpb.Frame) {
	f.AttemptId = e.req.AttemptId
	f.Seq = e.seq
	f.Offset = e.offset
	e.seq++
	if e.detached || e.pool.killed.Load() {
		return
	}
	if err := e.out.Send(f); err != nil {
		e.detached = true
	}
}

// end sends the terminal frame of an answer that is not complete.
func (e *exchange) end(outcome peerpb.Outcome, code, detail string) {
	e.send(&peerpb.Frame{Terminal: true, Outcome: outcome, Code: code, Detail: detail, Engine: e.engine})
}

// run admits and executes a new attempt.
func (e *exchange) run(ctx context.Context) {
	ctx, span := e.startSpan(ctx, "owner "+e.req.Pool)
	defer span.End()
	grant := e.admit(ctx)
	if grant == nil {
		return
	}
	e.engine = grant.Engine
	e.pool.recordChatRequest(e.chat())
	e.pool.runs.add(e.req.RequestId, e.req.AttemptId, e.engine)
	defer e.recordEnd()
	e.send(&peerpb.Frame{Engine: e.engine, Placement: e.placementToken(grant)})
	if e.pool.isPlain() {
		e.callBackend(ctx)
		return
	}
	e.runEngine(ctx)
}

// recordEnd removes the attempt. If another router owns the pool now, it reports
// the end to that router, which counts the attempt as load until then.
func (e *exchange) recordEnd() {
	e.pool.runs.remove(e.req.AttemptId)
	if !e.pool.owned() && !e.pool.killed.Load() {
		e.pool.deps.ReportAttemptEnded(e.req.Pool, e.req.AttemptId)
	}
}

func (e *exchange) startSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	return e.pool.deps.Tracer.Start(telemetry.WithTraceparent(ctx, e.req.Traceparent), name)
}

func (e *exchange) placementToken(grant *admission.Grant) string {
	if e.req.ChatId == "" || e.pool.isPlain() {
		return ""
	}
	return e.pool.deps.TokenSigner.Sign(e.now(), e.req.Workspace, e.req.ChatId, grant.Engine, grant.BootID)
}

// admit waits for a slot. It returns nil after it has sent a refusal.
func (e *exchange) admit(ctx context.Context) *admission.Grant {
	_, span := e.pool.deps.Tracer.Start(ctx, "admission")
	defer span.End()
	e.ticket = e.pool.admission.Submit(e.now(), e.admissionRequest())
	select {
	case o := <-e.ticket.Done():
		return e.grantOrRefuse(o)
	case <-ctx.Done():
		if !e.pool.admission.Cancel(e.now(), e.ticket) {
			e.end(peerpb.Outcome_OUTCOME_NOT_RUN, dispatch.CodeCallerDisconnected, "the caller has gone")
			return nil
		}
		// The grant was made just before; no request was sent for it.
		e.release(admission.Result{Cancelled: true})
		e.end(peerpb.Outcome_OUTCOME_NOT_RUN, dispatch.CodeCallerDisconnected, "the caller has gone")
		return nil
	}
}

func (e *exchange) grantOrRefuse(o admission.Outcome) *admission.Grant {
	if o.Grant != nil {
		return o.Grant
	}
	e.refuse(o.Refusal)
	return nil
}

func (e *exchange) refuse(r *admission.Refusal) {
	code := string(r.Code)
	if r.Code == admission.CodeNotOwner || r.Code == admission.CodeStopping {
		code = dispatch.CodeHandedBack
	}
	e.send(&peerpb.Frame{
		Terminal:     true,
		Outcome:      peerpb.Outcome_OUTCOME_NOT_RUN,
		Code:         code,
		Detail:       "the pool did not admit the request",
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
	})
}

func (e *exchange) admissionRequest() *admission.Request {
	r := &admission.Request{
		ID:           e.req.AttemptId,
		Workspace:    e.req.Workspace,
		Class:        record.Priority(e.req.Priority),
		Chat:         e.req.ChatId,
		PromptTokens: int(e.req.PromptTokens),
		OutputTokens: int(e.req.TokenEstimate) - int(e.req.PromptTokens),
		Exclude:      e.req.Excluded,
		Retry:        e.req.Retry,
	}
	if e.req.DeadlineMs > 0 {
		r.Deadline = e.startedAt.Add(time.Duration(e.req.DeadlineMs) * time.Millisecond)
	}
	r.Hint = e.hint()
	return r
}

func (e *exchange) hint() placement.Hint {
	if e.req.Placement == "" || e.req.ChatId == "" {
		return placement.Hint{}
	}
	hint, err := e.pool.deps.TokenSigner.Verify(e.now(), e.req.Workspace, e.req.ChatId, e.req.Placement)
	if err != nil {
		return placement.Hint{}
	}
	return hint
}

func (e *exchange) release(res admission.Result) {
	e.pool.admission.Release(e.now(), e.ticket, res)
}

// remaining returns the time until the caller's deadline; 0 means no deadline.
func (e *exchange) remaining() time.Duration {
	if e.req.DeadlineMs == 0 {
		return 0
	}
	remaining := time.Duration(e.req.DeadlineMs)*time.Millisecond - e.now().Sub(e.startedAt)
	return max(remaining, time.Millisecond)
}

// runEngine executes the attempt on the granted engine.
func (e *exchange) runEngine(ctx context.Context) {
	client := e.pool.engine(e.engine)
	if client == nil {
		e.release(admission.Result{EngineFailed: true})
		e.end(peerpb.Outcome_OUTCOME_NOT_RUN, dispatch.CodeEngineFailed, "the engine has left the pool")
		return
	}
	engineCtx, span := e.pool.deps.Tracer.Start(context.WithoutCancel(ctx), "engine "+e.engine)
	defer span.End()
	engineCtx, cancel := context.WithTimeout(engineCtx, maxDetachedTime)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	stream, err := client.Stream(engineCtx, e.engineRequest(engineCtx))
	if err != nil {
		e.failStart(ctx, client, err)
		return
	}
	e.pool.recordBootID(e.now(), e.engine, stream.BootID())
	e.follow(ctx, engineCtx, client, stream)
}

// chat names the request's chat; the name is empty without one.
func (e *exchange) chat() kvmove.Chat {
	return kvmove.Chat{Workspace: e.req.Workspace, Name: e.req.ChatId}
}

func (e *exchange) engineRequest(ctx context.Context) engineclient.Request {
	prefix := ""
	if c := e.chat(); c.Name != "" {
		prefix = c.PrefixKey()
	}
	return engineclient.Request{
		AttemptID:      e.req.AttemptId,
		RequestID:      e.req.RequestId,
		Workspace:      e.req.Workspace,
		PrefixKey:      prefix,
		SystemKey:      e.pool.systemKey(e.req.Workspace),
		Priority:       e.req.Priority,
		IdempotencyKey: e.req.IdempotencyKey,
		Traceparent:    telemetry.Traceparent(ctx),
		Deadline:       e.remaining(),
		Body:           e.req.Body,
	}
}

// failStart ends an attempt whose engine returned no stream.
func (e *exchange) failStart(ctx context.Context, client *engineclient.Client, err error) {
	if ctx.Err() != nil {
		e.cancelAttempt(client)
		return
	}
	e.pool.deps.ReportResult(e.engine, false)
	if errors.Is(err, engineclient.ErrNotRun) {
		e.release(admission.Result{EngineFailed: true})
		e.end(peerpb.Outcome_OUTCOME_NOT_RUN, dispatch.CodeEngineFailed, "the engine did not take the request")
		return
	}
	e.cancelAtEngine(client)
	e.release(admission.Result{EngineFailed: true})
	e.end(peerpb.Outcome_OUTCOME_UNKNOWN, dispatch.CodeEngineFailed, "the engine failed before the answer began")
}

// follow copies the engine's stream until the answer is complete or lost. An
// engine that was asked to cancel the attempt closes every connection before the
// end of the answer, so the number of connections without output is bounded.
func (e *exchange) follow(ctx, engineCtx context.Context, client *engineclient.Client, s *engineclient.Stream) {
	for idleConnections := 0; idleConnections < maxResumeTries; idleConnections++ {
		before := e.offset
		err := e.copyEvents(s)
		s.Close()
		if errors.Is(err, io.EOF) {
			e.finishAnswer()
			return
		}
		if ctx.Err() != nil {
			e.cancelAttempt(client)
			return
		}
		if e.offset > before {
			idleConnections = 0
		}
		s, err = e.reopen(engineCtx, client)
		if err != nil {
			break
		}
	}
	e.failAnswer()
}

// copyEvents sends the events of one connection as frames. It returns io.EOF
// after the end of a complete answer.
func (e *exchange) copyEvents(s *engineclient.Stream) error {
	for {
		ev, err := s.Next()
		if err != nil {
			return err
		}
		if ev.HasUsage {
			e.usage = ev.Usage
		}
		if ev.Done {
			return io.EOF
		}
		e.outputCharacters += ev.Characters
		e.send(&peerpb.Frame{Payload: ev.Data, Characters: uint32(ev.Characters)})
		e.offset += uint64(ev.Characters)
	}
}

// reopen resumes the same attempt on the same engine after its connection was
// lost. Another engine would generate another text.
func (e *exchange) reopen(ctx context.Context, client *engineclient.Client) (*engineclient.Stream, error) {
	var err error
	for range maxResumeTries {
		var s *engineclient.Stream
		s, err = client.Resume(ctx, e.req.AttemptId, int(e.offset))
		if err == nil {
			e.pool.deps.Events.Emit(event.StreamResumed, "pool", e.req.Pool, "engine", e.engine, "offset", e.offset)
			return s, nil
		}
		if errors.Is(err, engineclient.ErrNotFound) || ctx.Err() != nil {
			return nil, err
		}
		// A refused connection is reported at once: until the engine counts as
		// down, its lost attempts raise the bound of the other engines.
		if errors.Is(err, engineclient.ErrNotRun) {
			e.pool.deps.ReportResult(e.engine, false)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-e.pool.deps.Clock.After(resumeRetryDelay):
		}
	}
	return nil, err
}

func (e *exchange) finishAnswer() {
	e.pool.deps.ReportResult(e.engine, true)
	if e.ticket != nil {
		e.release(admission.Result{
			CachedTokens: e.usage.PromptTokensDetails.CachedTokens,
			PromptTokens: e.usage.PromptTokens,
			OutputTokens: e.usage.CompletionTokens,
		})
		e.pool.recordChatAnswer(e.now(), e.engine, e.chat())
	}
	e.send(&peerpb.Frame{Terminal: true, Outcome: peerpb.Outcome_OUTCOME_DONE})
}

func (e *exchange) failAnswer() {
	e.pool.deps.ReportResult(e.engine, false)
	if e.ticket != nil {
		e.release(admission.Result{EngineFailed: true})
	}
	e.pool.deps.Events.Emit(event.AnswerIncomplete, "pool", e.req.Pool, "engine", e.engine, "characters", e.offset)
	if e.offset == 0 {
		e.end(peerpb.Outcome_OUTCOME_UNKNOWN, dispatch.CodeEngineFailed, "the engine failed before the answer began")
		return
	}
	e.end(peerpb.Outcome_OUTCOME_INCOMPLETE, dispatch.CodeAnswerCut, "the engine failed in the middle of the answer")
}

// cancelAttempt cancels the attempt at the engine. It releases the slot only
// after the call to the engine.
func (e *exchange) cancelAttempt(client *engineclient.Client) {
	e.cancelAtEngine(client)
	if e.ticket != nil {
		e.release(admission.Result{Cancelled: true})
	}
	e.end(peerpb.Outcome_OUTCOME_UNKNOWN, dispatch.CodeCallerDisconnected, "the caller has gone")
}

func (e *exchange) cancelAtEngine(client *engineclient.Client) {
	if e.pool.killed.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, _ = client.Cancel(ctx, e.req.AttemptId)
}
