package membership

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

const (
	// failuresBeforeDown is the number of consecutive failures after which an
	// engine counts as down; a single one may be caused by the request.
	failuresBeforeDown = 2
	// An engine that recovers is damped for minHold. Going down again within
	// holdResetAfter of the previous time doubles the hold, up to maxHold.
	minHold        = 2 * time.Second
	maxHold        = 60 * time.Second
	holdResetAfter = 5 * time.Minute
)

// EngineState is the state of an engine or backend server.
type EngineState int

// States of an engine.
const (
	// EngineUp accepts new work.
	EngineUp EngineState = iota
	// EngineDamped accepts new work but is not chosen as a rendezvous home,
	// because it recovered a short time ago.
	EngineDamped
	// EngineDown answers no requests.
	EngineDown
	// EngineLeaving finishes its work and accepts no new work.
	EngineLeaving
)

// String returns the name used in reports.
func (s EngineState) String() string {
	return [...]string{"up", "damped", "down", "leaving"}[s]
}

// Engine is an engine or backend server in a View.
type Engine struct {
	VM    vmlist.VM
	State EngineState
	// Since is when the engine entered its state.
	Since time.Time
}

type engineState struct {
	vm       vmlist.VM
	down     bool
	damped   bool
	failures int
	since    time.Time
	downAt   time.Time
	hold     time.Duration
}

func (e *engineState) state() EngineState {
	switch {
	case e.vm.State == vmlist.StateLeaving:
		return EngineLeaving
	case e.down:
		return EngineDown
	case e.damped:
		return EngineDamped
	default:
		return EngineUp
	}
}

func (m *Membership) updateEngine(now time.Time, vm vmlist.VM) {
	e := m.engines[vm.Name]
	if e == nil || e.vm.Addr != vm.Addr || e.vm.Pool != vm.Pool {
		m.engines[vm.Name] = &engineState{vm: vm, since: now}
		return
	}
	if e.vm.State != vm.State {
		e.since = now
	}
	e.vm = vm
}

// RecordEngineResult records the result of a request or a probe to an engine and
// reports whether the engine's state changed.
func (m *Membership) RecordEngineResult(now time.Time, name string, ok bool) bool {
	e := m.engines[name]
	if e == nil {
		return false
	}
	before := e.state()
	if ok {
		e.recordSuccess(now)
	} else {
		e.recordFailure(now)
	}
	return e.state() != before
}

func (e *engineState) recordFailure(now time.Time) {
	e.failures++
	if e.down || e.failures < failuresBeforeDown {
		return
	}
	if !e.downAt.IsZero() && now.Sub(e.downAt) < holdResetAfter {
		e.hold = min(2*e.hold, maxHold)
	} else {
		e.hold = minHold
	}
	e.down, e.damped = true, false
	e.downAt, e.since = now, now
}

func (e *engineState) recordSuccess(now time.Time) {
	e.failures = 0
	if !e.down {
		return
	}
	e.down, e.damped = false, true
	e.since = now
}

// expireHolds ends the damping of engines whose hold has elapsed.
func (m *Membership) expireHolds(now time.Time) {
	for _, e := range m.engines {
		if e.damped && now.Sub(e.since) >= e.hold {
			e.damped = false
			e.since = now
		}
	}
}
