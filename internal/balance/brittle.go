package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// brittleMemory is how long a router keeps to a server's statement that it is brittle without an
	// answer. Then it sends one request at a time to hear whether that still holds.
	brittleMemory = 5 * time.Second
	// brittleStep is the time between two routers that do so.
	brittleStep = 500 * time.Millisecond
	// partSettle is how long a router waits before it uses slots that were another one's.
	partSettle = 1500 * time.Millisecond
	// maxRejectedPause bounds the time without requests after a rejection by a brittle server.
	maxRejectedPause = 2 * time.Second
)

// brittleness is what a server has said of the rejections that it bears. The zero value is a server that
// has said nothing.
type brittleness struct {
	// rejections is the number that it bears in a second; 0 when it is not brittle.
	rejections float64
	saidAt     time.Time
	// part is this router's part of the slots, as of partAt, and partBefore what it was before.
	part, partBefore int
	partAt           time.Time
	// pausedUntil is until when this router sends it nothing, because it has rejected a request.
	pausedUntil time.Time
}

func (b *brittleness) active() bool { return b.rejections > 0 }

// UsableRejections reports whether a server may bear a number of rejections in a second.
func UsableRejections(n float64) bool { return n > 0 && n <= math.MaxInt32 }

// RecordBrittle records how many rejections in a second a server says that it bears, 0 for one that does
// not say so. It reports whether the server became brittle or is no longer.
func (p *Pool) RecordBrittle(now time.Time, key registry.Key, rejections float64) (changed bool) {
	m := p.byKey[key]
	if m == nil {
		return false
	}
	changed = m.brittle.active() != (rejections > 0)
	if changed {
		m.brittle = brittleness{}
	}
	m.brittle.rejections, m.brittle.saidAt = rejections, now
	return changed
}

// Brittle reports whether a server has said that it is brittle.
func (p *Pool) Brittle(key registry.Key) bool {
	m := p.byKey[key]
	return m != nil && m.brittle.active()
}

// overBrittle reports whether this router has as many requests at a brittle server as it may have, or
// has to leave it alone for a while.
func (p *Pool) overBrittle(now time.Time, m *member) bool {
	if !m.brittle.active() {
		return false
	}
	return now.Before(m.brittle.pausedUntil) || m.own >= p.brittleSlots(now, m)
}

// brittleSlots returns how many requests this router may have at a brittle server: its part of the slots. The
// parts of all routers together fill the slots, so that nothing has to wait at the server or is rejected. A
// part that grows does so after partSettle, when the router that had it has noticed as well.
func (p *Pool) brittleSlots(now time.Time, m *member) int {
	share := p.limitShare(m.hash)
	part := slotsOf(m.firstSlot, max(m.server.Slots, 1), share)
	b := &m.brittle
	switch {
	case b.partAt.IsZero():
		// Before the server was brittle any number was allowed.
		b.partBefore, b.part, b.partAt = part, part, now
	case part != b.part:
		b.partBefore, b.part, b.partAt = b.part, part, now
	}
	if now.Sub(b.partAt) < partSettle {
		part = min(part, b.partBefore)
	}
	if part == 0 && now.Sub(b.saidAt) >= brittleMemory+time.Duration(share.Before)*brittleStep {
		return 1
	}
	return part
}

// slotsOf returns how many of a server's slots are a router's. The slots of all servers, one after the
// other, are dealt to the routers in turn.
func slotsOf(first, slots int, share namedlimit.Share) int {
	routers := max(share.Routers, 1)
	part := slots / routers
	if (share.Before-first%routers+routers)%routers < slots%routers {
		part++
	}
	return part
}

// dealSlots numbers the slots of all members in an order that all routers have.
func (p *Pool) dealSlots() {
	ordered := slices.Clone(p.members)
	slices.SortFunc(ordered, func(a, b *member) int { return cmp.Compare(a.idHash, b.idHash) })
	slots := 0
	for _, m := range ordered {
		m.firstSlot = slots
		slots += max(m.server.Slots, 1)
	}
}

// recordRejected stops requests to a brittle server that has rejected one. All routers together may cause as
// many rejections as it bears.
func (p *Pool) recordRejected(now time.Time, m *member) {
	if !m.brittle.active() {
		return
	}
	routers := max(p.limitShare(m.hash).Routers, 1)
	pause := time.Duration(float64(routers) / m.brittle.rejections * float64(time.Second))
	m.brittle.pausedUntil = now.Add(min(max(pause, refusedPause), maxRejectedPause))
}

// BrittleFull reports whether a request finds no server because the brittle ones have as many requests of this
// router as they may have. One ends soon.
func (p *Pool) BrittleFull(now time.Time) bool {
	full := false
	for _, m := range p.members {
		if m.outOfService() {
			continue
		}
		if !m.brittle.active() {
			return false
		}
		full = full || m.own > 0 && !now.Before(m.brittle.pausedUntil)
	}
	return full
}
