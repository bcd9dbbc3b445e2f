package balance

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// Outcome is how an attempt at a server ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Served: a valid answer with a status below 500, except 408 and 429.
	Served Outcome = iota
	// Refused: the server stated that it did not run the request.
	Refused
	// Failed: no valid answer, or one with status 408, 429, or 500 and above.
	Failed
	// Unreachable: no connection could be opened.
	Unreachable
	// Cancelled: the attempt ended for a reason that says nothing about the server,
	// such as a caller that disconnected.
	Cancelled
	// Disputed: a failure that the server or the request may have caused. It is
	// counted by ConfirmFailure when another server answers the same request.
	Disputed
)

var outcomeNames = [...]string{"served", "refused", "failed", "unreachable", "cancelled", "disputed"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is the load that a server reports in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times the usual time work takes at the server now; 0 when it does not say.
	Slowdown float64
}

// maxLoadPerSlot bounds the load that a server may report. Servers queue a few requests
// beyond their slots; a false report must not make the whole pool look full.
const maxLoadPerSlot = 4

// total returns the requests of a report by a server with a number of slots.
func (l Load) total(slots int) int {
	limit := maxLoadPerSlot * max(slots, 1)
	return min(min(l.Running, limit)+min(l.Waiting, limit), limit)
}

// Begin counts a request in flight at the server of a choice and records the server
// as holder of its prefixes. It reports whether the other routers have to know of
// it.
func (p *Pool) Begin(now time.Time, choice Choice, job Job) (announced bool) {
	m := p.byKey[choice.Server.Key()]
	if m == nil {
		return false
	}
	m.own++
	m.limit.Take(now)
	m.cold.rate.Take(now)
	m.work.begin(now, &job, p.slowdown(now, m))
	p.means.record(job.Cost, job.longest().Tokens)
	reading := p.speed.duration(choice.ReadTokens)
	readAt := m.addReading(now, reading)
	m.health.begin(now, m.own, readAt)
	for _, prefix := range job.Prefixes {
		if p.recordHolder(now, prefix, m, readAt.Add(p.speed.firstByte())) {
			p.announce(Placement{PrefixHash: prefix.Hash, Server: m.hash, Tokens: prefix.Tokens})
			announced = true
		}
	}
	if reading >= minAnnouncedReading {
		longest := job.longest()
		p.announce(Placement{PrefixHash: longest.Hash, Server: m.hash, Tokens: longest.Tokens, ReadTokens: choice.ReadTokens})
		announced = true
	}
	return announced
}

// announce adds a placement to those that are to be sent. It replaces the one before
// it of the same prefix and server.
func (p *Pool) announce(placement Placement) {
	if n := len(p.newPlacements); n > 0 && p.newPlacements[n-1].PrefixHash == placement.PrefixHash && p.newPlacements[n-1].Server == placement.Server {
		placement.ReadTokens += p.newPlacements[n-1].ReadTokens
		p.newPlacements = p.newPlacements[:n-1]
	}
	p.newPlacements = append(p.newPlacements, placement)
}

// CancelReading undoes what Begin has recorded of a prompt that its server does not
// read, because it refused the request or could not be reached.
func (p *Pool) CancelReading(now time.Time, choice Choice, job Job) {
	m := p.byKey[choice.Server.Key()]
	if m == nil {
		return
	}
	m.readUntil = m.readUntil.Add(-p.speed.duration(choice.ReadTokens))
	for _, prefix := range job.Prefixes {
		p.cached.forgetUnread(now, prefix.Hash, m.hash)
	}
}

// RecordFirstByte records that a server has read the prompt of a request, after a
// time since the request was sent.
func (p *Pool) RecordFirstByte(now time.Time, choice Choice, job Job, firstByte time.Duration) {
	if choice.Wait == 0 && choice.Source == nil && !choice.Cold {
		p.speed.observe(choice.ReadTokens, atUsualSpeed(firstByte, choice.Slowdown))
	}
	for _, prefix := range job.Prefixes {
		p.cached.markRead(now, prefix.Hash, choice.Server.Key().Hash())
	}
}

// InFlight calls f for each server with requests of this router in flight.
func (p *Pool) InFlight(f func(server uint64, n int)) {
	for _, m := range p.members {
		if m.own > 0 {
			f(m.hash, m.own)
		}
	}
}

// Outcomes calls f for each server with recent outcomes.
func (p *Pool) Outcomes(now time.Time, f func(server uint64, failed, ended int)) {
	for _, m := range p.members {
		if failed, ended := m.health.recent.counts(now); ended > 0 {
			f(m.hash, failed, ended)
		}
	}
}

// EjectFailing ejects servers by the recent outcomes of all routers together, and
// returns the ejected ones. When each router sends a server few requests, no
// router alone detects that it fails. When most servers fail, another one would
// be no better, and none is ejected.
func (p *Pool) EjectFailing(now time.Time, outcomes func(server uint64) (failed, ended int)) []*registry.Server {
	var ejected []*registry.Server
	for _, f := range p.failingMembers(outcomes) {
		if f.health.failing(now) || !p.mayEject(now) {
			continue
		}
		f.health.eject(now)
		ejected = append(ejected, f.server)
	}
	return ejected
}

// failingMember is a member that failed too many of some outcomes.
type failingMember struct {
	*member
	failed, ended int
}

// failingMembers returns the members that failed too many requests; none when most did.
func (p *Pool) failingMembers(outcomes func(server uint64) (failed, ended int)) []failingMember {
	var failing []failingMember
	for _, m := range p.members {
		failed, ended := outcomes(m.hash)
		if !m.evacuated && tooManyFailures(failed, ended) {
			failing = append(failing, failingMember{m, failed, ended})
		}
	}
	if 2*len(failing) > p.notEvacuated() {
		return nil
	}
	return failing
}

// SetPeerInFlight sets the number of the other routers' requests in flight at each
// server, and the average age of their reports. When these are not available, the
// loads that the servers report are used.
func (p *Pool) SetPeerInFlight(now time.Time, inFlight func(server uint64) int, available bool, age time.Duration) {
	p.peersAge = age
	for _, m := range p.members {
		m.peersReported, m.ownAtPeerReport, m.peerReportAt = 0, 0, time.Time{}
		if available {
			m.peersReported, m.ownAtPeerReport, m.peerReportAt = inFlight(m.hash), m.own, now
		}
	}
}

// RecordLoad records the load that a server reported in an answer.
func (p *Pool) RecordLoad(now time.Time, key registry.Key, load Load) {
	m := p.byKey[key]
	if m == nil {
		return
	}
	m.serverReported = max(load.total(m.server.Slots)-m.own, 0)
	m.ownAtServerReport = m.own
	m.serverReportAt = now
	p.recordSlowdown(now, m, load.Slowdown)
}

// RecordProgress records that a server has sent data.
func (p *Pool) RecordProgress(now time.Time, key registry.Key) {
	if m := p.byKey[key]; m != nil {
		m.health.recordProgress(now)
	}
}

// End records the outcome of a request in flight. It reports whether the server
// was ejected.
func (p *Pool) End(now time.Time, key registry.Key, o Outcome) bool {
	m := p.byKey[key]
	if m == nil {
		return false
	}
	m.own = max(m.own-1, 0)
	if o == Refused {
		p.recordRejected(now, m)
	}
	return m.health.end(now, o, p.mayEject(now))
}

// ConfirmFailure counts a disputed failure against the server, because another
// server has answered the same request. It reports whether the server was ejected.
func (p *Pool) ConfirmFailure(now time.Time, key registry.Key) bool {
	m := p.byKey[key]
	if m == nil {
		return false
	}
	return m.health.end(now, Failed, p.mayEject(now))
}

// mayEject reports whether one more server may be ejected for its failures. At
// most a third of the pool may be, so that a failure of all servers or of the
// requests does not empty the pool.
func (p *Pool) mayEject(now time.Time) bool {
	ejected := 0
	for _, m := range p.members {
		if !m.evacuated && m.health.failing(now) {
			ejected++
		}
	}
	return 3*(ejected+1) <= p.notEvacuated()
}

// Status is the state of one server, for logs and status pages.
type Status struct {
	Server *registry.Server
	// Region is that of the server's data centre; empty when it is not known.
	Region string
	// Own and Others are the numbers of requests of this and of the other routers.
	Own    int
	Others int
	// Ejected is set while the server gets no requests.
	Ejected bool
	// Avoided is set while the server gets no requests that may run only once, unless no other one has room.
	Avoided bool
	// Evacuated is set while the server's data centre is evacuated.
	Evacuated bool
	// LimitPerSecond is the limit that the server names; nil for none.
	LimitPerSecond *float64
	// ColdLeft is how long the server is cold yet, and ColdSender is set while this router is the one that sends to it.
	ColdLeft   time.Duration
	ColdSender bool
	// Slowdown is how many times the usual time work is expected to take; 0 for a pool that does not say.
	Slowdown float64
	// Left is the time in slots that this router's requests still take.
	Left time.Duration
	// MemoryTokens is the predicted memory of the requests; 0 for a pool whose memory is unknown.
	MemoryTokens int
}

// Status returns the state of all servers.
func (p *Pool) Status(now time.Time) []Status {
	list := make([]Status, 0, len(p.members))
	for _, m := range p.members {
		s := Status{
			Server:  m.server,
			Region:  m.region,
			Own:     m.own,
			Others:  m.others(now),
			Avoided: p.avoided.has(now, m),
			Ejected: m.health.ejected(now, m.own), Evacuated: m.evacuated,
			Left: m.work.left(now),
		}
		if p.reportsSlowdown(now) {
			s.Slowdown = p.slowdown(now, m)
		}
		if p.memory > 0 {
			s.MemoryTokens = int(p.memoryUsed(now, m))
		}
		if m.limit.Active() {
			limit := m.limit.PerSecond()
			s.LimitPerSecond = &limit
		}
		if p.isCold(now, m) {
			s.ColdLeft, s.ColdSender = m.cold.end.Sub(now), p.limitShare(m.hash).Sole
		}
		list = append(list, s)
	}
	return list
}
