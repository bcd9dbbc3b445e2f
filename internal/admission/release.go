package admission

import (
	"sort"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// Cancel withdraws a request. A waiting request is refused with
// CodeCancelled. For a running request Cancel returns true: the caller cancels
// the attempt at the engine and then calls Release, because the engine holds
// the slot until then.
func (p *Pool) Cancel(now time.Time, t *Ticket) (running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch t.phase {
	case phaseRunning:
		return true
	case phaseQueued, phaseParked:
		p.withdraw(t)
		p.refuse(now, t, CodeCancelled)
		// The next request of the flow may use an engine that this one excluded.
		p.dispatch(now)
	}
	return false
}

// Release ends a granted request and frees its slot. For a ticket that is not
// running it changes nothing and returns false.
func (p *Pool) Release(now time.Time, t *Ticket, res Result) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.phase != phaseRunning {
		return false
	}
	t.phase = phaseDone
	e := &p.engines[t.engine]
	e.own--
	p.view.Engines[t.engine].OutstandingTokens -= t.tokens
	p.recordFreedSlot(t.engine, t.flow.class, t.flow.ws)
	p.recordResult(now, t, res)
	p.counters.released++
	p.dispatchParked(now, t.engine)
	p.removeUnusedRow(t.engine)
	p.dispatch(now)
	p.removeIdleWorkspace(t.flow.ws)
	return true
}

// recordFreedSlot updates the counts after a slot of an engine was released.
func (p *Pool) recordFreedSlot(engine int, c class, w *workspace) {
	p.updateLoad(engine)
	p.classes[c].inFlight--
	w.running--
	p.saturated = false
	p.updateActiveFlows(w)
}

// updateActiveFlows takes the flows of a workspace out of the fair queue while
// the workspace is at its limit of requests in flight, and otherwise puts them
// back.
func (p *Pool) updateActiveFlows(w *workspace) {
	for c := range w.flows {
		if w.atLimit() {
			p.classes[c].deactivate(&w.flows[c])
		} else {
			p.classes[c].activate(&w.flows[c])
		}
	}
}

// movingMeanWeight is the weight of a new sample in the mean service time.
const movingMeanWeight = 0.05

func movingMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + movingMeanWeight*(sample-mean)
}

// recordResult updates the mean service time and the prefix index from a result.
func (p *Pool) recordResult(now time.Time, t *Ticket, res Result) {
	e := &p.engines[t.engine]
	row := &p.view.Engines[t.engine]
	if res.Cancelled {
		return
	}
	if res.EngineFailed {
		p.counters.failed++
		return
	}
	serviceSeconds := now.Sub(t.grantedAt).Seconds()
	e.meanServiceSeconds = movingMean(e.meanServiceSeconds, serviceSeconds)
	p.meanServiceSeconds = movingMean(p.meanServiceSeconds, serviceSeconds)
	row.MeanServiceTime = time.Duration(e.meanServiceSeconds * float64(time.Second))
	p.counters.promptTokens += int64(res.PromptTokens)
	p.counters.cachedTokens += int64(res.CachedTokens)
	if t.generation != e.generation {
		return
	}
	key := t.key
	if t.req.Chat == "" {
		key = 0
	}
	total := res.PromptTokens + res.OutputTokens
	p.index.RecordUse(key, t.engine, total, total-res.CachedTokens)
}

// grant assigns an engine's slot to a ticket that was removed from the queue.
func (p *Pool) grant(now time.Time, t *Ticket, ch placement.Choice) {
	w := t.flow.ws
	w.queued--
	p.queued--
	p.due.schedule(t, time.Time{})
	q := &p.classes[t.flow.class]
	q.inFlight++
	w.running++
	if w.atLimit() {
		p.updateActiveFlows(w)
	}
	e := &p.engines[ch.Engine]
	e.own++
	p.updateLoad(ch.Engine)
	row := &p.view.Engines[ch.Engine]
	row.OutstandingTokens += t.tokens
	t.phase, t.engine, t.generation, t.grantedAt = phaseRunning, ch.Engine, e.generation, now
	p.counters.granted++
	p.counters.reasons[ch.Reason]++
	t.done <- Outcome{Grant: &Grant{
		Engine:               row.Name,
		BootID:               e.bootID,
		QueueTime:            now.Sub(t.arrivedAt),
		Reason:               ch.Reason,
		ExpectedPrefixTokens: ch.PrefixTokens,
	}}
}

// updateLoad recomputes an engine's load and its part of the pool's slots.
func (p *Pool) updateLoad(i int) {
	e := &p.engines[i]
	row := &p.view.Engines[i]
	row.Load = e.own + e.adopted + e.reserved
	counted := 0
	if row.State.Live() {
		counted = e.own + e.adopted
	}
	p.view.Slots += counted - e.countedSlots
	e.countedSlots = counted
}

// Tick handles waits for a prefix holder that ended, expired deadlines and
// expired reserves. It returns the time at which it must be called next; the
// zero time means that nothing is due. Call it also after a Submit without an
// immediate outcome, because the new request may be due before the time that
// the last call returned.
func (p *Pool) Tick(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.due) > 0 && !now.Before(p.due[0].due) {
		p.handleDue(now, p.due[0])
	}
	next := p.expireReserves(now)
	p.dispatch(now)
	p.sweepWorkspaces(now)
	if len(p.due) > 0 && (next.IsZero() || p.due[0].due.Before(next)) {
		next = p.due[0].due
	}
	return next
}

// Limits of the removal of idle workspaces.
const (
	sweepInterval = 1 * time.Second
	// sweepBatch is the number of workspaces that one sweep checks.
	sweepBatch = 256
)

// sweepWorkspaces removes some idle workspaces, so that the table is bounded by
// the workspaces in use.
func (p *Pool) sweepWorkspaces(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	n := 0
	for _, w := range p.workspaces {
		p.removeIdleWorkspace(w)
		n++
		if n == sweepBatch {
			return
		}
	}
}

// handleDue ends a ticket's wait for a prefix holder, or refuses the ticket if
// its deadline has passed.
func (p *Pool) handleDue(now time.Time, t *Ticket) {
	deadlinePassed := !t.req.Deadline.IsZero() && !now.Before(t.req.Deadline)
	if t.phase == phaseParked && !deadlinePassed {
		p.requeueParked(t)
		return
	}
	p.withdraw(t)
	p.refuse(now, t, CodeDeadline)
}

// Suspend refuses every waiting request with code and returns these requests in
// order of arrival. Later requests are refused with the same code until
// SetShare; CodeStopping is final. Running requests keep their slots.
func (p *Pool) Suspend(now time.Time, code Code) []*Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeCode != CodeStopping {
		p.closeCode = code
	}
	return p.refuseAll(now, code)
}

// refuseAll refuses every waiting request and returns them in order of arrival.
func (p *Pool) refuseAll(now time.Time, code Code) []*Request {
	var all []*Ticket
	for i := range p.engines {
		all = append(all, p.engines[i].parked...)
	}
	for _, w := range p.workspaces {
		for c := range w.flows {
			for t := w.flows[c].head; t != nil; t = t.next {
				all = append(all, t)
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].arrivedAt.Before(all[j].arrivedAt) })
	reqs := make([]*Request, len(all))
	for i, t := range all {
		reqs[i] = t.req
		p.withdraw(t)
		p.refuse(now, t, code)
	}
	return reqs
}
