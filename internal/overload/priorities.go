package overload

import "time"

const (
	// maxPriority is the least urgent priority; less urgent ones count as this one.
	maxPriority = 9
	// priorityWindow is how long a priority counts as in use after its last request.
	priorityWindow = 10 * time.Second
)

// MaxPriority is the least urgent priority.
const MaxPriority = maxPriority

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
