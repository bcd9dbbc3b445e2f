package front_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Guards against a stop that refuses requests arriving soon after its start, or
// does not ask callers to close their connections.
func TestRequestsSoonAfterStopAreServed(t *testing.T) {
	b := newTestBed(t).run()
	client := &http.Client{Transport: &http.Transport{}}
	first, err := client.Do(b.request(http.MethodGet, "/safe/x", ""))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, first.Body)
	stopped := make(chan error, 1)
	go func() { stopped <- b.front.Stop(context.Background()) }()
	b.waitFor("router is not ready", func() bool { return !b.isReady() })
	resp, err := client.Do(b.request(http.MethodGet, "/safe/x", ""))
	if err != nil {
		t.Fatalf("a request right after the signal: %v", err)
	}
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, close announced %v; want 200 and true", resp.StatusCode, resp.Close)
	}
	resp.Body.Close()
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// Guards against a request that is accepted at the end of a stop, reaches a server
// and is cut, so that its caller does not receive the outcome.
func TestStopUnderLoadCutsNoAnswer(t *testing.T) {
	b := newTestBed(t).run()
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
					lost[r.Header.Get(platformtest.HeaderRequestID)] = got.err
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
		for _, seen := range e.Requests() {
			if err := lost[seen.ID]; err != nil {
				t.Errorf("request %s ran and was cut: %v", seen.ID, err)
			}
		}
	}
}

// Guards against an answer that looks complete because the router ended in the middle of
// it: without a length and chunks, an orderly close is its end.
func TestAnswerCutByTheEndOfTheRouterIsNotComplete(t *testing.T) {
	for name, framing := range map[string]platformtest.Framing{"chunks": platformtest.Framed, "no framing": platformtest.Unframed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 1).run()
			b.engines[0].SetFraming(framing)
			b.engines[0].SetDefaultFault(platformtest.Stall)
			conn := b.dialCaller()
			if _, err := io.WriteString(conn, rawRequest(http.MethodPost, "/stream/x", "HTTP/1.1", "cut", platformtest.HeaderPrompt, prompt)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(resp.Body, make([]byte, len(streamUpTo(1)))); err != nil {
				t.Fatal(err)
			}
			b.stop()
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the stream ended as complete after %q", rest)
			}
		})
	}
}

// Guards against a request that a stopping router has accepted and that gets no answer, because its
// server says nothing until the process ends.
func TestRequestAtASilentServerIsAnsweredBeforeTheRouterEnds(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 1).run()
	b.engines[0].SetDelay(20 * time.Second)
	stopped := make(chan error, 1)
	start := time.Now()
	go func() { stopped <- b.front.Stop(context.Background()) }()
	send := func(after time.Duration) reply {
		time.Sleep(time.Until(start.Add(after)))
		return b.do(b.request(http.MethodPost, "/unsafe/x", "body"))
	}
	// The router ends early unless a request is in progress.
	go send(2400 * time.Millisecond)
	// The route's timeout of 3 s would end this one after the process.
	if got := send(5 * time.Second); got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("status %d, error %v; want an answer that says that the outcome is unknown", got.status, got.err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}
