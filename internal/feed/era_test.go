package feed

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// in returns an answer given in an era.
func in(era int64, a answer) answer {
	a.page.Era = era
	return a
}

// Guards against records of a new era that are taken for those that follow the ones
// read before, against a list that is missed, and against an answer of an earlier era
// that is believed.
func TestFollowerStartsAnewInEachEra(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []answer
		calls   []string
		events  []string
	}{
		{"records of a new era", []answer{in(1, page(50, "a")), in(2, page(51, "b")), in(2, page(7, "a")), in(2, page(8, "b"))},
			[]string{"newest", "read", "newest", "read"}, []string{"batch", "era 2", "batch", "batch"}},
		{"offset that the new era does not have", []answer{in(1, page(50, "a")), in(2, answer{err: ErrExpired}), in(2, page(7, "a"))},
			[]string{"newest", "read", "newest"}, []string{"batch", "era 2", "batch"}},
		{"refusal in a new era", []answer{in(1, page(50, "a")), in(2, answer{err: errDown}), in(2, page(7, "a"))},
			[]string{"newest", "read", "newest"}, []string{"batch", "era 2", "batch"}},
		{"two eras in quick succession", []answer{in(1, page(50, "a")), in(2, page(51, "b")), in(3, page(7, "a")), in(3, page(8, "b"))},
			[]string{"newest", "read", "newest", "read"}, []string{"batch", "era 2", "era 3", "batch", "batch"}},
		{"answer of an earlier era", []answer{in(2, page(50, "a")), in(1, page(51, "b")), in(2, page(52, "b"))},
			[]string{"newest", "read", "read"}, []string{"batch", "outage started", "outage ended", "batch"}},
		{"list of an earlier era", []answer{in(2, page(50, "a")), in(2, answer{err: ErrExpired}), in(1, page(60, "b")), in(2, page(61, "b"))},
			[]string{"newest", "read", "newest", "newest"}, []string{"batch", "history expired", "outage started", "outage ended", "batch"}},
		{"list of two eras", []answer{in(1, page(50, "a")), in(2, page(51)), in(3, answer{err: ErrMixedEras}), in(3, page(9, "a"))},
			[]string{"newest", "read", "newest", "newest"}, []string{"batch", "era 2", "era 3", "outage started", "outage ended", "batch"}},
		{"store that begins to name its era", []answer{page(50, "a"), in(2, page(51, "b")), in(2, page(51, "b"))},
			[]string{"newest", "read", "newest"}, []string{"batch", "era 2", "batch"}},
		{"unreadable era", []answer{in(1, page(50, "a")), in(NoEra, answer{err: errDown}), in(1, page(51, "b"))},
			[]string{"newest", "read", "read"}, []string{"batch", "outage started", "outage ended", "batch"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := runScript(t, c.answers, c.calls, c.events)
			last := c.answers[len(c.answers)-1].page
			if want := (logpos.Position{Era: last.Era, Offset: last.Next}); f.position.next != want {
				t.Errorf("next position %s, want %s", f.position.next, want)
			}
		})
	}
}

// Guards against a follower that believes an answer of an earlier era, which was on
// its way while the follower of another topic already saw the new one, and against
// one that goes on reading at an offset of the earlier era.
func TestFollowersOfAStoreShareItsEra(t *testing.T) {
	eras := &Eras{}
	newFollower := func(answers ...answer) (*Follower, *scriptedSource, *recorder) {
		s, r := &scriptedSource{answers: answers}, &recorder{}
		f := follower(s, r)
		f.options.Eras = eras
		return f, s, r
	}
	slow, calls, events := newFollower(in(1, page(50, "a")), in(1, page(51, "b")), in(2, page(7, "a")))
	fast, _, fastEvents := newFollower(in(1, page(3, "c")), in(2, page(4, "c")))
	slow.Step(t.Context())
	fast.Step(t.Context())
	fast.Step(t.Context())
	requireEqual(t, "events of the first", fastEvents.events, []string{"batch", "era 2"})
	slow.Step(t.Context())
	slow.Step(t.Context())
	requireEqual(t, "calls of the other", calls.calls, []string{"newest", "newest", "newest"})
	requireEqual(t, "events of the other", events.events, []string{"batch", "outage started", "outage ended", "batch"})
}

// Guards against calls in a tight loop while the store, which another follower has
// seen in a new era, does not answer this one.
func TestNoAnswerInANewEraBacksOff(t *testing.T) {
	s, r := &scriptedSource{answers: []answer{in(1, page(5, "a")), in(NoEra, answer{err: errDown}), in(NoEra, answer{err: errDown})}}, &recorder{}
	f := follower(s, r)
	f.Step(t.Context())
	if _, err := f.options.Eras.record(2); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if pause := f.Step(t.Context()); pause < minBackoff/2 {
			t.Errorf("pause of %s after a failed call, want a back-off", pause)
		}
	}
}

// Guards against removed servers that are used for a whole grace period by a follower
// which sees an era long after another router, and against a grace that is cut short
// after an outage of the follower's own.
func TestGraceCountsFromTheFirstReportOfAnEra(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		reported time.Time
		outage   time.Duration
		want     time.Duration
	}{
		{"not reported", time.Time{}, 0, 2 * time.Second},
		{"reported just before", now.Add(-500 * time.Millisecond), 0, 1500 * time.Millisecond},
		{"reported long before", now.Add(-20 * time.Second), 0, -18 * time.Second},
		{"reported long before, with an outage", now.Add(-20 * time.Second), 5 * time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := &scriptedSource{answers: []answer{in(1, page(5, "a")), in(1, answer{err: errDown}), in(2, page(9)), in(2, page(3, "a"))}}, &recorder{}
			f := follower(s, r)
			f.options.EraReported = func(int64) time.Time { return c.reported }
			f.now = func() time.Time { return now.Add(-c.outage) }
			f.Step(t.Context())
			f.Step(t.Context())
			f.now = func() time.Time { return now }
			f.Step(t.Context())
			f.Step(t.Context())
			if got := r.batches[1].GraceUntil.Sub(now); got != c.want {
				t.Errorf("grace ends in %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against servers that are dropped because the copy from which the store came
// back lacks their entries, and against a grace period at the start.
func TestNewEraHasGrace(t *testing.T) {
	s, r := &scriptedSource{answers: []answer{in(1, page(5, "a")), in(2, page(9)), in(2, page(3, "a")), in(2, page(4, "a"))}}, &recorder{}
	f := follower(s, r)
	now := time.Unix(1000, 0)
	f.now = func() time.Time { return now }
	for range 4 {
		f.Step(t.Context())
	}
	if !r.batches[0].GraceUntil.IsZero() {
		t.Error("grace period at the start")
	}
	for _, b := range r.batches[1:] {
		if got := b.GraceUntil.Sub(now); got != 2*time.Second {
			t.Errorf("grace period of %s in the new era, want 2 s", got)
		}
	}
}
