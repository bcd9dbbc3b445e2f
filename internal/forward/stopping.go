package forward

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

const (
	// takeLong is how long after the signal to stop a request of any length is
	// taken. By then the platform sends no more callers to this router.
	takeLong = 2800 * time.Millisecond
	// plainFactor is the longest time of a request that is not a stream, in objectives.
	plainFactor = 4
)

// stopping is a graceful stop in progress.
type stopping struct {
	began time.Time
	// end is when the process ends, whatever is in progress.
	end time.Time
}

// takes reports whether a stopping router takes a request that arrives now.
// A stream may last longer than the time that is left, so after takeLong only
// requests that are short enough are taken.
func (s *stopping) takes(now time.Time, r *routing.Route) bool {
	if now.Sub(s.began) < takeLong {
		return true
	}
	if r.Kind == routing.Stream || r.Objective <= 0 {
		return false
	}
	return now.Add(plainFactor * r.Objective).Before(s.end)
}
