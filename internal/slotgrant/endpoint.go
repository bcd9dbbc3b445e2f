package slotgrant

import (
	"net/netip"
	"time"
)

// View is what a router knows of the pool and of the other routers at the time of a call.
type View struct {
	// Candidates are the routers that may grant, the first one first. All routers that hear the same others have the
	// same order.
	Candidates []netip.Addr
	Servers    []Server
	// LoadsKnown is set while the loads of Servers are those of all routers, or no other router is known.
	LoadsKnown bool
}

// Endpoint joins the Asker and the Granter of one pool at one router, and delivers the messages that the router sends to itself. It is
// not safe for concurrent use.
type Endpoint struct {
	Asker   *Asker
	Granter *Granter
	self    netip.Addr
	out     *Outbox
	// paused is set when the process was frozen since it last granted.
	paused bool
	// tookOver is set when this router has begun to grant in place of another one, until the others are told.
	tookOver bool
}

// NewEndpoint returns an Endpoint of the router at an address. See NewAsker for the number.
func NewEndpoint(pool uint64, self netip.Addr, number uint64) *Endpoint {
	return &Endpoint{Asker: NewAsker(self, number), Granter: &Granter{}, self: self, out: NewOutbox(pool)}
}

// Busy reports whether Tick has to be called within tickInterval.
func (e *Endpoint) Busy() bool { return e.Asker.Busy() || e.Granter.Busy() }

// NextTick returns the time until Tick has to be called, while the endpoint is busy.
func (e *Endpoint) NextTick(now time.Time) time.Duration {
	if e.Granter.Active() {
		return e.Granter.nextTick(now)
	}
	return tickInterval
}

// Ask asks for a slot. When no router grants, it returns false.
func (e *Endpoint) Ask(now time.Time, v View, q Question) (number uint64, asked bool) {
	number, asked = e.Asker.Ask(now, v.Candidates, q, e.out)
	e.deliverOwn(now, v)
	return number, asked
}

// Cancel withdraws a question whose request has ended.
func (e *Endpoint) Cancel(now time.Time, v View, number uint64) {
	e.Asker.Cancel(number, e.out)
	e.deliverOwn(now, v)
}

// End reports the end of a granted request.
func (e *Endpoint) End(now time.Time, v View, r Report) {
	e.Asker.End(r, e.out)
	e.deliverOwn(now, v)
}

// Receive handles a message of another router.
func (e *Endpoint) Receive(now time.Time, v View, from netip.Addr, m *Message) {
	e.receive(now, v, from, m)
	e.deliverOwn(now, v)
}

// Tick does what is due.
func (e *Endpoint) Tick(now time.Time, v View) {
	e.updateRole(now, v, 0)
	if e.Granter.Active() {
		e.Granter.Tick(now, e.out)
	}
	e.Asker.Tick(now, e.out)
	e.deliverOwn(now, v)
}

// Paused makes this router forget what it has granted: it was frozen, and another one may have granted since.
func (e *Endpoint) Paused() {
	e.Granter.End()
	e.paused = true
}

// Take returns the messages to other routers and empties the outbox.
func (e *Endpoint) Take() []Outgoing { return e.out.Take() }

// deliverOwn handles the messages of this router to itself, and those that follow from them.
func (e *Endpoint) deliverOwn(now time.Time, v View) {
	for {
		own := e.out.takeOf(e.self)
		if own == nil {
			return
		}
		e.receive(now, v, e.self, own)
	}
}

func (e *Endpoint) receive(now time.Time, v View, from netip.Addr, m *Message) {
	if len(m.Questions) > 0 || len(m.Reports) > 0 || m.Ping {
		e.receiveAsGranter(now, v, from, m)
	}
	if m.Pong && m.First == from && from != e.self && m.Term >= e.Asker.Term() {
		e.Asker.Follow(now, v.Candidates, from, e.out)
	}
	e.Asker.Receive(now, from, m, e.out)
}

// TakeAnnouncement returns what all other routers are to be told now, or nil: that this one grants in place of one that is silent.
// Each of them would else find that out with a request of its own.
func (e *Endpoint) TakeAnnouncement() *Message {
	if !e.tookOver {
		return nil
	}
	e.tookOver = false
	return &Message{Pool: e.out.pool, Term: e.Granter.term, Pong: true, First: e.self}
}

func (e *Endpoint) receiveAsGranter(now time.Time, v View, from netip.Addr, m *Message) {
	if first := e.updateRole(now, v, m.Term); first != e.self {
		e.sendElsewhere(now, v, from, first, m)
		return
	}
	if len(m.Questions) > 0 && !e.Granter.Active() {
		e.begin(now, v, m.Term)
	}
	e.Granter.Receive(now, from, m, e.out)
}

// updateRole ends the granting when another router is first, and forgets what was granted when another one has granted
// since. It returns the first router; the zero address when there is none.
func (e *Endpoint) updateRole(now time.Time, v View, heard uint64) (first netip.Addr) {
	first = e.Asker.Choose(now, v.Candidates, e.out)
	if first == e.self && len(v.Servers) == 0 {
		// Other rules bound the load of the servers now, which the others may not know yet.
		first = netip.Addr{}
	}
	if !e.Granter.Active() {
		return first
	}
	e.Granter.SetServers(v.Servers)
	switch {
	case first != e.self:
		e.Granter.Handover(first, e.out)
	case max(heard, e.Asker.Term()) > e.Granter.term:
		e.paused = true
		e.begin(now, v, heard)
	}
	return first
}

func (e *Endpoint) begin(now time.Time, v View, heard uint64) {
	e.Granter.SetServers(v.Servers)
	if e.Granter.serverTime.n == 0 {
		e.Granter.serverTime = e.Asker.serverTime
	}
	e.Granter.Begin(now, max(heard, e.Asker.Term()), v.LoadsKnown && !e.paused)
	e.paused = false
	e.tookOver = e.tookOver || v.Candidates[0] != e.self
}

// sendElsewhere answers a router that has asked this one, which does not grant. The routers before this one are pinged unless
// they were heard lately: it may have to take their place.
func (e *Endpoint) sendElsewhere(now time.Time, v View, to, first netip.Addr, m *Message) {
	for _, addr := range v.Candidates {
		if addr == e.self {
			break
		}
		e.Asker.Check(now, addr, recentlyHeard, e.out)
	}
	if m.Ping {
		e.out.to(to, e.Asker.Term()).Pong = true
	}
	for _, q := range m.Questions {
		reply := e.out.to(to, e.Asker.Term())
		reply.First = first
		reply.Answers = append(reply.Answers, Answer{Number: q.Number, Kind: Elsewhere})
	}
}
