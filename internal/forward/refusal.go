package forward

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// startingRetryAfter is how long a starting router takes to read the configuration.
	startingRetryAfter = 500 * time.Millisecond
	// minRetryAfter and retryMost bound the wait that a refused caller is asked for.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// retryJitter spreads the callers that are refused together.
	retryJitter = 0.5
)

// retryAfter is when a refused caller should come back, where no load tells. A
// full server frees a place within about one objective; a caller that waits
// longer misses it anyway.
func retryAfter(cause Cause, objective time.Duration) time.Duration {
	wait := min(max(objective/2, minRetryAfter), maxRetryAfter)
	switch cause {
	case CauseNoConfig:
		wait = startingRetryAfter
	case CauseStopping:
		// Any other router takes the request at once.
		wait = minRetryAfter
	}
	return wait
}

// problem is the body of an answer that the router makes itself.
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

// refuseWithWait refuses a request and asks the caller to come back after a wait.
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

// recordCallerLeft notes that the caller is gone; nobody reads an answer.
func (c *call) recordCallerLeft() {
	c.outcome, c.cause = OutcomeCallerLeft, CauseCallerLeft
}

func (c *call) writeProblem(status int, o Outcome, cause Cause) {
	c.outcome, c.cause, c.status = o, cause, status
	body, err := json.Marshal(problem{Outcome: o, Code: cause})
	if err != nil {
		body = nil
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.headerSent = true
	c.w.WriteHeader(status)
	// A write error means that the caller is gone.
	_, _ = c.w.Write(body)
}
