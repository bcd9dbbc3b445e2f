package overload

import "time"

const (
	// minRetryGap is how much shorter than the route's longest timeout a stated
	// timeout must be to indicate a retry: half of the shortest wait that a
	// refusal asks for.
	minRetryGap = minRetryAfter / 2
	// timeoutDecay lowers the longest timeout with each request, so that it
	// follows callers that start to state shorter ones.
	timeoutDecay = 1.0 / 4096
	// maxRoutes bounds the number of routes that are tracked.
	maxRoutes = 1024
)

// callerTimeouts holds the longest timeout that callers of each route state. On a
// retry, a caller states the remaining part of its timeout.
type callerTimeouts map[string]time.Duration

// retrying records the timeout that a caller states, and reports whether it is so
// short that the caller must be retrying.
func (t callerTimeouts) retrying(route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	longest, ok := t[route]
	if !ok && len(t) >= maxRoutes {
		clear(t)
	}
	decayed := longest - time.Duration(timeoutDecay*float64(longest))
	t[route] = max(decayed, timeout)
	return longest-timeout >= minRetryGap
}
