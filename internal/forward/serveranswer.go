package forward

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/framing"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// handleAnswer checks the headers of an answer and relays it.
func (c *call) handleAnswer(ctx context.Context, choice balance.Choice, conns *connections, resp *http.Response, watch *watch) result {
	if !framing.IsFinal(resp.StatusCode) {
		return result{outcome: balance.Failed, cause: CauseAnswerBroken, mayHaveRun: true}
	}
	if isJoined(resp) {
		return result{outcome: balance.Failed, cause: CauseAnswerBroken, mayHaveRun: true, otherAnswer: true}
	}
	if idle, ok := announcedIdleTime(resp.Header); ok {
		conns.recordIdleTime(idle)
	}
	// Only what the caller would get counts, so the headers of the connection go first.
	resp.Header = forwardableHeaders(resp.Header)
	answer := c.handler.codec.ResponseHeaders(resp.Header)
	if answer.RequestID != c.headers.ID {
		// Servers name the request in each answer, also in a refusal. An answer without a
		// name may be a late one of another request on the same connection.
		return result{outcome: balance.Failed, cause: CauseWrongAnswer, mayHaveRun: true, otherAnswer: true}
	}
	if answer.HasLoad {
		c.grant.load = answer.Load.Running + answer.Load.Waiting
		c.pool.recordLoad(time.Now(), choice.Server.Key(), answer.Load)
		c.attempts.slowdown = answer.Load.Slowdown
	}
	c.recordLimit(choice.Server, answer, resp.StatusCode < http.StatusMultipleChoices)
	c.recordStatements(choice.Server, resp.StatusCode, answer)
	c.recordBrittle(choice.Server, answer.Brittle)
	if c.takeover.active() && resp.StatusCode == http.StatusServiceUnavailable {
		drain(resp, watch)
		return result{outcome: balance.Cancelled, cause: CauseNoCopy}
	}
	c.recordCold(choice.Server, answer.ColdLeft)
	if answer.NotRun || resp.StatusCode == http.StatusMisdirectedRequest {
		drain(resp, watch)
		return result{outcome: balance.Refused, cause: CauseOverload}
	}
	if resp.StatusCode >= http.StatusInternalServerError || impliesNotRun(resp.StatusCode) {
		return c.keepFailure(ctx, resp, watch)
	}
	if c.r.Context().Err() != nil {
		return c.callerLeftResult()
	}
	success := resp.StatusCode < http.StatusMultipleChoices
	if success && (!answer.Signed || resp.Header.Get("Content-Encoding") != "") {
		return result{outcome: balance.Failed, cause: CauseAnswerBroken, mayHaveRun: true}
	}
	if c.w.started() && resp.StatusCode != c.w.status {
		// The caller has the start of a stream, which only the same success continues.
		return result{outcome: balance.Failed, cause: CauseServerFailed, mayHaveRun: true}
	}
	if success && !c.takeover.active() {
		c.pool.recordFirstByte(choice, c.attempts.job, time.Since(c.attempts.sentAt))
	}
	if c.route.Kind == routing.Stream && success {
		return c.relayStream(ctx, resp, watch)
	}
	return c.relayPlain(ctx, resp, watch)
}

// statusLine matches the status line of an answer inside a line of another one.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// isJoined reports whether an answer begins with the torn start of another one. A faulty
// server may send such bytes before its answer, whose status line then ends a line of the
// torn headers. The status and a statement that the request has not run may be of the
// torn answer, and the id of the whole one.
func isJoined(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// impliesNotRun reports whether callers take a status to mean that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}

// failure is an answer that reports a failure, kept in case no other server succeeds.
type failure struct {
	status int
	header http.Header
	body   []byte
	end    bodyEnd
}

// keepFailure keeps the failure answer of a server that ran the request, unless
// its status implies that the request has not run. One that is too large to be kept
// is relayed at once when no other server may get the request.
func (c *call) keepFailure(ctx context.Context, resp *http.Response, watch *watch) result {
	res := result{outcome: balance.Failed, cause: CauseServerFailed, mayHaveRun: true}
	if c.route.MayRepeat() {
		res.outcome = balance.Disputed
	}
	if resp.StatusCode == http.StatusServiceUnavailable || impliesNotRun(resp.StatusCode) {
		return res
	}
	stop := watch.limitRest(maxFailureTime)
	body, whole, err := c.readBuffered(resp)
	stop()
	if err != nil {
		return res
	}
	if !whole && (c.w.started() || c.route.MayRepeat() && c.attempts.ran+1 < c.route.MaxAttempts) {
		return res
	}
	if !whole {
		return c.relayLargeFailure(ctx, resp, body, res, watch)
	}
	res.failure = &failure{status: resp.StatusCode, header: resp.Header, body: body, end: endOf(resp).ofBuffered(body)}
	return res
}

// relayLargeFailure relays a failure answer of which body is the start. The result is
// res unless the answer breaks off.
func (c *call) relayLargeFailure(ctx context.Context, resp *http.Response, body []byte, res result, watch *watch) result {
	relayed := c.relayBody(ctx, resp, body, endOf(resp), watch)
	if relayed.outcome != balance.Served {
		return relayed
	}
	c.outcome, c.cause = OutcomeUnknown, CauseServerFailed
	res.done = true
	return res
}

// deliverFailure sends the server's failure answer to the caller unchanged.
func (c *call) deliverFailure(f *failure) {
	c.outcome, c.cause = OutcomeUnknown, CauseServerFailed
	c.sendHeaders(f.status, f.header, f.end)
	// A write error means that the caller has disconnected.
	_, _ = c.w.Write(f.body)
	c.markWhole()
}

const (
	// maxDrainBytes and maxDrainTime bound the rest of an answer that is read for the sake
	// of its connection.
	maxDrainBytes = 16 << 10
	maxDrainTime  = 20 * time.Millisecond
	// maxFailureTime bounds the reading of a failure that is kept in case no other server
	// succeeds. Its body is small and comes with its headers.
	maxFailureTime = 500 * time.Millisecond
)

// drain reads the rest of a small answer, so that its connection can be reused.
func drain(resp *http.Response, watch *watch) {
	defer watch.limitRest(maxDrainTime)()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
}
