package forward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/httpsend"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/testnet"
	"github.com/bluebellwell/bluebellwell/internal/testport"
)

// bedWait bounds each wait for what a router or a server does.
const bedWait = 20 * time.Second

// deadlineOfTests is the deadline of requests that are to reach their server before it.
const deadlineOfTests = 500 * time.Millisecond

// bedCodec has a plain header for each value.
type bedCodec struct{}

func (bedCodec) RequestHeaders(h http.Header) RequestHeaders {
	deadline, _ := time.ParseDuration(h.Get("Deadline"))
	headers := RequestHeaders{
		ID: h.Get("Id"), Key: h.Get("Key"), Deadline: deadline, Model: h.Get("Model"), Resumes: h.Get("Resumes"), LastEventID: h.Get("After"),
	}
	headers.OutputHint, _ = strconv.Atoi(h.Get("Hint"))
	for part := range strings.SplitSeq(h.Get("Prompt"), ",") {
		id, tokens, ok := strings.Cut(part, ":")
		if !ok {
			continue
		}
		p := Part{}
		p.ID, _ = strconv.ParseUint(id, 10, 64)
		p.Tokens, _ = strconv.Atoi(tokens)
		headers.Prompt = append(headers.Prompt, p)
	}
	return headers
}

func (bedCodec) StripRequest(h http.Header) { h.Del("Key"); h.Del("Instance"); h.Del("System-Only") }

func (bedCodec) SetAttemptHeaders(h http.Header, a AttemptHeaders) {
	h.Set("Instance", a.Instance)
	h.Set("Workspace", a.Workspace)
	h.Set("Remaining", a.Remaining.String())
	h.Set("Priority", strconv.Itoa(a.Priority))
	h.Set("Fetch-From", a.FetchFrom)
	if a.LastEventID != "" {
		h.Set("After", a.LastEventID)
	}
	h.Set("Backup", a.Backup)
	if a.ResumeFrom != (MemoryRef{}) {
		h.Set("Continue-From", a.ResumeFrom.Addr+" "+a.ResumeFrom.ID)
	}
}

func (bedCodec) ResponseHeaders(h http.Header) ResponseHeaders {
	a := ResponseHeaders{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Signed: h.Get("Signed") != ""}
	_, err := fmt.Sscanf(h.Get("Load"), "%d,%d,%d", &a.Load.Running, &a.Load.Waiting, &a.Load.Slots)
	a.HasLoad = err == nil
	a.Load.Slowdown, _ = strconv.ParseFloat(h.Get("Slowdown"), 64)
	_, err = fmt.Sscan(h.Get("Limit"), &a.Limit)
	a.HasLimit = err == nil
	a.Leaving = h.Get("Leaving") != ""
	a.Brittle, _ = strconv.ParseFloat(h.Get("Brittle"), 64)
	a.RetryAfter, _ = time.ParseDuration(h.Get("Retry-After"))
	a.ColdLeft, _ = time.ParseDuration(h.Get("Cold"))
	return a
}

func (bedCodec) StripResponse(h http.Header) { h.Del("Load"); h.Del("Limit"); h.Del("Slowdown") }

// bedOptions describes a bed. The zero value of a field means an ordinary one.
type bedOptions struct {
	route routing.Route
	// servers is the number of servers, down that of further ones that refuse connections.
	servers, down int
	// more are further servers.
	more       []*registry.Server
	workspace  routing.Workspace
	config     routing.Limits
	retry      *retrybudget.Limits
	dataCentre string
	bodyMemory int64
	delayShare bool
	pools      []routing.Pool
	// virtual connects all parts in memory, for a test in virtual time.
	virtual bool
	// dialTimeout keeps the router's own bound on opening a connection. Without it a busy machine makes no server unreachable.
	dialTimeout bool
}

// bed is a router before servers that give prepared answers.
type bed struct {
	t       *testing.T
	state   *State
	handler *Handler
	edge    *edge.Server
	servers []*registry.Server
	// addr is where callers reach the router, by callers.
	addr    string
	callers *http.Transport
	// network connects a bed in virtual time, and listeners is the number of its addresses in use.
	network   *testnet.Network
	listeners int

	// started are the running servers.
	started []startedServer

	mu      sync.Mutex
	answers []answer
	// arrivals are the requests that the servers got.
	arrivals []arrival
	// open counts the open connections to the servers, and opened all of them.
	open, opened int
	lines        bytes.Buffer
}

// startedServer is a running server.
type startedServer struct {
	id     string
	server *httptest.Server
}

// arrival is a request at a server.
type arrival struct {
	server string
	r      *http.Request
	body   string
}

// answer gives one answer. The last one of a bed is given to all further requests.
type answer func(w http.ResponseWriter, r *http.Request)

// bedLog is the log of a bed.
type bedLog struct{ *bed }

func (l bedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(p)
}

func newBed(t *testing.T, o bedOptions, answers ...answer) *bed {
	t.Helper()
	b := &bed{t: t, answers: answers, network: testnet.New()}
	limits := Limits{
		BodyMemory: 1 << 20, Balance: balance.Limits{CapFactor: 100, CapExtra: 1000}, DataCentre: o.dataCentre,
		Retry: retrybudget.Limits{Ratio: 10, Window: 10 * time.Second, Extra: 1e9},
	}
	if o.retry != nil {
		limits.Retry = *o.retry
	}
	if o.bodyMemory > 0 {
		limits.BodyMemory = o.bodyMemory
	}
	limits.DelayShare = o.delayShare
	b.state = NewState(limits)
	serve := b.serve
	switch {
	case o.virtual:
		serve = b.serveVirtually
		b.state.SetDial(b.network.Dial)
	case !o.dialTimeout:
		b.state.SetDial((&net.Dialer{Timeout: bedWait, Control: setSendTimeout, KeepAliveConfig: httpsend.ShortKeepAlive()}).DialContext)
	}
	for i := range max(o.servers, 1) {
		b.servers = append(b.servers, serve(fmt.Sprintf("s%d", i)))
	}
	for i := range o.down {
		b.servers = append(b.servers, &registry.Server{ID: fmt.Sprintf("down%d", i), Pool: "p", Addr: closedAddr(t), Slots: 64})
	}
	b.servers = append(b.servers, o.more...)
	b.state.SetServers(b.servers)
	b.state.SetTable(routing.Compile(bedConfig(o)))
	events := event.NewLogger(hclog.New(&hclog.LoggerOptions{Output: bedLog{b}, JSONFormat: true, Level: hclog.Trace}))
	b.handler = New(b.state, bedCodec{}, events, NewMetrics(tally.NoopScope))
	if o.virtual {
		b.startVirtually()
		return b
	}
	s, err := edge.Listen(testport.Host()+":0", b.handler, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	b.edge, b.addr, b.callers = s, s.Addr(), bedCallers
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		if err := errors.Join(s.Close(), <-done); err != nil {
			t.Error(err)
		}
	})
	return b
}

func bedConfig(o bedOptions) routing.Config {
	route := o.route
	route.Name, route.Host = "r", "h"
	if route.Prefix == "" {
		route.Prefix = "/"
	}
	if route.MaxAttempts == 0 {
		route.MaxAttempts = 1
	}
	if route.Timeout == 0 {
		route.Timeout = bedWait
	}
	if route.Objective == 0 {
		route.Objective = bedWait
	}
	if route.GapObjective == 0 {
		route.GapObjective = bedWait
	}
	if len(route.Targets) == 0 {
		route.Targets = []routing.Target{{Pool: "p", Weight: 1}}
	}
	if o.workspace.Name == "" {
		o.workspace.Name = "w"
	}
	return routing.Config{Routes: []routing.Route{route}, Workspaces: []routing.Keyring{{Workspace: o.workspace, Keys: []string{"k1"}}}, Limits: o.config, Pools: o.pools}
}

// closedAddr returns an address that refuses connections. Its port stays taken, so that no
// server of another test gets it.
func closedAddr(t *testing.T) string {
	t.Helper()
	_, addr := boundSocket(t)
	return addr
}

// boundSocket returns a socket with a port on which it does not listen.
func boundSocket(t *testing.T) (fd int, addr string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	host := netip.MustParseAddr(testport.ServerHost())
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: host.As4()}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, fmt.Sprintf("%s:%d", host, name.(*syscall.SockaddrInet4).Port)
}

// server returns the handler of a server, which gives the answers of the bed.
func (b *bed) server(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		b.mu.Lock()
		n := min(len(b.arrivals), len(b.answers)-1)
		b.arrivals = append(b.arrivals, arrival{server: id, r: r, body: string(body)})
		give := b.answers[n]
		b.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "by "+id)
		give(w, r)
	}
}

// serve starts a server.
func (b *bed) serve(id string) *registry.Server {
	s := testport.NewUnstartedServer(b.server(id))
	s.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		b.mu.Lock()
		defer b.mu.Unlock()
		switch state {
		case http.StateNew:
			b.open++
			b.opened++
		case http.StateClosed, http.StateHijacked:
			b.open--
		}
	}
	s.Start()
	b.started = append(b.started, startedServer{id: id, server: s})
	b.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return &registry.Server{ID: id, Pool: "p", Addr: s.Listener.Addr().String(), Slots: 64}
}

// got returns the requests that the servers have got.
func (b *bed) got() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

// until waits for a condition.
func (b *bed) until(what string, condition func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(bedWait); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatalf("%s: not so in %v", what, bedWait)
		}
	}
}

// untilOpen waits until the servers have a number of connections at most.
func (b *bed) untilOpen(most int) {
	b.t.Helper()
	b.until(fmt.Sprintf("at most %d open connections", most), func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open <= most
	})
}

// logged waits until the router has ended all requests, and returns the log line of the last.
func (b *bed) logged() map[string]any {
	b.t.Helper()
	b.until("no request in progress", func() bool { return b.handler.Running() == 0 })
	b.mu.Lock()
	defer b.mu.Unlock()
	var last map[string]any
	for line := range strings.SplitSeq(strings.TrimSpace(b.lines.String()), "\n") {
		fields := map[string]any{}
		if json.Unmarshal([]byte(line), &fields) == nil && fields["outcome"] != nil {
			last = fields
		}
	}
	return last
}

// expectLog checks values of the log line of the last request.
func (b *bed) expectLog(want map[string]any) {
	b.t.Helper()
	got := b.logged()
	for name, value := range want {
		if fmt.Sprint(got[name]) != fmt.Sprint(value) {
			b.t.Errorf("the log has %s=%v, want %v", name, got[name], value)
		}
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	length int64
	body   string
	err    error
}

// ask is a request of a caller; the zero value is a POST without a body.
type ask struct {
	ctx          context.Context
	method, path string
	header       http.Header
	body         string
}

var bedCallers = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends a request and reads the whole answer.
func (b *bed) send(a ask) reply {
	resp, err := b.begin(a)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, body: string(body), err: err}
}

// begin sends a request and reads the headers of the answer.
func (b *bed) begin(a ask) (*http.Response, error) {
	if a.ctx == nil {
		ctx, cancel := context.WithTimeout(context.Background(), 2*bedWait)
		b.t.Cleanup(cancel)
		a.ctx = ctx
	}
	if a.method == "" {
		a.method = http.MethodPost
	}
	if a.path == "" {
		a.path = "/x"
	}
	r, err := http.NewRequestWithContext(a.ctx, a.method, "http://"+b.addr+a.path, strings.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k1")
	for name, values := range a.header {
		r.Header[name] = values
	}
	return b.callers.RoundTrip(r)
}

// wire sends the bytes of a request on a connection of its own, and returns all that comes
// back until the end of the connection.
func (b *bed) wire(request string) (string, error) {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.edge.Addr())
	if err != nil {
		b.t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(bedWait))
	if _, err := io.WriteString(conn, request); err != nil {
		b.t.Fatal(err)
	}
	text, err := io.ReadAll(bufio.NewReader(conn))
	return string(text), err
}

// ok answers with a success.
func ok(body string) answer { return status(http.StatusOK, body) }

// status answers with a status, and headers as pairs of names and values.
func status(code int, body string, headers ...string) answer {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		if headerless := w.Header().Get("Signed") == "no"; headerless {
			w.Header().Del("Signed")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

// notRun states that the request has not run.
func notRun() answer { return status(http.StatusServiceUnavailable, "busy", "Not-Run", "yes") }

// hang gives no answer until the router ends the exchange.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// raw sends bytes and ends the connection. %ID% stands for the ID of the request.
func raw(wire string) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, strings.ReplaceAll(wire, "%ID%", r.Header.Get("Id")))
	}
}
