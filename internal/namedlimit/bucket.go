package namedlimit

import "time"

// Bucket is a token bucket whose rate, in requests a second, and size may change. The zero value is empty. It is not safe for
// concurrent use.
type Bucket struct {
	// tokens is the number of requests that may be sent, as of filledAt, and rate that of the last fill.
	tokens   float64
	rate     float64
	filledAt time.Time
}

// fill adds the tokens of the time since the last fill at a rate, up to most. A router whose rate grows starts with none: another
// one may just have used them.
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

// take removes the token of a request that is sent.
func (b *Bucket) take() { b.tokens = max(b.tokens-1, 0) }
