package statechart

// Machine is a chart with a current state. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
	hooks map[State]EntryHook
}

// EntryHook runs after a machine has entered a state from another one.
type EntryHook func(from State, event Event)

// NewMachine returns a machine in the initial state of a chart. No hook runs
// for the initial state.
func NewMachine(chart *Chart) *Machine {
	return &Machine{chart: chart, state: chart.Initial(), hooks: map[State]EntryHook{}}
}

// OnEntry sets the hook of a state. A later hook replaces an earlier one.
func (m *Machine) OnEntry(s State, hook EntryHook) {
	m.hooks[s] = hook
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// IsFinal reports whether the current state is final.
func (m *Machine) IsFinal() bool { return m.chart.IsFinal(m.state) }

// Fire applies an event and reports whether the state changed. The error is an
// *EventError, and then the state is unchanged.
func (m *Machine) Fire(event Event) (changed bool, err error) {
	from := m.state
	next, err := m.chart.Next(from, event)
	if err != nil || next == from {
		return false, err
	}
	m.state = next
	if hook := m.hooks[next]; hook != nil {
		hook(from, event)
	}
	return true, nil
}
