package order

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

func (e *engineOrders) scheduleRetry(now time.Time) {
	e.backoff = min(max(2*e.backoff, firstBackoff), maxBackoff)
	e.retryAt = now.Add(e.backoff)
}

// setState stores the state read from the engine and reports to each order
// whether it matches.
func (e *engineOrders) setState(s engineclient.OrdersState) {
	e.stateValid = true
	e.state = s
	for model, o := range e.orders {
		if e.matches(model) {
			o.fire(statechart.OrderStateMatchesEvent)
		} else {
			o.fire(statechart.OrderStateDiffersEvent)
		}
	}
}

// matchesAll reports whether the engine is in every desired state.
func (e *engineOrders) matchesAll() bool {
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
	want := e.orders[model].desired
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

// orderKind returns the kind of the order that leads to the desired state with the
// least work. A model that is already loaded gets a role order, which loads no
// weights and still raises the engine's fencing number.
func (e *engineOrders) orderKind(model string) string {
	want := e.orders[model].desired
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

// due reports whether the order has to be sent. An order in the state unknown is
// sent after a read has shown that the engine's state differs; a match confirms
// it.
func (o *modelOrder) due() bool {
	s := o.machine.State()
	return s == statechart.OrderProposed || s == statechart.OrderUnknown
}

func (o *modelOrder) fire(event statechart.Event) {
	// The chart defines every event in every state, so Fire returns no error.
	_, _ = o.machine.Fire(event)
}
