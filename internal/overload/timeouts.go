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

// spent records the timeout that a caller states, and returns how much of its timeout the caller has spent on
// earlier attempts: 0 for a first attempt, and for a caller that states none.
func (t callerTimeouts) spent(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	longest, ok := t[route]
	if !ok && len(t) >= maxRoutes {
		clear(t)
	}
	decayed := longest - time.Duration(timeoutDecay*float64(longest))
	t[route] = max(decayed, timeout)
	if longest-timeout < minRetryGap {
		return 0
	}
	return longest - timeout
}
