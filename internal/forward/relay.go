package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
)

// bufferedAnswerBytes is the size up to which an answer is buffered until it is
// complete, so that another attempt can replace a broken one.
const bufferedAnswerBytes = 128 << 10

// readBuffered reads an answer up to bufferedAnswerBytes and reports whether that is
// the whole of it.
func (c *call) readBuffered(resp *http.Response) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(resp.Body, bufferedAnswerBytes+1))
	c.attempts.bodyBytes = int64(len(body))
	return body, len(body) <= bufferedAnswerBytes, err
}

// relayPlain relays an answer that is not a stream.
func (c *call) relayPlain(ctx context.Context, resp *http.Response, watch *watch) result {
	body, whole, err := c.readBuffered(resp)
	if err != nil {
		return c.classifyBroken(ctx, CauseAnswerBroken)
	}
	c.firstByte = time.Since(c.arrivedAt)
	end := endOf(resp)
	if whole {
		end = end.ofBuffered(body)
	}
	return c.relayBody(ctx, resp, body, end, watch)
}

// relayBody relays an answer of which body has been received.
func (c *call) relayBody(ctx context.Context, resp *http.Response, body []byte, end bodyEnd, watch *watch) result {
	watch.committed.Store(true)
	c.sendHeaders(resp.StatusCode, resp.Header, end)
	if _, err := c.w.Write(body); err != nil {
		return c.callerLeftResult()
	}
	n, err := c.w.ReadFrom(resp.Body)
	c.attempts.bodyBytes += n
	if err != nil {
		return c.classifyBroken(ctx, CauseAnswerBroken)
	}
	return c.servedResult()
}

// classifyBroken classifies an answer that ended early or whose end is unknown. When
// the caller has the start of it and no engine can continue, the outcome is
// OutcomeCut, which breaks the caller's answer off so that it does not look complete.
func (c *call) classifyBroken(ctx context.Context, cause Cause) result {
	res := result{outcome: balance.Failed, cause: cause, mayHaveRun: true, over: cause == CauseAnswerBroken && c.runOver(ctx)}
	switch {
	case c.r.Context().Err() != nil:
		return c.callerLeftResult()
	case errors.Is(context.Cause(ctx), errSilent):
		res.cause = CauseServerSilent
	case errors.Is(context.Cause(ctx), errEngineGone):
		res.cause = CauseServerGone
	case ctx.Err() != nil:
		res.cause = endCause(ctx)
		// The time of the request has ended; the server may be healthy.
		res.outcome = balance.Cancelled
	}
	if c.w.started() && !c.canResume() {
		c.outcome, c.cause = OutcomeCut, res.cause
		res.done = true
	}
	return res
}

func (c *call) callerLeftResult() result {
	c.recordCallerLeft()
	return result{done: true, outcome: balance.Cancelled, cause: CauseCallerLeft, mayHaveRun: true}
}

func (c *call) servedResult() result {
	c.outcome = OutcomeServed
	c.markWhole()
	return result{done: true, outcome: balance.Served, mayHaveRun: true}
}

// statusLabel returns the class of a status, such as 2xx, for metrics.
func statusLabel(status int) string {
	if status == 0 {
		return "none"
	}
	return strconv.Itoa(status/100) + "xx"
}
