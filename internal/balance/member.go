package balance

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// member is a server with the router's state for it.
type member struct {
	server *registry.Server
	// idHash is the hash of the ID, which a server keeps when it restarts.
	idHash uint64
	// hash identifies the incarnation.
	hash uint64
	// version is that of the server's software.
	version streamversion.Version
	// region is that of its data centre; empty when it is not known.
	region string
	// saidLeaving is set when the server has said in an answer that it leaves, which an incarnation
	// does not take back.
	saidLeaving bool
	// evacuated is set while the server's data centre is evacuated.
	evacuated bool
	// refusesUntil is the end of the time in which it wants no requests of this router.
	refusesUntil time.Time
	own          int
	// readUntil is when the server is expected to have read all prompts that it has
	// received.
	readUntil time.Time
	// serverReported is the load of other routers in the server's last report, and
	// ownAtServerReport the number of this router's requests there at that time.
	serverReported    int
	ownAtServerReport int
	serverReportAt    time.Time
	// peersReported is the load that the other routers have reported, and
	// ownAtPeerReport the number of this router's requests there at that time.
	peersReported   int
	ownAtPeerReport int
	peerReportAt    time.Time
	health          health
	// limit is the one that the server names.
	limit   namedlimit.Limit
	brittle brittleness
	cold    coldness
	// work is what the server still has to do of this router's requests, and slowdowns has what it reports of how long work takes.
	work      work
	slowdowns slowdownHistory
	// firstSlot is the number of slots of the servers before this one, see dealSlots.
	firstSlot int
}

// latestReport returns the number of other routers' requests, from a recent report
// of the server or else from the routers' reports, and the number of this
// router's requests at that time.
func (m *member) latestReport(now time.Time) (others, ownAtReport int) {
	age := now.Sub(m.serverReportAt)
	switch {
	case age < maxServerReportAge, m.peerReportAt.IsZero() && age < maxOnlyReportAge:
		return m.serverReported, m.ownAtServerReport
	case m.peerReportAt.IsZero():
		return 0, m.own
	}
	return m.peersReported, m.ownAtPeerReport
}

func (m *member) others(now time.Time) int {
	others, _ := m.latestReport(now)
	return others
}

func (m *member) load(now time.Time) float64 { return float64(m.own + m.others(now)) }

// loadPerSlot returns the load per slot that balances requests without a prefix.
// Engines report their load in answers; for plain servers, the other routers'
// requests count only while their reports are recent.
func (p *Pool) loadPerSlot(now time.Time, m *member) float64 {
	load := m.load(now)
	if !m.server.Engine && p.peersAge > maxPeerReportAge {
		load = float64(m.own)
	}
	return load / float64(max(m.server.Slots, 1))
}

// keepLeaving marks a server as leaving that has said so, whatever its entry says.
func (m *member) keepLeaving() {
	if m.saidLeaving && !m.server.Leaving {
		leaving := *m.server
		leaving.Leaving = true
		m.server = &leaving
	}
}

// RecordLeaving records that a server has said in an answer that it leaves. It reports whether that
// is new.
func (p *Pool) RecordLeaving(key registry.Key) (changed bool) {
	m := p.byKey[key]
	if m == nil || m.saidLeaving {
		return false
	}
	m.saidLeaving = true
	m.keepLeaving()
	return true
}

// refuses reports whether the server has refused a request and wants none yet.
func (m *member) refuses(now time.Time) bool { return now.Before(m.refusesUntil) }

// RecordRetryAfter records that a server has refused a request and wants none for a time. An earlier
// statement that ends later stays. It reports whether the server wanted requests before.
func (p *Pool) RecordRetryAfter(now time.Time, key registry.Key, d time.Duration) (begun bool) {
	m := p.byKey[key]
	if m == nil {
		return false
	}
	begun = !m.refuses(now)
	if until := now.Add(d); until.After(m.refusesUntil) {
		m.refusesUntil = until
	}
	return begun
}
