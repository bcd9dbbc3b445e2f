package cli

import (
	"errors"
	"fmt"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// Exit codes of the command line. They are stable and meant for scripts.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	// ExitInvalid means that a file or a record has findings.
	ExitInvalid = 3
	// ExitConflict means that another record was accepted first.
	ExitConflict = 4
	// ExitUnreadable means that a router cannot read the record's schema version.
	ExitUnreadable = 5
	// ExitUnconfirmed means that not every router confirmed in time.
	ExitUnconfirmed = 6
	// ExitBroken means that a run broke a guarantee or missed a target.
	ExitBroken = 7
)

var exitTexts = map[int]string{
	ExitOK:          "success",
	ExitFailure:     "failure",
	ExitUsage:       "wrong use of the command line",
	ExitInvalid:     "a file or a record is invalid; the findings say where",
	ExitConflict:    "another record was accepted first",
	ExitUnreadable:  "a router cannot read the schema version",
	ExitUnconfirmed: "not confirmed in time",
	ExitBroken:      "a guarantee was broken",
}

// ExitError is an error with its own exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// WithCode gives an error an exit code. A nil error stays nil.
func WithCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: code, Err: err}
}

// UsageErrorf returns an error for incorrect use of the command line.
func UsageErrorf(format string, args ...any) error {
	return WithCode(ExitUsage, fmt.Errorf(format, args...))
}

// ExitCode returns the exit code of an error. Findings give ExitInvalid unless
// an ExitError sets another code.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	var invalid *findings.Error
	if errors.As(err, &invalid) {
		return ExitInvalid
	}
	return ExitFailure
}
