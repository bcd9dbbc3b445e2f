package meter

import (
	"sync"
	"time"
)

const (
	// DefaultBytesPerSecond is the control budget of a router in bytes a second, sent
	// and received.
	DefaultBytesPerSecond = 3000
	// DefaultBurstBytes is the budget of two seconds, so that a poll of the VM list
	// and a round of claims fit together.
	DefaultBurstBytes = 2 * DefaultBytesPerSecond
	// maxDebtBursts bounds what claims and intents borrow. Other traffic takes
	// the bucket at most one burst below zero and leaves them the rest.
	maxDebtBursts = 2
)

// Limiter sheds control traffic by importance. Each category needs a larger
// part of the burst to be free than the more important ones, so that the least
// important is refused first. Claims and intents may borrow. It is safe for
// concurrent use.
type Limiter struct {
	rate, burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	refused    [numCategories]int64
}

// NewLimiter returns a full bucket of burst bytes that refills with rate bytes
// a second.
func NewLimiter(now time.Time, rate, burst int) *Limiter {
	return &Limiter{rate: float64(rate), burst: float64(burst), tokens: float64(burst), refilledAt: now}
}

// Allow reports whether n bytes of a category may be sent, and takes them. A
// message larger than a category's part passes when the bucket is full.
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
// taking its bytes. It is for senders whose bytes a Meter charges afterwards.
func (l *Limiter) Permits(now time.Time, c Category, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.permits(now, c, n)
}

// permits counts what it refuses. The caller holds l.mu.
func (l *Limiter) permits(now time.Time, c Category, n int) bool {
	l.refill(now)
	if l.tokens-float64(n) < l.minTokens(c) && l.tokens < l.burst {
		l.refused[c]++
		return false
	}
	return true
}

// Charge takes n bytes that cannot be refused, for example received ones.
func (l *Limiter) Charge(now time.Time, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.deduct(CacheEvents, n)
}

// deduct removes tokens. What a large message of other traffic would take below
// its part of the debt is forgiven, so that claims still pass after it.
func (l *Limiter) deduct(c Category, n int) {
	remaining := l.tokens - float64(n)
	if c > Intent {
		remaining = max(remaining, min(l.tokens, -l.burst))
	}
	l.tokens = remaining
}

// RefusedByCategory returns how many messages were refused, by category name.
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
