package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/connreuse"
	"github.com/bluebellwell/bluebellwell/internal/cost"
	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/framing"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// defaultDeadline bounds a request without a deadline on a route without a timeout.
const defaultDeadline = 30 * time.Second

// Handler forwards callers' requests to servers. It is safe for concurrent use.
type Handler struct {
	state    *State
	codec    Codec
	events   *event.Logger
	metrics  *Metrics
	bodies   bodyMemory
	stopping atomic.Pointer[stopping]
	running  atomic.Int64
	// ending is done shortly before a stopping process ends, by endRequests.
	ending      context.Context
	endRequests context.CancelFunc
}

// New returns a handler that routes by state.
func New(state *State, codec Codec, events *event.Logger, metrics *Metrics) *Handler {
	state.onReuse = func(s *registry.Server, change *connreuse.Change) {
		logReuse(events, s, change)
		metrics.recordReuse(change)
	}
	observeLimits(state, events, metrics)
	observeCold(state, events, metrics)
	observeCrashes(state.crashes, events, metrics)
	state.paths.events = events
	state.grantsShared.events, state.grantsShared.metrics = events, metrics
	h := &Handler{
		state:   state,
		codec:   codec,
		events:  events,
		metrics: metrics,
		bodies:  bodyMemory{limit: state.limits.BodyMemory},
	}
	h.ending, h.endRequests = context.WithCancel(context.Background())
	return h
}

// Stop makes every further answer ask the caller to close its connection, and
// refuses requests that may not finish before the process ends at end. Those whose answers
// have not begun shortly before are answered by the router.
func (h *Handler) Stop(now, end time.Time) {
	h.stopping.Store(&stopping{start: now, end: end})
	time.AfterFunc(end.Add(-lastAnswerTime).Sub(now), h.endRequests)
}

// Running returns the number of requests in progress.
func (h *Handler) Running() int64 { return h.running.Load() }

// call is the state of one request. One goroutine owns it.
type call struct {
	handler   *Handler
	w         callerAnswer
	r         *http.Request
	arrivedAt time.Time

	headers   RequestHeaders
	table     *routing.Table
	route     *routing.Route
	workspace routing.Workspace
	// regions are the regions to whose servers the request must keep; nil for all.
	regions  []string
	pool     *pool
	body     []byte
	reserved int64
	// bodyRead is set once the whole body has been read, unread once the request has
	// been answered without.
	bodyRead, unread bool
	// deadline is the earlier one of the caller's deadline and the route's timeout.
	deadline time.Time

	// load is the pool's load when the request arrived, admission the decision
	// that followed from it.
	load      overload.Load
	admission overload.Decision
	// shareStatus is what the refusal of a request that is not among the share that is sent followed from.
	shareStatus overload.ShareStatus
	// predicted is what the request is expected to cost.
	predicted cost.Prediction

	// parts are the shared parts of the prompt and the fingerprint of the request, and
	// decidedPart is the part of the prompt because of which the request was refused or is a
	// trial.
	parts       []uint64
	decidedPart uint64
	// fingerprintOf is what fingerprint has computed; 0 before.
	fingerprintOf uint64

	// version is that of the servers which may continue the stream; 0 for any.
	version  streamversion.Version
	attempts attempts
	grant    grantUse
	stream   streamState
	// backup is the engine that is to have a copy of the memory of the current attempt's run; nil for none.
	backup   *backup
	takeover takeoverState
	// sentFraming is how the end of the answer to the caller is marked.
	sentFraming framing.Framing
	firstByte   time.Duration
	outcome     Outcome
	cause       Cause
	// panicked is the value and the stack of a panic of the handler.
	panicked string
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	c := &call{handler: h, w: callerAnswer{ResponseWriter: w}, r: r, arrivedAt: time.Now(), headers: h.codec.RequestHeaders(r.Header)}
	defer c.closeUnread()
	defer c.finish()
	defer c.recoverPanic()
	if h.stopping.Load() != nil || len(r.TransferEncoding) > 0 {
		// A chunked request may also have carried a Content-Length, which net/http
		// drops; what follows the request on the connection is not trusted.
		w.Header().Set("Connection", "close")
	}
	if c.authorize() && c.readBody() {
		c.run()
	}
	if !c.w.whole {
		// net/http would end the answer well, or send a 200 for a request without one.
		c.abort()
	}
	if !c.unread && c.endsConnection() {
		edge.SetDrainOnClose(r.Context())
	}
}

// endsConnection reports whether the answer announces the end of its connection. For one that
// ends with it, net/http adds the announcement.
func (c *call) endsConnection() bool {
	return c.sentFraming == framing.Close || c.w.Header().Get("Connection") == "close"
}

// authorize finds the route and the workspace, or answers the request with a
// denial or a refusal.
func (c *call) authorize() bool {
	if !c.awaitTable() {
		return false
	}
	c.route = c.table.Match(c.r.Host, rawPath(c.r.RequestURI))
	if c.route == nil {
		c.deny(http.StatusNotFound, CauseNoRoute)
		return false
	}
	var ok bool
	c.workspace, ok = c.table.Authorize(c.route, c.headers.Key)
	if !ok {
		c.deny(http.StatusUnauthorized, CauseUnknownKey)
		return false
	}
	if c.regions, ok = regionsOf(c.route, &c.workspace); !ok {
		c.refuse(CauseNoAllowedRegion)
		return false
	}
	c.deadline = c.arrivedAt.Add(c.timeLimit())
	if s := c.handler.stopping.Load(); s != nil && !s.accepts(c.arrivedAt, c.route) {
		c.refuse(CauseStopping)
		return false
	}
	return true
}

// timeLimit returns how long the request may take: the smaller of the caller's
// deadline and the route's timeout.
func (c *call) timeLimit() time.Duration {
	limit := c.headers.Deadline
	if limit <= 0 || c.route.Timeout > 0 && c.route.Timeout < limit {
		limit = c.route.Timeout
	}
	if limit <= 0 {
		limit = defaultDeadline
	}
	return limit
}

// rawPath returns the path of a request target without its query.
func rawPath(target string) string {
	path, _, _ := strings.Cut(originForm(target), "?")
	return path
}

// originForm returns a request target without the scheme and the authority that it may
// begin with (RFC 9112, section 3.2).
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return target
	}
	end := strings.IndexAny(rest, "/?")
	switch {
	case end < 0:
		return "/"
	case rest[end] == '?':
		return "/" + rest[end:]
	}
	return rest[end:]
}

// readBody reads the whole body, so that it can be sent again, or answers the request.
func (c *call) readBody() bool {
	limit := c.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		c.deny(http.StatusRequestEntityTooLarge, CauseTooLarge)
		return false
	}
	c.reserved = max(c.r.ContentLength, 0)
	if !c.handler.bodies.reserve(c.reserved) {
		c.reserved = 0
		c.refuse(CauseRouterMemory)
		return false
	}
	_ = http.NewResponseController(&c.w).SetReadDeadline(c.deadline)
	body, err := readAll(c.r, limit)
	_ = http.NewResponseController(&c.w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.deny(http.StatusRequestEntityTooLarge, CauseTooLarge)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded), err != nil && !time.Now().Before(c.deadline):
		// The caller has sent it slowly, or this router has read it late. net/http reports a
		// deadline that passes after the last chunk as a malformed trailer.
		c.writeProblem(http.StatusRequestTimeout, OutcomeNotRun, CauseBodyLate)
		return false
	case err != nil:
		c.deny(http.StatusBadRequest, CauseBadRequest)
		return false
	}
	extra := int64(len(body)) - c.reserved
	c.handler.bodies.add(extra)
	c.reserved += extra
	c.body, c.bodyRead = body, true
	return true
}

func readAll(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	reader := http.MaxBytesReader(nil, r.Body, limit)
	if r.ContentLength < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// run sends the request to servers until it is answered.
func (c *call) run() {
	c.pool = c.handler.state.pool(c.route.PickTarget(placement.Hash(c.headers.ID)))
	if c.pool == nil {
		c.refuse(CauseNoServer)
		return
	}
	if len(c.regions) > 0 && !c.pool.reaches(c.regions) {
		c.refuse(CauseNoAllowedRegion)
		return
	}
	c.pool.budget.RecordRequest(time.Now())
	if !c.sendable() {
		return
	}
	if !c.findVersion() {
		return
	}
	if c.refuseEvacuated() {
		return
	}
	c.predicted = c.pool.predict(c.costRequest())
	if !c.admitToPool() {
		return
	}
	// The caller's connection must not block the goroutine past the deadline.
	_ = http.NewResponseController(&c.w).SetWriteDeadline(c.deadline.Add(time.Second))
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(c.handler.ending, func() {
		if !c.w.begun.Load() {
			end(errRouterEnds)
		}
	})()
	for c.tryServer(ctx) {
	}
	if c.outcome == OutcomeServed && c.attempts.sent == 1 && c.takeover.count == 0 && !c.attempts.choice.Cold {
		c.recordAnswerTimes()
		c.recordRun()
	}
	c.observeCost()
}

// admitToPool refuses a request that would wait too long in a full pool. In a scarce one that is decided by the router that
// grants its slots.
func (c *call) admitToPool() bool {
	now := time.Now()
	if !c.grant.fallback && c.needsGrant(now) {
		return true
	}
	c.load, c.admission = c.pool.admit(now, overload.Request{
		Workspace:     c.workspace.Name,
		Route:         c.route.Name,
		Size:          len(c.body),
		Priority:      c.priority(),
		Objective:     c.route.Objective,
		CallerTimeout: c.headers.Deadline,
		Remaining:     c.deadline.Sub(now),
		Spent:         now.Sub(c.arrivedAt),
	}, balance.Job{Version: c.requiredVersion(), AllowedRegions: c.regions})
	if !c.admission.Admitted {
		c.refuseWithWait(CausePoolFull, c.admission.RetryAfter)
		return false
	}
	c.handler.metrics.recordShareDecision(c.pool.name, c.admission.Share)
	if !c.admission.Share.Admitted {
		c.shareStatus = c.pool.shareStatus(now)
		c.refuseWithWait(CauseDelayShare, c.admission.Share.RetryAfter)
	}
	return c.admission.Share.Admitted
}

// recoverPanic turns a panic of the handler into an outcome, and closes the connection.
func (c *call) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler {
		c.outcome, c.cause = OutcomeUnknown, CauseInternal
		c.panicked = fmt.Sprintf("%v\n%s", p, debug.Stack())
	}
	panic(http.ErrAbortHandler)
}

// finish records how the request ended.
func (c *call) finish() {
	c.handler.bodies.add(-c.reserved)
	c.recordBroken()
	c.handler.metrics.recordEnd(c, time.Since(c.arrivedAt))
	c.log()
}

func (c *call) log() {
	e := event.RequestServed
	if c.outcome != OutcomeServed {
		e = event.RequestFailed
	}
	kv := []any{
		"request", c.headers.ID, "outcome", c.outcome, "status", c.w.status,
		"ms", time.Since(c.arrivedAt).Milliseconds(), "first_ms", c.firstByte.Milliseconds(),
	}
	if c.cause != CauseNone {
		kv = append(kv, "cause", c.cause)
	}
	if c.table != nil {
		kv = append(kv, "config", c.table.Version())
	}
	if c.route != nil {
		kv = append(kv, "route", c.route.Name, "workspace", c.workspace.Name)
	}
	if len(c.regions) > 0 {
		kv = append(kv, "regions", c.regions)
	}
	kv = append(kv, c.fingerprintField()...)
	kv = append(kv, c.headers.partsField()...)
	kv = append(kv, c.headers.takesUpFields()...)
	kv = append(kv, c.attempts.logFields()...)
	kv = append(kv, c.takeover.logFields()...)
	kv = append(kv, c.grant.logFields()...)
	kv = append(kv, c.costFields()...)
	if c.decidedPart != 0 {
		kv = append(kv, "part", strconv.FormatUint(c.decidedPart, 16))
	}
	if c.panicked != "" {
		kv = append(kv, "error", c.panicked[:min(len(c.panicked), maxPanicBytes)])
	}
	if n := c.stream.events.Open(); n > 0 {
		kv = append(kv, "open_bytes", n)
	}
	if c.pool != nil && e == event.RequestFailed {
		kv = append(kv, "retries_left", c.pool.retriesLeft(time.Now()))
	}
	if c.cause == CausePoolFull && !c.grant.asked {
		kv = append(kv, "load", c.load.InFlight(), "own", c.load.Own, "slots", c.load.Slots, "expected_ms", c.admission.Expected.Milliseconds(),
			"bound_ms", c.admission.Bound.Milliseconds(), "surging", c.admission.Surging, "returning", c.admission.Retrying,
			"retry_after_ms", c.admission.RetryAfter.Milliseconds())
	}
	kv = append(kv, c.shareFields()...)
	c.handler.events.Emit(e, kv...)
}

// maxPanicBytes bounds the value and the stack of a panic in a log line.
const maxPanicBytes = 4 << 10

// defaultBodyBytes bounds a body when the configuration sets no limit.
const defaultBodyBytes = 4 << 20

// bodyMemory bounds the bytes of request bodies in memory at the same time.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve adds n bytes and reports true, unless that exceeds the limit.
func (b *bodyMemory) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyMemory) add(n int64) { b.used.Add(n) }
