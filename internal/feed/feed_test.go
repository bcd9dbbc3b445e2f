package feed

import (
	"context"
	"errors"
	"testing"
	"time"
)

// script is a source that answers calls in turn.
type script struct {
	answers []answer
	calls   []string
}

type answer struct {
	page Page
	err  error
}

func (s *script) next(call string) (Page, error) {
	s.calls = append(s.calls, call)
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.page, a.err
}

func (s *script) Newest(context.Context) (Page, error) { return s.next("newest") }

func (s *script) Read(context.Context, int64, time.Duration) (Page, error) { return s.next("read") }

// log notes what a follower tells.
type log struct {
	batches []Batch
	events  []string
}

func (l *log) Batch(b Batch)          { l.batches = append(l.batches, b); l.events = append(l.events, "batch") }
func (l *log) Lost(error)             { l.events = append(l.events, "lost") }
func (l *log) Regained(time.Duration) { l.events = append(l.events, "regained") }
func (l *log) Expired(int64)          { l.events = append(l.events, "expired") }
func (l *log) Behind(int64, int64)    { l.events = append(l.events, "behind") }

func page(next int64, keys ...string) answer {
	p := Page{Next: next}
	for _, k := range keys {
		p.Records = append(p.Records, Record{Key: k, Value: []byte("v")})
	}
	return answer{page: p}
}

func follower(s *script, l *log) *Follower {
	return New(s, Options{
		Pace:       func() Pace { return Pace{Pause: time.Second, Timeout: time.Second} },
		News:       func() int64 { return -1 },
		Grace:      2 * time.Second,
		GraceAfter: time.Second,
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
func TestFollowerThroughFaults(t *testing.T) {
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
			s, l := &script{answers: c.answers}, &log{}
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
		s, l := &script{answers: []answer{page(5, "a"), {err: errDown}, page(6, "a"), page(7, "a")}}, &log{}
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
	s, l := &script{}, &log{}
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
func TestNewsEndTheRest(t *testing.T) {
	s, l := &script{answers: []answer{page(5, "a")}}, &log{}
	news := int64(-1)
	f := New(s, Options{
		Pace: func() Pace { return Pace{Pause: time.Hour} },
		News: func() int64 { return news },
	}, l)
	f.Step(t.Context())
	news = 5
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f.rest(ctx, paced)
	if ctx.Err() != nil {
		t.Error("the follower rested on")
	}
}
