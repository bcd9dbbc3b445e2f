package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// signedHead is the start of a success on the wire.
const signedHead = "HTTP/1.1 200 OK\r\nId: %ID%\r\nSigned: s\r\n"

// lostAnswers are the ways in which a server may run a request without an answer that may
// be relayed.
var lostAnswers = map[string]answer{
	"closed without an answer":          raw(""),
	"bytes that are no answer":          raw("\x00\x01\x02 no answer\r\n\r\n"),
	"answer of another request":         status(http.StatusOK, "x", "Id", "r2"),
	"refusal of another request":        status(http.StatusServiceUnavailable, "x", "Id", "r2", "Not-Run", "yes"),
	"answer without a name":             status(http.StatusOK, "x", "Id", ""),
	"success without a signature":       status(http.StatusOK, "x", "Signed", "no"),
	"encoded success":                   status(http.StatusOK, "x", "Content-Encoding", "gzip"),
	"signature for the connection only": raw(signedHead + "Connection: Signed\r\nContent-Length: 1\r\n\r\nx"),
	"503 that promises nothing":         status(http.StatusServiceUnavailable, "x"),
	"429 that promises nothing":         status(http.StatusTooManyRequests, "x"),
	"408 that promises nothing":         status(http.StatusRequestTimeout, "x"),
	"undefined status":                  raw(strings.Replace(signedHead, "200", "600", 1) + "Content-Length: 1\r\n\r\nx"),
	"body that breaks off":              raw(signedHead + "Content-Length: 10\r\n\r\nxx"),
	"failure that breaks off":           raw(strings.Replace(signedHead, "200", "500", 1) + "Content-Length: 10\r\n\r\nxx"),
	"torn status line":                  raw("HTTP/1.1 503 HTTP/1.1 200 OK\r\nNot-Run: yes\r\nId: %ID%\r\nSigned: s\r\nContent-Length: 1\r\n\r\nx"),
	"torn header":                       raw("HTTP/1.1 503 Busy\r\nNot-Run: yesHTTP/1.1 200 OK\r\nId: %ID%\r\nSigned: s\r\nContent-Length: 1\r\n\r\nx"),
	"torn header of a success":          raw("HTTP/1.1 200 OK\r\nOther: HTTP/1.1 500 X\r\nId: %ID%\r\nSigned: s\r\nContent-Length: 1\r\n\r\nx"),
}

// Guards against a request that runs twice, or is called "not run", although a server may
// have run it.
func TestRequestThatMayHaveRunIsNeitherRepeatedNorRefused(t *testing.T) {
	t.Parallel()
	for name, lost := range lostAnswers {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Unsafe, MaxAttempts: 3}}, lost, ok("second"))
			if got := b.send(ask{body: "x"}); got.status != http.StatusBadGateway {
				t.Errorf("status %d, want 502", got.status)
			}
			if n := len(b.got()); n != 1 {
				t.Errorf("%d servers got the request, want 1", n)
			}
			b.expectLog(map[string]any{"outcome": OutcomeUnknown})
		})
	}
}

// Guards against a lost answer of a request that another server could have served.
func TestLostAnswerOfASafeRequestIsReplaced(t *testing.T) {
	t.Parallel()
	for name, lost := range lostAnswers {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Safe, MaxAttempts: 2}}, lost, ok("second"))
			if got := b.send(ask{body: "x"}); got.status != http.StatusOK || got.body != "second" {
				t.Errorf("status %d, body %q, want the second server's answer", got.status, got.body)
			}
		})
	}
}

// Guards against a failing request that is sent to one server again and again.
func TestRequestGoesToEachServerOnce(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Safe, MaxAttempts: 3}}, status(http.StatusInternalServerError, "boom"))
	b.send(ask{})
	if got := b.got(); len(got) != 2 || got[0].server == got[1].server {
		t.Errorf("%d servers got the request, want each of two once", len(got))
	}
}

// Guards against a request that runs on more servers than its route allows.
func TestRequestRunsOnNoMoreServersThanItsRouteAllows(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 5, route: routing.Route{Kind: routing.Safe, MaxAttempts: 2}}, status(http.StatusInternalServerError, "boom"))
	b.send(ask{})
	if n := len(b.got()); n != 2 {
		t.Errorf("%d servers got the request, want 2", n)
	}
}

// Guards against a server's failure that is replaced by one of the router.
func TestFailureOfTheServerIsRelayed(t *testing.T) {
	t.Parallel()
	for _, kind := range []routing.Kind{routing.Unsafe, routing.Safe} {
		b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: kind, MaxAttempts: 2}}, status(http.StatusInternalServerError, "boom", "Reason", "r"))
		got := b.send(ask{})
		if got.status != http.StatusInternalServerError || got.body != "boom" || got.header.Get("Reason") != "r" || got.header.Get("Signed") == "" || got.err != nil {
			t.Errorf("%v: status %d, headers %v, body %q, error %v; want the server's failure", kind, got.status, got.header, got.body, got.err)
		}
		b.expectLog(map[string]any{"outcome": OutcomeUnknown, "cause": CauseServerFailed})
	}
}

// Guards against a failure answer that hides an earlier one, because the last server could not be reached.
func TestFailureOfTheServerOutlivesLaterAttempts(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Safe, MaxAttempts: 3}}, status(http.StatusInternalServerError, "boom"), notRun())
	if got := b.send(ask{}); got.status != http.StatusInternalServerError || got.body != "boom" {
		t.Errorf("status %d, body %q, want the failure of the first server", got.status, got.body)
	}
}

// Guards against "not run" that reaches the caller although another server is free.
func TestRefusedRequestGoesToAnotherServer(t *testing.T) {
	t.Parallel()
	for name, refusal := range map[string]answer{
		"not run": notRun(),
		"429":     status(http.StatusTooManyRequests, "", "Not-Run", "yes"),
		"421":     status(http.StatusMisdirectedRequest, "other server"),
		"long body": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Not-Run", "yes")
			endless(w, http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, bedOptions{servers: 2}, refusal, ok("second"))
			if got := b.send(ask{}); got.status != http.StatusOK || got.body != "second" {
				t.Errorf("status %d, body %q, want the second server's answer", got.status, got.body)
			}
		})
	}
}

// endless sends a body until the router ends the exchange.
func endless(w http.ResponseWriter, code int) {
	w.WriteHeader(code)
	for {
		if _, err := io.WriteString(w, strings.Repeat("x", 1<<12)); err != nil {
			return
		}
	}
}

// Guards against refusals that use up the route's attempts, and against a full pool whose
// servers all get each request.
func TestAtMostThreeServersRefuseARequest(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 6}, notRun())
	got := b.send(ask{})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want a refusal", got.status, got.header.Get("Retry-After"))
	}
	if n := len(b.got()); n != 3 {
		t.Errorf("%d servers got the request, want 3", n)
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseOverload, "last": "refused"})
}

// Guards against a request that waits for many servers that are down, and against one that
// gives up while others could be reached.
func TestAtMostEightUnreachableServersAreTried(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{down: 12, retry: &retrybudget.Limits{Window: 10 * time.Second}}, ok("x"))
	b.state.SetServers(b.servers[1:])
	if got := b.send(ask{}); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want a refusal", got.status)
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseUnreachable, "offered": 8, "last": "unreachable"})
}

// Guards against servers that are down and use up the attempts of a request.
func TestUnreachableServersAreNoAttempts(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{down: 7, dataCentre: "near"}, ok("served"))
	for _, s := range b.servers[1:] {
		s.DataCentre = "near"
	}
	b.state.SetServers(b.servers)
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Errorf("status %d, want the answer of the server that runs", got.status)
	}
	b.expectLog(map[string]any{"offered": 8})
}

// Guards against a request that goes on from one server that is down to the next, although
// another one has just answered.
func TestRequestThatMeetsServersThatAreDownGoesToOneThatAnswers(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{down: 7, dataCentre: "near"}, ok("served"))
	for _, s := range b.servers[1:] {
		s.DataCentre = "near"
	}
	b.state.SetServers(b.servers[:1])
	b.send(ask{})
	b.state.SetServers(b.servers)
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Errorf("status %d, want the answer of the server that runs", got.status)
	}
	b.expectLog(map[string]any{"offered": 3, "reason": "last_heard"})
}

// Guards against a server that accepts no connection and holds requests until their deadline.
func TestServerThatAcceptsNoConnectionIsPassedOver(t *testing.T) {
	t.Parallel()
	full := &registry.Server{ID: "full", Pool: "p", Addr: fullListener(t), Slots: 64, DataCentre: "near"}
	b := newBed(t, bedOptions{more: []*registry.Server{full}, dataCentre: "near", dialTimeout: true, route: routing.Route{Timeout: 3 * dialTimeout}}, ok("served"))
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Errorf("status %d, want the answer of the other server", got.status)
	}
	b.expectLog(map[string]any{"offered": 2})
}

// fullListener returns the address of a listener whose queue of connections is full.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, addr := boundSocket(t)
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of the listener does not fill")
	return ""
}

// Guards against retries beyond the budget that the fleet shares, and against a refusal
// that takes none of it.
func TestFurtherAttemptsTakeTheRetryBudget(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first answer
		want  int
	}{
		"failure": {status(http.StatusInternalServerError, "boom"), http.StatusInternalServerError},
		"refusal": {notRun(), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, bedOptions{servers: 3, retry: &retrybudget.Limits{Window: 10 * time.Second}, route: routing.Route{Kind: routing.Safe, MaxAttempts: 3}}, c.first, ok("second"))
			if got := b.send(ask{}); got.status != c.want {
				t.Errorf("status %d, want %d", got.status, c.want)
			}
			if n := len(b.got()); n != 1 {
				t.Errorf("%d attempts without a budget, want 1", n)
			}
		})
	}
}

// Guards against a router whose retry budget does not grow with its requests.
func TestRequestsEarnRetryBudget(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, retry: &retrybudget.Limits{Ratio: 2, Window: time.Hour}, route: routing.Route{Kind: routing.Safe, MaxAttempts: 2}},
		status(http.StatusInternalServerError, "boom"), ok("second"))
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Errorf("status %d, want the second server's answer", got.status)
	}
}

// Guards against a request that outlives its deadline, or begins an attempt after it.
func TestRequestEndsAtItsDeadline(t *testing.T) {
	t.Parallel()
	for _, kind := range []routing.Kind{routing.Unsafe, routing.Safe} {
		b := newBed(t, bedOptions{servers: 3, route: routing.Route{Kind: kind, MaxAttempts: 3, Timeout: deadlineOfTests}}, hang)
		if got := b.send(ask{}); got.status != http.StatusGatewayTimeout {
			t.Errorf("%v: status %d, error %v; want 504", kind, got.status, got.err)
		}
		b.expectLog(map[string]any{"outcome": OutcomeUnknown, "cause": CauseDeadline, "offered": 1})
	}
}

// Guards against a request whose deadline is not the earlier one of the caller's and the
// route's, and against a server that is told another one.
func TestAttemptStatesTheTimeThatIsLeft(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ caller, route, want time.Duration }{
		{2 * time.Hour, time.Hour, time.Hour},
		{time.Hour, 2 * time.Hour, time.Hour},
		{0, time.Hour, time.Hour},
		{time.Hour, -1, time.Hour},
		{0, -1, defaultDeadline},
	} {
		b := newBed(t, bedOptions{route: routing.Route{Timeout: c.route}}, ok("x"))
		header := http.Header{}
		if c.caller > 0 {
			header.Set("Deadline", c.caller.String())
		}
		b.send(ask{header: header})
		got, err := time.ParseDuration(b.got()[0].r.Header.Get("Remaining"))
		if err != nil || got >= c.want || got < c.want-bedWait {
			t.Errorf("caller's deadline %v, route's timeout %v: %v left, error %v; want a little less than %v", c.caller, c.route, got, err, c.want)
		}
	}
}

// Guards against servers that work for callers who have left, and against a request that
// then goes to another server or counts as a failure of its server.
func TestCallerThatLeavesEndsItsRequest(t *testing.T) {
	t.Parallel()
	type step struct {
		answer answer
		route  routing.Route
	}
	for name, s := range map[string]step{
		"before the answer": {hang, routing.Route{Kind: routing.Safe, MaxAttempts: 3}},
		"in an answer":      {func(w http.ResponseWriter, _ *http.Request) { endless(w, http.StatusOK) }, routing.Route{Kind: routing.Safe, MaxAttempts: 3}},
		"in a stream": {func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			hang(w, r)
		}, routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 3}},
		"in a stream that goes on": {func(w http.ResponseWriter, _ *http.Request) {
			for i := 1; ; i++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1<<10)); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
			}
		}, routing.Route{Kind: routing.Stream, MaxAttempts: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			b := newBed(t, bedOptions{servers: 3, route: s.route}, func(w http.ResponseWriter, r *http.Request) {
				defer close(ended)
				s.answer(w, r)
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			begun := make(chan struct{})
			go func() {
				defer close(begun)
				if resp, err := b.begin(ask{ctx: ctx}); err == nil {
					defer resp.Body.Close()
					_, _ = resp.Body.Read(make([]byte, 1))
					cancel()
				}
			}()
			b.until("the server has the request", func() bool { return len(b.got()) > 0 })
			if name == "before the answer" {
				cancel()
			}
			select {
			case <-ended:
			case <-time.After(bedWait):
				t.Fatal("the server still works on the request")
			}
			<-begun
			b.expectLog(map[string]any{"outcome": OutcomeCallerLeft, "cause": CauseCallerLeft, "offered": 1, "last": "cancelled"})
		})
	}
}

// Guards against a request without a usable server that waits, or breaks off.
func TestRequestWithoutAServerIsRefused(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, ok("x"))
	b.state.SetServers(nil)
	if got := b.send(ask{}); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, error %v; want a refusal", got.status, got.err)
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseNoServer})
	b = newBed(t, bedOptions{route: routing.Route{Targets: []routing.Target{{Pool: "other", Weight: 1}}}}, ok("x"))
	if got := b.send(ask{}); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, error %v for a pool that never had a server; want a refusal", got.status, got.err)
	}
}

var sharedPrompt = http.Header{"Prompt": {"1:800,2:100"}}

// Guards against a request that a starting router holds for longer than half of its
// objective, or not at all.
func TestStartingRouterHoldsRequestsForHalfOfTheirObjective(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		b := newBed(t, bedOptions{virtual: true, route: routing.Route{Objective: 100 * time.Millisecond}}, ok("x"))
		b.state.SetPlacementsKnown(func() bool { return false })
		if got := b.send(ask{header: sharedPrompt}); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
		b.expectLog(map[string]any{"held_ms": 50})
		b.send(ask{})
		b.expectLog(map[string]any{"held_ms": nil})
	})
}

// Guards against a held request that is sent after its deadline or after its caller left.
func TestHeldRequestThatEndsIsNotSent(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Timeout: 100 * time.Millisecond}}, ok("x"))
	b.state.SetPlacementsKnown(func() bool { return false })
	if got := b.send(ask{header: sharedPrompt}); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d at the deadline, want a refusal", got.status)
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseDeadline, "offered": nil})

	b = newBed(t, bedOptions{}, ok("x"))
	b.state.SetPlacementsKnown(func() bool { return false })
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		b.until("the router has the request", func() bool { return b.handler.Running() > 0 })
		cancel()
	}()
	b.send(ask{ctx: ctx, header: sharedPrompt})
	b.expectLog(map[string]any{"outcome": OutcomeCallerLeft, "offered": nil})
	if n := len(b.got()); n != 0 {
		t.Errorf("%d requests were sent, want none", n)
	}
}

// Guards against a server that fails requests which others serve and is not found, and
// against servers that are blamed for a request that fails everywhere.
func TestFailureCountsWhenAnotherServerServesTheRequest(t *testing.T) {
	t.Parallel()
	boom := status(http.StatusInternalServerError, "boom")
	failed := func(b *bed) (n int) {
		b.logged()
		for _, o := range b.state.Outcomes() {
			n += o.Failed
		}
		return n
	}
	route := routing.Route{Kind: routing.Safe, MaxAttempts: 2}
	b := newBed(t, bedOptions{servers: 2, route: route}, boom, ok("x"))
	b.send(ask{})
	if n := failed(b); n != 1 {
		t.Errorf("%d failures of a server whose request another one served, want 1", n)
	}
	b = newBed(t, bedOptions{servers: 2, route: route}, boom)
	b.send(ask{})
	if n := failed(b); n != 0 {
		t.Errorf("%d failures of servers that all failed the request, want 0", n)
	}
	b = newBed(t, bedOptions{servers: 2, route: route}, boom, status(http.StatusInternalServerError, strings.Repeat("x", 2*bufferedAnswerBytes)))
	b.send(ask{})
	if n := failed(b); n != 0 {
		t.Errorf("%d failures of servers of which the last failed with a large answer, want 0", n)
	}
	b = newBed(t, bedOptions{servers: 2, route: routing.Route{MaxAttempts: 2}}, boom)
	b.send(ask{})
	if n := failed(b); n != 1 {
		t.Errorf("%d failures of a server whose request may not be repeated, want 1", n)
	}
}

// Guards against a server that is blamed because a kept connection was closed before the
// request: net/http found it closed, and nothing was sent.
func TestClosedIdleConnectionIsNoFailureOfTheServer(t *testing.T) {
	t.Parallel()
	c := &call{r: httptest.NewRequest(http.MethodGet, "/", nil)}
	res := c.classifySendError(context.Background(), net.ErrClosed, true)
	if res.outcome != balance.Cancelled || res.mayHaveRun {
		t.Errorf("%+v, want a cancelled attempt that has not run", res)
	}
}

// Guards against requests that cross between data centres while servers nearby are free.
func TestNearServersArePreferred(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 4, dataCentre: "near"}, ok("x"))
	b.servers[2].DataCentre = "near"
	b.state.SetServers(b.servers)
	for range 8 {
		b.send(ask{})
	}
	for _, a := range b.got() {
		if a.server != "s2" {
			t.Fatalf("server %s got a request, want only the one nearby", a.server)
		}
	}
}

// Guards against loads that servers state in vain.
func TestLoadInAnAnswerIsRecorded(t *testing.T) {
	t.Parallel()
	before := time.Now()
	b := newBed(t, bedOptions{}, status(http.StatusOK, "x", "Load", "9,0,64"))
	got := b.send(ask{})
	if s := b.state.Status(before)[0].Servers[0]; s.Others == 0 {
		t.Errorf("%+v after a report of nine requests, want others", s)
	}
	if got.header.Get("Load") != "" {
		t.Error("a header for the router has reached the caller")
	}
}

// Guards against a large failure that is cut, looks whole when it broke off, or counts as served.
func TestLargeFailureIsRelayed(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", 2*bufferedAnswerBytes)
	b := newBed(t, bedOptions{servers: 2}, status(http.StatusInternalServerError, large))
	if got := b.send(ask{}); got.status != http.StatusInternalServerError || got.body != large || got.err != nil {
		t.Errorf("status %d, %d bytes, error %v; want the whole failure", got.status, len(got.body), got.err)
	}
	b.expectLog(map[string]any{"outcome": OutcomeUnknown, "cause": CauseServerFailed, "last": "failed"})

	torn := strings.Replace(signedHead, "200", "500", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(large), large)
	b = newBed(t, bedOptions{servers: 2}, raw(torn))
	if got := b.send(ask{}); got.err == nil {
		t.Errorf("status %d, %d bytes of a failure that broke off look complete", got.status, len(got.body))
	}
	b.expectLog(map[string]any{"outcome": OutcomeCut, "cause": CauseAnswerBroken})

	b = newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Safe, MaxAttempts: 2}}, status(http.StatusInternalServerError, large), ok("second"))
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Errorf("status %d after a large failure, want the second server's answer", got.status)
	}
}

// Guards against an answer of the router to a request that it has already begun to answer.
func TestAnswerThatBreaksOffIsNotReplaced(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", 2*bufferedAnswerBytes)
	for _, kind := range []routing.Kind{routing.Unsafe, routing.Safe} {
		b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: kind, MaxAttempts: 2}},
			raw(signedHead+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(large), large)), ok("second"))
		if got := b.send(ask{}); got.status != http.StatusOK || got.err == nil || strings.Trim(got.body, "x") != "" {
			t.Errorf("%v: status %d, error %v; want the broken answer of the first server", kind, got.status, got.err)
		}
		if n := len(b.got()); n != 1 {
			t.Errorf("%v: %d servers got the request, want 1", kind, n)
		}
		b.expectLog(map[string]any{"outcome": OutcomeCut, "cause": CauseAnswerBroken})
	}
}

// Guards against a server that is blamed for an answer that lasts longer than its request may.
func TestAnswerBeyondTheDeadlineIsNoFailureOfTheServer(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Timeout: deadlineOfTests}}, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		hang(w, r)
	})
	if got := b.send(ask{}); got.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", got.status)
	}
	b.expectLog(map[string]any{"outcome": OutcomeUnknown, "cause": CauseDeadline, "last": "cancelled"})
}
