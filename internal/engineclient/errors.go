package engineclient

import (
	"errors"
	"fmt"
	"time"
)

// Sentinel errors for errors.Is. Every error of the package is an *Error, which
// matches exactly one of ErrNotRun and ErrMaybeRun.
var (
	// ErrNotRun means that the engine certainly did not run the request and never will.
	ErrNotRun = errors.New("request did not run")
	// ErrMaybeRun means that the engine may have run the request, or still runs it.
	ErrMaybeRun = errors.New("request may have run")
	// ErrNotFound means that the engine does not have the attempt or the prefix.
	ErrNotFound = errors.New("attempt or prefix not found on the engine")
	// ErrOffset means that a resume asked for text that was not generated yet.
	ErrOffset = errors.New("offset is beyond the answer")
	// ErrOldFencing means that the engine refused an order for its fencing number.
	ErrOldFencing = errors.New("order has an old fencing number")
	// ErrProtocol means that the engine violated the protocol or a size limit.
	ErrProtocol = errors.New("engine violated the protocol")
	// ErrTimeout means that the engine sent nothing for longer than the timeout.
	ErrTimeout = errors.New("engine sent nothing within the timeout")
	// ErrTooLarge means that the request exceeds the size limit.
	ErrTooLarge = errors.New("request exceeds the size limit")
	// ErrEmptyBody means that the request has no body.
	ErrEmptyBody = errors.New("request has no body")
	// ErrEngine means that the engine reported a failure.
	ErrEngine = errors.New("engine reported an error")
)

// Error describes a failed call.
type Error struct {
	// Op is the call, such as "stream".
	Op string
	// NotRun is set when the request certainly did not run.
	NotRun bool
	// NotSent is set when no byte of the request left this host; it implies NotRun.
	NotSent bool
	// Status is the HTTP status of the answer, or 0.
	Status int
	// Code is the engine's error code, if it sent one.
	Code string
	// RetryAfter is the retry delay that the engine asked for, or 0.
	RetryAfter time.Duration
	Err        error
}

// Error describes the failure and whether the request ran.
func (e *Error) Error() string {
	certainty := ErrMaybeRun
	if e.NotRun {
		certainty = ErrNotRun
	}
	if e.Status != 0 {
		return fmt.Sprintf("engine %s: status %d, code %q: %v (%v)", e.Op, e.Status, e.Code, e.Err, certainty)
	}
	return fmt.Sprintf("engine %s: %v (%v)", e.Op, e.Err, certainty)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Is matches ErrNotRun or ErrMaybeRun.
func (e *Error) Is(target error) bool {
	return target == ErrNotRun && e.NotRun || target == ErrMaybeRun && !e.NotRun
}
