// Package feed follows a keyed topic of the platform's store: the newest record
// of each key first, then every later record. It keeps what it knows through
// outages, never goes back to an older state, and reads the full list again
// when the store has dropped the history that is missing.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// ErrExpired is returned by Source.Read when the records asked for are no
// longer kept.
var ErrExpired = errors.New("records have expired")

const (
	// Waits between failed calls; they double.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is short: how late the return of the store is noticed adds to
	// the grace in which removed servers are still used.
	maxBackoff = 350 * time.Millisecond
	// staleListPause is the wait after a stale list.
	staleListPause = time.Second
	// pauseJitter spreads the calls of routers that started together.
	pauseJitter = 0.2
)

// Record is one record of a topic.
type Record struct {
	Key string
	// Value is nil when the key is dropped.
	Value  []byte
	Offset int64
}

// Page is what one call to the store returned.
type Page struct {
	Records []Record
	// Next is the offset at which reading goes on.
	Next int64
}

// Source reads one topic of the store. Calls return within their context.
type Source interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Page, error)
	// Read returns the records from an offset on, and waits up to wait for the first.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Options set the pace of a follower.
type Options struct {
	// Timing is asked before each call; it may change at any time.
	Timing func() Timing
	// PeerOffset returns the newest offset at which another router has found news, or
	// a negative number. A follower that has not read so far reads at once.
	PeerOffset func() int64
	// Grace is how long after an outage of GraceAfter or more a batch is marked as
	// read in its wake.
	Grace     time.Duration
	MinOutage time.Duration
}

// Timing is how often a topic is read.
type Timing struct {
	// Wait is how long a read waits at the store for a record.
	Wait time.Duration
	// Pause is the time between two reads.
	Pause time.Duration
	// Timeout bounds a call beyond its wait.
	Timeout time.Duration
}

// Batch is news of a topic.
type Batch struct {
	Records []Record
	// Full batches name every key; keys that they leave out are dropped.
	Full bool
	// Next is the offset after the batch.
	Next int64
	// GraceUntil is the end of the grace after an outage; zero when there was none.
	GraceUntil time.Time
}

// Observer is told what a follower learns. Calls come from one goroutine.
type Observer interface {
	Batch(b Batch)
	// OutageStarted is called at the first failure of a series.
	OutageStarted(err error)
	// OutageEnded is called at the first answer after a series of failures.
	OutageEnded(after time.Duration)
	// HistoryExpired is called when the history that is missing is no longer kept.
	HistoryExpired(from int64)
	// StaleList is called when a full list is older than what is known.
	StaleList(next, known int64)
}

// Follower follows one topic.
type Follower struct {
	source   Source
	options  Options
	observer Observer
	now      func() time.Time

	position    position
	failures    int
	outageStart time.Time
	graceUntil  time.Time
}

// position is how far the topic is known.
type position struct {
	// next is the offset after the last record that was read.
	next int64
	// complete is set while every record before next has been seen.
	complete bool
}

// New returns a follower that has read nothing.
func New(source Source, options Options, observer Observer) *Follower {
	return &Follower{source: source, options: options, observer: observer, now: time.Now}
}

// Run follows the topic until ctx ends. Failures are the observer's to tell; the
// error is always nil, as a goroutine of a tomb returns one.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.waitForNextCall(ctx, f.Step(ctx))
	}
	return nil
}

const (
	// recheckInterval is how often a resting follower looks at its pace and for news.
	recheckInterval = 200 * time.Millisecond
	// minPause bounds the reads for news that the store does not show yet.
	minPause = 50 * time.Millisecond
)

// waitForNextCall waits for the pause, or less when the pace or the news want that. A
// negative pause means the one of the pace.
func (f *Follower) waitForNextCall(ctx context.Context, pause time.Duration) {
	start := f.now()
	next := jitter(minPause)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
		elapsed := f.now().Sub(start)
		remaining := pause - elapsed
		if pause < 0 {
			remaining = f.options.Timing().Pause - elapsed
			if f.position.complete && f.options.PeerOffset() >= f.position.next {
				return
			}
		}
		if remaining <= 0 {
			return
		}
		next = jitter(min(remaining, recheckInterval))
	}
}

// pauseFromTiming makes rest follow the pace.
const pauseFromTiming = -1

// Step makes one call to the store and returns the pause until the next.
func (f *Follower) Step(ctx context.Context) time.Duration {
	start := f.now()
	timing := f.options.Timing()
	wait := timing.Wait
	if !f.position.complete {
		wait = 0
	}
	call, cancel := context.WithTimeout(ctx, wait+timing.Timeout)
	defer cancel()
	var page Page
	var err error
	if f.position.complete {
		page, err = f.source.Read(call, f.position.next, wait)
	} else {
		page, err = f.source.Newest(call)
	}
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, ErrExpired):
		f.observer.HistoryExpired(f.position.next)
		f.position.complete = false
		return 0
	case err != nil:
		return f.recordFailure(start, err)
	}
	f.recordSuccess()
	return f.applyPage(page)
}

// recordFailure counts a failure and returns the wait before the next call.
func (f *Follower) recordFailure(start time.Time, err error) time.Duration {
	if f.failures == 0 {
		f.outageStart = start
		f.observer.OutageStarted(err)
	}
	wait := min(minBackoff<<min(f.failures, 8), maxBackoff)
	f.failures++
	return jitter(wait)
}

// recordSuccess ends a series of failures.
func (f *Follower) recordSuccess() {
	if f.failures == 0 {
		return
	}
	f.failures = 0
	outage := f.now().Sub(f.outageStart)
	if outage >= f.options.MinOutage {
		f.graceUntil = f.now().Add(f.options.Grace)
	}
	f.observer.OutageEnded(outage)
}

// applyPage passes a page on. A full list that ends before what is already known is
// a stale read and changes nothing.
func (f *Follower) applyPage(page Page) time.Duration {
	full := !f.position.complete
	if full && page.Next < f.position.next {
		f.observer.StaleList(page.Next, f.position.next)
		return jitter(staleListPause)
	}
	f.position = position{next: page.Next, complete: true}
	if full || len(page.Records) > 0 {
		f.observer.Batch(Batch{Records: page.Records, Full: full, Next: page.Next, GraceUntil: f.graceUntil})
	}
	return pauseFromTiming
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pauseJitter*(rand.Float64()-0.5)))
}
