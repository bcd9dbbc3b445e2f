package forward

import (
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
