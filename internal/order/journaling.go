package order

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// nextLog returns the next call to the log.
func (c *controller) nextLog(now time.Time) op {
	if !c.candidate && c.number == 0 && c.journal.idle() {
		return op{wake: now.Add(c.timing.Poll)}
	}
	if c.journal.current {
		c.stepLease(now)
		if c.holds(now) {
			c.record()
			c.reconcile(now)
			c.refresh(now)
		}
	}
	o := c.journal.next(now)
	if at := c.leaseAt(); o.kind == opNone && at.After(now) && at.Before(o.wake) {
		o.wake = at
	}
	return o
}

// stepLease asks for the lease when it is free, and renews it in time.
func (c *controller) stepLease(now time.Time) {
	if !c.candidate || c.asking || now.Before(c.leaseAt()) {
		return
	}
	c.asking = true
	record := &peerpb.OrderRecord{Kind: &peerpb.OrderRecord_Lease{Lease: &peerpb.Lease{
		Holder:     c.name,
		DurationMs: uint32(c.timing.Lease.Milliseconds()),
		After:      c.fold().lease.number,
	}}}
	c.journal.add(encode(record), func(sent time.Time, effect bool) {
		c.asking = false
		if effect {
			c.leased(sent)
		}
	})
}

// setCandidate starts or ends the wish for the lease. A router that was not a
// candidate has not followed the stream.
func (c *controller) setCandidate(on bool) {
	if on && !c.candidate {
		c.journal.current = false
	}
	c.candidate = on
}

func (c *controller) setPlan(p Plan) {
	c.plan = p
	c.planned = map[string]bool{}
	for t := range p.States {
		c.planned[t.Engine] = true
	}
}

// record writes the planned states that differ from the desired ones. A model
// that was asked for earlier and is not planned any more is unloaded.
func (c *controller) record() {
	if !c.candidate {
		return
	}
	for t, s := range c.plan.States {
		if have, ok := c.fold().Desired(t); !ok || have != s {
			c.recordState(t, s)
		}
	}
	for t, d := range c.fold().desired {
		_, wanted := c.plan.States[t]
		if !wanted && !d.Unload && c.planned[t.Engine] {
			c.recordState(t, State{Unload: true})
		}
	}
}

func (c *controller) recordState(t Target, s State) {
	if c.recording[t] {
		return
	}
	c.recording[t] = true
	c.setDesired(t, s, func(bool) { delete(c.recording, t) })
}

// leaseAt returns the time from which on this router may ask for the lease.
func (c *controller) leaseAt() time.Time {
	l := c.fold().lease
	switch {
	case l.number == 0:
		return time.Time{}
	case l.number == c.number:
		return c.validUntil.Add(-2 * c.timing.Lease / 3)
	}
	return c.seenAt.Add(l.duration + c.timing.Margin)
}

// leased starts a lease, or continues one. The validity counts from before the
// first append of the record. The orders of an earlier lease were forgotten
// when that lease was lost.
func (c *controller) leased(sent time.Time) {
	c.number = c.fold().lease.number
	c.validUntil = sent.Add(c.timing.Lease)
}

// forgetOrders ends all orders of a lost lease.
func (c *controller) forgetOrders() {
	c.term++
	for _, e := range c.engines {
		e.fireAll(statechart.OrderLeaseLostEvent)
		e.orders = map[string]*modelOrder{}
		e.known = false
	}
}

// logRead takes the result of a read.
func (c *controller) logRead(now time.Time, done func()) {
	done()
	if number := c.fold().lease.number; number != c.seen {
		c.seen, c.seenAt = number, now
	}
	if c.number != 0 && c.number != c.fold().lease.number {
		c.number = 0
		c.forgetOrders()
	}
}

// reconcile brings the orders up to the desired states, and asks for load grants.
func (c *controller) reconcile(now time.Time) {
	for t, want := range c.fold().desired {
		e := c.engines[t.Engine]
		if e == nil {
			continue
		}
		o := e.orders[t.Model]
		if o != nil && o.want.State == want.State {
			o.want = want
			continue
		}
		if o != nil {
			o.fire(statechart.OrderNewerOrderEvent)
		}
		e.orders[t.Model] = &modelOrder{want: want, machine: statechart.NewMachine(statechart.Order())}
	}
	for _, name := range slices.Sorted(maps.Keys(c.engines)) {
		c.askGrant(now, c.engines[name])
	}
}

// askGrant asks for one load grant if the engine's next order needs one.
func (c *controller) askGrant(now time.Time, e *engineOrders) {
	if e.busy || !e.known || now.Before(e.retryAt) {
		return
	}
	for _, model := range slices.Sorted(maps.Keys(e.orders)) {
		o := e.orders[model]
		if o.grant != "" && (now.After(o.grantBy) || !c.fold().granted(o.grant)) {
			c.endLoad(o.grant)
			o.grant = ""
		}
		if !o.due() || e.kind(model) != kindLoad || o.grant != "" || o.asking || now.Before(o.askAt) {
			continue
		}
		if free := c.fold().budgetFree(now, e.name, c.budget()); free.After(now) {
			o.askAt = free
			continue
		}
		c.appendLoadStart(e, o)
		return
	}
}

func (c *controller) appendLoadStart(e *engineOrders, o *modelOrder) {
	o.asking = true
	// An earlier load of this engine, whose answer was lost, is replaced.
	c.endLoads(e.name)
	uid := c.newUID()
	record := &peerpb.OrderRecord{Kind: &peerpb.OrderRecord_LoadStart{LoadStart: &peerpb.LoadStart{
		Uid: uid, Engine: e.name, Fencing: c.fold().lease.fencing(),
		PerMinute: uint32(c.plan.Budget.PerMinute), AtOnce: uint32(c.plan.Budget.AtOnce),
	}}}
	c.journal.add(encode(record), func(sent time.Time, effect bool) {
		o.asking = false
		o.askAt = sent.Add(budgetRetry)
		if effect {
			o.grant, o.grantBy = uid, sent.Add(grantUse)
		}
	})
}

// budget returns the budget of the plan, with the defaults for what it leaves open.
func (c *controller) budget() Budget {
	return c.fold().budget.stated(c.plan.Budget.PerMinute, c.plan.Budget.AtOnce)
}

func (c *controller) endLoad(uid string) {
	if c.ending[uid] {
		return
	}
	c.ending[uid] = true
	record := &peerpb.OrderRecord{Kind: &peerpb.OrderRecord_LoadEnd{LoadEnd: &peerpb.LoadEnd{Uid: uid}}}
	c.journal.add(encode(record), func(time.Time, bool) { delete(c.ending, uid) })
}

// refresh writes one desired state again before the log forgets it.
func (c *controller) refresh(now time.Time) {
	if c.refreshing {
		return
	}
	for t, d := range c.fold().desired {
		if len(c.plan.States) > 0 && c.engines[t.Engine] == nil {
			// The plan states it again if the engine comes back.
			continue
		}
		if now.Sub(d.at) >= c.timing.Refresh {
			c.refreshing = true
			c.setDesired(t, d.State, func(bool) { c.refreshing = false })
			return
		}
	}
}
