package fleetconfig

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
)

// fakeFleet returns the routers that the test sets.
type fakeFleet struct {
	routers []RouterStatus
	err     error
}

func (f *fakeFleet) Routers(context.Context) ([]RouterStatus, error) {
	return slices.Clone(f.routers), f.err
}

type publication struct {
	*fixture
	fleet *fakeFleet
	*Publisher
}

func newPublication(t *testing.T, data []byte) *publication {
	fleet := &fakeFleet{routers: []RouterStatus{{VM: "a", Answered: true, InForce: 99, Versions: []int{1, 2}}}}
	f := newFixture(t)
	p, err := NewPublisher(PublishOptions{Log: f.sim, Fleet: fleet, Clock: f.clock, File: "f.json"}, data)
	if err != nil {
		t.Fatal(err)
	}
	return &publication{f, fleet, p}
}

// run calls Step up to n times, or until the publication ends.
func (p *publication) run(n int) (*Result, error) {
	for i := 0; i < n; i++ {
		result, err := p.Step(context.Background())
		if result != nil || !Retryable(err) {
			return result, err
		}
	}
	return nil, nil
}

func (p *publication) copies() int {
	return len(p.sim.Records(StreamName))
}

func findingCode(err error) findings.Code {
	var e *findings.Error
	if errors.As(err, &e) {
		return e.Findings[0].Code
	}
	return ""
}

// Guards against a record that is reported accepted before every listed router
// has it in force, and against waiting for routers that have left.
func TestAcceptedOnlyWhenInForceEverywhere(t *testing.T) {
	p := newPublication(t, workspaceRecord("a", "w", ""))
	waiting := [][]RouterStatus{
		{},
		{{VM: "a", Removed: true, Answered: true, InForce: 1}},
		{{VM: "a", Answered: true, InForce: 1}, {VM: "b", Answered: true, InForce: 0}},
		{{VM: "a", Answered: true, InForce: 1}, {VM: "b", InForce: 1}},
	}
	if _, err := p.run(6); err != nil || p.phase != PhaseDone && p.phase != PhaseInForce {
		t.Fatalf("got phase %s and error %v, want the record in the log", p.phase, err)
	}
	p.phase = PhaseInForce
	for i, routers := range waiting {
		p.fleet.routers = routers
		if result, err := p.run(3); result != nil || err != nil {
			t.Fatalf("case %d: got %+v, %v; want no result yet", i, result, err)
		}
	}
	p.fleet.err = errors.New("VM list not available")
	if result, err := p.run(3); result != nil || err != nil {
		t.Fatalf("without a VM list: got %+v, %v; want no result yet", result, err)
	}
	p.fleet.err = nil
	p.fleet.routers = []RouterStatus{{VM: "a", Answered: true, InForce: 1}, {VM: "b", Removed: true}}
	if result, err := p.run(3); err != nil || result == nil || result.Offset != 0 {
		t.Fatalf("got %+v, %v; want the record accepted at offset 0", result, err)
	}
}

// Guards against a record in the log that a router cannot read.
func TestVersionsAreCheckedBeforeAppend(t *testing.T) {
	p := newPublication(t, workspaceRecord("a", "w", ""))
	p.fleet.routers = append(p.fleet.routers,
		RouterStatus{VM: "old-1", Answered: true, Versions: []int{1}}, RouterStatus{VM: "silent"})
	p.fleet.routers[0], p.fleet.routers[2] = p.fleet.routers[2], p.fleet.routers[0]
	if result, err := p.run(9); result != nil || err != nil || p.copies() != 0 {
		t.Fatalf("with a router that does not answer: got %+v, %v and %d copies; want no result and no copy", result, err, p.copies())
	}
	p.fleet.routers[0].Removed = true
	_, err := p.run(9)
	if findingCode(err) != findings.CodeUnreadable || !strings.Contains(err.Error(), "[old-1]") || p.copies() != 0 {
		t.Fatalf("got error %v and %d copies, want a schema version unreadable for old-1 and no copy", err, p.copies())
	}
}

// Guards against a record that is lost, or takes effect twice, when the answer
// to its append is lost or the append is delayed.
func TestLostAppendAnswers(t *testing.T) {
	cases := []struct {
		name     string
		fault    func(*logsim.Log)
		endFault func(*logsim.Log)
		copies   int
	}{
		{"answer lost", func(l *logsim.Log) { l.SetLoseAnswers(true) }, func(*logsim.Log) {}, 1},
		{"never applied", func(l *logsim.Log) { l.SetDown(true) }, func(l *logsim.Log) { l.SetDown(false) }, 1},
		{"applied before the second try", func(l *logsim.Log) { l.SetDelayAppends(true) }, func(l *logsim.Log) { l.SetDelayAppends(false); l.ApplyDelayed(-1) }, 1},
		{"applied after the second try", func(l *logsim.Log) { l.SetDelayAppends(true) }, func(l *logsim.Log) { l.SetDelayAppends(false) }, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPublication(t, workspaceRecord("a", "w", ""))
			for p.phase != PhaseAppend {
				_, _ = p.run(1)
			}
			c.fault(p.sim)
			if _, err := p.Step(context.Background()); !errors.Is(err, logstream.ErrUnavailable) || !Retryable(err) {
				t.Fatalf("got error %v, want ErrUnavailable that can be retried", err)
			}
			c.endFault(p.sim)
			result, err := p.run(9)
			p.sim.ApplyDelayed(-1)
			if err != nil || result == nil || p.copies() != c.copies {
				t.Fatalf("got %+v, %v and %d copies, want %d", result, err, p.copies(), c.copies)
			}
			r := p.fixture.reader(0)
			p.fixture.step(r, settleSteps)
			if h := r.History(); h[0].Outcome != OutcomeAccepted || len(h) > 1 && h[1].Outcome != OutcomeDuplicate {
				t.Fatalf("got history %+v, want accepted once and duplicate after it", h)
			}
		})
	}
}

// Guards against a record that is rejected without findings, with the wrong code
// or, for a conflict, with the wrong path.
func TestRejectedRecords(t *testing.T) {
	p := newPublication(t, workspaceRecord("b", "w", ""))
	p.fixture.append(workspaceRecord("a", "w", ""))
	if _, err := p.run(9); findingCode(err) != findings.CodeConflict || !strings.Contains(err.Error(), "f.json: $.changes[0].replaces") {
		t.Fatalf("conflict: got %v, want a conflict at replaces", err)
	}
	p = newPublication(t, workspaceRecord("a", "w", ""))
	p.fixture.append(workspaceRecord("a", "other", ""))
	if _, err := p.run(9); findingCode(err) != findings.CodeConflict || p.copies() != 1 {
		t.Fatalf("id of another record: got %v, want a conflict and no new record", err)
	}
	if _, err := NewPublisher(PublishOptions{}, []byte(`{}`)); findingCode(err) != findings.CodeMissing {
		t.Fatalf("invalid: got %v, want a missing field", err)
	}
}

// Guards against an interrupted publication that ends with an error for another
// state, such as not published although the append may have taken effect.
func TestErrorsOfInterruptedPublications(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*publication)
		want  error
	}{
		{"log down from the start", func(p *publication) { p.sim.SetDown(true) }, ErrNotPublished},
		{"append without an answer", func(p *publication) { p.sim.SetDelayAppends(true) }, ErrOutcomeUnknown},
		{"router without the record", func(p *publication) { p.fleet.routers[0].InForce = 0 }, ErrNotInForce},
		{"unreadable record in the log", func(p *publication) { p.fixture.append([]byte(laterSchema)) }, ErrNotPublished},
		{"no checkpoint above the floor", func(p *publication) {
			p.fixture.append(workspaceRecord("x", "x", ""))
			p.sim.SetFloor(StreamName, 1)
		}, ErrCheckpoint},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPublication(t, workspaceRecord("a", "w", ""))
			c.fault(p)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			steps := 0
			p.opts.Progress = func(Progress) {
				if steps++; steps == 12 {
					cancel()
				}
				go func() {
					if p.clock.BlockUntilContext(ctx, 1) == nil {
						p.clock.Advance(publishInterval)
					}
				}()
			}
			_, err := Publish(ctx, p.opts, p.data)
			if !errors.Is(err, c.want) {
				t.Fatalf("got error %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a publication that fails at the rate limit of the log, or that
// treats a refused append as one that may still take effect.
func TestRateLimitedAppendIsRepeated(t *testing.T) {
	p := newPublication(t, workspaceRecord("b", "w2", ""))
	limited := logsim.New(logsim.Options{Clock: p.clock, AppendsPerSecond: 1, AppendBurst: 1})
	p.sim, p.opts.Log, p.Publisher.reader.log = limited, limited, limited
	p.fixture.append(workspaceRecord("a", "w1", ""))
	if result, err := p.run(9); result != nil || err != nil || p.copies() != 1 {
		t.Fatalf("at the rate limit: got %+v, %v and %d records; want no result and 1", result, err, p.copies())
	}
	if err := p.stopError(context.Canceled); !errors.Is(err, ErrNotPublished) {
		t.Fatalf("got error %v, want ErrNotPublished", err)
	}
	p.clock.Advance(time.Second)
	if result, err := p.run(9); result == nil || err != nil || p.copies() != 2 {
		t.Fatalf("after the rate limit: got %+v, %v and %d records; want a result and 2", result, err, p.copies())
	}
}
