package testbed

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/order"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
	"github.com/bluebellwell/bluebellwell/internal/status"
)

// shortOrderTiming shortens the default times and meets the same constraints
// between them.
var shortOrderTiming = order.Timing{
	LeaseDuration: 3 * time.Second, Margin: 300 * time.Millisecond, SendTimeout: 500 * time.Millisecond,
	CheckInterval: 500 * time.Millisecond, PollInterval: 200 * time.Millisecond,
}

// publishEngineState publishes a record that replaces the one with the id
// replaces and gives the pool an engine state with the version id. If model is
// empty, the record has no engine state.
func publishEngineState(ctx context.Context, t *testing.T, b *Bed, id, replaces, model string) {
	t.Helper()
	engineState := ""
	if model != "" {
		engineState = fmt.Sprintf(`,"engine_state":{"model":%q,"version":%q,"role":"chat",
			"weight_loads_per_minute":100,"weight_loads_at_once":100}`, model, id)
	}
	rec := fmt.Sprintf(`{"schema_version":2,"id":%q,"author":"test","changes":[{"kind":"pool","name":%q,"replaces":%q,"spec":{
		"type":"engines","models":[%q,"other-chat"],"load_multiple_percent":125%s}}]}`,
		id, b.Profile.EnginePool, replaces, b.Profile.Model, engineState)
	if _, err := b.Log.Append(ctx, fleetconfig.StreamName, [][]byte{[]byte(rec)}); err != nil {
		t.Fatal(err)
	}
}

// countLoaded counts the engines that have loaded a version.
func countLoaded(b *Bed, version string) int {
	n := 0
	for _, e := range b.Engines() {
		for _, m := range e.OrdersState().Models {
			if m.Version == version && m.Role == "chat" {
				n++
			}
		}
	}
	return n
}

// countLoadOrders counts the load orders of a version that an engine received.
func countLoadOrders(e *enginesim.Engine, version string) (n int) {
	for _, o := range e.Orders() {
		if o.Kind == enginesim.OrderLoad && o.Version == version {
			n++
		}
	}
	return n
}

// orderHolder returns the router that reports orders in its status, and the
// orders.
func orderHolder(b *Bed) (*router.Router, []status.Order) {
	for _, r := range b.Routers() {
		if list := r.Status().Orders; len(list) > 0 {
			return r, list
		}
	}
	return nil, nil
}

func mustWait(ctx context.Context, t *testing.T, b *Bed, what string, cond func() bool) {
	t.Helper()
	if err := b.Wait(ctx, cond); err != nil {
		_, list := orderHolder(b)
		t.Fatalf("%s: %v; orders %+v", what, err, list)
	}
}

// Guards against a published version that does not reach every engine or is
// loaded twice, when an engine joins, the holder of the order lease crashes, an
// answer is lost or an order of a previous holder arrives late.
func TestOrdersReachEveryEngine(t *testing.T) {
	const v2, staleOrder = "v2", "late order of a previous holder"
	cases := []struct {
		name  string
		fault func(ctx context.Context, t *testing.T, b *Bed)
	}{
		{"none", func(context.Context, *testing.T, *Bed) {}},
		{"engine joins later", func(ctx context.Context, t *testing.T, b *Bed) {
			mustWait(ctx, t, b, "loads", func() bool { return countLoaded(b, v2) == len(b.Engines()) })
			if _, err := b.AddEngine(); err != nil {
				t.Fatal(err)
			}
		}},
		{"holder crashes after the first load", func(ctx context.Context, t *testing.T, b *Bed) {
			mustWait(ctx, t, b, "first load", func() bool { return countLoaded(b, v2) > 0 })
			old, list := orderHolder(b)
			if old == nil {
				t.Fatal("no router reports orders")
			}
			b.KillRouter(old.VM())
			late, err := b.AddEngine()
			if err != nil {
				t.Fatal(err)
			}
			mustWait(ctx, t, b, "next holder", func() bool { return countLoadOrders(late, v2) > 0 })
			if next := late.Orders()[0].Fencing; next <= list[0].Fencing {
				t.Errorf("the next holder has fencing number %d, want one above %d", next, list[0].Fencing)
			}
		}},
		{staleOrder, func(ctx context.Context, t *testing.T, b *Bed) {
			mustWait(ctx, t, b, "loads", func() bool { return countLoaded(b, v2) == len(b.Engines()) })
			e := SortedByKey(b.Engines())[0]
			client := engineclient.New(engineclient.Options{BaseURL: "http://" + e.Addr()})
			defer client.Close()
			late := engineclient.Order{OrderID: "0", Kind: "load", Model: b.Profile.Model, Version: "v0", Role: "chat"}
			if _, err := client.Order(ctx, late); err != nil {
				t.Fatal(err)
			}
			mustWait(ctx, t, b, "repair", func() bool {
				_, list := orderHolder(b)
				return slices.ContainsFunc(list, func(o status.Order) bool { return o.State == string(statechart.OrderRepaired) })
			})
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			// Only an engine that ignores fencing numbers executes the late order.
			engine := fastEngine
			engine.CheckFencing = tc.name != staleOrder
			b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 3, Engines: 3, Backends: 1, Engine: engine, Orders: shortOrderTiming})
			lossy := SortedByKey(b.Engines())[1]
			lossy.SetFaults(enginesim.Faults{DropOrderAnswer: true})
			publishEngineState(ctx, t, b, v2, "lam-dong-pools-1", b.Profile.Model)
			tc.fault(ctx, t, b)
			n := len(b.Engines())
			mustWait(ctx, t, b, "all engines", func() bool { _, l := orderHolder(b); return countLoaded(b, v2) == n && len(l) == n })
			if n := countLoadOrders(lossy, v2); n != 1 {
				t.Errorf("the engine whose answers are lost got %d load orders, want 1", n)
			}
		})
	}
}

// Guards against more weight loads than the configuration in force allows, and
// against a raised limit that has no effect.
func TestWeightLoadBudget(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 3, Engines: 8, Backends: 1, Engine: fastEngine, Orders: shortOrderTiming})
	total := func() (n int) {
		for _, e := range b.Engines() {
			n += countLoadOrders(e, "malli-chat-2026-11")
		}
		return n
	}
	// The example records allow 6 loads a minute.
	mustWait(ctx, t, b, "loads up to the limit", func() bool { return total() >= 6 })
	_, list := orderHolder(b)
	firstFencing := list[0].Fencing
	mustWait(ctx, t, b, "renewals", func() bool { _, l := orderHolder(b); return len(l) > 0 && l[0].Fencing > firstFencing+2 })
	if n := total(); n != 6 {
		t.Errorf("%d loads with a limit of 6 a minute", n)
	}
	publishEngineState(ctx, t, b, "raised", "thekkady-pools-1", b.Profile.Model)
	mustWait(ctx, t, b, "loads with the raised limit", func() bool { return countLoaded(b, "raised") == 8 })
}

// Guards against orders to engines that leave or whose pool has no engine state,
// and against a model that stays loaded after the pool's engine state names
// another one.
func TestOrdersReachOnlyEnginesWithAnEngineState(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 2, Engines: 2, Backends: 1, Engine: fastEngine, Orders: shortOrderTiming})
	ordersShown := func(n int) bool { _, list := orderHolder(b); return len(list) == n }
	mustWait(ctx, t, b, "loads", func() bool { return countLoaded(b, "assistant-chat-2026-10") == 2 && ordersShown(2) })
	leaving, remaining := SortedByKey(b.Engines())[0], SortedByKey(b.Engines())[1]
	b.MarkLeaving(leaving.Name())
	mustWait(ctx, t, b, "no orders for the leaving engine", func() bool { return ordersShown(1) })
	orders := len(leaving.Orders())
	publishEngineState(ctx, t, b, "v2", "lam-dong-pools-1", "other-chat")
	mustWait(ctx, t, b, "other model", func() bool { m := remaining.OrdersState().Models; return len(m) == 1 && m[0].Model == "other-chat" })
	publishEngineState(ctx, t, b, "v3", "v2", "")
	mustWait(ctx, t, b, "no orders", func() bool { return ordersShown(0) })
	orders += len(remaining.Orders())
	// After the restart the engine has no models: a router that still has an order
	// for it would send the order again.
	remaining.Crash()
	if err := remaining.Restart(); err != nil {
		t.Fatal(err)
	}
	head := len(b.Log.Records(order.StreamName))
	mustWait(ctx, t, b, "renewals", func() bool { return len(b.Log.Records(order.StreamName)) > head+2 })
	if n := len(leaving.Orders()) + len(remaining.Orders()); n != orders {
		t.Errorf("the engines received %d orders, want %d", n, orders)
	}
}
