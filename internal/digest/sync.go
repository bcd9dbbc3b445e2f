package digest

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// A router that starts without the placements of the fleet gets them from one that
// has them. Until then it sends requests to the homes of their prefixes, and engines
// read again what another one has cached. It asks as soon as it knows the servers and
// hears of a router that has the placements. After a restart of a whole large fleet
// few have them at first: each replies to one router after the other, and those that
// have received them reply as well.

const (
	// requestInterval is the time between two requests for all placements.
	requestInterval = 250 * time.Millisecond
	// replyInterval is the time between two replies in a large fleet, in which the
	// first has left over a slow link. Requests meanwhile are ignored and will be
	// repeated.
	replyInterval = 25 * time.Millisecond
)

// RequestPlacements asks for the placements at once. It is called when the servers
// have become known.
func (e *Exchange) RequestPlacements() { e.requestPlacements(time.Now()) }

// replyWithPlacements sends all placements to a router that has asked for them. A
// reply without any tells it that there are none.
func (e *Exchange) replyWithPlacements(now time.Time, to netip.Addr) {
	e.mu.Lock()
	due := e.smallFleet() || now.Sub(e.repliedAt) >= replyInterval
	if due {
		e.repliedAt = now
	}
	e.mu.Unlock()
	if !due {
		return
	}
	list := groupByServer(e.state.AllPlacements())
	for {
		n := min(cachedPerDatagram, len(list))
		e.sendTo([]netip.Addr{to}, &Message{Sender: e.sender, PlacementsReply: true, Cached: list[:n]})
		list = list[n:]
		if len(list) == 0 {
			return
		}
	}
}

// groupByServer sorts placements by server, so that each server is named once.
func groupByServer(list []Placement) []Placement {
	slices.SortFunc(list, func(a, b Placement) int { return cmp.Compare(a.Server, b.Server) })
	return list
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

// PlacementsLost reports whether neither this router nor a live one that it knows has the placements of the fleet, so
// that a router has to ask the servers what they have cached.
func (e *Exchange) PlacementsLost() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.peers.SyncedPeer(time.Now())
	return !e.synced && !found
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
