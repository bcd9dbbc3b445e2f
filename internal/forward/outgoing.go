package forward

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/httpsend"
)

// outgoingRequest builds the HTTP request for an attempt.
func (c *call) outgoingRequest(ctx context.Context, choice balance.Choice) *http.Request {
	h := forwardableHeaders(c.r.Header)
	c.handler.codec.StripRequest(h)
	attempt := AttemptHeaders{
		Instance:    choice.Server.ID,
		Workspace:   c.workspace.Name,
		Remaining:   time.Until(c.deadline),
		Priority:    c.priority(),
		LastEventID: c.stream.events.LastEventID(),
	}
	if choice.Source != nil {
		attempt.FetchFrom = choice.Source.Addr
	}
	if c.backup != nil {
		attempt.Backup = c.backup.server.Addr
	}
	attempt.ResumeFrom = c.takeover.from
	c.handler.codec.SetAttemptHeaders(h, attempt)
	if h.Get("User-Agent") == "" {
		h["User-Agent"] = []string{""}
	}
	req := &http.Request{
		Method: c.r.Method,
		URL:    targetURL(c.r.RequestURI, choice.Server.Addr),
		Host:   c.r.Host,
		Header: h,
	}
	httpsend.SetBody(req, c.body)
	return req.WithContext(ctx)
}

func (c *call) priority() int {
	if c.workspace.HasPriority {
		return c.workspace.Priority
	}
	return c.route.Priority
}

// targetURL returns the URL of a request target at addr. It keeps the path and the query
// byte for byte.
func targetURL(target, addr string) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr}
	target = originForm(target)
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return u
	}
	// net/url adds a scheme to an opaque target that begins with two slashes. In a path it
	// encodes what may not be there, such as a vertical bar.
	path, query, hasQuery := strings.Cut(target, "?")
	u.RawPath, u.RawQuery, u.ForceQuery = path, query, hasQuery
	// net/http has accepted the path, so it can be decoded.
	u.Path, _ = url.PathUnescape(path)
	return u
}
