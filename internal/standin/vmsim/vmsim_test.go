package vmsim

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

var engine = vmlist.VM{Name: "e1", Role: "engine", Pool: "p", DataCentre: "a", Addr: "127.0.0.1:1", State: "live"}

// Guards against a client that misses a change, downloads an unchanged list or
// loses its list in an outage, and against switches without effect.
func TestClientSeesSwitches(t *testing.T) {
	clock := clockwork.NewFakeClock()
	sim := New(clock, engine)
	server := httptest.NewServer(sim)
	defer server.Close()
	m := &meter.Meter{}
	c := vmlist.NewClient(server.URL, nil, m)
	expect := func(step string, wantChanged bool, version uint64, state string) {
		t.Helper()
		before := m.Total()
		list, changed, err := c.Fetch(t.Context())
		if err != nil || changed != wantChanged || list.Version != version || list.VMs[0].State != state {
			t.Fatalf("%s: %v, %v, %v", step, list, changed, err)
		}
		if spent := m.Total() - before; spent < 4*meter.TCPFrameBytes+100 || (!changed && spent > 600) {
			t.Fatalf("%s: metered %d bytes", step, spent)
		}
	}
	expect("first", true, 1, "live")
	expect("unchanged", false, 1, "live")
	sim.SetLag(time.Second)
	sim.SetLeaving("e1")
	expect("lagging", false, 1, "live")
	clock.Advance(time.Second)
	expect("after the lag", true, 2, "leaving")
	sim.SetDown(true)
	if _, _, err := c.Fetch(t.Context()); !errors.Is(err, vmlist.ErrStatus) {
		t.Fatalf("down: %v", err)
	}
	sim.SetDown(false)
	expect("back", false, 2, "leaving")
	sim.Pin("127.0.0.1", vmlist.List{Version: 9, VMs: []vmlist.VM{engine}})
	expect("own view", true, 9, "live")
	sim.Unpin("127.0.0.1")
	expect("common view", true, 2, "leaving")
}

// Guards against lists that pass the checks and break a later component.
func TestDecodeRejects(t *testing.T) {
	good := `{"version":1,"vms":[{"name":"a","role":"router","data_centre":"d","addr":"10.0.0.1:80","peer_addr":"10.0.0.1:81","state":"live"}]}`
	if _, err := vmlist.Decode([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, change := range []struct{ old, new string }{
		{`"version"`, `"versions"`}, {`"live"`, `"gone"`}, {`"router"`, `"engine"`}, {`"router"`, `"switch"`},
		{`"name":"a"`, `"name":""`}, {`10.0.0.1:80`, `host:80`}, {`10.0.0.1:81`, ``}, {`]}`, `]} x`}, {`"d"`, "\"\xff\""},
		{`[{`, `[{"name":"a","role":"engine","pool":"p","addr":"10.0.0.1:80","state":"live"},{`},
	} {
		if _, err := vmlist.Decode([]byte(strings.Replace(good, change.old, change.new, 1))); !errors.Is(err, vmlist.ErrInvalid) {
			t.Errorf("%s for %s: %v", change.new, change.old, err)
		}
	}
	big := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, vmlist.MaxBodyBytes+10))
	}))
	defer big.Close()
	if _, _, err := vmlist.NewClient(big.URL, nil, &meter.Meter{}).Fetch(t.Context()); !errors.Is(err, vmlist.ErrTooLarge) {
		t.Errorf("oversized list: %v", err)
	}
}
