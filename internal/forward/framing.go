package forward

import (
	"net/http"
	"slices"
)

// Framing is how the end of an answer's body is marked (RFC 9112, section 6.3).
type Framing string

// Framings of a body.
const (
	// FramingUnknown: there is no answer.
	FramingUnknown Framing = ""
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	// FramingClose: the body ends with its connection. A complete body and one whose
	// sender has failed look the same.
	FramingClose Framing = "close"
)

// framingOf returns the framing of a server's answer.
func framingOf(resp *http.Response) Framing {
	switch {
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return FramingChunked
	case resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead:
		// An answer to HEAD has no body, whatever its headers state.
		return FramingLength
	}
	return FramingClose
}
