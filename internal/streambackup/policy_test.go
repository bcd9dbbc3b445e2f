package streambackup

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// typicalPool, typicalEngine and typicalRun are those of a pool of 20 engines with prompts of 12,000 tokens.
var (
	typicalPool   = Pool{KVTokens: 483_671, KVTokenBytes: 18_432, LinkMbps: 280_000, Slots: 64}
	typicalEngine = Engine{ID: 1, Engines: 20}
	typicalRun    = Run{PromptTokens: 12_000, OutputHint: 500, Remaining: 30 * time.Second, ReadTime: 240 * time.Millisecond}
	typicalTarget = Target{Load: 0.4}
)

// Guards against runs that are lost with their engine although ends come in series, and against copies that cost more
// than the runs that they save.
func TestRunIsBackedUpWhenItsLossExceedsTheCopy(t *testing.T) {
	end := func(h *Hazard) { h.Record(start, 100, 100, Vanished) }
	for _, c := range []struct {
		name   string
		ends   func(*Hazard)
		engine func(*Engine)
		run    func(*Run)
		target func(*Target)
		after  time.Duration
		want   bool
	}{
		{name: "quiet day", ends: func(*Hazard) {}, want: false},
		{name: "one end in the pool", want: true},
		{name: "one end that others report", ends: func(h *Hazard) { h.Record(start, 100, 100, Reported) }, want: true},
		{name: "one end, a while ago", after: 20 * time.Second, want: false},
		{name: "one reset", ends: func(h *Hazard) { h.Record(start, 100, 100, Broken) }, want: false},
		{name: "resets of several requests", ends: func(h *Hazard) {
			h.Record(start, 100, 100, Broken)
			h.Record(start, 100, 100, Broken)
		}, want: true},
		{name: "resumable", run: func(r *Run) { r.Resumable = true }, want: false},
		{name: "resumable, many ends", ends: func(h *Hazard) {
			for i := range uint64(8) {
				h.Record(start, 100+i, 100+i, Vanished)
			}
		}, run: func(r *Run) { r.Resumable, r.OutputHint = true, 100 }, target: func(t *Target) { t.Load = 0.2 }, want: true},
		{name: "one end in a large pool", engine: func(e *Engine) { e.Engines = 300 }, want: false},
		{name: "end of the same engine in a large pool", engine: func(e *Engine) { e.Engines, e.ID = 300, 100 }, want: true},
		{name: "young engine in a larger pool", engine: func(e *Engine) { e.Engines, e.Age = 45, time.Second }, want: true},
		{name: "older engine in a larger pool", engine: func(e *Engine) { e.Engines, e.Age = 45, time.Hour }, want: false},
		{name: "release in a larger pool", engine: func(e *Engine) { e.Engines, e.Release = 37, true }, want: true},
		{name: "no release in a larger pool", engine: func(e *Engine) { e.Engines = 37 }, want: false},
		{name: "target short of memory", target: func(t *Target) { t.Load = 0.9 }, want: false},
		{name: "target short of memory that has the prompt", target: func(t *Target) { t.Load, t.Cached = 0.9, 12_000 }, want: true},
		{name: "target in another data centre", engine: func(e *Engine) { e.Engines = 22 }, target: func(t *Target) { t.Remote = true }, want: false},
		{name: "target in the same data centre", engine: func(e *Engine) { e.Engines = 22 }, want: true},
		{name: "about to reach its deadline", run: func(r *Run) { r.Remaining = 20 * time.Millisecond }, want: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, e, r, target := &Policy{}, typicalEngine, typicalRun, typicalTarget
			ends := c.ends
			if ends == nil {
				ends = end
			}
			ends(&p.Hazard)
			if c.engine != nil {
				c.engine(&e)
			}
			if c.run != nil {
				c.run(&r)
			}
			if c.target != nil {
				c.target(&target)
			}
			risk := p.Risk(start.Add(c.after), e, r)
			if got := p.Worth(typicalPool, r, target, risk); got != c.want {
				t.Errorf("backed up: %v, want %v; risk %.4f, loss %.3f, cost %.4f", got, c.want, risk, p.Loss(typicalPool, r), p.Cost(typicalPool, r, target))
			}
		})
	}
}

// Guards against copies of nearly all runs after a single end in a large pool: 1.7 TB were copied on an own day for a few
// dozen streams.
func TestCopiesNeedALikelyEnd(t *testing.T) {
	flapping := &Policy{MinRisk: 0.25}
	for i := range uint64(4) {
		flapping.Hazard.Record(start, 1+i, 1, Vanished)
	}
	e, r := typicalEngine, typicalRun
	e.ID, e.Engines = 1, 60
	if flapping.Risk(start, e, r) == 0 {
		t.Error("no copy at an engine that has ended several times")
	}
	e.ID = 2
	if risk := flapping.Risk(start, e, r); risk != 0 {
		t.Errorf("risk %.3f at another engine, want none that matters", risk)
	}
}

// Guards against an incarnation that counts as several ends, since many requests break off with it.
func TestIncarnationEndsOnce(t *testing.T) {
	var h Hazard
	for range 50 {
		h.Record(start, 1, 1, Broken)
		h.Record(start, 1, 1, Refused)
	}
	if ends := h.Ends(start); ends != 1 {
		t.Errorf("%v ends, want 1", ends)
	}
}

// Guards against ends that are never forgotten, and against memory that grows with them.
func TestEndsAreForgotten(t *testing.T) {
	var h Hazard
	for i := range uint64(10 * maxEngines) {
		h.Record(start, i, i, Vanished)
	}
	if n := len(h.engines); n > maxEngines {
		t.Errorf("%d engines are kept, want %d at most", n, maxEngines)
	}
	if h.Quiet(start.Add(20 * time.Second)) {
		t.Error("quiet 20 s after many ends")
	}
	if !h.Quiet(start.Add(2*time.Minute)) || len(h.engines) > 0 {
		t.Errorf("not quiet two minutes after the last end; %d engines are kept", len(h.engines))
	}
}

// Guards against a clock that goes back and raises the weight of an end.
func TestEndInTheFutureCountsOnce(t *testing.T) {
	var h Hazard
	h.Record(start, 1, 1, Vanished)
	if ends := h.Ends(start.Add(-time.Hour)); ends != 1 {
		t.Errorf("%v ends, want 1", ends)
	}
}

// Guards against runs whose length is taken from the caller's estimate only, or is without a bound.
func TestExpectedOutputIsThatOfTheCallerOrThePool(t *testing.T) {
	for _, c := range []struct {
		name    string
		learned int
		run     Run
		want    float64
	}{
		{"nothing known", 0, Run{}, defaultOutput},
		{"bound", 0, Run{MaxOutput: 1000}, 500},
		{"hint", 0, Run{OutputHint: 300, MaxOutput: 1000}, 300},
		{"hint beyond the bound", 0, Run{OutputHint: 3000, MaxOutput: 1000}, 1000},
		{"learned", 80, Run{MaxOutput: 1000}, 80},
		{"part of it done", 80, Run{Done: 30}, 50},
		{"more done than expected", 80, Run{Done: 300}, 1},
	} {
		p := &Policy{}
		p.RecordAnswer(c.learned, time.Second)
		if got := p.outputLeft(c.run); got != c.want {
			t.Errorf("%s: %v tokens, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a speed of answers that is not the pool's.
func TestSpeedOfAnswersIsLearned(t *testing.T) {
	p := &Policy{}
	p.RecordAnswer(101, 5*time.Second)
	p.RecordAnswer(1, time.Hour)
	if got := p.duration(Run{}); got != 101*50*time.Millisecond {
		t.Errorf("a run is expected to take %v, want 5.05s", got)
	}
}
