package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Guards against a request that waits for a silent server although another one is free.
func TestRequestLeavesASilentServer(t *testing.T) {
	t.Parallel()
	event := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		hang(w, r)
	}
	for name, c := range map[string]struct {
		kind   routing.Kind
		silent answer
		want   string
	}{"before the answer": {routing.Safe, hang, "id: 2\n\n"}, "in a stream": {routing.Stream, event, "id: 1\n\nid: 2\n\n"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := routing.Route{Kind: c.kind, Resumable: true, MaxAttempts: 2, Objective: time.Millisecond, GapObjective: time.Millisecond}
			b := newBed(t, bedOptions{servers: 2, route: route}, c.silent, ok("id: 2\n\n"))
			if got := b.send(ask{}); got.status != http.StatusOK || got.body != c.want || got.err != nil {
				t.Errorf("status %d, body %q, error %v; want %q", got.status, got.body, got.err, c.want)
			}
			b.logged()
			if lines := b.lines.String(); !strings.Contains(lines, `"cause":"server_silent"`) {
				t.Errorf("the log does not name the silence: %s", lines)
			}
		})
	}
}

// Guards against a silent server that costs a request its answer although no other one may
// get the request.
func TestSilenceEndsNoRequestWithoutAnotherAttempt(t *testing.T) {
	t.Parallel()
	none := &retrybudget.Limits{Window: 10 * time.Second}
	for name, o := range map[string]bedOptions{
		"may not be repeated": {route: routing.Route{Kind: routing.Unsafe, MaxAttempts: 3}},
		"last attempt":        {route: routing.Route{Kind: routing.Safe, MaxAttempts: 1}},
		"no retry budget":     {route: routing.Route{Kind: routing.Safe, MaxAttempts: 3}, retry: none},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.servers = 3
			o.route.Objective, o.route.Timeout = time.Millisecond, 2*minSilence
			b := newBed(t, o, hang)
			if got := b.send(ask{}); got.status != http.StatusGatewayTimeout {
				t.Errorf("status %d, want 504", got.status)
			}
			b.expectLog(map[string]any{"cause": CauseDeadline, "offered": 1})
		})
	}
}

// Guards against an answer of which the caller has the start and that is broken off because
// its server is silent: no other server can continue it.
func TestSilenceEndsNoAnswerThatCannotBeContinued(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", 2*bufferedAnswerBytes)
	for name, c := range map[string]struct {
		route routing.Route
		start string
	}{
		"plain":                       {routing.Route{Kind: routing.Safe, Timeout: 3 * minSilence}, large},
		"stream, event without an ID": {routing.Route{Kind: routing.Stream, Resumable: true, Timeout: 3 * minStreamSilence / 2}, "data: x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.route.MaxAttempts, c.route.Objective, c.route.GapObjective = 3, time.Millisecond, time.Millisecond
			b := newBed(t, bedOptions{servers: 3, route: c.route}, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, c.start)
				_ = http.NewResponseController(w).Flush()
				hang(w, r)
			})
			if got := b.send(ask{}); got.err == nil {
				t.Errorf("status %d, %d bytes of an answer that broke off look complete", got.status, len(got.body))
			}
			b.expectLog(map[string]any{"outcome": OutcomeCut, "cause": CauseDeadline, "offered": 1})
		})
	}
}

// Guards against servers that are called silent too soon, or too late for their callers.
func TestSilenceIsMeasuredByTheObjective(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		route routing.Route
		want  time.Duration
	}{
		{routing.Route{Kind: routing.Safe, Objective: time.Second}, 3 * time.Second},
		{routing.Route{Kind: routing.Safe, Objective: time.Millisecond}, 250 * time.Millisecond},
		{routing.Route{Kind: routing.Stream, Objective: time.Hour, GapObjective: time.Second}, 3 * time.Second},
		{routing.Route{Kind: routing.Stream, Objective: time.Hour, GapObjective: time.Millisecond}, time.Second},
	} {
		if got := silenceLimit(&c.route); got != c.want {
			t.Errorf("%+v: %v, want %v", c.route, got, c.want)
		}
	}
}

// Guards against an attempt that is ended although its server sends, and against one whose
// server falls silent later and is waited for.
func TestOnlySilenceSinceTheLastProgressEndsAnAttempt(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, ok("x"))
	c := &call{pool: b.state.pool("p"), arrivedAt: time.Now().Add(-time.Hour)}
	ctx, cancel := context.WithCancelCause(context.Background())
	w := &watch{call: c, key: b.servers[0].Key(), cancel: cancel, limit: 10 * time.Minute}
	w.timer = time.AfterFunc(time.Hour, w.check)
	defer w.timer.Stop()
	w.recordProgress()
	if w.check(); ctx.Err() != nil {
		t.Fatal("an attempt was ended a moment after its server had sent data")
	}
	w.limit = 20 * time.Millisecond
	w.recordProgress()
	w.check()
	select {
	case <-ctx.Done():
	case <-time.After(bedWait):
		t.Fatal("an attempt whose server fell silent was not ended")
	}
	if !errors.Is(context.Cause(ctx), errSilent) {
		t.Errorf("the attempt ended with %v, want silence", context.Cause(ctx))
	}
}

// Guards against a timer that is set for good by a check at the moment in which its attempt ends.
func TestStoppedWatchSetsNoTimer(t *testing.T) {
	t.Parallel()
	w := &watch{call: &call{arrivedAt: time.Now()}, limit: time.Hour}
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.committed.Store(true)
	w.stop()
	if w.check(); w.timer.Stop() {
		t.Error("the timer of a watch that was stopped is set")
	}
}

// Guards against a server that gets no requests although it sends, because its headers or
// the pieces of its answers do not count.
func TestDataOfAServerEndsItsSilence(t *testing.T) {
	t.Parallel()
	for name, route := range map[string]routing.Route{"stream": {Kind: routing.Stream}, "plain": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			headers, data, end := make(chan struct{}), make(chan struct{}), make(chan struct{})
			b := newBed(t, bedOptions{route: route}, func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusOK)
				<-headers
				_ = http.NewResponseController(w).Flush()
				<-data
				_, _ = io.WriteString(w, "id: 1\n\n")
				_ = http.NewResponseController(w).Flush()
				<-end
			})
			silent := func() bool { return b.state.Status(time.Now())[0].Servers[0].State == "ejected" }
			done := make(chan reply)
			go func() { done <- b.send(ask{}) }()
			b.until("the server is silent", silent)
			close(headers)
			b.until("the headers end the silence", func() bool { return !silent() })
			b.until("the server is silent again", silent)
			close(data)
			b.until("the data end the silence", func() bool { return !silent() })
			close(end)
			if got := <-done; got.status != http.StatusOK || got.err != nil {
				t.Errorf("status %d, error %v", got.status, got.err)
			}
		})
	}
}

// Guards against a request that is counted at a server that it is not sent to yet, and one
// that is sent while its prefix is being read.
func TestRequestIsHeldWhileItsPrefixIsRead(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, ok("x"))
	p := b.state.pool("p")
	job := balance.Job{Prefixes: []balance.Prefix{{Hash: prefixHash("", 1), Tokens: 8000}}, PromptTokens: 8100}
	now := time.Now()
	first, found, _ := p.pick(now, job, false)
	if !found || p.balance.Status(now)[0].Own != 1 {
		t.Fatalf("the request that reads the prefix does not count: %+v", p.balance.Status(now))
	}
	held, _, _ := p.pick(now, job, true)
	if held.ReadyIn == 0 || p.balance.Status(now)[0].Own != 1 {
		t.Errorf("ready in %v, %d requests count; want a request that is held and does not count", held.ReadyIn, p.balance.Status(now)[0].Own)
	}
	if got := b.send(ask{header: http.Header{"Prompt": {"1:8000,2:100"}}}); got.status != http.StatusOK {
		t.Errorf("status %d, want 200", got.status)
	}
	if b.logged()["held_ms"] == nil {
		t.Error("the request was not held")
	}
	p.end(now, first, job, balance.Served)
}

// Guards against prompts that count as read by a server that refused them or was not
// reached, and against those that were read and do not count.
func TestOnlyPromptsThatArriveAreRead(t *testing.T) {
	t.Parallel()
	prompt := http.Header{"Prompt": {"1:800000,2:100"}}
	b := newBed(t, bedOptions{}, notRun(), ok("x"))
	b.send(ask{header: prompt})
	b.logged()
	if list := b.state.AllPlacements(); len(list) != 0 {
		t.Errorf("placements %v after a refusal, want none", list)
	}
	b.send(ask{header: prompt})
	b.send(ask{header: prompt})
	b.expectLog(map[string]any{"reason": "held", "held_ms": nil})

	b = newBed(t, bedOptions{down: 1}, ok("x"))
	b.state.SetServers(b.servers[1:])
	b.send(ask{header: prompt})
	b.logged()
	if list := b.state.AllPlacements(); len(list) != 0 {
		t.Errorf("placements %v at a server that was not reached, want none", list)
	}
}

// Guards against a prefix that is computed again although it could be copied from a server
// that leaves.
func TestAttemptNamesTheServerToCopyFrom(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2}, ok("x"))
	b.send(ask{header: sharedPrompt})
	holder, other := b.servers[0], b.servers[1]
	if b.got()[0].server == other.ID {
		holder, other = other, holder
	}
	leaving := *holder
	leaving.Leaving = true
	list := append(b.servers[:0:0], &leaving, other)
	b.state.SetServers(list)
	b.send(ask{header: sharedPrompt})
	if got := b.got()[1]; got.server != other.ID || got.r.Header.Get("Fetch-From") != holder.Addr {
		t.Errorf("server %s is to copy from %q, want %s from %s", got.server, got.r.Header.Get("Fetch-From"), other.ID, holder.Addr)
	}
}
