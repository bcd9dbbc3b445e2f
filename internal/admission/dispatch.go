package admission

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

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

func (p *Pool) leaseExpired(now time.Time) bool {
	return !p.leaseEnd.IsZero() && !now.Before(p.leaseEnd)
}

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

func (p *Pool) pick(t *Ticket) placement.Choice {
	job := placement.Job{Key: t.key, Hint: -1, Waited: t.waited}
	p.prefixBuf = p.prefixBuf[:0]
	if t.req.Chat != "" {
		p.prefixBuf = p.index.Lookup(t.key, p.prefixBuf)
	}
	job.PrefixHolders = p.prefixBuf
	job.Exclude = p.excludedEngines(t.req)
	if i, ok := p.byName[t.req.Hint.Engine]; ok && placement.Hash(p.engines[i].boot) == t.req.Hint.BootHash {
		job.Hint = i
	}
	return p.picker.Pick(&p.view, &job)
}

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

func (p *Pool) unpark(t *Ticket) {
	list := p.engines[t.engine].parked
	for i := range list {
		if list[i] == t {
			p.engines[t.engine].parked = append(list[:i], list[i+1:]...)
			return
		}
	}
}

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

const maxCredit = 2

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

const lookupReservePeriod = 1 * time.Minute

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

func (p *Pool) reserveActive(now time.Time, c class) bool {
	q := &p.classes[c]
	if len(q.active) > 0 {
		return true
	}
	return c == classLookup && !q.lastSeen.IsZero() && now.Sub(q.lastSeen) < lookupReservePeriod
}

func (p *Pool) reservedSlots(c class, total int) int {
	return int(p.classes[c].share * float64(total))
}
