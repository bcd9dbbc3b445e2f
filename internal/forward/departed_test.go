package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Guards against a server that refuses a request for a time and gets further ones, because the caller of the refused one leaves
// before the router has read the answer: a soak found four of them in 3 s.
func TestRefusalCountsWhenTheCallerLeavesBesideIt(t *testing.T) {
	refuse := status(http.StatusServiceUnavailable, "busy", "Retry-After", "3s")
	notRun := status(http.StatusServiceUnavailable, "busy", "Retry-After", "3s", "Not-Run", "yes")
	for name, c := range map[string]struct {
		kind   routing.Kind
		refuse answer
	}{
		"safe": {routing.Safe, refuse}, "unsafe": {routing.Unsafe, refuse}, "not run": {routing.Unsafe, notRun}, "stream": {routing.Stream, refuse},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				ctx, leave := context.WithCancel(context.Background())
				b := newBed(t, bedOptions{virtual: true, servers: 2, route: routing.Route{Kind: c.kind, MaxAttempts: 2}}, func(w http.ResponseWriter, r *http.Request) {
					leave()
					time.Sleep(time.Millisecond)
					c.refuse(w, r)
				}, ok("x"))
				b.send(ask{ctx: ctx})
				b.expectLog(map[string]any{"outcome": OutcomeCallerLeft, "cause": CauseCallerLeft, "offered": 1})
				for range 12 {
					time.Sleep(100 * time.Millisecond)
					b.send(ask{})
				}
				got := b.got()
				further := 0
				for _, a := range got[1:] {
					if a.server == got[0].server {
						further++
					}
				}
				if further > 2 || len(got) != 13 {
					t.Errorf("%d of %d further requests reached the server that wants none, want 2 of 12 at most", further, len(got)-1)
				}
			})
		})
	}
}

// Guards against servers that go on with requests whose callers have left, and against a departure that counts as a failure of the
// server, whatever that does in the time in which its answer is still read.
func TestDepartureIsNoFailureOfTheServer(t *testing.T) {
	for name, then := range map[string]answer{
		"silent":         hang,
		"breaks off":     raw(""),
		"torn":           raw("HTTP/1.1 200 OK\r\nId: %ID%\r\nSigned: by first\r\nContent-Length: 9\r\n\r\nx"),
		"served":         ok("x"),
		"begins a whole": func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "x"); hang(w, r) },
	} {
		for _, kind := range []routing.Kind{routing.Safe, routing.Unsafe, routing.Stream} {
			t.Run(name, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					ctx, leave := context.WithCancel(context.Background())
					var left, ended time.Time
					b := newBed(t, bedOptions{virtual: true, servers: 2, route: routing.Route{Kind: kind, MaxAttempts: 2}}, func(w http.ResponseWriter, r *http.Request) {
						defer func() { ended = time.Now() }()
						left = time.Now()
						leave()
						time.Sleep(time.Millisecond)
						then(w, r)
					}, ok("x"))
					b.send(ask{ctx: ctx})
					b.expectLog(map[string]any{"outcome": OutcomeCallerLeft, "cause": CauseCallerLeft, "offered": 1, "last": "cancelled"})
					synctest.Wait()
					if took := ended.Sub(left); ended.IsZero() || took > 500*time.Millisecond {
						t.Errorf("the server worked on for %v, want half a second at most", took)
					}
					if o := b.state.Outcomes(); len(o) > 0 && o[0].Failed > 0 || len(b.got()) != 1 {
						t.Errorf("outcomes %+v after %d requests, want no failure and one request", o, len(b.got()))
					}
				})
			})
		}
	}
}

// Guards against a request that is sent after its caller has left, in the time in which an answer would still be read.
func TestNothingIsSentForADepartedCaller(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		b := newBed(t, bedOptions{virtual: true}, ok("x"))
		const dialTakes = 20 * time.Millisecond
		b.state.SetDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(dialTakes)
			return b.network.Dial(context.WithoutCancel(ctx), network, addr)
		})
		ctx, cancel := context.WithTimeout(context.Background(), dialTakes-departedTime/2)
		defer cancel()
		b.send(ask{ctx: ctx})
		time.Sleep(dialTakes)
		b.expectLog(map[string]any{"outcome": OutcomeCallerLeft})
		if n := len(b.got()); n != 0 {
			t.Errorf("%d requests were sent, want none", n)
		}
	})
}
