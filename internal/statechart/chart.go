// Package statechart interprets state charts that are written in JSON. A chart
// is checked when it is loaded, so that a missing transition fails a test rather
// than a running router.
package statechart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Chart is a checked state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name    string
	initial State
	states  map[State]*stateSpec
	events  []Event
}

type chartSpec struct {
	Name    string               `json:"name"`
	Initial State                `json:"initial"`
	States  map[State]*stateSpec `json:"states"`
}

type stateSpec struct {
	// Final marks a state that ignores every event.
	Final  bool            `json:"final"`
	On     map[Event]State `json:"on"`
	Ignore []Event         `json:"ignore"`
}

// EventError reports an event that a state neither handles nor ignores.
type EventError struct {
	Chart string
	State State
	Event Event
}

// Error formats the event and its state.
func (e *EventError) Error() string {
	return fmt.Sprintf("state chart %s: event %q is not expected in state %q", e.Chart, e.Event, e.State)
}

// Load decodes and checks a chart. The file name is used only in findings. The
// error is a *findings.Error with all problems.
func Load(file string, data []byte) (*Chart, error) {
	list := findings.NewList(file)
	spec, ok := decode(list, data)
	if !ok {
		return nil, list.Err()
	}
	c := &Chart{name: spec.Name, initial: spec.Initial, states: spec.States, events: eventsOf(spec.States)}
	c.check(list)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func decode(list *findings.List, data []byte) (chartSpec, bool) {
	var spec chartSpec
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&spec); err != nil {
		list.Add("$", findings.CodeSyntax, "%v", err)
		return spec, false
	}
	if _, err := dec.Token(); err != io.EOF {
		list.Add("$", findings.CodeSyntax, "text follows the chart")
		return spec, false
	}
	// The decoder keeps only the last of several equal names, which would silently
	// drop a state or an event.
	checkDuplicateNames(list, "$", json.NewDecoder(bytes.NewReader(data)))
	for _, name := range slices.Sorted(maps.Keys(spec.States)) {
		if spec.States[name] == nil {
			list.Add(statePath(name), findings.CodeInvalid, "must be an object")
		}
	}
	return spec, list.Empty()
}

// checkDuplicateNames reads one value of valid JSON text and reports names that
// appear more than once in an object.
func checkDuplicateNames(list *findings.List, path string, dec *json.Decoder) {
	token, _ := dec.Token()
	delim, nested := token.(json.Delim)
	if !nested {
		return
	}
	seen := map[string]bool{}
	for dec.More() {
		valuePath := path
		if delim == '{' {
			token, _ := dec.Token()
			name, _ := token.(string)
			valuePath += "." + name
			if seen[name] {
				list.Add(valuePath, findings.CodeConflict, "appears more than once")
			}
			seen[name] = true
		}
		checkDuplicateNames(list, valuePath, dec)
	}
	_, _ = dec.Token()
}

// eventsOf returns the sorted events that any state handles or ignores.
func eventsOf(states map[State]*stateSpec) []Event {
	all := map[Event]bool{}
	for _, s := range states {
		for e := range s.On {
			all[e] = true
		}
		for _, e := range s.Ignore {
			all[e] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func statePath(s State) string {
	return "$.states." + string(s)
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// Initial returns the initial state of a machine.
func (c *Chart) Initial() State { return c.initial }

// States returns the states in alphabetical order.
func (c *Chart) States() []State { return slices.Sorted(maps.Keys(c.states)) }

// Events returns the events in alphabetical order.
func (c *Chart) Events() []Event { return slices.Clone(c.events) }

// IsFinal reports whether s is a final state.
func (c *Chart) IsFinal(s State) bool {
	spec, ok := c.states[s]
	return ok && spec.Final
}

// Next returns the state that an event leads to from s. An ignored event returns
// s. The error is an *EventError.
func (c *Chart) Next(s State, event Event) (State, error) {
	spec, ok := c.states[s]
	if !ok {
		return s, &EventError{Chart: c.name, State: s, Event: event}
	}
	if target, ok := spec.On[event]; ok {
		return target, nil
	}
	if spec.ignores(event) || spec.Final && slices.Contains(c.events, event) {
		return s, nil
	}
	return s, &EventError{Chart: c.name, State: s, Event: event}
}

func (s *stateSpec) ignores(event Event) bool {
	return slices.Contains(s.Ignore, event)
}
