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

// grantEndpoint asks for the slots of one group of a pool's servers, and grants them where this router is the one to do so. It is safe for
// concurrent use.
type grantEndpoint struct {
	pool   *grantPool
	group  uint64
	shared *grantsShared

	mu       sync.Mutex
	endpoint *slotgrant.Endpoint
	fallback slotgrant.Fallback
	pauses   slotgrant.PauseDetector
	waiting  map[uint64]chan slotgrant.Decision
	// ticking is set while timer is to update the endpoint at tickAt.
	ticking bool
	tickAt  time.Time
	timer   *time.Timer
	// granting, silent and counts are as last logged and counted.
	granting bool
	silent   netip.Addr
	counts   slotgrant.Counts
}

func newGrantEndpoint(g *grantPool, group uint64) *grantEndpoint {
	return &grantEndpoint{
		pool: g, group: group, shared: g.shared, waiting: make(map[uint64]chan slotgrant.Decision),
		endpoint: slotgrant.NewEndpoint(group, g.shared.link.Self(), rand.Uint64()),
	}
}

// processStart is the origin of the monotonic clock that the pause detector compares.
var processStart = time.Now()

func (e *grantEndpoint) view(now time.Time) slotgrant.View { return e.pool.view(now, e.group) }

// update changes the endpoint, passes on what was decided, and sends what is to be sent.
func (e *grantEndpoint) update(change func(now time.Time)) {
	out, announcement := e.change(change)
	for _, o := range out {
		e.shared.link.SendGrants(o.To, o.Message)
	}
	if announcement == nil {
		return
	}
	for _, addr := range e.shared.link.LiveRouters() {
		e.shared.link.SendGrants(addr, announcement)
	}
}

// change changes the endpoint, and returns what is to be sent to single routers and to all.
func (e *grantEndpoint) change(change func(now time.Time)) ([]slotgrant.Outgoing, *slotgrant.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.pauses.Look(now.Sub(processStart), time.Duration(now.UnixNano()), e.ticking) && e.endpoint.Granter.Active() {
		e.endpoint.Paused()
		e.shared.events.Emit(event.GrantsForgotten, "pool", e.pool.pool.name)
	}
	change(now)
	for _, decision := range e.endpoint.Asker.TakeDecisions() {
		if ch := e.waiting[decision.Number]; ch != nil {
			delete(e.waiting, decision.Number)
			ch <- decision
		}
	}
	e.tickLater(now)
	e.observe()
	return e.endpoint.Take(), e.endpoint.TakeAnnouncement()
}

// tickLater sees to it that the endpoint is updated while it waits for something. The caller holds e.mu.
func (e *grantEndpoint) tickLater(now time.Time) {
	if !e.endpoint.Busy() {
		return
	}
	at := now.Add(e.endpoint.NextTick(now))
	if e.ticking && !at.Before(e.tickAt) {
		return
	}
	e.ticking, e.tickAt = true, at
	if e.timer == nil {
		e.timer = time.AfterFunc(at.Sub(now), func() { e.update(e.tick) })
		return
	}
	e.timer.Reset(at.Sub(now))
}

// tick does what is due. The caller holds e.mu.
func (e *grantEndpoint) tick(now time.Time) {
	e.ticking = false
	e.endpoint.Tick(now, e.view(now))
}

func (e *grantEndpoint) receive(from netip.Addr, m *slotgrant.Message) {
	e.update(func(now time.Time) { e.endpoint.Receive(now, e.view(now), from, m) })
}

// ask asks for a slot and waits for the decision. The request waits on its own goroutine; Kind is 0 when ctx has ended.
func (e *grantEndpoint) ask(ctx context.Context, q slotgrant.Question) slotgrant.Decision {
	var number uint64
	var asked bool
	decided := make(chan slotgrant.Decision, 1)
	e.update(func(now time.Time) {
		number, asked = e.endpoint.Ask(now, e.view(now), q)
		if asked {
			e.waiting[number] = decided
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
	e.withdraw(number, decided)
	return slotgrant.Decision{}
}

// withdraw withdraws a question, and gives a grant back that has come meanwhile.
func (e *grantEndpoint) withdraw(number uint64, decided chan slotgrant.Decision) {
	e.update(func(now time.Time) {
		delete(e.waiting, number)
		e.endpoint.Cancel(now, e.view(now), number)
	})
	select {
	case <-decided:
		e.end(slotgrant.Report{Number: number, End: slotgrant.Unused})
	default:
	}
}

// end reports the end of a grant.
func (e *grantEndpoint) end(r slotgrant.Report) {
	e.update(func(now time.Time) { e.endpoint.End(now, e.view(now), r) })
}

// recordTime records how long a request without a grant was at its server.
func (e *grantEndpoint) recordTime(r slotgrant.Report) {
	e.update(func(time.Time) { e.endpoint.Asker.RecordTime(r) })
}

// fallBack reports whether a request may be sent without a grant.
func (e *grantEndpoint) fallBack(now time.Time) bool {
	_, routers := e.shared.link.GrantCandidates(now, e.group)
	slots := 0
	for _, s := range e.view(now).Servers {
		slots += s.Slots
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fallback.Take(now, slots, routers, e.endpoint.Asker.SlotTime())
}
