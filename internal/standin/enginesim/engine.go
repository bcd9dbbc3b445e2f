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
	// limited is set if max_tokens sets the length.
	limited     bool
	tokens      int
	generated   generatedText
	recordIndex int
	deadline    time.Time

	state                  string
	cachedTokens           int
	generatedTokens        int
	queued, started, ended time.Time
	nextAt                 time.Time
	subscribers            map[chan struct{}]struct{}
}

func (a *attempt) hasEnded() bool {
	return a.state != stateWaiting && a.state != stateRunning
}

// bootState is the state that an engine loses in a crash.
type bootState struct {
	bootID    string
	crashed   chan struct{}
	attempts  map[string]*attempt
	byRequest map[string][]string
	// ended lists the attempts that have ended, oldest first.
	ended       []*attempt
	queues      [numPriorities][]*attempt
	running     []*attempt
	cache       *prefixCache
	events      []CacheEvent
	nextSeq     uint64
	models      map[string]ModelState
	fencing     uint64
	lastOrderID string
}

// Engine is one emulated engine. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	clock  clockwork.Clock
	ledger *Ledger
	tomb   tomb.Tomb
	wakeup chan struct{}
	mux    *http.ServeMux
	server simserver.Server

	mu            sync.Mutex
	bootState     *bootState
	faults        Faults
	remainingCuts int
	changed       chan struct{}
	pausedAt      time.Time
	// resumed is closed when a pause ends; nil while the engine is not paused.
	resumed chan struct{}
	// down is set from a crash to the restart, so that a request that was
	// already read does not run after the restart.
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
		wakeup:  make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	e.mux = e.routes()
	e.bootState = e.newBootState()
	e.ledger.Join(cfg.Name, cfg.Weight)
	e.tomb.Go(e.run)
	return e
}

func (e *Engine) newBootState() *bootState {
	boot := &bootState{
		bootID:    randomID(),
		crashed:   make(chan struct{}),
		attempts:  map[string]*attempt{},
		byRequest: map[string][]string{},
		nextSeq:   1,
		models:    map[string]ModelState{},
	}
	boot.cache = newPrefixCache(e.cfg.CacheTokens, func(op string, c *cacheEntry) { e.addCacheEvent(boot, op, c) })
	return boot
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

// BootID returns the id of the engine's current boot.
func (e *Engine) BootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootState.bootID
}

// CachedTokens returns how many tokens of a prompt are in the prefix cache. It
// does not count as a use of the entries.
func (e *Engine) CachedTokens(prefixKey, systemKey string, promptTokens int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootState.cache.cachedTokens(prefixKey, systemKey, promptTokens)
}

// InFlight returns the running and the waiting attempts.
func (e *Engine) InFlight() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.bootState.running), e.bootState.waiting()
}

// SetFaults replaces the fault switches and releases requests that hang.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.remainingCuts = f.MaxCuts
	close(e.changed)
	e.changed = make(chan struct{})
}

// Pause stops generation and all answers until Resume. Requests are accepted
// by the operating system but not read.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumed != nil {
		return
	}
	e.resumed = make(chan struct{})
	e.pausedAt = e.clock.Now()
}

// Resume ends a pause. Running attempts continue; the pause does not count as
// generation time.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumed == nil {
		return
	}
	paused := e.clock.Now().Sub(e.pausedAt)
	for _, a := range e.bootState.running {
		a.nextAt = a.nextAt.Add(paused)
	}
	close(e.resumed)
	e.resumed = nil
	e.wake()
}

// Crash loses all state, cuts all connections and refuses new ones until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.loseState()
	e.mu.Unlock()
	e.ledger.Leave(e.cfg.Name)
	e.server.Close()
}

// Restart starts a crashed engine with empty state and a new boot id, on the
// address that Start returned.
func (e *Engine) Restart() error {
	e.ledger.Join(e.cfg.Name, e.cfg.Weight)
	e.mu.Lock()
	e.down = false
	e.mu.Unlock()
	return e.server.Reopen()
}

// loseState replaces the boot state; attempts in flight end as lost. The caller
// holds mu.
func (e *Engine) loseState() {
	old := e.bootState
	now := e.clock.Now()
	for _, a := range old.attempts {
		if !a.hasEnded() {
			a.state = EndLost
			e.ledger.end(a.recordIndex, now, a.generatedTokens, EndLost)
		}
	}
	e.down = true
	close(old.crashed)
	e.bootState = e.newBootState()
	if e.resumed != nil {
		close(e.resumed)
		e.resumed = nil
	}
}

// Close stops the engine and its server.
func (e *Engine) Close() {
	e.tomb.Kill(nil)
	_ = e.tomb.Wait()
	e.Crash()
}

// wake makes the scheduler take a step.
func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// run is the scheduler. One goroutine drives all attempts of the engine, so
// that hundreds of streams have little overhead.
func (e *Engine) run() error {
	for {
		delay, armed := e.stepAndDelay()
		if !e.sleep(delay, armed) {
			return nil
		}
	}
}

func (e *Engine) stepAndDelay() (time.Duration, bool) {
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
	var expired <-chan time.Time
	if armed {
		timer := e.clock.NewTimer(delay)
		defer timer.Stop()
		expired = timer.Chan()
	}
	select {
	case <-e.tomb.Dying():
		return false
	case <-e.wakeup:
	case <-expired:
	}
	return true
}

// step does all work that is due and returns when the next is due, or zero.
func (e *Engine) step(now time.Time) time.Time {
	if e.resumed != nil {
		return time.Time{}
	}
	boot := e.bootState
	e.dropExpired(boot, now)
	e.advanceAll(boot, now)
	for len(boot.running) < e.cfg.Slots && boot.waiting() > 0 {
		e.start(boot, boot.pop(), now)
	}
	boot.dropAnswersBefore(now.Add(-e.cfg.AnswerRetention))
	return boot.nextDue()
}

func (e *Engine) advanceAll(boot *bootState, now time.Time) {
	remaining := boot.running[:0]
	for _, a := range boot.running {
		e.advance(a, now)
		if a.generatedTokens < a.tokens {
			remaining = append(remaining, a)
			continue
		}
		e.end(boot, a, now, stateFinished)
	}
	clear(boot.running[len(remaining):])
	boot.running = remaining
}

// advance generates the tokens that are due.
func (e *Engine) advance(a *attempt, now time.Time) {
	before := a.generatedTokens
	for a.generatedTokens < a.tokens && !a.nextAt.After(now) {
		a.generatedTokens++
		a.nextAt = a.nextAt.Add(e.scaleTime(e.cfg.DecodePerToken))
	}
	if a.generatedTokens == before {
		return
	}
	if before == 0 {
		e.bootState.cache.store(a.prefixKey, a.systemKey, a.promptTokens, a.systemTokens)
		e.ledger.recordFirstToken(a.recordIndex, now)
	}
	a.notify()
}

// start gives an attempt a slot. Its prompt enters the cache with the first token.
func (e *Engine) start(boot *bootState, a *attempt, now time.Time) {
	a.state = stateRunning
	a.started = now
	a.cachedTokens = boot.cache.cachedTokens(a.prefixKey, a.systemKey, a.promptTokens)
	prefill := time.Duration(a.promptTokens-a.cachedTokens) * e.scaleTime(e.cfg.PrefillPerToken)
	a.nextAt = now.Add(prefill + e.scaleTime(e.cfg.DecodePerToken))
	boot.running = append(boot.running, a)
	e.ledger.start(a.recordIndex, now, a.cachedTokens)
	a.notify()
}

// end ends an attempt that the caller has removed from its queue or slot.
func (e *Engine) end(boot *bootState, a *attempt, now time.Time, state string) {
	a.state = state
	a.ended = now
	boot.ended = append(boot.ended, a)
	e.ledger.end(a.recordIndex, now, a.generatedTokens, state)
	a.notify()
}

func (e *Engine) scaleTime(d time.Duration) time.Duration {
	f := e.cfg.TimeScale
	if e.faults.SlowFactor > 0 {
		f *= e.faults.SlowFactor
	}
	return time.Duration(float64(d) * f)
}

// dropExpired ends waiting attempts whose deadline has passed.
func (e *Engine) dropExpired(boot *bootState, now time.Time) {
	for p, q := range boot.queues {
		remaining := q[:0]
		for _, a := range q {
			if a.deadline.IsZero() || a.deadline.After(now) {
				remaining = append(remaining, a)
				continue
			}
			e.end(boot, a, now, stateExpired)
		}
		clear(q[len(remaining):])
		boot.queues[p] = remaining
	}
}

// cancel ends an attempt. The caller holds mu.
func (e *Engine) cancel(a *attempt) {
	if a.hasEnded() {
		return
	}
	boot := e.bootState
	for p := range boot.queues {
		boot.queues[p] = removeAttempt(boot.queues[p], a)
	}
	boot.running = removeAttempt(boot.running, a)
	e.end(boot, a, e.clock.Now(), stateCancelled)
	e.wake()
}

func removeAttempt(list []*attempt, a *attempt) []*attempt {
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

func (b *bootState) waiting() int {
	n := 0
	for _, q := range b.queues {
		n += len(q)
	}
	return n
}

// pop takes the first attempt of the most urgent queue that has one.
func (b *bootState) pop() *attempt {
	for p, q := range b.queues {
		if len(q) == 0 {
			continue
		}
		b.queues[p] = q[1:]
		return q[0]
	}
	return nil
}

// dropAnswersBefore drops the attempts that ended before limit.
func (b *bootState) dropAnswersBefore(limit time.Time) {
	for len(b.ended) > 0 && b.ended[0].ended.Before(limit) {
		a := b.ended[0]
		b.ended = b.ended[1:]
		delete(b.attempts, a.id)
		b.removeFromRequest(a)
	}
}

func (b *bootState) removeFromRequest(a *attempt) {
	ids := slices.DeleteFunc(b.byRequest[a.requestID], func(id string) bool { return id == a.id })
	b.byRequest[a.requestID] = ids
	if len(ids) == 0 {
		delete(b.byRequest, a.requestID)
	}
}

func (b *bootState) nextDue() time.Time {
	var next time.Time
	keepEarliest := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, a := range b.running {
		keepEarliest(a.nextAt)
	}
	for _, q := range b.queues {
		for _, a := range q {
			keepEarliest(a.deadline)
		}
	}
	return next
}
