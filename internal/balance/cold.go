package balance

import (
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// coldTolerance is by how much two statements of the end of a cold period may differ and count as the same.
	// Entries are read some tenths of a second after they were written.
	coldTolerance = time.Second
	// coldSends is the number of times that a change of a cold server is sent to the other routers, because datagrams are lost;
	// coldResend is the time between them.
	coldSends  = 3
	coldResend = 400 * time.Millisecond
	// entryDelay is the age that an entry may have when it is read. One that says that the server is not cold counts
	// only when it was written after the server was assumed to be.
	entryDelay = 1500 * time.Millisecond
)

// ColdLimits says what the cold servers of a pool tolerate. Without a rate they get requests like all others.
type ColdLimits struct {
	// Start is how long a server is cold after its start.
	Start  time.Duration
	Bounds namedlimit.ColdBounds
}

// ColdUpdate is what another router, an entry or an answer says of a server.
type ColdUpdate struct {
	// Left is how long the server is cold yet; 0 when it is not cold.
	Left time.Duration
	// ByEntry is set for what the server's entry says, which also shortens what was assumed.
	ByEntry bool
}

// coldness is what is known of whether a server is cold. The zero value is one that is not.
type coldness struct {
	// start counts until something else is known of this incarnation.
	start registry.Start
	until time.Time
	// end is until when the server counts as cold: each choice of a server asks for it.
	end  time.Time
	rate namedlimit.Cold
	// byEntry is set when until is what the entry says. sendsLeft is how often the state has still to be sent to the other
	// routers, and sentAt when that was done last.
	byEntry   bool
	sendsLeft int
	sentAt    time.Time
	// assumedAt is when something else than the entry made the server cold last.
	assumedAt time.Time
}

// newColdness returns what is known of an incarnation that is seen for the first time.
func newColdness(s *registry.Server) coldness {
	c := coldness{start: s.Start}
	if !s.Start.At.IsZero() && s.ColdLeft > 0 {
		c.until = s.Start.At.Add(s.ColdLeft)
	}
	return c
}

// SetColdLimits replaces what the cold servers of the pool tolerate.
func (p *Pool) SetColdLimits(l ColdLimits) {
	p.cold = l
	for _, m := range p.members {
		p.updateColdEnd(m)
	}
}

// SetStartsUnknown makes servers that may have started just before this router count as cold until a time. A zero time ends that:
// another router has reported all cold servers.
func (p *Pool) SetStartsUnknown(until time.Time) {
	p.startsUnknownUntil = until
	for _, m := range p.members {
		p.updateColdEnd(m)
	}
}

// SetCold makes the servers that match cold until a time, those excepted that are cold for longer. It returns those
// that were not cold before.
func (p *Pool) SetCold(now time.Time, match func(*registry.Server) bool, until time.Time) []*registry.Server {
	var begun []*registry.Server
	for _, m := range p.members {
		if match(m.server) && until.After(m.cold.end) {
			if p.beginCold(now, m, until) {
				begun = append(begun, m.server)
			}
			m.cold.byEntry, m.cold.assumedAt = false, now
		}
	}
	return begun
}

// knownColdUntil returns until when a server is cold as far as is known.
func (p *Pool) knownColdUntil(m *member) time.Time {
	if m.cold.start.At.IsZero() {
		return m.cold.until
	}
	return latest(m.cold.until, m.cold.start.At.Add(p.cold.Start))
}

// updateColdEnd computes until when a server counts as cold. One that may have started just before this router does until the
// others have told.
func (p *Pool) updateColdEnd(m *member) {
	until := p.knownColdUntil(m)
	if m.cold.start.Unknown {
		until = latest(until, p.startsUnknownUntil)
	}
	m.cold.end = until
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isCold reports whether a server is cold and tolerates only a rate of requests.
func (p *Pool) isCold(now time.Time, m *member) bool {
	return p.cold.Bounds.PerSecond > 0 && now.Before(m.cold.end)
}

// overCold reports whether this router must not send a cold server a request now.
func (p *Pool) overCold(now time.Time, m *member) bool {
	return p.isCold(now, m) && !m.cold.rate.Allows(now, p.cold.Bounds, p.limitShare(m.hash))
}

// restricted reports whether a server takes less than its slots suggest, because it is cold or names a limit.
func (p *Pool) restricted(now time.Time, m *member) bool {
	return m.limit.Active() || p.isCold(now, m)
}

// beginCold makes a server cold until a time, and reports whether it was not before.
func (p *Pool) beginCold(now time.Time, m *member, until time.Time) (begun bool) {
	begun = !now.Before(m.cold.end)
	if begun {
		m.cold.rate.Begin()
	}
	m.cold.until = until
	p.updateColdEnd(m)
	return begun
}

// endCold makes a server not cold, and reports whether it was.
func (p *Pool) endCold(now time.Time, m *member) (ended bool) {
	ended = now.Before(m.cold.end)
	m.cold.until, m.cold.start = time.Time{}, registry.Start{}
	p.updateColdEnd(m)
	return ended
}

// applyCold applies what is said of a server and reports whether that changes what is known. Statements that differ by at most
// coldTolerance are the same, and only the server's entry shortens what is known.
func (p *Pool) applyCold(now time.Time, m *member, update ColdUpdate) (changed bool) {
	if update.Left <= 0 {
		return p.endCold(now, m)
	}
	if !update.ByEntry {
		m.cold.assumedAt = now
	}
	until := now.Add(update.Left)
	difference := until.Sub(m.cold.end)
	if difference <= coldTolerance && (!update.ByEntry || difference >= -coldTolerance) {
		return false
	}
	m.cold.start, m.cold.byEntry = registry.Start{}, update.ByEntry
	p.beginCold(now, m, until)
	return true
}

// RecordCold records what a server's entry or an answer says, and reports whether that changes what is known. With announce set a
// change is sent to the other routers (TakeCold). With first set the entry is the one by which this router has come to know the
// incarnation: a server that has just started may not have noticed yet that it is cold.
func (p *Pool) RecordCold(now time.Time, key registry.Key, update ColdUpdate, first, announce bool) (changed bool) {
	m := p.byKey[key]
	switch {
	case m == nil:
		return false
	case first && update.Left <= 0:
		m.cold.start.Unknown = false
		p.updateColdEnd(m)
		return false
	case first:
		update.ByEntry = false
	case update.Left <= 0 && now.Sub(m.cold.assumedAt) < entryDelay:
		return false
	}
	changed = p.applyCold(now, m, update)
	if changed && announce {
		m.cold.sendsLeft, m.cold.sentAt = coldSends, time.Time{}
	}
	return changed
}

// ReceiveCold records what another router says of the server whose hash matches. It returns the server, nil when the pool has none,
// and whether that changes what is known.
func (p *Pool) ReceiveCold(now time.Time, matches func(hash uint64) bool, update ColdUpdate) (s *registry.Server, changed bool) {
	for _, m := range p.members {
		if matches(m.hash) {
			return m.server, p.applyCold(now, m, update)
		}
	}
	return nil, false
}

// TakeCold calls f for each server of which an update is to be sent to the other routers now, with what is known. An update is sent
// coldSends times.
func (p *Pool) TakeCold(now time.Time, f func(server uint64, update ColdUpdate)) {
	for _, m := range p.members {
		if m.cold.sendsLeft > 0 && now.Sub(m.cold.sentAt) >= coldResend {
			m.cold.sendsLeft--
			m.cold.sentAt = now
			f(m.hash, ColdUpdate{Left: max(p.knownColdUntil(m).Sub(now), 0), ByEntry: m.cold.byEntry})
		}
	}
}

// ColdServers calls f for each server that is known to be cold, with how long it is cold yet.
func (p *Pool) ColdServers(now time.Time, f func(server uint64, left time.Duration)) {
	for _, m := range p.members {
		if left := p.knownColdUntil(m).Sub(now); left > 0 {
			f(m.hash, left)
		}
	}
}

// withoutCold returns the members that are not cold, or all when they are.
func (p *Pool) withoutCold(now time.Time, usable []*member) []*member {
	if !slices.ContainsFunc(usable, func(m *member) bool { return p.isCold(now, m) }) {
		return usable
	}
	warm := slices.DeleteFunc(slices.Clone(usable), func(m *member) bool { return p.isCold(now, m) })
	if len(warm) == 0 {
		return usable
	}
	return warm
}

// HasCold reports whether a server that takes new requests is cold, one of those in the regions when there are any.
func (p *Pool) HasCold(now time.Time, regions ...string) bool {
	return slices.ContainsFunc(p.members, func(m *member) bool { return !m.outOfService() && m.isIn(regions) && p.isCold(now, m) })
}

// coldWait returns how long it takes until this router may send a cold server a request. A router that may send none
// does so once the server is no longer cold.
func (p *Pool) coldWait(now time.Time, m *member) time.Duration {
	left := m.cold.end.Sub(now)
	if wait, ok := m.cold.rate.Wait(now, p.cold.Bounds, p.limitShare(m.hash)); ok {
		return min(wait, left)
	}
	return left
}

// ColdReady reports whether a cold server may get the request now. Within its rate it has room also while the others are
// full.
func (p *Pool) ColdReady(now time.Time, job Job) bool {
	return slices.ContainsFunc(p.usable(now, &job), func(m *member) bool { return p.isCold(now, m) && !m.health.ejected(now, m.own) })
}
