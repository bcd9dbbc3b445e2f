package bench

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

var runStart = time.Unix(1_000, 0)

func after(seconds float64) time.Time {
	return runStart.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a cache hit ratio that counts the first request of a chat, its
// retries, requests without a chat or attempts that did not run.
func TestCacheHitRatio(t *testing.T) {
	ran := func(key, request string, prompt, cached int) enginesim.Record {
		return enginesim.Record{PrefixKey: key, RequestID: request, PromptTokens: prompt, CachedTokens: cached, Started: runStart}
	}
	records := []enginesim.Record{
		ran("a", "1", 100, 50),
		ran("a", "1", 100, 100),
		ran("", "2", 100, 100),
		ran("a", "3", 200, 100),
		{PrefixKey: "a", RequestID: "4", PromptTokens: 1000},
		ran("b", "5", 100, 90),
		ran("b", "6", 200, 200),
	}
	got := cacheHitRatio(records)
	if got == nil || *got != 0.75 {
		t.Fatalf("got %v, want 0.75", got)
	}
	if cacheHitRatio(records[:3]) != nil {
		t.Error("got a ratio without returning chats")
	}
}

// Guards against a mean that counts load outside of the window or leaves out
// attempts without an end.
func TestMeanInFlight(t *testing.T) {
	records := []enginesim.Record{
		{Accepted: after(0), Ended: after(20)}, // 10 s in the window
		{Accepted: after(12)},                  // 8 s
		{Accepted: after(1), Ended: after(2)},
		{Accepted: after(11), Ended: after(13)}, // 2 s
	}
	w := window{from: 10 * time.Second, to: 20 * time.Second}
	if got := meanInFlight(records, runStart, w, 2); got != 1 {
		t.Fatalf("got %v, want 1", got)
	}
}

// Guards against a bound that leaves out the accepted request, is not rounded
// up, or is checked at a low load or for an engine outside of the pool.
func TestViolations(t *testing.T) {
	rec := func(engine, pool int, weight float64) enginesim.Record {
		return enginesim.Record{EngineInFlight: engine, PoolInFlight: pool, Engines: 2, Weight: weight, PoolWeight: 2}
	}
	records := []enginesim.Record{rec(13, 20, 1), rec(14, 20, 1), rec(15, 20, 0), rec(15, 15, 1)}
	if got := violations(records, 1.25); len(got) != 1 || got[0].EngineInFlight != 14 {
		t.Fatalf("got %+v, want one violation", got)
	}
}

// Guards against calm latencies that include the surge or the time after the kill
// of a router, and against surge latencies that leave out a part of the surge.
func TestLookupPhases(t *testing.T) {
	p := newTestPlan(t, "thekkady", 1)
	var s results
	add := func(at, ttft time.Duration) {
		c := &Chat{Priority: classes[0].priority, Turns: []Turn{{At: at}}}
		s.addChat(&chatResult{chat: c, ttft: ttft})
	}
	kill := p.SurgeTo - time.Second
	add(warmUp-time.Second, time.Second)
	add(warmUp, 10*time.Millisecond)
	add(kill, 30*time.Millisecond)
	add(p.SurgeTo, time.Second)
	add(kill+killRecoveryTime, 10*time.Millisecond)
	f := &Figures{}
	s.fillLatencies(f, p, []time.Duration{kill})
	if f.LookupP95CalmMs == nil || *f.LookupP95CalmMs > 11 || f.LookupP95SurgeMs == nil || *f.LookupP95SurgeMs < 29 {
		t.Fatalf("got %+v, want a calm P95 of at most 11 ms and one of at least 29 ms in the surge", f)
	}
}

// Guards against skew figures that use samples outside of the window or at a low
// load, and against a percentile that is not one of the samples.
func TestSkewFigures(t *testing.T) {
	w := window{from: 2 * time.Second, to: 100 * time.Second}
	samples := []skewSample{
		{time.Second, 9, 20}, {3 * time.Second, 9, 7.9}, {100 * time.Second, 9, 20},
		{3 * time.Second, 1.3, 8}, {4 * time.Second, 1.1, 20},
	}
	highest, p99 := skewFigures(samples, w)
	if highest == nil || *highest != 1.3 || *p99 != 1.3 {
		t.Fatalf("got %v and %v, want 1.3 for both", highest, p99)
	}
	if highest, p99 := skewFigures(samples[:3], w); highest != nil || p99 != nil {
		t.Fatal("got a skew without a sample")
	}
}

// Guards against control rates that count bytes from before the main phase or a
// router that was observed too briefly.
func TestMaxControlRate(t *testing.T) {
	controls := map[string]*controlTraffic{
		"a": {start: after(0), end: after(10), firstBytes: map[string]int64{"intent": 1000}, lastBytes: map[string]int64{"intent": 2000, "claim": 500}},
		"b": {start: after(0), end: after(10), lastBytes: map[string]int64{"intent": 1400}},
		"c": {start: after(0), end: after(1), lastBytes: map[string]int64{"intent": 1_000_000}},
	}
	total, by := maxControlRate(controls)
	if total != 150 || by["intent"] != 100 || by["claim"] != 50 {
		t.Fatalf("got %v, %v; want 150 in all, 100 of intent and 50 of claim", total, by)
	}
}

// Guards against a time that counts requests of other engines or requests from
// before the engine was listed as leaving.
func TestLastNewWork(t *testing.T) {
	records := []enginesim.Record{
		{Engine: "a", Accepted: after(1)}, {Engine: "a", Accepted: after(4.5)}, {Engine: "b", Accepted: after(9)},
	}
	if got := lastNewWork(records, map[string]time.Time{"a": after(2)}); got == nil || *got != 2.5 {
		t.Fatalf("got %v, want 2.5", got)
	}
	if lastNewWork(records, nil) != nil {
		t.Error("got a time without a leaving engine")
	}
}

// Guards against an undetected answer of another engine, prompt or request, and
// against an undetected join of the texts of two engines.
func TestIsCrossed(t *testing.T) {
	p := newTestPlan(t, "thekkady", 1)
	c, other := &p.Chats[0], &p.Chats[1]
	records := []enginesim.Record{{Engine: "e1"}, {Engine: "e2"}}
	text := func(c *Chat, engine string) string { return p.Request(c, 0).ExpectedSaltedAnswer(engine) }
	one, two := []rune(text(c, "e1")), []rune(text(c, "e2"))
	cases := []struct {
		text, outcome string
		crossed       bool
	}{
		{string(one), entry.OutcomeDone, false},
		{string(two), entry.OutcomeDone, false},
		{text(c, "e3"), entry.OutcomeDone, true},
		{text(other, "e1"), entry.OutcomeDone, true},
		{string(one[:20]) + string(two[20:]), entry.OutcomeDone, true},
		{string(one[:20]), entry.OutcomeDone, true},
		{"", entry.OutcomeDone, true},
		{string(one[:20]), entry.OutcomeIncomplete, false},
		{string(one[:5]) + string(two[:5]), entry.OutcomeIncomplete, true},
		{"", entry.OutcomeNotRun, false},
	}
	for i, k := range cases {
		if got := isCrossed(p, &chatResult{chat: c, text: k.text, outcome: k.outcome}, records); got != k.crossed {
			t.Errorf("case %d: got crossed %v", i, got)
		}
	}
}

// Guards against counts of lost, falsely refused and cut chats that follow the
// routers' answers instead of the ledger.
func TestAddChat(t *testing.T) {
	p := newTestPlan(t, "thekkady", 1)
	byRequest := map[string][]enginesim.Record{
		"ran":  {{Engine: "e1", Started: runStart, EndState: enginesim.EndFinished}},
		"lost": {{Engine: "e1", Started: runStart, EndState: enginesim.EndLost}},
		"e2":   {{Engine: "e2", Accepted: after(29), Started: after(29), EndState: enginesim.EndFinished}},
	}
	o := newObservations()
	o.stops = []*stopWindow{{router: "r1", from: after(5), to: after(8)}}
	o.terminations["e2"] = []time.Time{after(30)}
	f := &Figures{Refused: map[string]int{}}
	add := func(c chatResult) {
		c.chat = &p.Chats[0]
		f.addChat(p, &c, byRequest, o)
	}
	add(chatResult{outcome: outcomeLost})
	add(chatResult{outcome: entry.OutcomeIncomplete, code: "cut", requestIDs: []string{"lost"}, ended: after(6)})
	add(chatResult{outcome: entry.OutcomeIncomplete, code: "cut", requestIDs: []string{"ran"}, ended: after(6)})
	add(chatResult{outcome: entry.OutcomeIncomplete, code: "cut", requestIDs: []string{"ran"}, ended: after(20)})
	add(chatResult{outcome: entry.OutcomeNotRun, code: "queue_full", requestIDs: []string{"other"}})
	add(chatResult{outcome: entry.OutcomeNotRun, code: "queue_full", requestIDs: []string{"ran"}})
	add(chatResult{outcome: entry.OutcomeUnknown, code: "gone", connectionLosses: []connectionLoss{{"r1", after(6)}, {"r1", after(1)}, {"r2", after(6)}}})
	add(chatResult{outcome: entry.OutcomeIncomplete, code: "cut", requestIDs: []string{"e2"}, ended: after(31)})
	add(chatResult{outcome: entry.OutcomeIncomplete, code: "cut", requestIDs: []string{"e2"}, ended: after(29.5)})
	if f.Requests != 9 || f.Lost != 4 || f.FalseNotRun != 1 || f.StreamsCut != 2 {
		t.Fatalf("got %+v, want 9 requests, 4 lost, 1 false not_run and 2 cut streams", f)
	}
	if f.Refused["cut"] != 5 || f.Refused["queue_full"] != 2 || f.Refused["gone"] != 1 {
		t.Fatalf("refused %v, want 5 cut, 2 queue_full and 1 gone", f.Refused)
	}
}

// Guards against a false not_run that is not counted, and against a true one that
// is counted because a later repeat ran.
func TestFalseNotRun(t *testing.T) {
	call := func(sent, ended float64, outcome string, abandoned bool) *callResult {
		return &callResult{key: "k", sent: after(sent), ended: after(ended), outcome: outcome, abandoned: abandoned}
	}
	refused := call(1, 2, entry.OutcomeNotRun, false)
	cases := []struct {
		name  string
		calls []*callResult
		start float64
		want  int
	}{
		{"ran before the answer", []*callResult{refused}, 1.5, 1},
		{"ran later without another call", []*callResult{refused}, 3, 1},
		{"a later repeat ran", []*callResult{refused, call(4, 5, entry.OutcomeDone, false)}, 4.5, 0},
		{"ran before the repeat was sent", []*callResult{refused, call(4, 5, entry.OutcomeDone, false)}, 3, 1},
		{"an abandoned call ran late", []*callResult{call(0, 0.5, outcomeLost, true), refused}, 3, 0},
		{"an answered call cannot run late", []*callResult{call(0, 0.5, entry.OutcomeUnknown, false), refused}, 3, 1},
	}
	for _, c := range cases {
		if got := countFalseNotRun(c.calls, []time.Time{after(c.start)}); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
	if countFalseNotRun([]*callResult{refused}, nil) != 0 {
		t.Error("a true not_run is counted as false")
	}
}

// Guards against the answer of one plain call that is accepted for another.
func TestPlainAnswers(t *testing.T) {
	booking := callResult{key: "k-1", path: "/bookings", text: `{"request":"{\"item\":\"k-10\"}"}`}
	if booking.answerMatches() {
		t.Error("the answer of k-10 is accepted for k-1")
	}
	booking.text = `{"request":"{\"item\":\"k-1\"}"}`
	if !booking.answerMatches() {
		t.Error("the answer of k-1 is not accepted for k-1")
	}
	lookup := callResult{path: "/lookup?call=1", text: `{"query":"call=12"}`}
	if lookup.answerMatches() {
		t.Error("the answer of call 12 is accepted for call 1")
	}
}
