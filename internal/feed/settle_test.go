package feed

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// Guards against a record that is read late although nothing was reported for long: a router waited for further ones each time,
// half a second that a configuration did not have when the readers were replaced before.
func TestReportAfterACalmTimeIsReadAtOnce(t *testing.T) {
	t.Parallel()
	const settle = 2 * time.Second
	for name, c := range map[string]struct {
		sinceCall time.Duration
		atLeast   time.Duration
		atMost    time.Duration
	}{
		"after a calm time": {settle, 0, settle / 2},
		"soon after a read": {settle / 4, settle / 2, 2 * settle},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := New(&scriptedSource{}, Options{
				Timing:       func() Timing { return Timing{Pause: time.Hour, Settle: settle} },
				PeerPosition: func() logpos.Position { return logpos.Position{Offset: 9} },
			}, &recorder{})
			f.position = position{next: logpos.Position{Offset: 5}, complete: true}
			f.calledAt = time.Now().Add(-c.sinceCall)
			start := time.Now()
			f.waitForNextCall(t.Context(), pauseFromTiming)
			if got := time.Since(start); got < c.atLeast || got > c.atMost {
				t.Errorf("read after %s, want %s to %s", got, c.atLeast, c.atMost)
			}
		})
	}
}
