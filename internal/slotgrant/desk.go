package slotgrant

import (
	"net/netip"
	"time"
)

// View is what a router knows of a pool and of the other routers at a moment.
type View struct {
	// Candidates are the routers that may grant, the first one first. All routers that hear the same others have the
	// same order.
	Candidates []netip.Addr
	Servers    []Server
	// LoadsKnown is set while the loads of Servers are those of all routers, or no other router is known.
	LoadsKnown bool
}

// Desk is both sides of a pool at one router, which also is the way between them.
type Desk struct {
	Asker   *Asker
	Granter *Granter
	self    netip.Addr
	out     *Outbox
	// paused is set when the process was frozen since it last granted.
	paused bool
	// tookOver is set when this router has begun to grant in place of another one, until the others are told.
	tookOver bool
}

// NewDesk returns a Desk of the router at an address. See NewAsker for the number.
func NewDesk(pool uint64, self netip.Addr, number uint64) *Desk {
	return &Desk{Asker: NewAsker(self, number), Granter: &Granter{}, self: self, out: NewOutbox(pool)}
}

// Busy reports whether Tick has to be called within tickInterval.
func (d *Desk) Busy() bool { return d.Asker.Busy() || d.Granter.Busy() }

// NextTick returns the time until Tick has to be called, while the desk is busy.
func (d *Desk) NextTick(now time.Time) time.Duration {
	if d.Granter.Active() {
		return d.Granter.nextTick(now)
	}
	return tickInterval
}

// Ask asks for a slot. When no router grants, it returns false.
func (d *Desk) Ask(now time.Time, v View, q Question) (number uint64, asked bool) {
	number, asked = d.Asker.Ask(now, v.Candidates, q, d.out)
	d.deliverOwn(now, v)
	return number, asked
}

// Cancel withdraws a question whose request has ended.
func (d *Desk) Cancel(now time.Time, v View, number uint64) {
	d.Asker.Cancel(number, d.out)
	d.deliverOwn(now, v)
}

// End reports the end of a granted request.
func (d *Desk) End(now time.Time, v View, r Report) {
	d.Asker.End(r, d.out)
	d.deliverOwn(now, v)
}

// Receive handles a message of another router.
func (d *Desk) Receive(now time.Time, v View, from netip.Addr, m *Message) {
	d.receive(now, v, from, m)
	d.deliverOwn(now, v)
}

// Tick does what is due.
func (d *Desk) Tick(now time.Time, v View) {
	d.updateRole(now, v, 0)
	if d.Granter.Active() {
		d.Granter.Tick(now, d.out)
	}
	d.Asker.Tick(now, d.out)
	d.deliverOwn(now, v)
}

// Paused makes this router forget what it has granted: it was frozen, and another one may have granted since.
func (d *Desk) Paused() {
	d.Granter.End()
	d.paused = true
}

// Take returns what is to be sent to other routers.
func (d *Desk) Take() []Outgoing { return d.out.Take() }

// deliverOwn handles what this router tells itself.
func (d *Desk) deliverOwn(now time.Time, v View) {
	for {
		own := d.out.takeOf(d.self)
		if own == nil {
			return
		}
		d.receive(now, v, d.self, own)
	}
}

func (d *Desk) receive(now time.Time, v View, from netip.Addr, m *Message) {
	if len(m.Questions) > 0 || len(m.Reports) > 0 || m.Ping {
		d.receiveAsGranter(now, v, from, m)
	}
	if m.Pong && m.First == from && from != d.self && m.Term >= d.Asker.Term() {
		d.Asker.Follow(now, v.Candidates, from, d.out)
	}
	d.Asker.Receive(now, from, m, d.out)
}

// TakeAnnouncement returns what all other routers are to be told now, or nil: that this one grants in place of one that is silent.
// Each of them would else find that out with a request of its own.
func (d *Desk) TakeAnnouncement() *Message {
	if !d.tookOver {
		return nil
	}
	d.tookOver = false
	return &Message{Pool: d.out.pool, Term: d.Granter.term, Pong: true, First: d.self}
}

func (d *Desk) receiveAsGranter(now time.Time, v View, from netip.Addr, m *Message) {
	if first := d.updateRole(now, v, m.Term); first != d.self {
		d.sendElsewhere(now, v, from, first, m)
		return
	}
	if len(m.Questions) > 0 && !d.Granter.Active() {
		d.begin(now, v, m.Term)
	}
	d.Granter.Receive(now, from, m, d.out)
}

// updateRole ends the granting when another router is first, and forgets what was granted when another one has granted
// since. It returns the first router; the zero address when there is none.
func (d *Desk) updateRole(now time.Time, v View, heard uint64) (first netip.Addr) {
	first = d.Asker.Choose(now, v.Candidates, d.out)
	if first == d.self && len(v.Servers) == 0 {
		// Other rules bound the load of the servers now, which the others may not know yet.
		first = netip.Addr{}
	}
	if !d.Granter.Active() {
		return first
	}
	d.Granter.SetServers(v.Servers)
	switch {
	case first != d.self:
		d.Granter.Handover(first, d.out)
	case max(heard, d.Asker.Term()) > d.Granter.term:
		d.paused = true
		d.begin(now, v, heard)
	}
	return first
}

func (d *Desk) begin(now time.Time, v View, heard uint64) {
	d.Granter.SetServers(v.Servers)
	if d.Granter.serverTime.n == 0 {
		d.Granter.serverTime = d.Asker.serverTime
	}
	d.Granter.Begin(now, max(heard, d.Asker.Term()), v.LoadsKnown && !d.paused)
	d.paused = false
	d.tookOver = d.tookOver || v.Candidates[0] != d.self
}

// sendElsewhere answers a router that has asked this one, which does not grant. The routers before this one are pinged unless
// they were heard lately: it may have to take their place.
func (d *Desk) sendElsewhere(now time.Time, v View, to, first netip.Addr, m *Message) {
	for _, addr := range v.Candidates {
		if addr == d.self {
			break
		}
		d.Asker.Check(now, addr, recentlyHeard, d.out)
	}
	if m.Ping {
		d.out.to(to, d.Asker.Term()).Pong = true
	}
	for _, q := range m.Questions {
		reply := d.out.to(to, d.Asker.Term())
		reply.First = first
		reply.Answers = append(reply.Answers, Answer{Number: q.Number, Kind: Elsewhere})
	}
}
