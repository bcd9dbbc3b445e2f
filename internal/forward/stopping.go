package forward

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

const (
	// acceptAllPeriod is how long a router accepts requests of any duration after
	// the signal to stop. By its end the platform sends no more callers to it.
	acceptAllPeriod = 2800 * time.Millisecond
	// plainTimeFactor is the longest duration of a request that is not a stream, in
	// multiples of its latency objective.
	plainTimeFactor = 4
	// lastAnswerTime is how long before the end of the process the requests without an answer get
	// one. Without it their callers would only see the connection end.
	lastAnswerTime = 100 * time.Millisecond
)

// errRouterEnds ends a request whose answer has not begun when the router ends.
var errRouterEnds = errors.New("router ends")

// endCause returns why the time of a request has ended: its deadline, or the end of the router.
func endCause(ctx context.Context) Cause {
	if errors.Is(context.Cause(ctx), errRouterEnds) {
		return CauseStopping
	}
	return CauseDeadline
}

// stopping is a graceful stop in progress.
type stopping struct {
	start time.Time
	// end is when the process ends, even with requests in progress.
	end time.Time
}

// accepts reports whether a stopping router accepts a request that arrives now.
// A stream may last longer than the remaining time, so after acceptAllPeriod only
// requests that are short enough are accepted.
func (s *stopping) accepts(now time.Time, r *routing.Route) bool {
	if now.Sub(s.start) < acceptAllPeriod {
		return true
	}
	if r.Kind == routing.Stream || r.Objective <= 0 {
		return false
	}
	return now.Add(plainTimeFactor * r.Objective).Before(s.end)
}
