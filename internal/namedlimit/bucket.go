package namedlimit

import "time"

// Bucket is a token bucket whose rate and size may change. The zero value is empty.
type Bucket struct {
	// tokens are the requests that may be sent, as of filledAt at a rate.
	tokens   float64
	rate     float64
	filledAt time.Time
}

// fill adds the requests that have become allowed at a rate, at most a number of them. A router whose
// rate grows starts with none: another one may just have used it.
func (b *Bucket) fill(now time.Time, rate, most float64) {
	if rate > b.rate || b.filledAt.IsZero() {
		b.tokens, b.filledAt = 0, now
	}
	b.rate = rate
	b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), most)
	b.filledAt = now
	if rate == 0 {
		b.tokens = 0
	}
}

// wait returns how long it takes until a request may be sent at the rate of the last fill, which is not 0.
func (b *Bucket) wait() time.Duration {
	return time.Duration(max(1-b.tokens, 0) / b.rate * float64(time.Second))
}

func (b *Bucket) take() { b.tokens = max(b.tokens-1, 0) }
