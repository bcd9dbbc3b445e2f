package dispatch

import (
	"sync"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// InFlight is the registry of the attempts that this router relays, by pool. It
// is reported to new owners of pools. It is safe for concurrent use.
type InFlight struct {
	// onEnd is called at the end of each attempt that Attempts has returned. It
	// must not block.
	onEnd func(pool, attemptID string)

	mu    sync.Mutex
	pools map[string]map[string]*peerpb.Attempt
	// reported holds the attempts in flight that Attempts has returned.
	reported map[string]bool
}

// OnEnd sets the function that is called at the end of each attempt that was
// reported to a new owner. It must be called before the first request.
func (r *InFlight) OnEnd(f func(pool, attemptID string)) {
	r.onEnd = f
}

func newInFlight() *InFlight {
	return &InFlight{
		onEnd:    func(string, string) {},
		pools:    map[string]map[string]*peerpb.Attempt{},
		reported: map[string]bool{},
	}
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
	delete(r.pools[pool], attemptID)
	reported := r.reported[attemptID]
	delete(r.reported, attemptID)
	r.mu.Unlock()
	if reported {
		r.onEnd(pool, attemptID)
	}
}

// Attempts returns the attempts of a pool in flight, to be reported to a new
// owner. The function of OnEnd is called when they end.
func (r *InFlight) Attempts(pool string) []*peerpb.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*peerpb.Attempt, 0, len(r.pools[pool]))
	for _, a := range r.pools[pool] {
		list = append(list, a)
		r.reported[a.AttemptId] = true
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
