// Package forward sends a caller's request to a server and relays the answer.
// It handles a request from arrival to its final outcome: route and API key,
// deadline, choice of the server, retries, and streams that resume at another
// engine. A Codec maps headers to typed values, so that the package is independent
// of the names of the platform's headers.
//
// One goroutine serves a request. Handler is safe for concurrent use.
package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	// ID also covers all parts of the prompt before this one.
	ID uint64
	// Tokens is the number of tokens of this part alone.
	Tokens int
}

// CachedPart is a part that an engine has cached for a model.
type CachedPart struct {
	Model string
	Part  Part
}

// RequestHeaders holds the decoded headers of a caller's request.
type RequestHeaders struct {
	ID string
	// Key is the API key; empty when there is none.
	Key string
	// Deadline is how long the caller waits; 0 when the request does not state it.
	Deadline time.Duration
	Model    string
	// Prompt lists the parts of the prompt in order. The last belongs to this request only.
	Prompt []Part
	// PromptTokens and MaxOutputTokens are the size of the prompt and the bound of the answer that the caller
	// states, OutputHint is its estimate of the answer; each is 0 when it is not stated. The estimate is often off.
	PromptTokens    int
	MaxOutputTokens int
	OutputHint      int
	// Resumes is the ID of the request that brought the first event of the stream which the
	// caller takes up after LastEventID; both are empty for other requests.
	Resumes     string
	LastEventID string
}

// promptTokens returns the size of the prompt: the stated one, and that of its parts when none is stated.
func (h *RequestHeaders) promptTokens() int {
	if h.PromptTokens > 0 {
		return h.PromptTokens
	}
	tokens := 0
	for _, part := range h.Prompt {
		tokens += part.Tokens
	}
	return tokens
}

// takesUp reports whether the request continues a stream that the caller has the start of.
func (h *RequestHeaders) takesUp() bool { return h.LastEventID != "" || h.Resumes != "" }

// shared returns the parts that other requests may share.
func (h *RequestHeaders) shared() []Part {
	if len(h.Prompt) == 0 {
		return nil
	}
	return h.Prompt[:len(h.Prompt)-1]
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// takesUpFields returns the stream that the request takes up for a log line, and nothing for
// other requests.
func (h *RequestHeaders) takesUpFields() []any {
	if !h.takesUp() {
		return nil
	}
	return []any{"resumes", h.Resumes, "after", h.LastEventID}
}

// partsField returns the first shared parts of the prompt for a log line, and nothing when
// there are none.
func (h *RequestHeaders) partsField() []any {
	shared := h.shared()
	if len(shared) == 0 {
		return nil
	}
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, strconv.FormatUint(p.ID, 16))
	}
	return []any{"parts", strings.Join(ids, ",")}
}

// AttemptHeaders holds the values that an attempt carries in its headers.
type AttemptHeaders struct {
	// Instance is the server that must run the attempt; any other refuses it.
	Instance  string
	Workspace string
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// FetchFrom is the address of an engine to copy cached parts from; empty for none.
	FetchFrom string
	// LastEventID is the event after which a stream resumes; empty for its start.
	LastEventID string
	// Backup is the address of the engine to which the run's memory is copied as it grows; empty for none.
	Backup string
	// ResumeFrom is where the memory of the run is that the attempt continues; zero for none.
	ResumeFrom MemoryRef
}

// MemoryRef names the memory of a run.
type MemoryRef struct {
	// Addr is the address of the engine that has it.
	Addr string
	// ID is the ID of the run's request, or of a handle.
	ID string
}

// ResponseHeaders holds the decoded headers of a server's answer.
type ResponseHeaders struct {
	RequestID string
	// NotRun is set when the server states that it has not run the request.
	NotRun bool
	// Signed is set when the answer carries a server's signature.
	Signed bool
	Load   balance.Load
	// HasLoad is set when the answer states the server's load.
	HasLoad bool
	// Limit is the number of requests a second that the server takes from all routers together.
	Limit float64
	// HasLimit is set when the answer names a limit.
	HasLimit bool
	// Leaving is set when the server says that it leaves.
	Leaving bool
	// Brittle is the number of rejections in a second that the server bears; 0 when it does not say.
	Brittle float64
	// ColdLeft is how long the server is cold yet; 0 when it does not say that it is.
	ColdLeft time.Duration
	// RetryAfter is how long the server wants no request when it refuses one; 0 when it does
	// not say.
	RetryAfter time.Duration
}

// Codec translates between headers and typed values. Its methods are pure and
// safe for concurrent use.
type Codec interface {
	// RequestHeaders decodes a caller's headers.
	RequestHeaders(h http.Header) RequestHeaders
	// StripRequest removes the request headers that only the system may set.
	StripRequest(h http.Header)
	// SetAttemptHeaders encodes the values of an attempt into h.
	SetAttemptHeaders(h http.Header, a AttemptHeaders)
	// ResponseHeaders decodes the headers of a server's answer.
	ResponseHeaders(h http.Header) ResponseHeaders
	// StripResponse removes the answer headers that are meant for the router only.
	StripResponse(h http.Header)
}

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of a request.
const (
	OutcomeServed Outcome = "served"
	// OutcomeNotRun: the request has not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: the request may have run; its answer is lost.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeCut: the answer was truncated after its first byte.
	OutcomeCut Outcome = "cut"
	// OutcomeDenied: the configuration does not allow the request.
	OutcomeDenied Outcome = "denied"
	// OutcomeCallerLeft: the caller closed the connection.
	OutcomeCallerLeft Outcome = "caller_left"
)

// Cause is the reason why a request was not served.
type Cause string

// Causes of an outcome.
const (
	CauseNone       Cause = ""
	CauseNoConfig   Cause = "no_configuration"
	CauseStopping   Cause = "router_stops"
	CauseNoRoute    Cause = "no_route"
	CauseUnknownKey Cause = "unknown_key"
	CauseTooLarge   Cause = "body_too_large"
	CauseBadRequest Cause = "bad_request"
	// CauseBodyLate: the body of the request was incomplete at its deadline.
	CauseBodyLate Cause = "body_late"
	CauseNoServer Cause = "no_server"
	// CauseOverload: the servers refused the request.
	CauseOverload Cause = "overload"
	// CausePoolFull: the request would wait too long for a server.
	CausePoolFull Cause = "pool_full"
	// CauseDelayShare: requests are long at the pool's servers, and this one is not among the share that is sent.
	CauseDelayShare Cause = "delay_share"
	// CauseServerLimits: all servers that could take the request name limits that are used up, or
	// want none for a while.
	CauseServerLimits Cause = "server_limits"
	// CauseServersCold: the servers that could take the request are cold and tolerate no more, or none of this router.
	CauseServersCold Cause = "servers_cold"
	// CauseNoAllowedRegion: the route and the workspace allow no region in common, or the pool has no server in one that they
	// allow.
	CauseNoAllowedRegion Cause = "no_allowed_region"
	CauseRouterMemory    Cause = "router_memory"
	CauseDeadline        Cause = "deadline"
	CauseUnreachable     Cause = "server_unreachable"
	CauseAnswerBroken    Cause = "answer_broken"
	// CauseEndUnknown: the last part of a stream ended with its connection, and the
	// answer to the caller had begun in chunks.
	CauseEndUnknown   Cause = "answer_end_unknown"
	CauseWrongAnswer  Cause = "answer_of_another_request"
	CauseServerFailed Cause = "server_failed"
	CauseServerSilent Cause = "server_silent"
	// CauseServerGone: the server's entry has gone, or nothing listens at its address, and it sends nothing.
	CauseServerGone Cause = "server_gone"
	// CauseNoCopy: the engine that was to hold a copy of the run's memory has none.
	CauseNoCopy Cause = "no_copy"
	// CauseNoRetries: the retry budget is used up.
	CauseNoRetries  Cause = "no_retries_left"
	CauseCallerLeft Cause = "caller_left"
	// CauseCrashingPart: a part of the prompt crashes engines.
	CauseCrashingPart Cause = "prompt_part_crashes_engines"
	// CauseCrashingRequest: the request crashes servers.
	CauseCrashingRequest Cause = "request_crashes_servers"
	// CauseSuspectedRequest: several servers ended under the request, and another one of it is being tried.
	CauseSuspectedRequest Cause = "request_may_crash_servers"
	// CauseVersionUnknown: servers of several software versions could continue the stream that
	// the caller takes up, and no router knows which one began it.
	CauseVersionUnknown Cause = "version_of_stream_unknown"
	// CauseNoServerOfVersion: no server of the software version that began the stream can take it.
	CauseNoServerOfVersion Cause = "no_server_of_version"
	// CauseEvacuated: the data centres of all servers that could take the request are evacuated.
	CauseEvacuated Cause = "data_centre_evacuated"
	// CauseEvacuationsUnknown: the router was frozen or hears nobody, and may have missed an evacuation.
	CauseEvacuationsUnknown Cause = "evacuations_unknown"
	// CauseInternal: the router failed; its log line has the error.
	CauseInternal Cause = "internal_error"
)
