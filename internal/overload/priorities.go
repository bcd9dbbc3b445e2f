package overload

import "time"

const (
	// maxPriority is the least urgent rank; less urgent priorities count as this one.
	maxPriority = 9
	// priorityWindow is how long a rank counts as in use after its last request.
	priorityWindow = 10 * time.Second
)

// recentPriorities records which priorities a pool receives, so that only these
// are ranked against each other.
type recentPriorities struct {
	last [maxPriority + 1]time.Time
}

// moreUrgent records a request and returns the number of more urgent ranks in use.
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
