package slotgrant

import (
	"math"
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
	// marginShare is the share of the time in a slot by which an answer is expected before it is due: the expected wait is
	// not exact.
	marginShare = 0.5
	// capacityLimit is the load, as a share of what the slots take, below which a request that misses its objective may
	// still be served within its deadline.
	capacityLimit = 0.95
	// lateShare is the share of its deadline for which such a request may wait. It is rejected at once when it would have to
	// wait longer.
	lateShare = 0.2
	// minRetryAfter and maxRetryShare bound the wait that a rejected caller is asked for, as in package overload.
	minRetryAfter = 100 * time.Millisecond
	maxRetryShare = 0.2
)

// lease is a grant in use.
type lease struct {
	key       leaseKey
	server    *server
	grantedAt time.Time
	// heardAt is when its router has last said that it is in use, and probedAt when it was last asked.
	heardAt, probedAt time.Time
}

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
	demand    demand
	count     uint64
	counts    Counts
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
func (g *Granter) Leases() int  { return len(g.leases) }
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

// ask decides about a question: it is granted, rejected or queued at once.
func (g *Granter) ask(now time.Time, from netip.Addr, q *Question, out *Outbox) {
	key := leaseKey{from, q.Number}
	if l := g.leases[key]; l != nil {
		// The grant was lost or is late, and the request begins only now.
		l.grantedAt, l.heardAt = now, now
		l.server.moveLast(l)
		g.answer(key, Answer{Kind: Granted, Server: l.server.Hash}, out)
		return
	}
	if g.queue.byKey[key] != nil {
		g.answer(key, Answer{Kind: Queued}, out)
		return
	}
	w := g.newWaiting(now, key, q)
	position := g.queue.insert(w)
	g.dispatch(now, out)
	g.settle(now, min(position, len(g.queue.list)), w, out)
	if g.queue.byKey[key] != nil {
		g.counts.Queued++
		g.answer(key, Answer{Kind: Queued}, out)
	}
}

func (g *Granter) newWaiting(now time.Time, key leaseKey, q *Question) *waiting {
	g.count++
	w := &waiting{
		key: key, priority: min(max(q.Priority, 0), maxPriority), excess: g.shares.record(now, q.Workspace, g.capacity(now), !g.hasCapacity(now)),
		due: now.Add(min(q.Objective, q.Deadline)), deadline: now.Add(q.Deadline), number: g.count, exclude: q.Exclude,
	}
	g.demand.add(now, w.excess, w.priority)
	if now.Add(g.answerTime()).After(w.due) && !g.idle() {
		w.setLate(now)
	}
	return w
}

// idle reports whether no grant is in use. Then the next question is granted whatever is expected: what was learned of the time
// in a slot may be outdated, and is learned anew.
func (g *Granter) idle() bool { return len(g.leases) == 0 }

// slots returns the slots of the servers that may get grants.
func (g *Granter) slots(now time.Time) int {
	n := 0
	for _, s := range g.servers {
		if s.available(now) {
			n += s.Slots
		}
	}
	return n
}

func (g *Granter) freeSlots(now time.Time) int {
	n := 0
	for _, s := range g.servers {
		if s.available(now) {
			n += max(g.free(now, s), 0)
		}
	}
	return n
}

// free returns the free slots of a server; it may be negative. As many grants as reports and grants are on the way on average
// count as free: their slots would else be empty for the time of both. Where times in a slot hardly vary these are the ones whose
// requests should have been answered by now.
func (g *Granter) free(now time.Time, s *server) int {
	free, overlap := s.free(now), g.overlap(s)
	if overlap == 0 || !g.steady() {
		return free + overlap
	}
	ending, _ := s.ending(now, g.endingAge(), overlap)
	return free + ending
}

// endingAge is the age from which a grant counts as ending.
func (g *Granter) endingAge() time.Duration {
	if g.onTheWay() >= longOnTheWay {
		return g.answerTime() + endingDeviationsAtFar*g.deviation.or(0)
	}
	return g.answerTime() + endingDeviations*g.deviation.or(0)
}

// onTheWay returns the share of the time of a grant in which it and its report are on the way.
func (g *Granter) onTheWay() float64 {
	return float64(g.SlotTime()-g.answerTime()) / float64(max(g.SlotTime(), 1))
}

// steady reports whether times in a slot vary so little that the age of a grant tells whether its request has ended.
func (g *Granter) steady() bool {
	return float64(g.deviation.or(0)) <= maxDeviation*float64(g.answerTime())
}

// overlap returns how many grants of a server are on the way to it or back, and not in a slot.
func (g *Granter) overlap(s *server) int {
	if g.slotTime.n < maxSamples || g.onTheWay() < minOnTheWay {
		return 0
	}
	if g.steady() {
		return int(math.Ceil(g.onTheWay() * float64(s.Slots)))
	}
	return int(math.Round(g.onTheWay() * float64(s.Slots)))
}

// nextTick returns when Tick has to be called.
func (g *Granter) nextTick(now time.Time) time.Duration {
	next := tickInterval
	if len(g.queue.list) == 0 {
		return next
	}
	age := g.endingAge()
	if !g.steady() {
		return next
	}
	for _, s := range g.servers {
		overlap := g.overlap(s)
		if n, l := s.ending(now, age, overlap); n < overlap && l != nil {
			next = min(next, age-now.Sub(l.grantedAt))
		}
	}
	return max(next, minTick)
}

// capacity returns the number of requests a second that the slots take. A grant on the way to its slot or back takes none.
func (g *Granter) capacity(now time.Time) float64 {
	return float64(g.slots(now)) / g.answerTime().Seconds()
}

// hasCapacity reports whether the slots take all questions, so that one slot for a late request costs no other its
// objective.
func (g *Granter) hasCapacity(now time.Time) bool {
	return g.demand.perSecond(now) < capacityLimit*g.capacity(now)
}

// dispatch grants free slots in the order of the queue.
func (g *Granter) dispatch(now time.Time, out *Outbox) {
	free := g.freeSlots(now)
	for i := 0; i < len(g.queue.list) && free > 0; {
		w := g.queue.list[i]
		s := g.choose(now, w)
		if s == nil {
			i++
			continue
		}
		g.queue.removeAt(i)
		if now.Add(g.answerTime()).After(w.due) && !g.idle() && !g.stillUseful(now, w) {
			g.reject(now, w, ReasonOvertaken, out)
			continue
		}
		g.grant(now, w, s, out)
		free--
	}
}

// stillUseful reports whether a request that misses its objective is to be served within its deadline.
func (g *Granter) stillUseful(now time.Time, w *waiting) bool {
	return !now.Add(g.answerTime()).After(w.deadline) && g.hasCapacity(now)
}

// choose returns the available server with the largest share of free slots, or nil.
func (g *Granter) choose(now time.Time, w *waiting) *server {
	var best *server
	bestShare := 0.0
	for _, s := range g.servers {
		if !s.available(now) || slices.Contains(w.exclude, s.Hash) {
			continue
		}
		if share := float64(g.free(now, s)) / float64(max(s.Slots, 1)); share > bestShare {
			best, bestShare = s, share
		}
	}
	return best
}

func (g *Granter) grant(now time.Time, w *waiting, s *server, out *Outbox) {
	l := &lease{key: w.key, server: s, grantedAt: now, heardAt: now, probedAt: now}
	s.leases = append(s.leases, l)
	g.leases[w.key] = l
	g.counts.Granted++
	g.answer(w.key, Answer{Kind: Granted, Server: s.Hash}, out)
}

// settle rejects the questions from a position on that the questions before them make late. The newest is new.
func (g *Granter) settle(now time.Time, from int, newest *waiting, out *Outbox) {
	slots := g.slots(now)
	for i := len(g.queue.list) - 1; i >= from; i-- {
		w := g.queue.list[i]
		expected := g.expectedWait(now, i, slots)
		finish := now.Add(expected + g.answerTime())
		if w == newest {
			finish = finish.Add(g.margin() + g.overtakingWait(now, w, expected))
		}
		reason := g.reasonToReject(now, w, finish)
		if reason == ReasonNone {
			continue
		}
		if reason == ReasonLate && !w.late && !finish.After(w.lateDue(now)) && g.hasCapacity(now) {
			g.queue.removeAt(i)
			w.setLate(now)
			g.queue.insert(w)
			continue
		}
		if reason == ReasonLate && w != newest {
			reason = ReasonOvertaken
		}
		g.reject(now, g.queue.removeAt(i), reason, out)
	}
}

func (g *Granter) reasonToReject(now time.Time, w *waiting, finish time.Time) Reason {
	switch {
	case !slices.ContainsFunc(g.servers, func(s *server) bool { return s.Usable && !slices.Contains(w.exclude, s.Hash) }):
		return ReasonNoServer
	case len(g.queue.list) > maxQueue && w == g.queue.list[len(g.queue.list)-1]:
		return ReasonQueueFull
	case w.late && !g.hasCapacity(now):
		return ReasonLate
	case finish.After(w.due) && w.excess > 0:
		return ReasonShare
	case finish.After(w.due):
		return ReasonLate
	}
	return ReasonNone
}

// overtakingWait returns by how much longer a new question waits because of those that arrive later and come before it: they
// leave it only a part of the slots.
func (g *Granter) overtakingWait(now time.Time, w *waiting, expected time.Duration) time.Duration {
	taken := min(g.demand.ahead(now, w.excess, w.priority)/max(g.capacity(now), 1), maxAhead)
	return time.Duration(taken / (1 - taken) * float64(expected))
}

// margin is the time by which the answer to a new question is expected before it is due. One that was queued with it is
// kept when it turns out a little later, since a rejection would no longer come at once.
func (g *Granter) margin() time.Duration { return time.Duration(marginShare * float64(g.answerTime())) }

// expectedWait returns the expected time until the question at a position gets a slot.
func (g *Granter) expectedWait(now time.Time, position, slots int) time.Duration {
	if slots <= 0 {
		return g.pauseLeft(now)
	}
	return g.answerTime() * time.Duration(position+1) / time.Duration(slots)
}

// pauseLeft returns the time until the first server that is paused gets grants again.
func (g *Granter) pauseLeft(now time.Time) time.Duration {
	left := maxFailedPause
	for _, s := range g.servers {
		if s.Usable {
			left = min(left, max(s.pausedUntil.Sub(now), 0))
		}
	}
	return left
}

func (g *Granter) reject(now time.Time, w *waiting, reason Reason, out *Outbox) {
	g.counts.Rejected[reason]++
	wait := g.expectedWait(now, len(g.queue.list), g.slots(now))
	longest := time.Duration(maxRetryShare * float64(w.deadline.Sub(now)))
	g.answer(w.key, Answer{Kind: Rejected, Reason: reason, Wait: min(max(wait, minRetryAfter), max(longest, minRetryAfter))}, out)
}

// report records what became of a grant.
func (g *Granter) report(now time.Time, from netip.Addr, r *Report) {
	key := leaseKey{from, r.Number}
	l := g.leases[key]
	if l == nil {
		if r.End != Running {
			g.queue.remove(key)
		}
		return
	}
	if r.End == Running {
		l.heardAt = now
		return
	}
	g.release(key, l)
	l.server.recordEnd(now, r.End)
	if until := l.grantedAt.Add(g.SlotTime()); (r.End == Failed || r.End == Abandoned) && now.Before(until) {
		l.server.foreign = append(l.server.foreign, until)
	}
	g.learn(now, l, r)
}

func (g *Granter) release(key leaseKey, l *lease) {
	delete(g.leases, key)
	l.server.remove(l)
}

// learn takes over what a report says of the time in a slot, and of requests at the server that were not granted here.
func (g *Granter) learn(now time.Time, l *lease, r *Report) {
	// A server with more requests than slots makes them wait, which says nothing of the time in a slot.
	if r.End == Served && r.Took > 0 && r.Took <= maxSlotTime && r.Load <= l.server.Slots {
		if g.serverTime.n > 0 {
			g.deviation.add((now.Sub(l.grantedAt) - g.SlotTime()).Abs())
		}
		g.serverTime.add(r.Took)
		g.slotTime.add(now.Sub(l.grantedAt))
	}
	if r.Load > 0 {
		// The server counted the request of the report as well, whose grant has ended now.
		l.server.setForeign(now, r.Load-1-len(l.server.leases), g.answerTime())
	}
}

// checkLease ends a grant whose router is not heard, and asks about one of an age.
func (g *Granter) checkLease(now time.Time, l *lease, old time.Duration, out *Outbox) {
	switch {
	case now.Sub(l.heardAt) >= leaseTime:
		g.release(l.key, l)
		g.counts.Expired++
	case now.Sub(l.grantedAt) >= old && now.Sub(l.probedAt) >= probeInterval && now.Sub(l.heardAt) >= probeInterval:
		l.probedAt = now
		g.counts.Probed++
		m := out.to(l.key.router, g.term)
		m.Probes = append(m.Probes, l.key.number)
	}
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
