package forward

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Guards against a stopping router that accepts a long stream shortly before its
// process ends and then cuts the answer.
func TestStoppingRouterAcceptsOnlyRequestsThatFinish(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &stopping{start: start, end: start.Add(8 * time.Second)}
	stream := &routing.Route{Kind: routing.Stream, Objective: 400 * time.Millisecond}
	plain := &routing.Route{Kind: routing.Safe, Objective: 300 * time.Millisecond}
	unbounded := &routing.Route{Kind: routing.Unsafe}
	for _, c := range []struct {
		name  string
		after time.Duration
		route *routing.Route
		want  bool
	}{
		{"stream while callers still arrive", 2 * time.Second, stream, true},
		{"stream after callers stopped arriving", 3 * time.Second, stream, false},
		{"plain request with enough time", 5 * time.Second, plain, true},
		{"plain request at the end", 7 * time.Second, plain, false},
		{"plain request without an objective", 3 * time.Second, unbounded, false},
	} {
		if got := s.accepts(start.Add(c.after), c.route); got != c.want {
			t.Errorf("%s: accepts = %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a request that gets no answer when a stopping router ends, and against a server that is
// blamed for it.
func TestRequestIsAnsweredBeforeTheRouterEnds(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Unsafe}}, hang)
	go func() {
		b.until("the server has the request", func() bool { return len(b.got()) == 1 })
		now := time.Now()
		b.handler.Stop(now, now.Add(2*lastAnswerTime))
	}()
	if got := b.send(ask{}); got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("status %d, error %v; want an unknown outcome", got.status, got.err)
	}
	b.expectLog(map[string]any{"outcome": OutcomeUnknown, "cause": CauseStopping, "last": "cancelled"})
}

// Guards against an answer that is cut although it would end before the process does.
func TestAnswerThatHasBegunGoesOnUntilTheRouterEnds(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Stream}}, nil)
	b.answers[0] = func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		<-b.handler.ending.Done()
		time.Sleep(lastAnswerTime / 2)
		_, _ = io.WriteString(w, "id: 2\ndata: y\n\n")
	}
	resp, err := b.begin(ask{})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	now := time.Now()
	b.handler.Stop(now, now.Add(2*lastAnswerTime))
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "id: 1\ndata: x\n\nid: 2\ndata: y\n\n" {
		t.Errorf("got %q, error %v; want both events", body, err)
	}
}
