package overload

import "time"

const (
	// maxRank is the least urgent rank that is told apart.
	maxRank = 9
	// rankWindow is how long a rank counts after its last request.
	rankWindow = 10 * time.Second
)

// recentPriorities notes which priorities a pool gets, so that the steps of urgency are
// those between its own requests.
type recentPriorities struct {
	last [maxRank + 1]time.Time
}

// moreUrgent notes a request and returns how many ranks in use are more urgent.
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
