package overload

import (
	"math"
	"math/bits"
	"time"
)

// rankCount is the number of ranks of requests: rankOf divides each priority by three yes-or-no questions.
const rankCount = 8 * (maxPriority + 1)

// rankOf returns the rank of a request; low ranks are sent first when only a part is sent. Requests are ordered by priority, then
// those of workspaces within their usual share come first, then those with enough of their objective left, then those of callers
// that were refused before.
func rankOf(req *ShareRequest) int {
	rank := min(max(req.Priority, 0), maxPriority)
	little := float64(req.Objective-req.Spent) < littleLeft*float64(req.Objective)
	for _, later := range []bool{req.Surging, little, !req.Retrying} {
		rank *= 2
		if later {
			rank++
		}
	}
	return rank
}

// sizeClass returns the class of a body's size: each is eight times the one before.
func sizeClass(size int) int { return (bits.Len(uint(max(size, 0))) + 2) / 3 }

// rankCounts counts the requests of each rank with recentHalfLife, and selects a share of them by rank.
type rankCounts struct {
	counts [rankCount]float64
	// credit is by how much of a request the number of selected ones of a rank is behind their share.
	credit [rankCount]float64
	at     time.Time
}

// selects counts a request and reports whether it is among the given share of all, in the order of the ranks. Of the rank that is
// selected in part, requests are selected at regular intervals.
func (r *rankCounts) selects(now time.Time, rank int, share float64) bool {
	if passed := now.Sub(r.at); passed > 0 {
		factor := math.Exp2(-passed.Seconds() / recentHalfLife.Seconds())
		for i := range r.counts {
			r.counts[i] *= factor
		}
		r.at = now
	}
	r.counts[rank]++
	before, total := 0.0, 0.0
	for i, n := range r.counts {
		total += n
		if i < rank {
			before += n
		}
	}
	part := (share*total - before) / r.counts[rank]
	r.credit[rank] += min(max(part, 0), 1)
	if r.credit[rank] < 1 {
		return false
	}
	r.credit[rank]--
	return true
}
