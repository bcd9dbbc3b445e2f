package enginesim

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/standin/simserver"
)

// States of an attempt.
const (
	stateWaiting   = "waiting"
	stateRunning   = "running"
	stateFinished  = EndFinished
	stateCancelled = EndCancelled
	stateExpired   = EndExpired
)

// numPriorities is the number of queues: lookup, standard, review.
const numPriorities = 3

// attempt is one execution of a request. Engine.mu guards it, except for the
// fields that are set once before it is shared.
type attempt struct {
	id, requestID, model string
	prefixKey, systemKey string
	priority             int
	promptTokens         int
	systemTokens         int
	// limited tells whether max_tokens sets the length.
	limited  bool
	tokens   int
	gen      generated
	record   int
	deadline time.Time

	state                  string
	cached                 int
	made                   int
	queued, started, ended time.Time
	nextAt                 time.Time
	subscribers            map[chan struct{}]struct{}
}

func (a *attempt) over() bool {
	return a.state != stateWaiting && a.state != stateRunning
}

// life is the state that an engine loses when it dies.
type life struct {
	bootID    string
	dead      chan struct{}
	attempts  map[string]*attempt
	byRequest map[string][]string
	// ended lists the attempts that are over, oldest first.
	ended   []*attempt
	queues  [numPriorities][]*attempt
	running []*attempt
	cache   *prefixCache
	events  []CacheEvent
	nextSeq uint64
	models  map[string]ModelState
	fencing uint64
	lastID  string
}

// Engine is one emulated engine. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	clock  clockwork.Clock
	ledger *Ledger
	tomb   tomb.Tomb
	poke   chan struct{}
	mux    *http.ServeMux
	server simserver.Server

	mu       sync.Mutex
	life     *life
	faults   Faults
	cuts     int
	changed  chan struct{}
	pausedAt time.Time
	gate     chan struct{}
	// down is set from death to restart, so that a request that was already
	// read does not run in the next life.
	down   bool
	orders []OrderRecord
}

// New returns a running engine that serves no address yet.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:     cfg,
		clock:   cfg.Clock,
		ledger:  cfg.Ledger,
		poke:    make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	e.mux = e.routes()
	e.life = e.newLife()
	e.ledger.Join(cfg.Name, cfg.Weight)
	e.tomb.Go(e.run)
	return e
}

func (e *Engine) newLife() *life {
	l := &life{
		bootID:    randomID(),
		dead:      make(chan struct{}),
		attempts:  map[string]*attempt{},
		byRequest: map[string][]string{},
		nextSeq:   1,
		models:    map[string]ModelState{},
	}
	l.cache = newPrefixCache(e.cfg.CacheTokens, func(op string, c *cacheEntry) { e.addCacheEvent(l, op, c) })
	return l
}

func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Name returns the engine's name.
func (e *Engine) Name() string {
	return e.cfg.Name
}

// Ledger returns the ledger that the engine writes.
func (e *Engine) Ledger() *Ledger {
	return e.ledger
}

// BootID returns the id of the engine's current life.
func (e *Engine) BootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.bootID
}

// CachedTokens returns how many tokens of a prompt are in the prefix cache. It
// does not count as a use of the entries.
func (e *Engine) CachedTokens(prefixKey, systemKey string, promptTokens int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.cache.cached(prefixKey, systemKey, promptTokens)
}

// InFlight returns the running and the waiting attempts.
func (e *Engine) InFlight() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.life.running), e.life.waiting()
}

// SetFaults replaces the fault switches and releases requests that hang.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.cuts = f.CutTimes
	close(e.changed)
	e.changed = make(chan struct{})
}

// Pause stops generation and all answers until Resume. Requests are accepted
// by the operating system but not read.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gate != nil {
		return
	}
	e.gate = make(chan struct{})
	e.pausedAt = e.clock.Now()
}

// Resume ends a pause. Running attempts go on where they stood; the pause
// does not count as generation time.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gate == nil {
		return
	}
	paused := e.clock.Now().Sub(e.pausedAt)
	for _, a := range e.life.running {
		a.nextAt = a.nextAt.Add(paused)
	}
	close(e.gate)
	e.gate = nil
	e.wake()
}

// Die loses all state, cuts all connections and refuses new ones until Restart.
func (e *Engine) Die() {
	e.mu.Lock()
	e.kill()
	e.mu.Unlock()
	e.ledger.Leave(e.cfg.Name)
	e.server.Close()
}

// Restart brings a dead engine back with empty state and a new boot id, on the
// address that Start returned.
func (e *Engine) Restart() error {
	e.ledger.Join(e.cfg.Name, e.cfg.Weight)
	e.mu.Lock()
	e.down = false
	e.mu.Unlock()
	return e.server.Reopen()
}

// kill replaces the life. The caller holds mu.
func (e *Engine) kill() {
	old := e.life
	now := e.clock.Now()
	for _, a := range old.attempts {
		if !a.over() {
			a.state = EndLost
			e.ledger.end(a.record, now, a.made, EndLost)
		}
	}
	e.down = true
	close(old.dead)
	e.life = e.newLife()
	if e.gate != nil {
		close(e.gate)
		e.gate = nil
	}
}

// Close stops the engine and its server.
func (e *Engine) Close() {
	e.tomb.Kill(nil)
	_ = e.tomb.Wait()
	e.Die()
}

// wake makes the scheduler take a step.
func (e *Engine) wake() {
	select {
	case e.poke <- struct{}{}:
	default:
	}
}

// run is the scheduler. One goroutine drives all attempts of the engine, which
// keeps hundreds of streams cheap.
func (e *Engine) run() error {
	for {
		delay, armed := e.stepNow()
		if !e.sleep(delay, armed) {
			return nil
		}
	}
}

func (e *Engine) stepNow() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	next := e.step(now)
	if next.IsZero() {
		return 0, false
	}
	return max(next.Sub(now), e.cfg.Tick), true
}

// sleep waits for the delay or a wake-up, and reports false when the engine is closed.
func (e *Engine) sleep(delay time.Duration, armed bool) bool {
	var fire <-chan time.Time
	if armed {
		timer := e.clock.NewTimer(delay)
		defer timer.Stop()
		fire = timer.Chan()
	}
	select {
	case <-e.tomb.Dying():
		return false
	case <-e.poke:
	case <-fire:
	}
	return true
}

// step does all work that is due and returns the time of the next, or zero.
func (e *Engine) step(now time.Time) time.Time {
	if e.gate != nil {
		return time.Time{}
	}
	l := e.life
	e.dropExpired(l, now)
	e.advanceAll(l, now)
	for len(l.running) < e.cfg.Slots && l.waiting() > 0 {
		e.start(l, l.pop(), now)
	}
	l.forget(now.Add(-e.cfg.AnswerKeep))
	return l.nextDue()
}

func (e *Engine) advanceAll(l *life, now time.Time) {
	still := l.running[:0]
	for _, a := range l.running {
		e.advance(a, now)
		if a.made < a.tokens {
			still = append(still, a)
			continue
		}
		e.end(l, a, now, stateFinished)
	}
	clear(l.running[len(still):])
	l.running = still
}

// advance generates the tokens that are due.
func (e *Engine) advance(a *attempt, now time.Time) {
	before := a.made
	for a.made < a.tokens && !a.nextAt.After(now) {
		a.made++
		a.nextAt = a.nextAt.Add(e.scaled(e.cfg.PerToken))
	}
	if a.made == before {
		return
	}
	if before == 0 {
		e.life.cache.store(a.prefixKey, a.systemKey, a.promptTokens, a.systemTokens)
		e.ledger.firstToken(a.record, now)
	}
	a.notify()
}

// start gives an attempt a slot. Its prompt enters the cache with the first token.
func (e *Engine) start(l *life, a *attempt, now time.Time) {
	a.state = stateRunning
	a.started = now
	a.cached = l.cache.cached(a.prefixKey, a.systemKey, a.promptTokens)
	prefill := time.Duration(a.promptTokens-a.cached) * e.scaled(e.cfg.PrefillPerToken)
	a.nextAt = now.Add(prefill + e.scaled(e.cfg.PerToken))
	l.running = append(l.running, a)
	e.ledger.start(a.record, now, a.cached)
	a.notify()
}

// end closes an attempt that the caller has taken out of queue or slots.
func (e *Engine) end(l *life, a *attempt, now time.Time, state string) {
	a.state = state
	a.ended = now
	l.ended = append(l.ended, a)
	e.ledger.end(a.record, now, a.made, state)
	a.notify()
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	f := e.cfg.TimeScale
	if e.faults.Slow > 0 {
		f *= e.faults.Slow
	}
	return time.Duration(float64(d) * f)
}

// dropExpired ends waiting attempts whose deadline has passed.
func (e *Engine) dropExpired(l *life, now time.Time) {
	for p, q := range l.queues {
		still := q[:0]
		for _, a := range q {
			if a.deadline.IsZero() || a.deadline.After(now) {
				still = append(still, a)
				continue
			}
			e.end(l, a, now, stateExpired)
		}
		clear(q[len(still):])
		l.queues[p] = still
	}
}

// cancel ends an attempt. The caller holds mu.
func (e *Engine) cancel(a *attempt) {
	if a.over() {
		return
	}
	l := e.life
	for p := range l.queues {
		l.queues[p] = remove(l.queues[p], a)
	}
	l.running = remove(l.running, a)
	e.end(l, a, e.clock.Now(), stateCancelled)
	e.wake()
}

func remove(list []*attempt, a *attempt) []*attempt {
	for i, other := range list {
		if other == a {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

func (a *attempt) notify() {
	for ch := range a.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func (l *life) waiting() int {
	n := 0
	for _, q := range l.queues {
		n += len(q)
	}
	return n
}

// pop takes the first attempt of the most urgent queue that has one.
func (l *life) pop() *attempt {
	for p, q := range l.queues {
		if len(q) == 0 {
			continue
		}
		l.queues[p] = q[1:]
		return q[0]
	}
	return nil
}

// forget drops answers that ended before the limit.
func (l *life) forget(limit time.Time) {
	for len(l.ended) > 0 && l.ended[0].ended.Before(limit) {
		a := l.ended[0]
		l.ended = l.ended[1:]
		delete(l.attempts, a.id)
		l.forgetRequest(a)
	}
}

func (l *life) forgetRequest(a *attempt) {
	ids := slices.DeleteFunc(l.byRequest[a.requestID], func(id string) bool { return id == a.id })
	l.byRequest[a.requestID] = ids
	if len(ids) == 0 {
		delete(l.byRequest, a.requestID)
	}
}

func (l *life) nextDue() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, a := range l.running {
		earlier(a.nextAt)
	}
	for _, q := range l.queues {
		for _, a := range q {
			earlier(a.deadline)
		}
	}
	return next
}
