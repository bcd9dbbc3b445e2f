package poolowner

import (
	"context"
	"errors"
	"slices"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// resume sends the rest of an earlier answer. It starts no attempt on an engine.
func (e *exchange) resume(ctx context.Context) {
	ctx, span := e.startSpan(ctx, "owner resume "+e.req.Pool)
	defer span.End()
	e.offset = e.req.ResumeOffset
	client, stream := e.findStream(ctx)
	if stream == nil {
		e.end(peerpb.Outcome_OUTCOME_UNKNOWN, dispatch.CodeAttemptNotFound, "no engine of the pool has the answer")
		return
	}
	if !e.pool.runs.has(e.req.AttemptId) {
		release := e.pool.adoptFollowed(e.now(), e.req.AttemptId, e.engine)
		defer release()
	}
	e.send(&peerpb.Frame{Engine: e.engine})
	e.follow(ctx, ctx, client, stream)
}

// findStream opens the stream of the attempt on the engine that has it: the one
// that the entry router names, else the one where this router ran the request,
// else any of the pool.
func (e *exchange) findStream(ctx context.Context) (*engineclient.Client, *engineclient.Stream) {
	names := e.candidateEngines()
	for _, name := range names {
		client := e.pool.engine(name)
		if client == nil {
			continue
		}
		if e.req.AttemptId == "" && !e.findAttempt(ctx, client) {
			continue
		}
		e.engine = name
		stream, err := e.reopen(ctx, client)
		if err == nil {
			return client, stream
		}
		if !errors.Is(err, engineclient.ErrNotFound) && e.req.Engine == name {
			return nil, nil
		}
	}
	return nil, nil
}

func (e *exchange) candidateEngines() []string {
	if e.req.Engine != "" {
		return []string{e.req.Engine}
	}
	if r, ok := e.pool.runs.find(e.req.RequestId); ok {
		if e.req.AttemptId == "" {
			e.req.AttemptId = r.attemptID
		}
		return []string{r.engine}
	}
	names := e.pool.engineNames()
	// The caller's token names the engine of the chat's last answer, which avoids
	// a query to all engines.
	if hint := e.hint(); hint.Engine != "" {
		names = slices.Insert(slices.DeleteFunc(names, func(n string) bool { return n == hint.Engine }), 0, hint.Engine)
	}
	return names
}

// findAttempt queries an engine for the request's last attempt that ran.
func (e *exchange) findAttempt(ctx context.Context, client *engineclient.Client) bool {
	attempts, err := client.FindAttempts(ctx, e.req.RequestId)
	if err != nil || len(attempts) == 0 {
		return false
	}
	e.req.AttemptId = attempts[len(attempts)-1].AttemptID
	return true
}
