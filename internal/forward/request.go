// Package forward carries a caller's request to a server and the answer back.
// It owns the life of a request: route and key, deadline, choice of the
// server, retries, streams with resume, and the final outcome. The names of
// headers are a Codec's; the package works with typed values.
//
// One goroutine serves a request. Core is safe for concurrent use.
package forward

import (
	"net/http"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// CachedPart is a part that an engine keeps for a model.
type CachedPart struct {
	Model string
	Part  Part
}

// RequestHeaders is what a caller states in the headers of a request.
type RequestHeaders struct {
	ID string
	// Key is the API key; empty when there is none.
	Key string
	// Deadline is how long the caller waits; 0 when it is not stated.
	Deadline time.Duration
	Model    string
	// Prompt lists the parts of the prompt in order; the last is the request's own.
	Prompt []Part
}

// AttemptHeaders is what the router tells a server about an attempt.
type AttemptHeaders struct {
	// Instance is the server that must run the attempt; any other refuses it.
	Instance  string
	Workspace string
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// FetchFrom is the address of an engine to copy cached parts from.
	FetchFrom string
	// LastEventID resumes a stream after an event.
	LastEventID string
}

// ResponseHeaders is what a server states in the headers of an answer.
type ResponseHeaders struct {
	RequestID string
	// NotRun is set when the server states that it has not run the request.
	NotRun bool
	// Signed is set when the answer carries the server's signature.
	Signed bool
	Load   balance.Load
	// HasLoad is set when the answer states the server's load.
	HasLoad bool
}

// Codec translates between headers and typed values. Its methods are pure and
// safe for concurrent use.
type Codec interface {
	// RequestHeaders decodes a caller's headers.
	RequestHeaders(h http.Header) RequestHeaders
	// StripRequest removes the headers that only the system may set.
	StripRequest(h http.Header)
	// AttemptHeaders encodes an attempt into the headers for the server.
	AttemptHeaders(h http.Header, o AttemptHeaders)
	// ResponseHeaders decodes the headers of a server's answer.
	ResponseHeaders(h http.Header) ResponseHeaders
	// StripResponse removes from an answer what concerns only the router.
	StripResponse(h http.Header)
}

// Outcome is how a request ended for the caller.
type Outcome string

// Outcomes of a request.
const (
	OutcomeServed Outcome = "served"
	// OutcomeNotRun: the request has not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: the request may have run; its answer is lost.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeCut: the answer broke off after its first byte.
	OutcomeCut Outcome = "cut"
	// OutcomeDenied: the configuration does not allow the request.
	OutcomeDenied Outcome = "denied"
	// OutcomeLeft: the caller closed the connection.
	OutcomeCallerLeft Outcome = "caller_left"
)

// Cause tells why a request was not served.
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
	CauseNoServer   Cause = "no_server"
	// CauseOverload: the servers refused the request.
	CauseOverload Cause = "overload"
	// CausePoolFull: the request would wait too long for a server.
	CausePoolFull     Cause = "pool_full"
	CauseRouterMemory Cause = "router_memory"
	CauseDeadline     Cause = "deadline"
	CauseUnreachable  Cause = "server_unreachable"
	CauseAnswerBroken Cause = "answer_broken"
	CauseWrongAnswer  Cause = "answer_of_another_request"
	CauseServerFailed Cause = "server_failed"
	CauseServerSilent Cause = "server_silent"
	CauseCallerLeft   Cause = "caller_left"
)
