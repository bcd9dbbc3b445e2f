// Package entry serves the HTTP interface: chat completions, resumed answers and
// plain services for callers, and the health, status and metrics pages for
// operators.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// Names and limits of the callers' headers and cookie.
const (
	HeaderWorkspace         = "X-Workspace"
	HeaderChat              = "X-Chat-Id"
	HeaderPriority          = "X-Priority"
	HeaderDeadline          = "X-Deadline-Ms"
	HeaderIdempotencyKey    = "Idempotency-Key"
	HeaderKeyIssued         = "X-Key-Issued"
	HeaderRepeatable        = "X-Repeatable"
	HeaderPlacement         = "X-Placement"
	HeaderRequestID         = "X-Request-Id"
	HeaderOutcome           = "X-Outcome"
	CookiePlacement         = "bbw_placement"
	maxHeaderValueBytes     = 512
	maxDeadline             = time.Hour
	placementCookieLifetime = 24 * time.Hour
)

// State is the state that the router's control goroutine publishes to the entry
// handlers. It is immutable.
type State struct {
	Config *record.Config
	// Ready is what the readiness page reports to the load balancer.
	Ready bool
	// Accepting is set while new requests are served. A stopping router is not
	// ready, but accepts requests until the load balancer has detected that.
	Accepting bool
	// Reason says why the router is not ready.
	Reason string
}

// Fleet provides the current state. It is safe for concurrent use.
type Fleet interface {
	State() *State
}

// Runner runs requests against their pools; *dispatch.Dispatcher implements it.
type Runner interface {
	Run(ctx context.Context, req *peerpb.Relay, sink dispatch.Sink) dispatch.Result
	Resume(ctx context.Context, req *peerpb.Relay, sink dispatch.Sink) dispatch.Result
}

// Guard admits non-repeatable requests at most once. It is safe for concurrent use.
type Guard interface {
	// Call records or looks up an idempotency key.
	Call(ctx context.Context, call *peerpb.IntentCall) (*peerpb.IntentReply, error)
}

// Limits bounds the requests of callers.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// MaxConcurrent is the maximum number of requests served at the same time.
	MaxConcurrent int
	// DefaultDeadline applies to requests without a deadline header.
	DefaultDeadline time.Duration
}

// Deps holds the dependencies of the API.
type Deps struct {
	Fleet  Fleet
	Runner Runner
	Guard  Guard
	// RequestIDKey authenticates request ids.
	RequestIDKey []byte
	Limits       Limits
	Clock        clockwork.Clock
	Tracer       trace.Tracer
	// Status writes the router's status document.
	Status http.Handler
	// Metrics writes the metrics page.
	Metrics http.Handler
}

// API implements the HTTP interface. It is safe for concurrent use.
type API struct {
	deps  Deps
	slots chan struct{}
}

// New returns the API.
func New(deps Deps) *API {
	return &API{deps: deps, slots: make(chan struct{}, deps.Limits.MaxConcurrent)}
}

// Handler returns the HTTP handler with all routes.
func (a *API) Handler() http.Handler {
	r := bunrouter.New(
		bunrouter.Use(accept),
		bunrouter.WithNotFoundHandler(a.refuseWith(unknownPathProblem())),
		bunrouter.WithMethodNotAllowedHandler(a.refuseWith(wrongMethodProblem())),
	)
	r.POST("/v1/chat/completions", a.admit(a.serveChat))
	r.GET("/v1/answers/:id", a.admit(a.serveAnswer))
	r.WithGroup("/services/:pool", func(g *bunrouter.Group) {
		for _, method := range []string{
			http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
		} {
			g.Handle(method, "/*path", a.admit(a.serveService))
		}
	})
	r.GET("/healthz", a.serveHealth)
	r.GET("/readyz", a.serveReadiness)
	r.GET("/metrics", page(a.deps.Metrics))
	r.GET("/admin/status", page(a.deps.Status))
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.ServeHTTP(&unrouted{ResponseWriter: w, api: a, req: req}, req)
	})
}

// page serves a page for operators. bunrouter.HTTPHandler would recover from a panic, and
// net/http would then send an empty 200.
func page(h http.Handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		h.ServeHTTP(w, req.Request)
		return nil
	}
}

// admit refuses requests while the router accepts none or serves its maximum,
// and starts a span for every request.
func (a *API) admit(h bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		ctx, span := a.startSpan(req)
		defer span.End()
		req = req.WithContext(ctx)
		state := a.deps.Fleet.State()
		if !state.Accepting {
			return a.writeProblem(w, req.Context(), notReadyProblem(state.Reason))
		}
		select {
		case a.slots <- struct{}{}:
		default:
			return a.writeProblem(w, req.Context(), tooManyCallersProblem())
		}
		defer func() { <-a.slots }()
		return h(w, req)
	}
}

func (a *API) serveHealth(w http.ResponseWriter, _ bunrouter.Request) error {
	w.WriteHeader(http.StatusOK)
	return nil
}

func (a *API) serveReadiness(w http.ResponseWriter, _ bunrouter.Request) error {
	state := a.deps.Fleet.State()
	if !state.Ready {
		http.Error(w, state.Reason, http.StatusServiceUnavailable)
		return nil
	}
	w.WriteHeader(http.StatusOK)
	return nil
}
