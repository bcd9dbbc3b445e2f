package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// caller is a workspace of a replay: its outputs are distributed around a median, and its estimates
// around the output that comes.
type caller struct {
	workspace string
	median    float64
	// spread and hintSpread are standard deviations of logarithms, hintBias is the factor of each estimate.
	spread, hintSpread, hintBias float64
}

func (c *caller) next(random *rand.Rand) (Request, Answer) {
	output := max(int(c.median*math.Exp(c.spread*random.NormFloat64())), 1)
	req := Request{Route: "chat", Workspace: c.workspace, PromptTokens: 1000, Stream: true}
	if c.hintBias > 0 {
		off := min(max(c.hintSpread*random.NormFloat64(), -math.Log(4)), math.Log(4))
		req.Hint = max(int(float64(output)*c.hintBias*math.Exp(off)), 1)
	}
	return req, Answer{Whole: true, Output: output, Slot: time.Duration(output) * 20 * time.Millisecond}
}

// meanError returns the mean of |log2(predicted/seen)| of the callers' requests after a number of them.
func meanError(m *Model, callers []caller, predict func(Request) float64, skip, n int) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	sum := 0.0
	for i := range skip + n {
		req, a := callers[i%len(callers)].next(random)
		if i >= skip {
			sum += math.Abs(math.Log2(predict(req) / float64(a.Output)))
		}
		m.Observe(start.Add(time.Duration(i)*time.Second), req, m.Predict(req), a)
	}
	return sum / float64(n)
}

// Guards against predictions that trust estimates which are four times off, or ignore those that are right.
func TestEstimatesOfCallersAreWeighedByTheirErrors(t *testing.T) {
	callers := []caller{
		{workspace: "exact", median: 300, spread: 1, hintSpread: 0.1, hintBias: 1},
		{workspace: "high", median: 200, spread: 0.5, hintSpread: 0.1, hintBias: 4},
		{workspace: "wild", median: 400, spread: 0.2, hintSpread: 1.2, hintBias: 1},
		{workspace: "silent", median: 100, spread: 0.3},
	}
	m := New()
	learned := meanError(m, callers, func(r Request) float64 { return m.Predict(r).Output }, 200, 400)
	trusting := meanError(New(), callers, func(r Request) float64 {
		if r.Hint > 0 {
			return float64(r.Hint)
		}
		return defaultOutput
	}, 200, 400)
	one := New()
	ignoring := meanError(one, callers, func(r Request) float64 { r.Hint = 0; return one.Predict(r).Output }, 200, 400)
	t.Logf("mean error in doublings: %.2f learned, %.2f with the estimates as they are, %.2f without them", learned, trusting, ignoring)
	if learned > 0.4 || learned > trusting/2 || learned > 0.75*ignoring {
		t.Errorf("mean error of %.2f doublings, want at most 0.4, half of %.2f and 0.75 of %.2f", learned, trusting, ignoring)
	}
}

// Guards against a new workspace that is predicted by nothing, and against a known one that is predicted as all others.
func TestFewSamplesFallBackToTheCoarserKey(t *testing.T) {
	m := New()
	for range 50 {
		for workspace, output := range map[string]int{"a": 100, "b": 100, "c": 3000} {
			req := Request{Route: "chat", Workspace: workspace, Stream: true}
			m.Observe(start, req, Prediction{}, Answer{Whole: true, Output: output, Slot: time.Second})
		}
		m.Observe(start, Request{Route: "short", Workspace: "a", Stream: true}, Prediction{}, Answer{Whole: true, Output: 5, Slot: time.Second})
	}
	predict := func(route, workspace string) float64 {
		return m.Predict(Request{Route: route, Workspace: workspace, Stream: true}).Output
	}
	if got := predict("chat", "c"); got < 1200 {
		t.Errorf("%.0f tokens for a known workspace, want more than 1200 (it gets 3000)", got)
	}
	if got := predict("short", "new"); got > 20 {
		t.Errorf("%.0f tokens for a new workspace on a route with 5, want at most 20", got)
	}
	if a, b := predict("chat", "new"), predict("other", "new"); a < 100 || a > 3000 || b <= 5 || b > 3000 {
		t.Errorf("%.0f tokens for a new workspace and %.0f on a new route, want values among those seen", a, b)
	}
}

// Guards against predictions that stay where a workspace was before it changed its requests.
func TestChangedWorkspaceIsFollowed(t *testing.T) {
	m := New()
	req := Request{Route: "chat", Workspace: "a", Stream: true}
	for i := range 240 {
		output := 200
		if i >= 200 {
			output = 1400
		}
		m.Observe(start, req, m.Predict(req), Answer{Whole: true, Output: output, Slot: time.Second})
	}
	if got := m.Predict(req).Output; got < 900 || got > 2200 {
		t.Errorf("%.0f tokens after 40 answers of 1400, want about that", got)
	}
}

// Guards against answers that broke off, or have impossible numbers, and spoil the averages.
func TestBrokenAnswersAreLeftOut(t *testing.T) {
	m := New()
	req := Request{Route: "chat", Workspace: "a", Stream: true, Hint: 300}
	for range 50 {
		m.Observe(start, req, m.Predict(req), Answer{Whole: true, Output: 300, Slot: 6 * time.Second})
	}
	before := m.Predict(req)
	for _, a := range []Answer{
		{Output: 2, Slot: time.Second}, {Whole: true, Output: 0, Slot: time.Second}, {Whole: true, Output: -1, Slot: time.Second},
		{Whole: true, Output: 300}, {Whole: true, Output: 300, Slot: -time.Second}, {Whole: true, Output: 300, Slot: 1000 * time.Hour},
		{Whole: true, Output: math.MaxInt, Slot: time.Second},
	} {
		m.Observe(start, req, before, a)
		if got := m.Predict(req); got != before {
			t.Errorf("%+v changes the prediction from %+v to %+v", a, before, got)
		}
	}
	// A single whole answer of 200 times the usual size counts as one of eight times.
	m.Observe(start, req, before, Answer{Whole: true, Output: 60000, Slot: 1200 * time.Second})
	if got := m.Predict(req).Output; got > 1.5*before.Output {
		t.Errorf("%.0f tokens after one odd answer, %.0f before", got, before.Output)
	}
}

// Guards against numbers of callers that are out of range.
func TestPredictionIsBounded(t *testing.T) {
	m := New()
	for _, n := range []int{math.MinInt, -1, 0, 1, math.MaxInt} {
		p := m.Predict(Request{Stream: true, PromptTokens: n, MaxOutput: n, Hint: n})
		if p.Read < 0 || p.Output < 0 || p.Output > maxTokens || p.Memory < 0 || p.Memory > 2*maxTokens || p.Slot < 0 || math.IsNaN(p.Output) {
			t.Errorf("%+v predicted with %d in each header", p, n)
		}
	}
	if got := m.Predict(Request{Stream: true, MaxOutput: 50, Hint: 1000}).Output; got != 50 {
		t.Errorf("%.0f tokens expected, want the bound of 50", got)
	}
}

// Guards against times in a slot that are not learned, for streams by their tokens and else by their route.
func TestTimeInASlotIsLearned(t *testing.T) {
	m := New()
	if p := m.Predict(Request{Route: "plain"}); p.Slot != 0 {
		t.Errorf("%v in a slot before the first answer, want 0 for unknown", p.Slot)
	}
	for range 40 {
		m.Observe(start, Request{Route: "plain"}, Prediction{}, Answer{Whole: true, Slot: 30 * time.Millisecond})
		m.Observe(start, Request{Route: "slow"}, Prediction{}, Answer{Whole: true, Slot: 90 * time.Millisecond})
		m.Observe(start, Request{Route: "chat", Stream: true}, Prediction{}, Answer{Whole: true, Output: 100, Slot: 2 * time.Second})
	}
	if got := m.Predict(Request{Route: "plain"}).Slot; got < 27*time.Millisecond || got > 40*time.Millisecond {
		t.Errorf("%v in a slot, want about 30ms", got)
	}
	if got := m.Predict(Request{Route: "slow"}).Slot; got < 65*time.Millisecond || got > 100*time.Millisecond {
		t.Errorf("%v in a slot, want about 90ms", got)
	}
	if got := m.Predict(Request{Route: "chat", Stream: true}).Slot; got < 1800*time.Millisecond || got > 2300*time.Millisecond {
		t.Errorf("%v for a stream, want about 2s", got)
	}
}

// Guards against memory that grows with the names of workspaces that callers send.
func TestClassesAreBounded(t *testing.T) {
	m := New()
	for i := range 3 * maxClasses {
		req := Request{Route: fmt.Sprint(i % 7), Workspace: fmt.Sprint(i), Stream: true}
		m.Observe(start.Add(time.Duration(i)*time.Millisecond), req, Prediction{}, Answer{Whole: true, Output: 10, Slot: time.Second})
		if len(m.classes) > maxClasses+1 {
			t.Fatalf("%d classes", len(m.classes))
		}
	}
}

// Guards against a histogram that does not show on which side predictions are wrong.
func TestAccuracyCountsRatios(t *testing.T) {
	m := New()
	req := Request{Route: "chat", Stream: true}
	for _, c := range []struct {
		predicted float64
		bucket    int
	}{{100, 4}, {200, 5}, {49, 3}, {1e6, 8}, {1, 0}} {
		before := m.Accuracy().Output[c.bucket]
		m.Observe(start, req, Prediction{Output: c.predicted}, Answer{Whole: true, Output: 100, Slot: time.Second})
		if got := m.Accuracy().Output[c.bucket]; got != before+1 {
			t.Errorf("%v predicted for 100: bucket %d has %d, want %d: %v", c.predicted, c.bucket, got, before+1, m.Accuracy().Output)
		}
	}
}

func BenchmarkPredictAndObserve(b *testing.B) {
	m := New()
	random := rand.New(rand.NewPCG(3, 4))
	c := caller{workspace: "a", median: 300, spread: 0.5, hintSpread: 0.3, hintBias: 1}
	req, a := c.next(random)
	for b.Loop() {
		m.Observe(start, req, m.Predict(req), a)
	}
}
