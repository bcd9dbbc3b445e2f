package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/connreuse"
	"github.com/bluebellwell/bluebellwell/internal/cost"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/streambackup"
)

const (
	// dialTimeout bounds the opening of a connection within the region.
	dialTimeout = 400 * time.Millisecond
	// sendTimeout ends a connection whose peer does not acknowledge data.
	sendTimeout = 1500 * time.Millisecond
	// idlePerServer bounds the idle connections kept to one server.
	idlePerServer = 8
	// idleTimeout closes idle connections before servers usually do. Where a server
	// announces a shorter time, they are closed idleMargin before its end: a request that
	// crosses the close may have run.
	idleTimeout = 3 * time.Second
	idleMargin  = 250 * time.Millisecond
	// minIdleTimeout is for a server that announces hardly any time. A transport takes 0
	// as no limit.
	minIdleTimeout = time.Millisecond
	// maxHeaderBytes bounds the headers of a server's answer.
	maxHeaderBytes = 64 << 10
	// connectionBuffer is the size of a connection's read and write buffers, in
	// bytes: an event or a small answer fits.
	connectionBuffer = 2 << 10
)

// Limits holds the bounds that apply to all pools and to the bodies in memory.
type Limits struct {
	Balance balance.Limits
	Retry   retrybudget.Limits
	// BackupRisk is the least probability that a stream loses its engine at which it may have a copy elsewhere.
	BackupRisk float64
	// DelayShare is set when routers send a share of their requests to plain pools whose servers take long.
	DelayShare bool
	// BodyMemory bounds the request bodies in memory at the same time, in bytes.
	BodyMemory int64
	DataCentre string
	// Regions maps data centres to their regions. Those that are missing are in no region.
	Regions map[string]string
	// ColdOverage and ColdExtra bound the requests that a cold server gets in a second beyond the rate of its pool: a
	// factor and a number of requests.
	ColdOverage float64
	ColdExtra   float64
}

// State holds the configuration in force, and the load balancing and connections
// of all pools. It is safe for concurrent use.
type State struct {
	// limits do not change, except Balance, Retry and the bounds of cold servers, which mu guards.
	limits Limits
	table  atomic.Pointer[routing.Table]
	start  start
	// onNews is called when the other routers have to be told something soon.
	onNews func()
	// placementsKnown reports whether this router has the placements of the fleet.
	placementsKnown func() bool
	// versionsPending reports whether the engines are being asked which versions have prompts cached.
	versionsPending func() bool
	// onReuse is called when connections to a server may no longer be reused, or may be
	// again. New sets it.
	onReuse reuseObserver
	crashes *crashes
	streams *streamVersions
	// fleet is shared by the retry budgets of all pools.
	fleet *retrybudget.Fleet
	// routers is the number of routers that are live, this one included; 0 before the first digest.
	routers atomic.Int64
	// paths opens the connections to servers.
	paths *paths
	// grantsShared is shared by the grants of all pools.
	grantsShared *grantsShared
	// limitShare returns this router's share in the requests to a server that names a limit, and
	// onLimit is called when such a limit changes. New sets it.
	limitShare func(server uint64) namedlimit.Share
	onLimit    func(s *registry.Server, said namedlimit.Statement, received bool)
	// onCold is called when a server becomes cold, or no longer is. New sets it.
	onCold func(s *registry.Server, left time.Duration, cause ColdCause)

	mu    sync.Mutex
	pools map[string]*pool
	// addrs has the data centres of the servers at each address, and evacuated those that are evacuated.
	addrs     map[string][]string
	evacuated map[string]bool
	cold      coldKnowledge
	// maySend reports whether this router knows which data centres are evacuated.
	maySend func() bool
}

// pool balances the load over the servers of one pool and holds the connections
// to them.
type pool struct {
	name   string
	budget *retrybudget.Budget

	mu         sync.Mutex
	balance    *balance.Pool
	controller *overload.Controller
	// delays decides which part of the requests is sent; nil for all. shareLowered is set while that is logged to be less than all.
	delays       *overload.DelayShare
	shareLowered bool
	costs        *cost.Model
	// connections has those of each incarnation of a server, so that none is used for a
	// later incarnation.
	connections map[registry.Key]*connections
	onReuse     reuseObserver
	dial        serverDialFunc
	// evacuated reports whether nothing may be sent to the server at an address.
	evacuated func(addr string) bool
	// indirect reports whether the server at an address is reached through another router.
	indirect func(now time.Time, addr string) bool
	versions versionChange
	grants   *grantPool
	// backups decides on copies of the memory of runs, and backedUp has the attempts that have one.
	backups  streambackup.Policy
	backedUp map[registry.Key]map[*watch]bool
}

// NewState returns a state without a configuration and servers.
func NewState(limits Limits) *State {
	st := &State{
		limits: limits, pools: make(map[string]*pool), onNews: func() {}, placementsKnown: func() bool { return true }, versionsPending: func() bool { return false },
		maySend:    func() bool { return true },
		onReuse:    func(*registry.Server, *connreuse.Change) {},
		limitShare: func(uint64) namedlimit.Share { return namedlimit.Share{Sender: true, Sole: true, Routers: 1} },
		onLimit:    func(*registry.Server, namedlimit.Statement, bool) {},
		onCold:     func(*registry.Server, time.Duration, ColdCause) {},
		cold:       coldKnowledge{pending: make(map[uint32]pendingCold)},
		start:      start{ready: make(chan struct{})},
	}
	st.crashes = newCrashes(func() { st.onNews() })
	st.streams = newStreamVersions()
	st.fleet = retrybudget.NewFleet()
	st.paths = newPaths()
	st.grantsShared = &grantsShared{events: event.Nop()}
	st.paths.onChange = st.renewConnections
	st.paths.evacuated = st.evacuatedAddr
	st.crashes.ended = st.paths.refuses
	return st
}

// SetDial replaces the function by which this router itself opens connections to servers. Call it
// before requests are served.
func (st *State) SetDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	st.paths.direct = dial
}

// SetTunnel sets the way through other routers, for servers that this one does not reach. Call it
// before requests are served.
func (st *State) SetTunnel(t Tunnel) { st.paths.tunnel = t }

// DialDirect opens a connection to a server for another router, which does not reach it.
func (st *State) DialDirect(ctx context.Context, network, addr string) (net.Conn, error) {
	return st.paths.dialDirect(ctx, network, addr)
}

// KnowsServer reports whether a server has an address and is in service.
func (st *State) KnowsServer(addr string) bool {
	if !st.maySend() {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.addrs[addr]) > 0 && !st.isEvacuated(addr)
}

// renewConnections makes the next requests to the servers at an address use new connections.
func (st *State) renewConnections(addr string) {
	st.eachPool(func(p *pool) {
		for key, c := range p.connections {
			if key.Addr == addr {
				c.renew()
			}
		}
	})
}

// OnNews sets the function that is called when the other routers have to be told something
// soon. Call it before requests are served.
func (st *State) OnNews(f func()) { st.onNews = f }

// SetPlacementsKnown sets the function that reports whether this router has the
// placements of the fleet. Call it before requests are served.
func (st *State) SetPlacementsKnown(f func() bool) { st.placementsKnown = f }

// SetVersionsPending sets the function that reports whether the fleet is about to learn from the engines which versions
// have prompts cached, since most routers were killed. Call it before requests are served.
func (st *State) SetVersionsPending(f func() bool) { st.versionsPending = f }

// awaitsInventory reports whether what the engines have cached may soon tell which versions began streams.
func (st *State) awaitsInventory() bool { return !st.placementsKnown() || st.versionsPending() }

// SetTable puts a configuration in force.
func (st *State) SetTable(t *routing.Table) {
	st.table.Store(t)
	st.setColdLimits()
	st.eachPool(func(p *pool) { p.balance.SetMemory(engineMemory(t, p.name)) })
}

// engineMemory returns the number of tokens that fit the memory of a pool's engines; 0 for unknown.
func engineMemory(t *routing.Table, pool string) int {
	if t == nil {
		return 0
	}
	if e := t.Pool(pool).Engine; e != nil {
		return e.KVTokens
	}
	return 0
}

// Table returns the configuration in force, or nil before the first one.
func (st *State) Table() *routing.Table { return st.table.Load() }

// SetServers replaces the list of servers of all pools.
func (st *State) SetServers(list []*registry.Server) {
	byPool, addrs := make(map[string][]*registry.Server), make(map[string][]string, len(list))
	for _, s := range list {
		byPool[s.Pool] = append(byPool[s.Pool], s)
		addrs[s.Addr] = append(addrs[s.Addr], s.DataCentre)
	}
	st.paths.forget(func(addr string) bool { return len(addrs[addr]) == 0 })
	if st.setPools(byPool, addrs) {
		st.streams.tellOwn()
	}
}

// setPools replaces the servers of all pools and reports whether a second version has come to one.
func (st *State) setPools(byPool map[string][]*registry.Server, addrs map[string][]string) (secondVersion bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.addrs = addrs
	for name := range byPool {
		if st.pools[name] == nil {
			st.pools[name] = st.newPool(name)
		}
	}
	for name, p := range st.pools {
		secondVersion = p.setServers(byPool[name]) || secondVersion
	}
	st.applyPendingCold(time.Now())
	return secondVersion
}

// SetBounds changes the bounds of all pools.
func (st *State) SetBounds(b balance.Limits, r retrybudget.Limits) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.limits.Balance, st.limits.Retry = b, r
	for _, p := range st.pools {
		p.mu.Lock()
		p.balance.SetLimits(b)
		p.mu.Unlock()
		p.budget.SetLimits(r)
	}
}

func (st *State) newPool(name string) *pool {
	b := balance.NewPool(st.limits.Balance)
	b.SetEvacuated(st.evacuated)
	b.SetLimitShare(func(server uint64) namedlimit.Share { return st.limitShare(server) })
	b.SetMemory(engineMemory(st.Table(), name))
	b.SetRegions(st.limits.Regions)
	b.SetColdLimits(st.coldLimits(name))
	b.SetStartsUnknown(st.cold.startsUnknownUntil)
	p := &pool{
		name:        name,
		budget:      retrybudget.New(st.limits.Retry, st.fleet),
		balance:     b,
		controller:  overload.New(),
		costs:       cost.New(),
		connections: make(map[registry.Key]*connections),
		onReuse:     func(s *registry.Server, c *connreuse.Change) { st.onReuse(s, c) },
		dial:        st.paths.dial,
		evacuated:   st.evacuatedAddr,
		indirect:    st.paths.indirect,
	}
	p.backups.MinRisk = st.limits.BackupRisk
	if st.limits.DelayShare {
		p.delays = overload.NewDelayShare()
	}
	p.grants = newGrantPool(p, st.grantsShared)
	return p
}

// pool returns the pool named name, or nil.
func (st *State) pool(name string) *pool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pools[name]
}

// Engines returns the model engines that accept requests.
func (st *State) Engines() []*registry.Server {
	return st.engines(func(s balance.Status) bool { return !s.Server.Leaving && !s.Ejected })
}

// AllEngines returns the model engines in service, also those that get no requests at the moment.
func (st *State) AllEngines() []*registry.Server {
	return st.engines(func(balance.Status) bool { return true })
}

func (st *State) engines(accept func(balance.Status) bool) []*registry.Server {
	var list []*registry.Server
	now := time.Now()
	st.eachPool(func(p *pool) {
		for _, s := range p.balance.Status(now) {
			if s.Server.Engine && !s.Evacuated && accept(s) {
				list = append(list, s.Server)
			}
		}
	})
	return list
}

// setServers replaces the list of servers and reports whether a second version has come.
func (p *pool) setServers(list []*registry.Server) (secondVersion bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := make(map[registry.Key]bool, len(list))
	for _, s := range list {
		current[s.Key()] = true
	}
	p.recordVanished(current)
	p.balance.SetServers(list)
	for key, c := range p.connections {
		if current[key] {
			continue
		}
		c.remove()
		delete(p.connections, key)
	}
	return p.versions.update(time.Now(), list)
}

// admit decides whether the pool accepts a request at the estimated load of the servers that it may get, and returns
// that load. A request for which a cold server has room is accepted.
func (p *pool) admit(now time.Time, req overload.Request, job balance.Job) (overload.Load, overload.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.balance.Load(now, job.AllowedRegions...)
	decision := p.controller.Decide(now, load, req)
	decision.Share = p.admitShare(now, &req, decision)
	if !(decision.Admitted && decision.Share.Admitted) && p.balance.ColdReady(now, job) {
		decision.Admitted, decision.Share.Admitted = true, true
	}
	return load, decision
}

// recordAnswerTimes records the times to the first byte and to the end of a
// request that was served at the first attempt.
func (p *pool) recordAnswerTimes(route string, firstByte, total time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller.RecordRouteAnswer(route, firstByte, total)
}

// pick chooses a server and counts the request there, unless the request may be held
// and the server is still reading its prefix. newPlacement is set when the placement
// must be sent to the other routers.
func (p *pool) pick(now time.Time, job balance.Job, mayHold bool) (c balance.Choice, ok, newPlacement bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	job.Random = rand.Uint64()
	c, ok = p.balance.Pick(now, job)
	if ok && !(mayHold && c.ReadyIn > 0) {
		newPlacement = p.balance.Begin(now, c, job)
	}
	return c, ok, newPlacement
}

// recordFirstByte records the time to the first byte of an attempt.
func (p *pool) recordFirstByte(c balance.Choice, job balance.Job, firstByte time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balance.RecordFirstByte(time.Now(), c, job, firstByte)
}

func (p *pool) recordLoad(now time.Time, key registry.Key, load balance.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balance.RecordLoad(now, key, load)
}

func (p *pool) recordProgress(now time.Time, key registry.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balance.RecordProgress(now, key)
}

// end records the outcome of an attempt and reports whether the server was ejected.
func (p *pool) end(now time.Time, c balance.Choice, job balance.Job, o balance.Outcome) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o == balance.Refused || o == balance.Unreachable {
		p.balance.CancelReading(now, c, job)
	}
	p.balance.EndRun(c.Server.Key(), job.Run)
	return p.balance.End(now, c.Server.Key(), o)
}

func (p *pool) confirmFailure(now time.Time, key registry.Key) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.ConfirmFailure(now, key)
}

// connectionsTo returns the connections to one incarnation of a server.
func (p *pool) connectionsTo(server *registry.Server) *connections {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.connections[server.Key()]
	if c == nil {
		c = &connections{onReuse: func(change *connreuse.Change) { p.onReuse(server, change) }, dial: p.dial, beforeRequest: p.unlessEvacuated(server.Addr)}
		p.connections[server.Key()] = c
	}
	return c
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not define.
const tcpUserTimeout = 0x12

// setSendTimeout makes the kernel close a connection whose peer has vanished
// without a reset.
func setSendTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(sendTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
