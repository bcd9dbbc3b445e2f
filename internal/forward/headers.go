package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/framing"
	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// connectionHeaders are the hop-by-hop headers, which are not forwarded
// (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// announcedIdleTime returns how long a server keeps an idle connection, and false when it
// does not say so.
func announcedIdleTime(h http.Header) (time.Duration, bool) {
	for _, line := range h["Keep-Alive"] {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(parameter, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 32)
			return time.Duration(seconds) * time.Second, err == nil
		}
	}
	return 0, false
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

// sendHeaders sends the status and headers of an answer whose body ends as end states.
// header has no hop-by-hop headers; sendHeaders changes it.
func (c *call) sendHeaders(status int, header http.Header, end bodyEnd) {
	h := c.w.Header()
	connection := h.Get("Connection")
	c.handler.codec.StripResponse(header)
	for name, values := range header {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		// A nil entry keeps net/http from detecting a type.
		h["Content-Type"] = nil
	}
	end.set(h)
	c.sentFraming = end.sentTo(c.r)
	if c.sentFraming == framing.Close {
		// An orderly close would be the end of the answer.
		edge.SetResetOnClose(c.r.Context(), true)
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	c.w.WriteHeader(status)
}

// sharedPrefixes returns the prefixes that the prompt may share with other requests,
// the shortest first, and the size of the whole prompt in tokens. The last part
// of a prompt belongs to its request only.
func sharedPrefixes(headers RequestHeaders) (prefixes []balance.Prefix, promptTokens int) {
	for i, p := range headers.Prompt {
		promptTokens += p.Tokens
		if i < len(headers.Prompt)-1 {
			prefixes = append(prefixes, balance.Prefix{Hash: prefixHash(headers.Model, p.ID), Tokens: promptTokens})
		}
	}
	return prefixes, promptTokens
}

// prefixHash identifies a shared prefix by the model and its last part, whose ID
// also covers all parts before it.
func prefixHash(model string, part uint64) uint64 {
	return placement.Mix(placement.Hash(model), part)
}
