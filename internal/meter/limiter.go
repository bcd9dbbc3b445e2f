package meter

import (
	"sync"
	"time"
)

const (
	// DefaultBytesPerSecond is the control budget of a router for sent and received
	// bytes.
	DefaultBytesPerSecond = 3000
	// DefaultBurstBytes is the budget of two seconds, enough for a poll of the VM
	// list and a round of claims at once.
	DefaultBurstBytes = 2 * DefaultBytesPerSecond
	// maxDebtBursts bounds how far claims and intents may overdraw the bucket. Other
	// traffic overdraws it by at most one burst, which leaves the rest to them.
	maxDebtBursts = 2
)

// Limiter is a token bucket that sheds control traffic by importance. The less
// important a category is, the more of the burst must remain after its messages,
// so that the least important is refused first. Claims and intents may overdraw
// the bucket. It is safe for concurrent use.
type Limiter struct {
	rate, burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	refused    [numCategories]int64
}

// NewLimiter returns a limiter with a full bucket of burst bytes that refills at
// rate bytes per second.
func NewLimiter(now time.Time, rate, burst int) *Limiter {
	return &Limiter{rate: float64(rate), burst: float64(burst), tokens: float64(burst), refilledAt: now}
}

// Allow reports whether n bytes of a category may be sent, and deducts them. A
// full bucket allows a message of any size, because a message larger than the
// category's share could otherwise never be sent.
func (l *Limiter) Allow(now time.Time, c Category, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.permits(now, c, n) {
		return false
	}
	l.deduct(c, n)
	return true
}

// Permits reports whether a message of a category may be sent now, without
// deducting its bytes. It is for senders whose bytes a Meter charges afterwards.
func (l *Limiter) Permits(now time.Time, c Category, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.permits(now, c, n)
}

// permits counts refused messages. The caller holds l.mu.
func (l *Limiter) permits(now time.Time, c Category, n int) bool {
	l.refill(now)
	if l.tokens-float64(n) < l.minTokens(c) && l.tokens < l.burst {
		l.refused[c]++
		return false
	}
	return true
}

// Charge deducts n bytes that cannot be refused, for example received ones.
func (l *Limiter) Charge(now time.Time, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.deduct(CacheEvents, n)
}

// deduct removes tokens. Traffic other than claims and intents overdraws the bucket
// by at most one burst, and the rest of a large message is not counted, so that
// claims are still allowed after it.
func (l *Limiter) deduct(c Category, n int) {
	remaining := l.tokens - float64(n)
	if c > Intent {
		remaining = max(remaining, min(l.tokens, -l.burst))
	}
	l.tokens = remaining
}

// RefusedByCategory returns the number of refused messages by category name.
func (l *Limiter) RefusedByCategory() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, numCategories)
	for i, n := range l.refused {
		out[Category(i).String()] = n
	}
	return out
}

func (l *Limiter) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(l.tokens+elapsed.Seconds()*l.rate, l.burst)
		l.refilledAt = now
	}
}

// minTokens returns the tokens that must remain after a message of a category.
func (l *Limiter) minTokens(c Category) float64 {
	if c <= Intent {
		return -maxDebtBursts * l.burst
	}
	return l.burst * float64(c-Config) / float64(numCategories)
}
