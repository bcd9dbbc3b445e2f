package entry

import (
	"context"
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/bluebellwell/bluebellwell/internal/answer"
	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/telemetry"
)

// bytesPerToken is a rough average, used to estimate tokens before an engine has
// counted them.
const bytesPerToken = 4

// defaultOutputTokens is the estimate for a request without max_tokens.
const defaultOutputTokens = 256

// serveChat serves POST /v1/chat/completions.
func (a *API) serveChat(w http.ResponseWriter, req bunrouter.Request) error {
	cfg := a.deps.Fleet.State().Config
	c, p := a.parseCaller(req.Request, cfg)
	if p != nil {
		return a.writeProblem(w, req.Context(), *p)
	}
	body, p := a.readBody(w, req.Request)
	if p != nil {
		return a.writeProblem(w, req.Context(), *p)
	}
	chat, err := answer.ParseChatRequest(body)
	if err != nil {
		return a.writeProblem(w, req.Context(), newProblem("invalid_request", err.Error()))
	}
	pool := cfg.PoolForModel(chat.Model)
	if pool == nil {
		return a.writeProblem(w, req.Context(), newProblem("unknown_model", "no pool serves the model"))
	}
	relay, err := a.newChatRelay(req.Context(), c, chat, pool)
	if err != nil {
		return a.writeProblem(w, req.Context(), newProblem("invalid_request", err.Error()))
	}
	call := &call{api: a, caller: c, relay: relay, body: body, repeatable: !c.nonRepeatable}
	if chat.Stream {
		return call.serve(w, req.Request, newStreamSink(w, relay.RequestId))
	}
	return call.serve(w, req.Request, newJSONSink(w, relay.RequestId, chat.Model))
}

// newChatRelay builds the message to the pool's owner. The engine always
// streams; the entry router collects the answer for a caller that did not ask
// for a stream.
func (a *API) newChatRelay(
	ctx context.Context, c *caller, chat *answer.ChatRequest, pool *record.Pool,
) (*peerpb.Relay, error) {
	streamRequested := chat.Stream
	chat.Stream = true
	body, err := chat.Encode()
	chat.Stream = streamRequested
	if err != nil {
		return nil, err
	}
	promptBytes := 0
	for _, m := range chat.Messages {
		promptBytes += len(m.Content)
	}
	outputTokens := chat.MaxTokens
	if outputTokens <= 0 {
		outputTokens = defaultOutputTokens
	}
	return &peerpb.Relay{
		RequestId:      answer.NewRequestID(a.deps.RequestIDKey, c.workspace.Name, pool.Name),
		Pool:           pool.Name,
		Workspace:      c.workspace.Name,
		ChatId:         c.chat,
		Priority:       string(c.priority),
		Repeatable:     !c.nonRepeatable,
		Placement:      c.placement,
		Body:           body,
		Stream:         chat.Stream,
		Traceparent:    telemetry.Traceparent(ctx),
		PromptTokens:   uint32(promptBytes / bytesPerToken),
		TokenEstimate:  uint32(promptBytes/bytesPerToken + outputTokens),
		IdempotencyKey: c.idempotencyKey,
	}, nil
}

// serveAnswer serves GET /v1/answers/:id: the remainder of an answer after a lost
// connection.
func (a *API) serveAnswer(w http.ResponseWriter, req bunrouter.Request) error {
	cfg := a.deps.Fleet.State().Config
	c, p := a.parseCaller(req.Request, cfg)
	if p != nil {
		return a.writeProblem(w, req.Context(), *p)
	}
	id := req.Param("id")
	pool, err := answer.CheckRequestID(a.deps.RequestIDKey, c.workspace.Name, id)
	if err != nil || cfg.Pools[pool] == nil {
		return a.writeProblem(w, req.Context(), newProblem("not_found", "no such answer in this workspace"))
	}
	offset, p := parseOffset(req.Request)
	if p != nil {
		return a.writeProblem(w, req.Context(), *p)
	}
	relay := &peerpb.Relay{
		RequestId:    id,
		Pool:         pool,
		Workspace:    c.workspace.Name,
		ChatId:       c.chat,
		Priority:     string(c.priority),
		Placement:    c.placement,
		ResumeOffset: offset,
		Stream:       true,
		Traceparent:  telemetry.Traceparent(req.Context()),
	}
	ctx, cancel := a.withDeadline(req.Context(), c.deadline)
	defer cancel()
	sink := newStreamSink(w, id)
	res := a.deps.Runner.Resume(ctx, relay, sink)
	return a.finish(w, ctx, sink, res, id)
}

// finish writes the end of an answer, or the problem that ended it. It sets the
// outcome header even after the headers were sent, because the router counts
// answers by this header.
func (a *API) finish(w http.ResponseWriter, ctx context.Context, sink responseSink, res dispatch.Result, id string) error {
	w.Header().Set(HeaderOutcome, outcomeName(res.Outcome))
	if res.Outcome == peerpb.Outcome_OUTCOME_DONE {
		return sink.finish()
	}
	p := problemFromResult(res, id)
	if !sink.started() {
		return a.writeProblem(w, ctx, p)
	}
	p.complete(ctx)
	return sink.fail(p)
}
