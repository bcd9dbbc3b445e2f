package overload

import (
	"testing"
	"time"
)

// Guards against retries that are not detected, and against first attempts that
// are counted as retries: a timeout is compared with that of another route, no
// timeout is stated, or the callers of a route now state shorter timeouts than
// before.
func TestRetryingCallersAreDetected(t *testing.T) {
	timeouts := make(callerTimeouts)
	for _, c := range []struct {
		route    string
		timeout  time.Duration
		retrying bool
	}{
		{"a", 4 * time.Second, false}, {"a", 4 * time.Second, false}, {"a", 3850 * time.Millisecond, true},
		{"a", 0, false}, {"b", time.Second, false}, {"b", 990 * time.Millisecond, false},
	} {
		if got := timeouts.spent(c.route, c.timeout) > 0; got != c.retrying {
			t.Errorf("route %s, timeout %s: retrying %v, want %v", c.route, c.timeout, got, c.retrying)
		}
	}
	for range 10000 {
		timeouts.spent("a", 2*time.Second)
	}
	if timeouts.spent("a", 2*time.Second) > 0 {
		t.Error("callers that state a shorter timeout than earlier ones count as retrying permanently")
	}
}
