package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/httpsend"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// errSilent ends an attempt at a server that has gone silent.
var errSilent = errors.New("server is silent")

const (
	// refusalTries bounds the servers that a request is offered to when each
	// states that it did not run it.
	refusalTries = 3
	// unreachableTries bounds the servers that can't be reached. Such a try costs
	// a few milliseconds and reaches nobody; after a failure of many servers the
	// first choices may all be down.
	unreachableTries = 8
)

// attempts counts what was done with a request.
type attempts struct {
	// offered counts the sends, refused ones included; unreached those of them
	// that found no server.
	offered   int
	unreached int
	// ran counts the servers that may have run the request.
	ran    int
	tried  []registry.Key
	job    balance.Job
	choice balance.Choice
	last   balance.Outcome
	// disputed lists the servers whose failure may be the request's own.
	disputed []*registry.Server
	// failure is the last complete answer that stated a failure.
	failure *failure
}

func (a *attempts) fields() []any {
	if a.offered == 0 {
		return nil
	}
	c := a.choice
	kv := []any{
		"server", c.Server.ID, "pool", c.Server.Pool, "reason", c.Reason, "load", c.Load, "mean", c.Mean,
		"offered", a.offered, "last", a.last.String(),
	}
	if c.ReportAge >= 0 {
		kv = append(kv, "report_age_ms", c.ReportAge.Milliseconds())
	}
	if a.job.PrefixHash != 0 {
		kv = append(kv, "subject", strconv.FormatUint(a.job.PrefixHash, 16), "shared_tokens", a.job.SharedTokens)
	}
	if c.Source != nil {
		kv = append(kv, "fetch_from", c.Source.ID)
	}
	return kv
}

// step makes one attempt. It returns true when another one must follow.
func (k *call) step(ctx context.Context) bool {
	now := time.Now()
	job := k.job()
	choice, ok, isNews := k.pool.pick(now, job)
	if isNews {
		k.core.world.placed()
	}
	if !ok {
		k.giveUp(CauseNoServer)
		return false
	}
	k.attempts.choice = choice
	k.attempts.job = job
	k.attempts.offered++
	res := k.attempt(ctx, choice)
	k.attempts.last = res.outcome
	if k.pool.end(time.Now(), choice.Server.Key(), res.outcome) {
		k.logEjected(choice.Server, res.cause)
	}
	if res.outcome == balance.Disputed {
		k.attempts.disputed = append(k.attempts.disputed, choice.Server)
	}
	if res.done {
		k.settleDispute()
		return false
	}
	return k.again(ctx, choice, res)
}

// settleDispute blames the servers that failed a request which another one has
// served. A request that fails everywhere is itself at fault.
func (k *call) settleDispute() {
	if k.outcome != OutcomeServed {
		return
	}
	for _, s := range k.attempts.disputed {
		if k.pool.blame(time.Now(), s.Key()) {
			k.logEjected(s, CauseServerFailed)
		}
	}
}

func (k *call) logEjected(s *registry.Server, cause Cause) {
	k.core.events.Emit(event.ServerEjected, "server", s.ID, "pool", s.Pool, "request", k.head.ID, "cause", cause)
}

func (k *call) job() balance.Job {
	job := balance.Job{Exclude: k.attempts.tried, DataCentre: k.core.world.limits.DataCentre}
	job.PrefixHash, job.SharedTokens = subject(k.head)
	return job
}

// result is what became of an attempt.
type result struct {
	// done is set when the caller has its answer, or is gone.
	done    bool
	outcome balance.Outcome
	cause   Cause
	// ran is set when the server may have run the request.
	ran bool
	// failure is a complete answer of the server that states a failure.
	failure *failure
}

// failure is an answer with a failure, kept in case no other server does better.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// again decides whether the request goes to another server after a failed
// attempt, and ends the request otherwise.
func (k *call) again(ctx context.Context, choice balance.Choice, res result) bool {
	if k.r.Context().Err() != nil {
		k.left()
		return false
	}
	if res.ran {
		k.attempts.ran++
	}
	if res.failure != nil {
		k.attempts.failure = res.failure
	}
	if res.outcome == balance.Unreachable {
		k.attempts.unreached++
	}
	k.attempts.tried = append(k.attempts.tried, choice.Server.Key())
	if k.mayRepeat(ctx, res) {
		k.core.events.Emit(event.RequestRetried, "request", k.head.ID, "server", choice.Server.ID,
			"cause", res.cause, "offered", k.attempts.offered, "ms", time.Since(k.arrived).Milliseconds())
		k.core.metrics.retried()
		return true
	}
	k.giveUp(res.cause)
	return false
}

// mayRepeat applies the route's bound, the deadline and the retry budget. A
// connection that was never opened costs no budget, since nothing arrived.
func (k *call) mayRepeat(ctx context.Context, res result) bool {
	a := &k.attempts
	if ctx.Err() != nil || a.unreached >= unreachableTries || a.offered-a.unreached >= max(refusalTries, k.route.MaxAttempts) {
		return false
	}
	if a.ran > 0 && (!k.route.MayRepeat() || a.ran >= k.route.MaxAttempts) {
		return false
	}
	if res.outcome == balance.Unreachable {
		return true
	}
	return k.pool.budget.AllowRetry(time.Now())
}

// giveUp ends a request that no server has served. A server's own failure goes
// before an answer of the router's making.
func (k *call) giveUp(cause Cause) {
	switch {
	case k.headerOut:
		k.outcome, k.cause = OutcomeCut, cause
	case k.attempts.failure != nil:
		k.deliverFailure(k.attempts.failure)
	case k.attempts.ran == 0:
		k.refuse(cause)
	case cause == CauseExpired:
		k.fail(http.StatusGatewayTimeout, cause)
	default:
		k.fail(http.StatusBadGateway, cause)
	}
}

// attempt sends the request to one server and carries the answer back.
func (k *call) attempt(ctx context.Context, choice balance.Choice) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	key := choice.Server.Key()
	watch := k.watch(cancel, key)
	defer watch.stop()
	resp, x, err := httpsend.Send(k.pool.transport(key), k.request(ctx, choice))
	if err != nil {
		return k.sendFailed(ctx, err, x.NotSent)
	}
	defer resp.Body.Close()
	watch.progress()
	return k.takeAnswer(ctx, choice, resp, watch)
}

// sendFailed classifies an exchange that brought no answer.
func (k *call) sendFailed(ctx context.Context, err error, notSent bool) result {
	res := result{outcome: balance.Failed, cause: CauseBroken, ran: !notSent}
	var op *net.OpError
	switch {
	case k.r.Context().Err() != nil:
		res.outcome, res.cause = balance.Cancelled, CauseLeft
	case errors.Is(context.Cause(ctx), errSilent):
		res.cause = CauseSilent
	case ctx.Err() != nil:
		res.cause = CauseExpired
	case notSent && errors.As(err, &op) && op.Op == "dial":
		res.outcome, res.cause = balance.Unreachable, CauseUnreachable
	case notSent:
		// A kept connection was found closed; the server is not to blame.
		res.outcome, res.cause = balance.Cancelled, CauseUnreachable
	}
	return res
}

// takeAnswer judges the headers of an answer and carries it back.
func (k *call) takeAnswer(ctx context.Context, choice balance.Choice, resp *http.Response, watch *watch) result {
	reply := k.core.codec.Reply(resp.Header)
	if reply.RequestID != k.head.ID && !(reply.NotRun && reply.RequestID == "") {
		return result{outcome: balance.Failed, cause: CauseWrongAnswer, ran: true}
	}
	if reply.HasLoad {
		k.pool.report(time.Now(), choice.Server.Key(), reply.Load)
	}
	if reply.NotRun || resp.StatusCode == http.StatusMisdirectedRequest {
		drain(resp)
		return result{outcome: balance.Refused, cause: CauseOverload}
	}
	if resp.StatusCode >= http.StatusInternalServerError || promises(resp.StatusCode) {
		return k.takeFailure(resp)
	}
	success := resp.StatusCode < http.StatusMultipleChoices
	if success && (!reply.Sealed || resp.Header.Get("Content-Encoding") != "") {
		return result{outcome: balance.Failed, cause: CauseBroken, ran: true}
	}
	if k.route.Kind == routing.Stream {
		return k.relayStream(ctx, resp, watch)
	}
	return k.relayWhole(ctx, resp, watch)
}

// promises reports whether a status tells callers that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}

// failureBytes bounds the body of a failure that is kept.
const failureBytes = 16 << 10

// takeFailure keeps the failure of a server that ran the request. A status
// that would promise the opposite is not kept.
func (k *call) takeFailure(resp *http.Response) result {
	res := result{outcome: balance.Failed, cause: CauseServerFailed, ran: true}
	if k.route.MayRepeat() {
		res.outcome = balance.Disputed
	}
	if resp.StatusCode == http.StatusServiceUnavailable || promises(resp.StatusCode) {
		return res
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, failureBytes+1))
	if err != nil || len(body) > failureBytes {
		return res
	}
	res.failure = &failure{status: resp.StatusCode, header: resp.Header, body: body}
	return res
}

// deliverFailure passes the server's failure on as it was.
func (k *call) deliverFailure(f *failure) {
	k.outcome, k.cause = OutcomeUnknown, CauseServerFailed
	k.writeHead(f.status, f.header, int64(len(f.body)))
	// A write error means that the caller is gone.
	_, _ = k.w.Write(f.body)
}

// drain reads the rest of a small answer, so that its connection can be used again.
func drain(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, failureBytes)
}
