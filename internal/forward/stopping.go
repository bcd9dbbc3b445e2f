package forward

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

const (
	// acceptAllPeriod is how long after the signal to stop a request of any length is
	// taken. By then the platform sends no more callers to this router.
	acceptAllPeriod = 2800 * time.Millisecond
	// plainTimeFactor is the longest time of a request that is not a stream, in objectives.
	plainTimeFactor = 4
)

// stopping is a graceful stop in progress.
type stopping struct {
	began time.Time
	// end is when the process ends, whatever is in progress.
	end time.Time
}

// accepts reports whether a stopping router takes a request that arrives now.
// A stream may last longer than the time that is left, so after takeLong only
// requests that are short enough are taken.
func (s *stopping) accepts(now time.Time, r *routing.Route) bool {
	if now.Sub(s.began) < acceptAllPeriod {
		return true
	}
	if r.Kind == routing.Stream || r.Objective <= 0 {
		return false
	}
	return now.Add(plainTimeFactor * r.Objective).Before(s.end)
}
