package balance

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// Outcome is how an attempt at a server ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Served: the server answered, whatever the status, below 500.
	Served Outcome = iota
	// Refused: the server stated that it did not run the request.
	Refused
	// Failed: an answer of status 500 and more, or a broken one.
	Failed
	// Unreachable: no connection could be opened.
	Unreachable
	// Cancelled: the caller left; this says nothing about the server.
	Cancelled
	// Disputed: a failure that another server's answer may explain. Blame
	// follows when the other server answered well.
	Disputed
)

var outcomeNames = [...]string{"served", "refused", "failed", "unreachable", "cancelled", "disputed"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is what a server says about itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Begin counts a request in flight at a server and remembers its subject. It
// reports whether the server was not known to hold the subject.
func (p *Pool) Begin(now time.Time, key registry.Key, prefixHash uint64) (isNew bool) {
	m := p.byKey[key]
	if m == nil {
		return false
	}
	m.own++
	m.health.begin(now, m.own)
	if prefixHash == 0 || !p.recordHolder(now, prefixHash, m.hash) {
		return false
	}
	p.newPlacements = append(p.newPlacements, Placement{Subject: prefixHash, Server: m.hash})
	return true
}

// recordHolder notes that a server has a subject, and reports whether that is new.
func (p *Pool) recordHolder(now time.Time, prefixHash, server uint64) bool {
	h := p.prefixes[prefixHash]
	if h == nil {
		if len(p.prefixes) >= maxPrefixes {
			p.evictPrefixes(now)
		}
		h = &prefixHolders{}
		p.prefixes[prefixHash] = h
	}
	h.lastUsed = now
	return h.moveToFront(server)
}

// evictPrefixes drops the subjects that no cache is expected to hold, or all when
// that leaves no room.
func (p *Pool) evictPrefixes(now time.Time) {
	for prefixHash, h := range p.prefixes {
		if now.Sub(h.lastUsed) > cacheRetention {
			delete(p.prefixes, prefixHash)
		}
	}
	if len(p.prefixes) >= maxPrefixes {
		clear(p.prefixes)
	}
}

// TakeNewPlacements returns the placements since the last call that gave a server a
// subject that it was not known to hold.
func (p *Pool) TakeNewPlacements() []Placement {
	newPlacements := p.newPlacements
	p.newPlacements = nil
	return newPlacements
}

// RecordPlacement notes a placement of another router. Servers of other pools are ignored.
func (p *Pool) RecordPlacement(now time.Time, placement Placement) {
	if p.byHash[placement.Server] != nil {
		p.recordHolder(now, placement.Subject, placement.Server)
	}
}

// Placements returns all known holdings, for a router that has just started.
func (p *Pool) Placements() []Placement {
	var list []Placement
	for prefixHash, h := range p.prefixes {
		for _, server := range h.servers {
			if server != 0 && p.byHash[server] != nil {
				list = append(list, Placement{Subject: prefixHash, Server: server})
			}
		}
	}
	return list
}

// InFlight calls f for each server with requests of this router in flight.
func (p *Pool) InFlight(f func(server uint64, n int)) {
	for _, m := range p.members {
		if m.own > 0 {
			f(m.hash, m.own)
		}
	}
}

// Outcomes calls f for each server with outcomes in the last moments.
func (p *Pool) Outcomes(now time.Time, f func(server uint64, failed, ended int)) {
	for _, m := range p.members {
		if failed, ended := m.health.recent.counts(now); ended > 0 {
			f(m.hash, failed, ended)
		}
	}
}

// EjectFailing takes what all routers together have seen of each server in the
// last moments, and returns the servers that it ejects for that. Where a server
// gets few requests of each router, none alone sees that it fails. When most
// servers fail, another one is no better, and none is ejected.
func (p *Pool) EjectFailing(now time.Time, outcomes func(server uint64) (failed, ended int)) []*registry.Server {
	var failing []*member
	for _, m := range p.members {
		if tooManyFailures(outcomes(m.hash)) {
			failing = append(failing, m)
		}
	}
	if 2*len(failing) > len(p.members) {
		return nil
	}
	var ejected []*registry.Server
	for _, m := range failing {
		if m.health.failing(now) || !p.mayEject(now) {
			continue
		}
		m.health.eject(now)
		ejected = append(ejected, m.server)
	}
	return ejected
}

// SetPeerInFlight takes what the other routers together have in flight at a server,
// and how old their reports are on average. Unless they are heard, the loads
// that the servers report count.
func (p *Pool) SetPeerInFlight(now time.Time, inFlight func(server uint64) int, available bool, age time.Duration) {
	p.peersAge = age
	for _, m := range p.members {
		m.peersReported, m.ownAtPeerReport, m.peerReportAt = 0, 0, time.Time{}
		if available {
			m.peersReported, m.ownAtPeerReport, m.peerReportAt = inFlight(m.hash), m.own, now
		}
	}
}

// RecordLoad takes the load of an answer.
func (p *Pool) RecordLoad(now time.Time, key registry.Key, load Load) {
	m := p.byKey[key]
	if m == nil {
		return
	}
	m.serverReported = max(load.Running+load.Waiting-m.own, 0)
	m.ownAtServerReport = m.own
	m.serverReportAt = now
}

// RecordProgress notes that a server has sent something.
func (p *Pool) RecordProgress(now time.Time, key registry.Key) {
	if m := p.byKey[key]; m != nil {
		m.health.progress(now)
	}
}

// End takes the outcome of a request in flight. It reports whether the belief
// about the server changed from usable to ejected.
func (p *Pool) End(now time.Time, key registry.Key, o Outcome) bool {
	m := p.byKey[key]
	if m == nil {
		return false
	}
	m.own = max(m.own-1, 0)
	return m.health.end(now, o, p.mayEject(now))
}

// ConfirmFailure counts a disputed failure against the server, because another server
// has answered the same request. It reports whether the server was ejected.
func (p *Pool) ConfirmFailure(now time.Time, key registry.Key) bool {
	m := p.byKey[key]
	if m == nil {
		return false
	}
	return m.health.end(now, Failed, p.mayEject(now))
}

// mayEject reports whether one more server may be ejected for its failures: at
// most a third of the pool, so that failures of all servers eject none.
func (p *Pool) mayEject(now time.Time) bool {
	ejected := 0
	for _, m := range p.members {
		if m.health.failing(now) {
			ejected++
		}
	}
	return 3*(ejected+1) <= len(p.members)
}

// Status is the belief about one server, for logs and status pages.
type Status struct {
	Server *registry.Server
	// Own and Others are the requests of this and of the other routers there.
	Own    int
	Others int
	// Ejected is set while the server gets no requests.
	Ejected bool
}

// Status returns the belief about all servers.
func (p *Pool) Status(now time.Time) []Status {
	list := make([]Status, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, Status{
			Server:  m.server,
			Own:     m.own,
			Others:  m.others(now),
			Ejected: m.health.ejected(now, m.own),
		})
	}
	return list
}
