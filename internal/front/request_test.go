package front_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Guards against a wrong answer after a failed attempt: a false statement that the
// request has not run, a second run, or an answer that is not the server's.
func TestOutcomeOfFaults(t *testing.T) {
	stream := []string{platformtest.HeaderPrompt, prompt, platformtest.HeaderModel, "m"}
	whole := ""
	for i := 1; i <= platformtest.EventsPerStream; i++ {
		whole += fmt.Sprintf("id: %d\ndata: word%d\n\n", i, i)
	}
	for _, c := range []struct {
		name    string
		path    string
		headers []string
		fault   platformtest.Fault
		status  int
		runs    int
		body    string
		broken  bool
	}{
		{name: "safe served", path: "/safe/x", status: 200, runs: 1},
		{name: "safe refused twice is not run", path: "/safe/x", fault: platformtest.Refuse, status: 503, runs: 2},
		{name: "unsafe refused twice is not run", path: "/unsafe/x", fault: platformtest.Refuse, status: 503, runs: 2},
		{name: "safe failed everywhere", path: "/safe/x", fault: platformtest.Fail, status: 500, runs: 2, body: "failed"},
		{name: "unsafe failed", path: "/unsafe/x", fault: platformtest.Fail, status: 500, runs: 1, body: "failed"},
		{name: "unsafe reset is unknown", path: "/unsafe/x", fault: platformtest.Reset, status: 502, runs: 1},
		{name: "safe reset is repeated", path: "/safe/x", fault: platformtest.Reset, status: 502, runs: 2},
		{name: "503 without a not-run statement is unknown", path: "/unsafe/x", fault: platformtest.Busy, status: 502, runs: 1},
		{name: "answer of another request", path: "/unsafe/x", fault: platformtest.WrongID, status: 502, runs: 1},
		{name: "answer without a signature", path: "/unsafe/x", fault: platformtest.Unsigned, status: 502, runs: 1},
		{name: "answer too short", path: "/unsafe/x", fault: platformtest.Short, status: 502, runs: 1},
		{name: "no answer within the route's timeout", path: "/short/x", fault: platformtest.Hang, status: 504, runs: 1},
		{name: "stream served", path: "/stream/x", headers: stream, status: 200, runs: 1, body: whole},
		{name: "stream cut does not look complete", path: "/stream/x", headers: stream, fault: platformtest.Cut,
			status: 200, runs: 1, broken: true},
		{name: "stream reset is unknown", path: "/stream/x", headers: stream, fault: platformtest.Reset, status: 502, runs: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t).run()
			for _, e := range b.engines {
				e.SetDefaultFault(c.fault)
			}
			got := b.do(b.request(http.MethodPost, c.path, "body", c.headers...))
			if got.status != c.status || (got.err != nil) != c.broken {
				t.Errorf("status %d, error %v; want %d, broken %v", got.status, got.err, c.status, c.broken)
			}
			if b.requestCount() != c.runs {
				t.Errorf("%d servers got the request, want %d", b.requestCount(), c.runs)
			}
			if c.body != "" && got.body != c.body {
				t.Errorf("body %q, want %q", got.body, c.body)
			}
			if c.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("refusal without Retry-After")
			}
			signed := got.header.Get(platformtest.HeaderSignature) != ""
			if wantSigned := c.status == 200 || c.status == 500; signed != wantSigned {
				t.Errorf("signature present: %v, want %v", signed, wantSigned)
			}
		})
	}
}

// Guards against a server's failure answer that is lost, or replaced by an answer
// of the router, when the second server refuses the request or breaks the
// connection.
func TestServersOwnFailureIsDelivered(t *testing.T) {
	for name, other := range map[string]platformtest.Fault{"refused": platformtest.Refuse, "reset": platformtest.Reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t).run()
			b.engines[0].SetDefaultFault(platformtest.Fail)
			b.engines[1].SetDefaultFault(other)
			// Either server may be tried first.
			for range 6 {
				got := b.do(b.request(http.MethodPost, "/safe/x", "body"))
				if got.status != http.StatusInternalServerError || got.body != "failed" || got.header.Get(platformtest.HeaderSignature) == "" {
					t.Errorf("status %d, body %q, signature %q; want the server's failure", got.status, got.body, got.header.Get(platformtest.HeaderSignature))
				}
			}
		})
	}
}

// Guards against an answer to HEAD that states the length of its empty body.
func TestAnswerToHeadKeepsItsLength(t *testing.T) {
	b := newTestBed(t).run()
	got := b.do(b.request(http.MethodHead, "/safe/x", ""))
	if got.status != http.StatusOK || got.header.Get("Content-Length") == "0" || got.header.Get("Content-Length") == "" {
		t.Errorf("status %d, Content-Length %q; want 200 and a length above 0", got.status, got.header.Get("Content-Length"))
	}
}

// Guards against lost, duplicated or partial events when an engine breaks off or
// goes silent and another one continues the stream.
func TestResumableStreamContinuesAtAnotherEngine(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{"cut": platformtest.Cut, "stalled": platformtest.Stall} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t).run()
			for _, e := range b.engines {
				e.SetNextFaults(fault)
			}
			first := b.do(b.request(http.MethodPost, "/resume/x", "body", platformtest.HeaderPrompt, prompt))
			// Each engine has the fault for its first request, so the second one fails too.
			if first.err == nil {
				t.Fatalf("both engines failed, but the answer looks complete: %q", first.body)
			}
			for _, e := range b.engines {
				e.SetNextFaults()
			}
			servingEngine := b.servingEngine()
			servingEngine.SetNextFaults(fault)
			got := b.do(b.request(http.MethodPost, "/resume/x", "body", platformtest.HeaderPrompt, "aa:800,bb:400,cc:1"))
			var want strings.Builder
			for i := 1; i <= platformtest.EventsPerStream; i++ {
				fmt.Fprintf(&want, "id: %d\ndata: word%d\n\n", i, i)
			}
			if got.err != nil || got.body != want.String() {
				t.Errorf("got %q, error %v; want all events once", got.body, got.err)
			}
			if got.header.Get(platformtest.HeaderSignature) != "seal-of-"+servingEngine.ID {
				t.Errorf("signature %q is not the first engine's", got.header.Get(platformtest.HeaderSignature))
			}
		})
	}
}

// Guards against a caller's own resumption that is lost on the way, also when the engine
// that continues its stream breaks off.
func TestCallerResumesAStream(t *testing.T) {
	b := newTestBed(t).run()
	whole := wholeStream()
	for name, fault := range map[string]platformtest.Fault{"served": platformtest.None, "broken off": platformtest.Cut} {
		for _, e := range b.engines {
			e.SetNextFaults()
		}
		b.servingEngine().SetNextFaults(fault)
		got := b.do(b.request(http.MethodPost, "/resume/x", "body", platformtest.HeaderPrompt, "aa:800,bb:400,ee:1", platformtest.HeaderLastEvent, "1"))
		if want := strings.TrimPrefix(whole, streamUpTo(1)); got.err != nil || got.body != want {
			t.Errorf("%s: %q, error %v; want the events after the first", name, got.body, got.err)
		}
	}
}

// servingEngine returns the engine that serves the prompt prefix of the resume test.
func (b *testBed) servingEngine() *platformtest.Engine {
	b.t.Helper()
	before := make([]int, len(b.engines))
	for i, e := range b.engines {
		before[i] = len(e.Requests())
	}
	b.do(b.request(http.MethodPost, "/resume/x", "body", platformtest.HeaderPrompt, "aa:800,bb:400,dd:1"))
	for i, e := range b.engines {
		if len(e.Requests()) > before[i] {
			return e
		}
	}
	b.t.Fatal("no engine got the request")
	return nil
}

// Guards against requests that are modified in the router, and against callers
// that set headers which only the system may set.
func TestRequestReachesServerUnchanged(t *testing.T) {
	b := newTestBed(t).run()
	const target = "/safe/a%2Fb/../c//d?q=1%20&empty="
	got := b.do(b.request(http.MethodPost, target, "the body",
		platformtest.HeaderWorkspace, "forged", platformtest.HeaderHold, "h", platformtest.HeaderContinueFrom, "1.2.3.4:1/x", platformtest.HeaderInstance, "i-9",
		"Connection", "X-Private", "X-Private", "1", "X-Custom", "kept", platformtest.HeaderPriority, "0"))
	if got.status != 200 {
		t.Fatalf("status %d, want 200: %s", got.status, got.body)
	}
	var seen platformtest.ReceivedRequest
	for _, e := range b.engines {
		for _, s := range e.Requests() {
			seen = s
		}
	}
	if seen.Target != target || seen.Host != "h.example" || seen.Body != "the body" {
		t.Errorf("the server got target %q, host %q and body %q", seen.Target, seen.Host, seen.Body)
	}
	if h := seen.Header; h.Get(platformtest.HeaderWorkspace) != "w1" || h.Get("X-Custom") != "kept" {
		t.Errorf("headers %v, want tenant w1 and the custom header", h)
	}
	for _, name := range []string{platformtest.HeaderAuthorization, platformtest.HeaderHold, platformtest.HeaderContinueFrom, "X-Private"} {
		if seen.Header.Get(name) != "" {
			t.Errorf("header %s was forwarded", name)
		}
	}
}

// Guards against requests that are accepted without a configuration or although
// the configuration does not allow them, and against readiness without a server.
func TestDenials(t *testing.T) {
	b := newTestBed(t)
	b.start()
	if got := b.do(b.request(http.MethodGet, "/safe/x", "")); got.status != 503 {
		t.Errorf("without a configuration: status %d, want 503", got.status)
	}
	b.publish(config(1))
	b.waitFor("the configuration is in force", func() bool {
		return b.do(b.request(http.MethodGet, "/nothing/x", "")).status == 404
	})
	if b.isReady() {
		t.Error("ready without a server")
	}
	b.register(platformtest.StateReady, b.engines...)
	b.waitFor("router is ready", b.isReady)
	for _, c := range []struct {
		name, target, key string
		status            int
	}{
		{"no route", "/nothing/x", platformtest.Key("k1"), 404},
		{"unknown key", "/safe/x", platformtest.Key("k2"), 401},
		{"no key", "/safe/x", "", 401},
		{"public route", "/open/x", "", 200},
	} {
		if got := b.do(b.request(http.MethodGet, c.target, "", platformtest.HeaderAuthorization, c.key)); got.status != c.status {
			t.Errorf("%s: status %d, want %d: %s", c.name, got.status, c.status, got.body)
		}
	}
	if got := b.do(b.request(http.MethodPost, "/safe/x", strings.Repeat("x", 2000))); got.status != 413 {
		t.Errorf("long body: status %d, want 413", got.status)
	}
}

// Guards against an engine that keeps working after the caller has disconnected.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	b := newTestBed(t).run()
	for _, e := range b.engines {
		e.SetDefaultFault(platformtest.Hang)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultTransport.RoundTrip(b.request(http.MethodPost, "/unsafe/x", "b").WithContext(ctx))
		done <- err
	}()
	b.waitFor("the server has the request", func() bool { return b.requestCount() == 1 })
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want context.Canceled", err)
	}
	b.waitFor("the server's run has ended", func() bool { return b.engines[0].Disconnects()+b.engines[1].Disconnects() == 1 })
}

// Guards against request smuggling: a request with both Content-Length and
// Transfer-Encoding whose body is taken for a second request.
func TestBothLengthsEndTheConnection(t *testing.T) {
	b := newTestBed(t).run()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.baseURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	smuggled := "GET /open/smuggled HTTP/1.1\r\nHost: h.example\r\n" + platformtest.HeaderRequestID + ": bad\r\n\r\n"
	_, err = fmt.Fprintf(conn, "POST /open/x HTTP/1.1\r\nHost: h.example\r\n%s: good\r\n"+
		"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", platformtest.HeaderRequestID, 5+len(smuggled), smuggled)
	if err != nil {
		t.Fatal(err)
	}
	// The router closes the connection after at most one answer.
	answers, _ := io.ReadAll(bufio.NewReader(conn))
	if n := strings.Count(string(answers), "HTTP/1.1 "); n > 1 {
		t.Errorf("%d answers on the connection, want at most 1", n)
	}
	for _, e := range b.engines {
		for _, s := range e.Requests() {
			if strings.Contains(s.Target, "smuggled") {
				t.Error("the smuggled request was run")
			}
		}
	}
}

// Guards against idle connections that fill the places of a server, and against a new
// connection for each request.
func TestIdleConnectionsToAServerAreBounded(t *testing.T) {
	const idlePerServer = 8
	b := newTestBedWith(t, 1).run()
	engine := b.engines[0]
	var callers sync.WaitGroup
	engine.SetDelay(200 * time.Millisecond)
	for range 2 * idlePerServer {
		callers.Go(func() { b.do(b.request(http.MethodPost, "/unsafe/x", "b")) })
	}
	b.waitFor("the requests run beside each other", func() bool { return engine.Connections() == 2*idlePerServer })
	callers.Wait()
	b.waitFor("the connections beyond the bound are closed", func() bool { return engine.Connections() == idlePerServer })
	engine.SetDelay(0)
	for range 3 {
		b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	}
	if n := engine.Connections(); n != idlePerServer {
		t.Errorf("%d connections after further requests, want the %d idle ones used again", n, idlePerServer)
	}
}
