package statechart

import (
	"maps"
	"slices"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

func (c *Chart) check(list *findings.List) {
	if c.name == "" {
		list.Add("$.name", findings.CodeMissing, "is required")
	}
	if c.states[c.initial] == nil {
		list.Add("$.initial", findings.CodeInvalid, "%q is not a state", c.initial)
		return
	}
	for _, name := range c.States() {
		c.checkState(list, name, c.states[name])
	}
	c.checkReachable(list)
	c.checkFinalReachable(list)
}

func (c *Chart) checkState(list *findings.List, name State, s *stateSpec) {
	path := statePath(name)
	for _, event := range slices.Sorted(maps.Keys(s.On)) {
		if c.states[s.On[event]] == nil {
			list.Add(path+".on."+string(event), findings.CodeInvalid, "target %q is not a state", s.On[event])
		}
		if s.ignores(event) {
			list.Add(path+".ignore", findings.CodeConflict, "event %q is also handled", event)
		}
	}
	if s.Final {
		if len(s.On)+len(s.Ignore) > 0 {
			list.Add(path, findings.CodeConflict, "a final state ignores every event, so it must list none")
		}
		return
	}
	for _, event := range c.events {
		if _, handled := s.On[event]; !handled && !s.ignores(event) {
			list.Add(path, findings.CodeMissing, "event %q is neither handled nor ignored", event)
		}
	}
}

func (c *Chart) checkReachable(list *findings.List) {
	reached := c.reachableFrom(c.initial)
	for _, name := range c.States() {
		if !slices.Contains(reached, name) {
			list.Add(statePath(name), findings.CodeInvalid, "cannot be reached from %q", c.initial)
		}
	}
}

func (c *Chart) checkFinalReachable(list *findings.List) {
	for _, name := range c.States() {
		if !slices.ContainsFunc(c.reachableFrom(name), c.IsFinal) {
			list.Add(statePath(name), findings.CodeInvalid, "no final state can be reached")
		}
	}
}

// reachableFrom returns start and every state that a sequence of events leads
// to. Targets that are not states are left out.
func (c *Chart) reachableFrom(start State) []State {
	reached := []State{start}
	for i := 0; i < len(reached); i++ {
		for _, target := range c.states[reached[i]].On {
			if c.states[target] != nil && !slices.Contains(reached, target) {
				reached = append(reached, target)
			}
		}
	}
	return reached
}
