package front_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// longPrompt takes an engine longer to read than any test.
const longPrompt = "5c1e07a2:5000000,e4402b7d:250"

// runSlowEngines returns a running router whose engines answer after a delay and
// whose streams have an objective that is much longer.
func runSlowEngines(t *testing.T, delay time.Duration) *testBed {
	t.Helper()
	b := newTestBed(t)
	for _, e := range b.engines {
		e.SetDelay(delay)
	}
	b.publishSlow()
	return b
}

// publishSlow publishes a configuration with long objectives and all servers, starts
// a router and waits until it is ready.
func (b *testBed) publishSlow() {
	b.t.Helper()
	c := config(1)
	for i := range c.Routes {
		c.Routes[i].Objective, c.Routes[i].Timeout = 20*time.Second, 30*time.Second
	}
	b.publish(c)
	b.register(platformtest.StateReady, b.engines...)
	b.startReady()
}

func (b *testBed) promptRequest() *http.Request {
	return b.request(http.MethodPost, "/stream/x", "body", platformtest.HeaderPrompt, longPrompt, platformtest.HeaderModel, "m", platformtest.HeaderDeadline, "30000")
}

func (b *testBed) received() []platformtest.ReceivedRequest {
	var list []platformtest.ReceivedRequest
	for _, e := range b.engines {
		list = append(list, e.Requests()...)
	}
	return list
}

// Guards against an engine that reads a prefix twice: a second request that arrives
// while the first one's prompt is being read must reach it afterwards.
func TestRequestIsHeldUntilItsPrefixHasBeenRead(t *testing.T) {
	t.Parallel()
	const delay = 100 * time.Millisecond
	b := runSlowEngines(t, delay)
	first, second := b.promptRequest(), b.promptRequest()
	answers := make(chan reply, 2)
	go func() { answers <- b.do(first) }()
	b.waitFor("an engine has the first request", func() bool { return b.requestCount() == 1 })
	go func() { answers <- b.do(second) }()
	for range 2 {
		if got := <-answers; got.status != http.StatusOK || got.err != nil {
			t.Fatalf("status %d, error %v; want 200", got.status, got.err)
		}
	}
	list := b.received()
	if len(list) != 2 {
		t.Fatalf("engines received %d requests, want 2", len(list))
	}
	a, c := list[0], list[1]
	if a.ID != first.Header.Get(platformtest.HeaderRequestID) {
		a, c = c, a
	}
	if gap := c.ReceivedAt.Sub(a.ReceivedAt); gap < delay {
		t.Errorf("the second request reached an engine %s after the first, which was answered after %s", gap, delay)
	}
}

// Guards against a held request that reaches an engine although its caller has left.
func TestHeldRequestEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	b := runSlowEngines(t, time.Second)
	first, second := b.promptRequest(), b.promptRequest()
	done := make(chan reply, 1)
	go func() { done <- b.do(first) }()
	b.waitFor("an engine has the first request", func() bool { return b.requestCount() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if got := b.do(second.WithContext(ctx)); got.err == nil {
		t.Fatalf("status %d before the prefix was read, want none", got.status)
	}
	if got := <-done; got.status != http.StatusOK {
		t.Errorf("status %d of the first request, want 200", got.status)
	}
	if n := b.requestCount(); n != 1 {
		t.Errorf("engines received %d requests, want 1", n)
	}
}

// Guards against requests whose callers have left and that count as in flight at a
// server for good.
func TestCallersThatLeaveTakeTheirLoadAlong(t *testing.T) {
	t.Parallel()
	b := newTestBed(t).run()
	for _, e := range b.engines {
		e.SetDelay(20 * time.Millisecond)
	}
	for i := range 30 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%4)*7*time.Millisecond)
		b.do(b.promptRequest().WithContext(ctx))
		cancel()
	}
	b.waitFor("no request is in flight", func() bool {
		own := 0
		for _, s := range b.front.Status().Pools[0].Servers {
			own += s.Own
		}
		return own == 0
	})
}

// Guards against a refused request that counts as reading its prefix: the next one was
// held for a prefix that no engine read.
func TestRequestIsNotHeldAfterARefusal(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 1)
	b.publishSlow()
	b.engines[0].SetDefaultFault(platformtest.Refuse)
	if got := b.do(b.promptRequest()); got.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, want 503", got.status)
	}
	b.engines[0].SetDefaultFault(platformtest.None)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if got := b.do(b.promptRequest().WithContext(ctx)); got.status != http.StatusOK {
		t.Errorf("status %d, error %v; want 200 before the longest hold has passed", got.status, got.err)
	}
}
