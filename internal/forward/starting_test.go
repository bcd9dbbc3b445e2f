package forward

import (
	"net/http"
	"testing"
	"time"
)

// startingBed returns a router that has no configuration yet and lets requests wait for it, and a function that gives it one.
func startingBed(t *testing.T, wait time.Duration) (b *bed, begin func()) {
	t.Helper()
	b = newBed(t, bedOptions{}, ok("answer"))
	table := b.state.Table()
	b.state.SetTable(nil)
	b.state.WaitUntilReady(time.Now().Add(wait))
	return b, func() {
		b.state.SetTable(table)
		b.state.SetReady()
	}
}

// Guards against a router that refuses all callers in the second after a restart of the whole fleet, when no other router can
// serve them either and most of them retry once: 2,093 refusals of a day with a large configuration.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	t.Parallel()
	b, begin := startingBed(t, bedWait)
	time.AfterFunc(200*time.Millisecond, begin)
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Errorf("status %d, want %d", got.status, http.StatusOK)
	}
}

// Guards against callers that wait for a configuration which does not come, or for longer than they can spare.
func TestWaitForTheFirstConfigurationIsBounded(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		wait     time.Duration
		deadline string
		atMost   time.Duration
	}{
		"a while after the start": {-time.Second, "", bedWait / 4},
		"until a time":            {200 * time.Millisecond, "", bedWait / 4},
		"half of the caller's":    {bedWait, "600ms", bedWait / 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, _ := startingBed(t, c.wait)
			begun := time.Now()
			got := b.send(ask{header: http.Header{"Deadline": {c.deadline}}})
			if took := time.Since(begun); got.status != http.StatusServiceUnavailable || took > c.atMost {
				t.Errorf("status %d after %v, want %d within %v", got.status, took, http.StatusServiceUnavailable, c.atMost)
			}
		})
	}
}

// Guards against a router whose memory the waiting requests of a whole fleet's callers fill.
func TestFewRequestsWaitForTheFirstConfiguration(t *testing.T) {
	t.Parallel()
	b, _ := startingBed(t, bedWait)
	b.state.start.waiting.Store(maxWaitingAtStart)
	begun := time.Now()
	got := b.send(ask{})
	if took := time.Since(begun); got.status != http.StatusServiceUnavailable || took > bedWait/4 {
		t.Errorf("status %d after %v, want %d at once", got.status, took, http.StatusServiceUnavailable)
	}
}
