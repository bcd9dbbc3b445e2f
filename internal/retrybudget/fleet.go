package retrybudget

import (
	"sync"
	"time"
)

// routersMemory is how long a router shares the extra with routers that it no longer hears.
// Data centres may lose each other for minutes, while each still reaches the servers.
const routersMemory = 10 * time.Minute

// Fleet is what the budgets of a router know of the routers that share them. It is safe for
// concurrent use.
type Fleet struct {
	mu sync.Mutex
	// routers is the largest number of routers within routersMemory, and heardAt when there
	// were so many last.
	routers int
	heardAt time.Time
}

// NewFleet returns a fleet of which nothing is known.
func NewFleet() *Fleet { return &Fleet{} }

// SetRouters records the number of routers that are heard now, this one included.
func (f *Fleet) SetRouters(now time.Time, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n >= f.routers || now.Sub(f.heardAt) > routersMemory {
		f.routers, f.heardAt = n, now
	}
}

// share returns this router's share of an extra.
func (f *Fleet) share(extra float64) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return extra / max(minRouters, (1+spareRouters)*float64(f.routers))
}
