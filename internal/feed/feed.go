// Package feed follows a keyed topic of the platform's store: it reads the newest
// record of each key first, then every later record. It keeps its position during
// outages, never returns to an older state, and reads the full list again when the
// store has deleted records that it has not read. A Source makes the calls to the
// store. A Follower runs on one goroutine.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// Errors of a Source.
var (
	// ErrExpired is returned by Read when the store does not have the requested
	// records.
	ErrExpired = errors.New("records have expired")
	// ErrMixedEras is returned by Newest when the store began a new era in the middle
	// of the list.
	ErrMixedEras = errors.New("list is from two eras of the store")
)

const (
	// minBackoff is the wait after the first failed call; it doubles with each
	// further failure.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the longest wait after a failed call where Timing sets none. It is
	// short because the time to detect the end of an outage adds to the grace period
	// in which removed servers are still used.
	maxBackoff = 350 * time.Millisecond
	// staleListPause is the wait after a stale list.
	staleListPause = time.Second
	// pauseJitter spreads the calls of routers that started at the same time.
	pauseJitter = 0.2
)

// Record is one record of a topic.
type Record struct {
	Key string
	// Value is nil when the key was deleted.
	Value  []byte
	Offset int64
}

// NoEra is the era of a call that the store did not answer.
const NoEra = -1

// Page is the result of one call to the store.
type Page struct {
	// Era is the era in which the store answered, also when the call failed, or NoEra.
	Era     int64
	Records []Record
	// Next is the offset of the next read.
	Next int64
}

// Source reads one topic of the store. Calls return at the latest when their
// context ends, and pass it to Arriving while an answer arrives. With an error, only
// the era of the page is valid.
type Source interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Page, error)
	// Read returns the records from an offset on. It waits up to wait for the first.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Options configure a follower.
type Options struct {
	// Timing is called before each call to the store and may return changed values.
	Timing func() Timing
	// PeerPosition returns the position of the newest record that another router has
	// reported, or logpos.None. A follower that has not read it reads at once.
	PeerPosition func() logpos.Position
	// MustList reports whether all records are to be read again, because those that were read do not add up to what
	// other routers have; nil for never.
	MustList func() bool
	// Eras is shared by the followers of a store.
	Eras *Eras
	// EraReported returns when another router has first reported an era, or the zero
	// time.
	EraReported func(era int64) time.Time
	// NewestOnly is set for a topic whose newest records say everything. Records that
	// several newer ones have replaced are then not read.
	NewestOnly bool
	// KnownTo returns the position up to which the topic is known from other routers. Records before it are not read.
	// It is logpos.None while there is no such position; nil for never.
	KnownTo func() logpos.Position
	// Grace is the length of the grace period after an outage of at least MinOutage;
	// see Batch.GraceUntil.
	Grace     time.Duration
	MinOutage time.Duration
}

// Timing sets how often a topic is read.
type Timing struct {
	// Wait is how long the store holds a read while there is no record.
	Wait time.Duration
	// Pause is the time between the beginnings of two reads.
	Pause time.Duration
	// Timeout bounds the time, in addition to the wait, until the answer to a call begins, and the time without any of it
	// after that.
	Timeout time.Duration
	// Overdue is how long after its wait a call may have no answer until the observer is told; 0 for ever. A call that
	// the store does not answer and one that waits for a record look alike until then.
	Overdue time.Duration
	// MaxBackoff is the longest wait after a failed call; 0 means the default.
	MaxBackoff time.Duration
	// Settle is the least time between two reads of records that other routers have reported: what follows one of them
	// soon is read together. A record that is reported after a longer time is read at once.
	Settle time.Duration
}

// Batch is an update of a topic.
type Batch struct {
	Records []Record
	// Full is set when the batch has every key; other keys are deleted.
	Full bool
	// Next is the position after the batch; its era is that of all records.
	Next logpos.Position
	// GraceUntil is the end of the grace period after an outage; zero when there was
	// none.
	GraceUntil time.Time
}

// Observer receives the updates and events of a follower. All calls are made from
// one goroutine.
type Observer interface {
	Batch(b Batch)
	// OutageStarted is called at the first of a series of failures.
	OutageStarted(err error)
	// CallOverdue is called when the store has not begun to answer a call in time. The call goes on. It is made from
	// another goroutine than the others, but never at the same time.
	CallOverdue(waited time.Duration)
	// CallEnded is called at the end of each call, after its other events; answered is set when it succeeded. Its records, with
	// those before, are all that the store had at the time asOf, which is never before the begin of the call.
	CallEnded(asOf time.Time, answered bool)
	// OutageEnded is called at the first success after a series of failures.
	OutageEnded(duration time.Duration)
	// HistoryExpired is called when the store has deleted records that were not read.
	HistoryExpired(from logpos.Position)
	// StaleList is called when a full list is older than the records already read.
	// next is the position after the list, current the one after those records.
	StaleList(next, current logpos.Position)
	// EraStarted is called for the first answer of a new era that any follower of the
	// store gets. next is the position up to which this one had read.
	EraStarted(era int64, next logpos.Position)
}

// Follower follows one topic.
type Follower struct {
	source   Source
	options  Options
	observer Observer
	now      func() time.Time

	position position
	// askedFor is the position that another router had reported at the last call.
	askedFor logpos.Position
	failures int
	// calledAt is when the last call began, answeredAt when one succeeded last.
	calledAt   time.Time
	answeredAt time.Time
	// repeated counts the first calls that were made again without an answer.
	repeated    int
	outageStart time.Time
	graceUntil  time.Time
}

// position is how far the topic has been read.
type position struct {
	// next is the position after the last record that was read.
	next logpos.Position
	// complete is set while every record before next is accounted for.
	complete bool
}

// New returns a follower that has not read anything.
func New(source Source, options Options, observer Observer) *Follower {
	return &Follower{source: source, options: options, observer: observer, now: time.Now}
}

// Run follows the topic until ctx ends. Failures are reported to the observer; the
// error is always nil and only makes Run usable as a goroutine of a tomb.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.waitForNextCall(ctx, f.Step(ctx))
	}
	return nil
}

const (
	// RecheckInterval is how often a waiting follower checks Timing and PeerPosition.
	RecheckInterval = 100 * time.Millisecond
	// ReportSpread is the time over which followers of a topic with Timing.Settle spread their reads of a record that
	// another router has reported. All of a fleet hear of it at the same time.
	ReportSpread = 100 * time.Millisecond
	// MinPause bounds the rate of reads for a record that another router has
	// reported and the store does not return yet.
	MinPause = 50 * time.Millisecond
	// firstPatience is how long the first call of a follower, which knows nothing yet, may take before it is made again,
	// up to twice as long at random. It doubles with each further one, since the store may only be slow. A store that was
	// silent never answers the calls that it got meanwhile, and those of many routers that started together would all
	// end long after its return.
	firstPatience = 250 * time.Millisecond
	// spreadUnit is the resolution of the factor by which a whole pause varies. The jitter
	// of the steps in which it is waited for hardly changes their sum: of 340 routers that
	// had read at the same time, all read again within two seconds, 30 s later.
	spreadUnit = 1000
)

// waitForNextCall waits for the pause. A negative pause means the one of Timing,
// which counts from the beginning of the last call and ends early when another router
// reports a newer record. The pause after a failure ends early once for each such report:
// the store answers again.
func (f *Follower) waitForNextCall(ctx context.Context, pause time.Duration) {
	start := f.now()
	spread := withJitter(spreadUnit)
	var reported time.Time
	turn := rand.N(ReportSpread)
	next := withJitter(MinPause)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
		elapsed := f.now().Sub(start)
		remaining := pause - elapsed
		if pause >= 0 && f.askedFor.Before(f.options.PeerPosition()) {
			return
		}
		if pause < 0 {
			timing := f.options.Timing()
			remaining = timing.Pause*spread/spreadUnit - f.now().Sub(f.calledAt)
			if f.mustList() {
				return
			}
			if f.position.complete && !f.options.PeerPosition().Before(f.position.next) {
				if reported.IsZero() {
					reported = f.now()
				}
				due := time.Duration(0)
				if timing.Settle > 0 {
					due = max(timing.Settle-f.now().Sub(f.calledAt), turn-f.now().Sub(reported))
				}
				remaining = min(remaining, due)
			}
		}
		if remaining <= 0 {
			return
		}
		next = withJitter(min(remaining, RecheckInterval))
	}
}

// pauseFromTiming makes waitForNextCall use the pause of Timing.
const pauseFromTiming = -1

// Step makes one call to the store and returns the pause until the next.
func (f *Follower) Step(ctx context.Context) time.Duration {
	start := f.now()
	timing := f.options.Timing()
	f.skipKnown()
	wait := timing.Wait
	f.calledAt = start
	if start.Sub(f.answeredAt) > timing.Wait+timing.Pause+timing.Overdue {
		// What the store has now tells at once whether it answers this router.
		wait = 0
	}
	list := !f.position.complete || f.skipRecords() || f.inEarlierEra()
	list = list || f.mustList()
	if list {
		wait = 0
	}
	f.askedFor = f.options.PeerPosition()
	callCtx, answer := f.beginCall(ctx, wait, timing)
	defer answer.end()
	var impatient func() bool
	if f.position == (position{}) {
		impatient = f.watchFirstCall(callCtx, answer)
	}
	var page Page
	var err error
	if list {
		page, err = f.source.Newest(callCtx)
	} else {
		page, err = f.source.Read(callCtx, f.position.next.Offset, wait)
	}
	answer.end()
	if ctx.Err() != nil {
		return 0
	}
	asOf := start
	defer func() { f.observer.CallEnded(asOf, err == nil) }()
	if impatient != nil && impatient() && err != nil && page.Era == NoEra {
		f.repeated++
		return 0
	}
	if eraErr := f.checkEra(page.Era); eraErr != nil {
		err = eraErr
	} else if !list && f.position.next.Era < page.Era {
		// What was answered, an error too, concerns an offset of an earlier era.
		return 0
	}
	switch {
	case errors.Is(err, ErrExpired):
		f.observer.HistoryExpired(f.position.next)
		f.position.complete = false
		return 0
	case err != nil:
		return f.recordFailure(start, err)
	}
	f.answeredAt = f.now()
	if !list && len(page.Records) == 0 && f.answeredAt.Sub(start) >= wait {
		// The store had nothing at the end of the wait. The answer itself may have been on the way for long.
		asOf = start.Add(wait)
	}
	f.recordSuccess()
	return f.applyPage(page, list)
}

// watchFirstCall cancels a call to the store, to be made again, when the follower has read nothing yet and another router
// has read something meanwhile, or after some time. A call whose answer has begun goes on: a large list takes longer than
// that over a slow link, and a second call would wait behind what is left of the first. The returned function ends the
// watch and reports whether it has cancelled the call.
func (f *Follower) watchFirstCall(ctx context.Context, answer *answerWatch) (cancelled func() bool) {
	patience := firstPatience << min(f.repeated, 8)
	patience += rand.N(patience)
	start := f.now()
	var repeat atomic.Bool
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		tick := time.NewTicker(MinPause)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-done:
				return
			case <-tick.C:
			}
			if f.now().Sub(start) >= patience || f.askedFor.Before(f.options.PeerPosition()) {
				repeat.Store(answer.cancelUnlessBegun())
				return
			}
		}
	})
	return func() bool {
		close(done)
		watch.Wait()
		return repeat.Load()
	}
}

// inEarlierEra reports whether the store has begun a new era since the last read.
func (f *Follower) inEarlierEra() bool { return f.position.next.Era < f.options.Eras.Current() }

// checkEra records the era of an answer. The error reports an answer that is not to
// be believed.
func (f *Follower) checkEra(era int64) error {
	if era == NoEra {
		return nil
	}
	started, err := f.options.Eras.record(era)
	if started {
		f.observer.EraStarted(era, f.position.next)
	}
	return err
}

// skipRecords reports whether the newest records are to be read instead of all that
// another router has reported.
func (f *Follower) skipRecords() bool {
	return f.options.NewestOnly && f.position.next.Before(f.options.PeerPosition())
}

// skipKnown skips the records that are known from other routers. A position of another era says nothing here.
func (f *Follower) skipKnown() {
	if f.options.KnownTo == nil || !f.position.complete {
		return
	}
	if known := f.options.KnownTo(); known.Era == f.position.next.Era && f.position.next.Before(known) {
		f.position.next = known
	}
}

// mustList reports whether the whole list is to be read again although all records were read.
func (f *Follower) mustList() bool { return f.options.MustList != nil && f.options.MustList() }

// recordFailure counts a failed call and returns the wait before the next one.
func (f *Follower) recordFailure(start time.Time, err error) time.Duration {
	if f.failures == 0 {
		f.outageStart = start
		f.observer.OutageStarted(err)
	}
	longest := f.options.Timing().MaxBackoff
	if longest == 0 {
		longest = maxBackoff
	}
	wait := min(minBackoff<<min(f.failures, 8), longest)
	f.failures++
	return withJitter(wait)
}

// recordSuccess ends a series of failures, if there is one.
func (f *Follower) recordSuccess() {
	if f.failures == 0 {
		return
	}
	f.failures = 0
	outage := f.now().Sub(f.outageStart)
	if outage >= f.options.MinOutage {
		f.extendGrace(f.now())
	}
	f.observer.OutageEnded(outage)
}

// extendGrace makes the grace period last until Grace after start, at least.
func (f *Follower) extendGrace(start time.Time) {
	if end := start.Add(f.options.Grace); end.After(f.graceUntil) {
		f.graceUntil = end
	}
}

// eraStart returns when the store is known to have answered in an era, which this
// follower has just seen.
func (f *Follower) eraStart(era int64) time.Time {
	if reported := f.options.EraReported(era); !reported.IsZero() {
		return reported
	}
	return f.now()
}

// applyPage passes a page to the observer. A full list that ends before the records
// already read is stale and ignored. What a new era lacks may only have to be written
// again, as after an outage. The grace begins when the first router has seen the era: a
// follower that reads it late must not use removed servers longer than the others.
func (f *Follower) applyPage(page Page, full bool) time.Duration {
	next := logpos.Position{Era: page.Era, Offset: page.Next}
	if full && next.Before(f.position.next) {
		f.observer.StaleList(next, f.position.next)
		return withJitter(staleListPause)
	}
	if f.position.next.Era < next.Era && f.position.next != (logpos.Position{}) {
		f.extendGrace(f.eraStart(next.Era))
	}
	f.position = position{next: next, complete: true}
	if full || len(page.Records) > 0 {
		f.observer.Batch(Batch{Records: page.Records, Full: full, Next: next, GraceUntil: f.graceUntil})
	}
	return pauseFromTiming
}

func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pauseJitter*(rand.Float64()-0.5)))
}
