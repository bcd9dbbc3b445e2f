package router

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/membership"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/order"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/status"
)

// ordersKey is the rendezvous key of the candidate for the lease of orders.
const ordersKey = "orders"

// orders connects the order manager to the control goroutine and the engines.
// Its methods are safe for concurrent use, except setPlan and withdraw, which
// only the control goroutine calls.
type orders struct {
	manager *order.Manager
	meter   *meter.Meter

	// candidate and plan are the values last passed to the manager.
	candidate bool
	plan      ordersPlan

	mu      sync.Mutex
	addrs   map[string]string
	clients map[string]engineOrders
}

// engineOrders is the client of an engine at an address.
type engineOrders struct {
	addr   string
	client *engineclient.Client
}

func (r *Router) provisionOrders() error {
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	o := &orders{meter: r.meter, clients: map[string]engineOrders{}}
	o.manager = order.New(order.Options{
		Name:   r.settings.VM,
		Log:    logstream.NewClient(r.settings.LogEndpoint, hc, r.meter, meter.Order, meter.Order),
		Clock:  r.clock,
		Events: r.events,
		Timing: r.options.Orders,
		Client: o.client,
	})
	r.orders = o
	return nil
}

// planOrders passes the engine states in the configuration in force to the order
// manager. Only a ready candidate does so: a router whose configuration is not
// current could restore an older one.
func (c *control) planOrders(s *state) {
	if !s.ordersCandidate || !s.entry.Ready {
		c.r.orders.withdraw()
		return
	}
	p := ordersPlan{Plan: order.Plan{States: map[order.Target]order.State{}}, addrs: map[string]string{}, down: map[string]bool{}}
	p.Budget.LoadsPerMinute, p.Budget.LoadsAtOnce = c.config.WeightLoadLimits()
	for name, pool := range c.config.Pools {
		if pool.EngineState != nil {
			p.addEngines(pool.EngineState, c.view.Engines[name])
		}
	}
	c.r.orders.setPlan(p)
}

// ordersPlan is a plan with the addresses of its engines and those that are down.
type ordersPlan struct {
	order.Plan
	addrs map[string]string
	down  map[string]bool
}

// addEngines plans the state of the engines of a pool. An engine that is down
// stays in the plan, because it may be down for lack of the model; a leaving one
// gets no orders.
func (p *ordersPlan) addEngines(engineState *record.EngineState, engines []membership.Engine) {
	for _, e := range engines {
		if e.State == membership.EngineLeaving {
			continue
		}
		p.addrs[e.VM.Name] = e.VM.Addr
		if e.State == membership.EngineDown {
			p.down[e.VM.Name] = true
		}
		p.States[order.Target{Engine: e.VM.Name, Model: engineState.Model}] = order.State{Version: engineState.Version, Role: engineState.Role}
	}
}

// mayHaveRestarted reports whether the engine may have lost its state since last:
// its address has changed, or it was down and is no longer.
func (p *ordersPlan) mayHaveRestarted(engine string, last *ordersPlan) bool {
	return last.addrs[engine] != p.addrs[engine] || last.down[engine] && !p.down[engine]
}

// withdraw ends the candidacy. A lease of this router is left to expire.
func (o *orders) withdraw() {
	if o.candidate {
		o.candidate = false
		o.manager.SetCandidate(false)
	}
}

// setPlan passes the plan to the manager if it has changed. It holds no lock while
// it calls the manager, whose goroutine calls client.
func (o *orders) setPlan(p ordersPlan) {
	last := o.plan
	o.plan = p
	o.setAddrs(p.addrs)
	o.setEngines(&p, &last)
	if p.Budget != last.Budget || !maps.Equal(p.States, last.States) {
		o.manager.SetPlan(p.Plan)
	}
	if !o.candidate {
		o.candidate = true
		o.manager.SetCandidate(true)
	}
}

// setEngines passes the list of engines to the manager. An engine that may have
// lost its state is removed and added again, so that its state is read at once.
func (o *orders) setEngines(p, last *ordersPlan) {
	var names, unchanged []string
	for name := range p.addrs {
		names = append(names, name)
		if !p.mayHaveRestarted(name, last) {
			unchanged = append(unchanged, name)
		}
	}
	if len(unchanged) == len(names) && len(names) == len(last.addrs) {
		return
	}
	o.manager.SetEngines(unchanged)
	o.manager.SetEngines(names)
}

// setAddrs replaces the addresses and closes clients whose address is no longer
// in use.
func (o *orders) setAddrs(addrs map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addrs = addrs
	for name, c := range o.clients {
		if addrs[name] != c.addr {
			c.client.Close()
			delete(o.clients, name)
		}
	}
}

// client returns the client of an engine, or nil when the engine is not in the
// plan.
func (o *orders) client(engine string) order.Client {
	o.mu.Lock()
	defer o.mu.Unlock()
	addr := o.addrs[engine]
	if addr == "" {
		return nil
	}
	if c, ok := o.clients[engine]; ok {
		return c.client
	}
	client := engineclient.New(engineclient.Options{BaseURL: "http://" + addr, Meter: o.meter})
	o.clients[engine] = engineOrders{addr: addr, client: client}
	return client
}

// status lists the orders under this router's lease.
func (o *orders) status(holder string) []status.Order {
	fencing, holds := o.manager.HoldsLease()
	if !holds {
		return nil
	}
	var list []status.Order
	for _, s := range o.manager.Orders() {
		list = append(list, status.Order{
			Engine: s.Engine, Model: s.Model,
			Unload: s.Desired.Unload, Version: s.Desired.Version, Role: s.Desired.Role,
			State: string(s.State), Fencing: fencing, Holder: holder,
		})
	}
	return list
}

func (o *orders) close() {
	_ = o.manager.Close()
	o.setAddrs(nil)
}
