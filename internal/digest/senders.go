package digest

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// A cold server crashes when two routers take themselves for its only sender, so it is not enough that a router hears nobody
// who comes before it: one that hears others may not be heard, and a link may fail in one direction only. Each regular
// digest therefore says which routers its sender hears. A router is the sole sender of a server only while more than half of
// the routers say that they hear it, it hears more than half, and none that any of them hears comes before it. Of two that
// meet the first two conditions there is a third one that hears both and tells each of the other.

// mostMemory is how long the largest number of routers counts. Data centres may lose each other for minutes, while each
// still reaches the servers.
const mostMemory = 10 * time.Minute

// senderView is what the choice of senders depends on.
type senderView struct {
	// allowed is set while this router may be the sole sender of a server, and others are those that may be.
	allowed bool
	self    uint16
	others  []uint16
	// hashes are those of the other routers that are heard, before the number of those with a lower address.
	hashes []uint64
	before int
	// live is the number of routers that are heard, hearing that of the routers that hear this one, and most the largest
	// number lately. This router counts.
	live, hearing, most int
}

// isSole reports whether this router alone may send to a server. The order of the routers is by rendezvous hashing of
// their short hashes, which digests have room for.
func (v *senderView) isSole(server uint64) bool {
	if !v.allowed {
		return false
	}
	own := placement.Mix(server, uint64(v.self))
	return !slices.ContainsFunc(v.others, func(h uint16) bool { return placement.Mix(server, uint64(h)) > own })
}

func (p *Peers) viewSenders(now time.Time) *senderView {
	self := shortAddrHash(p.self)
	var named [1 << 16 / 64]uint64
	v := &senderView{allowed: p.isSettled(now), self: self}
	add := func(h uint16) {
		if h != self && named[h/64]&(1<<(h%64)) == 0 {
			named[h/64] |= 1 << (h % 64)
			v.others = append(v.others, h)
		}
	}
	v.live, v.hearing = 1, 1
	for _, peer := range p.tracked {
		if !p.live(peer, now) {
			continue
		}
		v.live++
		v.hashes = append(v.hashes, peer.hash)
		if peer.Addr.Less(p.self) {
			v.before++
		}
		v.most = max(v.most, peer.routers)
		if peer.hearsSelf {
			v.hearing++
		}
		if short := uint16(peer.hash); short == self && peer.Addr.Less(p.self) {
			// Of two routers with the same short hash only the first may be a sender.
			v.allowed = false
		} else {
			add(short)
		}
		for _, h := range peer.heard {
			add(h)
		}
	}
	v.most = max(v.most, p.recordMost(now, v.live))
	// Only routers that are heard count as hearing this one, so this one hears a majority, too.
	v.allowed = v.allowed && 2*v.hearing > v.most
	return v
}

// isSettled reports whether this router has run for longer than what others know of an earlier process of it
// counts. Until then another one may still send, or this one may not know the others.
func (p *Peers) isSettled(now time.Time) bool {
	return !p.since.IsZero() && now.Sub(p.since) >= p.liveTimeout()
}

// recordMost records the number of routers that are live and returns the largest one lately.
func (p *Peers) recordMost(now time.Time, live int) int {
	if live >= p.most || now.Sub(p.mostAt) > mostMemory {
		p.most, p.mostAt = live, now
	}
	return p.most
}

// recordStopped records that a router stops as planned, so that it is no longer missing.
func (p *Peers) recordStopped(addr netip.Addr) {
	if peer := p.tracked[addr]; peer != nil && !peer.LastReceived.IsZero() {
		p.most = max(p.most-1, 0)
	}
}

// recordHeard records which routers another one hears. What an earlier process at its address has said counts until the new
// one says something, since it hears nobody at first.
func (p *Peers) recordHeard(peer *Peer, m *Message) {
	if m.Heard == nil {
		return
	}
	peer.heard, peer.hearsSelf = m.Heard, slices.Contains(m.Heard, shortAddrHash(p.self))
	peer.routers = int(min(m.Routers, maxTrackedPeers))
}

// hearing returns the routers that this one hears, nil before it has run for as long as they take to be heard, and the
// largest number of routers lately.
func (p *Peers) hearing(now time.Time) (heard []uint16, routers int64) {
	live := p.Live(now)
	routers = int64(p.recordMost(now, len(live)+1))
	if p.since.IsZero() || now.Sub(p.since) < periodFor(len(p.tracked)) {
		return nil, routers
	}
	heard = make([]uint16, 0, len(live))
	for _, peer := range live {
		heard = append(heard, uint16(peer.hash))
	}
	return heard, routers
}

func shortAddrHash(addr netip.Addr) uint16 { return uint16(addrHash(addr)) }

// appendHeard encodes each short hash in two bytes.
func appendHeard(b []byte, heard []uint16) []byte {
	if heard == nil {
		return b
	}
	packed := make([]byte, 0, 2*len(heard))
	for _, h := range heard {
		packed = append(packed, byte(h>>8), byte(h))
	}
	return appendInner(b, fieldHeard, packed)
}

func decodeHeard(b []byte) ([]uint16, error) {
	if len(b)%2 != 0 || len(b) > 2*maxTrackedPeers {
		return nil, errMalformed
	}
	heard := make([]uint16, 0, len(b)/2)
	for pair := range slices.Chunk(b, 2) {
		heard = append(heard, uint16(pair[0])<<8|uint16(pair[1]))
	}
	return heard, nil
}
