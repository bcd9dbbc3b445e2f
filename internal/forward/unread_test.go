package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/testport"
)

const (
	// unreadWait bounds each wait for an answer, or for the end of a connection.
	unreadWait = 20 * time.Second
	// unreadBodyLimit is the largest body that the configuration of the tests allows, in bytes.
	unreadBodyLimit = 1000
)

// keyCodec decodes the API key only.
type keyCodec struct{ Codec }

func (keyCodec) RequestHeaders(h http.Header) RequestHeaders {
	return RequestHeaders{Key: h.Get("Key")}
}

// earlyAnswer is a request that is answered before its body has been read.
type earlyAnswer struct {
	name, path, key string
	status          int
	// length is the size of the body in bytes; 0 means chunks of 100 bytes, of which the
	// caller sends 1,100 bytes before it stops.
	length     int
	unset      bool
	bodyMemory int64
	stopping   bool
}

var earlyAnswers = []earlyAnswer{
	{name: "no route", path: "/nothing/x", key: "k1", status: 404, length: 900},
	{name: "no route, chunks", path: "/nothing/x", key: "k1", status: 404},
	{name: "unknown key", path: "/stream/x", key: "k2", status: 401, length: 900},
	{name: "too large by its length", path: "/stream/x", key: "k1", status: 413, length: 2 * unreadBodyLimit},
	{name: "too large by its chunks", path: "/stream/x", key: "k1", status: 413},
	{name: "no configuration", path: "/stream/x", key: "k1", status: 503, length: 900, unset: true},
	{name: "no memory", path: "/stream/x", key: "k1", status: 503, length: 900, bodyMemory: 10},
	{name: "stopping", path: "/stream/x", key: "k1", status: 503, length: 900, stopping: true},
}

// serve starts a router that gives the answer.
func (e earlyAnswer) serve(t *testing.T) (*Handler, *edge.Server) {
	t.Helper()
	memory := int64(1 << 20)
	if e.bodyMemory > 0 {
		memory = e.bodyMemory
	}
	state := NewState(Limits{BodyMemory: memory})
	if !e.unset {
		state.SetTable(routing.Compile(routing.Config{
			Routes:     []routing.Route{{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Stream, Timeout: 300 * time.Millisecond}},
			Workspaces: []routing.Keyring{{Workspace: routing.Workspace{Name: "w"}, Keys: []string{"k1"}}},
			Limits:     routing.Limits{BodyBytes: unreadBodyLimit},
		}))
	}
	h := New(state, keyCodec{}, event.NewLogger(hclog.NewNullLogger()), NewMetrics(tally.NoopScope))
	if e.stopping {
		now := time.Now()
		h.Stop(now.Add(-acceptAllPeriod), now.Add(time.Hour))
	}
	s, err := edge.Listen(testport.Host()+":0", h, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		if err := errors.Join(s.Close(), <-done); err != nil {
			t.Error(err)
		}
	})
	return h, s
}

// head returns the request line and the headers, followed by the given ones.
func (e earlyAnswer) head(headers ...string) string {
	framing := fmt.Sprintf("Content-Length: %d", e.length)
	if e.length == 0 {
		framing = "Transfer-Encoding: chunked"
	}
	headers = append([]string{"POST " + e.path + " HTTP/1.1", "Host: h", "Key: " + e.key, framing}, headers...)
	return strings.Join(headers, "\r\n") + "\r\n\r\n"
}

// start returns the part of the body that a caller sends before it stops.
func (e earlyAnswer) start() string {
	if e.length == 0 {
		return strings.Repeat(e.piece(100), 11)
	}
	return strings.Repeat("x", 10)
}

// piece returns the next n bytes of the body.
func (e earlyAnswer) piece(n int) string {
	if e.length == 0 {
		return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	return strings.Repeat("x", n)
}

// body returns the whole body.
func (e earlyAnswer) body() string {
	if e.length == 0 {
		return e.start() + "0\r\n\r\n"
	}
	return strings.Repeat("x", e.length)
}

// unreadCaller is a caller's connection.
type unreadCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialUnread(t *testing.T, s *edge.Server) *unreadCaller {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(unreadWait))
	return &unreadCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *unreadCaller) send(wire string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, wire); err != nil {
		c.t.Fatalf("the request cannot be sent: %v", err)
	}
}

// readAnswer reads a whole answer and checks its status.
func (c *unreadCaller) readAnswer(status int) *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || len(body) == 0 {
		c.t.Fatalf("status %d, body %q, error %v; want %d and the whole body", resp.StatusCode, body, err, status)
	}
	return resp
}

// expectEnd checks that the router ends the connection, and returns how.
func (c *unreadCaller) expectEnd() error {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	if len(rest) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("%q after the answer, error %v; want the end of the connection", rest, err)
	}
	return err
}

// expectLastAnswer reads a whole answer that announces the end of the connection, and
// checks that the router ends it in order.
func (c *unreadCaller) expectLastAnswer(status int) {
	c.t.Helper()
	if resp := c.readAnswer(status); !resp.Close {
		c.t.Error("the end of the connection is not announced")
	}
	if err := c.expectEnd(); err != nil {
		c.t.Errorf("the connection ended with %v, want an end in order", err)
	}
}

// expectNoRequest checks that the router's goroutines of all requests end.
func expectNoRequest(t *testing.T, h *Handler, s *edge.Server) {
	t.Helper()
	for deadline := time.Now().Add(unreadWait); h.Running() != 0 || s.OpenConnections() != 0; {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests and %d connections are left, want none", h.Running(), s.OpenConnections())
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a caller that stops in its body, gets no answer and holds its connection
// and a request of the router without end.
func TestCallerThatStopsInItsBodyIsAnswered(t *testing.T) {
	for _, e := range earlyAnswers {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			h, s := e.serve(t)
			c := dialUnread(t, s)
			c.send(e.head() + e.start())
			c.expectLastAnswer(e.status)
			expectNoRequest(t, h, s)
		})
	}
}

// Guards against a caller that sends its body slowly and so delays its answer, or holds its
// connection and a request of the router.
func TestCallerThatDripsItsBodyIsAnswered(t *testing.T) {
	for _, e := range earlyAnswers {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			h, s := e.serve(t)
			c := dialUnread(t, s)
			c.send(e.head() + e.start())
			dripped := make(chan struct{})
			go func() {
				defer close(dripped)
				// The body has hundreds of bytes left and would take many seconds.
				for range 800 {
					if _, err := io.WriteString(c.conn, e.piece(1)); err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Error("the router read the body to its end")
			}()
			if resp := c.readAnswer(e.status); !resp.Close {
				t.Error("the end of the connection is not announced")
			}
			_ = c.expectEnd()
			expectNoRequest(t, h, s)
			<-dripped
		})
	}
}

// Guards against an answer that costs a caller its connection although the whole body has
// arrived, and against a body whose bytes are taken for the next request.
func TestCallerWithACompleteBodyKeepsItsConnection(t *testing.T) {
	for _, e := range earlyAnswers {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			h, s := e.serve(t)
			c := dialUnread(t, s)
			// A router that stops asks callers to connect to another one; what follows a
			// chunked request on its connection is not trusted.
			keeps := !e.stopping && e.length > 0
			for range 3 {
				c.send(e.head() + e.body())
				if resp := c.readAnswer(e.status); resp.Close == keeps {
					t.Fatalf("the end of the connection is announced: %v, want %v", resp.Close, !keeps)
				}
				if !keeps {
					if err := c.expectEnd(); err != nil {
						t.Errorf("the connection ended with %v, want an end in order", err)
					}
					break
				}
			}
			_ = c.conn.Close()
			expectNoRequest(t, h, s)
		})
	}
}

// Guards against an answer that is destroyed by the reset of a connection with unread bytes:
// the caller sends a large body to its end before it reads.
func TestCallerThatReadsAfterItsBodyIsAnswered(t *testing.T) {
	for _, e := range earlyAnswers {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			h, s := e.serve(t)
			c := dialUnread(t, s)
			body := strings.Repeat(e.piece(100), 80_000) + "0\r\n\r\n"
			if e.length > 0 {
				e.length = 8_000_000
				body = strings.Repeat("x", e.length)
			}
			if e.status == 503 && !e.unset && !e.stopping {
				// The length itself is too large here.
				e.status = 413
			}
			c.send(e.head() + body)
			c.readAnswer(e.status)
			_ = c.conn.Close()
			expectNoRequest(t, h, s)
		})
	}
}

// Guards against a caller that is invited to send a body which the router does not read.
func TestCallerThatExpectsContinueIsDeniedWithoutIt(t *testing.T) {
	e := earlyAnswers[0]
	h, s := e.serve(t)
	c := dialUnread(t, s)
	c.send(e.head("Expect: 100-continue"))
	c.expectLastAnswer(e.status)
	expectNoRequest(t, h, s)
}

// Guards against a body that is incomplete at the deadline, or broken, and holds its
// connection and a request of the router.
func TestCallerWithoutACompleteBodyAtItsDeadlineIsAnswered(t *testing.T) {
	for name, x := range map[string]struct {
		wire   string
		status int
	}{
		"stops by length":                {earlyAnswer{path: "/stream/x", key: "k1", length: 900}.head() + "xxx", http.StatusRequestTimeout},
		"stops in chunks":                {earlyAnswer{path: "/stream/x", key: "k1"}.head() + "4\r\nxxxx\r\n4\r\nx", http.StatusRequestTimeout},
		"stops in the size of a chunk":   {earlyAnswer{path: "/stream/x", key: "k1"}.head() + "4\r\nxxxx\r\n4", http.StatusRequestTimeout},
		"stops before the last line end": {earlyAnswer{path: "/stream/x", key: "k1"}.head() + "4\r\nxxxx\r\n0\r\n", http.StatusRequestTimeout},
		"stops in a trailer":             {earlyAnswer{path: "/stream/x", key: "k1"}.head() + "4\r\nxxxx\r\n0\r\nX-A: b\r\n", http.StatusRequestTimeout},
		"malformed chunks":               {earlyAnswer{path: "/stream/x", key: "k1"}.head() + "4\r\nxxxxxxxxxxxxxx", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, s := earlyAnswer{}.serve(t)
			c := dialUnread(t, s)
			c.send(x.wire)
			c.expectLastAnswer(x.status)
			expectNoRequest(t, h, s)
		})
	}
}

// Guards against a caller that sends requests, reads none of their denials, and holds its
// connection and a request of the router without end.
func TestCallerThatDoesNotReadItsDenialsIsCutOff(t *testing.T) {
	for _, e := range earlyAnswers {
		if e.length == 0 || e.stopping {
			// The first answer ends the connection.
			continue
		}
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			h, s := e.serve(t)
			c := dialUnread(t, s)
			request := e.head() + e.body()
			for {
				if _, err := io.WriteString(c.conn, request); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatal("the connection was not closed")
				} else if err != nil {
					break
				}
			}
			expectNoRequest(t, h, s)
		})
	}
}
