package cachehint

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/wakeup"
)

const (
	// eventBytes is the size of a typical event in JSON, headerBytes that of the
	// headers of a read in both directions. They convert the budget into a number
	// of events.
	eventBytes  = 200
	headerBytes = 300
	// minEvents and maxEvents bound the events of one read. A smaller read would
	// consist mostly of headers.
	minEvents = 8
	maxEvents = 512
	// maxAccumulation is the time for which unused budget accumulates.
	maxAccumulation = 1 * time.Minute
)

// estimateReadBytes returns the estimated control bytes of a read.
func estimateReadBytes(events int) float64 {
	return float64(meter.HTTPExchangeBytes(headerBytes + events*eventBytes))
}

// Budget is a token bucket of control bytes. It takes the time as an argument
// and is not safe for concurrent use.
type Budget struct {
	bytesPerSecond float64
	availableBytes float64
	refilledAt     time.Time
}

// SetRate sets the bytes per second; 0 stops all reads.
func (b *Budget) SetRate(now time.Time, bytesPerSecond int) {
	b.refill(now)
	b.bytesPerSecond = float64(bytesPerSecond)
	b.availableBytes = min(b.availableBytes, b.capacity())
}

// capacity returns the largest budget that accumulates. Even at a low rate it
// allows the smallest read.
func (b *Budget) capacity() float64 {
	if b.bytesPerSecond <= 0 {
		return 0
	}
	return max(b.bytesPerSecond*maxAccumulation.Seconds(), estimateReadBytes(minEvents))
}

func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.availableBytes = min(b.availableBytes+b.bytesPerSecond*now.Sub(b.refilledAt).Seconds(), b.capacity())
	}
	b.refilledAt = now
}

// NextRead returns the number of events that the next read may request. Without
// enough budget it returns 0 and the time at which there is enough; the zero
// time means never.
func (b *Budget) NextRead(now time.Time) (events int, readyAt time.Time) {
	b.refill(now)
	if b.bytesPerSecond <= 0 {
		return 0, time.Time{}
	}
	if missingBytes := estimateReadBytes(minEvents) - b.availableBytes; missingBytes > 0 {
		wait := time.Duration(missingBytes / b.bytesPerSecond * float64(time.Second))
		return 0, now.Add(wait + time.Millisecond)
	}
	return min(int((b.availableBytes-estimateReadBytes(0))/eventBytes), maxEvents), time.Time{}
}

// Spend charges a read that returned a number of events.
func (b *Budget) Spend(events int) {
	b.availableBytes -= estimateReadBytes(events)
}

// Source is the part of the engine client that the reader needs.
type Source interface {
	CacheEvents(ctx context.Context, after uint64, limit int) (engineclient.CacheEvents, error)
}

// Sink receives the hints; *admission.Pool implements it.
type Sink interface {
	ApplyCacheEvent(ev admission.CacheEvent)
	ApplyCacheGap(engine, bootID string, lost int)
}

// Deps holds the reader's dependencies.
type Deps struct {
	Clock clockwork.Clock
	Pool  Sink
	// Engine returns the client of an engine, or nil if it is not listed.
	Engine func(name string) Source
	Events *event.Logger
}

// Reader reads the events of a pool's engines in turn, as fast as its budget
// allows. It is safe for concurrent use.
type Reader struct {
	deps Deps
	tomb tomb.Tomb
	wake chan struct{}

	mu       sync.Mutex
	budget   Budget
	engines  []string
	trackers map[string]*Tracker
}

// NewReader returns a running reader that reads nothing until SetEngines.
func NewReader(deps Deps) *Reader {
	r := &Reader{deps: deps, wake: make(chan struct{}, 1), trackers: map[string]*Tracker{}}
	r.tomb.Go(r.run)
	return r
}

// Stop cancels a read in progress and does not wait.
func (r *Reader) Stop() {
	r.tomb.Kill(nil)
}

// Close cancels a read in progress and waits for its end.
func (r *Reader) Close() {
	r.Stop()
	_ = r.tomb.Wait()
}

// SetEngines replaces the engines and the budget in bytes per second; 0 stops all
// reads.
func (r *Reader) SetEngines(engines []string, bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines = append([]string(nil), engines...)
	r.budget.SetRate(r.deps.Clock.Now(), bytesPerSecond)
	listed := make(map[string]*Tracker, len(engines))
	for _, name := range engines {
		listed[name] = r.trackers[name]
		if listed[name] == nil {
			listed[name] = &Tracker{}
		}
	}
	r.trackers = listed
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Reader) run() error {
	ctx := r.tomb.Context(context.Background())
	for r.tomb.Alive() {
		engine, events, readyAt := r.nextRead()
		if engine != "" {
			r.read(ctx, engine, events)
			continue
		}
		wakeup.Wait(r.deps.Clock, readyAt, r.wake, r.tomb.Dying())
	}
	return nil
}

// nextRead returns the engine whose turn it is and moves it to the end of the
// list.
func (r *Reader) nextRead() (engine string, events int, readyAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events, readyAt = r.budget.NextRead(r.deps.Clock.Now())
	if events == 0 || len(r.engines) == 0 {
		return "", 0, readyAt
	}
	engine = r.engines[0]
	r.engines = append(r.engines[1:], engine)
	return engine, events, time.Time{}
}

// read reads one page. A failed read is charged like an empty one.
func (r *Reader) read(ctx context.Context, engine string, events int) {
	client := r.deps.Engine(engine)
	r.mu.Lock()
	tracker := r.trackers[engine]
	r.mu.Unlock()
	var page engineclient.CacheEvents
	if client != nil && tracker != nil {
		var err error
		if page, err = client.CacheEvents(ctx, tracker.LastSeq(), events); err == nil {
			r.apply(engine, tracker.Apply(engine, page), page.BootID)
		}
	}
	r.mu.Lock()
	r.budget.Spend(len(page.Events))
	r.mu.Unlock()
}

func (r *Reader) apply(engine string, u Update, bootID string) {
	if u.Lost > 0 {
		r.deps.Pool.ApplyCacheGap(engine, bootID, u.Lost)
		r.deps.Events.Emit(event.CacheEventGap, "engine", engine, "lost", u.Lost)
	}
	for _, h := range u.Hints {
		r.deps.Pool.ApplyCacheEvent(h)
	}
}
