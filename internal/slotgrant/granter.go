package slotgrant

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// leaseTime is how long a grant is kept for a router that is not heard. The granting router asks the others about
	// grants that have lasted longer than usual, so a lost report costs less than that, and a request may take longer.
	leaseTime = 500 * time.Millisecond
	// probeAfter is the age, in times of the usual one, from which a grant is asked about, each probeInterval.
	probeAfter    = 2
	probeInterval = 60 * time.Millisecond
	// defaultSlotTime is the time in a slot before any is known.
	defaultSlotTime = 40 * time.Millisecond
	// maxLoadPerSlot bounds the load that a server may report: with 6 slots one was seen with 30 requests. A false report must
	// not keep its slots empty.
	maxLoadPerSlot = 8
	// maxSlotTime bounds a time in a slot that a router reports.
	maxSlotTime = 30 * time.Second
	// tickInterval is the time between two calls of Tick while there is anything to wait for.
	tickInterval = 10 * time.Millisecond
	minTick      = time.Millisecond
	// A grant counts as ending some usual differences after its usual time, where these are at most maxDeviation of it, and
	// where reports and grants are on the way for at least minOnTheWay of the whole time. With three no server has more requests than
	// slots. From longOnTheWay on one is enough: with three a fifth of the capacity would be lost at delays of 4 ms.
	endingDeviations      = 3
	endingDeviationsAtFar = 1
	longOnTheWay          = 0.08
	maxDeviation          = 0.15
	minOnTheWay           = 0.03
	// serverWayShare is the time of the way to the server and back, as a share of that of a grant and its report: an answer waits for
	// the time slice of its router as a grant does, and a request is sent at once.
	serverWayShare = 0.5
	wayDeviations  = 2
	// queuedShare is how many requests are to wait at a server, as a share of its slots: requests that end together would else leave
	// slots empty.
	queuedShare = 0.5
	// A report of a server that states its load lowers the margin by marginStep grants when requests wait there, and raises it by
	// waitsPerEmpty times as much when none does: a server may be slower with more requests than slots.
	marginStep    = 0.1
	waitsPerEmpty = 4
	// maxBeyondShare bounds the grants beyond the slots, as a share of these, and maxHeldPerSlotTime by how much longer a grant is taken
	// to last than its request is in its slot.
	maxBeyondShare     = 3
	maxHeldPerSlotTime = 4
	// marginShare is the share of the time in a slot by which an answer is expected before it is due: the expected wait is
	// not exact. At a load of more than 1 it is larger by marginPerLoad for each unit of load, up to maxMarginShare.
	marginShare    = 0.5
	marginPerLoad  = 5
	maxMarginShare = 1.5
	// capacityLimit is the load, as a share of what the slots take, below which a request that misses its objective may
	// still be served within its deadline. The load is that of the last second, and varies by a tenth.
	capacityLimit = 1.05
	// Of neededPerSlots slots one needs a question that waits, whether it can be in time or not: its slot would else be empty until another
	// one arrives.
	neededPerSlots = 2
	// lateShare is the share of its deadline for which such a request may wait. It is rejected at once when it would have to
	// wait longer.
	lateShare = 0.2
	// minRetryAfter and maxRetryShare bound the wait that a rejected caller is asked for, as in package overload.
	minRetryAfter = 100 * time.Millisecond
	maxRetryShare = 0.2
)

// Granter grants the slots of a pool.
type Granter struct {
	term    uint64
	active  bool
	servers []*server
	leases  map[leaseKey]*lease
	queue   queue
	shares  shares
	// slotTime is the usual time from a grant to its report, and serverTime that of the request at the server.
	slotTime, serverTime average
	// deviation is the usual difference from slotTime.
	deviation average
	// held and took are the usual times from a grant to its report and of the request as its router sees it, those of servers with
	// more requests than slots included.
	// wayDeviation is the usual difference from what held exceeds took.
	held, took, wayDeviation average
	demand                   demand
	count                    uint64
	counts                   Counts
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

// Leases and Waiting return the numbers of grants in use and of waiting questions.
func (g *Granter) Leases() int { return len(g.leases) }

func (g *Granter) Waiting() int { return len(g.queue.list) }

// SlotTime returns the usual time from a grant to its report.
func (g *Granter) SlotTime() time.Duration {
	return g.slotTime.or(defaultSlotTime)
}

// answerTime returns the usual time from a grant to the answer of the server.
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
	g.held, g.took, g.wayDeviation = average{}, average{}, average{}
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

// Tick asks about old grants, ends those of routers that are not heard, and grants what has become free.
func (g *Granter) Tick(now time.Time, out *Outbox) {
	old := max(probeAfter*g.SlotTime(), probeInterval)
	for _, s := range g.servers {
		for _, l := range slices.Clone(s.leases) {
			g.checkLease(now, l, old, out)
		}
	}
	g.dispatch(now, out)
	g.settle(now, 0, nil, out)
}
