// Package dispatch runs a caller's request on the entry router: it finds the
// owner of the pool, relays attempts to it, resumes a broken answer and retries
// a repeatable request. It never joins parts of two generated answers.
package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// Codes of terminal frames that the entry router acts on.
const (
	CodeNotOwner           = "not_owner"
	CodeHandedBack         = "handed_back"
	CodeEngineFailed       = "engine_failed"
	CodeAttemptNotFound    = "attempt_not_found"
	CodeNoOwner            = "no_owner"
	CodeAnswerCut          = "answer_cut"
	CodeCallerDisconnected = "caller_gone"
	CodeDeadline           = "deadline"
)

// ErrNotSent is wrapped by errors of Opener.Open when no byte of the request
// can have reached the owner.
var ErrNotSent = errors.New("request was not sent to the owner")

// Target is the owner of a pool.
type Target struct {
	VM   string
	Addr string
}

// FrameStream delivers the frames of one relayed attempt. It is used by one
// goroutine; Close may be called from another.
type FrameStream interface {
	// Next returns the next frame. The frame is valid until the next call.
	Next() (*peerpb.Frame, error)
	// Cancel asks the owner to cancel the attempt at the engine.
	Cancel()
	// Close releases the stream. It does not cancel the attempt.
	Close()
}

// Opener finds the owners of pools and opens streams to them. Implementations
// are safe for concurrent use.
type Opener interface {
	// Owner returns the current owner of a pool.
	Owner(pool string) (Target, bool)
	// Open sends a request to an owner.
	Open(ctx context.Context, to Target, req *peerpb.Relay) (FrameStream, error)
}

// Sink receives the frames of the answer in order. An error means that the caller
// has disconnected.
type Sink interface {
	Frame(f *peerpb.Frame) error
}

// Result describes how a request ended.
type Result struct {
	Outcome peerpb.Outcome
	Code    string
	Detail  string
	// RetryAfter is the time after which the caller should retry; 0 means no hint.
	RetryAfter time.Duration
	// Delivered is the number of characters that the sink received.
	Delivered uint64
	// Status is the backend's HTTP status of a plain service.
	Status uint32
}

// Config holds the limits of a dispatcher.
type Config struct {
	// OwnerTimeout is the longest wait for a usable owner of the pool. It covers
	// the takeover after the failure of an owner's VM.
	OwnerTimeout time.Duration
	// ResumeTimeout is the longest time spent on resuming a broken answer.
	ResumeTimeout time.Duration
	// MaxRetries is the number of attempts after the first one.
	MaxRetries int
	// Backoff is the pause between attempts to reach an owner.
	Backoff time.Duration
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		OwnerTimeout:  10 * time.Second,
		ResumeTimeout: 15 * time.Second,
		MaxRetries:    2,
		Backoff:       50 * time.Millisecond,
	}
}
