package feed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// callSource records the calls of a follower in full.
type callSource struct {
	answers []answer
	calls   []string
	// left is the time that each call had.
	left []time.Duration
}

func (s *callSource) next(ctx context.Context, call string) (Page, error) {
	s.calls = append(s.calls, call)
	s.left = append(s.left, time.Until(ctx.Value(answerKey{}).(*answerWatch).due))
	a := s.answers[min(len(s.calls), len(s.answers))-1]
	return a.page, a.err
}

func (s *callSource) Newest(ctx context.Context) (Page, error) { return s.next(ctx, "newest") }

func (s *callSource) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	return s.next(ctx, fmt.Sprintf("read from %d, wait %v", from, wait))
}

// callFollower returns a follower with a clock, which the test moves.
func callFollower(s *callSource, r *recorder) (f *Follower, now *time.Time) {
	now = new(time.Unix(1000, 0))
	f = New(s, Options{
		Timing: func() Timing {
			return Timing{Wait: time.Hour, Pause: time.Second, Timeout: time.Minute, MaxBackoff: time.Second}
		},
		PeerPosition: func() logpos.Position { return logpos.None },
		Eras:         &Eras{},
		EraReported:  func(int64) time.Time { return time.Time{} },
		Grace:        2 * time.Second,
		MinOutage:    time.Second,
	}, r)
	f.now = func() time.Time { return *now }
	return f, now
}

// Guards against a call that hangs for good, or is cut off while the store holds it, and
// against reads that begin somewhere else than the last one ended.
func TestCallsAreBoundedAndGoOnWhereTheLastOneEnded(t *testing.T) {
	s := &callSource{answers: []answer{page(5, "a"), page(7, "b"), page(7)}}
	f, _ := callFollower(s, &recorder{})
	for range 4 {
		f.Step(t.Context())
	}
	requireEqual(t, "calls", s.calls, []string{"newest", "read from 5, wait 1h0m0s", "read from 7, wait 1h0m0s", "read from 7, wait 1h0m0s"})
	for i, want := range []time.Duration{time.Minute, time.Hour + time.Minute, time.Hour + time.Minute} {
		if got := s.left[i]; got > want || got < want-20*time.Second {
			t.Errorf("%s had %v, want %v", s.calls[i], got, want)
		}
	}
}

// Guards against a list for which a store that does not answer has the time of a wait: nothing holds a list back, so that an
// outage would be noticed late.
func TestListAfterAnExpiredHistoryHasNoWait(t *testing.T) {
	s := &callSource{answers: []answer{page(5, "a"), {err: ErrExpired}, page(7, "b")}}
	f, _ := callFollower(s, &recorder{})
	for range 3 {
		f.Step(t.Context())
	}
	requireEqual(t, "calls", s.calls, []string{"newest", "read from 5, wait 1h0m0s", "newest"})
	if got := s.left[2]; got > time.Minute {
		t.Errorf("the list had %v, want a minute", got)
	}
}

// Guards against routers that call a store which is away ever faster, all at once, or hardly
// any more, and against a pause that goes on growing after a success.
func TestPauseAfterFailuresGrowsToABound(t *testing.T) {
	s := &callSource{answers: []answer{{err: errDown}}}
	f, _ := callFollower(s, &recorder{})
	pauses := map[time.Duration]bool{}
	near := func(got, want time.Duration) bool {
		return got >= want-want/10 && got <= want+want/10
	}
	for i, want := range []time.Duration{100, 200, 400, 800, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000} {
		want *= time.Millisecond
		got := f.Step(t.Context())
		if !near(got, want) {
			t.Errorf("pause %v after failure %d, want %v", got, i+1, want)
		}
		pauses[got] = true
	}
	if len(pauses) < 8 {
		t.Errorf("12 pauses have %d lengths, want jitter", len(pauses))
	}
	s.answers = []answer{page(5)}
	f.Step(t.Context())
	s.answers = []answer{{err: errDown}}
	if got := f.Step(t.Context()); !near(got, 100*time.Millisecond) {
		t.Errorf("pause %v after a success and a failure, want 100 ms", got)
	}
}

// Guards against a grace period that is missing after an outage, that a short outage or the
// first read begins, or that a later one cuts short.
func TestGraceFollowsAnOutage(t *testing.T) {
	var batches recorder
	s := &callSource{answers: []answer{{page: Page{Era: 3, Next: 5}}}}
	f, now := callFollower(s, &batches)
	start := *now
	step := func(a answer) time.Duration {
		s.answers = []answer{a}
		f.Step(t.Context())
		grace := batches.batches[len(batches.batches)-1].GraceUntil
		if grace.IsZero() {
			return 0
		}
		return grace.Sub(start)
	}
	in := func(era, next int64) answer {
		return answer{page: Page{Era: era, Next: next, Records: []Record{{Key: "a", Value: []byte("v")}}}}
	}
	failed := answer{page: Page{Era: NoEra}, err: errDown}
	if got := step(in(3, 5)); got != 0 {
		t.Errorf("grace until %v at the first read, want none", got)
	}
	step(failed)
	*now = now.Add(900 * time.Millisecond)
	if got := step(in(3, 6)); got != 0 {
		t.Errorf("grace until %v after a short outage, want none", got)
	}
	step(failed)
	*now = now.Add(600 * time.Millisecond)
	step(failed)
	*now = now.Add(600 * time.Millisecond)
	if got := step(in(3, 7)); got != 4100*time.Millisecond {
		t.Errorf("grace until %v after an outage that ended at 2.1 s, want 4.1 s", got)
	}
	f.options.EraReported = func(int64) time.Time { return start.Add(time.Second) }
	f.options.Eras.record(4)
	if got := step(in(4, 2)); got != 4100*time.Millisecond {
		t.Errorf("grace until %v after an era that another router saw at 1 s, want 4.1 s still", got)
	}
	f.options.EraReported = func(int64) time.Time { return start.Add(10 * time.Second) }
	f.options.Eras.record(5)
	if got := step(in(5, 2)); got != 12*time.Second {
		t.Errorf("grace until %v after an era that another router saw at 10 s, want 12 s", got)
	}
}

// Guards against an empty list that is no update, and against reads without records that are.
func TestEmptyListIsAnUpdate(t *testing.T) {
	r := &recorder{}
	s := &callSource{answers: []answer{page(5), page(5)}}
	f, _ := callFollower(s, r)
	f.Step(t.Context())
	f.Step(t.Context())
	if len(r.batches) != 1 || !r.batches[0].Full {
		t.Errorf("batches %+v, want the list only", r.batches)
	}
}

// Guards against a follower that reports the end of its process as an outage.
func TestEndOfTheFollowerIsNoOutage(t *testing.T) {
	r := &recorder{}
	f, _ := callFollower(&callSource{answers: []answer{{err: errDown}}}, r)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.Step(ctx)
	requireEqual(t, "events", r.events, nil)
}

// Guards against records that are skipped although each of them counts, because another
// router is further.
func TestRecordsThatAllCountAreNotSkipped(t *testing.T) {
	s := &callSource{answers: []answer{page(5, "a"), page(7, "b")}}
	f, _ := callFollower(s, &recorder{})
	f.Step(t.Context())
	f.options.PeerPosition = func() logpos.Position { return logpos.Position{Offset: 9} }
	f.Step(t.Context())
	requireEqual(t, "calls", s.calls, []string{"newest", "read from 5, wait 1h0m0s"})
}

// outageRecorder records the error with which an outage began.
type outageRecorder struct {
	recorder
	err error
}

func (r *outageRecorder) OutageStarted(err error) { r.err = err }

// Guards against an outage whose cause is lost, because a call without an answer is taken
// for an answer of an earlier era.
func TestCallWithoutAnAnswerKeepsItsError(t *testing.T) {
	r := &outageRecorder{}
	f, _ := callFollower(&callSource{answers: []answer{{page: Page{Era: NoEra}, err: errDown}}}, &r.recorder)
	f.observer = r
	f.Step(t.Context())
	if r.err != errDown {
		t.Errorf("the outage began with %v, want %v", r.err, errDown)
	}
}
