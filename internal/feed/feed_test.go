package feed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// scriptedSource is a source that returns the given answers in turn.
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

// recorder records the calls of a follower.
type recorder struct {
	batches []Batch
	events  []string
}

func (r *recorder) Batch(b Batch) {
	r.batches = append(r.batches, b)
	r.events = append(r.events, "batch")
}

func (r *recorder) OutageStarted(error)            { r.events = append(r.events, "outage started") }
func (r *recorder) CallOverdue(time.Duration)      { r.events = append(r.events, "call overdue") }
func (r *recorder) CallEnded(time.Time, bool)      {}
func (r *recorder) OutageEnded(time.Duration)      { r.events = append(r.events, "outage ended") }
func (r *recorder) HistoryExpired(logpos.Position) { r.events = append(r.events, "history expired") }
func (r *recorder) StaleList(logpos.Position, logpos.Position) {
	r.events = append(r.events, "stale list")
}
func (r *recorder) EraStarted(era int64, _ logpos.Position) {
	r.events = append(r.events, fmt.Sprintf("era %d", era))
}

func page(next int64, keys ...string) answer {
	p := Page{Next: next}
	for _, k := range keys {
		p.Records = append(p.Records, Record{Key: k, Value: []byte("v")})
	}
	return answer{page: p}
}

func follower(s *scriptedSource, r *recorder) *Follower {
	return New(s, Options{
		Timing:       func() Timing { return Timing{Pause: time.Second, Timeout: time.Second} },
		PeerPosition: func() logpos.Position { return logpos.None },
		Eras:         &Eras{},
		EraReported:  func(int64) time.Time { return time.Time{} },
		Grace:        2 * time.Second,
		MinOutage:    time.Second,
	}, r)
}

func requireEqual[T comparable](t *testing.T, what string, got, want []T) {
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

// runScript lets a follower get the answers in turn and checks the calls that it makes
// and what it reports.
func runScript(t *testing.T, answers []answer, calls, events []string) *Follower {
	t.Helper()
	s, r := &scriptedSource{answers: answers}, &recorder{}
	f := follower(s, r)
	for range calls {
		f.Step(t.Context())
	}
	requireEqual(t, "calls", s.calls, calls)
	requireEqual(t, "events", r.events, events)
	return f
}

// Guards against a follower that loses its position during an outage, accepts a
// stale or empty list after records were deleted, or reads the full list again
// without need.
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
			[]string{"newest", "read", "read", "read"}, []string{"batch", "outage started", "outage ended", "batch"}},
		{"history expired", []answer{page(5, "a"), {err: ErrExpired}, page(9, "a")},
			[]string{"newest", "read", "newest"}, []string{"batch", "history expired", "batch"}},
		{"history expired, stale list", []answer{page(5, "a"), {err: ErrExpired}, page(3), page(9, "a")},
			[]string{"newest", "read", "newest", "newest"}, []string{"batch", "history expired", "stale list", "batch"}},
		{"store unavailable at the start", []answer{{err: errDown}, page(5, "a")},
			[]string{"newest", "newest"}, []string{"outage started", "outage ended", "batch"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScript(t, c.answers, c.calls, c.events)
		})
	}
}

// Guards against servers that are removed because their entries expired during an
// outage: the batches after an outage must have a grace period. A single failed
// call is no outage: the grace period after it let a router use a server that had
// left.
func TestBatchAfterOutageHasGrace(t *testing.T) {
	for outage, want := range map[time.Duration]time.Duration{100 * time.Millisecond: 0, 3 * time.Second: 2 * time.Second} {
		s, r := &scriptedSource{answers: []answer{page(5, "a"), {err: errDown}, page(6, "a"), page(7, "a")}}, &recorder{}
		f := follower(s, r)
		now := time.Unix(1000, 0)
		f.now = func() time.Time { return now }
		f.Step(t.Context())
		f.Step(t.Context())
		now = now.Add(outage)
		f.Step(t.Context())
		f.Step(t.Context())
		if !r.batches[0].GraceUntil.IsZero() {
			t.Error("grace period before any outage")
		}
		for _, b := range r.batches[1:] {
			if got := max(b.GraceUntil.Sub(now), 0); got != want {
				t.Errorf("outage of %s: grace period of %s, want %s", outage, got, want)
			}
		}
	}
}

// Guards against late detection of the end of an outage: the pauses between failed
// calls must stay short however long the outage lasts.
func TestPausesBetweenFailuresAreBounded(t *testing.T) {
	s, r := &scriptedSource{}, &recorder{}
	for range 50 {
		s.answers = append(s.answers, answer{err: errDown})
	}
	f := follower(s, r)
	for range 50 {
		if pause := f.Step(t.Context()); pause <= 0 || pause > 500*time.Millisecond {
			t.Fatalf("pause of %s, want more than 0 and at most 500 ms", pause)
		}
	}
}

// Guards against a router that reads each configuration of a quick succession: 59
// routers made 900 calls for 16 of them. It waits for the last ones and reads only
// the newest record, and ignores a list older than what it has read.
func TestReportedRecordsAreReadTogether(t *testing.T) {
	s := &scriptedSource{answers: []answer{page(5, "a"), page(8, "a"), page(6, "a"), page(9, "a")}}
	r := &recorder{}
	now := time.Unix(1000, 0)
	peerOffset := int64(-1)
	f := New(s, Options{
		Timing:       func() Timing { return Timing{Pause: time.Hour, Timeout: time.Second, Settle: 40 * time.Millisecond} },
		PeerPosition: func() logpos.Position { return logpos.Position{Offset: peerOffset} }, Eras: &Eras{},
		NewestOnly: true,
	}, r)
	f.now = func() time.Time { return now }
	f.Step(t.Context())
	peerOffset = 5
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	f.waitForNextCall(ctx, pauseFromTiming)
	if ctx.Err() == nil {
		t.Error("the pause ended as soon as a record was reported, want a wait for further ones")
	}
	peerOffset = 7
	f.now = time.Now
	f.waitForNextCall(t.Context(), pauseFromTiming)
	f.Step(t.Context())
	peerOffset = 9
	f.Step(t.Context())
	f.Step(t.Context())
	requireEqual(t, "calls", s.calls, []string{"newest", "newest", "newest", "newest"})
	requireEqual(t, "events", r.events, []string{"batch", "batch", "stale list", "batch"})
	if f.position.next.Offset != 9 {
		t.Errorf("next offset %d, want 9", f.position.next.Offset)
	}
}

// Guards against a router that is turned away by the store and calls it three times a
// second although others read for it: 975 of 3,172 calls of a day. The longest wait
// is that of Timing.
func TestFailuresAreSpacedWhereOthersRead(t *testing.T) {
	s, r := &scriptedSource{}, &recorder{}
	for range 20 {
		s.answers = append(s.answers, answer{err: errDown})
	}
	f := New(s, Options{
		Timing:       func() Timing { return Timing{Timeout: time.Second, MaxBackoff: 4 * time.Second} },
		PeerPosition: func() logpos.Position { return logpos.None },
		Eras:         &Eras{},
	}, r)
	var pause time.Duration
	for range 20 {
		pause = f.Step(t.Context())
	}
	if pause < 3*time.Second || pause > 5*time.Second {
		t.Errorf("pause of %s after 20 failures, want about 4 s", pause)
	}
}

// Guards against a router that waits out its pause after a failure although another
// one has read a change since: a configuration was in force 2.5 s late after an
// outage. A report that the last call already followed does not end the pause.
func TestPeerPositionEndsThePauseAfterAFailure(t *testing.T) {
	s := &scriptedSource{answers: []answer{page(5, "a"), {err: errDown}, {err: errDown}}}
	peerOffset := int64(7)
	f := New(s, Options{
		Timing:       func() Timing { return Timing{Timeout: time.Second} },
		PeerPosition: func() logpos.Position { return logpos.Position{Offset: peerOffset} }, Eras: &Eras{},
	}, &recorder{})
	f.Step(t.Context())
	f.Step(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	f.waitForNextCall(ctx, time.Hour)
	if ctx.Err() == nil {
		t.Error("a report that the last call had followed ended the pause")
	}
	peerOffset = 8
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f.waitForNextCall(ctx, time.Hour)
	if ctx.Err() != nil {
		t.Error("a new report did not end the pause")
	}
}

// Guards against a router that continues to wait although another one has reported
// a newer record.
func TestPeerPositionEndsThePause(t *testing.T) {
	s, r := &scriptedSource{answers: []answer{page(5, "a")}}, &recorder{}
	peerOffset := int64(-1)
	f := New(s, Options{
		Timing:       func() Timing { return Timing{Pause: time.Hour} },
		PeerPosition: func() logpos.Position { return logpos.Position{Offset: peerOffset} }, Eras: &Eras{},
	}, r)
	f.Step(t.Context())
	peerOffset = 5
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f.waitForNextCall(ctx, pauseFromTiming)
	if ctx.Err() != nil {
		t.Error("the follower did not end its pause")
	}
}

// Guards against many routers that call the store at the same moment once in each pause,
// because something has made all of them read at the same time before: their pauses must
// differ by more than the steps in which they are waited for.
func TestPausesOfFollowersDiffer(t *testing.T) {
	const pause = 600 * time.Millisecond
	shorter := make(chan bool)
	for range 20 {
		go func() {
			f := follower(&scriptedSource{}, &recorder{})
			f.options.Timing = func() Timing { return Timing{Pause: pause} }
			start := time.Now()
			f.waitForNextCall(t.Context(), pauseFromTiming)
			shorter <- time.Since(start) < pause-pause/50
		}()
	}
	n := 0
	for range 20 {
		if <-shorter {
			n++
		}
	}
	if n == 0 {
		t.Error("no pause of 20 is 2 in 100 shorter than the others")
	}
}
