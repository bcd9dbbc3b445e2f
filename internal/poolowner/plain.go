package poolowner

import (
	"context"
	"errors"
	"net/http"

	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/backend"
	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// maxPlainFrameBytes is the maximum payload of the frames in which a plain answer
// is sent; it is below the frame limit of the peer protocol.
const maxPlainFrameBytes = 48 << 10

// callBackend executes one attempt on a server of a plain service.
func (e *exchange) callBackend(ctx context.Context) {
	client := e.pool.backend(e.engine)
	if client == nil {
		e.release(admission.Result{EngineFailed: true})
		e.end(peerpb.Outcome_OUTCOME_NOT_RUN, dispatch.CodeEngineFailed, "the backend server has left the pool")
		return
	}
	callCtx, span := e.pool.deps.Tracer.Start(ctx, "backend "+e.engine, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if remaining := e.remaining(); remaining > 0 {
		var cancel context.CancelFunc
		callCtx, cancel = context.WithDeadline(callCtx, e.now().Add(remaining))
		defer cancel()
	}
	answer, err := client.Do(callCtx, e.backendRequest())
	if err != nil {
		e.failCall(ctx, err)
		return
	}
	e.pool.deps.ReportResult(e.engine, true)
	e.release(admission.Result{})
	e.sendAnswer(answer)
}

func (e *exchange) backendRequest() backend.Request {
	header := make(http.Header, len(e.req.Headers))
	for _, h := range e.req.Headers {
		header.Add(h.Name, h.Value)
	}
	return backend.Request{
		Method:         e.req.Method,
		Path:           e.req.Path,
		Header:         header,
		Body:           e.req.Body,
		Repeatable:     e.req.Repeatable,
		AttemptID:      e.req.AttemptId,
		IdempotencyKey: e.req.IdempotencyKey,
		Fencing:        e.req.Fencing,
	}
}

// failCall ends an attempt without an answer. An attempt that the caller
// cancelled or whose deadline passed is not reported as a failure of the server.
func (e *exchange) failCall(ctx context.Context, err error) {
	e.release(admission.Result{EngineFailed: true})
	if ctx.Err() == nil && !errors.Is(err, context.DeadlineExceeded) {
		e.pool.deps.ReportResult(e.engine, false)
	}
	if errors.Is(err, backend.ErrNotSent) {
		e.end(peerpb.Outcome_OUTCOME_NOT_RUN, dispatch.CodeEngineFailed, "no backend server took the request")
		return
	}
	e.pool.deps.Events.Emit(event.BackendOutcomeUnknown, "pool", e.req.Pool, "server", e.engine, "attempt", e.req.AttemptId,
		"error", err.Error())
	e.end(peerpb.Outcome_OUTCOME_UNKNOWN, dispatch.CodeEngineFailed, "the backend server did not answer")
}

// sendAnswer sends a plain answer in one or more frames.
func (e *exchange) sendAnswer(a *backend.Answer) {
	frame := &peerpb.Frame{Status: uint32(a.Status)}
	for name, values := range a.Header {
		for _, v := range values {
			frame.Headers = append(frame.Headers, &peerpb.Header{Name: name, Value: v})
		}
	}
	body := a.Body
	for {
		n := min(len(body), maxPlainFrameBytes)
		frame.Payload = body[:n]
		frame.Characters = uint32(n)
		e.send(frame)
		e.offset += uint64(n)
		body = body[n:]
		if len(body) == 0 {
			break
		}
		frame = &peerpb.Frame{}
	}
	e.send(&peerpb.Frame{Terminal: true, Outcome: peerpb.Outcome_OUTCOME_DONE, Status: uint32(a.Status)})
}
