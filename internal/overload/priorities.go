package overload

import "time"

const (
	// maxRank is the least urgent rank; less urgent priorities count as this one.
	maxRank = 9
	// rankWindow is how long a rank counts as in use after its last request.
	rankWindow = 10 * time.Second
)

// recentPriorities records which priorities a pool receives, so that only these
// are ranked against each other.
type recentPriorities struct {
	last [maxRank + 1]time.Time
}

// moreUrgent records a request and returns the number of more urgent ranks in use.
func (r *recentPriorities) moreUrgent(now time.Time, priority int) int {
	rank := min(max(priority, 0), maxRank)
	r.last[rank] = now
	n := 0
	for _, at := range r.last[:rank] {
		if !at.IsZero() && now.Sub(at) <= rankWindow {
			n++
		}
	}
	return n
}
