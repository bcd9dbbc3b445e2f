package forward

import (
	"net/http"
	"slices"
	"strconv"
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

// bodyEnd is how an answer marks the end of its body.
type bodyEnd struct {
	framing Framing
	// length is the size of the body in bytes, or -1 when it is unknown.
	length int64
}

// endOf returns how a server's answer marks the end of its body.
func endOf(resp *http.Response) bodyEnd {
	switch {
	case resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead:
		// An answer to HEAD has no body, whatever its headers state.
		return bodyEnd{framing: FramingLength, length: resp.ContentLength}
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return bodyEnd{framing: FramingChunked, length: -1}
	}
	return bodyEnd{framing: FramingClose, length: -1}
}

// ofBuffered returns how an answer whose body has been received is framed for the
// caller. A body that ended with its connection may be incomplete and gets no length.
func (e bodyEnd) ofBuffered(body []byte) bodyEnd {
	if e.framing == FramingChunked {
		return bodyEnd{framing: FramingLength, length: int64(len(body))}
	}
	return e
}

// ofStream returns how a stream is framed for the caller. Chunks replace a length,
// so that a stream that turns out to be broken off can be left unfinished.
func (e bodyEnd) ofStream() bodyEnd {
	if e.framing == FramingLength {
		return bodyEnd{framing: FramingChunked, length: -1}
	}
	return e
}

// set sets the headers that make net/http frame the answer to r in this way.
func (e bodyEnd) set(h http.Header) {
	h.Del("Content-Length")
	switch {
	case e.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(e.length, 10))
	case e.framing == FramingClose:
		h.Set("Transfer-Encoding", "identity")
	}
}

// sentTo returns the framing that the caller of r sees. There are no chunks before
// HTTP/1.1.
func (e bodyEnd) sentTo(r *http.Request) Framing {
	if e.framing == FramingChunked && !r.ProtoAtLeast(1, 1) {
		return FramingClose
	}
	return e.framing
}

// resettable is a connection that can be reset: after SetLinger(0), Close sends a reset.
type resettable interface {
	SetLinger(seconds int) error
}

// abort breaks the caller's answer off. Without its last chunk, or short of its length,
// an answer is visibly incomplete; one that ends with its connection needs a reset.
func (c *call) abort() {
	if c.sentFraming == FramingClose {
		c.resetConnection()
	}
	// Makes net/http close the connection without finishing the answer.
	panic(http.ErrAbortHandler)
}

func (c *call) resetConnection() {
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		// The caller has closed the connection.
		return
	}
	if r, ok := conn.(resettable); ok {
		// An error means that the connection has ended.
		_ = r.SetLinger(0)
	}
	_ = conn.Close()
}
