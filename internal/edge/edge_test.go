package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/testport"
)

func serve(t *testing.T) *Server {
	t.Helper()
	s, err := Listen(testport.Host()+":0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Errorf("close: %v", err)
		}
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s
}

// sendRequest sends a request on c, reads the answer, and waits until the given
// number of connections are idle.
func sendRequest(t *testing.T, s *Server, c net.Conn, connections int) {
	t.Helper()
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 4096)
	if _, err := c.Read(buffer); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(20 * time.Second)
	for s.waitingConnections() != connections {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are idle, want %d", s.waitingConnections(), connections)
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *Server) waitingConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against connections that are closed before the idle limit, or never.
func TestIdleLimit(t *testing.T) {
	s := serve(t)
	s.SetIdleLimit(100 * time.Millisecond)
	c := dial(t, s)
	sendRequest(t, s, c, 1)
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(20 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the connection was not closed: %v", err)
	}
	if waited := time.Since(start); waited < 100*time.Millisecond {
		t.Errorf("closed after %s, before the idle limit", waited)
	}
}

// Guards against a longer idle limit that does not apply to connections which
// already wait.
func TestLongerLimitAppliesToWaitingConnections(t *testing.T) {
	s := serve(t)
	s.SetIdleLimit(time.Millisecond)
	c := dial(t, s)
	sendRequest(t, s, c, 1)
	s.SetIdleLimit(time.Hour)
	_ = c.SetReadDeadline(time.Now().Add(2*limitMargin + 100*time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		t.Errorf("the connection was closed: %v", err)
	}
}

// Guards against a stop that closes connections before their first request, or
// keeps those that are idle after one.
func TestCloseWaitingKeepsNewConnections(t *testing.T) {
	s := serve(t)
	used, fresh := dial(t, s), dial(t, s)
	sendRequest(t, s, used, 2)
	s.CloseWaiting()
	_ = used.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := used.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the used connection is open: %v", err)
	}
	if _, err := fmt.Fprint(fresh, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := fresh.Read(make([]byte, 4096)); err != nil {
		t.Errorf("the new connection was closed: %v", err)
	}
}

// readHookListener calls onRead after each read that returned bytes.
type readHookListener struct {
	net.Listener
	onRead func()
}

type readHookConn struct {
	net.Conn
	onRead func()
}

func (l *readHookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &readHookConn{Conn: c, onRead: l.onRead}, err
}

func (c *readHookConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.onRead()
	}
	return n, err
}

// Guards against a stop that closes a connection whose next request has been
// read while the connection still counts as idle: the request was forwarded and
// its answer lost.
func TestCloseWaitingKeepsRequestsBeingRead(t *testing.T) {
	listener, err := net.Listen("tcp", testport.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	var s *Server
	s = New(&readHookListener{Listener: listener, onRead: func() { s.CloseWaiting() }},
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") }), hclog.NewNullLogger())
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	c := dial(t, s)
	sendRequest(t, s, c, 1)
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		t.Errorf("the second request got no answer: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a drain that cuts a request in progress, or still accepts
// connections.
func TestDrain(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, err := Listen(testport.Host()+":0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "ok")
	}), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	busy, fresh := dial(t, s), dial(t, s)
	if _, err := fmt.Fprint(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	if err := s.Drain(); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Errorf("serve: %v", err)
	}
	_ = fresh.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := fresh.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection got an answer")
	}
	close(release)
	if answer, err := io.ReadAll(busy); err != nil || len(answer) == 0 {
		t.Errorf("the request in progress got %q, %v", answer, err)
	}
	for deadline := time.Now().Add(20 * time.Second); s.OpenConnections() != 0; {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open, want none", s.OpenConnections())
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against an answer to headers that Drain cuts off. net/http takes the start of a
// line for a whole one and answers 400, after which callers do not retry; a close without an
// answer tells them that the request has not been read.
func TestDrainClosesIncompleteHeadersWithoutAnAnswer(t *testing.T) {
	s := serve(t)
	for _, start := range []string{"GE", "GET / HTTP/1.1\r\nHost: h\r\nX-Par", "GET / HTTP/1.1\r\nHost: h\r\n"} {
		c := dial(t, s)
		if _, err := io.WriteString(c, start); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(20 * time.Second); s.connectionsInHeaders() != 1; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the start of the request has not been read")
			}
		}
		// Drain retires all connections like this, and closes the address.
		s.retire(func(*conn) bool { return true })
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if answer, err := io.ReadAll(c); err != nil || len(answer) > 0 {
			t.Errorf("%q got %q, %v; want a close", start, answer, err)
		}
	}
}

// connectionsInHeaders returns the number of connections whose next headers are incomplete.
func (s *Server) connectionsInHeaders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.waiting {
		if c.inHeaders.Load() {
			n++
		}
	}
	return n
}

// Guards against a Close that reports an error because Drain has closed the
// listener.
func TestCloseAfterDrain(t *testing.T) {
	for range 50 {
		s, err := Listen(testport.Host()+":0", http.NotFoundHandler(), hclog.NewNullLogger())
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- s.Serve() }()
		dial(t, s)
		for s.OpenConnections() == 0 {
			time.Sleep(time.Millisecond)
		}
		if err := s.Drain(); err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a caller that stops in the middle of its headers, or sends them slowly,
// and so holds its connection for as long as an idle one, or without end.
func TestHeaderLimit(t *testing.T) {
	const limit = 100 * time.Millisecond
	for _, c := range []struct {
		name        string
		used, drips bool
	}{{"new connection", false, false}, {"used connection", true, false}, {"new connection, slow", false, true}, {"used connection, slow", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t)
			s.SetIdleLimit(time.Hour)
			s.SetHeaderLimit(limit)
			conn := dial(t, s)
			if c.used {
				sendRequest(t, s, conn, 1)
			}
			start := time.Now()
			if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\nA: "); err != nil {
				t.Fatal(err)
			}
			// A longer idle limit leaves the limit for headers in force.
			s.SetIdleLimit(2 * time.Hour)
			for c.drips {
				if _, err := fmt.Fprint(conn, "x"); err != nil {
					break
				}
				if time.Since(start) > 20*time.Second {
					t.Fatal("the connection was not closed")
				}
				time.Sleep(10 * time.Millisecond)
			}
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			if n, err := conn.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("%d bytes, error %v; want the end of the connection", n, err)
			}
			if waited := time.Since(start); waited < limit {
				t.Errorf("closed after %s, before the limit", waited)
			}
		})
	}
}

// Guards against an answer to headers that the limit cuts off. A router that was frozen
// finds the limit passed and the rest of a proper request unread, and callers do not retry
// after a 400.
func TestHeaderLimitClosesWithoutAnAnswer(t *testing.T) {
	for _, start := range []string{"GE", "GET / HTTP/1.1\r\nHost: h\r\nX-Par", "GET / HTTP/1.1\r\nHost: h\r\n"} {
		t.Run(start, func(t *testing.T) {
			t.Parallel()
			s := serve(t)
			s.SetHeaderLimit(time.Millisecond)
			c := dial(t, s)
			if _, err := io.WriteString(c, start); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if answer, err := io.ReadAll(c); err != nil || len(answer) > 0 {
				t.Errorf("got %q, %v; want a close", answer, err)
			}
		})
	}
}

// Guards against a limit for headers that ends a connection which waits for a request, or a
// request whose body takes longer.
func TestHeaderLimitAppliesToHeadersOnly(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprintf("used %v", used), func(t *testing.T) {
			t.Parallel()
			s := serve(t)
			s.SetIdleLimit(time.Hour)
			s.SetHeaderLimit(time.Millisecond)
			conn := dial(t, s)
			if used {
				sendRequest(t, s, conn, 1)
			}
			expectSilence := func(when string) {
				t.Helper()
				_ = conn.SetReadDeadline(time.Now().Add(limitMargin + 100*time.Millisecond))
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatalf("%s: %v, want an open connection", when, err)
				}
			}
			expectSilence("before the request")
			if _, err := fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			expectSilence("before the body")
			if _, err := fmt.Fprint(conn, "x"); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.Close {
				t.Fatalf("answer %v, error %v; want one that keeps the connection", resp, err)
			}
		})
	}
}

// Guards against a limit for headers that is lost when the idle limit grows just as they begin: a caller that
// sends them slowly would hold its connection for as long as an idle one.
func TestHeaderLimitHoldsWhileTheIdleLimitGrows(t *testing.T) {
	t.Parallel()
	const connections = 300
	s := serve(t)
	s.SetHeaderLimit(100 * time.Millisecond)
	stop := make(chan struct{})
	var growing, callers sync.WaitGroup
	growing.Go(func() {
		for limit := time.Hour; ; limit += time.Second {
			select {
			case <-stop:
				return
			default:
				s.SetIdleLimit(limit)
			}
		}
	})
	for range connections {
		callers.Go(func() {
			conn := dial(t, s)
			if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\n"); err != nil {
				t.Error(err)
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("a connection with slow headers was not closed")
			}
		})
	}
	callers.Wait()
	close(stop)
	growing.Wait()
}
