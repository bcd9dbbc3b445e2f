package feed

import (
	"context"
	"errors"
	"testing"
	"time"
)

// scriptedSource is a source that answers calls in turn.
type scriptedSource struct {
	answers []answer
	calls   []string
}

type answer struct {
	page Page
	err  error
}

func (s *scriptedSource) next(call string) (Page, error) {
	s.calls = append(s.calls, call)
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.page, a.err
}

func (s *scriptedSource) Newest(context.Context) (Page, error) { return s.next("newest") }

func (s *scriptedSource) Read(context.Context, int64, time.Duration) (Page, error) {
	return s.next("read")
}

// recorder notes what a follower tells.
type recorder struct {
	batches []Batch
	events  []string
}

func (r *recorder) Batch(b Batch) {
	r.batches = append(r.batches, b)
	r.events = append(r.events, "batch")
}
func (r *recorder) OutageStarted(error)       { r.events = append(r.events, "lost") }
func (r *recorder) OutageEnded(time.Duration) { r.events = append(r.events, "regained") }
func (r *recorder) HistoryExpired(int64)      { r.events = append(r.events, "expired") }
func (r *recorder) StaleList(int64, int64)    { r.events = append(r.events, "behind") }

func page(next int64, keys ...string) answer {
	p := Page{Next: next}
	for _, k := range keys {
		p.Records = append(p.Records, Record{Key: k, Value: []byte("v")})
	}
	return answer{page: p}
}

func follower(s *scriptedSource, l *recorder) *Follower {
	return New(s, Options{
		Timing:     func() Timing { return Timing{Pause: time.Second, Timeout: time.Second} },
		PeerOffset: func() int64 { return -1 },
		Grace:      2 * time.Second,
		MinOutage:  time.Second,
	}, l)
}

func same[T comparable](t *testing.T, what string, got, want []T) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%s: %v, want %v", what, got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("%s: %v, want %v", what, got, want)
		}
	}
}

var errDown = errors.New("down")

// Guards against a follower that forgets through an outage, believes a stale or
// empty list after history was lost, or reads everything again without need.
func TestFollowerHandlesFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []answer
		calls   []string
		events  []string
	}{
		{"list, then records", []answer{page(5, "a"), page(6, "b"), page(6)},
			[]string{"newest", "read", "read"}, []string{"batch", "batch"}},
		{"outage", []answer{page(5, "a"), {err: errDown}, {err: errDown}, page(6, "b")},
			[]string{"newest", "read", "read", "read"}, []string{"batch", "lost", "regained", "batch"}},
		{"history lost", []answer{page(5, "a"), {err: ErrExpired}, page(9, "a")},
			[]string{"newest", "read", "newest"}, []string{"batch", "expired", "batch"}},
		{"history lost, stale list", []answer{page(5, "a"), {err: ErrExpired}, page(3), page(9, "a")},
			[]string{"newest", "read", "newest", "newest"}, []string{"batch", "expired", "behind", "batch"}},
		{"down at the start", []answer{{err: errDown}, page(5, "a")},
			[]string{"newest", "newest"}, []string{"lost", "regained", "batch"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, l := &scriptedSource{answers: c.answers}, &recorder{}
			f := follower(s, l)
			for range c.calls {
				f.Step(t.Context())
			}
			same(t, "calls", s.calls, c.calls)
			same(t, "events", l.events, c.events)
		})
	}
}

// Guards against servers that are dropped because their entries lapsed during
// an outage: the first batches after it must say so. A single failed call is no
// outage: the grace it gave let a router use a server that had left.
func TestBatchAfterOutageHasGrace(t *testing.T) {
	for outage, want := range map[time.Duration]time.Duration{100 * time.Millisecond: 0, 3 * time.Second: 2 * time.Second} {
		s, l := &scriptedSource{answers: []answer{page(5, "a"), {err: errDown}, page(6, "a"), page(7, "a")}}, &recorder{}
		f := follower(s, l)
		now := time.Unix(1000, 0)
		f.now = func() time.Time { return now }
		f.Step(t.Context())
		f.Step(t.Context())
		now = now.Add(outage)
		f.Step(t.Context())
		f.Step(t.Context())
		if !l.batches[0].GraceUntil.IsZero() {
			t.Error("grace before any outage")
		}
		for _, b := range l.batches[1:] {
			if got := max(b.GraceUntil.Sub(now), 0); got != want {
				t.Errorf("outage of %s: grace of %s, want %s", outage, got, want)
			}
		}
	}
}

// Guards against a return of the store that is noticed late: the pauses between
// failed calls must stay short however long the outage lasts.
func TestPausesBetweenFailuresAreBounded(t *testing.T) {
	s, l := &scriptedSource{}, &recorder{}
	for range 50 {
		s.answers = append(s.answers, answer{err: errDown})
	}
	f := follower(s, l)
	for range 50 {
		if pause := f.Step(t.Context()); pause <= 0 || pause > 500*time.Millisecond {
			t.Fatalf("pause of %s", pause)
		}
	}
}

// Guards against a router that rests although another one has told it of news.
func TestPeerOffsetEndsThePause(t *testing.T) {
	s, l := &scriptedSource{answers: []answer{page(5, "a")}}, &recorder{}
	peerOffset := int64(-1)
	f := New(s, Options{
		Timing:     func() Timing { return Timing{Pause: time.Hour} },
		PeerOffset: func() int64 { return peerOffset },
	}, l)
	f.Step(t.Context())
	peerOffset = 5
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f.waitForNextCall(ctx, pauseFromTiming)
	if ctx.Err() != nil {
		t.Error("the follower rested on")
	}
}
