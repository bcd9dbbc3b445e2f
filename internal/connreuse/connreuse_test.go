package connreuse

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed"
)

var start = time.Unix(1_000_000, 0)

// step is a report at a time after start. begun is the start of its exchange.
type step struct {
	at, begun time.Duration
	report    func(s *State, now, begun time.Time) *Change
	// stops is set when the reuse must end with this step.
	stops bool
}

func unasked(s *State, now, _ time.Time) *Change { return s.RecordUnasked(now) }
func other(s *State, now, begun time.Time) *Change {
	return s.RecordSpoiled(now, begun, OtherAnswer)
}
func answered(s *State, _, begun time.Time) *Change { s.RecordAnswered(begun, true); return nil }
func closed(s *State, now, begun time.Time) *Change { return s.RecordUnanswered(now, begun, true) }
func closedNew(s *State, now, begun time.Time) *Change {
	return s.RecordUnanswered(now, begun, false)
}

const ms = time.Millisecond

// Guards against signs that have no effect, and against an end of the reuse by closes that
// every server may show.
func TestSignsThatStopTheReuse(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"bytes on an idle connection", []step{{0, 0, unasked, true}}},
		{"answer of another request", []step{{5 * ms, 0, other, true}}},
		{"three closes with answers in between", []step{
			{1 * ms, 0, closed, false},
			{3 * ms, 2 * ms, answered, false}, {4 * ms, 3 * ms, closed, false},
			{6 * ms, 5 * ms, answered, false}, {7 * ms, 6 * ms, closed, true},
		}},
		{"one idle timeout now and then", []step{
			{0, 0, closed, false},
			{4000 * ms, 3000 * ms, answered, false}, {6000 * ms, 5000 * ms, closed, false},
			{8000 * ms, 7000 * ms, answered, false}, {11000 * ms, 10900 * ms, closed, false},
		}},
		{"crash with requests in flight", []step{
			{10 * ms, 1 * ms, closed, false}, {11 * ms, 2 * ms, answered, false}, {12 * ms, 3 * ms, closed, false},
			{13 * ms, 4 * ms, answered, false}, {14 * ms, 5 * ms, closed, false}, {15 * ms, 6 * ms, closed, false},
		}},
		{"closes of kept connections to a server that answers nothing", []step{
			{1 * ms, 0, closed, false}, {3 * ms, 2 * ms, closed, false}, {5 * ms, 4 * ms, closed, false}, {7 * ms, 6 * ms, closed, false},
		}},
		{"a server that loses a few answers", []step{
			{1 * ms, 0, closed, false},
			{3 * ms, 2 * ms, answered, false}, {3 * ms, 2 * ms, answered, false}, {3 * ms, 2 * ms, answered, false},
			{3 * ms, 2 * ms, answered, false}, {3 * ms, 2 * ms, answered, false}, {4 * ms, 3 * ms, closed, false},
			{6 * ms, 5 * ms, answered, false}, {6 * ms, 5 * ms, answered, false}, {6 * ms, 5 * ms, answered, false},
			{6 * ms, 5 * ms, answered, false}, {6 * ms, 5 * ms, answered, false}, {7 * ms, 6 * ms, closed, false},
		}},
		{"a server that also closes new connections", []step{
			{1 * ms, 0, closedNew, false},
			{3 * ms, 2 * ms, answered, false}, {4 * ms, 3 * ms, closed, false},
			{6 * ms, 5 * ms, answered, false}, {7 * ms, 6 * ms, closed, false},
			{9 * ms, 8 * ms, answered, false}, {10 * ms, 9 * ms, closed, false},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s State
			for i, step := range c.steps {
				change := step.report(&s, start.Add(step.at), start.Add(step.begun))
				if (change != nil) != step.stops {
					t.Fatalf("step %d: change %+v, want one: %v", i, change, step.stops)
				}
				if may, _ := s.MayReuse(start.Add(step.at)); may == step.stops {
					t.Fatalf("step %d: reuse is allowed: %v", i, may)
				}
			}
		})
	}
}

// Guards against a period that does not double, or that signs of older connections extend.
func TestPeriodsDoubleAndExpire(t *testing.T) {
	var s State
	now := start
	for _, want := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
		want *= time.Second
		change := s.RecordUnasked(now)
		if change == nil || change.Period != want {
			t.Fatalf("change %+v, want a period of %v", change, want)
		}
		if s.RecordUnasked(now.Add(want/2)) != nil {
			t.Fatal("a second sign within the period extended it")
		}
		end := now.Add(want)
		if s.RecordSpoiled(end.Add(ms), now.Add(-ms), OtherAnswer) != nil {
			t.Fatal("a connection from before the period began a second one")
		}
		if may, _ := s.MayReuse(end.Add(-1)); may {
			t.Fatal("the period ended too early")
		}
		may, change := s.MayReuse(end)
		if !may || change == nil || !change.Allowed {
			t.Fatalf("at the end: allowed %v, change %+v", may, change)
		}
		now = end.Add(time.Second)
	}
	if change := s.RecordUnasked(now.Add(memory)); change == nil || change.Period != minPeriod {
		t.Errorf("change %+v after a quiet time, want a period of %v", change, minPeriod)
	}
}

// Guards against new connections that cost their price without use: the server closes them
// as well.
func TestCloseOfANewConnectionEndsThePeriodOfCloses(t *testing.T) {
	var s State
	for i := range closeThreshold {
		at := start.Add(time.Duration(i) * time.Second)
		s.RecordAnswered(at.Add(-2*ms), false)
		s.RecordUnanswered(at, at.Add(-ms), true)
	}
	now := start.Add(3 * time.Second)
	if may, _ := s.MayReuse(now); may {
		t.Fatal("three closes did not end the reuse")
	}
	if change := s.RecordUnanswered(now, now.Add(-ms), false); change == nil || !change.Allowed {
		t.Errorf("change %+v, want the end of the period", change)
	}
	var spoiled State
	spoiled.RecordUnasked(start)
	if spoiled.RecordUnanswered(start.Add(ms), start.Add(ms), false) != nil {
		t.Error("a close ended a period that began for another cause")
	}
}

// Guards against a belief that never expires, against periods out of their bounds, and
// against starts and ends that are not reported in turn, for any series of reports.
func TestAnySeriesIsBounded(t *testing.T) {
	reports := []func(*State, time.Time, time.Time) *Change{unasked, other, answered, closed, closedNew}
	rapid.Check(t, func(t *rapid.T) {
		var s State
		now, allowed := start, true
		note := func(change *Change) {
			if change == nil {
				return
			}
			if change.Allowed == allowed && allowed {
				t.Fatal("an end was reported without a start")
			}
			if change.Period < minPeriod || change.Period > maxPeriod {
				t.Fatalf("period %v", change.Period)
			}
			allowed = change.Allowed
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * ms)
			begun := now.Add(-time.Duration(rapid.IntRange(0, 30_000).Draw(t, "age")) * ms)
			note(rapid.SampledFrom(reports).Draw(t, "report")(&s, now, begun))
			may, change := s.MayReuse(now)
			note(change)
			if may != allowed {
				t.Fatalf("reuse is allowed: %v; reported: %v", may, allowed)
			}
		}
		if may, _ := s.MayReuse(now.Add(maxPeriod)); !may {
			t.Fatal("the period did not expire")
		}
	})
}

// Guards against a crash that ends the reuse: all exchanges in flight end in any order, and
// kept connections that are tried afterwards end without an answer.
func TestACrashIsNoSign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		crash := start.Add(time.Second)
		for i := range rapid.IntRange(0, 40).Draw(t, "in flight") {
			begun := crash.Add(-time.Duration(rapid.IntRange(1, 1000).Draw(t, "age")) * ms)
			report := rapid.SampledFrom([]func(*State, time.Time, time.Time) *Change{answered, closed}).Draw(t, "end")
			if report(&s, crash.Add(time.Duration(i)*ms), begun) != nil {
				t.Fatal("an exchange in flight ended the reuse")
			}
		}
		for i := range rapid.IntRange(0, 20).Draw(t, "kept") {
			begun := crash.Add(time.Duration(100+2*i) * ms)
			if closed(&s, begun.Add(ms), begun) != nil {
				t.Fatal("a kept connection ended the reuse")
			}
		}
	})
}
