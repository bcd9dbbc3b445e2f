package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/standin/backendsim"
)

func startServer(t *testing.T, cfg backendsim.Config, o Options) (*backendsim.Server, *Client) {
	s := backendsim.New(cfg)
	t.Cleanup(s.Close)
	addr, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.BaseURL = "http://" + addr
	c := New(o)
	t.Cleanup(c.Close)
	return s, c
}

func booking(key string, fencing uint64) Request {
	return Request{Method: http.MethodPost, Path: "/bookings", Body: []byte("gang 7"), IdempotencyKey: key, Fencing: fencing, AttemptID: "a-" + key}
}

// Guards against a booking that runs twice and against errors that state wrongly
// whether it was sent, for each fault.
func TestBookingFaults(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name    string
		opts    Options
		ctx     context.Context
		faults  backendsim.Faults
		refuse  bool
		during  func(s *backendsim.Server, cancel func())
		runs    int
		notSent bool
		cause   error
	}{
		{name: "connection refused", refuse: true, notSent: true},
		{name: "cancelled before the dial", ctx: cancelled, notSent: true, cause: context.Canceled},
		{name: "request too large", opts: Options{MaxRequestBytes: 3}, notSent: true, cause: ErrTooLarge},
		{name: "answer dropped after the run", faults: backendsim.Faults{DropAnswer: true}, runs: 1},
		{name: "answer that ends with its connection", faults: backendsim.Faults{NoLength: true}, runs: 1, cause: ErrProtocol},
		{name: "answer too large", opts: Options{MaxAnswerBytes: 100}, faults: backendsim.Faults{AnswerBytes: 200}, runs: 1, cause: ErrTooLarge},
		{
			name: "cancelled during the run", faults: backendsim.Faults{HangBeforeAnswer: true}, runs: 1, cause: context.Canceled,
			during: func(s *backendsim.Server, cancel func()) {
				_ = s.Ledger().Await(context.Background(), 1)
				cancel()
			},
		},
		{
			name: "crash during the run", faults: backendsim.Faults{HangBeforeAnswer: true}, runs: 1,
			during: func(s *backendsim.Server, _ func()) {
				_ = s.Ledger().Await(context.Background(), 1)
				s.Crash()
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, client := startServer(t, backendsim.Config{Name: "b1"}, c.opts)
			s.SetFaults(c.faults)
			if c.refuse {
				_ = s.SetRefuseConnections(true)
			}
			ctx := c.ctx
			if ctx == nil {
				ctx = context.Background()
			}
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			if c.during != nil {
				go c.during(s, cancel)
			}
			_, err := client.Do(ctx, booking("k", 1))
			if errors.Is(err, ErrNotSent) != c.notSent || errors.Is(err, ErrMaybeRun) == c.notSent {
				t.Errorf("got %v, want not sent: %v", err, c.notSent)
			}
			if c.cause != nil && !errors.Is(err, c.cause) {
				t.Errorf("got %v, want %v", err, c.cause)
			}
			if got := len(s.Ledger().ExecutedKey("k")); got != c.runs {
				t.Errorf("the booking ran %d times, want %d", got, c.runs)
			}
		})
	}
}

// Guards against net/http repeating a non-repeatable request when the server
// closes a reused connection. The idempotency key makes net/http treat the
// request as idempotent.
func TestNoSilentRepeat(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	requests := make(chan string, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerOnce(c, requests)
		}
	}()
	client := New(Options{BaseURL: "http://" + ln.Addr().String()})
	defer client.Close()
	r := booking("k", 1)
	r.Body = nil
	if _, err := client.Do(context.Background(), r); err != nil {
		t.Fatal(err)
	}
	r.Path = "/close"
	if _, err := client.Do(context.Background(), r); !errors.Is(err, ErrMaybeRun) {
		t.Errorf("connection closed without an answer: got %v, want ErrMaybeRun", err)
	}
	var got []string
	for len(requests) > 0 {
		got = append(got, <-requests)
	}
	if !slices.Equal(got, []string{"/bookings", "/close"}) {
		t.Errorf("the server read the paths %v, want each request once", got)
	}
}

// answerOnce answers the first request of a connection unless its path is
// /close, reads one more and closes the connection.
func answerOnce(c net.Conn, requests chan<- string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for range 2 {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		requests <- req.URL.Path
		if req.URL.Path == "/close" {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// Guards against a booking with an old fencing number that runs on a server that
// checks the numbers.
func TestFencing(t *testing.T) {
	s, client := startServer(t, backendsim.Config{CheckFencing: true}, Options{})
	for _, c := range []struct {
		fencing uint64
		status  int
	}{{7, http.StatusCreated}, {6, http.StatusConflict}} {
		a, err := client.Do(context.Background(), booking("k", c.fencing))
		if err != nil || a.Status != c.status {
			t.Errorf("fencing %d: got %+v, %v", c.fencing, a, err)
		}
	}
	if n := len(s.Ledger().ExecutedKey("k")); n != 1 || len(s.Ledger().RepeatedKeys()) != 0 {
		t.Errorf("the booking ran %d times, want once", n)
	}
	s.SetFaults(backendsim.Faults{RefuseRun: true})
	if a, err := client.Do(context.Background(), booking("k2", 8)); err != nil || a.Status != http.StatusServiceUnavailable {
		t.Errorf("refused booking: got %+v, %v, want status 503", a, err)
	}
	if n := len(s.Ledger().ExecutedKey("k2")); n != 0 {
		t.Errorf("the refused booking ran %d times, want none", n)
	}
}

// Guards against hop-by-hop or forged router headers that reach a server, and
// against a path that leads to another host.
func TestRequestAsSent(t *testing.T) {
	_, client := startServer(t, backendsim.Config{}, Options{})
	r := Request{
		Method: http.MethodPut, Path: "//evil.example/a%2Fb?x=1&y", Body: []byte("body"), Repeatable: true, AttemptID: "real",
		Header: http.Header{
			"Connection": {"X-Hop, keep-alive"}, "X-Hop": {"1"}, "Upgrade": {"h2c"}, "Te": {"trailers"}, "X-Fencing": {"9"},
			"X-Attempt-Id": {"forged"}, "Idempotency-Key": {"forged"}, "Content-Length": {"99"}, "X-Kept": {"a", "b"},
		},
	}
	a, err := client.Do(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Path, Query, Body string
		Headers           http.Header
	}
	if err := json.Unmarshal(a.Body, &got); err != nil {
		t.Fatal(err)
	}
	if got.Path != "//evil.example/a/b" || got.Query != "x=1&y" || got.Body != "body" {
		t.Errorf("the server received %+v, want the path, query and body of the request", got)
	}
	want := http.Header{"X-Attempt-Id": {"real"}, "X-Kept": {"a", "b"}, "Content-Length": {"4"}}
	if len(got.Headers) != len(want) || got.Headers.Get("X-Attempt-Id") != "real" || len(got.Headers["X-Kept"]) != 2 {
		t.Errorf("headers %v, want %v", got.Headers, want)
	}
	if a.Header.Get("Content-Type") != "application/json" {
		t.Errorf("answer headers %v, want content type application/json", a.Header)
	}
	for _, path := range []string{"", "x", "http://other/", "/%zz"} {
		if _, err := client.Do(context.Background(), Request{Method: "GET", Path: path}); !errors.Is(err, ErrInvalid) || !errors.Is(err, ErrNotSent) {
			t.Errorf("path %q: got %v, want ErrInvalid and ErrNotSent", path, err)
		}
	}
}

// Guards against an answer whose status no final answer has, which a caller can't be given.
func TestOnlyFinalStatusesAreAnswers(t *testing.T) {
	for status, final := range map[string]bool{"000": false, "099": false, "101": false, "200": true, "599": true, "600": false, "999": false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")
		}()
		c := New(Options{BaseURL: "http://" + ln.Addr().String()})
		t.Cleanup(c.Close)
		if a, err := c.Do(context.Background(), booking("k", 1)); (err == nil) != final {
			t.Errorf("status %s: got %+v, %v", status, a, err)
		}
	}
}
