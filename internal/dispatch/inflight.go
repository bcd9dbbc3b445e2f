package dispatch

import (
	"sync"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// InFlight lists the attempts that this router relays, by pool. A new owner
// of a pool asks for them. It is safe for concurrent use.
type InFlight struct {
	mu    sync.Mutex
	pools map[string]map[string]*peerpb.Attempt
}

func newInFlight() *InFlight {
	return &InFlight{pools: map[string]map[string]*peerpb.Attempt{}}
}

func (r *InFlight) add(pool string, a *peerpb.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempts := r.pools[pool]
	if attempts == nil {
		attempts = map[string]*peerpb.Attempt{}
		r.pools[pool] = attempts
	}
	attempts[a.AttemptId] = a
}

func (r *InFlight) remove(pool, attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pools[pool], attemptID)
}

// Attempts returns the attempts of a pool in flight.
func (r *InFlight) Attempts(pool string) []*peerpb.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*peerpb.Attempt, 0, len(r.pools[pool]))
	for _, a := range r.pools[pool] {
		list = append(list, a)
	}
	return list
}

// Count returns the number of attempts in flight in all pools.
func (r *InFlight) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, attempts := range r.pools {
		n += len(attempts)
	}
	return n
}
