package engineclient

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

const (
	prompt   = "how many shears?"
	tokens   = 40
	perToken = 10 * time.Millisecond
)

var wholeAnswer = enginesim.Answer(prompt+"\n", tokens)

type fixture struct {
	t      *testing.T
	engine *enginesim.Engine
	clock  *clockwork.FakeClock
	client *Client
	meter  *meter.Meter
}

// newFixture starts an engine on a fake clock, which only runClock and Advance move.
func newFixture(t *testing.T, cfg enginesim.Config, o Options) *fixture {
	f := &fixture{t: t, clock: clockwork.NewFakeClock(), meter: &meter.Meter{}}
	cfg.Name, cfg.Clock, cfg.DecodePerToken = "e1", f.clock, perToken
	f.engine = enginesim.New(cfg)
	t.Cleanup(f.engine.Close)
	addr, err := f.engine.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.BaseURL, o.Meter = "http://"+addr, f.meter
	f.client = New(o)
	t.Cleanup(f.client.Close)
	return f
}

// runClock advances the engine's clock whenever its scheduler waits on it.
func (f *fixture) runClock() {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for f.clock.BlockUntilContext(ctx, 1) == nil {
			f.clock.Advance(perToken)
		}
	}()
	f.t.Cleanup(func() { cancel(); <-stopped })
}

func request(attempt string) Request {
	body := fmt.Sprintf(`{"stream":true,"max_tokens":%d,"x_prompt_tokens":50,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	return Request{AttemptID: attempt, RequestID: "r-" + attempt, Workspace: "w", PrefixKey: "c", Body: []byte(body)}
}

// readAll collects the text until the end or an error, checking the offsets.
func readAll(t *testing.T, s *Stream) (string, Event, error) {
	t.Helper()
	var text strings.Builder
	var usage Event
	start := s.Offset()
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), usage, nil
		}
		if err != nil {
			return text.String(), usage, err
		}
		if got := start + len([]rune(text.String())); e.Offset != got {
			t.Fatalf("event at offset %d after %d characters", e.Offset, got)
		}
		text.Write(e.Text)
		if e.HasUsage {
			usage = e
		}
	}
}

func (f *fixture) stream(attempt string) *Stream {
	f.t.Helper()
	s, err := f.client.Stream(context.Background(), request(attempt))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Close)
	return s
}

// Guards against an answer that is truncated, altered or without its usage.
func TestWholeAnswer(t *testing.T) {
	f := newFixture(t, enginesim.Config{}, Options{})
	f.runClock()
	for i, cached := range []int{0, 50} {
		text, usage, err := readAll(t, f.stream(fmt.Sprint(i)))
		if err != nil || text != wholeAnswer {
			t.Fatalf("got %q, %v; want the whole answer", text, err)
		}
		u := usage.Usage
		if u.CompletionTokens != tokens || u.PromptTokens != 50 || u.PromptTokensDetails.CachedTokens != cached {
			t.Errorf("usage %+v, want %d cached", u, cached)
		}
	}
	if f.meter.Total() != 0 {
		t.Errorf("%d bytes of answers count as control traffic", f.meter.Total())
	}
}

// Guards against a new connection for each stream, when the engine ends the
// body some time after [DONE].
func TestConnectionServesNextStream(t *testing.T) {
	done := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, `data: {"choices":[{"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
		_ = http.NewResponseController(w).Flush()
		<-done
	}))
	defer srv.Close()
	reused := false
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
	})
	c := New(Options{BaseURL: srv.URL, Clock: clockwork.NewFakeClock()})
	defer c.Close()
	for range 2 {
		s, err := c.Stream(ctx, request("a"))
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := readAll(t, s); err != nil {
			t.Error(err)
		}
		done <- struct{}{}
		s.Close()
	}
	if !reused {
		t.Error("the second stream opened another connection")
	}
}

// Guards against errors that state wrongly whether a request ran, for each fault
// before the first event.
func TestStartFaults(t *testing.T) {
	clientClock := clockwork.NewFakeClock()
	cases := []struct {
		name   string
		opts   Options
		fault  func(f *fixture)
		req    func(r *Request)
		notRun bool
		// ran is whether the ledger shows an accepted attempt.
		ran   bool
		cause error
		// onWrote is called when the request has been written.
		onWrote func(cancel func())
	}{
		{name: "connection refused", fault: func(f *fixture) { _ = f.engine.SetRefuseConnections(true) }, notRun: true},
		{name: "engine crashed", fault: func(f *fixture) { f.engine.Crash() }, notRun: true},
		{name: "engine refuses", fault: func(f *fixture) { f.engine.SetFaults(enginesim.Faults{RefuseNew: true}) }, notRun: true, cause: ErrEngine},
		{name: "request too large", opts: Options{MaxRequestBytes: 10}, notRun: true, cause: ErrTooLarge},
		{name: "header injection", req: func(r *Request) { r.Workspace = "a\r\nX-Priority: lookup" }, notRun: true},
		{name: "no body", req: func(r *Request) { r.Body = nil }, notRun: true, cause: ErrEmptyBody},
		{
			name: "cancelled while the engine hangs", cause: context.Canceled,
			fault:   func(f *fixture) { f.engine.SetFaults(enginesim.Faults{HangBeforeRun: true}) },
			onWrote: func(cancel func()) { cancel() },
		},
		{name: "no attempt id", req: func(r *Request) { r.AttemptID = "" }, notRun: true, cause: ErrEngine},
		{
			name: "hang before headers", opts: Options{Clock: clientClock}, ran: true, cause: ErrTimeout,
			fault: func(f *fixture) {
				f.engine.SetFaults(enginesim.Faults{HangBeforeHeaders: true})
				go func() {
					_ = f.clock.BlockUntilContext(context.Background(), 1)
					clientClock.Advance(time.Hour)
				}()
			},
		},
		{
			name: "crash before headers", ran: true,
			fault: func(f *fixture) {
				f.engine.SetFaults(enginesim.Faults{HangBeforeHeaders: true})
				go func() {
					_ = f.clock.BlockUntilContext(context.Background(), 1)
					f.engine.Crash()
				}()
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, enginesim.Config{}, c.opts)
			if c.fault != nil {
				c.fault(f)
			}
			r := request("a")
			if c.req != nil {
				c.req(&r)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if c.onWrote != nil {
				ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
					WroteRequest: func(httptrace.WroteRequestInfo) { c.onWrote(cancel) },
				})
			}
			_, err := f.client.Stream(ctx, r)
			if errors.Is(err, ErrNotRun) != c.notRun || errors.Is(err, ErrMaybeRun) == c.notRun {
				t.Errorf("got %v, want not run: %v", err, c.notRun)
			}
			if c.cause != nil && !errors.Is(err, c.cause) {
				t.Errorf("got %v, want %v", err, c.cause)
			}
			if ran := len(f.engine.Ledger().Records()) > 0; ran != c.ran {
				t.Errorf("the engine accepted the attempt: %v", ran)
			}
		})
	}
}

// Guards against net/http repeating a request by itself when a reused connection
// closes without an answer. The idempotency key makes net/http treat the request
// as idempotent.
func TestNoSilentRepeat(t *testing.T) {
	posts := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "{}")
			return
		}
		posts++
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	c := New(Options{BaseURL: srv.URL})
	defer c.Close()
	if _, err := c.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	r := request("a")
	r.IdempotencyKey = "k"
	if _, err := c.Stream(context.Background(), r); !errors.Is(err, ErrMaybeRun) {
		t.Errorf("connection closed without an answer: got %v, want ErrMaybeRun", err)
	}
	srv.Close()
	if posts != 1 {
		t.Errorf("the request was sent %d times, want once", posts)
	}
}

// Guards against lost or duplicated text when an answer is resumed after its
// stream was cut, at several positions.
func TestResumeAfterCut(t *testing.T) {
	for frames := 1; frames <= tokens; frames += 13 {
		f := newFixture(t, enginesim.Config{}, Options{})
		f.engine.SetFaults(enginesim.Faults{CutAfterFrames: frames, MaxCuts: 1})
		f.runClock()
		s := f.stream("a")
		first, _, err := readAll(t, s)
		if !errors.Is(err, ErrMaybeRun) || errors.Is(err, ErrProtocol) {
			t.Fatalf("cut stream: got %v, want ErrMaybeRun without ErrProtocol", err)
		}
		s, err = f.client.Resume(context.Background(), "a", s.Offset())
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		rest, _, err := readAll(t, s)
		if err != nil || first+rest != wholeAnswer {
			t.Errorf("cut after %d frames: got %q + %q, %v; want the whole answer", frames, first, rest, err)
		}
	}
}

// Guards against wrong results of a resume inside a token, beyond the answer, and
// on an engine that lost the attempt.
func TestResumeOffsets(t *testing.T) {
	f := newFixture(t, enginesim.Config{}, Options{})
	f.runClock()
	if _, _, err := readAll(t, f.stream("a")); err != nil {
		t.Fatal(err)
	}
	runes := []rune(wholeAnswer)
	for _, offset := range []int{0, 3, 17, len(runes) - 1, len(runes)} {
		s, err := f.client.Resume(context.Background(), "a", offset)
		if err != nil {
			t.Fatal(err)
		}
		text, _, err := readAll(t, s)
		if err != nil || text != string(runes[offset:]) {
			t.Errorf("offset %d: got %q, %v", offset, text, err)
		}
		s.Close()
	}
	if _, err := f.client.Resume(context.Background(), "a", len(runes)+1); !errors.Is(err, ErrOffset) {
		t.Errorf("offset beyond the answer: got %v, want ErrOffset", err)
	}
	found, err := f.client.FindAttempts(context.Background(), "r-a")
	if err != nil || len(found) != 1 || found[0].AttemptID != "a" || found[0].Characters != len(runes) {
		t.Errorf("found %+v, %v; want attempt a with all characters", found, err)
	}
	f.engine.Crash()
	if err := f.engine.Restart(); err != nil {
		t.Fatal(err)
	}
	if _, err := f.client.Resume(context.Background(), "a", 3); !errors.Is(err, ErrNotFound) {
		t.Errorf("resume after a restart: got %v, want ErrNotFound", err)
	}
}

// Guards against duplicated text and against corrupt frames that are passed on.
func TestFrameFaults(t *testing.T) {
	f := newFixture(t, enginesim.Config{}, Options{})
	f.runClock()
	f.engine.SetFaults(enginesim.Faults{DuplicateFrames: true})
	s := f.stream("a")
	text, _, err := readAll(t, s)
	if err != nil || text != wholeAnswer || s.Dropped() != tokens+2 {
		t.Errorf("duplicate frames: got %q, %v, %d dropped; want the whole answer and each frame dropped once", text, err, s.Dropped())
	}
	f.engine.SetFaults(enginesim.Faults{CorruptEvery: 5})
	text, _, err = readAll(t, f.stream("b"))
	if !errors.Is(err, ErrProtocol) || text != enginesim.Answer(prompt+"\n", 4) {
		t.Errorf("corrupt frame: got %q, %v; want 4 tokens and ErrProtocol", text, err)
	}
}

// Guards against broken streams that are taken for complete answers.
func TestBrokenStreams(t *testing.T) {
	const text = `data: {"choices":[{"delta":{"content":"ab"}}]}` + "\n\n"
	const end = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	cases := []struct {
		name, body, kind string
		want             error
		status           int
	}{
		{"done without finish", text + "data: [DONE]\n\n", "", ErrProtocol, 200},
		{"no done", text + end, "", ErrMaybeRun, 200},
		{"gap", "id: 3\n" + text, "", ErrProtocol, 200},
		{"overlap", text + "id: 1\n" + text, "", ErrProtocol, 200},
		{"text after finish", text + end + text, "", ErrProtocol, 200},
		{"not JSON", "data: {\n\n", "", ErrProtocol, 200},
		{"deep JSON", "data: " + strings.Repeat("[", 100) + strings.Repeat("]", 100) + "\n\n", "", ErrProtocol, 200},
		{"long line", "data: " + strings.Repeat("x", 1<<17), "", ErrProtocol, 200},
		{"endless text", strings.Repeat(text, 51), "", ErrProtocol, 200},
		{"endless empty frames", strings.Repeat("data: {}\n\n", maxEmptyFrames+1), "", ErrProtocol, 200},
		{"error event", text + `data: {"error":{"code":"x"}}` + "\n\n", "", ErrEngine, 200},
		{"refusal without outcome", "{}", "application/json", ErrEngine, 503},
		{"refusal too large", strings.Repeat("x", 1<<17), "application/json", ErrEngine, 500},
		{"not a stream", "{}", "application/json", ErrProtocol, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", cmp.Or(c.kind, "text/event-stream"))
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer srv.Close()
			s, err := New(Options{BaseURL: srv.URL, MaxAnswerCharacters: 100}).Stream(context.Background(), request("a"))
			if err == nil {
				defer s.Close()
				_, _, err = readAll(t, s)
			}
			if !errors.Is(err, c.want) || !errors.Is(err, ErrMaybeRun) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against an unlimited wait for an engine that sends nothing, and against
// queued requests that run before those of a higher priority or after their
// deadline.
func TestTimeoutAndQueue(t *testing.T) {
	clientClock := clockwork.NewFakeClock()
	f := newFixture(t, enginesim.Config{Slots: 1}, Options{Clock: clientClock})
	s := f.stream("a")
	go func() {
		_ = clientClock.BlockUntilContext(context.Background(), 1)
		clientClock.Advance(defaultFrameTimeout)
	}()
	if _, err := s.Next(); !errors.Is(err, ErrTimeout) {
		t.Fatalf("engine that sends nothing: got %v, want ErrTimeout", err)
	}
	enqueue := func(id, priority string, deadline time.Duration) <-chan error {
		done := make(chan error, 1)
		before := len(f.engine.Ledger().Records())
		r := request(id)
		r.Priority, r.Deadline = priority, deadline
		go func() {
			s, err := f.client.Stream(context.Background(), r)
			if err == nil {
				_, _, err = readAll(t, s)
				s.Close()
			}
			done <- err
		}()
		_ = f.engine.Ledger().Await(context.Background(), before+1)
		return done
	}
	review := enqueue("review", "review", 0)
	expires := enqueue("expires", "standard", perToken)
	lookup := enqueue("lookup", "lookup", 0)
	f.runClock()
	if err := <-expires; !errors.Is(err, ErrNotRun) {
		t.Errorf("attempt with an expired deadline: got %v, want ErrNotRun", err)
	}
	if err := <-lookup; err != nil {
		t.Error(err)
	}
	if err := <-review; err != nil {
		t.Error(err)
	}
	records := f.engine.Ledger().Records()
	if records[2].Executed() || !records[3].Started.Before(records[1].Started) {
		t.Errorf("the queue ran %+v, want the lookup before the review and not the expired attempt", records[1:])
	}
}

// Guards against an attempt that keeps its slot after a cancel, load reports
// without the lag, and probe bytes that are not counted.
func TestCancelAndLoad(t *testing.T) {
	const lag = time.Second
	f := newFixture(t, enginesim.Config{LoadLag: lag}, Options{})
	ctx := context.Background()
	s := f.stream("a")
	checkRunning := func(want int) {
		t.Helper()
		rep, err := f.client.Load(ctx)
		if err != nil || rep.Running != want || len(rep.Attempts) != want || rep.BootID != f.engine.BootID() {
			t.Errorf("load %+v, %v, want %d running", rep, err, want)
		}
	}
	checkRunning(0)
	if a, err := f.client.Cancel(ctx, "a"); err != nil || a.State != "cancelled" {
		t.Fatalf("cancel: got %+v, %v; want state cancelled", a, err)
	}
	if _, _, err := readAll(t, s); !errors.Is(err, ErrEngine) {
		t.Errorf("cancelled stream: got %v, want ErrEngine", err)
	}
	if total, _ := f.engine.Ledger().InFlight(); total != 0 {
		t.Errorf("%d in flight after the cancel, want none", total)
	}
	if _, err := f.client.Cancel(ctx, "b"); !errors.Is(err, ErrNotFound) {
		t.Errorf("cancel of an unknown attempt: got %v, want ErrNotFound", err)
	}
	f.stream("c")
	f.clock.Advance(lag)
	checkRunning(1)
	before := f.meter.Totals()["probe"]
	if _, err := f.client.LoadBrief(ctx); err != nil {
		t.Fatal(err)
	}
	if got := f.meter.Totals()["probe"] - before; got < 300 || got > 700 {
		t.Errorf("a brief probe counts as %d bytes, want 300 to 700", got)
	}
}

// Guards against cache events that are reported too early, out of order or with
// a gap that is not visible, and against a KV move that leaves nothing in the cache.
func TestCacheEventsAndKV(t *testing.T) {
	const lag = 10 * time.Second
	f := newFixture(t, enginesim.Config{CacheEventLag: lag, DropCacheEventEvery: 2}, Options{})
	ctx := context.Background()
	for i, key := range []string{"c1", "c2", "c3"} {
		blob := fmt.Sprintf(`{"prefix_key":%q,"tokens":%d}`, key, 10+i)
		if n, err := f.client.ImportKV(ctx, []byte(blob)); err != nil || n != 10+i {
			t.Fatalf("import: %d, %v", n, err)
		}
	}
	if v, err := f.client.CacheEvents(ctx, 0, 10); err != nil || len(v.Events) != 0 {
		t.Errorf("events before the lag: got %+v, %v; want none", v, err)
	}
	f.clock.Advance(lag)
	v, err := f.client.CacheEvents(ctx, 0, 10)
	if err != nil || len(v.Events) != 2 || v.Events[0].PrefixKey != "c1" || v.Events[1].Seq != 3 {
		t.Errorf("events: got %+v, %v; want c1 and the event with number 3", v, err)
	}
	other := newFixture(t, enginesim.Config{}, Options{MaxKVBytes: 100})
	blob, err := f.client.ExportKV(ctx, "c2", "")
	if err != nil {
		t.Fatal(err)
	}
	if n, err := other.client.ImportKV(ctx, blob); err != nil || n != 11 || other.engine.CachedTokens("c2", "", 99) != 11 {
		t.Errorf("moved prefix has %d tokens, %v; want 11", n, err)
	}
	if _, err := other.client.ExportKV(ctx, "c3", ""); !errors.Is(err, ErrNotFound) {
		t.Errorf("export of an unknown prefix: got %v, want ErrNotFound", err)
	}
	if _, err := other.client.ImportKV(ctx, make([]byte, 101)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("import above the limit: got %v, want ErrTooLarge", err)
	}
}

// Guards against an old order that takes effect on an engine that checks fencing
// numbers, and against a definite result for an order whose answer was lost.
func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		f := newFixture(t, enginesim.Config{CheckFencing: checks}, Options{})
		ctx := context.Background()
		order := func(fencing uint64, version string) error {
			_, err := f.client.Order(ctx, Order{OrderID: "o" + version, Fencing: fencing, Kind: "load", Model: "m", Version: version})
			return err
		}
		version := func() string {
			s, err := f.client.OrdersState(ctx)
			if err != nil || len(s.Models) != 1 || s.Fencing != 7 {
				t.Fatalf("state %+v, %v", s, err)
			}
			return s.Models[0].Version
		}
		if err := order(7, "v2"); err != nil {
			t.Fatal(err)
		}
		err := order(6, "v1")
		if checks && (!errors.Is(err, ErrOldFencing) || !errors.Is(err, ErrNotRun) || version() != "v2") {
			t.Errorf("old order, fencing checked: %v, %s in force", err, version())
		}
		if !checks && (err != nil || version() != "v1") {
			t.Errorf("old order, fencing ignored: %v, %s in force", err, version())
		}
		f.engine.SetFaults(enginesim.Faults{DropOrderAnswer: true})
		if err := order(7, "v3"); !errors.Is(err, ErrMaybeRun) || version() != "v3" {
			t.Errorf("order with a lost answer: got %v, want ErrMaybeRun and version v3 in force", err)
		}
		if n := len(f.engine.Orders()); n != 3 {
			t.Errorf("the engine received %d orders, want 3", n)
		}
	}
}

// Guards against tokens generated during a pause and against a stream that
// does not continue after it.
func TestPause(t *testing.T) {
	f := newFixture(t, enginesim.Config{}, Options{})
	s := f.stream("a")
	f.engine.Pause()
	f.clock.Advance(time.Hour)
	if r := f.engine.Ledger().Records()[0]; !r.FirstToken.IsZero() {
		t.Errorf("paused engine generated a token")
	}
	f.engine.Resume()
	f.runClock()
	if text, _, err := readAll(t, s); err != nil || text != wholeAnswer {
		t.Errorf("after the pause: got %q, %v; want the whole answer", text, err)
	}
	if r := f.engine.Ledger().Records()[0]; r.Ended.Sub(r.Started) < time.Hour+tokens*perToken {
		t.Errorf("the attempt took %v, want at least the pause and the time of all tokens", r.Ended.Sub(r.Started))
	}
}

// Guards against reports of an engine that are accepted although they violate a
// limit or the protocol.
func TestBrokenReports(t *testing.T) {
	ctx := context.Background()
	load := func(c *Client) error { _, err := c.Load(ctx); return err }
	events := func(c *Client) error { _, err := c.CacheEvents(ctx, 4, 10); return err }
	cases := []struct {
		name, body string
		call       func(*Client) error
		ok         bool
	}{
		{"at the limit", `{"running":1}` + strings.Repeat(" ", 87), load, true},
		{"above the limit", `{"running":1}` + strings.Repeat(" ", 88), load, false},
		{"not JSON", `{`, load, false},
		{"not UTF-8", "{\"boot_id\":\"\xff\"}", load, false},
		{"events in order", `{"events":[{"seq":5},{"seq":7}]}`, events, true},
		{"event repeated", `{"events":[{"seq":5},{"seq":5}]}`, events, false},
		{"event before the requested one", `{"events":[{"seq":4}]}`, events, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, c.body)
			}))
			defer srv.Close()
			client := New(Options{BaseURL: srv.URL, MaxReportBytes: 100})
			defer client.Close()
			if err := c.call(client); errors.Is(err, ErrProtocol) == c.ok || (err == nil) != c.ok {
				t.Errorf("got %v, want accepted: %v", err, c.ok)
			}
		})
	}
}
