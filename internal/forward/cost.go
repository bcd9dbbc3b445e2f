package forward

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cost"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// costRequest returns what is known of the request's cost before it runs.
func (c *call) costRequest() cost.Request {
	return cost.Request{
		Route: c.route.Name, Workspace: c.workspace.Name, PromptTokens: c.headers.promptTokens(), MaxOutput: c.headers.MaxOutputTokens,
		Hint: c.headers.OutputHint, Stream: c.route.Kind == routing.Stream,
	}
}

// attemptID identifies an attempt among those in flight; it is not 0.
func attemptID() uint64 { return rand.Uint64() | 1 }

// predict returns what a request is expected to cost.
func (p *pool) predict(r cost.Request) cost.Prediction {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.costs.Predict(r)
}

// observeCost learns from an answer, except from one that a second server continued or that continues a
// stream: it shows a part of the cost only.
func (c *call) observeCost() {
	a := &c.attempts
	if a.sent != 1 || c.headers.takesUp() || c.outcome != OutcomeServed {
		return
	}
	answer := cost.Answer{Whole: true, Output: c.stream.events.Events(), Slot: c.slotTime()}
	req := c.costRequest()
	c.pool.mu.Lock()
	c.pool.costs.Observe(time.Now(), req, c.predicted, answer)
	c.pool.mu.Unlock()
	c.handler.metrics.recordCost(c, answer)
}

// slotTime returns the time that the request spent in a slot, at the usual speed and without reading its prompt.
func (c *call) slotTime() time.Duration {
	a := &c.attempts
	took := a.endedAt.Sub(a.sentAt)
	if c.route.Kind == routing.Stream {
		took = time.Since(c.arrivedAt) - c.firstByte
	} else if slots := a.choice.Server.Slots; slots > 0 {
		// Where more requests than slots are there, each of them waits for a part of its time.
		took = time.Duration(float64(took) / max((a.choice.Load+1)/float64(slots), 1))
	}
	slowdown := a.slowdown
	if slowdown <= 0 {
		slowdown = max(a.choice.Slowdown, 1)
	}
	return time.Duration(float64(took) / slowdown)
}

// costFields returns the predicted and the actual cost for a log line, and nothing where neither is known.
func (c *call) costFields() []any {
	var kv []any
	if c.predicted.Output > 0 && c.attempts.sent > 0 {
		kv = append(kv, "predicted_output", int(c.predicted.Output), "output", c.stream.events.Events())
	}
	if c.attempts.choice.Expected > 0 {
		kv = append(kv, "predicted_first_ms", c.attempts.choice.Expected.Milliseconds(), "slowdown", c.attempts.choice.Slowdown)
	}
	return kv
}
