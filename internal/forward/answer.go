package forward

import (
	"io"
	"net/http"
	"sync/atomic"
)

// callerAnswer is the answer to the caller. net/http sends a 200 of its own when an answer
// is written or flushed before it has a status; callerAnswer panics instead, which closes
// the connection and is logged. One goroutine owns it.
type callerAnswer struct {
	http.ResponseWriter
	// status is the status that was sent; 0 before.
	status int
	// begun is set before the status is sent. Other goroutines may read it.
	begun atomic.Bool
	// whole is set once all of the answer has been written. net/http ends any answer whose
	// handler returns as a complete one, so only a whole answer may be left to it.
	whole bool
}

// started reports whether the caller has the status and the headers.
func (a *callerAnswer) started() bool { return a.status != 0 }

// WriteHeader sends the status and the headers. A second one panics: what follows it
// would be joined to the answer that the caller has the start of.
func (a *callerAnswer) WriteHeader(status int) {
	if a.started() {
		panic("forward: an answer has a second status")
	}
	a.begun.Store(true)
	a.ResponseWriter.WriteHeader(status)
	a.status = status
}

func (a *callerAnswer) Write(p []byte) (int, error) {
	a.mustBeStarted()
	return a.ResponseWriter.Write(p)
}

// ReadFrom writes all of r.
func (a *callerAnswer) ReadFrom(r io.Reader) (int64, error) {
	a.mustBeStarted()
	return io.Copy(a.ResponseWriter, r)
}

// FlushError sends what has been written.
func (a *callerAnswer) FlushError() error {
	a.mustBeStarted()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (a *callerAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *callerAnswer) mustBeStarted() {
	if !a.started() {
		panic("forward: an answer is written before its status")
	}
}
