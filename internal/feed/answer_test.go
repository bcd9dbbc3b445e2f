package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// arrivingSource begins its answers at once. The whole takes parts of a length each; with a stall the rest never comes.
type arrivingSource struct {
	parts   int
	each    time.Duration
	stalled bool
	calls   atomic.Int32
}

func (s *arrivingSource) Newest(ctx context.Context) (Page, error) {
	s.calls.Add(1)
	for range s.parts {
		Arriving(ctx)
		select {
		case <-time.After(s.each):
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
	if s.stalled {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return page(5, "a").page, nil
}

func (s *arrivingSource) Read(ctx context.Context, _ int64, _ time.Duration) (Page, error) {
	return s.Newest(ctx)
}

// Guards against a router behind a slow link that ends its first call while a large configuration arrives, because it takes
// longer than a call without an answer may, or because another router has it already: it then begins anew each time.
func TestFirstCallWhoseAnswerArrivesGoesOn(t *testing.T) {
	t.Parallel()
	s, reported := &arrivingSource{parts: 20, each: 100 * time.Millisecond}, &atomic.Bool{}
	f, r := firstCallFollower(s, reported)
	f.options.Timing = func() Timing { return Timing{Pause: time.Second, Timeout: time.Second} }
	time.AfterFunc(300*time.Millisecond, func() { reported.Store(true) })
	stepUntilRead(t, f)
	if calls := s.calls.Load(); calls != 1 || len(r.events) != 1 {
		t.Errorf("%d calls, reported %v, want one call and its list", calls, r.events)
	}
}

// waitingSource answers reads at the end of their wait, as a store without a new record does.
type waitingSource struct{ arrivingSource }

func (s *waitingSource) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	select {
	case <-time.After(wait):
		return page(from).page, nil
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
}

// Guards against a call that ends while the store holds it, as long as its wait lasts.
func TestCallMayLastAsLongAsItsWait(t *testing.T) {
	t.Parallel()
	f, _ := firstCallFollower(&waitingSource{}, &atomic.Bool{})
	f.options.Timing = func() Timing {
		return Timing{Wait: 1500 * time.Millisecond, Pause: time.Hour, Timeout: time.Second}
	}
	for range 2 {
		f.Step(t.Context())
	}
	if f.failures != 0 {
		t.Errorf("%d failures, want none", f.failures)
	}
}

// Guards against a call that hangs because its answer stands still.
func TestAnswerThatStandsStillEndsTheCall(t *testing.T) {
	t.Parallel()
	s := &arrivingSource{parts: 2, each: 10 * time.Millisecond, stalled: true}
	f, _ := firstCallFollower(s, &atomic.Bool{})
	f.options.Timing = func() Timing { return Timing{Pause: time.Second, Timeout: 200 * time.Millisecond} }
	begun := time.Now()
	f.Step(t.Context())
	if took := time.Since(begun); f.failures != 1 || took > waitForAnswer/4 {
		t.Errorf("%d failures after %v, want 1 after the timeout", f.failures, took)
	}
}

// Guards against an answer of which a byte comes now and then and that never ends.
func TestAnswerThatNeverEndsEndsTheCall(t *testing.T) {
	t.Parallel()
	w := &answerWatch{cancel: func() {}, timeout: time.Second, stalled: time.NewTimer(time.Hour)}
	w.progress()
	w.latest = time.Now().Add(100 * time.Millisecond)
	w.progress()
	if left := time.Until(w.due); left > 100*time.Millisecond {
		t.Errorf("the call has %v left, want no more than the answer has", left)
	}
	w.end()
}
