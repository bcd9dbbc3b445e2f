package admission

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// Submit requests a slot. The outcome is already delivered on return if the
// request need not wait.
func (p *Pool) Submit(now time.Time, req *Request) *Ticket {
	t := &Ticket{req: req, arrivedAt: now, dueIndex: -1, engine: -1, done: make(chan Outcome, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := classOf(req.Class)
	p.counters.submitted++
	p.classes[c].lastRequestAt = now
	if code := p.checkSubmit(now, req); code != "" {
		p.refuse(now, t, code)
		return t
	}
	t.tokens = req.PromptTokens + req.OutputTokens
	t.key = p.placementKey(req)
	w := p.workspace(req.Workspace)
	t.flow = &w.flows[c]
	p.enqueue(t)
	p.dispatch(now)
	if t.phase != phaseQueued && t.phase != phaseParked {
		return t
	}
	if code := p.checkWait(now, t); code != "" {
		p.withdraw(t)
		p.refuse(now, t, code)
		return t
	}
	if t.phase == phaseQueued {
		p.due.schedule(t, req.Deadline)
	}
	return t
}

// placementKey returns the rendezvous key: the chat's key, or a random number
// for a request without a chat.
func (p *Pool) placementKey(req *Request) uint64 {
	if req.Chat == "" {
		return uint64(p.deps.Rand() * (1 << 63))
	}
	return placement.ChatKey(req.Workspace, req.Chat)
}

// checkSubmit returns the code with which a request is refused before it is
// queued, or an empty code.
func (p *Pool) checkSubmit(now time.Time, req *Request) Code {
	if p.closeCode != "" {
		return p.closeCode
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return CodeDeadline
	}
	if !p.hasEligibleEngine(req) {
		return CodeNoEngine
	}
	if !req.Retry {
		p.budget.deposit()
		return ""
	}
	if !p.budget.tryWithdraw() {
		return CodeRetryBudget
	}
	return ""
}

// checkWait returns the code with which a request that would have to wait is
// refused, or an empty code.
func (p *Pool) checkWait(now time.Time, t *Ticket) Code {
	if t.flow.ws.queued > t.flow.ws.maxQueued {
		return CodeWorkspaceQueueFull
	}
	if p.queued > p.queueLimit() {
		return CodeQueueFull
	}
	if t.req.Deadline.IsZero() || t.phase == phaseParked {
		return ""
	}
	if p.minQueueWait(t.flow) > t.req.Deadline.Sub(now) {
		return CodeDeadline
	}
	return ""
}

// minQueueWait estimates a lower bound of the wait of a flow's last ticket: the
// time until a slot is freed for each ticket of the same flow before it.
func (p *Pool) minQueueWait(f *flow) time.Duration {
	perSecond := p.slotsFreedPerSecond()
	if perSecond <= 0 {
		return 0
	}
	ahead := min(f.ws.queued, p.classes[f.class].waiting) - 1
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// hasEligibleEngine reports whether a live engine is not excluded.
func (p *Pool) hasEligibleEngine(req *Request) bool {
	live := p.live
	if live == 0 || len(req.Exclude) == 0 {
		return live > 0
	}
	exclude := p.excludedEngines(req)
	for _, i := range exclude {
		if p.view.Engines[i].State.Live() {
			live--
		}
	}
	return live > 0
}

// excludedEngines returns the positions of the engines that a request
// excludes, without duplicates. The result is valid until the next call.
func (p *Pool) excludedEngines(req *Request) []int {
	out := p.excludeBuf[:0]
next:
	for _, name := range req.Exclude {
		i, ok := p.byName[name]
		if !ok {
			continue
		}
		for _, seen := range out {
			if seen == i {
				continue next
			}
		}
		out = append(out, i)
	}
	p.excludeBuf = out
	return out
}

// enqueue appends a ticket to its flow and counts it as queued.
func (p *Pool) enqueue(t *Ticket) {
	f := t.flow
	t.phase = phaseQueued
	f.push(t)
	f.ws.queued++
	p.queued++
	p.classes[f.class].waiting++
	p.classes[f.class].activate(f)
}

// withdraw removes a waiting ticket from its flow or from the engine's list of
// parked tickets.
func (p *Pool) withdraw(t *Ticket) {
	p.due.schedule(t, time.Time{})
	if t.phase == phaseParked {
		p.unpark(t)
	} else {
		p.dequeue(t)
	}
	t.flow.ws.queued--
	p.queued--
}

// dequeue removes a ticket from its flow; the ticket still counts as queued.
func (p *Pool) dequeue(t *Ticket) {
	q := &p.classes[t.flow.class]
	t.flow.remove(t)
	q.waiting--
	if t.flow.head == nil {
		q.deactivate(t.flow)
	}
}

// refuse delivers a refusal for a ticket that is not in the queue.
func (p *Pool) refuse(now time.Time, t *Ticket, code Code) {
	t.phase = phaseDone
	p.counters.refused[code]++
	t.done <- Outcome{Refusal: &Refusal{Code: code, RetryAfter: p.retryAfter(code)}}
	if t.flow != nil {
		p.removeIdleWorkspace(t.flow.ws)
	}
}

// removeIdleWorkspace removes the state of a workspace without requests. A
// workspace that used more than its fair share is kept until the virtual time
// has passed its last grant.
func (p *Pool) removeIdleWorkspace(w *workspace) {
	if !w.idle() {
		return
	}
	for c := range w.flows {
		if w.flows[c].virtualFinish > p.classes[c].virtualTime {
			return
		}
	}
	delete(p.workspaces, w.name)
}
