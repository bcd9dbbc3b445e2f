package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/testport"
)

// timedConn is a connection that records its read deadline and reads a byte at a time.
type timedConn struct {
	net.Conn
	deadline time.Time
}

func (c *timedConn) SetReadDeadline(t time.Time) error { c.deadline = t; return nil }

func (c *timedConn) Read(b []byte) (int, error) { return copy(b, "G"), nil }

// Guards against callers that are cut off before a limit of the configuration, hold a
// connection beyond it, or have no limit while the configuration sets none.
func TestLimitsOfTheConfigurationAreDeadlines(t *testing.T) {
	s := New(nil, http.NotFoundHandler(), hclog.NewNullLogger())
	raw := &timedConn{}
	c := &conn{Conn: raw, server: s}
	expect := func(when string, limit time.Duration) {
		t.Helper()
		left := time.Until(raw.deadline)
		// A request at the limit is read a second later at most.
		if want := limit + time.Second; left > want || left < want-500*time.Millisecond {
			t.Errorf("%s: the connection ends in %v, want %v", when, left, want)
		}
	}
	read := func() { _, _ = c.Read(make([]byte, 1)) }
	s.trackState(c, http.StateNew)
	expect("new, before the first configuration", time.Minute)
	read()
	expect("in headers, before the first configuration", 10*time.Second)
	s.trackState(c, http.StateActive)
	if !raw.deadline.IsZero() {
		t.Errorf("a request in progress ends with its connection at %v", raw.deadline)
	}

	s.SetIdleLimit(20 * time.Second)
	s.SetHeaderLimit(30 * time.Second)
	s.trackState(c, http.StateIdle)
	expect("idle", 20*time.Second)
	s.SetIdleLimit(5 * time.Second)
	expect("idle, after the limit was lowered", 20*time.Second)
	s.SetIdleLimit(40 * time.Second)
	expect("idle, after the limit was raised", 40*time.Second)
	read()
	expect("in headers", 30*time.Second)
	s.SetHeaderLimit(3 * time.Second)
	s.SetIdleLimit(50 * time.Second)
	read()
	expect("in headers, after both limits were changed", 30*time.Second)
	s.trackState(c, http.StateActive)

	s.SetIdleLimit(0)
	s.SetHeaderLimit(0)
	s.trackState(c, http.StateIdle)
	expect("idle, without a limit in the configuration", time.Minute)
	read()
	expect("in headers, without a limit in the configuration", 10*time.Second)
	s.trackState(c, http.StateIdle)
	s.retire(func(*conn) bool { return true })
	// net/http clears the deadline when it begins to wait.
	_ = c.SetReadDeadline(time.Time{})
	if !raw.deadline.Before(time.Now()) {
		t.Errorf("a connection that is to end waits until %v", raw.deadline)
	}
	s.trackState(c, http.StateClosed)
	if n := s.waitingConnections(); n != 0 {
		t.Errorf("%d connections wait after the last has ended", n)
	}
}

// exchange sends bytes and returns what comes back until the end of the connection.
func exchange(t *testing.T, s *Server, wire string) (string, error) {
	t.Helper()
	c := dial(t, s)
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, wire)
	answer, err := io.ReadAll(c)
	return string(answer), err
}

// Guards against a success that no server gave: net/http answers OPTIONS * by itself.
func TestOptionsReachTheHandler(t *testing.T) {
	s := serve(t)
	if answer, err := exchange(t, s, "OPTIONS * HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); !strings.HasSuffix(answer, "ok") {
		t.Errorf("answer %q, error %v; want the handler's", answer, err)
	}
}

// Guards against callers whose headers fill the router's memory.
func TestHeadersAreBounded(t *testing.T) {
	s := serve(t)
	answer, _ := exchange(t, s, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nA: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n\r\n")
	if strings.HasSuffix(answer, "ok") {
		t.Errorf("headers of %d bytes were accepted", 2*maxHeaderBytes)
	}
}

// Guards against a second signal to stop that fails because of the first.
func TestDrainTwice(t *testing.T) {
	s := serve(t)
	for range 2 {
		if err := s.Drain(); err != nil {
			t.Error(err)
		}
	}
}

// serveWith serves with a handler.
func serveWith(t *testing.T, handler http.HandlerFunc) *Server {
	t.Helper()
	s, err := Listen(testport.Host()+":0", handler, hclog.NewNullLogger())
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
	return s
}

// Guards against an answer that broke off and ends in order, or a whole one that is reset.
func TestConnectionEndsWithAResetWhereAsked(t *testing.T) {
	for name, c := range map[string]struct {
		set   func(context.Context)
		reset bool
	}{
		"broken off": {func(ctx context.Context) { SetResetOnClose(ctx, true) }, true},
		"whole":      {func(ctx context.Context) { SetResetOnClose(ctx, true); SetResetOnClose(ctx, false) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveWith(t, func(_ http.ResponseWriter, r *http.Request) {
				c.set(r.Context())
				panic(http.ErrAbortHandler)
			})
			_, err := exchange(t, s, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if got := errors.Is(err, syscall.ECONNRESET); got != c.reset || !got && err != nil {
				t.Errorf("the connection ended with %v, want a reset: %v", err, c.reset)
			}
		})
	}
}

// Guards against a caller that does not see the end of its answer while the router still
// reads what it sends.
func TestSendingSideEndsAlone(t *testing.T) {
	read := make(chan string, 1)
	s := serveWith(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		if err := c.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
			t.Error(err)
		}
		line, _ := bufio.NewReader(c).ReadString('\n')
		read <- line
	})
	c := dial(t, s)
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if answer, err := io.ReadAll(c); err != nil || len(answer) > 0 {
		t.Fatalf("answer %q, error %v; want the end of the answer", answer, err)
	}
	_, _ = io.WriteString(c, "more\n")
	if got := <-read; got != "more\n" {
		t.Errorf("the router read %q after it had ended its sending side", got)
	}
}

// Guards against callers that read nothing and fill the kernel's memory with answers.
func TestKernelHoldsLittleOfAnAnswer(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	l, err := net.Listen("tcp", testport.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		nc, err := (&acceptor{Listener: l}).Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- nc
	}()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	nc := <-accepted
	defer nc.Close()
	control, err := nc.(*conn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var size int
	if err := control.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF) }); err != nil {
		t.Fatal(err)
	}
	// Linux doubles the size for its own use.
	if size != 2*sendBuffer {
		t.Errorf("the send buffer has %d bytes, want %d", size, 2*sendBuffer)
	}
}

// Guards against a stop that waits for the idle limit of a connection whose request ended
// meanwhile.
func TestConnectionThatBecomesIdleInADrainEnds(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s := serveWith(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		w.Header().Set("Content-Length", "0")
	})
	c := dial(t, s)
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	if err := s.Drain(); err != nil {
		t.Fatal(err)
	}
	close(release)
	if answer, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		t.Errorf("answer %q, error %v; want the answer and the end of the connection", answer, err)
	}
}

// Guards against connections that outlive the server.
func TestCloseEndsConnections(t *testing.T) {
	s, err := Listen(testport.Host()+":0", http.NotFoundHandler(), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	c := dial(t, s)
	sendRequest(t, s, c, 1)
	if err := errors.Join(s.Close(), <-done); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection ended with %v after Close", err)
	}
}
