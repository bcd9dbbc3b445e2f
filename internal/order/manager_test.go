package order

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// signalClient notifies the test after each read of an engine's state.
type signalClient struct {
	Client
	changed chan struct{}
}

func (c signalClient) OrdersState(ctx context.Context) (engineclient.OrdersState, error) {
	defer func() {
		select {
		case c.changed <- struct{}{}:
		default:
		}
	}()
	return c.Client.OrdersState(ctx)
}

// Guards against an order that is sent again, with its weight load, although
// reading the state would resolve a lost answer; against a late order of an
// earlier holder that stays in effect; and against two managers that hold the
// lease.
func TestManagerOverHTTP(t *testing.T) {
	ctx := context.Background()
	log := logsim.New(logsim.Options{})
	changed := make(chan struct{}, 1)
	engines := map[string]*enginesim.Engine{}
	clients := map[string]Client{}
	for _, name := range []string{"checks", "ignores"} {
		e := enginesim.New(enginesim.Config{Name: name, CheckFencing: name == "checks"})
		defer e.Close()
		addr, err := e.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		client := engineclient.New(engineclient.Options{BaseURL: "http://" + addr})
		defer client.Close()
		engines[name], clients[name] = e, signalClient{client, changed}
	}
	newManager := func(name string) *Manager {
		m := New(Options{Name: name, Log: log, Timing: Timing{CheckInterval: 20 * time.Millisecond},
			Client: func(engine string) Client { return clients[engine] }})
		m.SetEngines([]string{"checks", "ignores"})
		m.SetCandidate(true)
		return m
	}
	first := newManager("r1")
	defer func() { _ = first.Close() }()
	engines["ignores"].SetFaults(enginesim.Faults{DropOrderAnswer: true})
	for name := range engines {
		if err := first.SetDesired(ctx, Target{Engine: name, Model: "malli"}, State{Version: "v2", Role: "chat"}); err != nil {
			t.Fatal(err)
		}
	}
	waitFor := func(cond func(Status) bool) {
		for {
			met := 0
			for _, s := range first.Orders() {
				if cond(s) {
					met++
				}
			}
			if met == len(engines) {
				return
			}
			<-changed
		}
	}
	waitFor(func(s Status) bool { return s.State == statechart.OrderConfirmed })
	for name, e := range engines {
		if n := len(e.Orders()); n != 1 {
			t.Errorf("engine %s got %d orders, want 1: %+v", name, n, e.Orders())
		}
	}
	second := newManager("r2")
	defer func() { _ = second.Close() }()
	engines["ignores"].SetFaults(enginesim.Faults{})
	late := engineclient.Order{OrderID: "0", Kind: kindLoad, Model: "malli", Version: "v1", Role: "chat"}
	if _, err := clients["ignores"].Order(ctx, late); err != nil {
		t.Fatal(err)
	}
	waitFor(func(s Status) bool { return s.Engine == "checks" || s.State == statechart.OrderRepaired })
	if got := engines["ignores"].OrdersState().Models; len(got) != 1 || got[0].Version != "v2" {
		t.Errorf("the engine has %+v after a late order, want only version v2", got)
	}
	fencing, holds := first.HoldsLease()
	if _, other := second.HoldsLease(); !holds || other {
		t.Errorf("first manager holds the lease: %t, second: %t; want only the first", holds, other)
	}
	if got := engines["checks"].OrdersState().Fencing; got > fencing {
		t.Errorf("engine has fencing number %d, above that of the lease, %d", got, fencing)
	}
}
