package order

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

func leaseData(holder string, after uint64) string {
	return encode(&peerpb.OrderRecord{Kind: &peerpb.OrderRecord_Lease{Lease: &peerpb.Lease{Holder: holder, DurationMs: 1000, After: after}}})
}

func startData(uid string, fencing uint64) string {
	return encode(&peerpb.OrderRecord{Kind: &peerpb.OrderRecord_LoadStart{LoadStart: &peerpb.LoadStart{Uid: uid, Engine: uid, Fencing: fencing}}})
}

func endData(uid string) string {
	return encode(&peerpb.OrderRecord{Kind: &peerpb.OrderRecord_LoadEnd{LoadEnd: &peerpb.LoadEnd{Uid: uid}}})
}

// Guards against a late copy of a record that restores an older lease, state or
// load, and against grants beyond the budget or without the lease.
func TestFoldRules(t *testing.T) {
	target := Target{Engine: "e", Model: "m"}
	state := func(version string, replaces uint64) string {
		return encode(desiredRecord(target, State{Version: version}, replaces))
	}
	start := time.UnixMilli(1_700_000_000_000)
	steps := []struct {
		name    string
		after   time.Duration
		data    string
		applied bool
	}{
		{"first lease", 0, leaseData("a", 0), true},
		{"lease without the predecessor", 0, leaseData("b", 0), false},
		{"lease with a later predecessor", 0, leaseData("b", 9), false},
		{"lease with the predecessor", 0, leaseData("b", 1), true},
		{"late copy of a lease", 0, leaseData("b", 1), false},
		{"first state", 0, state("v1", 0), true},
		{"second state", 0, state("v2", 6), true},
		{"late copy of a state", 0, state("v1", 0), false},
		{"grant under an old lease", 0, startData("x", 0), false},
		{"grant", 0, startData("x", 3), true},
		{"late copy of a grant", 0, startData("x", 3), false},
		{"second grant", 0, startData("y", 3), true},
		{"third grant while two loads run", 0, startData("z", 3), false},
		{"end", 0, endData("x"), true},
		{"late copy of an end", 0, endData("x"), false},
		{"third grant", time.Second, startData("z", 3), true},
		{"end of the third", 0, endData("z"), true},
		{"fourth grant in a minute", 59 * time.Second, startData("w", 3), false},
		{"fourth grant after the window", grantLifetime, startData("w", 3), true},
		{"grant while two loads run", time.Second, startData("v", 3), false},
		{"grant after the load limit", modelBudget.LoadLimit, startData("v", 3), true},
	}
	f := NewFold(modelBudget, 0)
	at := start
	for i, s := range steps {
		at = at.Add(s.after)
		if got := f.Apply(uint64(i), at, []byte(s.data)); got != s.applied {
			t.Errorf("%s: effect %t", s.name, got)
		}
	}
	if got, ok := f.Desired(target); !ok || got.Version != "v2" || f.lease.holder != "b" {
		t.Errorf("got state %+v and lease %+v, want v2 and holder b", got, f.lease)
	}
	late := NewFold(modelBudget, 6)
	late.Apply(6, start, []byte(state("v2", 6)))
	if got, ok := late.Desired(target); !ok || got.Version != "v2" {
		t.Errorf("a fold that starts at the log's floor has state %+v, want v2", got)
	}
}
