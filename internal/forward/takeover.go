package forward

import (
	"context"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// maxTakeovers bounds the takeovers of a request. Engines that end one after the other under the same run may do so
// because of it.
const maxTakeovers = 3

// takeoverState is what a request has been through beside ordinary attempts.
type takeoverState struct {
	// from is where the memory is that the current attempt continues with; zero for an ordinary attempt.
	from MemoryRef
	// count is the number of attempts that continued a run.
	count int
	// brokenAt is when the run broke off that is being taken over; zero once the caller has the next event.
	brokenAt time.Time
	pause    time.Duration
	// wholeUnknown is set when the last attempt ended with its connection between two events while its engine had
	// ended: the stream may be complete.
	wholeUnknown bool
}

// active reports whether the current attempt continues a run with a copy of its memory.
func (t *takeoverState) active() bool { return t.from.Addr != "" }

// logFields returns the takeovers of a request for its log line, and nothing when there were none.
func (t *takeoverState) logFields() []any {
	if t.count == 0 {
		return nil
	}
	return []any{"takeovers", t.count, "pause_ms", t.pause.Milliseconds()}
}

// takeOver continues a run that is over, although its answer is not whole, at the engine that has a copy of its memory.
// It returns the last attempt and its result, which are the given ones when the run was not continued.
func (c *call) takeOver(ctx context.Context, choice balance.Choice, res result) (balance.Choice, result) {
	for c.mayTakeOver(ctx, res) {
		next, nextRes, continued := c.continueRun(ctx, choice, res)
		if !continued {
			return choice, c.withoutTakeover(res)
		}
		choice, res = next, nextRes
	}
	return choice, c.withoutTakeover(res)
}

// mayTakeOver reports whether a run is to be continued after an attempt. The bound of the route's attempts does not
// matter, since it is the same run.
func (c *call) mayTakeOver(ctx context.Context, res result) bool {
	return c.backup != nil && res.over && ctx.Err() == nil && c.takeover.count < maxTakeovers && c.canTakeOver() && c.maySendAgain(res)
}

// canTakeOver reports whether another engine with the memory of the run can continue exactly where the caller is, after
// its last event. Before the first one there may be no copy yet, and an engine that then begins anew runs a request twice that
// may run only once.
func (c *call) canTakeOver() bool {
	return c.w.started() && !c.stream.unresumable && c.stream.events.Resumable() && fitsHeader(c.stream.events.LastEventID())
}

// continueRun sends the request to the engine that has a copy of the run's memory. continued is false when that engine
// has not run it.
func (c *call) continueRun(ctx context.Context, choice balance.Choice, broken result) (next balance.Choice, res result, continued bool) {
	target := c.backup.server
	next, job, why := c.beginTakeover(choice)
	if why != CauseNone {
		c.logTakeover(choice, target.ID, broken, false, why)
		return next, broken, false
	}
	outcome, cause, whole := c.outcome, c.cause, c.takeover.wholeUnknown
	c.outcome, c.cause = "", CauseNone
	c.takeover.count++
	c.takeover.wholeUnknown = false
	c.takeover.brokenAt, c.takeover.pause = c.attempts.endedAt, 0
	c.takeover.from = MemoryRef{Addr: target.Addr, ID: c.headers.ID}
	primary := c.attempts.choice
	c.attempts.choice, c.attempts.job = next, job
	c.backup = c.nameBackup(next, c.job())
	if next.Cold {
		c.handler.metrics.recordCold(c.pool.name)
	}
	res = c.attemptAndEnd(ctx, next, job)
	c.takeover.from = MemoryRef{}
	c.logTakeover(choice, target.ID, broken, res.outcome == balance.Served || c.takeover.brokenAt.IsZero(), res.cause)
	if !res.mayHaveRun && !res.done {
		c.backup, c.attempts.choice = nil, primary
		c.outcome, c.cause, c.takeover.wholeUnknown = outcome, cause, whole
		c.attempts.tried = append(c.attempts.tried, target.Key())
		return choice, broken, false
	}
	return next, res, true
}

// beginTakeover counts the request at the engine that has the copy. why is the reason when it may not go there.
func (c *call) beginTakeover(choice balance.Choice) (next balance.Choice, job balance.Job, why Cause) {
	// The engine that has broken off must not become the backup of its own run.
	c.attempts.tried = append(c.attempts.tried, choice.Server.Key())
	job = c.job()
	// The copy has the prompt, so nothing of it is read or placed.
	job.Prefixes, job.PromptTokens = nil, 0
	job.Version = streamversion.VersionOf(choice.Server.Version)
	next, why = c.pool.pickNamed(time.Now(), job, c.backup)
	if why == CauseNone || why == CauseNoRetries {
		c.handler.metrics.recordRetry(c.pool.name, why == CauseNone)
	}
	return next, job, why
}

// pickNamed counts the request at the engine that has a copy, which costs a retry of the budget.
func (p *pool) pickNamed(now time.Time, job balance.Job, b *backup) (balance.Choice, Cause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, ok := p.balance.PickNamed(now, job, b.server.Key())
	if !ok {
		return choice, CauseNoServer
	}
	if !p.budget.AllowRetry(now) {
		return choice, CauseNoRetries
	}
	p.balance.Begin(now, choice, job)
	return choice, CauseNone
}

// withoutTakeover ends a stream as before when its run is not continued: one that ended with its connection between two
// events counts as complete.
func (c *call) withoutTakeover(res result) result {
	if !c.takeover.wholeUnknown {
		return res
	}
	c.takeover.wholeUnknown = false
	c.cause = CauseNone
	return c.servedResult()
}

// endedInRun reports whether the engine of a backed-up run, whose answer has ended with its connection, has ended: the
// stream may not be complete.
func (c *call) endedInRun() bool {
	return c.backup != nil && c.canTakeOver() && c.handler.state.paths.refuses(c.attempts.choice.Server.Addr)
}

// brokenUnlessWhole classifies a stream that may be complete. The engine with the copy knows: it frees the copy when the
// run has ended well.
func (c *call) brokenUnlessWhole(ctx context.Context) result {
	res := c.classifyBroken(ctx, CauseAnswerBroken)
	c.takeover.wholeUnknown = c.outcome != OutcomeCallerLeft
	res.over = c.takeover.wholeUnknown
	return res
}

// recordTakeoverPause records how long the caller had no event because of a takeover.
func (c *call) recordTakeoverPause() {
	if c.takeover.brokenAt.IsZero() || !c.takeover.active() {
		return
	}
	c.takeover.pause = time.Since(c.takeover.brokenAt)
	c.takeover.brokenAt = time.Time{}
	c.handler.metrics.recordTakeoverPause(c.takeover.pause)
}

// logTakeover logs and counts a takeover, or why there was none.
func (c *call) logTakeover(choice balance.Choice, target string, broken result, continued bool, why Cause) {
	e, outcome := event.StreamTakenOver, "continued"
	if !continued {
		e, outcome = event.TakeoverFailed, string(why)
	}
	c.handler.metrics.recordTakeover(c.pool.name, outcome)
	kv := []any{
		"request", c.headers.ID, "server", choice.Server.ID, "backup", target, "broken", broken.cause, "after", c.stream.resumedAfter,
		"last", c.stream.events.LastEventID(), "pause_ms", c.takeover.pause.Milliseconds(), "takeovers", c.takeover.count,
	}
	if why != CauseNone {
		kv = append(kv, "cause", why)
	}
	c.handler.events.Emit(e, kv...)
}
