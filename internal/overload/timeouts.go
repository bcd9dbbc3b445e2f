package overload

import "time"

const (
	// minRetryGap is how much shorter than usual a caller's patience must be to
	// show that it was refused before: half of the shortest wait that a refusal
	// asks for.
	minRetryGap = minRetryAfter / 2
	// timeoutDecay lowers the longest patience with each request, so that it
	// follows callers who wait less than they did.
	timeoutDecay = 1.0 / 4096
	// maxRoutes bounds the routes that are told apart.
	maxRoutes = 1024
)

// callerTimeouts is the longest time that callers of a route say they wait. Callers
// state what is left of it when they come back.
type callerTimeouts map[string]time.Duration

// retrying notes what a caller states, and reports whether it has waited before.
func (t callerTimeouts) retrying(route string, stated time.Duration) bool {
	if stated <= 0 {
		return false
	}
	longest, ok := t[route]
	if !ok && len(t) >= maxRoutes {
		clear(t)
	}
	decayed := longest - time.Duration(timeoutDecay*float64(longest))
	t[route] = max(decayed, stated)
	return longest-stated >= minRetryGap
}
