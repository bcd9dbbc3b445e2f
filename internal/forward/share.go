package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// eachPool calls f with every pool and holds the pool's lock during the call.
func (st *State) eachPool(f func(p *pool)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, p := range st.pools {
		p.mu.Lock()
		f(p)
		p.mu.Unlock()
	}
}

// Loads returns this router's requests in flight at each server.
func (st *State) Loads() []digest.Load {
	var list []digest.Load
	st.eachPool(func(p *pool) {
		p.balance.InFlight(func(server uint64, n int) {
			list = append(list, digest.Load{Server: digest.ShortHash(server), InFlight: n})
		})
	})
	return list
}

// TakeNewPlacements returns the new placements since the last call, which are to be
// sent to the other routers.
func (st *State) TakeNewPlacements() []digest.Placement {
	var list []digest.Placement
	st.eachPool(func(p *pool) { list = appendPlacements(list, p.balance.TakeNewPlacements()) })
	return list
}

// AllPlacements returns all recorded placements.
func (st *State) AllPlacements() []digest.Placement {
	var list []digest.Placement
	st.eachPool(func(p *pool) { list = appendPlacements(list, p.balance.AllPlacements()) })
	return list
}

func appendPlacements(list []digest.Placement, placements []balance.Placement) []digest.Placement {
	for _, placement := range placements {
		list = append(list, digest.Placement(placement))
	}
	return list
}

// SetPeerLoads sets the sum of the other routers' loads and the average age of
// their reports. Nil loads mean that no other router has reported.
func (st *State) SetPeerLoads(loads map[uint32]int, age time.Duration) {
	now := time.Now()
	st.eachPool(func(p *pool) {
		p.balance.SetPeerInFlight(now, func(server uint64) int { return loads[digest.ShortHash(server)] }, loads != nil, age)
	})
}

// SetRouterCount sets the number of routers that share the retry budgets.
func (st *State) SetRouterCount(n int) {
	st.routers.Store(int64(n))
	st.fleet.SetRouters(time.Now(), n)
}

// SetRestarted records that this router may have run before. Call it before requests are served.
func (st *State) SetRestarted() {
	now := time.Now()
	st.fleet.SetRestarted(now)
	st.setStartsUnknown(now.Add(startsWait))
}

// Outcomes returns the counts of recent failed and ended requests at each server.
func (st *State) Outcomes() []digest.Outcomes {
	var list []digest.Outcomes
	now := time.Now()
	st.eachPool(func(p *pool) {
		p.balance.Outcomes(now, func(server uint64, failed, ended int) {
			list = append(list, digest.Outcomes{Server: digest.ShortHash(server), Failed: failed, Ended: ended})
		})
	})
	return list
}

// Ejection is a server that was ejected, with the outcomes at all routers that
// led to it.
type Ejection struct {
	Server   *registry.Server
	Outcomes digest.Outcomes
	// Avoided is set for a server that is not ejected, as too few others would be left, and gets no requests that may run
	// only once while another one has room.
	Avoided bool
}

// EjectFailing ejects or avoids the servers that failed too many of all routers' recent
// requests.
func (st *State) EjectFailing(list []digest.Outcomes) []Ejection {
	byServer := make(map[uint32]digest.Outcomes, len(list))
	for _, o := range list {
		byServer[o.Server] = o
	}
	var ejections []Ejection
	now := time.Now()
	outcomes := func(server uint64) (failed, ended int) {
		o := byServer[digest.ShortHash(server)]
		return o.Failed, o.Ended
	}
	table := st.Table()
	st.eachPool(func(p *pool) {
		if backedUpEngines(table, p.name) != nil {
			p.recordReported(now, outcomes)
		}
		for _, s := range p.balance.EjectFailing(now, outcomes) {
			ejections = append(ejections, Ejection{Server: s, Outcomes: byServer[digest.ShortHash(s.Key().Hash())]})
		}
		for _, s := range p.balance.AvoidFailing(now, outcomes) {
			ejections = append(ejections, Ejection{Server: s, Outcomes: byServer[digest.ShortHash(s.Key().Hash())], Avoided: true})
		}
	})
	return ejections
}

// RecordPlacements records new placements of another router.
func (st *State) RecordPlacements(list []digest.Placement) {
	now := time.Now()
	st.eachPool(func(p *pool) {
		for _, placement := range list {
			p.balance.RecordPlacement(now, balance.Placement(placement))
		}
	})
}

// RecordCached records prefixes that servers have in their caches.
func (st *State) RecordCached(list []digest.Placement) {
	now := time.Now()
	st.eachPool(func(p *pool) {
		for _, placement := range list {
			p.balance.RecordCached(now, balance.Placement(placement))
		}
	})
}

// MaxCachedParts bounds the cached parts that a router records after it has asked all
// engines; they are sent to the others.
const MaxCachedParts = 4096

// RecordCachedParts records the largest parts that an engine has cached, at most
// limit, and returns their number. Large parts take longest to compute again; small
// ones more often belong to one request.
func (st *State) RecordCachedParts(s *registry.Server, parts []CachedPart, limit int) int {
	slices.SortFunc(parts, func(a, b CachedPart) int { return cmp.Compare(b.Part.Tokens, a.Part.Tokens) })
	parts = parts[:min(limit, len(parts))]
	server := s.Key().Hash()
	list := make([]digest.Placement, 0, len(parts))
	for _, p := range parts {
		list = append(list, digest.Placement{PrefixHash: prefixHash(p.Model, p.Part.ID), Server: server, Tokens: p.Part.Tokens})
	}
	st.RecordCached(list)
	return len(list)
}
