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
	// minRateTime is how long a router must have been observed for a control rate.
	minRateTime = 5 * time.Second
	// minMeanLoad is the mean load per engine from which skew and load bound are
	// checked.
	minMeanLoad = 8.0
)

// skewSample is one sample of the ledger's skew and mean load.
type skewSample struct {
	at         time.Duration
	skew, mean float64
}

// controlTraffic is the control traffic of one router in the main phase. Bytes
// are counted by category.
type controlTraffic struct {
	start, end            time.Time
	firstBytes, lastBytes map[string]int64
}

// stopWindow is the period of a planned stop of a router.
type stopWindow struct {
	router   string
	from, to time.Time
}

// observations collects all measurements that do not come from callers.
type observations struct {
	mu       sync.Mutex
	skews    []skewSample
	controls map[string]*controlTraffic
	leaving  map[string]time.Time
	// terminations holds the times at which each engine lost its state.
	terminations map[string][]time.Time
	stops        []*stopWindow
	kills        []time.Duration
	records      []string
	inForceTimes []time.Duration
	// minOffset is the lowest next offset that a ready router may have: the
	// records below it were in force on all ready routers.
	minOffset     uint64
	offsets       map[string]uint64
	reversions    int
	maxTimerDelay time.Duration
	cpuBefore     time.Duration
	coresUsed     float64
	elapsed       time.Duration
	startTime     time.Time
}

func newObservations() *observations {
	return &observations{
		controls:     map[string]*controlTraffic{},
		leaving:      map[string]time.Time{},
		terminations: map[string][]time.Time{},
		offsets:      map[string]uint64{},
	}
}

func (o *observations) begin(b *testbed.Bed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startTime = time.Now()
	o.cpuBefore = cpuTime()
	for name, r := range b.Routers() {
		bytes := r.Status().Control.ByCategory
		o.controls[name] = &controlTraffic{start: o.startTime, end: o.startTime, firstBytes: bytes, lastBytes: bytes}
	}
}

func (o *observations) end(b *testbed.Bed) {
	for _, r := range b.Routers() {
		o.recordFinalStatus(r)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.elapsed = time.Since(o.startTime)
	o.coresUsed = (cpuTime() - o.cpuBefore).Seconds() / o.elapsed.Seconds()
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// recordFinalStatus records the status of a router before it ends or the run ends.
func (o *observations) recordFinalStatus(r *router.Router) {
	o.recordStatus(r.VM(), r.Status())
}

// recordStatus records a router's control traffic and counts a configuration that
// reverted.
func (o *observations) recordStatus(vm string, s status.Router) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.controls[vm]
	if c == nil {
		c = &controlTraffic{start: s.Started, firstBytes: map[string]int64{}}
		o.controls[vm] = c
	}
	c.end = time.Now()
	c.lastBytes = s.Control.ByCategory
	offset := s.Config.NextOffset
	if offset < o.offsets[vm] || s.Ready && offset < o.minOffset {
		o.reversions++
	}
	o.offsets[vm] = offset
}

func (r *run) sampleRouters(ctx context.Context) {
	runEvery(ctx, routerInterval, func() {
		for _, router := range r.bed.Routers() {
			r.observations.recordStatus(router.VM(), router.Status())
		}
	})
}

func (r *run) sampleSkew(ctx context.Context) {
	runEvery(ctx, skewInterval, func() {
		skew, mean := r.bed.EngineLedger.Skew()
		r.observations.addSkew(skewSample{at: time.Since(r.startTime), skew: skew, mean: mean})
	})
}

func (o *observations) addSkew(s skewSample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.skews = append(o.skews, s)
}

// sampleTimers measures how late timers fire. High values mean that the machine
// is too busy for the run.
func (r *run) sampleTimers(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		sleep(ctx, timerInterval)
		late := time.Since(before) - timerInterval
		r.observations.mu.Lock()
		r.observations.maxTimerDelay = max(r.observations.maxTimerDelay, late)
		r.observations.mu.Unlock()
	}
}

func (o *observations) recordLeaving(engine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving[engine] = time.Now()
}

// recordTermination records that an engine is about to lose its state.
func (o *observations) recordTermination(engine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.terminations[engine] = append(o.terminations[engine], time.Now())
}

// recordStop records the start of a planned stop; the returned function records
// its end.
func (o *observations) recordStop(vm string) func() {
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

func (o *observations) recordKill(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.kills = append(o.kills, at)
}

// randomIndex returns a random index below n. It locks because faults run in
// parallel.
func (o *observations) randomIndex(rng *rand.Rand, n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return rng.IntN(n)
}

// nextRecord returns the id of a new record and that of the record that it
// replaces. The first new record replaces the one with the id first.
func (o *observations) nextRecord(first string) (id, replaces string) {
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
		if r.configInForce(offset) {
			elapsed := time.Since(published)
			r.observations.recordInForce(offset, elapsed)
			return elapsed, nil
		}
		if ctx.Err() != nil {
			r.observations.recordInForce(0, time.Since(published))
			return 0, eris.Errorf("the record at offset %d is not in force on every ready router", offset)
		}
		sleep(ctx, configInterval)
	}
}

func (r *run) configInForce(offset uint64) bool {
	for _, router := range r.bed.Routers() {
		if s := router.Status(); s.Ready && s.Config.NextOffset <= offset {
			return false
		}
	}
	return true
}

func (o *observations) recordInForce(offset uint64, elapsed time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inForceTimes = append(o.inForceTimes, elapsed)
	if offset > 0 {
		o.minOffset = max(o.minOffset, offset+1)
	}
}

// Machine describes the machine of a run.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`
}

func newMachine() Machine {
	return Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
}
