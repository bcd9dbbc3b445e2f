package balance

import (
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// SetLimitShare sets the function that returns this router's share in the requests to a server
// that names a limit. It is called while the pool is used.
func (p *Pool) SetLimitShare(f func(server uint64) namedlimit.Share) { p.limitShare = f }

// minWithheld is the least time until a server that is kept from requests gets one again.
const minWithheld = time.Millisecond

// withheld reports whether what a member has said keeps this router from sending it a request: it
// wants none for a while, its limit is used up, or it is cold and tolerates no more.
func (p *Pool) withheld(now time.Time, m *member) bool {
	return m.refuses(now) || p.overBrittle(now, m) || p.overCold(now, m) || m.limit.Active() && !m.limit.Allows(now, p.limitShare(m.hash))
}

// pressedShare is the share of their slots from which servers without a limit need relief. Engines
// run short of memory well before all slots are taken.
const pressedShare = 0.3

// unasked returns a usable member that names a limit or is cold and should get the next request, whoever has its
// prefix: one that got none from this router for a while, or any when the others need relief. Else the others,
// which have the prefixes, would get all requests.
func (p *Pool) unasked(now time.Time, usable []*member) *member {
	limited := func(m *member) bool { return p.restricted(now, m) && !m.health.ejected(now, m.own) }
	if !slices.ContainsFunc(usable, limited) {
		return nil
	}
	for _, m := range usable {
		if limited(m) && (m.limit.Unasked(now) || p.isCold(now, m) && m.cold.rate.Unasked(now)) {
			return m
		}
	}
	if load := p.Load(now); load.Slots > 0 && load.InFlight() >= pressedShare*float64(load.Slots) {
		return usable[slices.IndexFunc(usable, limited)]
	}
	return nil
}

// hasUnlimited reports whether a member that stays names no limit and is not cold.
func (p *Pool) hasUnlimited(now time.Time) bool {
	return slices.ContainsFunc(p.members, func(m *member) bool { return !m.outOfService() && !p.restricted(now, m) })
}

// RecordLimit records what a server said of its limit in the answer to a request that was sent at a
// time. It reports whether the limit changed.
func (p *Pool) RecordLimit(key registry.Key, s namedlimit.Statement, sentAt time.Time) (changed bool) {
	m := p.byKey[key]
	return m != nil && m.limit.Record(s, sentAt)
}

// ReceiveLimit records what another router has heard of a server's limit. It returns the server when
// that changes the limit.
func (p *Pool) ReceiveLimit(server func(hash uint64) bool, s namedlimit.Statement) *registry.Server {
	for _, m := range p.members {
		if server(m.hash) && m.limit.Receive(s) {
			return m.server
		}
	}
	return nil
}

// TakeLimits calls f for each server of whose limit the other routers have to be told.
func (p *Pool) TakeLimits(now time.Time, f func(server uint64, s namedlimit.Statement)) {
	for _, m := range p.members {
		if m.limit == (namedlimit.Limit{}) {
			continue
		}
		if s, ok := m.limit.TakeStatement(now, p.limitShare(m.hash)); ok {
			f(m.hash, s)
		}
	}
}

// WithheldWait returns how long it takes until a server, one of those in the regions when there are any, may get a request
// again when all that could take one want none or name limits, and 0 when there is no such server.
func (p *Pool) WithheldWait(now time.Time, regions ...string) time.Duration {
	shortest := time.Duration(0)
	for _, m := range p.members {
		if m.outOfService() || !m.isIn(regions) || !p.withheld(now, m) {
			continue
		}
		wait := max(m.refusesUntil.Sub(now), m.brittle.pausedUntil.Sub(now), minWithheld)
		if m.limit.Active() && !m.refuses(now) {
			wait = max(wait, m.limit.Wait(now, p.limitShare(m.hash)))
		}
		if p.isCold(now, m) && !m.refuses(now) {
			wait = max(wait, p.coldWait(now, m))
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
