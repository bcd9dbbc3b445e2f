package slotgrant

import "time"

const (
	// fallbackShare is the share of a pool's capacity that the routers together use without grants, and fallbackBurst the
	// number of requests that a router may send at once. At a load of 0.85 each of 70 routers gets a request in 0.4 s.
	fallbackShare = 0.9
	fallbackBurst = 1
)

// Fallback bounds the requests that a router sends without a grant, as a leaky bucket of fallbackBurst requests. The zero value is an
// empty bucket. It is not safe for concurrent use.
type Fallback struct {
	// level is the number of requests in the bucket as of at.
	level float64
	at    time.Time
}

// Take reports whether a request may be sent without a grant, and counts it. The bucket leaks this router's part of what the slots
// take, in requests per second:
//
//	fallbackShare * slots / slotTime / routers
func (f *Fallback) Take(now time.Time, slots, routers int, slotTime time.Duration) bool {
	rate := fallbackShare * float64(slots) / max(slotTime, time.Millisecond).Seconds() / float64(max(routers, 1))
	if elapsed := now.Sub(f.at); !f.at.IsZero() && elapsed > 0 {
		f.level = max(f.level-rate*elapsed.Seconds(), 0)
	}
	f.at = now
	if f.level > fallbackBurst-1 {
		return false
	}
	f.level++
	return true
}
