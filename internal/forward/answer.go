package forward

import (
	"io"
	"net/http"
)

// impliedStatus is the status that net/http sends when a request is written to, flushed
// or ended before it has one.
const impliedStatus = http.StatusOK

// callerAnswer is the answer to the caller. It records the status that was sent. One
// goroutine owns it.
type callerAnswer struct {
	http.ResponseWriter
	// sent is the status on the wire; 0 before there is one.
	sent int
}

// WriteHeader sends the status and the headers. Only the first call has an effect.
func (a *callerAnswer) WriteHeader(status int) {
	if a.sent == 0 {
		a.sent = status
	}
	a.ResponseWriter.WriteHeader(status)
}

func (a *callerAnswer) Write(p []byte) (int, error) {
	a.imply()
	return a.ResponseWriter.Write(p)
}

// ReadFrom writes all of r.
func (a *callerAnswer) ReadFrom(r io.Reader) (int64, error) {
	a.imply()
	return io.Copy(a.ResponseWriter, r)
}

// FlushError sends what has been written.
func (a *callerAnswer) FlushError() error {
	a.imply()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (a *callerAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// imply records that net/http sends a status of its own.
func (a *callerAnswer) imply() {
	if a.sent == 0 {
		a.sent = impliedStatus
	}
}
