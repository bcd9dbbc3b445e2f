package enginesim

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func chat(e *Engine, attempt, key, chatKey string, promptTokens int) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"max_tokens":4,"x_prompt_tokens":%d,"x_system_tokens":10,"messages":[{"role":"user","content":"hi"}]}`, promptTokens)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set(HeaderAttemptID, attempt)
	r.Header.Set(HeaderWorkspace, "w")
	r.Header.Set(HeaderIdempotencyKey, key)
	r.Header.Set(HeaderPrefixKey, chatKey)
	r.Header.Set(HeaderSystemKey, "sys")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

// advanceClock advances the clock whenever a timer waits, until the test ends.
func advanceClock(t *testing.T, clock *clockwork.FakeClock, step time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(step)
		}
	}()
	t.Cleanup(func() { cancel(); <-stopped })
}

func newEngine(t *testing.T, cfg Config) *Engine {
	clock := clockwork.NewFakeClock()
	cfg.Clock = clock
	e := New(cfg)
	t.Cleanup(e.Close)
	advanceClock(t, clock, 5*time.Millisecond)
	return e
}

// Guards against a cache that counts tokens never stored or already evicted, which
// would make the measured cache reuse too high.
func TestPrefixCache(t *testing.T) {
	e := newEngine(t, Config{Name: "e1", CacheTokens: 200})
	steps := []struct {
		chat   string
		prompt int
		cached int
	}{
		{"a", 60, 0},   // system 10, own 50
		{"a", 90, 60},  // own grows to 80
		{"b", 100, 10}, // only the shared system prompt; own 90
		{"a", 90, 90},
		{"c", 110, 10}, // own 100 evicts b, the least recently used
		{"a", 90, 90},
		{"c", 500, 110}, // too large to keep, so the older entry stays
	}
	for i, s := range steps {
		if got := e.CachedTokens(s.chat, "sys", s.prompt); got != s.cached {
			t.Errorf("step %d: CachedTokens returns %d, want %d", i, got, s.cached)
		}
		chat(e, fmt.Sprint(i), "", s.chat, s.prompt)
		if got := e.Ledger().Records()[i].CachedTokens; got != s.cached {
			t.Errorf("step %d: %d cached tokens, want %d", i, got, s.cached)
		}
	}
	if got := e.CachedTokens("b", "sys", 90); got != 10 {
		t.Errorf("evicted chat has %d cached tokens, want 10", got)
	}
	if got := e.CachedTokens("c", "", 90); got != 0 {
		t.Errorf("chat under another system prompt has %d cached tokens, want none", got)
	}
}

// Guards against bound violations that the ledger misses, and against counting
// a request at the bound as one.
func TestLedgerCountsBoundViolations(t *testing.T) {
	l := NewLedger()
	l.Join("a", 1)
	l.Join("b", 1)
	begin := func(engine string) int { return l.begin(Record{Engine: engine}) }
	for range 8 {
		begin("a")
		begin("b")
	}
	// With ten more, engine a has 18 of 26; the bound, 1.25 * 26 / 2, is 17. The
	// eighth (16 of 24, bound 15) is the first above its bound.
	last := 0
	for range 7 {
		begin("a")
	}
	if v := l.BoundViolations(1.25, 8); len(v) != 0 {
		t.Fatalf("got %+v, want no violation: 15 of 23 is at the bound", v)
	}
	for range 3 {
		last = begin("a")
	}
	v := l.BoundViolations(1.25, 8)
	if len(v) != 3 || v[0].EngineInFlight != 16 || v[2].PoolInFlight != 26 {
		t.Fatalf("got %+v, want the starts at 16, 17 and 18", v)
	}
	if skew, mean := l.Skew(); mean != 13 || skew != 18.0/13 {
		t.Errorf("skew %v at mean %v, want 18/13 at 13", skew, mean)
	}
	l.end(last, time.Time{}, 0, EndFinished)
	if total, engines := l.InFlight(); total != 25 || engines["a"] != 17 {
		t.Errorf("after an end: %d in the pool, %d on a; want 25 and 17", total, engines["a"])
	}
	if v := l.BoundViolations(1.25, 14); len(v) != 0 {
		t.Errorf("violations below the minimum mean: %+v, want none", v)
	}
}

// Guards against a repeated execution that the ledger does not report.
func TestLedgerShowsRepeatedKeys(t *testing.T) {
	e := newEngine(t, Config{Name: "e1"})
	chat(e, "1", "k1", "", 1)
	chat(e, "2", "k2", "", 1)
	chat(e, "3", "k2", "", 1)
	if got := e.Ledger().RepeatedKeys(); len(got) != 1 || got["w/k2"] != 2 {
		t.Fatalf("got %v, want only k2, 2 times", got)
	}
	if got := chat(e, "3", "k3", "", 1); got.Code != http.StatusConflict || got.Header().Get(HeaderOutcome) != "" {
		t.Errorf("repeated attempt id: status %d, outcome %q; want 409 and none", got.Code, got.Header().Get(HeaderOutcome))
	}
	if got := e.Ledger().ExecutedKey("w", "k3"); len(got) != 0 {
		t.Errorf("refused attempt was executed: %+v", got)
	}
}

// Guards against generation times that ignore the scale or the fault
// SlowFactor.
func TestTimes(t *testing.T) {
	e := newEngine(t, Config{DecodePerToken: 100 * time.Millisecond, PrefillPerToken: 10 * time.Millisecond, TimeScale: 0.5})
	e.SetFaults(Faults{SlowFactor: 4})
	chat(e, "1", "", "c", 30)
	chat(e, "2", "", "c", 40)
	for i, want := range []time.Duration{600 + 800, 200 + 800} {
		r := e.Ledger().Records()[i]
		want *= time.Millisecond
		if got := r.Ended.Sub(r.Started); got < want || got > want+5*time.Millisecond {
			t.Errorf("attempt %d took %v, want %v", i, got, want)
		}
	}
}

// requestWasCut serves a request and reports whether the engine cut it without an answer.
func requestWasCut(e *Engine, r *http.Request) (cut bool) {
	defer func() { cut = recover() != nil }()
	e.ServeHTTP(httptest.NewRecorder(), r)
	return false
}

func chatRequest(ctx context.Context) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader("{}"))
	r.Header.Set(HeaderAttemptID, "a")
	return r
}

// Guards against a request that runs while HangBeforeRun is set.
func TestHangBeforeRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e := newEngine(t, Config{})
	e.SetFaults(Faults{HangBeforeRun: true})
	if !requestWasCut(e, chatRequest(ctx)) || len(e.Ledger().Records()) != 0 {
		t.Errorf("the hanging engine ran %+v", e.Ledger().Records())
	}
}

// Guards against a fault HangBeforeHeaders that stops the execution or does not
// hold the answer back. A resume shows that the answer is complete.
func TestHangBeforeHeaders(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	e := newEngine(t, Config{})
	e.SetFaults(Faults{HangBeforeHeaders: true})
	cut := make(chan bool)
	go func() { cut <- requestWasCut(e, chatRequest(ctx)) }()
	_ = e.Ledger().Await(ctx, 1)
	for range 20 {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/attempts/a?offset=0", nil))
		if !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
			t.Fatalf("resume gave %q, want a complete answer", w.Body)
		}
	}
	cancel()
	if !<-cut {
		t.Error("the hanging engine answered")
	}
}

// Guards against a crashed engine that still runs a request.
func TestCrashedEngineRunsNothing(t *testing.T) {
	e := newEngine(t, Config{})
	e.Crash()
	if !requestWasCut(e, chatRequest(context.Background())) || len(e.Ledger().Records()) != 0 {
		t.Error("the crashed engine ran a request")
	}
	if err := e.Restart(); err != nil || requestWasCut(e, chatRequest(context.Background())) {
		t.Errorf("the restarted engine did not answer: %v", err)
	}
}
