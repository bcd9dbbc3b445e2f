package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/telemetry"
)

// caller holds the parsed request headers.
type caller struct {
	workspace      *record.Workspace
	chat           string
	priority       record.Priority
	deadline       time.Duration
	idempotencyKey string
	keyIssued      time.Time
	// nonRepeatable is set by X-Repeatable: false.
	nonRepeatable bool
	placement     string
}

// parseCaller checks the headers. It returns a problem instead of an error,
// because every failure is reported to the caller.
func (a *API) parseCaller(req *http.Request, cfg *record.Config) (*caller, *Problem) {
	c := &caller{priority: record.PriorityStandard, deadline: a.deps.Limits.DefaultDeadline}
	for _, step := range []func(*http.Request, *record.Config) *Problem{
		checkHeaderValues, c.readWorkspace, c.readPriority, c.readDeadline, c.readKey,
	} {
		if p := step(req, cfg); p != nil {
			return nil, p
		}
	}
	c.chat = req.Header.Get(HeaderChat)
	c.placement = placementOf(req)
	return c, nil
}

func checkHeaderValues(req *http.Request, _ *record.Config) *Problem {
	for _, name := range []string{
		HeaderWorkspace, HeaderChat, HeaderPriority, HeaderDeadline, HeaderIdempotencyKey, HeaderKeyIssued, HeaderPlacement,
	} {
		v := req.Header.Get(name)
		if len(v) > maxHeaderValueBytes || !utf8.ValidString(v) {
			p := newProblem("invalid_request", "header "+name+" is too long or not UTF-8")
			return &p
		}
	}
	return nil
}

func (c *caller) readWorkspace(req *http.Request, cfg *record.Config) *Problem {
	name := req.Header.Get(HeaderWorkspace)
	if name == "" {
		p := newProblem("invalid_request", "header "+HeaderWorkspace+" is required")
		return &p
	}
	c.workspace = cfg.Workspaces[name]
	if c.workspace == nil {
		p := newProblem("unknown_workspace", "the workspace is not configured")
		return &p
	}
	if !authorized(req, c.workspace) {
		p := newProblem("unauthorized", "the API key does not belong to the workspace")
		return &p
	}
	return nil
}

// authorized compares the digest of the bearer token in constant time.
func authorized(req *http.Request, ws *record.Workspace) bool {
	if len(ws.APIKeySHA256) == 0 {
		return true
	}
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	match := 0
	for _, want := range ws.APIKeySHA256 {
		match |= subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(want)))
	}
	return match == 1
}

func (c *caller) readPriority(req *http.Request, _ *record.Config) *Problem {
	v := req.Header.Get(HeaderPriority)
	if v == "" {
		return nil
	}
	for _, p := range record.Priorities {
		if string(p) == v {
			c.priority = p
			return nil
		}
	}
	p := newProblem("invalid_request", "header "+HeaderPriority+" must be lookup, standard or review")
	return &p
}

func (c *caller) readDeadline(req *http.Request, _ *record.Config) *Problem {
	v := req.Header.Get(HeaderDeadline)
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		p := newProblem("invalid_request", "header "+HeaderDeadline+" must be 1 to 3600000 milliseconds")
		return &p
	}
	c.deadline = time.Duration(ms) * time.Millisecond
	return nil
}

func (c *caller) readKey(req *http.Request, _ *record.Config) *Problem {
	c.idempotencyKey = req.Header.Get(HeaderIdempotencyKey)
	c.nonRepeatable = strings.EqualFold(req.Header.Get(HeaderRepeatable), "false")
	v := req.Header.Get(HeaderKeyIssued)
	if v == "" {
		return nil
	}
	keyIssued, err := time.Parse(time.RFC3339, v)
	if err != nil {
		p := newProblem("invalid_request", "header "+HeaderKeyIssued+" must be an RFC 3339 time")
		return &p
	}
	c.keyIssued = keyIssued
	return nil
}

func placementOf(req *http.Request) string {
	if v := req.Header.Get(HeaderPlacement); v != "" {
		return v
	}
	if cookie, err := req.Cookie(CookiePlacement); err == nil && len(cookie.Value) <= maxHeaderValueBytes {
		return cookie.Value
	}
	return ""
}

// readBody reads a body of limited size.
func (a *API) readBody(w http.ResponseWriter, req *http.Request) ([]byte, *Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, a.deps.Limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p := newProblem("body_too_large", "the body exceeds the limit")
		return nil, &p
	}
	if err != nil {
		p := newProblem("invalid_request", "the body could not be read")
		return nil, &p
	}
	return body, nil
}

func (a *API) startSpan(req bunrouter.Request) (context.Context, trace.Span) {
	ctx := telemetry.ExtractHeader(req.Context(), req.Header)
	return a.deps.Tracer.Start(ctx, "entry "+req.Method+" "+req.Route(), trace.WithSpanKind(trace.SpanKindServer))
}
