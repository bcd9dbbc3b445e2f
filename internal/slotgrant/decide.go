package slotgrant

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// marginShare is the share of the time in a slot by which an answer is expected before it is due: the expected wait is
	// not exact. At a load of more than 1 it is larger by marginPerLoad for each unit of load, up to maxMarginShare.
	marginShare    = 0.5
	marginPerLoad  = 5
	maxMarginShare = 1.5
	// capacityLimit is the load, as a share of what the slots take, below which a request that misses its objective may
	// still be served within its deadline. The load is that of the last second, and varies by a tenth.
	capacityLimit = 1.05
	// Of neededPerSlots slots one needs a question that waits, whether it can be in time or not: its slot would else be empty
	// until another one arrives.
	neededPerSlots = 2
	// maxTakenShare bounds the share of the slots that questions before another one are expected to take.
	maxTakenShare = 0.95
	// minRetryAfter and maxRetryShare, a share of the deadline, bound the wait that a rejected caller is asked for, as in package
	// overload.
	minRetryAfter = 100 * time.Millisecond
	maxRetryShare = 0.2
)

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
	g.rejectLate(now, min(position, len(g.queue.list)), w, out)
	if g.queue.byKey[key] != nil {
		g.counts.Queued++
		g.answer(key, Answer{Kind: Queued}, out)
	}
}

func (g *Granter) newWaiting(now time.Time, key leaseKey, q *Question) *waiting {
	g.arrivals++
	w := &waiting{
		key: key, priority: min(max(q.Priority, 0), maxPriority),
		excess: g.shares.record(now, q.Workspace, g.capacity(now), !g.hasCapacity(now)),
		due:    now.Add(min(q.Objective, q.Deadline)), deadline: now.Add(q.Deadline),
		number: g.arrivals, exclude: q.Exclude,
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

// capacity returns the number of requests a second that the slots take: slots / answerTime, since a grant in transit takes no slot.
// Where grants exceed the slots, it is the rate at which so many of them end: limit / grant time.
func (g *Granter) capacity(now time.Time) float64 {
	if limit, grantTime, ok := g.overcommitted(now); ok {
		return float64(limit) / grantTime.Seconds()
	}
	return float64(g.slots(now)) / g.answerTime().Seconds()
}

// hasCapacity reports whether the slots take all questions, so that one slot for a late request costs no other its
// objective.
func (g *Granter) hasCapacity(now time.Time) bool {
	return g.load(now) < capacityLimit
}

// load returns the rate of the questions as a share of what the slots take; 1 is as many.
func (g *Granter) load(now time.Time) float64 {
	return g.demand.perSecond(now) / max(g.capacity(now), 1)
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
		if now.Add(g.answerTime()).After(w.deadline) && !g.idle() {
			g.reject(now, w, ReasonOvertaken, out)
			continue
		}
		g.grant(now, w, s, out)
		free--
	}
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

// rejectLate rejects the questions from a position on that the questions before them make late, and those that no server may take.
// newest is the question that has just arrived, or nil. It is expected to finish later than the queue says, by its margin and by
// overtakingWait; one that waits already is rejected only when it can't be in time at all.
func (g *Granter) rejectLate(now time.Time, from int, newest *waiting, out *Outbox) {
	slots := g.slots(now)
	for i := len(g.queue.list) - 1; i >= from; i-- {
		w := g.queue.list[i]
		expected := g.expectedWait(now, i, slots)
		finish := now.Add(expected + g.answerTime())
		if w == newest {
			finish = finish.Add(g.margin(now, w))
			if !g.hasCapacity(now) {
				finish = finish.Add(g.overtakingWait(now, w, expected))
			}
		}
		reason := g.reasonToReject(now, w, finish)
		if reason == ReasonNone {
			continue
		}
		if (reason == ReasonLate || reason == ReasonShare) && g.keepsLate(now, w, finish, i < slots/neededPerSlots) {
			if !w.late && now.Add(expected+g.answerTime()).After(w.due) {
				g.queue.removeAt(i)
				w.setLate(now)
				g.queue.insert(w)
			}
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

// keepsLate reports whether a question that misses its objective is kept, to be served late with what the others leave of the
// slots. needed is set when so few questions come before it that slots would be left empty before another one arrives.
func (g *Granter) keepsLate(now time.Time, w *waiting, finish time.Time, needed bool) bool {
	if needed {
		return !now.Add(g.answerTime()).After(w.deadline)
	}
	return !w.late && !finish.After(w.lateDue(now)) && g.hasCapacity(now)
}

// overtakingWait returns by how much longer a new question waits because of those that arrive later and come before it. They take a
// share of the slots, so that the wait grows from expected to expected / (1 - taken). The result is
//
//	expected * taken / (1 - taken)
//	taken = rate of the questions that come before it / capacity, at most maxTakenShare
func (g *Granter) overtakingWait(now time.Time, w *waiting, expected time.Duration) time.Duration {
	taken := min(g.demand.ahead(now, w.excess, w.priority)/max(g.capacity(now), 1), maxTakenShare)
	return time.Duration(taken / (1 - taken) * float64(expected))
}

// margin is the time by which the answer to a new question is expected before it is due. One that was queued with it is
// kept when it turns out a little later, since a rejection would no longer come at once.
//
//	answerTime * (marginShare + marginPerLoad * (load - 1))
//	load = rate of the questions of the same or an earlier place / capacity
//
// The factor is marginShare to maxMarginShare. The margin is larger where such questions fill the slots anyway: a shorter queue
// keeps them busy then, and more of what is granted is in time.
func (g *Granter) margin(now time.Time, w *waiting) time.Duration {
	load := g.demand.ahead(now, w.excess, w.priority+1) / max(g.capacity(now), 1)
	share := marginShare + (load-1)*marginPerLoad
	return time.Duration(min(max(share, marginShare), maxMarginShare) * float64(g.answerTime()))
}

// expectedWait returns the expected time until the question at a position gets a slot: (position + 1) / capacity, or the rest of the
// shortest pause when no server may get grants.
func (g *Granter) expectedWait(now time.Time, position, slots int) time.Duration {
	if slots <= 0 {
		return g.pauseLeft(now)
	}
	return time.Duration(float64(position+1) / g.capacity(now) * float64(time.Second))
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
