package forward

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/slotgrant"
)

const (
	// viewInterval is how long the view of a pool's servers is used for questions about its slots.
	viewInterval = 10 * time.Millisecond
	// scarceInterval is the time between two decisions whether a pool is scarce.
	scarceInterval = 50 * time.Millisecond
	// groupSlots is the number of slots up to which one router grants those of a whole pool. A larger pool is divided
	// into groups of servers with a granting router each: 32 slots of 30 ms are 1,070 requests a second, and a request costs the
	// granting router three datagrams.
	groupSlots = 32
	// maxGroups bounds the groups of a pool.
	maxGroups = 64
)

// GrantLink is the way to the other routers for questions about the slots of pools. Its methods are safe for
// concurrent use.
type GrantLink interface {
	// Self returns the address of this router.
	Self() netip.Addr
	// GrantCandidates returns the routers that may grant the slots of a group of servers, the first one first, and the number of
	// live routers.
	GrantCandidates(now time.Time, group uint64) (list []netip.Addr, routers int)
	// LiveRouters returns the addresses of the other live routers.
	LiveRouters() []netip.Addr
	// SendGrants sends a message about the slots of a group of servers.
	SendGrants(to netip.Addr, m *slotgrant.Message)
}

// grantsShared is what the grants of all pools use. It is set before requests are served.
type grantsShared struct {
	link    GrantLink
	events  *event.Logger
	metrics *Metrics
	// endpoints has all endpoints by the key of their group, for the datagrams that arrive.
	endpoints sync.Map
}

// grantPool decides whether a pool is scarce, and has an endpoint for each group of its servers. It is safe for concurrent use. Its
// lock is taken before that of its pool, and after that of an endpoint.
type grantPool struct {
	pool   *pool
	shared *grantsShared

	mu       sync.Mutex
	scarcity slotgrant.Scarcity
	scarce   bool
	// decidedAt is when scarce was decided, with the usable slots and the routers of that time.
	decidedAt      time.Time
	slots, routers int
	// servers are those whose slots can be granted, as of serversAt, and groups the keys of their groups.
	servers   []slotgrant.Server
	serversAt time.Time
	groups    []uint64
	endpoints map[uint64]*grantEndpoint
}

func newGrantPool(p *pool, shared *grantsShared) *grantPool {
	return &grantPool{pool: p, shared: shared, endpoints: make(map[uint64]*grantEndpoint)}
}

// isScarce reports whether requests to the pool need a grant.
func (g *grantPool) isScarce(now time.Time) bool {
	if g.shared.link == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.decidedAt) < scarceInterval {
		return g.scarce
	}
	g.decidedAt = now
	g.refresh(now)
	_, g.routers = g.shared.link.GrantCandidates(now, placement.Hash(g.pool.name))
	g.slots = 0
	for _, s := range g.servers {
		if s.Usable {
			g.slots += s.Slots
		}
	}
	scarce := g.scarcity.Update(now, g.slots, g.routers)
	if scarce != g.scarce {
		e := event.PoolNotScarce
		if scarce {
			e = event.PoolScarce
		}
		g.shared.events.Emit(e, "pool", g.pool.name, "slots", g.slots, "routers", g.routers, "groups", len(g.groups))
	}
	g.scarce = scarce
	return scarce
}

// refresh reads the servers from the pool, and divides them into groups. The caller holds g.mu.
func (g *grantPool) refresh(now time.Time) {
	if now.Sub(g.serversAt) < viewInterval {
		return
	}
	g.serversAt = now
	g.servers = make([]slotgrant.Server, 0, len(g.servers))
	slots := 0
	g.pool.mu.Lock()
	for _, s := range g.pool.balance.Grantable(now) {
		g.servers = append(g.servers, slotgrant.Server(s))
		slots += s.Slots
	}
	g.pool.mu.Unlock()
	if n := groupsFor(slots); n != len(g.groups) {
		g.groups = groupKeys(g.pool.name, n)
	}
}

// groupsFor returns the number of groups for a number of slots, a power of two: it changes seldom, and routers that know
// slightly different servers mostly agree on it.
func groupsFor(slots int) int {
	n := 1
	for n < maxGroups && slots > n*groupSlots {
		n *= 2
	}
	return n
}

// groupKeys returns the keys of the groups of a pool. Those of another number of groups are others.
func groupKeys(pool string, n int) []uint64 {
	keys := make([]uint64, n)
	for i := range keys {
		keys[i] = placement.Mix(placement.Hash(pool), uint64(n)<<32|uint64(i))
	}
	return keys
}

// groupOf returns the group of a server.
func groupOf(server uint64, groups int) int { return int(server % uint64(groups)) }

// endpoint returns the endpoint of a group, or nil when the pool has no such group.
func (g *grantPool) endpoint(group uint64) *grantEndpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(time.Now())
	return g.endpointOf(group)
}

// endpointOf is endpoint with g.mu held.
func (g *grantPool) endpointOf(group uint64) *grantEndpoint {
	if d := g.endpoints[group]; d != nil {
		return d
	}
	if !slices.Contains(g.groups, group) {
		return nil
	}
	d := newGrantEndpoint(g, group)
	g.endpoints[group] = d
	g.shared.endpoints.Store(group, d)
	return d
}

// choose returns the endpoint that a request is to ask: one of the groups at random, by their slots. Servers that the request may not go
// to don't count.
func (g *grantPool) choose(now time.Time, exclude []uint64) *grantEndpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(now)
	slots, total := make([]int, len(g.groups)), 0
	for _, s := range g.servers {
		if s.Usable && !slices.Contains(exclude, s.Hash) {
			slots[groupOf(s.Hash, len(g.groups))] += s.Slots
			total += s.Slots
		}
	}
	if total == 0 {
		return g.endpointOf(g.groups[0])
	}
	at := rand.IntN(total)
	for i, n := range slots {
		if at -= n; at < 0 {
			return g.endpointOf(g.groups[i])
		}
	}
	return nil
}

// view returns the servers of a group and the routers that may grant their slots; nobody may when the servers are now grouped
// otherwise.
func (g *grantPool) view(now time.Time, group uint64) slotgrant.View {
	g.mu.Lock()
	g.refresh(now)
	i := slices.Index(g.groups, group)
	var servers []slotgrant.Server
	for _, s := range g.servers {
		if i >= 0 && groupOf(s.Hash, len(g.groups)) == i {
			// What keeps this router alone from a server says nothing of the others; their reports do.
			s.Usable = true
			servers = append(servers, s)
		}
	}
	g.mu.Unlock()
	if i < 0 {
		return slotgrant.View{}
	}
	list, _ := g.shared.link.GrantCandidates(now, group)
	return slotgrant.View{Candidates: list, Servers: servers, LoadsKnown: true}
}

// SetGrantLink sets the way to the other routers. Call it before requests are served. Without it no pool is scarce.
func (st *State) SetGrantLink(l GrantLink) { st.grantsShared.link = l }

// ReceiveGrants handles what another router says about the slots of a group of servers.
func (st *State) ReceiveGrants(from netip.Addr, m *slotgrant.Message) {
	if d, ok := st.grantsShared.endpoints.Load(m.Pool); ok {
		d.(*grantEndpoint).receive(from, m)
		return
	}
	for _, g := range st.grantPools() {
		if d := g.endpoint(m.Pool); d != nil {
			d.receive(from, m)
			return
		}
	}
}

// HandOverGrants lets the next routers grant, after the others have been told that this one does not.
func (st *State) HandOverGrants() {
	for _, g := range st.grantPools() {
		for _, d := range g.allEndpoints() {
			d.update(d.tick)
		}
	}
}

// allEndpoints returns the endpoints in the order of their groups, then those of earlier groups.
func (g *grantPool) allEndpoints() []*grantEndpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list, earlier []*grantEndpoint
	for _, group := range g.groups {
		if d := g.endpoints[group]; d != nil {
			list = append(list, d)
		}
	}
	for group, d := range g.endpoints {
		if !slices.Contains(g.groups, group) {
			earlier = append(earlier, d)
		}
	}
	return append(list, earlier...)
}

// grantPools returns the grants of all pools, none before there is a way to the other routers.
func (st *State) grantPools() []*grantPool {
	if st.grantsShared.link == nil {
		return nil
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	list := make([]*grantPool, 0, len(st.pools))
	for _, p := range st.pools {
		list = append(list, p.grants)
	}
	return list
}
