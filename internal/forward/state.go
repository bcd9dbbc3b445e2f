package forward

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/httpsend"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
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
	// BodyMemory bounds the request bodies in memory at the same time, in bytes.
	BodyMemory int64
	DataCentre string
}

// State holds the configuration in force, and the load balancing and connections
// of all pools. It is safe for concurrent use.
type State struct {
	// limits do not change, except Balance and Retry, which mu guards.
	limits Limits
	table  atomic.Pointer[routing.Table]
	// onNewPlacement is called after a placement that must be sent to the other
	// routers.
	onNewPlacement func()
	// placementsKnown reports whether this router has the placements of the fleet.
	placementsKnown func() bool

	mu    sync.Mutex
	pools map[string]*pool
}

// pool balances the load over the servers of one pool and holds the connections
// to them.
type pool struct {
	name   string
	budget *retrybudget.Budget

	mu         sync.Mutex
	balance    *balance.Pool
	controller *overload.Controller
	transports map[registry.Key]*http.Transport
}

// NewState returns a state without a configuration and servers.
func NewState(limits Limits) *State {
	return &State{limits: limits, pools: make(map[string]*pool), onNewPlacement: func() {}, placementsKnown: func() bool { return true }}
}

// OnNewPlacement sets the function that is called after a placement that must be
// sent to the other routers. Call it before requests are served.
func (st *State) OnNewPlacement(f func()) { st.onNewPlacement = f }

// SetPlacementsKnown sets the function that reports whether this router has the
// placements of the fleet. Call it before requests are served.
func (st *State) SetPlacementsKnown(f func() bool) { st.placementsKnown = f }

// SetTable puts a configuration in force.
func (st *State) SetTable(t *routing.Table) { st.table.Store(t) }

// Table returns the configuration in force, or nil before the first one.
func (st *State) Table() *routing.Table { return st.table.Load() }

// SetServers replaces the list of servers of all pools.
func (st *State) SetServers(list []*registry.Server) {
	byPool := make(map[string][]*registry.Server)
	for _, s := range list {
		byPool[s.Pool] = append(byPool[s.Pool], s)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for name := range byPool {
		if st.pools[name] == nil {
			st.pools[name] = st.newPool(name)
		}
	}
	for name, p := range st.pools {
		p.setServers(byPool[name])
	}
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
	return &pool{
		name:       name,
		budget:     retrybudget.New(st.limits.Retry),
		balance:    balance.NewPool(st.limits.Balance),
		controller: overload.New(),
		transports: make(map[registry.Key]*http.Transport),
	}
}

// pool returns the pool named name, or nil.
func (st *State) pool(name string) *pool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pools[name]
}

// Engines returns the model engines that accept requests.
func (st *State) Engines() []*registry.Server {
	var list []*registry.Server
	now := time.Now()
	st.eachPool(func(p *pool) {
		for _, s := range p.balance.Status(now) {
			if s.Server.Engine && !s.Server.Leaving && !s.Ejected {
				list = append(list, s.Server)
			}
		}
	})
	return list
}

func (p *pool) setServers(list []*registry.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balance.SetServers(list)
	current := make(map[registry.Key]bool, len(list))
	for _, s := range list {
		current[s.Key()] = true
	}
	for key, t := range p.transports {
		if current[key] {
			continue
		}
		t.CloseIdleConnections()
		delete(p.transports, key)
	}
}

// admit decides whether the pool accepts a request at its estimated load, and
// returns that load.
func (p *pool) admit(now time.Time, req overload.Request) (overload.Load, overload.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.balance.Load(now)
	return load, p.controller.Decide(now, load, req)
}

// recordAnswerTimes records the times to the first byte and to the end of a
// request that was served at the first attempt.
func (p *pool) recordAnswerTimes(firstByte, total time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller.RecordAnswer(firstByte, total)
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
	return p.balance.End(now, c.Server.Key(), o)
}

func (p *pool) confirmFailure(now time.Time, key registry.Key) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.ConfirmFailure(now, key)
}

// transport returns the transport of one incarnation of a server. Each has its
// own, so that no connection is used for a later incarnation.
func (p *pool) transport(key registry.Key) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transports[key]
	if t == nil {
		t = newTransport(idleTimeout)
		p.transports[key] = t
	}
	return t
}

// recordIdleTime records for how long a server keeps an idle connection. Connections
// that were opened with a longer limit are not used again.
func (p *pool) recordIdleTime(key registry.Key, announced time.Duration) {
	limit := max(announced-idleMargin, minIdleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transports[key]
	if t == nil || t.IdleConnTimeout <= limit {
		return
	}
	t.CloseIdleConnections()
	p.transports[key] = newTransport(limit)
}

func newTransport(idleTimeout time.Duration) *http.Transport {
	t := httpsend.NewTransport(httpsend.Options{
		DialTimeout:         dialTimeout,
		MaxHeaderBytes:      maxHeaderBytes,
		MaxIdleConnsPerHost: idlePerServer,
		IdleTimeout:         idleTimeout,
		Control:             setSendTimeout,
		KeepAlive:           httpsend.ShortKeepAlive(),
	})
	t.ReadBufferSize = connectionBuffer
	t.WriteBufferSize = connectionBuffer
	return t
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
