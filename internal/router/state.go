package router

import (
	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
	"github.com/bluebellwell/bluebellwell/internal/status"
)

// state is one snapshot of the control state. It is immutable.
type state struct {
	entry     entry.State
	lifecycle statechart.State
	// nextOffset is the offset after the last configuration record in force.
	nextOffset uint64
	// owners holds the owner of each pool as this router sees it.
	owners map[string]dispatch.Target
	// streams holds the owner of each intent stream.
	streams []dispatch.Target
	// ordersCandidate is set when this router is the candidate for the lease of
	// orders.
	ordersCandidate bool
	// rank is this router's position in the order of checkpoint writers.
	rank int
	// vmList is the part of the status document about the VM list.
	vmList status.VMList
	// peers are the other routers that are not suspected.
	peers []dispatch.Target
}

func (s *state) ownsStream(stream int, vm string) bool {
	return stream < len(s.streams) && s.streams[stream].VM == vm
}

func (s *state) streamOwner(stream int) (addr string, ok bool) {
	if stream >= len(s.streams) || s.streams[stream].Addr == "" {
		return "", false
	}
	return s.streams[stream].Addr, true
}
