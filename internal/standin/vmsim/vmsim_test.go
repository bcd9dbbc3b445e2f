package vmsim

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

func engine(name string) vmlist.VM {
	return vmlist.VM{
		Name: name, Role: vmlist.RoleEngine, Pool: "malli-llm", DataCentre: "kochi-hall-a",
		Addr: "127.0.0.1:9000", State: vmlist.StateLive,
	}
}

// Guards against a list client and a stand-in that don't agree on the protocol:
// lag, outage, a view per client, and an unchanged list without a body.
func TestContract(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cases := []struct {
		name   string
		viewer string
		change func(l *List)
		want   []string
		err    error
	}{
		{name: "live VMs", change: func(*List) {}, want: []string{"e1", "e2"}},
		{name: "removed VM", change: func(l *List) { l.Remove("e1") }, want: []string{"e2"}},
		{name: "a lagging change is not visible", change: func(l *List) {
			l.SetLag(time.Minute)
			l.Remove("e1")
		}, want: []string{"e1", "e2"}},
		{name: "a lagging change becomes visible", change: func(l *List) {
			l.SetLag(time.Second)
			l.Remove("e1")
			clock.Advance(time.Second)
		}, want: []string{"e2"}},
		{name: "own view", viewer: "/view/r1", change: func(l *List) { l.Hide("r1", "e2", true) }, want: []string{"e1"}},
		{name: "outage", change: func(l *List) { l.SetDown(true) }, err: vmlist.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(clock)
			l.Set(engine("e1"))
			l.Set(engine("e2"))
			server := httptest.NewServer(l.Handler())
			defer server.Close()
			c.change(l)
			client := vmlist.NewClient(server.URL+c.viewer, http.DefaultClient, &meter.Meter{})
			for range 2 {
				list, err := client.Fetch(context.Background())
				checkList(t, list, err, c.want, c.err)
			}
		})
	}
}

func checkList(t *testing.T, list *vmlist.List, err error, want []string, wantErr error) {
	t.Helper()
	if !errors.Is(err, wantErr) {
		t.Fatalf("error %v, want %v", err, wantErr)
	}
	if wantErr != nil {
		return
	}
	if len(list.VMs) != len(want) {
		t.Fatalf("got %d VMs, want %v", len(list.VMs), want)
	}
	for i, vm := range list.VMs {
		if vm.Name != want[i] {
			t.Fatalf("VM %d is %s, want %s", i, vm.Name, want[i])
		}
	}
}

// Guards against a list that violates the protocol and is accepted.
func TestDecodeRefusesBadLists(t *testing.T) {
	for _, body := range []string{
		`{`,
		`{"version":1,"vms":[{"name":"","role":"engine"}]}`,
		`{"version":1,"vms":[{"name":"e","role":"engine","pool":"p","addr":"host:1","state":"live"}]}`,
		`{"version":1,"vms":[{"name":"e","role":"engine","pool":"p","addr":"127.0.0.1:1","state":"gone"}]}`,
		`{"version":1,"vms":[{"name":"e","role":"engine","pool":"p","addr":"127.0.0.1:1","state":"live"},` +
			`{"name":"e","role":"engine","pool":"p","addr":"127.0.0.1:2","state":"live"}]}`,
		"{\"version\":1,\"vms\":[]}\xff",
	} {
		if _, err := vmlist.Decode([]byte(body)); !errors.Is(err, vmlist.ErrInvalid) {
			t.Errorf("%q: error %v, want ErrInvalid", body, err)
		}
	}
}
