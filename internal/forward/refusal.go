package forward

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// startingRetryAfter is the time in which a starting router reads the configuration.
	startingRetryAfter = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the wait that a refused caller is asked for.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// retryJitter is the longest random extension of a wait, as a share of it, so
	// that callers refused together do not retry together.
	retryJitter = 0.5
)

// retryAfter returns how long a refused caller should wait before a retry when
// there is no load to derive it from. A full server frees a slot within about one
// latency objective; a caller that waits longer has missed its objective anyway.
func retryAfter(cause Cause, objective time.Duration) time.Duration {
	wait := min(max(objective/2, minRetryAfter), maxRetryAfter)
	switch cause {
	case CauseNoConfig:
		wait = startingRetryAfter
	case CauseStopping:
		// Any other router can accept the request at once.
		wait = minRetryAfter
	case CauseEvacuated:
		wait = evacuatedRetryAfter
	}
	return wait
}

// problem is the JSON body of an answer that the router makes itself.
type problem struct {
	Outcome Outcome `json:"outcome"`
	Code    Cause   `json:"code"`
}

// refuse answers that the request has not run and never will.
func (c *call) refuse(cause Cause) {
	var objective time.Duration
	if c.route != nil {
		objective = c.route.Objective
	}
	c.refuseWithWait(cause, retryAfter(cause, objective))
}

// refuseWithWait refuses a request and asks the caller to retry after a wait.
func (c *call) refuseWithWait(cause Cause, wait time.Duration) {
	wait += time.Duration(retryJitter * rand.Float64() * float64(wait))
	c.w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
	c.writeProblem(http.StatusServiceUnavailable, OutcomeNotRun, cause)
}

// deny answers that the configuration does not allow the request.
func (c *call) deny(status int, cause Cause) {
	c.writeProblem(status, OutcomeDenied, cause)
}

// fail answers that the outcome of the request is unknown.
func (c *call) fail(status int, cause Cause) {
	c.writeProblem(status, OutcomeUnknown, cause)
}

// recordCallerLeft records that the caller has disconnected and reads no answer.
func (c *call) recordCallerLeft() {
	c.outcome, c.cause = OutcomeCallerLeft, CauseCallerLeft
}

func (c *call) writeProblem(status int, o Outcome, cause Cause) {
	c.outcome, c.cause = o, cause
	body, err := json.Marshal(problem{Outcome: o, Code: cause})
	if err != nil {
		body = nil
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if !c.discardBody() {
		c.unread = true
		h.Set("Connection", "close")
	}
	// The answer is small: a write that waits has a caller that does not read.
	_ = http.NewResponseController(&c.w).SetWriteDeadline(time.Now().Add(closeWait))
	c.w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = c.w.Write(body)
	c.markWhole()
}
