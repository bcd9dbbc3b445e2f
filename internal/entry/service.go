package entry

import (
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"

	"github.com/bluebellwell/bluebellwell/internal/answer"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/telemetry"
)

// serveService serves /services/:pool/*path: requests to plain services.
func (a *API) serveService(w http.ResponseWriter, req bunrouter.Request) error {
	cfg := a.deps.Fleet.State().Config
	c, p := a.parseCaller(req.Request, cfg)
	if p != nil {
		return a.writeProblem(w, req.Context(), *p)
	}
	pool := cfg.Pools[req.Param("pool")]
	if pool == nil || pool.Type != record.PoolPlain {
		return a.writeProblem(w, req.Context(), newProblem("unknown_pool", "no such plain service"))
	}
	body, p := a.readBody(w, req.Request)
	if p != nil {
		return a.writeProblem(w, req.Context(), *p)
	}
	// Services decode the path, so an escaped one has the route of what it stands for.
	route := matchRoute(cfg, pool.Name, req.Method, servicePath(req.URL.Path))
	nonRepeatable := applyRoute(c, route)
	relay := &peerpb.Relay{
		RequestId:      answer.NewRequestID(a.deps.RequestIDKey, c.workspace.Name, pool.Name),
		Pool:           pool.Name,
		Workspace:      c.workspace.Name,
		Priority:       string(c.priority),
		Repeatable:     !nonRepeatable && repeatable(route, req.Method),
		Method:         req.Method,
		Path:           pathWithQuery(servicePath(req.URL.EscapedPath()), req.URL.RawQuery),
		Headers:        forwardedHeaders(req.Header),
		Body:           body,
		Traceparent:    telemetry.Traceparent(req.Context()),
		IdempotencyKey: c.idempotencyKey,
	}
	call := &call{api: a, caller: c, relay: relay, body: body, repeatable: !nonRepeatable}
	return call.serve(w, req.Request, &rawSink{w: w, requestID: relay.RequestId})
}

// applyRoute applies the route's priority and timeout to the caller. It reports
// whether the request or the route is marked as non-repeatable.
func applyRoute(c *caller, route *record.Route) bool {
	if route == nil {
		return c.nonRepeatable
	}
	if route.Priority != "" {
		c.priority = route.Priority
	}
	if route.Timeout > 0 && (c.deadline <= 0 || route.Timeout < c.deadline) {
		c.deadline = route.Timeout
	}
	return c.nonRepeatable || !route.Repeatable
}

// repeatable reports whether a request that is not marked as non-repeatable may
// be sent again after a failure. The route decides; without a route, only GET
// and HEAD are repeatable, which HTTP defines as safe.
func repeatable(route *record.Route, method string) bool {
	if route != nil {
		return route.Repeatable
	}
	return method == http.MethodGet || method == http.MethodHead
}

// matchRoute returns the route with the longest matching path prefix, or nil.
func matchRoute(cfg *record.Config, pool, method, path string) *record.Route {
	var best *record.Route
	for _, r := range cfg.Routes {
		if r.Pool != pool || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if r.Method != "" && r.Method != method {
			continue
		}
		if best == nil || moreSpecific(r, best) {
			best = r
		}
	}
	return best
}

// moreSpecific prefers the longer prefix, then a route with a method, then the
// name that sorts first, so that every router picks the same route.
func moreSpecific(a, b *record.Route) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	if (a.Method != "") != (b.Method != "") {
		return a.Method != ""
	}
	return a.Name < b.Name
}

// servicePath returns the part of a path that belongs to the service: what follows
// /services/ and the name of the pool.
func servicePath(path string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/services/"), "/")
	return "/" + rest
}

func pathWithQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// reservedHeaders are handled by the router and never passed on in either
// direction.
var reservedHeaders = map[string]bool{
	HeaderWorkspace: true, HeaderChat: true, HeaderPriority: true, HeaderDeadline: true, HeaderIdempotencyKey: true,
	HeaderKeyIssued: true, HeaderRepeatable: true, headerReplayed: true, HeaderPlacement: true, HeaderRequestID: true, HeaderOutcome: true,
	"Authorization": true, "Cookie": true, "Traceparent": true, "X-Fencing": true, "X-Attempt-Id": true,
	"Connection": true, "Keep-Alive": true, "Proxy-Authorization": true, "Proxy-Authenticate": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Host": true, "Content-Length": true,
}

// maxForwardedHeaders bounds the headers passed on to a plain service.
const maxForwardedHeaders = 64

// forwardedHeaders returns the caller's headers for a plain service. Headers
// that routers and backend servers exchange are left out, so that a caller
// cannot set them.
func forwardedHeaders(h http.Header) []*peerpb.Header {
	var list []*peerpb.Header
	for name, values := range h {
		if reservedHeaders[name] {
			continue
		}
		for _, v := range values {
			if len(list) == maxForwardedHeaders {
				return list
			}
			list = append(list, &peerpb.Header{Name: name, Value: v})
		}
	}
	return list
}
