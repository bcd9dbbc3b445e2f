package forward

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/slotgrant"
)

// viewInterval is how long the view of a pool's servers is used for questions about its slots.
const viewInterval = 10 * time.Millisecond

// scarceInterval is the time between two decisions whether a pool is scarce.
const scarceInterval = 50 * time.Millisecond

// GrantLink is the way to the other routers for questions about the slots of pools. Its methods are safe for
// concurrent use.
type GrantLink interface {
	// Self returns the address of this router.
	Self() netip.Addr
	// GrantCandidates returns the routers that may grant the slots of a pool, the first one first, and the number of live
	// routers.
	GrantCandidates(now time.Time, pool uint64) (list []netip.Addr, routers int)
	// LiveRouters returns the addresses of the other live routers.
	LiveRouters() []netip.Addr
	// SendGrants sends a message about the slots of a pool.
	SendGrants(to netip.Addr, m *slotgrant.Message)
}

// grantsShared is what the desks of all pools use. It is set before requests are served.
type grantsShared struct {
	link    GrantLink
	events  *event.Logger
	metrics *Metrics
}

// grantDesk asks for the slots of one pool, and grants them where this router is the one to do so. It is safe for concurrent use.
// Its lock is taken before that of its pool.
type grantDesk struct {
	pool   *pool
	hash   uint64
	shared *grantsShared

	mu       sync.Mutex
	desk     *slotgrant.Desk
	scarcity slotgrant.Scarcity
	scarce   bool
	// lookedAt is when scarce was decided, with the slots and the routers of that time.
	lookedAt       time.Time
	slots, routers int
	fallback       slotgrant.Fallback
	pauses         slotgrant.PauseDetector
	waiting        map[uint64]chan slotgrant.Decision
	servers        []slotgrant.Server
	serversAt      time.Time
	// ticking is set while timer is to update the desk at tickAt.
	ticking bool
	tickAt  time.Time
	timer   *time.Timer
	// granting, silent and counts are as last logged and counted.
	granting bool
	silent   netip.Addr
	counts   slotgrant.Counts
}

func newGrantDesk(p *pool, shared *grantsShared) *grantDesk {
	return &grantDesk{pool: p, hash: placement.Hash(p.name), shared: shared, waiting: make(map[uint64]chan slotgrant.Decision)}
}

// processStart is the origin of the monotonic clock that the pause detector compares.
var processStart = time.Now()

// SetGrantLink sets the way to the other routers. Call it before requests are served. Without it no pool is scarce.
func (st *State) SetGrantLink(l GrantLink) { st.grantsShared.link = l }

// ReceiveGrants handles what another router says about the slots of a pool.
func (st *State) ReceiveGrants(from netip.Addr, m *slotgrant.Message) {
	if d := st.grantDeskOf(m.Pool); d != nil {
		d.receive(from, m)
	}
}

// HandOverGrants lets the next router grant, after the others have been told that this one does not.
func (st *State) HandOverGrants() {
	for _, d := range st.grantDesks() {
		d.update(d.tick)
	}
}

func (st *State) grantDeskOf(hash uint64) *grantDesk {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, p := range st.pools {
		if p.grants.hash == hash {
			return p.grants
		}
	}
	return nil
}

func (st *State) grantDesks() []*grantDesk {
	st.mu.Lock()
	defer st.mu.Unlock()
	var list []*grantDesk
	for _, p := range st.pools {
		if p.grants.shared.link != nil {
			list = append(list, p.grants)
		}
	}
	return list
}

// isScarce reports whether requests to the pool need a grant.
func (d *grantDesk) isScarce(now time.Time) bool {
	if d.shared.link == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lookedAt) < scarceInterval {
		return d.scarce
	}
	d.lookedAt = now
	d.refresh(now)
	_, d.routers = d.shared.link.GrantCandidates(now, d.hash)
	d.slots = 0
	for _, s := range d.servers {
		if s.Usable {
			d.slots += s.Slots
		}
	}
	scarce := d.scarcity.Update(now, d.slots, d.routers)
	if scarce != d.scarce {
		e := event.PoolNotScarce
		if scarce {
			e = event.PoolScarce
		}
		d.shared.events.Emit(e, "pool", d.pool.name, "slots", d.slots, "routers", d.routers)
	}
	d.scarce = scarce
	return scarce
}

// refresh reads the servers from the pool. The caller holds d.mu.
func (d *grantDesk) refresh(now time.Time) {
	if now.Sub(d.serversAt) < viewInterval {
		return
	}
	d.serversAt = now
	d.servers = d.servers[:0]
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	for _, s := range d.pool.balance.Grantable(now) {
		d.servers = append(d.servers, slotgrant.Server(s))
	}
}

// view returns the pool's servers and the routers that may grant. The caller holds d.mu.
func (d *grantDesk) view(now time.Time) slotgrant.View {
	d.refresh(now)
	list, _ := d.shared.link.GrantCandidates(now, d.hash)
	return slotgrant.View{Candidates: list, Servers: d.servers, LoadsKnown: true}
}

// update changes the desk, then sends what is to be sent and passes on what was decided.
func (d *grantDesk) update(change func(now time.Time)) {
	d.mu.Lock()
	now := time.Now()
	if d.desk == nil {
		d.desk = slotgrant.NewDesk(d.hash, d.shared.link.Self(), rand.Uint64())
	}
	if d.pauses.Look(now.Sub(processStart), time.Duration(now.UnixNano()), d.ticking) && d.desk.Granter.Active() {
		d.desk.Paused()
		d.shared.events.Emit(event.GrantsForgotten, "pool", d.pool.name)
	}
	change(now)
	out, announcement := d.desk.Take(), d.desk.TakeAnnouncement()
	for _, decision := range d.desk.Asker.TakeDecisions() {
		if ch := d.waiting[decision.Number]; ch != nil {
			delete(d.waiting, decision.Number)
			ch <- decision
		}
	}
	d.tickLater(now)
	d.observe()
	d.mu.Unlock()
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
	if d.shared.link == nil {
		return
	}
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
	d.mu.Lock()
	defer d.mu.Unlock()
	slotTime := time.Duration(0)
	if d.desk != nil {
		slotTime = d.desk.Asker.SlotTime()
	}
	return d.fallback.Take(now, d.slots, d.routers, slotTime)
}
