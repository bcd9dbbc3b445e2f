package forward

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/slotgrant"
)

// grantDesk asks for the slots of one group of a pool's servers, and grants them where this router is the one to do so. It is safe for
// concurrent use.
type grantDesk struct {
	pool   *grantPool
	group  uint64
	shared *grantsShared

	mu       sync.Mutex
	desk     *slotgrant.Desk
	fallback slotgrant.Fallback
	pauses   slotgrant.PauseDetector
	waiting  map[uint64]chan slotgrant.Decision
	// ticking is set while timer is to update the desk at tickAt.
	ticking bool
	tickAt  time.Time
	timer   *time.Timer
	// granting, silent and counts are as last logged and counted.
	granting bool
	silent   netip.Addr
	counts   slotgrant.Counts
}

func newGrantDesk(g *grantPool, group uint64) *grantDesk {
	return &grantDesk{
		pool: g, group: group, shared: g.shared, waiting: make(map[uint64]chan slotgrant.Decision),
		desk: slotgrant.NewDesk(group, g.shared.link.Self(), rand.Uint64()),
	}
}

// processStart is the origin of the monotonic clock that the pause detector compares.
var processStart = time.Now()

func (d *grantDesk) view(now time.Time) slotgrant.View { return d.pool.view(now, d.group) }

// update changes the desk, passes on what was decided, and sends what is to be sent.
func (d *grantDesk) update(change func(now time.Time)) {
	out, announcement := d.change(change)
	for _, o := range out {
		d.shared.link.SendGrants(o.To, o.Message)
	}
	if announcement == nil {
		return
	}
	for _, addr := range d.shared.link.LiveRouters() {
		d.shared.link.SendGrants(addr, announcement)
	}
}

// change changes the desk, and returns what is to be sent to single routers and to all.
func (d *grantDesk) change(change func(now time.Time)) ([]slotgrant.Outgoing, *slotgrant.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.pauses.Look(now.Sub(processStart), time.Duration(now.UnixNano()), d.ticking) && d.desk.Granter.Active() {
		d.desk.Paused()
		d.shared.events.Emit(event.GrantsForgotten, "pool", d.pool.pool.name)
	}
	change(now)
	for _, decision := range d.desk.Asker.TakeDecisions() {
		if ch := d.waiting[decision.Number]; ch != nil {
			delete(d.waiting, decision.Number)
			ch <- decision
		}
	}
	d.tickLater(now)
	d.observe()
	return d.desk.Take(), d.desk.TakeAnnouncement()
}

// tickLater sees to it that the desk is updated while it waits for something. The caller holds d.mu.
func (d *grantDesk) tickLater(now time.Time) {
	if !d.desk.Busy() {
		return
	}
	at := now.Add(d.desk.NextTick(now))
	if d.ticking && !at.Before(d.tickAt) {
		return
	}
	d.ticking, d.tickAt = true, at
	if d.timer == nil {
		d.timer = time.AfterFunc(at.Sub(now), func() { d.update(d.tick) })
		return
	}
	d.timer.Reset(at.Sub(now))
}

// tick does what is due. The caller holds d.mu.
func (d *grantDesk) tick(now time.Time) {
	d.ticking = false
	d.desk.Tick(now, d.view(now))
}

func (d *grantDesk) receive(from netip.Addr, m *slotgrant.Message) {
	d.update(func(now time.Time) { d.desk.Receive(now, d.view(now), from, m) })
}

// ask asks for a slot and waits for the decision. The request waits on its own goroutine; Kind is 0 when ctx has ended.
func (d *grantDesk) ask(ctx context.Context, q slotgrant.Question) slotgrant.Decision {
	var number uint64
	var asked bool
	decided := make(chan slotgrant.Decision, 1)
	d.update(func(now time.Time) {
		number, asked = d.desk.Ask(now, d.view(now), q)
		if asked {
			d.waiting[number] = decided
		}
	})
	if !asked {
		return slotgrant.Decision{Kind: slotgrant.Elsewhere}
	}
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
	}
	d.withdraw(number, decided)
	return slotgrant.Decision{}
}

// withdraw withdraws a question, and gives a grant back that has come meanwhile.
func (d *grantDesk) withdraw(number uint64, decided chan slotgrant.Decision) {
	d.update(func(now time.Time) {
		delete(d.waiting, number)
		d.desk.Cancel(now, d.view(now), number)
	})
	select {
	case <-decided:
		d.end(slotgrant.Report{Number: number, End: slotgrant.Unused})
	default:
	}
}

// end reports the end of a grant.
func (d *grantDesk) end(r slotgrant.Report) {
	d.update(func(now time.Time) { d.desk.End(now, d.view(now), r) })
}

// recordTime records how long a request without a grant was at its server.
func (d *grantDesk) recordTime(r slotgrant.Report) {
	d.update(func(time.Time) { d.desk.Asker.RecordTime(r) })
}

// fallBack reports whether a request may be sent without a grant.
func (d *grantDesk) fallBack(now time.Time) bool {
	_, routers := d.shared.link.GrantCandidates(now, d.group)
	slots := 0
	for _, s := range d.view(now).Servers {
		slots += s.Slots
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fallback.Take(now, slots, routers, d.desk.Asker.SlotTime())
}
