package overload

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

const (
	maxPriority = routing.MaxPriority
	// priorityWindow is how long a priority counts as in use after its last request.
	priorityWindow = 10 * time.Second
)

// recentPriorities records which priorities a pool receives, so that only these
// count as more urgent than others.
type recentPriorities struct {
	last [maxPriority + 1]time.Time
}

// moreUrgent records a request and returns the number of more urgent priorities in
// use.
func (r *recentPriorities) moreUrgent(now time.Time, priority int) int {
	p := min(max(priority, 0), maxPriority)
	r.last[p] = now
	n := 0
	for _, at := range r.last[:p] {
		if !at.IsZero() && now.Sub(at) <= priorityWindow {
			n++
		}
	}
	return n
}
