package router

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/membership"
	"github.com/bluebellwell/bluebellwell/internal/ownership"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// BenchmarkPublish publishes a snapshot of an unchanged state, as the control
// goroutine does for each message and each tick. The router owns no pools and is
// not listed, so that it sends nothing.
func BenchmarkPublish(b *testing.B) {
	for _, size := range []struct{ routers, engines, pools, workspaces int }{
		{8, 18, 2, 10}, {57, 234, 7, 38000}, {340, 1400, 42, 38000},
	} {
		b.Run(fmt.Sprintf("routers=%d/engines=%d/pools=%d", size.routers, size.engines, size.pools), func(b *testing.B) {
			r := benchRouter(b)
			c := &control{
				r: r, lifecycle: statechart.NewMachine(statechart.Router()),
				membership: membership.New(r.settings.VM, r.bootID), view: &membership.View{},
				ownership: ownership.New(r.clock.Now(), r.settings.VM, r.bootID),
				shares:    map[string]ownership.Share{}, config: record.NewConfig(),
			}
			list := &vmlist.List{Version: 1}
			for i := range size.routers {
				list.VMs = append(list.VMs, vmlist.VM{Name: fmt.Sprintf("entry-%d", i), Role: vmlist.RoleRouter, PeerAddr: "127.0.0.1:1", State: vmlist.StateLive})
			}
			for i := range size.engines {
				pool := fmt.Sprintf("pool-%d", i%size.pools)
				c.config.Pools[pool] = &record.Pool{Name: pool, Type: record.PoolEngines}
				list.VMs = append(list.VMs, vmlist.VM{Name: fmt.Sprintf("engine-%d", i), Role: vmlist.RoleEngine, Pool: pool, Addr: "127.0.0.1:1", State: vmlist.StateLive})
			}
			for i := range size.workspaces {
				name := fmt.Sprintf("workspace-%d", i)
				c.config.Workspaces[name] = &record.Workspace{Name: name}
			}
			now := r.clock.Now()
			c.membership.SetList(now, list)
			b.ReportAllocs()
			for b.Loop() {
				c.publish(now)
			}
			if len(r.state().owners) != size.pools {
				b.Fatalf("%d pools have an owner", len(r.state().owners))
			}
		})
	}
}

func benchRouter(b *testing.B) *Router {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	r, err := New(&settings.Settings{
		VM: "entry-self", DataCentre: "dc", ListenCallers: loopback, ListenPeers: loopback,
		LogEndpoint: "http://127.0.0.1:1", VMListEndpoint: "http://127.0.0.1:1", FleetKey: settings.Key{1},
		Limits:  settings.Limits{MaxBodyBytes: settings.DefaultMaxBodyBytes, MaxCallers: settings.DefaultMaxCallers},
		Intents: settings.Intents{Streams: settings.DefaultIntentStreams, KeyWindow: settings.DefaultKeyWindow},
		Metrics: settings.Metrics{ReportInterval: time.Second},
	}, event.Nop(), Options{})
	if err != nil {
		b.Fatal(err)
	}
	r.peers.Start(r)
	b.Cleanup(func() {
		_ = r.listener.Close()
		_ = r.guard.Close()
		_ = r.peers.Close()
		_ = r.metrics.Close()
	})
	return r
}
