// Package logstream is the client side of the platform's append-only log
// service. Streams are independent; records in a stream carry offsets.
package logstream

import (
	"context"
	"errors"
	"time"
)

// Record is one record of a stream.
type Record struct {
	Offset uint64
	// Time is the append time on the log service's clock.
	Time time.Time
	Data []byte
}

// Page is the result of a read.
type Page struct {
	// Floor is the lowest offset that the log still keeps.
	Floor uint64
	// Head is the offset that the next record will get.
	Head    uint64
	Records []Record
}

// Errors that callers check with errors.Is.
var (
	// ErrUnavailable means that the log did not answer. An append may have taken
	// effect, or may still take effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrRateLimited means that the append was refused and has no effect.
	ErrRateLimited = errors.New("log service rate limit reached")
	// ErrRefused means that the log does not accept the request, for example because
	// of its size. The request has no effect.
	ErrRefused = errors.New("log service refused the request")
	// ErrBelowFloor means that the log no longer keeps the requested offset.
	ErrBelowFloor = errors.New("log offset is below the retention floor")
)

// Log is the log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds records at consecutive offsets and returns the first one. One
	// call counts as one append towards the log's rate limit.
	Append(ctx context.Context, stream string, data [][]byte) (first uint64, err error)
	// Read returns up to max records from offset on. If there is none yet, it waits
	// for the first for at most wait. With ErrBelowFloor the page contains the floor
	// and the head. An offset above the head returns an empty page.
	Read(ctx context.Context, stream string, offset uint64, max int, wait time.Duration) (Page, error)
}
