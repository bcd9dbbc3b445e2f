package testbed

import (
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
)

// Guards against a configuration that is lost or reverts when every router is
// replaced during an outage of the log, and when the log is available again.
func TestConfigurationSurvivesRouterReplacement(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 3, Engines: 2, Backends: 1, Engine: fastEngine})
	want := SortedByKey(b.Routers())[0].Status().Config
	replaced := SortedByKey(b.Routers())
	b.Log.SetDown(true)
	for _, r := range replaced {
		if _, err := b.StartRouter(); err != nil {
			t.Fatal(err)
		}
		if err := b.WaitReady(ctx); err != nil {
			t.Fatalf("while the log is down: %v", err)
		}
		if err := b.StopRouter(ctx, r.VM()); err != nil {
			t.Fatal(err)
		}
	}
	check := func(when string, next uint64) {
		t.Helper()
		for _, r := range SortedByKey(b.Routers()) {
			got := r.Status().Config
			if got.NextOffset != next || got.Pools != want.Pools || got.Workspaces != want.Workspaces {
				t.Errorf("%s: router %s has %+v, want the state of %+v at %d", when, r.VM(), got, want, next)
			}
		}
	}
	check("during the outage", want.NextOffset)
	b.Log.SetDown(false)
	record := `{"schema_version":1,"id":"after-outage","author":"test","changes":[` +
		`{"kind":"workspace","name":"late-workspace","spec":{}}]}`
	if _, err := b.Log.Append(ctx, fleetconfig.StreamName, [][]byte{[]byte(record)}); err != nil {
		t.Fatal(err)
	}
	err := b.Wait(ctx, func() bool {
		for _, r := range b.Routers() {
			if r.Status().Config.NextOffset != want.NextOffset+1 {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	want.Workspaces++
	check("after the outage", want.NextOffset+1)
}

// Guards against a router that stays ready while it reaches neither the log nor
// most routers: it cannot check whether its configuration is current.
func TestRouterWithoutLogAndPeersIsNotReady(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 3, Engines: 1, Backends: 1, Engine: fastEngine})
	routers := SortedByKey(b.Routers())
	b.Log.SetDown(true)
	for _, r := range routers[1:] {
		b.KillRouter(r.VM())
	}
	err := b.Wait(ctx, func() bool { return !routers[0].Status().Ready })
	if err != nil {
		t.Fatalf("the router stays ready without the log and its peers: %v", err)
	}
}
