package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/front"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// waitLimit bounds the waits for something that must happen.
const waitLimit = 20 * time.Second

// bed is a router with a store and two servers on loopback.
type bed struct {
	t       *testing.T
	store   *platformtest.Store
	engines []*platformtest.Engine
	front   *front.Front
	base    string
	ready   string
}

// hosts gives every bed an address of its own, since all routers take digests
// at the same port.
var hosts atomic.Int32

func newBed(t *testing.T) *bed { return newBedOf(t, 2) }

func newBedOf(t *testing.T, engines int) *bed {
	t.Helper()
	b := &bed{t: t, store: platformtest.NewStore()}
	t.Cleanup(b.store.Close)
	for i := range engines {
		e := platformtest.NewEngine(fmt.Sprintf("i-%d", i))
		t.Cleanup(e.Close)
		b.engines = append(b.engines, e)
	}
	return b
}

// freePort returns a port that was free a moment ago.
func freePort(t *testing.T, host string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (b *bed) start() {
	b.t.Helper()
	host := fmt.Sprintf("127.0.9.%d", hosts.Add(1))
	s := &settings.Front{
		VM: "front-1", DataCentre: "hall-a", Region: "south", FirstStart: true,
		ListenCallers: freePort(b.t, host), ListenReadiness: freePort(b.t, host),
		ListenMetrics: freePort(b.t, host), ListenPeers: freePort(b.t, host),
		StoreAddress: netip.MustParseAddrPort(b.store.Addr()),
		MemoryMB:     200, Cores: 1,
		Bounds: settings.FrontBounds{
			Stop: 8 * time.Second, LoadMultiple: 2, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 480,
		},
	}
	f, err := front.New(s, platform.Connect(b.store.Addr()), hclog.NewNullLogger())
	if err != nil {
		b.t.Fatal(err)
	}
	if err := f.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.front = f
	b.base = "http://" + s.ListenCallers.String()
	b.ready = "http://" + s.ListenReadiness.String() + platform.ReadyPath
	b.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := f.Stop(ctx); err != nil {
			b.t.Errorf("stop: %v", err)
		}
	})
}

// config is the configuration of the tests: one route of each kind.
func config(version int) map[string]any {
	route := func(name, kind string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": kind, "upstream": "pool",
			"timeoutMs": 3000, "latencyTargetMs": 400, "gapTargetMs": 300, "maxAttempts": 1,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("safe", "safe", map[string]any{"maxAttempts": 2}),
			route("unsafe", "unsafe", nil),
			route("stream", "stream", nil),
			route("resume", "stream", map[string]any{"resumable": true, "maxAttempts": 2}),
			route("open", "safe", map[string]any{"public": true}),
			route("short", "unsafe", map[string]any{"timeoutMs": 300}),
		},
		"upstreams": []any{map[string]any{"name": "pool", "maxConns": 100}},
		"limits":    map[string]any{"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
		"tenants":   []any{map[string]any{"name": "w1", "apiKeys": []string{"k1"}}},
	}
}

func (b *bed) publish(c map[string]any) {
	b.t.Helper()
	value, err := json.Marshal(c)
	if err != nil {
		b.t.Fatal(err)
	}
	b.store.Put(platform.TopicConfig, platform.ConfigKey, value)
}

func (b *bed) register(state string, engines ...*platformtest.Engine) {
	for _, e := range engines {
		b.store.Put(platform.TopicServers, e.ID, e.Entry("pool", state))
	}
}

// run publishes the usual configuration and both servers, and starts a router
// that knows them.
func (b *bed) run() *bed {
	b.t.Helper()
	b.publish(config(1))
	b.register("ready", b.engines...)
	b.start()
	b.until("router is ready", b.isReady)
	return b
}

func (b *bed) isReady() bool {
	resp, err := http.Get(b.ready)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *bed) until(what string, f func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !f() {
		if time.Now().After(deadline) {
			b.t.Fatalf("not reached: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set when the answer broke off.
	err error
}

var requests atomic.Int64

func (b *bed) request(method, target, body string, headers ...string) *http.Request {
	b.t.Helper()
	r, err := http.NewRequest(method, b.base+target, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("r%d", requests.Add(1)))
	r.Header.Set("X-Deadline-Ms", "5000")
	r.Header.Set("Authorization", "Token k1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func (b *bed) do(r *http.Request) reply {
	b.t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func (b *bed) seen() int {
	n := 0
	for _, e := range b.engines {
		n += len(e.Seen())
	}
	return n
}

const prompt = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"

// Guards against each way in which a failed attempt could be answered wrongly:
// a promise that is not true, a second run, an answer that is not the server's.
func TestOutcomeOfFaults(t *testing.T) {
	stream := []string{"X-Prompt-Prefix", prompt, "X-Model", "m"}
	whole := ""
	for i := 1; i <= platformtest.Events; i++ {
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
		{name: "503 without the statement is unknown", path: "/unsafe/x", fault: platformtest.Busy, status: 502, runs: 1},
		{name: "answer of another request", path: "/unsafe/x", fault: platformtest.WrongID, status: 502, runs: 1},
		{name: "answer without a signature", path: "/unsafe/x", fault: platformtest.Unsealed, status: 502, runs: 1},
		{name: "answer too short", path: "/unsafe/x", fault: platformtest.Short, status: 502, runs: 1},
		{name: "no answer within the route's time", path: "/short/x", fault: platformtest.Hang, status: 504, runs: 1},
		{name: "stream served", path: "/stream/x", headers: stream, status: 200, runs: 1, body: whole},
		{name: "stream cut does not look complete", path: "/stream/x", headers: stream, fault: platformtest.Cut,
			status: 200, runs: 1, broken: true},
		{name: "stream reset is unknown", path: "/stream/x", headers: stream, fault: platformtest.Reset, status: 502, runs: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t).run()
			for _, e := range b.engines {
				e.Always(c.fault)
			}
			got := b.do(b.request(http.MethodPost, c.path, "body", c.headers...))
			if got.status != c.status || (got.err != nil) != c.broken {
				t.Errorf("status %d, error %v; want %d, broken %v", got.status, got.err, c.status, c.broken)
			}
			if b.seen() != c.runs {
				t.Errorf("%d servers got the request, want %d", b.seen(), c.runs)
			}
			if c.body != "" && got.body != c.body {
				t.Errorf("body %q, want %q", got.body, c.body)
			}
			if c.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("refusal without Retry-After")
			}
			sealed := got.header.Get("X-Seal") != ""
			if wantSeal := c.status == 200 || c.status == 500; sealed != wantSeal {
				t.Errorf("signature present: %v, want %v", sealed, wantSeal)
			}
		})
	}
}

// Guards against events that are lost, doubled or joined halfway when an engine
// breaks off or goes silent and another one continues the stream.
func TestResumableStreamContinuesAtAnotherEngine(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{"cut": platformtest.Cut, "stalled": platformtest.Stall} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t).run()
			for _, e := range b.engines {
				e.Next(fault)
			}
			first := b.do(b.request(http.MethodPost, "/resume/x", "body", "X-Prompt-Prefix", prompt))
			// The second engine has a fault of its own for its first request.
			if first.err == nil {
				t.Fatalf("both engines failed, but the answer looks complete: %q", first.body)
			}
			for _, e := range b.engines {
				e.Next()
			}
			home := b.home()
			home.Next(fault)
			got := b.do(b.request(http.MethodPost, "/resume/x", "body", "X-Prompt-Prefix", "aa:800,bb:400,cc:1"))
			var want strings.Builder
			for i := 1; i <= platformtest.Events; i++ {
				fmt.Fprintf(&want, "id: %d\ndata: word%d\n\n", i, i)
			}
			if got.err != nil || got.body != want.String() {
				t.Errorf("got %q, error %v", got.body, got.err)
			}
			if got.header.Get("X-Seal") != "seal-of-"+home.ID {
				t.Errorf("signature %q is not the first engine's", got.header.Get("X-Seal"))
			}
		})
	}
}

// home returns the engine that serves the subject of the resume test.
func (b *bed) home() *platformtest.Engine {
	b.t.Helper()
	before := make([]int, len(b.engines))
	for i, e := range b.engines {
		before[i] = len(e.Seen())
	}
	b.do(b.request(http.MethodPost, "/resume/x", "body", "X-Prompt-Prefix", "aa:800,bb:400,dd:1"))
	for i, e := range b.engines {
		if len(e.Seen()) > before[i] {
			return e
		}
	}
	b.t.Fatal("no engine was asked")
	return nil
}

// Guards against requests that are changed on their way, and against callers
// who set headers that only the system may set.
func TestRequestReachesServerUnchanged(t *testing.T) {
	b := newBed(t).run()
	const target = "/safe/a%2Fb/../c//d?q=1%20&empty="
	got := b.do(b.request(http.MethodPost, target, "the body",
		"X-Tenant", "forged", "X-Hold", "h", "Kv-From", "1.2.3.4:1/x", "X-Expect-Instance", "i-9",
		"Connection", "X-Private", "X-Private", "1", "X-Custom", "kept", "X-Request-Priority", "0"))
	if got.status != 200 {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
	var seen platformtest.Seen
	for _, e := range b.engines {
		for _, s := range e.Seen() {
			seen = s
		}
	}
	if seen.Target != target || seen.Host != "h.example" || seen.Body != "the body" {
		t.Errorf("server got %q on %q with %q", seen.Target, seen.Host, seen.Body)
	}
	if h := seen.Header; h.Get("X-Tenant") != "w1" || h.Get("X-Custom") != "kept" {
		t.Errorf("headers %v", h)
	}
	for _, name := range []string{"Authorization", "X-Hold", "Kv-From", "X-Private"} {
		if seen.Header.Get(name) != "" {
			t.Errorf("header %s was passed on", name)
		}
	}
}

// Guards against a wrong refusal while the configuration is unknown, and
// against requests that the configuration does not allow.
func TestDenials(t *testing.T) {
	b := newBed(t)
	b.start()
	if got := b.do(b.request(http.MethodGet, "/safe/x", "")); got.status != 503 {
		t.Errorf("without a configuration: status %d, want 503", got.status)
	}
	b.publish(config(1))
	b.until("the configuration is in force", func() bool {
		return b.do(b.request(http.MethodGet, "/nothing/x", "")).status == 404
	})
	if b.isReady() {
		t.Error("ready without a server")
	}
	b.register("ready", b.engines...)
	b.until("router is ready", b.isReady)
	for _, c := range []struct {
		name, target, key string
		status            int
	}{
		{"no route", "/nothing/x", "Token k1", 404},
		{"unknown key", "/safe/x", "Token k2", 401},
		{"no key", "/safe/x", "", 401},
		{"public route", "/open/x", "", 200},
	} {
		if got := b.do(b.request(http.MethodGet, c.target, "", "Authorization", c.key)); got.status != c.status {
			t.Errorf("%s: status %d, want %d: %s", c.name, got.status, c.status, got.body)
		}
	}
	if got := b.do(b.request(http.MethodPost, "/safe/x", strings.Repeat("x", 2000))); got.status != 413 {
		t.Errorf("long body: status %d, want 413", got.status)
	}
}

// Guards against a configuration that takes effect late, goes back to an older
// version, or is lost while the store is away.
func TestConfigurationIsMonotonic(t *testing.T) {
	b := newBed(t).run()
	newer := config(7)
	newer["tenants"] = []any{map[string]any{"name": "w1", "apiKeys": []string{"k7"}}}
	b.publish(newer)
	status := func() int { return b.do(b.request(http.MethodGet, "/safe/x", "")).status }
	b.until("the old key is refused", func() bool { return status() == 401 })
	b.publish(config(3))
	b.store.Forget(platform.TopicConfig)
	b.store.Fail(503)
	for range 20 {
		if got := status(); got != 401 {
			t.Fatalf("an older version came back: status %d", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !b.isReady() {
		t.Error("not ready while the store is away")
	}
}

// Guards against new requests to a server that is leaving or gone, and against
// a broken entry that hides the others.
func TestServersThatLeaveGetNothing(t *testing.T) {
	b := newBed(t).run()
	leaving, staying := b.engines[0], b.engines[1]
	b.store.Put(platform.TopicServers, "i-broken", []byte(`{"addr":7}`))
	b.register("draining", leaving)
	b.until("no request reaches the leaving server", func() bool {
		before := len(leaving.Seen())
		for range 10 {
			b.do(b.request(http.MethodGet, "/safe/x", ""))
		}
		return len(leaving.Seen()) == before
	})
	if len(staying.Seen()) == 0 {
		t.Error("the other server got nothing")
	}
	b.store.Put(platform.TopicServers, staying.ID, nil)
	b.until("no server is left", func() bool {
		return b.do(b.request(http.MethodGet, "/safe/x", "")).status == 503
	})
}

// Guards against a refusal after the first few choices are all down, although
// another server is well.
func TestDeadServersArePassedOver(t *testing.T) {
	b := newBedOf(t, 7).run()
	for _, e := range b.engines[1:] {
		e.Close()
	}
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		if got := b.do(b.request(http.MethodPost, path, "body")); got.status != 200 {
			t.Errorf("%s: status %d: %s", path, got.status, got.body)
		}
	}
}

// Guards against an engine that goes on working after its caller has left.
func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	b := newBed(t).run()
	for _, e := range b.engines {
		e.Always(platformtest.Hang)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultTransport.RoundTrip(b.request(http.MethodPost, "/unsafe/x", "b").WithContext(ctx))
		done <- err
	}()
	b.until("the server has the request", func() bool { return b.seen() == 1 })
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v", err)
	}
	b.until("the server's run has ended", func() bool { return b.engines[0].Left()+b.engines[1].Left() == 1 })
}

// Guards against a body behind another request that is taken for a request of
// its own when both lengths are given.
func TestBothLengthsEndTheConnection(t *testing.T) {
	b := newBed(t).run()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	smuggled := "GET /open/smuggled HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: bad\r\n\r\n"
	_, err = fmt.Fprintf(conn, "POST /open/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: good\r\n"+
		"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", 5+len(smuggled), smuggled)
	if err != nil {
		t.Fatal(err)
	}
	// The connection ends after at most one answer.
	answers, _ := io.ReadAll(bufio.NewReader(conn))
	if n := strings.Count(string(answers), "HTTP/1.1 "); n > 1 {
		t.Errorf("%d answers on the connection", n)
	}
	for _, e := range b.engines {
		for _, s := range e.Seen() {
			if strings.Contains(s.Target, "smuggled") {
				t.Error("the hidden request was run")
			}
		}
	}
}

// Guards against a stop that cuts requests in progress or keeps callers.
func TestStopFinishesWhatRuns(t *testing.T) {
	b := newBed(t).run()
	client := &http.Client{Transport: &http.Transport{}}
	first, err := client.Do(b.request(http.MethodGet, "/safe/x", ""))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, first.Body)
	stopped := make(chan error, 1)
	go func() { stopped <- b.front.Stop(context.Background()) }()
	b.until("router is not ready", func() bool { return !b.isReady() })
	resp, err := client.Do(b.request(http.MethodGet, "/safe/x", ""))
	if err != nil {
		t.Fatalf("a request right after the signal: %v", err)
	}
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, close announced %v", resp.StatusCode, resp.Close)
	}
	resp.Body.Close()
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// Guards against a request that is accepted in the last moment of a stop, reaches
// a server, and is cut: its caller can't know what became of it (seen by the
// soak, seed 20261203).
func TestStopUnderLoadCutsNothing(t *testing.T) {
	b := newBed(t).run()
	var mu sync.Mutex
	lost := map[string]error{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := b.request(http.MethodPost, "/unsafe/x", "body")
				if got := b.do(r); got.err != nil {
					mu.Lock()
					lost[r.Header.Get("X-Request-Id")] = got.err
					mu.Unlock()
				}
			}
		})
	}
	if err := b.front.Stop(context.Background()); err != nil {
		t.Errorf("stop: %v", err)
	}
	close(stop)
	callers.Wait()
	for _, e := range b.engines {
		for _, seen := range e.Seen() {
			if err := lost[seen.ID]; err != nil {
				t.Errorf("request %s ran and was cut: %v", seen.ID, err)
			}
		}
	}
}
