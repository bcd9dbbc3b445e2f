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
	// restartedAt is when this router started, if it may have run before.
	restartedAt time.Time
}

// NewFleet returns a fleet of which nothing is known.
func NewFleet() *Fleet { return &Fleet{} }

// SetRestarted records that this router has started now and may have run before. What it has
// spent then is not known.
func (f *Fleet) SetRestarted(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restartedAt = now
}

// SetRouters records the number of routers that are heard now, this one included.
func (f *Fleet) SetRouters(now time.Time, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n >= f.routers || now.Sub(f.heardAt) > routersMemory {
		f.routers, f.heardAt = n, now
	}
}

// shares returns this router's shares of the ratio and of the extra. Its earlier process may have
// spent both within the last window; ratioMargin leaves a part of the ratio.
func (f *Fleet) shares(now time.Time, l Limits) (ratio, extra float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.restartedAt.IsZero() && now.Sub(f.restartedAt) <= l.Window {
		return (1 - ratioMargin) * l.Ratio, 0
	}
	return ratioMargin * l.Ratio, l.Extra / max(minRouters, (1+spareRouters)*float64(f.routers))
}
