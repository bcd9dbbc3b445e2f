package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// wireHead is the start of a request on the wire.
const wireHead = " HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k1\r\n"

// Guards against a refusal for good, or none, where the configuration decides.
func TestConfigurationDecidesOnRequests(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path    string
		header  http.Header
		unset   bool
		want    int
		outcome Outcome
	}{
		"allowed":          {"/r/x", nil, false, http.StatusOK, OutcomeServed},
		"no configuration": {"/r/x", nil, true, http.StatusServiceUnavailable, OutcomeNotRun},
		"no route":         {"/other/x", nil, false, http.StatusNotFound, OutcomeDenied},
		"unknown key":      {"/r/x", http.Header{"Key": {"k2"}}, false, http.StatusUnauthorized, OutcomeDenied},
		"query":            {"/other?/r/", nil, false, http.StatusNotFound, OutcomeDenied},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, bedOptions{route: routing.Route{Prefix: "/r/"}}, ok("x"))
			if c.unset {
				b.state.table.Store(nil)
			}
			if got := b.send(ask{path: c.path, header: c.header}); got.status != c.want {
				t.Errorf("status %d, want %d", got.status, c.want)
			}
			b.expectLog(map[string]any{"outcome": c.outcome})
			if n := len(b.got()); (n > 0) != (c.want == http.StatusOK) {
				t.Errorf("%d requests at the server", n)
			}
		})
	}
}

// Guards against a request target that is routed by something other than its path.
func TestTargetIsRoutedByItsPath(t *testing.T) {
	t.Parallel()
	for target, want := range map[string]string{
		"/a/b?c=/d":       "/a/b",
		"/a%2Fb":          "/a%2Fb",
		"http://h/a?b":    "/a",
		"http://h":        "/",
		"http://h?b=/c":   "/",
		"/http://h/a?x":   "/http://h/a",
		"http://h//a//b?": "//a//b",
	} {
		if got := rawPath(target); got != want {
			t.Errorf("the path of %s is %s, want %s", target, got, want)
		}
	}
}

// Guards against a request that reaches its server changed, with headers of the connection
// or with headers that only the system may set.
func TestServerGetsTheCallersRequest(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{workspace: routing.Workspace{Name: "owner", Priority: 3, HasPriority: true}, route: routing.Route{Priority: 7}}, ok("x"))
	for _, target := range []string{"/a/b?c=d%20e", "//a//b", "/a%2Fb|c", "/a//../b?"} {
		request := "PUT " + target + wireHead + "Connection: close, X-Hop\r\nX-Hop: 1\r\nTe: trailers\r\nKeep-Alive: 1\r\n" +
			"System-Only: forged\r\nInstance: forged\r\nOther: kept\r\nContent-Length: 4\r\n\r\nbody"
		text, err := b.wire(request)
		if err != nil || !strings.HasPrefix(text, "HTTP/1.1 200") {
			t.Fatalf("answer %q, error %v", text, err)
		}
		got := b.got()[len(b.got())-1]
		if got.r.Method != http.MethodPut || got.r.RequestURI != target || got.r.Host != "h" || got.body != "body" || got.r.ContentLength != 4 {
			t.Errorf("%s: the server got %s %s, host %s, body %q, length %d", target, got.r.Method, got.r.RequestURI, got.r.Host, got.body, got.r.ContentLength)
		}
		for name, want := range map[string]string{
			"X-Hop": "", "Te": "", "Keep-Alive": "", "Connection": "", "System-Only": "", "Key": "", "User-Agent": "",
			"Other": "kept", "Instance": "s0", "Workspace": "owner", "Priority": "3",
		} {
			if got := got.r.Header.Get(name); got != want {
				t.Errorf("%s: the server got %s: %q, want %q", target, name, got, want)
			}
		}
	}
	b = newBed(t, bedOptions{route: routing.Route{Priority: 7}}, ok("x"))
	b.send(ask{})
	if got := b.got()[0].r.Header.Get("Priority"); got != "7" {
		t.Errorf("priority %s, want the route's, 7", got)
	}
}

// Guards against net/http that sends a request a second time by itself, on a kept
// connection that was closed after the first.
func TestRequestOnAClosedConnectionRunsOnce(t *testing.T) {
	t.Parallel()
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Unsafe}}, ok("x"), raw(""), ok("again"))
		b.send(ask{method: method, body: "body"})
		got := b.send(ask{method: method, body: "body"})
		if n := len(b.got()); n != 2 || got.status != http.StatusBadGateway {
			t.Errorf("%s: %d requests at the server, status %d; want 2 and 502", method, n, got.status)
		}
	}
}

// Guards against a router whose end is not announced, so that callers send on a connection
// that closes.
func TestStoppingRouterAnnouncesTheEndOfConnections(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, status(http.StatusOK, "x", "Connection", "keep-alive"))
	b.handler.Stop(time.Now(), time.Now().Add(time.Hour))
	text, err := b.wire("GET /x" + wireHead + "\r\n")
	if err != nil || !strings.Contains(text, "\r\nConnection: close\r\n") {
		t.Errorf("answer %q, error %v; want the end of the connection to be announced", text, err)
	}
}

// Guards against a stopping router that accepts what may not finish.
func TestStoppingRouterRefusesWhatMayNotFinish(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Stream}}, ok("x"))
	now := time.Now()
	b.handler.Stop(now.Add(-time.Minute), now.Add(time.Hour))
	if got := b.send(ask{}); got.status != http.StatusServiceUnavailable || len(b.got()) > 0 {
		t.Errorf("status %d, %d requests at the server; want a refusal", got.status, len(b.got()))
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseStopping})
}

// Guards against a request that is smuggled behind one in chunks which also has a length.
func TestNothingIsReadAfterAChunkedRequest(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, ok("x"))
	chunked := "POST /x" + wireHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	text, err := b.wire(chunked + "GET /smuggled" + wireHead + "\r\n")
	if err != nil || !strings.Contains(text, "\r\nConnection: close\r\n") || len(b.got()) != 1 {
		t.Errorf("answer %q, error %v, %d requests at the server; want 1 and the end of the connection", text, err, len(b.got()))
	}
}

// Guards against bodies that are larger than the configuration allows, and against others
// that are denied.
func TestBodiesAreBounded(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{config: routing.Limits{BodyBytes: 10}}, ok("x"))
	chunks := func(body string) string {
		return "POST /x" + wireHead + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	}
	length := func(body string) string {
		return "POST /x" + wireHead + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(body)) + body
	}
	for _, c := range []struct{ request, want string }{
		{length("0123456789"), "200"}, {chunks("0123456789"), "200"}, {length("0123456789a"), "413"}, {chunks("0123456789a"), "413"},
	} {
		if text, err := b.wire(c.request); err != nil || !strings.HasPrefix(text, "HTTP/1.1 "+c.want) {
			t.Errorf("answer %q, error %v; want %s", text, err, c.want)
		}
	}
}

// Guards against bodies that take more memory than the VM has, and against memory that is
// counted for requests that have ended.
func TestMemoryOfBodiesIsReleased(t *testing.T) {
	t.Parallel()
	var inFlight int64
	var b *bed
	b = newBed(t, bedOptions{bodyMemory: 10}, func(w http.ResponseWriter, r *http.Request) {
		inFlight = b.handler.bodies.used.Load()
		ok("x")(w, r)
	})
	if got := b.send(ask{body: "0123456789a"}); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d for a body that does not fit, want a refusal", got.status)
	}
	for _, request := range []string{
		"POST /x" + wireHead + "Connection: close\r\nContent-Length: 6\r\n\r\n012345",
		"POST /x" + wireHead + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n0\r\n\r\n",
	} {
		if text, err := b.wire(request); err != nil || !strings.HasPrefix(text, "HTTP/1.1 200") {
			t.Errorf("answer %q, error %v", text, err)
		}
		if inFlight != 6 {
			t.Errorf("%d bytes are counted while a body of 6 is held", inFlight)
		}
		if b.logged(); b.handler.bodies.used.Load() != 0 {
			t.Errorf("%d bytes are counted after the request", b.handler.bodies.used.Load())
		}
	}
}

// Guards against a part of a body that is taken for the whole.
func TestBrokenBodyIsNotSent(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, ok("x"))
	text, _ := b.wire("POST /x" + wireHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nxxxxyyyy")
	if !strings.HasPrefix(text, "HTTP/1.1 400") || len(b.got()) != 0 {
		t.Errorf("answer %q, %d requests at the server; want 400 and none", text, len(b.got()))
	}
}

// Guards against a request whose connection is broken off when the time for its body ends,
// although the body has arrived.
func TestDeadlineOfABodyEndsWithIt(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Timeout: deadlineOfTests}}, hang)
	if got := b.send(ask{body: "x"}); got.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, error %v; want 504", got.status, got.err)
	}
}

// Guards against a caller that reads nothing and holds its request beyond the deadline.
func TestCallerThatDoesNotReadIsCutOffAfterTheDeadline(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Timeout: deadlineOfTests}}, status(http.StatusOK, strings.Repeat("x", 32<<20)))
	conn, err := net.Dial("tcp", b.edge.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /x"+wireHead+"\r\n")
	b.until("the server has the request", func() bool { return len(b.got()) > 0 })
	b.expectLog(map[string]any{"status": http.StatusOK})
}

// Guards against a full pool that accepts what it would serve late, and against one that
// decides without knowing whose request it is, or how urgent.
func TestFullPoolRefusesLateRequests(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Objective: 100 * time.Millisecond}}, ok("x"))
	b.servers[0].Slots = 1
	b.state.SetServers(b.servers)
	p := b.state.pool("p")
	now := time.Now()
	for range 64 {
		p.controller.Decide(now, overload.Load{Own: 1, Slots: 1}, overload.Request{Route: "r", Objective: time.Minute})
		p.recordAnswerTimes("r", time.Second, time.Second)
	}
	for range 10 {
		c, _, _ := p.pick(now, balance.Job{}, false)
		_ = c
	}
	got := b.send(ask{})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(b.got()) != 0 {
		t.Errorf("status %d, Retry-After %q, %d requests at the server; want a refusal", got.status, got.header.Get("Retry-After"), len(b.got()))
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CausePoolFull})
}

// Guards against answer times that include lost attempts, or come from requests that
// nobody served.
func TestOnlyFirstAttemptsTellAnswerTimes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answers []answer
		want    bool
	}{
		"served":         {[]answer{ok("x")}, true},
		"served later":   {[]answer{status(http.StatusInternalServerError, "boom"), ok("x")}, false},
		"failed at once": {[]answer{status(http.StatusBadGateway, "boom")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := len(c.answers)
			b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Safe, MaxAttempts: attempts}}, c.answers...)
			b.send(ask{})
			b.logged()
			p := b.state.pool("p")
			if got := p.controller.Expected(overload.Load{Own: 1000, Slots: 1}) > 0; got != c.want {
				t.Errorf("times are recorded: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against refused callers that return too soon, too late or together, and against a
// refusal whose status promises nothing.
func TestRefusalStatesWhenToRetry(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		objective, least time.Duration
		unset            bool
	}{
		{objective: 500 * time.Millisecond, least: 250 * time.Millisecond},
		{objective: time.Hour, least: time.Second},
		{objective: time.Millisecond, least: 100 * time.Millisecond},
		{objective: time.Hour, least: 500 * time.Millisecond, unset: true},
	} {
		b := newBed(t, bedOptions{route: routing.Route{Objective: c.objective}}, ok("x"))
		b.state.SetServers(nil)
		if c.unset {
			b.state.table.Store(nil)
		}
		waits := map[string]bool{}
		for range 20 {
			got := b.send(ask{})
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			wait := time.Duration(seconds * float64(time.Second))
			// The header has two digits after the point.
			if got.status != http.StatusServiceUnavailable || err != nil || wait < c.least-5*time.Millisecond || wait > c.least*3/2+5*time.Millisecond {
				t.Fatalf("status %d, Retry-After %v, error %v; want %v and up to half of that more", got.status, wait, err, c.least)
			}
			waits[got.header.Get("Retry-After")] = true
		}
		if len(waits) == 1 {
			t.Errorf("20 callers are all asked to wait for %v", waits)
		}
	}
	if got := retryAfter(CauseStopping, time.Hour); got != minRetryAfter {
		t.Errorf("a caller of a stopping router waits for %v, want %v: any other router can accept it", got, minRetryAfter)
	}
}

// Guards against operators whose changed bounds do not reach pools, whenever these are made.
func TestChangedBoundsReachAllPools(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, retry: &retrybudget.Limits{Window: time.Hour}, route: routing.Route{Kind: routing.Safe, MaxAttempts: 2}},
		status(http.StatusInternalServerError, "boom"), ok("x"))
	b.state.SetBounds(balance.Limits{CapFactor: 7}, retrybudget.Limits{Window: time.Hour, Extra: 1e9})
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Errorf("status %d after the retry limits were raised, want 200", got.status)
	}
	later := *b.servers[0]
	later.Pool = "later"
	b.state.SetServers(append(b.servers, &later))
	if left := b.state.pool("later").budget.Remaining(time.Now()); left < 1 {
		t.Errorf("%v retries in a pool that was made after the change, want some", left)
	}
}
