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
func (f *InFlight) OnEnd(onEnd func(pool, attemptID string)) {
	f.onEnd = onEnd
}

func newInFlight() *InFlight {
	return &InFlight{
		onEnd:    func(string, string) {},
		pools:    map[string]map[string]*peerpb.Attempt{},
		reported: map[string]bool{},
	}
}

func (f *InFlight) add(pool string, a *peerpb.Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.pools[pool]
	if attempts == nil {
		attempts = map[string]*peerpb.Attempt{}
		f.pools[pool] = attempts
	}
	attempts[a.AttemptId] = a
}

func (f *InFlight) remove(pool, attemptID string) {
	f.mu.Lock()
	delete(f.pools[pool], attemptID)
	reported := f.reported[attemptID]
	delete(f.reported, attemptID)
	f.mu.Unlock()
	if reported {
		f.onEnd(pool, attemptID)
	}
}

// Attempts returns the attempts of a pool in flight, to be reported to a new
// owner. The function of OnEnd is called when they end.
func (f *InFlight) Attempts(pool string) []*peerpb.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*peerpb.Attempt, 0, len(f.pools[pool]))
	for _, a := range f.pools[pool] {
		list = append(list, a)
		f.reported[a.AttemptId] = true
	}
	return list
}

// Count returns the number of attempts in flight in all pools.
func (f *InFlight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, attempts := range f.pools {
		n += len(attempts)
	}
	return n
}
