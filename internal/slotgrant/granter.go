package slotgrant

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// tickInterval is the time between two calls of Tick while there is anything to wait for, and minTick the shortest one.
	tickInterval = 10 * time.Millisecond
	minTick      = time.Millisecond
)

// Granter grants the slots of a pool. The zero value grants nothing until Begin. It is not safe for concurrent use.
type Granter struct {
	term    uint64
	active  bool
	servers []*server
	leases  map[leaseKey]*lease
	queue   queue
	shares  shares
	// slotTime is the usual time from a grant to its report, and serverTime that of the request at the server, of requests that did not
	// wait there. deviation is the mean absolute difference from slotTime.
	slotTime, serverTime, deviation average
	// grantTime and requestTime are the same as slotTime and serverTime, with the requests that waited at a server that had more of
	// them than slots. transitDeviation is the mean absolute difference from what grantTime exceeds requestTime.
	grantTime, requestTime, transitDeviation average

	demand demand
	// arrivals is the number of questions, from which each gets a number.
	arrivals uint64
	counts   Counts
}

// Counts are numbers of events since the start, for metrics.
type Counts struct {
	Granted, Queued, Expired, Probed int64
	Rejected                         [len(reasonNames)]int64
}

// Active reports whether this router grants.
func (g *Granter) Active() bool { return g.active }

// Busy reports whether Tick has to be called within tickInterval.
func (g *Granter) Busy() bool { return len(g.leases) > 0 || len(g.queue.list) > 0 }

// Counts returns the numbers of events.
func (g *Granter) Counts() Counts { return g.counts }

// Leases returns the number of grants in use.
func (g *Granter) Leases() int { return len(g.leases) }

// Waiting returns the number of waiting questions.
func (g *Granter) Waiting() int { return len(g.queue.list) }

// SlotTime returns the usual time from a grant to its report, without a wait at the server.
func (g *Granter) SlotTime() time.Duration {
	return g.slotTime.or(defaultSlotTime)
}

// answerTime returns the usual time from the sending of a request to the end of its answer, without a wait at the server. Before the
// first one it is SlotTime.
func (g *Granter) answerTime() time.Duration {
	return g.serverTime.or(g.SlotTime())
}

// SetServers replaces the servers. The grants of those that remain are kept, the others end.
func (g *Granter) SetServers(list []Server) {
	servers := make([]*server, 0, len(list))
	for _, s := range list {
		i := slices.IndexFunc(g.servers, func(old *server) bool { return old.Hash == s.Hash })
		if i < 0 {
			servers = append(servers, &server{Server: s})
			continue
		}
		g.servers[i].Server = s
		servers = append(servers, g.servers[i])
	}
	for _, s := range g.servers {
		if slices.Contains(servers, s) {
			continue
		}
		for _, l := range s.leases {
			delete(g.leases, l.key)
		}
	}
	g.servers = servers
}

// Begin makes this router grant, with a term above the highest one that it has heard of. What others have granted is not known: the
// loads of the servers stand for it. A router that was frozen knows nothing, also of the loads, and takes all
// slots for taken.
func (g *Granter) Begin(now time.Time, above uint64, loadsKnown bool) {
	g.End()
	g.term, g.active = max(g.term, above)+1, true
	// Another router may still grant: no grants beyond the slots until the times have been learned anew.
	g.grantTime, g.requestTime, g.transitDeviation = average{}, average{}, average{}
	for _, s := range g.servers {
		load := s.Slots
		if loadsKnown {
			load = s.Load
		}
		s.setForeign(now, load, g.SlotTime())
	}
}

// End makes this router grant no more and forget what it has granted.
func (g *Granter) End() {
	g.active = false
	g.leases, g.queue = make(map[leaseKey]*lease), queue{}
	for _, s := range g.servers {
		s.leases = nil
		s.foreign = nil
	}
}

// Receive handles the questions and reports of a router.
func (g *Granter) Receive(now time.Time, from netip.Addr, m *Message, out *Outbox) {
	for i := range m.Reports {
		g.report(now, from, &m.Reports[i])
	}
	if len(m.Reports) > 0 {
		g.dispatch(now, out)
	}
	for i := range m.Questions {
		g.ask(now, from, &m.Questions[i], out)
	}
	if m.Ping {
		out.to(from, g.term).Pong = true
	}
}

// Handover tells the routers whose requests wait that another one grants from now on, and ends the granting.
func (g *Granter) Handover(first netip.Addr, out *Outbox) {
	for _, w := range g.queue.list {
		m := out.to(w.key.router, g.term)
		m.First = first
		m.Answers = append(m.Answers, Answer{Number: w.key.number, Kind: Elsewhere})
	}
	g.End()
}

func (g *Granter) answer(key leaseKey, a Answer, out *Outbox) {
	a.Number = key.number
	m := out.to(key.router, g.term)
	m.Answers = append(m.Answers, a)
}

// Tick probes old grants, ends those of routers that are not heard, and grants what has become free.
func (g *Granter) Tick(now time.Time, out *Outbox) {
	old := max(probeAfter*g.SlotTime(), probeInterval)
	for _, s := range g.servers {
		for _, l := range slices.Clone(s.leases) {
			g.checkLease(now, l, old, out)
		}
	}
	g.dispatch(now, out)
	g.rejectLate(now, 0, nil, out)
}
