package order

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// Timing are the times of the lease and of the checks. All routers must use the
// same Lease and Margin.
type Timing struct {
	// Lease is how long a lease lasts for its holder, from before its append.
	Lease time.Duration
	// Margin is added by other routers, which count from when they read the lease.
	Margin time.Duration
	// SendTimeout bounds one call to an engine. No order is sent in the last
	// SendTimeout of a lease.
	SendTimeout time.Duration
	// Check is the time between two reads of an engine's state.
	Check time.Duration
	// Poll is the time between two reads of an idle stream.
	Poll time.Duration
	// Refresh is the age at which the holder writes a desired state again. It
	// must be below half the log's retention.
	Refresh time.Duration
}

// RepairTime is the longest time for which an engine that can be reached may
// have an older state after a late order, while one router holds the lease and
// the log and the load budget allow its orders.
func (t Timing) RepairTime() time.Duration {
	return t.Check + 2*t.SendTimeout
}

type taskKind int

const (
	taskNone taskKind = iota
	taskState
	taskOrder
)

// task is one call to an engine.
type task struct {
	kind   taskKind
	engine string
	model  string
	order  engineclient.Order
	// grant is the load grant that the order uses up.
	grant string
	// term tells under which lease the call was made.
	term int
}

// modelOrder is the order for one model of one engine under this lease.
type modelOrder struct {
	want    desired
	machine *statechart.Machine
	// grant is the uid of an unused load grant.
	grant   string
	grantBy time.Time
	asking  bool
	askAt   time.Time
}

// engineOrders is what the holder knows of one engine.
type engineOrders struct {
	name string
	busy bool
	// known is set when state was read under this lease, after the last call
	// that may have changed it.
	known   bool
	state   engineclient.OrdersState
	checkAt time.Time
	retryAt time.Time
	backoff time.Duration
	orders  map[string]*modelOrder
}

// controller decides about the lease, the records and the orders. It does no
// I/O and is not safe for concurrent use.
type controller struct {
	name    string
	timing  Timing
	journal *journal
	newUID  func() string
	// candidate is set while this router wants the lease.
	candidate bool
	// number and validUntil belong to this router's own lease; number is 0
	// when it has none.
	number     uint64
	validUntil time.Time
	asking     bool
	// term counts the leases that this router has lost.
	term int
	// seen is the lease in force, and seenAt when this router read it.
	seen    uint64
	seenAt  time.Time
	engines map[string]*engineOrders
	// ending holds the loads whose end is being recorded.
	ending map[string]bool
	// refreshing is set while a desired state is being written again.
	refreshing bool
	// plan is what the configuration asks for, and planned its engines;
	// recording holds the targets whose state is being written.
	plan      Plan
	planned   map[string]bool
	recording map[Target]bool
}

func newController(name string, t Timing, b Budget, newUID func() string) *controller {
	return &controller{
		name:    name,
		timing:  t,
		journal: newJournal(b, t.Poll),
		newUID:  newUID,
		engines: map[string]*engineOrders{},
		ending:  map[string]bool{},

		recording: map[Target]bool{},
	}
}

func (c *controller) fold() *Fold { return c.journal.fold }

// holds reports whether this router's lease is valid by its own clock.
func (c *controller) holds(now time.Time) bool {
	return c.number != 0 && c.fold().lease.number == c.number && now.Before(c.validUntil)
}

// maySend reports whether a call that starts now ends within the lease.
func (c *controller) maySend(now time.Time) bool {
	return c.holds(now) && !now.Add(c.timing.SendTimeout).After(c.validUntil)
}

// setEngines replaces the list of engines.
func (c *controller) setEngines(names []string) {
	for _, name := range names {
		if c.engines[name] == nil {
			c.engines[name] = &engineOrders{name: name, orders: map[string]*modelOrder{}}
		}
	}
	for name, e := range c.engines {
		if !slices.Contains(names, name) {
			e.fireAll(statechart.OrderEngineGoneEvent)
			delete(c.engines, name)
		}
	}
}

// setDesired records a state. done gets false when another record for the
// target came first.
func (c *controller) setDesired(t Target, s State, done func(effect bool)) {
	c.journal.add(encode(desiredRecord(t, s, c.fold().replaces(t))), func(_ time.Time, effect bool) { done(effect) })
}

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

// nextTask returns a call to an engine that is due. The caller makes it at once
// and reports its result with taskDone.
func (c *controller) nextTask(now time.Time) task {
	if !c.maySend(now) {
		return task{}
	}
	for _, name := range slices.Sorted(maps.Keys(c.engines)) {
		e := c.engines[name]
		if e.busy || len(e.orders) == 0 || now.Before(e.retryAt) {
			continue
		}
		if !e.known || !now.Before(e.checkAt) {
			e.busy = true
			return task{kind: taskState, engine: name, term: c.term}
		}
		if t := c.orderTask(now, e); t.kind != taskNone {
			return t
		}
	}
	return task{}
}

func (c *controller) orderTask(now time.Time, e *engineOrders) task {
	for _, model := range slices.Sorted(maps.Keys(e.orders)) {
		o := e.orders[model]
		if !o.due() {
			continue
		}
		kind, grant := e.kind(model), ""
		if kind == kindLoad {
			if o.grant == "" || now.After(o.grantBy) || !c.fold().granted(o.grant) {
				continue
			}
			grant, o.grant = o.grant, ""
		}
		o.fire(statechart.OrderSendEvent)
		e.busy = true
		return task{kind: taskOrder, engine: e.name, model: model, term: c.term, grant: grant, order: engineclient.Order{
			OrderID: strconv.FormatUint(o.want.offset, 10),
			Fencing: c.fold().lease.fencing(),
			Kind:    kind,
			Model:   model,
			Version: o.want.Version,
			Role:    o.want.Role,
		}}
	}
	return task{}
}

// taskDone takes the result of a call to an engine.
func (c *controller) taskDone(now time.Time, t task, s engineclient.OrdersState, err error) {
	e := c.engines[t.engine]
	if e == nil {
		return
	}
	e.busy = false
	if t.term != c.term {
		return
	}
	o := e.orders[t.model]
	if t.kind == taskOrder && o != nil {
		o.fire(resultEvent(o, err))
	}
	if errors.Is(err, engineclient.ErrOldFencing) {
		// Another router has a newer lease; the stream shows it.
		c.journal.current = false
	}
	if err != nil {
		e.known = false
		e.delay(now)
		return
	}
	e.learn(s)
	if t.kind == taskOrder && o != nil && !e.matches(t.model) {
		// The engine accepted the order without following it.
		e.delay(now)
	} else {
		e.backoff = 0
	}
	e.checkAt = now.Add(c.timing.Check)
	if t.kind == taskOrder {
		// A late order of an earlier holder may arrive around this one.
		e.checkAt = now.Add(min(c.timing.Check, c.timing.SendTimeout+c.timing.Margin))
	}
	if e.settled() {
		c.endLoads(e.name)
	}
}

// endLoads gives back the places of an engine whose loads have all ended, also
// those of an earlier holder.
func (c *controller) endLoads(engine string) {
	for _, l := range c.fold().loads {
		if l.engine == engine && !l.ended {
			c.endLoad(l.uid)
		}
	}
}

// resultEvent translates the result of an order into an event of the chart.
func resultEvent(o *modelOrder, err error) statechart.Event {
	var failed *engineclient.Error
	switch {
	case err == nil && o.machine.State() == statechart.OrderUnknown:
		return statechart.OrderRepairAcceptedEvent
	case err == nil:
		return statechart.OrderAcceptedEvent
	case errors.Is(err, engineclient.ErrOldFencing):
		return statechart.OrderFencedEvent
	case errors.As(err, &failed) && failed.Status >= 400 && failed.Status < 500:
		return statechart.OrderRefusedEvent
	}
	return statechart.OrderNoAnswerEvent
}

func (e *engineOrders) delay(now time.Time) {
	e.backoff = min(max(2*e.backoff, firstBackoff), maxBackoff)
	e.retryAt = now.Add(e.backoff)
}

// learn takes the engine's state and tells it to the orders.
func (e *engineOrders) learn(s engineclient.OrdersState) {
	e.known = true
	e.state = s
	for model, o := range e.orders {
		if e.matches(model) {
			o.fire(statechart.OrderStateMatchesEvent)
		} else {
			o.fire(statechart.OrderStateDiffersEvent)
		}
	}
}

// settled reports whether the engine has every desired state.
func (e *engineOrders) settled() bool {
	for model := range e.orders {
		if !e.matches(model) {
			return false
		}
	}
	return true
}

func (e *engineOrders) model(model string) (engineclient.ModelState, bool) {
	for _, m := range e.state.Models {
		if m.Model == model {
			return m, true
		}
	}
	return engineclient.ModelState{}, false
}

func (e *engineOrders) matches(model string) bool {
	want := e.orders[model].want
	have, loaded := e.model(model)
	if want.Unload || !loaded {
		return want.Unload && !loaded
	}
	return have.Version == want.Version && have.Role == want.Role
}

// Kinds of orders.
const (
	kindLoad   = "load"
	kindUnload = "unload"
	kindRole   = "role"
)

// kind returns the cheapest order that leads to the desired state. A model that
// is already loaded gets a role order, which loads no weights and still raises
// the engine's fencing number.
func (e *engineOrders) kind(model string) string {
	want := e.orders[model].want
	have, loaded := e.model(model)
	switch {
	case want.Unload:
		return kindUnload
	case loaded && have.Version == want.Version:
		return kindRole
	}
	return kindLoad
}

func (e *engineOrders) fireAll(event statechart.Event) {
	for _, o := range e.orders {
		o.fire(event)
	}
}

// due reports whether the order has to be sent. An unknown order is sent after
// a read has shown that the engine's state differs; a match confirms it.
func (o *modelOrder) due() bool {
	s := o.machine.State()
	return s == statechart.OrderProposed || s == statechart.OrderUnknown
}

func (o *modelOrder) fire(event statechart.Event) {
	// The chart defines every event in every state, so there is no error.
	_, _ = o.machine.Fire(event)
}

func desiredRecord(t Target, s State, replaces uint64) *peerpb.OrderRecord {
	return &peerpb.OrderRecord{Kind: &peerpb.OrderRecord_Desired{Desired: &peerpb.Desired{
		Engine: t.Engine, Model: t.Model, Unload: s.Unload, Version: s.Version, Role: s.Role, Replaces: replaces,
	}}}
}

func encode(r *peerpb.OrderRecord) string {
	data, err := proto.Marshal(r)
	if err != nil {
		// Marshal fails only for text that is not UTF-8, which Set refuses. An
		// empty record has no effect.
		return ""
	}
	return string(data)
}
