// Package wakeup lets a goroutine wait for a time of an injected clock, for a
// signal or for its stop, whichever comes first.
package wakeup

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Wait returns when clock reaches due, or after a value from wake, or when
// stopped is closed. The zero due sets no time limit. It reports whether stopped
// is still open. It is safe for concurrent use.
func Wait(clock clockwork.Clock, due time.Time, wake, stopped <-chan struct{}) bool {
	var reached <-chan time.Time
	if !due.IsZero() {
		timer := clock.NewTimer(due.Sub(clock.Now()))
		defer timer.Stop()
		reached = timer.Chan()
		// The timer counts from its start, which may be after due.
		if !clock.Now().Before(due) {
			return true
		}
	}
	select {
	case <-stopped:
		return false
	case <-wake:
	case <-reached:
	}
	return true
}
