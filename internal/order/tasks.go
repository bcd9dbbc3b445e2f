package order

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// nextTask returns a call to an engine that is due. The caller must make it at
// once and pass its result to handleTaskResult.
func (c *controller) nextTask(now time.Time) task {
	if !c.maySend(now) {
		return task{}
	}
	for _, name := range slices.Sorted(maps.Keys(c.engines)) {
		e := c.engines[name]
		if e.busy || len(e.orders) == 0 || now.Before(e.retryAt) {
			continue
		}
		if !e.stateValid || !now.Before(e.checkAt) {
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
		kind, grant := e.orderKind(model), ""
		if kind == kindLoad {
			if o.grant == "" || now.After(o.grantDeadline) || !c.fold().isGranted(o.grant) {
				continue
			}
			grant, o.grant = o.grant, ""
		}
		o.fire(statechart.OrderSendEvent)
		e.busy = true
		return task{kind: taskOrder, engine: e.name, model: model, term: c.term, grant: grant, order: engineclient.Order{
			OrderID: strconv.FormatUint(o.desired.offset, 10),
			Fencing: c.fold().lease.fencing(),
			Kind:    kind,
			Model:   model,
			Version: o.desired.Version,
			Role:    o.desired.Role,
		}}
	}
	return task{}
}

// handleTaskResult handles the result of a call to an engine.
func (c *controller) handleTaskResult(now time.Time, t task, s engineclient.OrdersState, err error) {
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
		// Another router has a newer lease, which is in the stream.
		c.journal.current = false
	}
	if err != nil {
		e.stateValid = false
		e.scheduleRetry(now)
		return
	}
	e.setState(s)
	if t.kind == taskOrder && o != nil && !e.matches(t.model) {
		// The engine accepted the order but did not carry it out.
		e.scheduleRetry(now)
	} else {
		e.backoff = 0
	}
	e.checkAt = now.Add(c.timing.CheckInterval)
	if t.kind == taskOrder {
		// A late order of an earlier holder may arrive at about the same time.
		e.checkAt = now.Add(min(c.timing.CheckInterval, c.timing.SendTimeout+c.timing.Margin))
	}
	if e.matchesAll() {
		c.endLoads(e.name)
	}
}

// endLoads records the end of all loads of an engine, including those of earlier
// holders, which frees their places in the budget.
func (c *controller) endLoads(engine string) {
	for _, l := range c.fold().loads {
		if l.engine == engine && !l.ended {
			c.endLoad(l.uid)
		}
	}
}

// resultEvent converts the result of an order to an event of the chart.
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
