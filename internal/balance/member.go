package balance

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// member is a server and the router's belief about it.
type member struct {
	server *registry.Server
	// rank is the hash of the ID, which a restarted server keeps.
	rank uint64
	// hash identifies the incarnation.
	hash  uint64
	newer bool
	own   int
	// serverReported is the load of other routers in the last report of the server,
	// and reportedOwn what this router had in flight there.
	serverReported    int
	ownAtServerReport int
	serverReportAt    time.Time
	// peersReported is the load that the other routers have reported, and peersOwn what
	// this router had in flight then.
	peersReported   int
	ownAtPeerReport int
	peerReportAt    time.Time
	health          health
}

// latestReport returns the requests of other routers, the newer of what the server and
// the routers themselves report, and the requests of this router at that time.
func (m *member) latestReport(now time.Time) (others, ownAtReport int) {
	if m.peerReportAt.IsZero() || now.Sub(m.serverReportAt) < maxServerReportAge {
		return m.serverReported, m.ownAtServerReport
	}
	return m.peersReported, m.ownAtPeerReport
}

func (m *member) others(now time.Time) int {
	others, _ := m.latestReport(now)
	return others
}

func (m *member) load(now time.Time) float64 { return float64(m.own + m.others(now)) }

// loadPerSlot is the load per slot by which requests without a subject are spread.
// Engines tell their load in answers; of plain servers only fresh reports count.
func (p *Pool) loadPerSlot(now time.Time, m *member) float64 {
	load := m.load(now)
	if !m.server.Engine && p.peersAge > maxPeerReportAge {
		load = float64(m.own)
	}
	return load / float64(max(m.server.Slots, 1))
}
