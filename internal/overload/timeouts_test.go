package overload

import (
	"testing"
	"time"
)

// Guards against callers who are taken to return although they come for the
// first time: other routes, callers who state nothing, and callers who have
// become less patient.
func TestRetryingCallersAreDetected(t *testing.T) {
	p := make(callerTimeouts)
	for _, c := range []struct {
		route    string
		stated   time.Duration
		retrying bool
	}{
		{"a", 4 * time.Second, false}, {"a", 4 * time.Second, false}, {"a", 3850 * time.Millisecond, true},
		{"a", 0, false}, {"b", time.Second, false}, {"b", 990 * time.Millisecond, false},
	} {
		if got := p.retrying(c.route, c.stated); got != c.retrying {
			t.Errorf("route %s, %s stated: %v, want %v", c.route, c.stated, got, c.retrying)
		}
	}
	for range 10000 {
		p.retrying("a", 2*time.Second)
	}
	if p.retrying("a", 2*time.Second) {
		t.Error("callers who are less patient than others once were count as returning for good")
	}
}
