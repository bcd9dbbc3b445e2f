package forward

import (
	"net/http"
	"strconv"

	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/framing"
)

// bodyEnd is how an answer marks the end of its body.
type bodyEnd struct {
	framing framing.Framing
	// length is the size of the body in bytes, or -1 when it is not stated.
	length int64
}

// endOf returns how a server's answer marks the end of its body.
func endOf(resp *http.Response) bodyEnd {
	return bodyEnd{framing: framing.Of(resp), length: resp.ContentLength}
}

// ofBuffered returns how an answer whose body has been received is framed for the
// caller. A body that ended with its connection may be incomplete and gets no length.
func (e bodyEnd) ofBuffered(body []byte) bodyEnd {
	if e.framing == framing.Chunked {
		return bodyEnd{framing: framing.Length, length: int64(len(body))}
	}
	return e
}

// ofStream returns how a stream is framed for the caller. Chunks replace a length,
// so that a stream that turns out to be broken off can be left unfinished.
func (e bodyEnd) ofStream() bodyEnd {
	if e.framing == framing.Length {
		return bodyEnd{framing: framing.Chunked, length: -1}
	}
	return e
}

// set sets the headers that make net/http frame the answer in this way. The encoding
// "identity" makes it send neither a length nor chunks and close the connection.
func (e bodyEnd) set(h http.Header) {
	h.Del("Content-Length")
	switch {
	case e.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(e.length, 10))
	case e.framing == framing.Close:
		h.Set("Transfer-Encoding", "identity")
	}
}

// sentTo returns the framing that the caller of r sees. There are no chunks before
// HTTP/1.1.
func (e bodyEnd) sentTo(r *http.Request) framing.Framing {
	if e.framing == framing.Chunked && !r.ProtoAtLeast(1, 1) {
		return framing.Close
	}
	return e.framing
}

// markWhole records that all of the answer has been written. The end of its connection
// may then be orderly.
func (c *call) markWhole() {
	c.w.whole = true
	if c.sentFraming == framing.Close {
		edge.SetResetOnClose(c.r.Context(), false)
	}
}

// abort breaks the caller's answer off. Without its last chunk, or short of its length,
// an answer is visibly incomplete; one that ends with its connection is reset.
func (c *call) abort() {
	// Makes net/http close the connection without finishing the answer.
	panic(http.ErrAbortHandler)
}
