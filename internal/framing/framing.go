// Package framing tells how the end of an HTTP body is marked, and which answers are final.
package framing

import (
	"net/http"
	"slices"
)

// Framing is how the end of a body is marked (RFC 9112, section 6.3).
type Framing string

// Framings of a body.
const (
	// Unknown: there is no answer.
	Unknown Framing = ""
	Length  Framing = "length"
	Chunked Framing = "chunked"
	// Close: the body ends with its connection. A complete body and one whose sender
	// has failed look the same.
	Close Framing = "close"
)

// Of returns the framing of a server's answer.
func Of(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead:
		// An answer to HEAD has no body, whatever its headers state.
		return Length
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return Chunked
	}
	return Close
}

// IsFinal reports whether a status may be that of a final answer (RFC 9110, section 15).
// net/http passes 101 and undefined ones on, and accepts neither for a caller's answer.
func IsFinal(status int) bool {
	const afterLast = 600
	return status >= http.StatusOK && status < afterLast
}
