package registry

import "time"

// NotCold is the ColdLeft of a server whose entry says that it is not cold.
const NotCold = time.Duration(-1)

// Start is what a router knows of when an incarnation of a server started.
type Start struct {
	// At is when it started, or when it was seen first after the first list; zero for one that has run before.
	At time.Time
	// Unknown is set for one in the first list of a router that started while the fleet served, which may have started
	// just before.
	Unknown bool
}

// maxKnownAge is the age up to which the start time in an entry is used. An older server is not cold, and its time may be
// any number.
const maxKnownAge = time.Hour

// starts tells the incarnations that appear while the router runs from those that it has found.
type starts struct {
	// listed is set once the first list has been applied.
	listed bool
	// restarted is set when the fleet served before this router started.
	restarted bool
	// seen has the newest incarnation of each ID. One whose entry was missing for a while has not started again.
	seen map[string]seenServer
}

type seenServer struct {
	key   Key
	start Start
}

// SetRestarted records that the fleet may have served before this router started, so that the servers of the first
// list may have started just before. Call it before Replace.
func (r *Registry) SetRestarted() { r.starts.restarted = true }

// of returns when an incarnation started that is seen now.
func (s *starts) of(now time.Time, server *Server) Start {
	before, known := s.seen[server.ID]
	if known && before.key == server.Key() {
		return before.start
	}
	start := s.ofNew(now, server)
	if s.seen == nil {
		s.seen = make(map[string]seenServer)
	}
	s.seen[server.ID] = seenServer{server.Key(), start}
	return start
}

func (s *starts) ofNew(now time.Time, server *Server) Start {
	switch {
	case s.listed:
		return Start{At: now}
	case !s.restarted:
		return Start{}
	case server.Born <= 0:
		return Start{Unknown: true}
	}
	born := time.UnixMilli(server.Born)
	if age := now.Sub(born); age > maxKnownAge {
		return Start{}
	}
	if born.After(now) {
		born = now
	}
	// The age is that by the VMs' clocks, which differ little. The result has a monotonic reading as now has.
	return Start{At: now.Add(-now.Sub(born))}
}

// withoutTimes returns the server without what passes with time.
func (s *Server) withoutTimes() Server {
	c := *s
	c.ColdLeft, c.Start = 0, Start{}
	return c
}

// IsNewest reports whether an entry is what was applied last about its server.
func (r *Registry) IsNewest(e Entry) bool {
	s := r.servers[e.ID]
	return s != nil && e.Server != nil && s.Key() == e.Server.Key() && r.known[e.ID].Position == e.Position
}
