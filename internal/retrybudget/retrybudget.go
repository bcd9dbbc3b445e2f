// Package retrybudget limits how often a router retries requests at a second
// server. The routers share the budget of a pool without communication: each may
// use a ratio of its own requests plus a small share of the fixed extra. It does
// no I/O and takes the time as an argument. A Budget is safe for concurrent use.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// minRouters is the least number of routers that the fixed extra is divided by, so
	// that a router that knows few others, after its start or cut off, takes no more
	// than its share.
	minRouters = 24
	// spareRouters is the share of further routers that the division allows for: they
	// may be added, or not be known yet.
	spareRouters = 0.25
	// ratioMargin lowers the ratio, because the limit also holds for windows that
	// begin between two bursts.
	ratioMargin = 0.75
	// windowBuckets is the number of buckets in a window. One more is kept: retries count until
	// they have certainly left the window, requests only while they are certainly in it.
	windowBuckets = 40
	keptBuckets   = windowBuckets + 1
)

// Limits are the retry limits of the whole fleet for one pool.
type Limits struct {
	// Ratio bounds the retries per request within Window.
	Ratio  float64
	Window time.Duration
	// Extra is the number of additional retries within Window.
	Extra float64
}

// Budget counts the requests and retries of one pool in a sliding window.
type Budget struct {
	limits Limits
	fleet  *Fleet

	mu sync.Mutex
	// begun is when the first bucket began. Buckets are numbered from there by the monotonic
	// clock, since the time of day may jump.
	begun         time.Time
	currentBucket int64
	requests      [keptBuckets]int
	retries       [keptBuckets]int
}

// New returns an empty budget of a router in fleet.
func New(limits Limits, fleet *Fleet) *Budget {
	return &Budget{limits: limits, fleet: fleet}
}

// SetLimits replaces the limits. A change of the window's length clears the counts.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.currentBucket = 0
		b.requests, b.retries = [keptBuckets]int{}, [keptBuckets]int{}
	}
	b.limits = l
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.currentBucket%keptBuckets]++
}

// AllowRetry takes one retry from the budget, or returns false when it is exhausted.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.remaining(now) < 1 {
		return false
	}
	b.retries[b.currentBucket%keptBuckets]++
	return true
}

// Remaining returns the retries that the budget still allows.
func (b *Budget) Remaining(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.remaining(now)
}

func (b *Budget) remaining(now time.Time) float64 {
	requests, retries := 0, 0
	for i := range keptBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	requests -= b.requests[(b.currentBucket+1)%keptBuckets]
	ratio, extra := b.fleet.shares(now, b.limits)
	return ratio*float64(requests) + extra - float64(retries)
}

// advance clears the buckets that are no longer in the window.
func (b *Budget) advance(now time.Time) {
	bucketLength := b.limits.Window / windowBuckets
	if bucketLength <= 0 {
		bucketLength = time.Second
	}
	if b.begun.IsZero() {
		b.begun = now
	}
	bucket := int64(now.Sub(b.begun) / bucketLength)
	if bucket <= b.currentBucket {
		return
	}
	for i := max(b.currentBucket+1, bucket-windowBuckets); i <= bucket; i++ {
		b.requests[i%keptBuckets] = 0
		b.retries[i%keptBuckets] = 0
	}
	b.currentBucket = bucket
}
