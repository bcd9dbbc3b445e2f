package backendsim

import (
	"context"
	"sync"
	"time"
)

// Execution is one request that took effect, at Started; the delay follows.
type Execution struct {
	Server         string
	AttemptID      string
	IdempotencyKey string
	Fencing        uint64
	Method         string
	Path           string
	Body           string
	Started        time.Time
	// Ended is zero while the request is being executed.
	Ended time.Time
	// PoolInFlight and ServerInFlight count the requests being executed right
	// after the start, this one included.
	PoolInFlight   int
	ServerInFlight int
}

// Ledger records the executions of all servers of a pool under one lock. It is
// safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	records  []Execution
	fencing  map[string]uint64
	inFlight map[string]int
	total    int
	// started is closed and replaced at each start.
	started chan struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{fencing: map[string]uint64{}, inFlight: map[string]int{}, started: make(chan struct{})}
}

// begin records an execution and returns its index. It reports false, and
// records nothing, for an old fencing number.
func (l *Ledger) begin(x Execution, checkFencing bool) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x.IdempotencyKey != "" {
		if checkFencing && x.Fencing < l.fencing[x.IdempotencyKey] {
			return 0, false
		}
		l.fencing[x.IdempotencyKey] = max(x.Fencing, l.fencing[x.IdempotencyKey])
	}
	l.total++
	l.inFlight[x.Server]++
	x.PoolInFlight, x.ServerInFlight = l.total, l.inFlight[x.Server]
	l.records = append(l.records, x)
	close(l.started)
	l.started = make(chan struct{})
	return len(l.records) - 1, true
}

func (l *Ledger) end(i int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[i].Ended = now
	l.total--
	l.inFlight[l.records[i].Server]--
}

// Await returns once at least n executions have started since the ledger was
// made, or with the context's error.
func (l *Ledger) Await(ctx context.Context, n int) error {
	for {
		l.mu.Lock()
		count, started := len(l.records), l.started
		l.mu.Unlock()
		if count >= n {
			return nil
		}
		select {
		case <-started:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Executions returns a copy of all records in the order of their start.
func (l *Ledger) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.records...)
}

// ExecutedKey returns the executions with an idempotency key.
func (l *Ledger) ExecutedKey(key string) []Execution {
	var out []Execution
	for _, x := range l.Executions() {
		if x.IdempotencyKey == key {
			out = append(out, x)
		}
	}
	return out
}

// ExecutedAttempt returns the executions of an attempt.
func (l *Ledger) ExecutedAttempt(id string) []Execution {
	var out []Execution
	for _, x := range l.Executions() {
		if x.AttemptID == id {
			out = append(out, x)
		}
	}
	return out
}

// RepeatedKeys returns how often each idempotency key ran, for the keys that
// ran more than once.
func (l *Ledger) RepeatedKeys() map[string]int {
	counts := map[string]int{}
	for _, x := range l.Executions() {
		if x.IdempotencyKey != "" {
			counts[x.IdempotencyKey]++
		}
	}
	for k, n := range counts {
		if n < 2 {
			delete(counts, k)
		}
	}
	return counts
}
