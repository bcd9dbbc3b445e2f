// Package retrybudget limits how often a router sends requests to a second
// server. The budget of a pool is shared by all routers without talking: each
// spends a ratio of its own requests and a small part of the fixed extra. It
// does no I/O; a Budget is safe for concurrent use.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// maxRouters divides the fixed extra: more routers than any of today's
	// deployments run, so that the parts never exceed the whole.
	maxRouters = 24
	// ratioMargin leaves room for windows that begin between two bursts.
	ratioMargin = 0.75
	windowSlots = 10
)

// Limits are the fleet's bounds for one pool.
type Limits struct {
	// Ratio of retries to requests within Window.
	Ratio  float64
	Window time.Duration
	// Extra retries within Window for the whole fleet.
	Extra float64
}

// Budget counts the requests and retries of one pool in a sliding window.
type Budget struct {
	limits Limits

	mu       sync.Mutex
	current  int64
	requests [windowSlots]int
	retries  [windowSlots]int
}

// New returns an empty budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits}
}

// SetLimits changes the bounds. A window of another length starts empty.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.current = 0
		b.requests, b.retries = [windowSlots]int{}, [windowSlots]int{}
	}
	b.limits = l
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.current%windowSlots]++
}

// AllowRetry takes one retry from the budget, or returns false when it is spent.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.remaining() < 1 {
		return false
	}
	b.retries[b.current%windowSlots]++
	return true
}

// Remaining returns the retries that the budget still allows.
func (b *Budget) Remaining(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.remaining()
}

func (b *Budget) remaining() float64 {
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return ratioMargin*b.limits.Ratio*float64(requests) + b.limits.Extra/maxRouters - float64(retries)
}

// advance clears the slots of the window that have passed.
func (b *Budget) advance(now time.Time) {
	slotLength := b.limits.Window / windowSlots
	if slotLength <= 0 {
		slotLength = time.Second
	}
	slot := now.UnixNano() / int64(slotLength)
	if slot <= b.current {
		return
	}
	for i := max(b.current+1, slot-windowSlots+1); i <= slot; i++ {
		b.requests[i%windowSlots] = 0
		b.retries[i%windowSlots] = 0
	}
	b.current = slot
}
