package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/framing"
	"github.com/bluebellwell/bluebellwell/internal/httpsend"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// errSilent cancels an attempt whose server sends nothing for too long.
var errSilent = errors.New("server is silent")

const (
	// maxRefusals bounds the servers that are tried when each states that it did
	// not run the request.
	maxRefusals = 3
	// maxUnreachable bounds the attempts that can't connect. Such an attempt
	// takes a few milliseconds and has no effect on a server; after a failure of
	// many servers the first choices may all be down.
	maxUnreachable = 8
)

// attempts records the attempts to serve a request.
type attempts struct {
	// sent counts all attempts, refused ones included; unreachable counts those of
	// them that could not connect.
	sent        int
	unreachable int
	// ran counts the servers that may have run the request.
	ran   int
	tried []registry.Key
	// held is how long the request waited for its prefix to be read.
	held time.Duration
	// sentAt is when the current attempt was sent, answeredAt when the headers of its
	// answer arrived, and endedAt when it ended.
	sentAt      time.Time
	answeredAt  time.Time
	endedAt     time.Time
	job         balance.Job
	choice      balance.Choice
	lastOutcome balance.Outcome
	// framing and bodyBytes describe the last answer: how its end is marked, and how
	// much of it has been received.
	framing   framing.Framing
	bodyBytes int64
	// slowdown is how many times the usual time work took at the server, as it said in the answer; 0 when it does not.
	slowdown float64
	// via is the router through which the last connection was opened; empty for none.
	via string
	// readError is the error that ended the reading of the answer; io.EOF at its end.
	readError error
	// closedBeforeAnswer is set when the server ended the connection before its answer. readError may
	// not show that: net/http closes the connection then, which ends a write of the request that is
	// still in progress with net.ErrClosed.
	closedBeforeAnswer bool
	// broken lists the attempts that may have crashed their servers.
	broken []brokenAttempt
	// disputed lists the servers whose failure the request itself may have caused.
	disputed []*registry.Server
	// failure is the last complete answer that reported a failure.
	failure *failure
}

func (a *attempts) logFields() []any {
	if a.sent == 0 {
		return nil
	}
	c := a.choice
	kv := []any{
		"server", c.Server.ID, "version", c.Server.Version, "pool", c.Server.Pool, "reason", c.Reason, "load", c.Load, "mean", c.Mean,
		"offered", a.sent, "last", a.lastOutcome.String(),
	}
	if c.ReadTokens > 0 {
		kv = append(kv, "read_tokens", c.ReadTokens, "wait_ms", c.Wait.Milliseconds())
	}
	if c.ReportAge >= 0 {
		kv = append(kv, "report_age_ms", c.ReportAge.Milliseconds())
	}
	if n := len(a.job.Prefixes); n > 0 {
		kv = append(kv, "subject", strconv.FormatUint(a.job.Prefixes[n-1].Hash, 16), "shared_tokens", a.job.Prefixes[n-1].Tokens)
	}
	kv = append(kv, a.answeringField()...)
	if a.held > 0 {
		kv = append(kv, "held_ms", a.held.Milliseconds())
	}
	if c.Source != nil {
		kv = append(kv, "fetch_from", c.Source.ID)
	}
	if a.via != "" {
		kv = append(kv, "via", a.via)
	}
	if a.framing != framing.Unknown {
		kv = append(kv, "framing", a.framing, "body_bytes", a.bodyBytes)
	}
	return kv
}

// answeringField returns how long the server had been answering when the last attempt
// ended, and nothing when its answer had not begun.
func (a *attempts) answeringField() []any {
	if a.answeredAt.IsZero() {
		return nil
	}
	return []any{"answering_ms", a.answeringTime().Milliseconds()}
}

// answeringTime returns how long the server had been answering when the last attempt ended.
func (a *attempts) answeringTime() time.Duration {
	if a.answeredAt.IsZero() {
		return 0
	}
	return a.endedAt.Sub(a.answeredAt)
}

// tryServer makes one attempt and reports whether another one must follow.
func (c *call) tryServer(ctx context.Context) bool {
	if !c.awaitMaySend(ctx) {
		return false
	}
	job := c.job()
	if !c.awaitGrant(ctx, &job) {
		return false
	}
	defer c.endGrant()
	choice, ok, newPlacement := c.pick(ctx, job)
	if newPlacement {
		c.handler.state.onNews()
	}
	if !ok && c.grantedInVain(ctx) {
		return true
	}
	if !ok {
		c.endWithoutServer(ctx)
		return false
	}
	c.grant.sent = true
	c.attempts.choice = choice
	c.attempts.job = job
	c.attempts.sent++
	c.backup = c.nameBackup(choice, job)
	if choice.Cold {
		c.handler.metrics.recordCold(c.pool.name)
	}
	res := c.attemptAndEnd(ctx, choice, job)
	choice, res = c.takeOver(ctx, choice, res)
	if res.outcome == balance.Disputed {
		c.attempts.disputed = append(c.attempts.disputed, choice.Server)
	}
	if res.done {
		c.confirmDisputedFailures()
		return false
	}
	return c.retryOrEnd(ctx, choice, res)
}

// attemptAndEnd makes an attempt and takes the request off its server's load, also when
// the attempt panics.
func (c *call) attemptAndEnd(ctx context.Context, choice balance.Choice, job balance.Job) result {
	res := result{outcome: balance.Cancelled, cause: CauseInternal}
	defer func() {
		c.attempts.lastOutcome, c.attempts.endedAt = res.outcome, time.Now()
		c.grant.answered = res.failure != nil
		if c.pool.end(time.Now(), choice, job, res.outcome) {
			c.grant.ejected = true
			c.logEjected(choice.Server, res.cause)
		}
		c.recordDelay(choice, res.outcome)
		c.recordCrashSigns(choice.Server, res)
		c.recordEndSigns(choice.Server, res)
		c.pool.releaseBackup(c.backup)
	}()
	res = c.attempt(ctx, choice)
	return res
}

// endWithoutServer ends a request for which no server was chosen: there is none, or
// its time ended while it was held.
func (c *call) endWithoutServer(ctx context.Context) {
	switch {
	case c.r.Context().Err() != nil:
		c.recordCallerLeft()
	case ctx.Err() != nil:
		c.endUnserved(endCause(ctx))
	default:
		c.endWithoutCapacity()
	}
}

// endWithoutCapacity ends a request that no server may get now.
func (c *call) endWithoutCapacity() {
	if c.refuseEvacuated() {
		return
	}
	if c.requiredVersion() != 0 {
		c.endUnserved(CauseNoServerOfVersion)
		return
	}
	wait, cold := c.pool.withheldWait(time.Now(), c.regions)
	if wait == 0 || c.attempts.ran > 0 {
		c.endUnserved(CauseNoServer)
		return
	}
	if cold {
		c.refuseWithWait(CauseServersCold, coldRetryAfter())
		return
	}
	c.refuseWithWait(CauseServerLimits, min(max(wait, minRetryAfter), maxRetryAfter))
}

const (
	// maxHeldShare is the share of its objective for which a request is held until
	// its prefix has been read, or until a starting router knows who has it. Sent
	// earlier, it would make an engine read the prefix once more.
	maxHeldShare = 0.5
	// holdCheck is the time between two checks whether to hold a request longer.
	holdCheck = 25 * time.Millisecond
)

// pick chooses a server and counts the request there. It holds the request for a
// short time while the server reads its prefix for another request.
func (c *call) pick(ctx context.Context, job balance.Job) (choice balance.Choice, ok, newPlacement bool) {
	limit := time.Duration(maxHeldShare * float64(c.route.Objective))
	if !c.awaitBrittle(ctx, job, limit) {
		return choice, false, false
	}
	for len(job.Prefixes) > 0 && c.attempts.held < limit {
		left := limit - c.attempts.held
		if c.handler.state.placementsKnown() {
			choice, ok, newPlacement = c.pool.pick(time.Now(), job, true)
			if !ok || choice.ReadyIn == 0 {
				return choice, ok, newPlacement
			}
			left = min(left, choice.ReadyIn)
		}
		if !c.hold(ctx, min(left, holdCheck)) {
			return choice, false, false
		}
	}
	return c.pool.pick(time.Now(), job, false)
}

// hold waits for a time and reports whether the request is still to be sent. It counts the time that has passed: on a busy VM
// timers are late, and counting the time that was asked for would exceed the limits on holding.
func (c *call) hold(ctx context.Context, d time.Duration) bool {
	begun := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		c.attempts.held += time.Since(begun)
		return true
	}
}

// confirmDisputedFailures counts a failure against each server that failed a
// request which another server has served. A request that fails at every server
// is assumed to cause the failure itself.
func (c *call) confirmDisputedFailures() {
	if c.outcome != OutcomeServed {
		return
	}
	for _, s := range c.attempts.disputed {
		if c.pool.confirmFailure(time.Now(), s.Key()) {
			c.logEjected(s, CauseServerFailed)
		}
	}
}

func (c *call) logEjected(s *registry.Server, cause Cause) {
	c.handler.events.Emit(event.ServerEjected, "server", s.ID, "pool", s.Pool, "request", c.headers.ID, "cause", cause)
}

func (c *call) job() balance.Job {
	// Not requiredVersion: servers of another version may come before one is chosen.
	job := balance.Job{Version: c.version, Exclude: c.attempts.tried, DataCentre: c.handler.state.limits.DataCentre, Objective: c.route.Objective}
	job.Prefixes, job.PromptTokens = sharedPrefixes(c.headers)
	job.Unreachable = c.attempts.unreachable
	job.RunsOnce = !c.route.MayRepeat()
	job.Cost, job.Run = c.predicted, attemptID()
	job.AllowedRegions = c.regions
	return job
}

// result is the outcome of an attempt.
type result struct {
	// done is set when the caller has its answer or has disconnected.
	done    bool
	outcome balance.Outcome
	cause   Cause
	// mayHaveRun is set when the server may have run the request.
	mayHaveRun bool
	// otherAnswer is set when the answer does not belong to the request.
	otherAnswer bool
	// over is set when the run is known to be over although its answer is not whole.
	over bool
	// failure is a complete answer of the server that reports a failure.
	failure *failure
}

// retryOrEnd decides after a failed attempt whether the request goes to another
// server, and ends the request otherwise.
func (c *call) retryOrEnd(ctx context.Context, choice balance.Choice, res result) bool {
	if c.r.Context().Err() != nil {
		c.recordCallerLeft()
		return false
	}
	if res.mayHaveRun {
		c.attempts.ran++
	}
	if res.failure != nil {
		c.attempts.failure = res.failure
	}
	if res.outcome == balance.Unreachable {
		c.attempts.unreachable++
	}
	c.attempts.tried = append(c.attempts.tried, choice.Server.Key())
	if c.mayRetry(ctx, res) {
		kv := []any{
			"request", c.headers.ID, "server", choice.Server.ID, "version", choice.Server.Version,
			"cause", res.cause, "offered", c.attempts.sent, "ms", time.Since(c.arrivedAt).Milliseconds(),
			"retries_left", c.pool.retriesLeft(time.Now()),
		}
		kv = append(kv, c.fingerprintField()...)
		kv = append(kv, c.headers.partsField()...)
		c.handler.events.Emit(event.RequestRetried, append(kv, c.attempts.answeringField()...)...)
		return true
	}
	c.endUnserved(res.cause)
	return false
}

// mayRetry applies the route's bound, the deadline and the retry budget. An
// attempt that could not connect costs no budget, since nothing arrived.
func (c *call) mayRetry(ctx context.Context, res result) bool {
	a := &c.attempts
	if ctx.Err() != nil || a.unreachable >= maxUnreachable || a.sent-a.unreachable >= max(maxRefusals, c.route.MaxAttempts) {
		return false
	}
	if a.ran > 0 && (!c.route.MayRepeat() || a.ran >= c.route.MaxAttempts) {
		return false
	}
	if !c.maySendAgain(res) {
		return false
	}
	if res.outcome == balance.Refused && c.pool.brittle(c.attempts.choice.Server.Key()) {
		// Another one would be pressed in the same way; the caller comes again later.
		return false
	}
	if res.outcome == balance.Unreachable {
		c.handler.metrics.recordUnreachable(c.pool.name)
		return true
	}
	allowed := c.pool.budget.AllowRetry(time.Now())
	c.handler.metrics.recordRetry(c.pool.name, allowed)
	return allowed
}

// endUnserved ends a request that no server has served. A failure answer of a
// server takes precedence over one that the router makes itself.
func (c *call) endUnserved(cause Cause) {
	switch {
	case c.w.started():
		c.outcome, c.cause = OutcomeCut, cause
	case c.attempts.failure != nil:
		c.deliverFailure(c.attempts.failure)
	case c.attempts.ran == 0:
		c.refuse(cause)
	case cause == CauseDeadline:
		c.fail(http.StatusGatewayTimeout, cause)
	default:
		c.fail(http.StatusBadGateway, cause)
	}
}

// attempt sends the request to one server and relays the answer.
func (c *call) attempt(ctx context.Context, choice balance.Choice) result {
	ctx, cancel := c.outlastCaller(ctx)
	defer cancel(nil)
	key := choice.Server.Key()
	watch := c.watch(cancel, key)
	defer watch.stop()
	if c.backup != nil {
		defer c.pool.watchBackedUp(key, watch)()
	}
	c.attempts.sentAt, c.attempts.answeredAt = time.Now(), time.Time{}
	c.attempts.framing, c.attempts.bodyBytes, c.attempts.slowdown = framing.Unknown, 0, 0
	c.attempts.readError, c.attempts.closedBeforeAnswer = nil, false
	conns := c.pool.connectionsTo(choice.Server)
	resp, exchange, err := httpsend.Send(conns.transport(c.attempts.sentAt, c.regions...), c.outgoingRequest(ctx, choice))
	c.attempts.via = exchange.Via
	if err != nil {
		if ctx.Err() == nil && c.r.Context().Err() == nil {
			conns.recordNoAnswer(c.attempts.sentAt, exchange)
			c.attempts.closedBeforeAnswer = exchange.Fault() == httpsend.ConnectionClosed
		}
		c.attempts.readError = err
		return c.classifySendError(ctx, err, exchange.NotSent)
	}
	defer resp.Body.Close()
	c.attempts.answeredAt = time.Now()
	c.attempts.framing = endOf(resp).framing
	watch.recordProgress()
	resp.Body = watch.body(resp.Body)
	res := c.handleAnswer(ctx, choice, conns, resp, watch)
	conns.recordAnswer(c.attempts.sentAt, exchange, !res.otherAnswer)
	return res
}

// departedTime is how long an attempt goes on whose caller has left. What the server has sent by then is read, such as a refusal
// with the time for which it wants no requests. It is far below the half second in which a server must be told.
const departedTime = 5 * time.Millisecond

// outlastCaller returns the context of an attempt. It ends with ctx, but departedTime later when the caller has left and the
// whole request has been sent. Before, it ends at once, so that nothing is sent for a caller that has left. It has no timer of its
// own for the deadline: that could fire before the one of ctx, and another attempt would begin.
func (c *call) outlastCaller(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	var sent atomic.Bool
	attempt := httptrace.WithClientTrace(context.WithoutCancel(ctx), &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		sent.Store(info.Err == nil)
	}})
	attempt, cancel := context.WithCancelCause(attempt)
	stop := context.AfterFunc(ctx, func() {
		cause := context.Cause(ctx)
		if c.r.Context().Err() == nil || !sent.Load() {
			cancel(cause)
			return
		}
		time.AfterFunc(departedTime, func() { cancel(cause) })
	})
	return attempt, func(cause error) {
		stop()
		cancel(cause)
	}
}

// classifySendError classifies an exchange that ended without an answer.
func (c *call) classifySendError(ctx context.Context, err error, notSent bool) result {
	res := result{outcome: balance.Failed, cause: CauseAnswerBroken, mayHaveRun: !notSent, over: !notSent && c.runOver(ctx)}
	var op *net.OpError
	switch {
	case c.r.Context().Err() != nil:
		res.outcome, res.cause = balance.Cancelled, CauseCallerLeft
	case errors.Is(context.Cause(ctx), errSilent):
		res.cause = CauseServerSilent
	case errors.Is(context.Cause(ctx), errEngineGone):
		res.cause = CauseServerGone
	case errors.Is(context.Cause(ctx), errRouterEnds):
		res.outcome, res.cause = balance.Cancelled, CauseStopping
	case ctx.Err() != nil:
		res.cause = CauseDeadline
	case notSent && errors.As(err, &op) && op.Op == "dial":
		res.outcome, res.cause = balance.Unreachable, CauseUnreachable
	case notSent:
		// An idle connection turned out to be closed; this is no failure of the server.
		res.outcome, res.cause = balance.Cancelled, CauseUnreachable
	}
	return res
}
