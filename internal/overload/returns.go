package overload

import "time"

// returnShare is the share of the pool's rate at which refused callers are asked to come back. Callers that were refused
// together and return together find the same full pool, and most of them are then refused for good.
const returnShare = 0.5

// returns spreads the returns of refused callers over time.
type returns struct {
	// next is the time at which the last refused caller was asked to return.
	next time.Time
}

// wait returns how long the next refused caller should wait: at least shortest, and a gap longer than the one before, but
// not longer than longest; 0 for no limit.
func (r *returns) wait(now time.Time, shortest, longest, gap time.Duration) time.Duration {
	if earliest := now.Add(shortest); r.next.Before(earliest) {
		r.next = earliest
	}
	r.next = r.next.Add(gap)
	if latest := now.Add(max(longest, shortest)); longest > 0 && r.next.After(latest) {
		r.next = latest
	}
	return r.next.Sub(now)
}

// maxReturnGap bounds the time between two returns.
const maxReturnGap = 100 * time.Millisecond

// returnGap returns the time between two returns of this router's callers, by its part of the load.
func (t *responseTimes) returnGap(load Load) time.Duration {
	rate := returnShare * float64(load.Slots) / t.slotTime * float64(load.Own) / load.InFlight()
	return min(time.Duration(float64(time.Second)/rate), maxReturnGap)
}
