package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// each calls f with every pool, whose lock is held.
func (w *World) each(f func(p *pool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.pools {
		p.mu.Lock()
		f(p)
		p.mu.Unlock()
	}
}

// Loads returns the requests in flight at each server.
func (w *World) Loads() []digest.Load {
	var list []digest.Load
	w.each(func(p *pool) {
		p.balance.InFlight(func(server uint64, n int) {
			list = append(list, digest.Load{Server: digest.ShortHash(server), InFlight: n})
		})
	})
	return list
}

// NewPlacements returns the placements since the last call that are news to others.
func (w *World) NewPlacements() []digest.Placement {
	var list []digest.Placement
	w.each(func(p *pool) { list = appendHoldings(list, p.balance.TakeNewPlacements()) })
	return list
}

// AllPlacements returns all known placements of subjects.
func (w *World) AllPlacements() []digest.Placement {
	var list []digest.Placement
	w.each(func(p *pool) { list = appendHoldings(list, p.balance.Placements()) })
	return list
}

func appendHoldings(list []digest.Placement, placed []balance.Placement) []digest.Placement {
	for _, h := range placed {
		list = append(list, digest.Placement(h))
	}
	return list
}

// SetPeerLoads takes the sum of the other routers' loads.
func (w *World) SetPeerLoads(loads map[uint32]int, age time.Duration) {
	now := time.Now()
	w.each(func(p *pool) {
		p.balance.SetPeerInFlight(now, func(server uint64) int { return loads[digest.ShortHash(server)] }, loads != nil, age)
	})
}

// Outcomes returns what became of the requests to each server lately.
func (w *World) Outcomes() []digest.Outcomes {
	var list []digest.Outcomes
	now := time.Now()
	w.each(func(p *pool) {
		p.balance.Outcomes(now, func(server uint64, failed, ended int) {
			list = append(list, digest.Outcomes{Server: digest.ShortHash(server), Failed: failed, Ended: ended})
		})
	})
	return list
}

// Ejection is a server that gets no new requests, and the outcomes of all
// routers that led to it.
type Ejection struct {
	Server   *registry.Server
	Outcomes digest.Outcomes
}

// Judge ejects servers for what all routers have seen of them lately.
func (w *World) Judge(list []digest.Outcomes) []Ejection {
	seen := make(map[uint32]digest.Outcomes, len(list))
	for _, o := range list {
		seen[o.Server] = o
	}
	var ejections []Ejection
	now := time.Now()
	w.each(func(p *pool) {
		ejected := p.balance.EjectFailing(now, func(server uint64) (failed, ended int) {
			o := seen[digest.ShortHash(server)]
			return o.Failed, o.Ended
		})
		for _, s := range ejected {
			ejections = append(ejections, Ejection{Server: s, Outcomes: seen[digest.ShortHash(s.Key().Hash())]})
		}
	})
	return ejections
}

// AddPlacements takes placements of another router.
func (w *World) AddPlacements(list []digest.Placement) {
	now := time.Now()
	w.each(func(p *pool) {
		for _, h := range list {
			p.balance.RecordPlacement(now, balance.Placement(h))
		}
	})
}

// keptParts bounds the parts of one engine that are noted: the large ones,
// which are the shared ones and cost most to read again.
const keptParts = 48

// LearnKept notes the largest parts that an engine keeps and returns their number.
func (w *World) LearnKept(s *registry.Server, parts []KeptPart) int {
	slices.SortFunc(parts, func(a, b KeptPart) int { return cmp.Compare(b.Part.Tokens, a.Part.Tokens) })
	parts = parts[:min(keptParts, len(parts))]
	server := s.Key().Hash()
	list := make([]digest.Placement, 0, len(parts))
	for _, p := range parts {
		list = append(list, digest.Placement{Subject: subjectHash(p.Model, p.Part.ID), Server: server})
	}
	w.AddPlacements(list)
	return len(list)
}
