package front

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Guards against a starting router that puts the store's configuration in force before
// any other router can have told it of a newer one, and against a wait at the first
// start of the whole system or after the wait is over.
func TestFirstConfigurationWaitsForADigest(t *testing.T) {
	for _, c := range []struct {
		name       string
		firstStart bool
		age        time.Duration
		held       bool
	}{
		{"just started", false, 0, true},
		{"started before the wait", false, firstDigestWait, false},
		{"first start of the system", true, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			callers, err := edge.Listen("127.0.0.1:0", nil, hclog.NewNullLogger())
			if err != nil {
				t.Fatal(err)
			}
			tr := newTracker(Platform{}, forward.NewState(forward.Limits{}), callers, event.Nop(), tally.NoopScope)
			tr.firstStart = c.firstStart
			tr.exchange, err = digest.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, true, &digestState{tracker: tr, progress: &tr.progress}, event.Nop())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				if err := tr.exchange.Close(); err != nil {
					t.Error(err)
				}
				if err := callers.Close(); err != nil {
					t.Error(err)
				}
			})
			// A start in the future keeps the wait open for as long as the test runs.
			tr.startedAt = time.Now().Add(time.Minute - c.age)
			if c.age > 0 {
				tr.startedAt = time.Now().Add(-c.age)
			}
			tr.activateConfig(configUpdate{config: routing.Config{Version: 3}, position: at(1)})
			if held := tr.state.Table() == nil; held != c.held || (tr.held != nil) != c.held {
				t.Fatalf("held back: %v, want %v", held, c.held)
			}
			tr.startedAt = time.Now().Add(-firstDigestWait)
			if tr.releaseHeld(); tr.state.Table() == nil || tr.held != nil {
				t.Error("held back after the wait")
			}
		})
	}
}

// Guards against an entry that another router sends and that has no effect here, after
// which each later change of that router looks as if one had been lost, and makes this
// one read the store.
func TestReceivedEntryWithoutEffectLeavesNoGap(t *testing.T) {
	tr := newTracker(Platform{}, forward.NewState(forward.Limits{}), nil, event.Nop(), tally.NoopScope)
	tr.listRead = true
	tr.publishChanges(tr.servers.Apply(time.Now(), []registry.Entry{{ID: "a", Position: at(1), Server: change("a", 1).New}}, time.Time{}), false)
	deliver(tr, digest.ServerChange{ID: "unknown", Position: at(5), Prev: at(1)})
	deliver(tr, digest.ServerChange{ID: "b", Position: at(7), Prev: at(5), Server: change("b", 7).New})
	if got := tr.progress.gapPosition(); got.Offset >= 0 {
		t.Errorf("gap at %s, want none", got)
	}
}
