package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// Guards against streams that are refused in the first second after a restart of all routers, although an engine has
// their prompt cached and says so a moment later: 120 of 231 refusals of a day. Likewise at the only router that has survived:
// 39 of 60 refusals of another day.
func TestStreamWaitsForTheInventoryAfterARestart(t *testing.T) {
	for name, c := range map[string]struct {
		version string
		want    int
	}{
		"an engine has its prompt":                          {"v1", http.StatusOK},
		"an engine of another version, which has gone, has": {"v0", http.StatusServiceUnavailable},
		"no engine has it":                                  {"", http.StatusServiceUnavailable},
	} {
		for _, survivor := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, survivor %t", name, survivor), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					b := newBed(t, bedOptions{virtual: true, servers: 2, route: resumableRoute}, ok(wholeEvent))
					b.versioned("v1", "v1")
					var known atomic.Bool
					b.state.SetPlacementsKnown(func() bool { return survivor || known.Load() })
					b.state.SetVersionsPending(func() bool { return survivor && !known.Load() })
					time.AfterFunc(300*time.Millisecond, func() {
						if c.version != "" {
							stream := streamversion.StreamOfPart(prefixHash("m", 1))
							b.state.RecordStreams([]streamversion.Record{{Stream: stream, Version: streamversion.VersionOf(c.version)}}, streamversion.Source{})
						}
						known.Store(true)
					})
					if got := b.send(ask{header: lastPart(1)}); got.status != c.want {
						t.Errorf("status %d, want %d", got.status, c.want)
					}
				})
			})
		}
	}
}

// Guards against callers that wait for an inventory which does not come, or which nothing can add to.
func TestStreamWaitsForTheInventoryForASecondAtMost(t *testing.T) {
	for name, c := range map[string]struct {
		placementsKnown bool
		deadline        string
		atLeast, atMost time.Duration
	}{
		"placements known":    {true, "", 0, 400 * time.Millisecond},
		"no inventory":        {false, "", maxVersionWait, maxVersionWait + 800*time.Millisecond},
		"the caller is short": {false, "600ms", 100 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newBed(t, bedOptions{virtual: true, servers: 2, route: resumableRoute}, ok(wholeEvent))
				b.versioned("v1", "v1")
				b.state.SetPlacementsKnown(func() bool { return c.placementsKnown })
				header := lastPart(1)
				if c.deadline != "" {
					header.Set("Deadline", c.deadline)
				}
				begun := time.Now()
				got := b.send(ask{header: header})
				if took := time.Since(begun); got.status != http.StatusServiceUnavailable || took < c.atLeast || took > c.atMost {
					t.Errorf("status %d after %v, want a refusal after %v to %v", got.status, took, c.atLeast, c.atMost)
				}
				b.expectLog(map[string]any{"cause": CauseVersionUnknown})
			})
		})
	}
}

// Guards against callers that wait past their deadline on a busy VM, because the wait counts its checks instead of the time.
func TestWaitForTheInventoryCountsTimeInSlowChecks(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const checkTime, deadline = 50 * time.Millisecond, 2 * time.Second
		b := newBed(t, bedOptions{virtual: true, servers: 2, route: resumableRoute}, ok(wholeEvent))
		b.versioned("v1", "v1")
		b.state.SetPlacementsKnown(func() bool {
			time.Sleep(checkTime)
			return false
		})
		header := lastPart(1)
		header.Set("Deadline", deadline.String())
		begun := time.Now()
		got := b.send(ask{header: header})
		if took := time.Since(begun); got.status != http.StatusServiceUnavailable || took > deadline {
			t.Errorf("status %d after %v, want a refusal before %v", got.status, took, deadline)
		}
	})
}

// Guards against callers that wait past their deadline for the version of their stream, because questions are slow on a busy VM or
// the store does not answer.
func TestVersionIsLookedForBeforeTheDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Duration
		prepare  func(b *bed, f *fleetStreams)
	}{
		"slow questions": {2 * time.Second, func(b *bed, f *fleetStreams) {
			f.askTime = 120 * time.Millisecond
			b.state.SetPlacementsKnown(func() bool { return false })
		}},
		"the store does not answer": {time.Second, func(b *bed, f *fleetStreams) {
			f.others, f.readsStore, f.readsAgain = true, true, time.Now().Add(time.Hour)
			b.state.SetFirstStart()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newBed(t, bedOptions{virtual: true, servers: 2, route: resumableRoute}, ok(wholeEvent))
				c.prepare(b, b.versioned("v1", "v1"))
				header := lastPart(1)
				header.Set("Deadline", c.deadline.String())
				begun := time.Now()
				got := b.send(ask{header: header})
				if took := time.Since(begun); got.status != http.StatusServiceUnavailable || took > c.deadline {
					t.Errorf("status %d after %v, want a refusal before %v", got.status, took, c.deadline)
				}
				b.expectLog(map[string]any{"cause": CauseVersionUnknown})
			})
		})
	}
}
