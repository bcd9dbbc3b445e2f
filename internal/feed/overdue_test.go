package feed

import (
	"context"
	"net/http/httptrace"
	"slices"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// slowSource answers after a delay, and before that it may report the first byte of an answer.
type slowSource struct {
	delay, firstByte time.Duration
	waits            []time.Duration
}

func (s *slowSource) answer(ctx context.Context) (Page, error) {
	if s.firstByte > 0 {
		time.Sleep(s.firstByte)
		httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
	}
	select {
	case <-time.After(s.delay - s.firstByte):
		return Page{Next: 5}, nil
	case <-ctx.Done():
		return Page{Era: NoEra}, ctx.Err()
	}
}

func (s *slowSource) Newest(ctx context.Context) (Page, error) { return s.answer(ctx) }

func (s *slowSource) Read(ctx context.Context, _ int64, wait time.Duration) (Page, error) {
	s.waits = append(s.waits, wait)
	return s.answer(ctx)
}

// endRecorder records how calls ended.
type endRecorder struct {
	recorder
	ends []bool
}

func (r *endRecorder) CallEnded(_ time.Time, answered bool) { r.ends = append(r.ends, answered) }

func overdueFollower(s Source, r Observer, timing Timing) *Follower {
	return New(s, Options{
		Timing:       func() Timing { return timing },
		PeerPosition: func() logpos.Position { return logpos.None },
		Eras:         &Eras{},
		EraReported:  func(int64) time.Time { return time.Time{} },
	}, r)
}

// Guards against a reader that counts as one for as long as a call hangs, and against one that is given up because a long
// answer takes its time or because nobody has written anything for as long as the store waits.
func TestCallWithoutAnAnswerIsOverdue(t *testing.T) {
	t.Parallel()
	const wait, overdue, timeout = 200 * time.Millisecond, 200 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		source       slowSource
		overdue      time.Duration
		wantOverdue  bool
		wantAnswered bool
	}{
		"answered":                {slowSource{delay: 10 * time.Millisecond}, overdue, false, true},
		"waited":                  {slowSource{delay: wait + overdue/4}, overdue, false, true},
		"late":                    {slowSource{delay: wait + overdue + timeout/2}, overdue, true, true},
		"never":                   {slowSource{delay: time.Hour}, overdue, true, false},
		"long answer":             {slowSource{delay: wait + overdue + timeout/2, firstByte: wait}, overdue, false, true},
		"reads for itself, never": {slowSource{delay: time.Hour}, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &endRecorder{}
			f := overdueFollower(&c.source, r, Timing{Wait: wait, Timeout: timeout, Overdue: c.overdue})
			f.position, f.answeredAt = position{next: logpos.Position{Offset: 5}, complete: true}, f.now()
			f.Step(t.Context())
			if got := slices.Contains(r.events, "call overdue"); got != c.wantOverdue {
				t.Errorf("overdue: %v, want %v", got, c.wantOverdue)
			}
			if !slices.Equal(r.ends, []bool{c.wantAnswered}) {
				t.Errorf("ends %v, want one, answered %v", r.ends, c.wantAnswered)
			}
		})
	}
}

// Guards against a router that takes over from readers to which the store does not answer, and learns only after a whole
// wait that it does not answer this one either.
func TestFirstCallAfterALongTimeDoesNotWait(t *testing.T) {
	t.Parallel()
	now := time.Now()
	s := &slowSource{}
	f := overdueFollower(s, &recorder{}, Timing{Wait: time.Second, Pause: time.Second, Timeout: time.Second, Overdue: time.Second})
	f.now = func() time.Time { return now }
	f.position, f.answeredAt = position{next: logpos.Position{Offset: 5}, complete: true}, now
	for _, pause := range []time.Duration{3 * time.Second, 4 * time.Second, time.Second} {
		now = now.Add(pause)
		f.Step(t.Context())
	}
	if want := []time.Duration{time.Second, 0, time.Second}; !slices.Equal(s.waits, want) {
		t.Errorf("waits %v, want %v", s.waits, want)
	}
}
