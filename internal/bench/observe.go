package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/status"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

const (
	skewInterval   = 1 * time.Second
	routerInterval = 200 * time.Millisecond
	configInterval = 10 * time.Millisecond
	timerInterval  = 10 * time.Millisecond
	// minRate is the shortest life of a router for a rate of control bytes.
	minRate = 5 * time.Second
	// minMean is the mean load from which skew and bound are judged.
	minMean = 8.0
)

// skewSample is one look at the ledger.
type skewSample struct {
	at         time.Duration
	skew, mean float64
}

// control is the control traffic of one router over the main phase.
type control struct {
	since, until time.Time
	first, last  map[string]int64
}

// stopWindow is the time of a planned stop of a router.
type stopWindow struct {
	router   string
	from, to time.Time
}

// observed collects what the bench sees from outside of the callers.
type observed struct {
	mu       sync.Mutex
	skews    []skewSample
	controls map[string]*control
	leaving  map[string]time.Time
	// deaths holds when each engine lost its state.
	deaths  map[string][]time.Time
	stops   []*stopWindow
	kills   []time.Duration
	records []string
	inForce []time.Duration
	// floor is the offset that is in force on all ready routers.
	floor      uint64
	offsets    map[string]uint64
	reversions int
	timerLate  time.Duration
	cpuBefore  time.Duration
	cores      float64
	elapsed    time.Duration
	beganAt    time.Time
}

func newObserved() *observed {
	return &observed{
		controls: map[string]*control{},
		leaving:  map[string]time.Time{},
		deaths:   map[string][]time.Time{},
		offsets:  map[string]uint64{},
	}
}

func (o *observed) begin(b *testbed.Bed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.beganAt = time.Now()
	o.cpuBefore = cpuTime()
	for name, r := range b.Routers() {
		bytes := r.Status().Control.ByCategory
		o.controls[name] = &control{since: o.beganAt, until: o.beganAt, first: bytes, last: bytes}
	}
}

func (o *observed) end(b *testbed.Bed) {
	for _, r := range b.Routers() {
		o.gone(r)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.elapsed = time.Since(o.beganAt)
	o.cores = (cpuTime() - o.cpuBefore).Seconds() / o.elapsed.Seconds()
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// gone takes the last look at a router.
func (o *observed) gone(r *router.Router) {
	o.look(r.VM(), r.Status())
}

// look keeps a router's control traffic and checks its configuration.
func (o *observed) look(vm string, s status.Router) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.controls[vm]
	if c == nil {
		c = &control{since: s.Started, first: map[string]int64{}}
		o.controls[vm] = c
	}
	c.until = time.Now()
	c.last = s.Control.ByCategory
	offset := s.Config.NextOffset
	if offset < o.offsets[vm] || s.Ready && offset < o.floor {
		o.reversions++
	}
	o.offsets[vm] = offset
}

func (r *run) sampleRouters(ctx context.Context) {
	every(ctx, routerInterval, func() {
		for _, router := range r.bed.Routers() {
			r.observed.look(router.VM(), router.Status())
		}
	})
}

func (r *run) sampleSkew(ctx context.Context) {
	every(ctx, skewInterval, func() {
		skew, mean := r.bed.Pool.Skew()
		r.observed.addSkew(skewSample{at: time.Since(r.began), skew: skew, mean: mean})
	})
}

func (o *observed) addSkew(s skewSample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.skews = append(o.skews, s)
}

// sampleTimers measures how late timers fire. A machine that is too busy for
// the run shows in it.
func (r *run) sampleTimers(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		pauseFor(ctx, timerInterval)
		late := time.Since(before) - timerInterval
		r.observed.mu.Lock()
		r.observed.timerLate = max(r.observed.timerLate, late)
		r.observed.mu.Unlock()
	}
}

func (o *observed) left(engine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[engine] = time.Now()
}

// dies notes that an engine is about to lose its state.
func (o *observed) dies(engine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deaths[engine] = append(o.deaths[engine], time.Now())
}

// stopping notes the start of a planned stop; the returned function notes its
// end.
func (o *observed) stopping(vm string) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := &stopWindow{router: vm, from: time.Now()}
	o.stops = append(o.stops, w)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		w.to = time.Now()
	}
}

func (o *observed) killed(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.kills = append(o.kills, at)
}

// draw returns a random index; faults run in parallel.
func (o *observed) draw(rng *rand.Rand, n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return rng.IntN(n)
}

// nextRecord returns the id of a new record and that of the record that it
// replaces.
func (o *observed) nextRecord(first string) (id, replaces string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	replaces = first
	if n := len(o.records); n > 0 {
		replaces = o.records[n-1]
	}
	id = fmt.Sprintf("bench-%d", len(o.records)+1)
	o.records = append(o.records, id)
	return id, replaces
}

// awaitConfig waits until every ready router has a record in force.
func (r *run) awaitConfig(ctx context.Context, published time.Time, offset uint64) (time.Duration, error) {
	for {
		if r.inForce(offset) {
			took := time.Since(published)
			r.observed.accepted(offset, took)
			return took, nil
		}
		if ctx.Err() != nil {
			r.observed.accepted(0, time.Since(published))
			return 0, eris.Errorf("the record at offset %d is not in force on every ready router", offset)
		}
		pauseFor(ctx, configInterval)
	}
}

func (r *run) inForce(offset uint64) bool {
	for _, router := range r.bed.Routers() {
		if s := router.Status(); s.Ready && s.Config.NextOffset <= offset {
			return false
		}
	}
	return true
}

func (o *observed) accepted(offset uint64, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inForce = append(o.inForce, took)
	if offset > 0 {
		o.floor = max(o.floor, offset+1)
	}
}

// Machine describes where a run took place.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`
}

func machine() Machine {
	return Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
}
