package httpsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// waitTimeout bounds the waits of the tests.
const waitTimeout = 10 * time.Second

const emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// serveRaw serves each connection with handle, which is called with the number of each
// request. closed gets a value when the client has closed a connection; nil means not.
func serveRaw(t *testing.T, closed chan<- struct{}, handle func(conn *net.TCPConn, n int)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						if closed != nil {
							closed <- struct{}{}
						}
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					handle(conn.(*net.TCPConn), n)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String() + "/"
}

func send(t *testing.T, transport http.RoundTripper, url string) (*Exchange, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, x, err := Send(transport, req)
	if err != nil {
		return x, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return x, nil
}

// Guards against bytes on an idle connection that are not reported, whether they come with
// the last answer or after it, and against a report of an ordinary end.
func TestUnaskedBytesAreReported(t *testing.T) {
	bodyAnswer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name string
		// answer is sent for the request, and later when the client has read the answer.
		answer, later string
		// closes is set when the server then ends the connection.
		closes  bool
		unasked bool
	}{
		{name: "with the answer", answer: bodyAnswer + "more", unasked: true},
		{name: "after the answer", answer: bodyAnswer, later: bodyAnswer, unasked: true},
		{name: "after an answer without a body", answer: emptyAnswer, later: "x", unasked: true},
		{name: "request timeout", answer: bodyAnswer, later: "HTTP/1.1 408 Request Timeout\r\n\r\n", closes: true},
		{name: "close", answer: bodyAnswer, closes: true},
		{name: "idle timeout of the client", answer: bodyAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			reported := make(chan struct{}, 10)
			answered, closed := make(chan struct{}), make(chan struct{}, 1)
			url := serveRaw(t, closed, func(conn *net.TCPConn, _ int) {
				_, _ = io.WriteString(conn, c.answer)
				<-answered
				_, _ = io.WriteString(conn, c.later)
				if c.closes {
					_ = conn.CloseWrite()
				}
			})
			transport := NewTransport(Options{MaxIdleConnsPerHost: 1, IdleTimeout: 50 * time.Millisecond, OnUnasked: func() { reported <- struct{}{} }})
			if _, err := send(t, transport, url); err != nil {
				t.Fatal(err)
			}
			close(answered)
			select {
			case <-closed:
			case <-time.After(waitTimeout):
				t.Fatal("the client did not close the connection")
			}
			// A report comes before the close.
			if got := len(reported); got != 0 != c.unasked || got > 1 {
				t.Errorf("%d reports, want one: %v", got, c.unasked)
			}
		})
	}
}

// Guards against answers that count as bytes nobody asked for, when many requests share the
// connections.
func TestAnswersAreNotUnasked(t *testing.T) {
	url := serveRaw(t, nil, func(conn *net.TCPConn, _ int) { _, _ = io.WriteString(conn, emptyAnswer) })
	var reports atomic.Int64
	transport := NewTransport(Options{MaxIdleConnsPerHost: 2, OnUnasked: func() { reports.Add(1) }})
	// Not before the check: see Options.OnUnasked.
	defer transport.CloseIdleConnections()
	done := make(chan error)
	for range 8 {
		go func() {
			for range 200 {
				req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
				resp, _, err := Send(transport, req)
				if err != nil {
					done <- err
					return
				}
				_ = resp.Body.Close()
			}
			done <- nil
		}()
	}
	for range 8 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if n := reports.Load(); n != 0 {
		t.Errorf("%d answers were reported", n)
	}
}

// Guards against a close that counts as bytes which are no answer, and the reverse, on new
// and kept connections.
func TestFaultOfAnExchangeWithoutAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(conn *net.TCPConn)
		want Fault
	}{
		{"close", func(conn *net.TCPConn) { _ = conn.Close() }, ConnectionClosed},
		{"reset", func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }, ConnectionClosed},
		{"torn", func(conn *net.TCPConn) { _, _ = io.WriteString(conn, "HTTP/1.1 200"); _ = conn.Close() }, ConnectionClosed},
		{"no answer", func(conn *net.TCPConn) { _, _ = io.WriteString(conn, "garbage\r\n\r\n") }, NoAnswer},
	} {
		for _, reused := range []bool{false, true} {
			url := serveRaw(t, nil, func(conn *net.TCPConn, n int) {
				if reused && n == 1 {
					_, _ = io.WriteString(conn, emptyAnswer)
					return
				}
				c.bad(conn)
			})
			transport := NewTransport(Options{MaxIdleConnsPerHost: 1})
			if reused {
				if _, err := send(t, transport, url); err != nil {
					t.Fatal(err)
				}
			}
			// Only a request with a body of its own is not sent again by net/http.
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, Body(&io.LimitedReader{}))
			if err != nil {
				t.Fatal(err)
			}
			req.ContentLength = 0
			_, x, err := Send(transport, req)
			if err == nil || x.Fault() != c.want || x.Reused != reused {
				t.Errorf("%s: error %v, fault %v, reused %v; want %v, %v", c.name, err, x.Fault(), x.Reused, c.want, reused)
			}
		}
	}
}
