package namedlimit

import "time"

// ColdBounds bound the requests that a cold server gets from all routers together.
type ColdBounds struct {
	// PerSecond is the rate that the server tolerates; 0 for no limit.
	PerSecond float64
	// In any second it may get Overage times PerSecond and Extra requests.
	Overage float64
	Extra   float64
}

const (
	// maxColdBurst is the most requests that are sent to a cold server at once. More would only
	// lower the rate, see rate.
	maxColdBurst = 2
	// minColdShare is the least share of the bound that the sender uses, where the bound is so small that two
	// senders cannot both keep to it.
	minColdShare = 0.125
)

// most returns the number of requests that may arrive in a second: PerSecond * Overage + Extra.
func (b ColdBounds) most() float64 { return b.PerSecond*max(b.Overage, 1) + b.Extra }

// burst returns the number of requests that may be sent at once: Extra / 2, but 1 to maxColdBurst.
func (b ColdBounds) burst() float64 { return min(max(b.Extra/2, 1), maxColdBurst) }

// rate returns the requests a second of the sender:
//
//	min(PerSecond, most / 2 - burst), at least minColdShare * most
//
// Two senders together stay within the bound: a router that was frozen takes itself for the sender until it hears that another
// one has replaced it, and a link that fails in one direction may hide two routers from each other for a time. One sender stays
// within it when its requests arrive up to a second late.
func (b ColdBounds) rate() float64 {
	return max(min(b.PerSecond, b.most()/2-b.burst()), minColdShare*b.most())
}

// Cold is the part of a router in the requests to one cold server. The zero value has sent nothing. It is not safe for concurrent
// use.
type Cold struct {
	bucket Bucket
	sentAt time.Time
}

// Allows reports whether a request may be sent now.
func (c *Cold) Allows(now time.Time, b ColdBounds, share Share) bool {
	rate := 0.0
	if share.Sole {
		rate = b.rate()
	}
	c.bucket.fill(now, rate, b.burst())
	return c.bucket.tokens >= 1
}

// Wait returns how long it takes until a request may be sent, as far as is known; false when this router may send none.
func (c *Cold) Wait(now time.Time, b ColdBounds, share Share) (wait time.Duration, ok bool) {
	if !share.Sole {
		return 0, false
	}
	c.Allows(now, b, share)
	return c.bucket.wait(), true
}

// Begin empties the bucket when the server becomes cold: what was sent before may not have arrived yet.
func (c *Cold) Begin() { *c = Cold{} }

// Take counts a request that is sent.
func (c *Cold) Take(now time.Time) {
	c.bucket.take()
	c.sentAt = now
}

// Unasked reports whether this router has sent the server nothing for a while.
func (c *Cold) Unasked(now time.Time) bool { return now.Sub(c.sentAt) >= unaskedTime }
