package slotgrant

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// A question may have no answer, of any kind, for answerShare of what is left of its objective, but minAnswerTimeout to
	// maxAnswerTimeout; then its request goes on without a grant. A VM of 0.192 cores may stop for 80 ms at a time. The question
	// is sent again after resendShare of that time.
	answerShare      = 0.3
	minAnswerTimeout = 25 * time.Millisecond
	maxAnswerTimeout = 90 * time.Millisecond
	resendShare      = 0.4
	// queuedResend is the time after which a queued question is sent again, to notice that the granting router has ended
	// and to get a grant that was lost.
	queuedResend = 80 * time.Millisecond
	// redirectTime is how long a router asks the one that another router has named.
	redirectTime = time.Second
)

// Decision is what becomes of a request that has asked for a slot.
type Decision struct {
	// Number is that of the question.
	Number uint64
	// Kind is Granted, Rejected, or Elsewhere when no router grants.
	Kind Kind
	// Server is the hash of the granted incarnation; 0 for other kinds.
	Server uint64
	// Wait is how long the caller of a rejected request should wait, and Reason why it was rejected.
	Wait   time.Duration
	Reason Reason
}

// pending is a question without a decision.
type pending struct {
	question Question
	to       netip.Addr
	// due and deadline are the ends of the objective and of the deadline.
	due, deadline time.Time
	// sentAt is when the question was last sent, and waitsSince when the one was sent that has no answer yet; zero when it was
	// answered.
	sentAt, waitsSince time.Time
	// timeout is how long the question may wait for an answer of any kind.
	timeout time.Duration
	// redirected is set once it was sent to the router that another one has named.
	redirected bool
}

// Asker asks for the slots of a pool. It is not safe for concurrent use.
type Asker struct {
	self netip.Addr
	// term is the highest one that is known, and next the number of the last question.
	term uint64
	next uint64
	// pending has the questions without a decision by their numbers.
	pending map[uint64]*pending
	// running maps the granted requests to the routers that granted them.
	running  map[uint64]netip.Addr
	contacts map[netip.Addr]*contact
	// first is the router that another one has named, until redirectedUntil.
	first           netip.Addr
	redirectedUntil time.Time
	// serverTime is the usual time of a request at a server.
	serverTime average
	// decisions are those that TakeDecisions has not returned yet.
	decisions []Decision
}

// NewAsker returns an Asker of the router at an address. Its questions have the numbers after the given one, which must be random, so
// that those of an earlier process at the address are not taken for its own.
func NewAsker(self netip.Addr, number uint64) *Asker {
	return &Asker{
		self: self, next: number, pending: make(map[uint64]*pending), running: make(map[uint64]netip.Addr),
		contacts: make(map[netip.Addr]*contact),
	}
}

// Term returns the highest term that this router knows.
func (a *Asker) Term() uint64 { return a.term }

// Busy reports whether Tick has to be called within tickInterval.
func (a *Asker) Busy() bool {
	if len(a.pending) > 0 {
		return true
	}
	for _, c := range a.contacts {
		if c.pingWaits && !c.silent {
			return true
		}
	}
	return false
}

// SlotTime returns the usual time of a request at a server.
func (a *Asker) SlotTime() time.Duration {
	return a.serverTime.or(defaultSlotTime)
}

// Ask sends a question to the first of the candidates that is not silent, or to the one that another router has named. asked is false
// when there is none: no router grants. The decision is returned by TakeDecisions, with the number.
func (a *Asker) Ask(now time.Time, candidates []netip.Addr, q Question, out *Outbox) (number uint64, asked bool) {
	to := a.Choose(now, candidates, out)
	if now.Before(a.redirectedUntil) && !a.Silent(a.first) {
		to = a.first
	}
	if !to.IsValid() {
		return 0, false
	}
	a.next++
	q.Number = a.next
	p := &pending{question: q, to: to, due: now.Add(q.Objective), deadline: now.Add(q.Deadline), waitsSince: now}
	p.timeout = min(max(time.Duration(answerShare*float64(q.Objective)), minAnswerTimeout), maxAnswerTimeout)
	a.pending[q.Number] = p
	a.send(now, p, out)
	return q.Number, true
}

func (a *Asker) send(now time.Time, p *pending, out *Outbox) {
	p.sentAt = now
	q := p.question
	q.Objective, q.Deadline = max(p.due.Sub(now), 0), max(p.deadline.Sub(now), 0)
	m := out.to(p.to, a.term)
	m.Questions = append(m.Questions, q)
}

// Cancel withdraws a question whose request has ended.
func (a *Asker) Cancel(number uint64, out *Outbox) {
	p := a.pending[number]
	if p == nil {
		return
	}
	delete(a.pending, number)
	a.report(p.to, Report{Number: number, End: Unused}, out)
}

// End reports the end of a granted request. It has no effect for a number that is not granted.
func (a *Asker) End(r Report, out *Outbox) {
	to, ok := a.running[r.Number]
	if !ok {
		return
	}
	delete(a.running, r.Number)
	a.RecordTime(r)
	a.report(to, r, out)
}

// RecordTime records how long a request was at a server, also one without a grant.
func (a *Asker) RecordTime(r Report) {
	if r.End == Served && r.Took > 0 {
		a.serverTime.add(r.Took)
	}
}

func (a *Asker) report(to netip.Addr, r Report, out *Outbox) {
	m := out.to(to, a.term)
	m.Reports = append(m.Reports, r)
}

// Receive handles the answers and probes of a router.
func (a *Asker) Receive(now time.Time, from netip.Addr, m *Message, out *Outbox) {
	if len(m.Answers) > 0 || len(m.Probes) > 0 || m.Pong {
		c := a.contact(from)
		c.heardAt, c.silent, c.pingWaits = now, false, false
	}
	stale := m.Term < a.term
	a.term = max(a.term, m.Term)
	for _, ans := range m.Answers {
		if stale && ans.Kind != Elsewhere {
			// Another router has granted since. The question is sent again with the newest term.
			a.returnGrant(from, ans, out)
			continue
		}
		a.answered(now, from, m, ans, out)
	}
	for _, number := range m.Probes {
		a.probed(now, from, number, out)
	}
}

// returnGrant gives back a grant that is not used.
func (a *Asker) returnGrant(from netip.Addr, ans Answer, out *Outbox) {
	if ans.Kind == Granted && a.running[ans.Number] != from {
		a.report(from, Report{Number: ans.Number, End: Unused}, out)
	}
}

func (a *Asker) answered(now time.Time, from netip.Addr, m *Message, ans Answer, out *Outbox) {
	p := a.pending[ans.Number]
	if p == nil || p.to != from {
		a.returnGrant(from, ans, out)
		return
	}
	p.waitsSince = time.Time{}
	switch ans.Kind {
	case Granted:
		a.running[ans.Number] = from
		a.decide(Decision{Number: ans.Number, Kind: Granted, Server: ans.Server})
	case Rejected:
		a.decide(Decision{Number: ans.Number, Kind: Rejected, Wait: ans.Wait, Reason: ans.Reason})
	case Elsewhere:
		a.redirect(now, from, m.First, p, out)
	case Queued:
	default:
		// A kind that a later build has.
		a.decide(Decision{Number: ans.Number, Kind: Elsewhere})
	}
}

// redirect asks the router that another one has named, once.
func (a *Asker) redirect(now time.Time, from, first netip.Addr, p *pending, out *Outbox) {
	if from == a.first {
		a.redirectedUntil = time.Time{}
	}
	if p.redirected || !first.IsValid() || first == from || a.foundSilent(now, first) {
		a.decide(Decision{Number: p.question.Number, Kind: Elsewhere})
		return
	}
	a.first, a.redirectedUntil = first, now.Add(redirectTime)
	p.redirected, p.to, p.waitsSince = true, first, now
	a.send(now, p, out)
}

func (a *Asker) decide(d Decision) {
	delete(a.pending, d.Number)
	a.decisions = append(a.decisions, d)
}

// probed answers whether a request still runs.
func (a *Asker) probed(now time.Time, from netip.Addr, number uint64, out *Outbox) {
	switch p := a.pending[number]; {
	case a.running[number] == from:
		a.report(from, Report{Number: number, End: Running}, out)
	case p != nil && p.to == from:
		// The grant was lost.
		a.send(now, p, out)
	default:
		// The report was lost, or the request has gone on without the grant.
		a.report(from, Report{Number: number, End: Unused}, out)
	}
}

// Tick sends questions again that have no answer, and gives up those that had none for too long.
func (a *Asker) Tick(now time.Time, out *Outbox) {
	for _, addr := range slices.SortedFunc(maps.Keys(a.contacts), netip.Addr.Compare) {
		a.awaitPing(now, addr, a.contacts[addr], out)
	}
	for _, number := range a.numbers() {
		p := a.pending[number]
		switch {
		case p.waitsSince.IsZero() && now.Sub(p.sentAt) >= queuedResend:
			p.waitsSince = now
			a.send(now, p, out)
		case p.waitsSince.IsZero():
		case now.Sub(p.waitsSince) >= p.timeout:
			if p.to != a.self {
				a.contact(p.to).setSilent(now)
			}
			a.decide(Decision{Number: number, Kind: Elsewhere})
			a.report(p.to, Report{Number: number, End: Unused}, out)
		case now.Sub(p.sentAt) >= time.Duration(resendShare*float64(p.timeout)):
			a.send(now, p, out)
		}
	}
}

// numbers returns the pending questions in the order in which they were asked.
func (a *Asker) numbers() []uint64 { return slices.Sorted(maps.Keys(a.pending)) }

// TakeDecisions returns what was decided since the last call.
func (a *Asker) TakeDecisions() []Decision {
	list := a.decisions
	a.decisions = nil
	return list
}
