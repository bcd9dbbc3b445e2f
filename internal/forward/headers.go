package forward

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// connectionHeaders are the hop-by-hop headers, which are not forwarded
// (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardableHeaders returns a copy of h without the hop-by-hop headers.
func forwardableHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// sendHeaders sends the status and headers of an answer. A negative length means
// that the length is unknown.
func (c *call) sendHeaders(status int, header http.Header, length int64) {
	h := c.w.Header()
	connection := h.Get("Connection")
	forwarded := forwardableHeaders(header)
	c.handler.codec.StripResponse(forwarded)
	for name, values := range forwarded {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		// A nil entry keeps net/http from detecting a type.
		h["Content-Type"] = nil
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	c.headerSent = true
	c.status = status
	c.w.WriteHeader(status)
}

// sharedPrefix returns the hash and the size in tokens of the prefix that the prompt
// may share with other requests: all parts but the last, which belongs to this
// request only.
func sharedPrefix(headers RequestHeaders) (hash uint64, tokens int) {
	shared := len(headers.Prompt) - 1
	if shared < 1 {
		return 0, 0
	}
	for _, p := range headers.Prompt[:shared] {
		tokens += p.Tokens
	}
	return prefixHash(headers.Model, headers.Prompt[shared-1].ID), tokens
}

// prefixHash identifies a shared prefix by the model and its last part, whose ID
// also covers all parts before it.
func prefixHash(model string, part uint64) uint64 {
	return placement.Mix(placement.Hash(model), part)
}
