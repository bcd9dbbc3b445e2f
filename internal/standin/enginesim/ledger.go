package enginesim

import (
	"context"
	"math"
	"sync"
	"time"
)

// Values of Record.EndState.
const (
	EndFinished  = "finished"
	EndCancelled = "cancelled"
	// EndExpired marks an attempt whose deadline passed in the engine's queue.
	EndExpired = "expired"
	// EndLost marks an attempt that was lost in a crash of its engine.
	EndLost = "lost"
)

// Record is what one engine did for one attempt.
type Record struct {
	Engine         string
	AttemptID      string
	RequestID      string
	Workspace      string
	IdempotencyKey string
	PrefixKey      string
	SystemKey      string
	Priority       string
	// Accepted is when the attempt entered the engine, Started when it took a
	// slot, FirstToken when its first token was ready. A zero Started means
	// that the attempt was never executed.
	Accepted, Started, FirstToken, Ended time.Time
	PromptTokens                         int
	CachedTokens                         int
	// Tokens is the number of generated tokens.
	Tokens int
	// PoolInFlight and EngineInFlight count the accepted attempts without an
	// end, this one included, at the moment of acceptance.
	PoolInFlight   int
	EngineInFlight int
	// Engines, Weight and PoolWeight describe the pool at that moment.
	Engines    int
	Weight     float64
	PoolWeight float64
	// EndState is empty while the attempt is in flight.
	EndState string
}

// Executed reports whether the attempt took a slot.
func (r Record) Executed() bool {
	return !r.Started.IsZero()
}

// Bound returns the largest number of attempts in flight that the engine may
// have after the acceptance of this attempt.
func (r Record) Bound(multiple float64) int {
	return int(math.Ceil(multiple * float64(r.PoolInFlight) * r.Weight / r.PoolWeight))
}

// Ledger records the attempts of all engines of a pool under one lock. It is
// safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	records  []Record
	inFlight map[string]int
	weights  map[string]float64
	total    int
	// accepted is closed and replaced at each acceptance.
	accepted chan struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{inFlight: map[string]int{}, weights: map[string]float64{}, accepted: make(chan struct{})}
}

// Join counts an engine as a member of the pool. Engines join by themselves
// when they are created or restarted.
func (l *Ledger) Join(engine string, weight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights[engine] = weight
}

// Leave removes an engine from the pool, so that it no longer counts in the mean
// load.
func (l *Ledger) Leave(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.weights, engine)
}

// begin records an accepted attempt and returns its index.
func (l *Ledger) begin(r Record) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.inFlight[r.Engine]++
	r.PoolInFlight = l.total
	r.EngineInFlight = l.inFlight[r.Engine]
	r.Engines = len(l.weights)
	r.Weight = l.weights[r.Engine]
	for _, w := range l.weights {
		r.PoolWeight += w
	}
	l.records = append(l.records, r)
	close(l.accepted)
	l.accepted = make(chan struct{})
	return len(l.records) - 1
}

// Await returns once at least n attempts have been accepted since the ledger
// was made, or with the context's error.
func (l *Ledger) Await(ctx context.Context, n int) error {
	for {
		l.mu.Lock()
		count, accepted := len(l.records), l.accepted
		l.mu.Unlock()
		if count >= n {
			return nil
		}
		select {
		case <-accepted:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Ledger) start(i int, now time.Time, cached int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[i].Started = now
	l.records[i].CachedTokens = cached
}

func (l *Ledger) recordFirstToken(i int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[i].FirstToken = now
}

func (l *Ledger) end(i int, now time.Time, tokens int, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.records[i]
	r.Ended, r.Tokens, r.EndState = now, tokens, outcome
	l.total--
	l.inFlight[r.Engine]--
}

// Records returns a copy of all records in the order of acceptance.
func (l *Ledger) Records() []Record {
	return l.filter(func(*Record) bool { return true })
}

func (l *Ledger) filter(keep func(*Record) bool) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for i := range l.records {
		if keep(&l.records[i]) {
			out = append(out, l.records[i])
		}
	}
	return out
}

// ExecutedRequest returns the executed attempts of a request.
func (l *Ledger) ExecutedRequest(requestID string) []Record {
	return l.filter(func(r *Record) bool { return r.RequestID == requestID && r.Executed() })
}

// ExecutedKey returns the executed attempts with an idempotency key.
func (l *Ledger) ExecutedKey(workspace, key string) []Record {
	return l.filter(func(r *Record) bool {
		return r.Workspace == workspace && r.IdempotencyKey == key && r.Executed()
	})
}

// RepeatedKeys returns how often each idempotency key ran, for the keys that
// ran more than once. The map's keys are workspace, slash, idempotency key.
func (l *Ledger) RepeatedKeys() map[string]int {
	counts := map[string]int{}
	for _, r := range l.filter(func(r *Record) bool { return r.IdempotencyKey != "" && r.Executed() }) {
		counts[r.Workspace+"/"+r.IdempotencyKey]++
	}
	for k, n := range counts {
		if n < 2 {
			delete(counts, k)
		}
	}
	return counts
}

// BoundViolations returns the records whose engine was over the bound after
// acceptance, at a mean of at least minMean attempts in flight for each engine.
// Records of engines outside the pool are left out.
func (l *Ledger) BoundViolations(multiple, minMean float64) []Record {
	return l.filter(func(r *Record) bool {
		if r.Weight == 0 || float64(r.PoolInFlight) < minMean*float64(r.Engines) {
			return false
		}
		return r.EngineInFlight > r.Bound(multiple)
	})
}

// InFlight returns the attempts in flight of the pool and of each engine that
// is a member or still has some.
func (l *Ledger) InFlight() (total int, engines map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	engines = make(map[string]int, len(l.inFlight))
	for name := range l.weights {
		engines[name] = 0
	}
	for name, n := range l.inFlight {
		if n > 0 {
			engines[name] = n
		}
	}
	return l.total, engines
}

// Skew returns the load of the busiest member over the mean of the members,
// each divided by its weight, and the mean. Skew is 0 when nothing is in flight.
func (l *Ledger) Skew() (skew, mean float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	busiest, sum, weight := 0.0, 0, 0.0
	for name, w := range l.weights {
		n := l.inFlight[name]
		sum += n
		weight += w
		busiest = max(busiest, float64(n)/w)
	}
	if sum == 0 {
		return 0, 0
	}
	return busiest / (float64(sum) / weight), float64(sum) / float64(len(l.weights))
}

// PromptTotals returns the prompt tokens and the cached prompt tokens of all
// executed attempts.
func (l *Ledger) PromptTotals() (prompt, cached int) {
	for _, r := range l.filter(func(r *Record) bool { return r.Executed() }) {
		prompt += r.PromptTokens
		cached += r.CachedTokens
	}
	return prompt, cached
}
