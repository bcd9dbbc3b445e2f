package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/telemetry"
)

// Outcomes reported to callers.
const (
	OutcomeDone       = "done"
	OutcomeNotRun     = "not_run"
	OutcomeUnknown    = "unknown"
	OutcomeIncomplete = "incomplete"
)

// Problem is the body of an error answer (application/problem+json).
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	// RetryAfterMs is the delay before a retry, in milliseconds.
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// Delivered is the number of characters of the answer already sent.
	Delivered uint64 `json:"delivered,omitempty"`
	TraceID   string `json:"trace_id,omitempty"`
}

const (
	notReadyRetryAfter = 2 * time.Second
	busyRetryAfter     = 500 * time.Millisecond
	maxJitterFraction  = 0.5
)

// statusByCode maps problem codes to HTTP statuses; the status for other codes
// depends on the outcome.
var statusByCode = map[string]int{
	"queue_full":              http.StatusTooManyRequests,
	"workspace_queue_full":    http.StatusTooManyRequests,
	"too_many_callers":        http.StatusTooManyRequests,
	"retry_budget":            http.StatusServiceUnavailable,
	dispatch.CodeDeadline:     http.StatusGatewayTimeout,
	"invalid_request":         http.StatusBadRequest,
	"unknown_model":           http.StatusNotFound,
	"unknown_pool":            http.StatusNotFound,
	"unknown_workspace":       http.StatusForbidden,
	"unauthorized":            http.StatusUnauthorized,
	"not_found":               http.StatusNotFound,
	"method_not_allowed":      http.StatusMethodNotAllowed,
	"body_too_large":          http.StatusRequestEntityTooLarge,
	"key_expired":             http.StatusConflict,
	"key_in_progress":         http.StatusConflict,
	"key_reused":              http.StatusUnprocessableEntity,
	"key_missing":             http.StatusBadRequest,
	"answer_no_longer_stored": http.StatusGone,
}

func notReadyProblem(reason string) Problem {
	return newRetryProblem("not_ready", "this router takes no new requests: "+reason, notReadyRetryAfter)
}

func tooManyCallersProblem() Problem {
	return newRetryProblem("too_many_callers", "this router serves its maximum number of requests", busyRetryAfter)
}

// newProblem returns a problem with the outcome not_run.
func newProblem(code, detail string) Problem {
	return Problem{Code: code, Detail: detail, Outcome: OutcomeNotRun}
}

// newRetryProblem returns a problem with the outcome not_run and a retry delay.
func newRetryProblem(code, detail string, retryAfter time.Duration) Problem {
	return Problem{Code: code, Detail: detail, Outcome: OutcomeNotRun, RetryAfterMs: withJitter(retryAfter).Milliseconds()}
}

// notStoredProblem is the problem of a request that was run and whose answer cannot be
// repeated.
func notStoredProblem(detail string) Problem {
	return Problem{Code: "answer_no_longer_stored", Detail: detail, Outcome: OutcomeDone}
}

// withJitter lengthens a retry delay by up to half, so that refused callers do
// not retry at the same time.
func withJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*maxJitterFraction*float64(d))
}

func outcomeName(o peerpb.Outcome) string {
	switch o {
	case peerpb.Outcome_OUTCOME_DONE:
		return OutcomeDone
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return OutcomeNotRun
	case peerpb.Outcome_OUTCOME_INCOMPLETE:
		return OutcomeIncomplete
	default:
		return OutcomeUnknown
	}
}

// problemFromResult turns a failed result into a problem.
func problemFromResult(res dispatch.Result, requestID string) Problem {
	return Problem{
		Code:         res.Code,
		Detail:       res.Detail,
		Outcome:      outcomeName(res.Outcome),
		RetryAfterMs: res.RetryAfter.Milliseconds(),
		RequestID:    requestID,
		Delivered:    res.Delivered,
	}
}

// complete sets the fields that follow from the code, the outcome and ctx.
func (p *Problem) complete(ctx context.Context) {
	p.Type = "about:blank"
	p.Status = statusByCode[p.Code]
	if p.Status == 0 {
		p.Status = statusForOutcome(p.Outcome)
	}
	p.Title = http.StatusText(p.Status)
	p.TraceID = telemetry.TraceID(ctx)
}

func statusForOutcome(outcome string) int {
	if outcome == OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeProblem writes an error answer.
func (a *API) writeProblem(w http.ResponseWriter, ctx context.Context, p Problem) error {
	p.complete(ctx)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, p.Outcome)
	if p.RequestID != "" {
		h.Set(HeaderRequestID, p.RequestID)
	}
	if p.RetryAfterMs > 0 {
		h.Set("Retry-After", retryAfterSeconds(p.RetryAfterMs))
	}
	w.WriteHeader(p.Status)
	return json.NewEncoder(w).Encode(p)
}

// retryAfterSeconds rounds up to the whole seconds of the Retry-After header.
func retryAfterSeconds(ms int64) string {
	return strconv.FormatInt((ms+999)/1000, 10)
}
