package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// defaultDeadline bounds a request that states no deadline on a route without a timeout.
const defaultDeadline = 30 * time.Second

// Core serves callers' requests. Its fields are set once.
type Core struct {
	world    *World
	codec    Codec
	events   *event.Logger
	metrics  *Metrics
	bodies   bodyMemory
	stopping atomic.Pointer[stopping]
	running  atomic.Int64
}

// New returns a core that knows what world knows.
func New(world *World, codec Codec, events *event.Logger, metrics *Metrics) *Core {
	return &Core{
		world:   world,
		codec:   codec,
		events:  events,
		metrics: metrics,
		bodies:  bodyMemory{limit: world.limits.BodyMemory},
	}
}

// Stop makes every further answer ask the caller to close its connection, and
// refuses requests that would not end before the process does.
func (c *Core) Stop(now, end time.Time) { c.stopping.Store(&stopping{began: now, end: end}) }

// Running returns the number of requests in progress.
func (c *Core) Running() int64 { return c.running.Load() }

// call is the state of one request. One goroutine owns it.
type call struct {
	core    *Core
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	head      Head
	table     *routing.Table
	route     *routing.Route
	workspace routing.Workspace
	pool      *pool
	body      []byte
	reserved  int64
	// until is when the caller or the route gives up.
	until time.Time

	// load is what the pool had to do when the request came, admission what
	// followed from it.
	load      overload.Load
	admission overload.Decision

	attempts  attempts
	stream    streamState
	headerOut bool
	status    int
	firstByte time.Duration
	outcome   Outcome
	cause     Cause
}

// ServeHTTP serves one request.
func (c *Core) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	k := &call{core: c, w: w, r: r, arrived: time.Now(), head: c.codec.Head(r.Header)}
	defer k.finish()
	if c.stopping.Load() != nil || len(r.TransferEncoding) > 0 {
		// A chunked request may have carried a length as well, which net/http
		// drops; what follows it on the connection is not trusted.
		w.Header().Set("Connection", "close")
	}
	if !k.admit() {
		return
	}
	if !k.readBody() {
		return
	}
	k.run()
}

// admit finds the route and the workspace, or denies the request.
func (k *call) admit() bool {
	k.table = k.core.world.Table()
	if k.table == nil {
		k.refuse(CauseNoConfig)
		return false
	}
	k.route = k.table.Match(k.r.Host, rawPath(k.r.RequestURI))
	if k.route == nil {
		k.deny(http.StatusNotFound, CauseNoRoute)
		return false
	}
	var ok bool
	k.workspace, ok = k.table.Authorize(k.route, k.head.Key)
	if !ok {
		k.deny(http.StatusUnauthorized, CauseBadKey)
		return false
	}
	k.until = k.arrived.Add(k.patience())
	if s := k.core.stopping.Load(); s != nil && !s.takes(k.arrived, k.route) {
		k.refuse(CauseStopping)
		return false
	}
	return true
}

// patience is how long the request may take: the smaller of the caller's
// deadline and the route's timeout.
func (k *call) patience() time.Duration {
	p := k.head.Deadline
	if p <= 0 || k.route.Timeout > 0 && k.route.Timeout < p {
		p = k.route.Timeout
	}
	if p <= 0 {
		p = defaultDeadline
	}
	return p
}

// rawPath returns the path of a request target without its query.
func rawPath(target string) string {
	if !strings.HasPrefix(target, "/") {
		if _, rest, ok := strings.Cut(target, "://"); ok {
			if i := strings.IndexByte(rest, '/'); i >= 0 {
				target = rest[i:]
			}
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// readBody reads the whole body, so that it can be sent again, or answers the request.
func (k *call) readBody() bool {
	limit := k.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if k.r.ContentLength > limit {
		k.deny(http.StatusRequestEntityTooLarge, CauseTooLarge)
		return false
	}
	k.reserved = max(k.r.ContentLength, 0)
	if !k.core.bodies.take(k.reserved) {
		k.reserved = 0
		k.refuse(CauseMemory)
		return false
	}
	// A caller that sends its body slower than its own deadline is gone by then.
	_ = http.NewResponseController(k.w).SetReadDeadline(k.until)
	body, err := readAll(k.r, limit)
	_ = http.NewResponseController(k.w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		k.deny(http.StatusRequestEntityTooLarge, CauseTooLarge)
		return false
	case err != nil:
		k.deny(http.StatusBadRequest, CauseBadRequest)
		return false
	}
	extra := int64(len(body)) - k.reserved
	k.core.bodies.add(extra)
	k.reserved += extra
	k.body = body
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
func (k *call) run() {
	k.pool = k.core.world.pool(k.route.PickTarget(placement.Hash(k.head.ID)))
	if k.pool == nil {
		k.refuse(CauseNoServer)
		return
	}
	k.pool.budget.RecordRequest(time.Now())
	if !k.admitToPool() {
		return
	}
	// The caller's connection must not block the goroutine past the deadline.
	_ = http.NewResponseController(k.w).SetWriteDeadline(k.until.Add(time.Second))
	ctx, cancel := context.WithDeadline(k.r.Context(), k.until)
	defer cancel()
	for k.step(ctx) {
	}
	if k.outcome == OutcomeServed && k.attempts.offered == 1 {
		k.pool.answered(k.firstByte, time.Since(k.arrived))
	}
}

// admitToPool refuses a request that would wait too long in a full pool.
func (k *call) admitToPool() bool {
	now := time.Now()
	k.load, k.admission = k.pool.admit(now, overload.Request{
		Workspace:     k.workspace.Name,
		Route:         k.route.Name,
		Priority:      k.priority(),
		Objective:     k.route.Objective,
		CallerTimeout: k.head.Deadline,
		Remaining:     k.until.Sub(now),
	})
	if !k.admission.Admitted {
		k.refuseFor(CausePoolFull, k.admission.RetryAfter)
	}
	return k.admission.Admitted
}

// finish records how the request ended. It passes on the panic that makes
// net/http break the caller's connection off.
func (k *call) finish() {
	k.core.bodies.add(-k.reserved)
	k.core.metrics.ended(k, time.Since(k.arrived))
	k.log()
	if k.outcome == OutcomeCut {
		panic(http.ErrAbortHandler)
	}
}

func (k *call) log() {
	e := event.RequestServed
	if k.outcome != OutcomeServed {
		e = event.RequestFailed
	}
	kv := []any{
		"request", k.head.ID, "outcome", k.outcome, "status", k.status,
		"ms", time.Since(k.arrived).Milliseconds(), "first_ms", k.firstByte.Milliseconds(),
	}
	if k.cause != CauseNone {
		kv = append(kv, "cause", k.cause)
	}
	if k.table != nil {
		kv = append(kv, "config", k.table.Version())
	}
	if k.route != nil {
		kv = append(kv, "route", k.route.Name, "workspace", k.workspace.Name)
	}
	kv = append(kv, k.attempts.fields()...)
	if k.cause == CausePoolFull {
		kv = append(kv, "load", k.load.InFlight(), "own", k.load.Own, "slots", k.load.Slots, "expected_ms", k.admission.Expected.Milliseconds(),
			"bound_ms", k.admission.Bound.Milliseconds(), "surging", k.admission.Surging, "returning", k.admission.Retrying,
			"retry_after_ms", k.admission.RetryAfter.Milliseconds())
	}
	k.core.events.Emit(e, kv...)
}

// defaultBodyBytes bounds a body when the configuration states no limit.
const defaultBodyBytes = 4 << 20

// bodyMemory bounds the bytes of bodies that are held at the same time.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// take reserves n bytes unless that exceeds the limit.
func (b *bodyMemory) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyMemory) add(n int64) { b.used.Add(n) }
