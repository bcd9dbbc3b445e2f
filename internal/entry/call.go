package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/answer"
	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// intentTimeout bounds the recording of an intent or of an outcome.
const intentTimeout = 5 * time.Second

// headerReplayed marks the answer of an earlier request with the same key.
const headerReplayed = "X-Replayed"

// call is one request that may run on a backend server.
type call struct {
	api    *API
	caller *caller
	relay  *peerpb.Relay
	// body is the request body as received from the caller.
	body       []byte
	repeatable bool
}

// serve runs the request and writes its answer.
func (c *call) serve(w http.ResponseWriter, req *http.Request, sink responseSink) error {
	if !c.repeatable {
		return c.serveNonRepeatable(w, req.Context(), sink)
	}
	ctx, cancel := c.api.withDeadline(req.Context(), c.caller.deadline)
	defer cancel()
	res := c.checkStatus(c.api.deps.Runner.Run(ctx, c.relay, sink), sink)
	return c.api.finish(w, ctx, sink, res, c.relay.RequestId)
}

// serveNonRepeatable records the intent of a non-repeatable request and then
// runs it. It continues when the caller disconnects, so that the outcome is
// recorded and a retry with the same key gets the answer.
func (c *call) serveNonRepeatable(w http.ResponseWriter, ctx context.Context, sink responseSink) error {
	ctx, cancel := c.api.withDeadline(context.WithoutCancel(ctx), c.caller.deadline)
	defer cancel()
	if c.caller.idempotencyKey == "" || c.caller.keyIssued.IsZero() {
		return c.api.writeProblem(w, ctx, newProblem("key_missing",
			"a non-repeatable request needs the headers "+HeaderIdempotencyKey+" and "+HeaderKeyIssued))
	}
	intent, err := c.recordIntent(ctx)
	if err != nil {
		return c.api.writeProblem(w, ctx, newRetryProblem("intent_unavailable",
			"the intent could not be recorded; the request was not run: "+err.Error(), notReadyRetryAfter))
	}
	if intent.State != peerpb.IntentState_INTENT_STATE_WON {
		return c.answerDuplicate(w, ctx, intent)
	}
	c.relay.Repeatable = false
	c.relay.Fencing = intent.Fencing
	recorder := &recordingSink{responseSink: sink}
	res := c.checkStatus(c.api.deps.Runner.Run(ctx, c.relay, recorder), sink)
	c.recordOutcome(ctx, intent, res, recorder)
	return c.api.finish(w, ctx, sink, res, c.relay.RequestId)
}

// checkStatus returns the result of a request. The answer of a plain service without a
// status is not complete, whatever the owner states: a router whose configuration gives the
// pool another type sends such answers.
func (c *call) checkStatus(res dispatch.Result, sink responseSink) dispatch.Result {
	if c.relay.Path == "" || res.Outcome != peerpb.Outcome_OUTCOME_DONE || sink.started() {
		return res
	}
	res.Outcome, res.Code, res.Detail = peerpb.Outcome_OUTCOME_UNKNOWN, dispatch.CodeEngineFailed, errNoStatus.Error()
	return res
}

func (c *call) recordIntent(ctx context.Context) (*peerpb.IntentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	return c.api.deps.Guard.Call(ctx, c.newIntentCall(peerpb.IntentOp_INTENT_OP_BEGIN))
}

func (c *call) newIntentCall(op peerpb.IntentOp) *peerpb.IntentCall {
	digest := sha256.Sum256(append([]byte(c.relay.Method+" "+c.relay.Path+"\n"), c.body...))
	return &peerpb.IntentCall{
		Op:           op,
		Uid:          answer.RandomPart(c.relay.RequestId),
		Workspace:    c.caller.workspace.Name,
		Key:          c.caller.idempotencyKey,
		Digest:       digest[:],
		IssuedUnixMs: c.caller.keyIssued.UnixMilli(),
		DeadlineMs:   uint32(c.caller.deadline.Milliseconds()),
	}
}

// recordOutcome records the outcome of the request. If that fails, the state of
// the key stays unknown, which is safe: no router runs the request again. The
// caller may have disconnected, so the recording does not depend on its context.
func (c *call) recordOutcome(ctx context.Context, intent *peerpb.IntentReply, res dispatch.Result, sink *recordingSink) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), intentTimeout)
	defer cancel()
	var outcome *peerpb.IntentCall
	switch res.Outcome {
	case peerpb.Outcome_OUTCOME_DONE:
		outcome = c.newIntentCall(peerpb.IntentOp_INTENT_OP_OUTCOME)
		sink.fillOutcome(outcome)
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		outcome = c.newIntentCall(peerpb.IntentOp_INTENT_OP_ABANDON)
	default:
		return
	}
	outcome.Generation = intent.Generation
	_, _ = c.api.deps.Guard.Call(ctx, outcome)
}

// answerDuplicate answers a request whose intent was not won, according to the
// state of its key.
func (c *call) answerDuplicate(w http.ResponseWriter, ctx context.Context, r *peerpb.IntentReply) error {
	switch r.State {
	case peerpb.IntentState_INTENT_STATE_DONE:
		return c.replay(w, ctx, r)
	case peerpb.IntentState_INTENT_STATE_IN_PROGRESS:
		p := newRetryProblem("key_in_progress", "a request with this key is running", busyRetryAfter)
		p.Outcome = OutcomeUnknown
		return c.api.writeProblem(w, ctx, p)
	case peerpb.IntentState_INTENT_STATE_EXPIRED:
		p := newProblem("key_expired", "the key is older than the key window; an earlier request may have run")
		p.Outcome = OutcomeUnknown
		return c.api.writeProblem(w, ctx, p)
	case peerpb.IntentState_INTENT_STATE_DIGEST_MISMATCH:
		return c.api.writeProblem(w, ctx, newProblem("key_reused", "the key was used with another request body"))
	case peerpb.IntentState_INTENT_STATE_NOT_RUN:
		return c.api.writeProblem(w, ctx, newRetryProblem("intent_lost", "the intent was not recorded; "+r.Detail, busyRetryAfter))
	default:
		p := newProblem("outcome_unknown", "a request with this key may have run; its outcome is not known")
		p.Outcome = OutcomeUnknown
		return c.api.writeProblem(w, ctx, p)
	}
}

// replay sends the answer of an earlier request with the same key.
func (c *call) replay(w http.ResponseWriter, ctx context.Context, r *peerpb.IntentReply) error {
	if c.relay.Path == "" {
		return c.replayChat(w, ctx, r)
	}
	if r.BodyOmitted {
		return c.api.writeProblem(w, ctx, notStoredProblem("the request was run; its answer was too large to be stored"))
	}
	return c.replayStored(w, r)
}

// replayChat reads the earlier answer from the engine, which stores it for a
// limited time.
func (c *call) replayChat(w http.ResponseWriter, ctx context.Context, r *peerpb.IntentReply) error {
	id := answer.RequestIDOf(c.api.deps.RequestIDKey, r.Uid, c.caller.workspace.Name, c.relay.Pool)
	ctx, cancel := c.api.withDeadline(ctx, c.caller.deadline)
	defer cancel()
	w.Header().Set(headerReplayed, "true")
	sink := newStreamSink(w, id)
	relay := &peerpb.Relay{
		RequestId:   id,
		Pool:        c.relay.Pool,
		Workspace:   c.relay.Workspace,
		Priority:    c.relay.Priority,
		Stream:      true,
		Traceparent: c.relay.Traceparent,
	}
	res := c.api.deps.Runner.Resume(ctx, relay, sink)
	if res.Outcome != peerpb.Outcome_OUTCOME_DONE && !sink.started() {
		return c.api.writeProblem(w, ctx, notStoredProblem("the request was run; its answer is no longer stored"))
	}
	return c.api.finish(w, ctx, sink, res, id)
}

// replayStored sends the answer that was recorded with the outcome.
func (c *call) replayStored(w http.ResponseWriter, r *peerpb.IntentReply) error {
	h := w.Header()
	for _, header := range r.Headers {
		h.Set(header.Name, header.Value)
	}
	h.Set(HeaderOutcome, OutcomeDone)
	h.Set(headerReplayed, "true")
	if r.Detail != "" {
		h.Set("X-Replay-Detail", r.Detail)
	}
	w.WriteHeader(int(r.Status))
	_, err := w.Write(r.Body)
	return err
}

func (a *API) withDeadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, a.deps.Clock.Now().Add(d))
}

func parseOffset(req *http.Request) (uint64, *Problem) {
	v := req.URL.Query().Get("offset")
	if v == "" {
		return 0, nil
	}
	offset, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		p := newProblem("invalid_request", "offset must be a number of characters")
		return 0, &p
	}
	return offset, nil
}
