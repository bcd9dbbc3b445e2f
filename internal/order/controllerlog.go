package order

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// nextLogOp returns the next call to the log.
func (c *controller) nextLogOp(now time.Time) op {
	if !c.candidate && c.number == 0 && c.journal.idle() {
		return op{wakeAt: now.Add(c.timing.PollInterval)}
	}
	if c.journal.current {
		c.requestLease(now)
		if c.holds(now) {
			c.recordPlan()
			c.reconcile(now)
			c.refresh(now)
		}
	}
	o := c.journal.nextOp(now)
	if at := c.leaseRequestAt(); o.kind == opNone && at.After(now) && at.Before(o.wakeAt) {
		o.wakeAt = at
	}
	return o
}

// requestLease requests the lease when it is free, and renews it in time.
func (c *controller) requestLease(now time.Time) {
	if !c.candidate || c.leasePending || now.Before(c.leaseRequestAt()) {
		return
	}
	c.leasePending = true
	record := &peerpb.OrderRecord{Kind: &peerpb.OrderRecord_Lease{Lease: &peerpb.Lease{
		Holder:     c.name,
		DurationMs: uint32(c.timing.LeaseDuration.Milliseconds()),
		After:      c.fold().lease.number,
	}}}
	c.journal.add(encode(record), func(sent time.Time, applied bool) {
		c.leasePending = false
		if applied {
			c.startLease(sent)
		}
	})
}

// setCandidate sets whether this router wants the lease. A router that was not a
// candidate has not read the stream and must do so first.
func (c *controller) setCandidate(on bool) {
	if on && !c.candidate {
		c.journal.current = false
	}
	c.candidate = on
}

func (c *controller) setPlan(p Plan) {
	c.plan = p
	c.plannedEngines = map[string]bool{}
	for t := range p.States {
		c.plannedEngines[t.Engine] = true
	}
}

// recordPlan appends the planned states that differ from the desired ones. A
// model that was desired earlier and is no longer planned is unloaded.
func (c *controller) recordPlan() {
	if !c.candidate {
		return
	}
	for t, s := range c.plan.States {
		if have, ok := c.fold().Desired(t); !ok || have != s {
			c.recordState(t, s)
		}
	}
	for t, d := range c.fold().desired {
		_, planned := c.plan.States[t]
		if !planned && !d.Unload && c.plannedEngines[t.Engine] {
			c.recordState(t, State{Unload: true})
		}
	}
}

func (c *controller) recordState(t Target, s State) {
	if c.recordingTargets[t] {
		return
	}
	c.recordingTargets[t] = true
	c.setDesired(t, s, func(bool) { delete(c.recordingTargets, t) })
}

// leaseRequestAt returns the time from which this router may request or renew
// the lease.
func (c *controller) leaseRequestAt() time.Time {
	l := c.fold().lease
	switch {
	case l.number == 0:
		return time.Time{}
	case l.number == c.number:
		return c.validUntil.Add(-2 * c.timing.LeaseDuration / 3)
	}
	return c.observedAt.Add(l.duration + c.timing.Margin)
}

// startLease starts or renews this router's lease. The validity counts from
// before the first append of the record. The orders of an earlier lease were
// dropped when that lease was lost.
func (c *controller) startLease(sent time.Time) {
	c.number = c.fold().lease.number
	c.validUntil = sent.Add(c.timing.LeaseDuration)
}

// dropOrders ends and drops all orders of a lost lease.
func (c *controller) dropOrders() {
	c.term++
	for _, e := range c.engines {
		e.fireAll(statechart.OrderLeaseLostEvent)
		e.orders = map[string]*modelOrder{}
		e.stateValid = false
	}
}

// handleLogRead runs handle, which processes the result of a read, and then
// checks whether the lease has changed.
func (c *controller) handleLogRead(now time.Time, handle func()) {
	handle()
	if number := c.fold().lease.number; number != c.observedLease {
		c.observedLease, c.observedAt = number, now
	}
	if c.number != 0 && c.number != c.fold().lease.number {
		c.number = 0
		c.dropOrders()
	}
}

// reconcile updates the orders to the desired states and requests load grants.
func (c *controller) reconcile(now time.Time) {
	for t, want := range c.fold().desired {
		e := c.engines[t.Engine]
		if e == nil {
			continue
		}
		o := e.orders[t.Model]
		if o != nil && o.desired.State == want.State {
			o.desired = want
			continue
		}
		if o != nil {
			o.fire(statechart.OrderNewerOrderEvent)
		}
		e.orders[t.Model] = &modelOrder{desired: want, machine: statechart.NewMachine(statechart.Order())}
	}
	for _, name := range slices.Sorted(maps.Keys(c.engines)) {
		c.requestGrant(now, c.engines[name])
	}
}

// requestGrant requests one load grant if the engine's next order needs one. While a
// renewal of the lease is being recorded the number of the lease is not known, which
// the request must name.
func (c *controller) requestGrant(now time.Time, e *engineOrders) {
	if c.leasePending || e.busy || !e.stateValid || now.Before(e.retryAt) {
		return
	}
	for _, model := range slices.Sorted(maps.Keys(e.orders)) {
		o := e.orders[model]
		if o.grant != "" && (now.After(o.grantDeadline) || !c.fold().isGranted(o.grant)) {
			c.endLoad(o.grant)
			o.grant = ""
		}
		if !o.due() || e.orderKind(model) != kindLoad || o.grant != "" || o.grantPending || now.Before(o.grantRetryAt) {
			continue
		}
		if freeAt := c.fold().nextLoadTime(now, e.name, c.budget()); freeAt.After(now) {
			o.grantRetryAt = freeAt
			continue
		}
		c.appendLoadStart(e, o)
		return
	}
}

func (c *controller) appendLoadStart(e *engineOrders, o *modelOrder) {
	o.grantPending = true
	// The grant of an earlier load of this engine whose answer was lost is
	// replaced.
	c.endLoads(e.name)
	uid := c.newUID()
	record := &peerpb.OrderRecord{Kind: &peerpb.OrderRecord_LoadStart{LoadStart: &peerpb.LoadStart{
		Uid: uid, Engine: e.name, Fencing: c.fold().lease.fencing(),
		PerMinute: uint32(c.plan.Budget.LoadsPerMinute), AtOnce: uint32(c.plan.Budget.LoadsAtOnce),
	}}}
	c.journal.add(encode(record), func(sent time.Time, applied bool) {
		o.grantPending = false
		o.grantRetryAt = sent.Add(budgetRetryInterval)
		if applied {
			o.grant, o.grantDeadline = uid, sent.Add(grantLifetime)
		}
	})
}

// budget returns the budget of the plan, with defaults for the values it does
// not set.
func (c *controller) budget() Budget {
	return c.fold().budget.withOverrides(c.plan.Budget.LoadsPerMinute, c.plan.Budget.LoadsAtOnce)
}

func (c *controller) endLoad(uid string) {
	if c.endingLoads[uid] {
		return
	}
	c.endingLoads[uid] = true
	record := &peerpb.OrderRecord{Kind: &peerpb.OrderRecord_LoadEnd{LoadEnd: &peerpb.LoadEnd{Uid: uid}}}
	c.journal.add(encode(record), func(time.Time, bool) { delete(c.endingLoads, uid) })
}

// refresh appends one desired state again before the log's retention drops it.
func (c *controller) refresh(now time.Time) {
	if c.refreshing {
		return
	}
	for t, d := range c.fold().desired {
		if len(c.plan.States) > 0 && c.engines[t.Engine] == nil {
			// The plan records it again if the engine returns.
			continue
		}
		if now.Sub(d.at) >= c.timing.RefreshAge {
			c.refreshing = true
			c.setDesired(t, d.State, func(bool) { c.refreshing = false })
			return
		}
	}
}
