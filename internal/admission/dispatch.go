package admission

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// dispatch grants slots to waiting requests in the order of the fair queue.
func (p *Pool) dispatch(now time.Time) {
	if p.closeCode != "" || p.leaseExpired(now) {
		return
	}
	p.deferredFlows = p.deferredFlows[:0]
	for !p.saturated {
		c, ok := p.nextClass(now)
		if !ok {
			break
		}
		p.dispatchHead(now, c)
	}
	for _, f := range p.deferredFlows {
		p.classes[f.class].activate(f)
	}
}

// leaseExpired reports whether the owner's lease has expired. This check stops a
// process that was paused from granting slots with an old lease.
func (p *Pool) leaseExpired(now time.Time) bool {
	return !p.leaseEnd.IsZero() && !now.Before(p.leaseEnd)
}

// dispatchHead grants, parks, refuses or defers the first request of a class.
func (p *Pool) dispatchHead(now time.Time, c class) {
	q := &p.classes[c]
	f := q.active[0]
	t := f.head
	ch := p.pick(t)
	switch ch.Action {
	case placement.Place:
		p.dequeue(t)
		q.charge(f)
		p.updateCredits(c)
		p.grant(now, t, ch)
	case placement.Wait:
		p.dequeue(t)
		q.charge(f)
		p.park(now, t, ch.Engine)
	default:
		if len(t.req.Exclude) == 0 {
			p.saturated = true
			return
		}
		if !p.hasEligibleEngine(t.req) {
			p.withdraw(t)
			p.refuse(now, t, CodeNoEngine)
			return
		}
		q.deactivate(f)
		p.deferredFlows = append(p.deferredFlows, f)
	}
}

// pick asks the picker for an engine.
func (p *Pool) pick(t *Ticket) placement.Choice {
	job := placement.Job{Key: t.key, HintedEngine: -1, Waited: t.waited}
	p.prefixBuf = p.prefixBuf[:0]
	if t.req.Chat != "" {
		p.prefixBuf = p.index.Lookup(t.key, p.prefixBuf)
	}
	job.PrefixHolders = p.prefixBuf
	job.Exclude = p.excludedEngines(t.req)
	if i, ok := p.byName[t.req.Hint.Engine]; ok && placement.Hash(p.engines[i].bootID) == t.req.Hint.BootHash {
		job.HintedEngine = i
	}
	return p.picker.Pick(&p.view, &job)
}

// park makes a ticket wait for a slot of one engine.
func (p *Pool) park(now time.Time, t *Ticket, engine int) {
	t.phase, t.engine, t.parkedAt = phaseParked, engine, now
	p.engines[engine].parked = append(p.engines[engine].parked, t)
	p.counters.parked++
	due := now.Add(p.view.HomeWait - t.waited)
	if !t.req.Deadline.IsZero() && t.req.Deadline.Before(due) {
		due = t.req.Deadline
	}
	p.due.schedule(t, due)
}

// unpark removes a ticket from the engine's list of parked tickets.
func (p *Pool) unpark(t *Ticket) {
	list := p.engines[t.engine].parked
	for i := range list {
		if list[i] == t {
			p.engines[t.engine].parked = append(list[:i], list[i+1:]...)
			return
		}
	}
}

// dispatchParked tries to place the tickets that wait for an engine, in order of
// arrival. It skips tickets of workspaces that are at their limit.
func (p *Pool) dispatchParked(now time.Time, engine int) {
	for at := 0; at < len(p.engines[engine].parked) && p.closeCode == "" && !p.leaseExpired(now); {
		t := p.engines[engine].parked[at]
		if t.flow.ws.atLimit() || !p.mayUseFreeSlot(now, t.flow.class) {
			at++
			continue
		}
		t.waited = now.Sub(t.parkedAt)
		ch := p.pick(t)
		if ch.Action != placement.Place {
			return
		}
		p.unpark(t)
		p.updateCredits(t.flow.class)
		p.grant(now, t, ch)
	}
}

// requeueParked puts a parked ticket back at the head of its flow. The flow was
// charged when the ticket was parked, so the charge is reversed.
func (p *Pool) requeueParked(t *Ticket) {
	p.unpark(t)
	f := t.flow
	q := &p.classes[f.class]
	t.phase, t.engine = phaseQueued, -1
	t.waited = p.view.HomeWait
	t.next = f.head
	if f.head == nil {
		f.tail = t
	} else {
		f.head.prev = t
	}
	f.head = t
	q.waiting++
	q.deactivate(f)
	f.virtualFinish -= 1 / f.ws.weight
	q.activate(f)
	p.due.schedule(t, t.req.Deadline)
}

// nextClass returns the class of the next grant: of the classes with a credit
// of at least one grant the one with the most, else the most urgent class.
func (p *Pool) nextClass(now time.Time) (class, bool) {
	best, found := class(0), false
	for c := range p.classes {
		q := &p.classes[c]
		if len(q.active) == 0 || !p.mayUseFreeSlot(now, class(c)) {
			continue
		}
		if !found {
			best, found = class(c), true
		}
		if q.credit >= 1 && q.credit > p.classes[best].credit {
			best = class(c)
		}
	}
	return best, found
}

// maxCredit limits the grants that a class can save up.
const maxCredit = 2

// updateCredits accounts for a grant to class c. Each class with waiting requests
// earns its share of the grant, and class c pays for it.
func (p *Pool) updateCredits(c class) {
	for o := range p.classes {
		q := &p.classes[o]
		if len(q.active) == 0 {
			q.credit = 0
			continue
		}
		q.credit = min(q.credit+q.share, maxCredit)
	}
	p.classes[c].credit = max(p.classes[c].credit-1, 0)
}

// lookupReservePeriod is the time for which free slots stay reserved for lookups
// after the last one, so that a lookup gets a slot without waiting.
const lookupReservePeriod = 1 * time.Minute

// mayUseFreeSlot reports whether a class may take a free slot without using the
// reserve of another class. This matters only near the absolute limit of all
// engines together.
func (p *Pool) mayUseFreeSlot(now time.Time, c class) bool {
	if p.view.MaxInFlight <= 0 {
		return true
	}
	total := p.live * p.view.MaxInFlight
	if p.classes[c].inFlight < p.reservedSlots(c, total) {
		return true
	}
	free := total - p.view.Slots
	for o := range p.classes {
		q := &p.classes[o]
		if class(o) != c && p.reserveActive(now, class(o)) {
			free -= max(p.reservedSlots(class(o), total)-q.inFlight, 0)
		}
	}
	return free > 0
}

// reserveActive reports whether slots are kept free for a class: it has a
// request that could run, or it is the lookup class and had a recent request.
func (p *Pool) reserveActive(now time.Time, c class) bool {
	q := &p.classes[c]
	if len(q.active) > 0 {
		return true
	}
	return c == classLookup && !q.lastRequestAt.IsZero() && now.Sub(q.lastRequestAt) < lookupReservePeriod
}

// reservedSlots returns the number of slots reserved for a class.
func (p *Pool) reservedSlots(c class, total int) int {
	return int(p.classes[c].share * float64(total))
}
