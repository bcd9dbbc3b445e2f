package digest

import (
	"net/netip"
	"time"
)

// A router that starts without the placements of the fleet gets them from one that
// has them. Until then it sends requests to the homes of their prefixes, and engines
// read again what another one has cached. In a small fleet it asks as soon as it
// knows the servers and hears of a router that has the placements; in a larger one
// with its regular digests, because many replies at once would fill a slow link.

// requestInterval is the time between two requests for all placements.
const requestInterval = 250 * time.Millisecond

// RequestPlacements asks for the placements at once. It is called when the servers
// have become known.
func (e *Exchange) RequestPlacements() {
	e.mu.Lock()
	smallFleet := e.smallFleet()
	e.mu.Unlock()
	if smallFleet {
		e.requestPlacements(time.Now())
	}
}

// requestPlacements asks one synced router for all placements while they are
// missing here. The reply may span many datagrams.
func (e *Exchange) requestPlacements(now time.Time) {
	if !e.state.ServersKnown() {
		return
	}
	e.mu.Lock()
	peer, found := e.peers.SyncedPeer(now)
	due := found && !e.synced && now.Sub(e.requestedAt) >= requestInterval
	if due {
		e.requestedAt = now
	}
	e.mu.Unlock()
	if due {
		e.sendTo([]netip.Addr{peer}, &Message{Sender: e.sender, RequestPlacements: true})
	}
}

// ShouldQueryServers reports whether this router should ask the servers what they
// have cached: no live router is synced, and of the live ones this router has
// the lowest address.
func (e *Exchange) ShouldQueryServers() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.peers.SyncedPeer(now)
	return !e.synced && !found && e.peers.HasLowestAddr(now)
}

// Synced reports whether this router has the placements of the fleet.
func (e *Exchange) Synced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.synced
}

// MarkSynced records that this router has queried the servers, and announces it.
// From then on the other routers get the placements from it and from each other.
// It is also called when no server has answered, since a second query would not
// help.
func (e *Exchange) MarkSynced() {
	e.mu.Lock()
	e.synced = true
	e.mu.Unlock()
	e.sendTo(e.targets(), e.newMessage())
}
