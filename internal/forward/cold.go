package forward

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// startsWait is how long a router that has started while the fleet served takes servers for cold that may
	// have started just before. Other routers tell it which ones are as soon as they hear it.
	startsWait = time.Second
	// maxPendingCold bounds what is kept of servers that are not known yet.
	maxPendingCold = 2048
	// minColdRetry and maxColdRetry bound the wait after a refusal for want of servers that are not cold. The rate of a cold
	// server is small: callers that came back together would be refused again.
	minColdRetry = 500 * time.Millisecond
	maxColdRetry = 2 * time.Second
)

// ColdCause says how a router has learned that a server is cold, or no longer is.
type ColdCause string

// Causes of a cold server.
const (
	ColdByStart   ColdCause = "start"
	ColdByEntry   ColdCause = "entry"
	ColdByAnswer  ColdCause = "answer"
	ColdByRouter  ColdCause = "other_router"
	ColdByLifting ColdCause = "evacuation_lifted"
)

// coldKnowledge is what is known of cold servers beyond the pools. State.mu guards it.
type coldKnowledge struct {
	// pending has what others have said of servers that are not known yet, by their short hashes.
	pending map[uint32]pendingCold
	// startsUnknownUntil is until when servers that may have started just before this router count as cold.
	startsUnknownUntil time.Time
}

type pendingCold struct {
	// cold is unset for a server that is no longer cold.
	cold    bool
	until   time.Time
	byEntry bool
}

// coldRetryAfter returns a wait after a refusal for want of servers that are not cold.
func coldRetryAfter() time.Duration {
	return minColdRetry + time.Duration(rand.Float64()*float64(maxColdRetry-minColdRetry))
}

// coldLimits returns what the cold servers of a pool tolerate. The caller holds mu.
func (st *State) coldLimits(pool string) balance.ColdLimits {
	t := st.table.Load()
	if t == nil {
		return balance.ColdLimits{}
	}
	p := t.Pool(pool)
	bounds := namedlimit.ColdBounds{PerSecond: p.ColdPerSecond, Overage: st.limits.ColdOverage, Extra: st.limits.ColdExtra}
	return balance.ColdLimits{Start: p.ColdStart, Bounds: bounds}
}

func (st *State) setColdLimits() {
	st.eachPool(func(p *pool) { p.balance.SetColdLimits(st.coldLimits(p.name)) })
}

// SetColdBounds changes the bounds of the requests that a cold server gets.
func (st *State) SetColdBounds(overage, extra float64) {
	st.mu.Lock()
	st.limits.ColdOverage, st.limits.ColdExtra = overage, extra
	st.mu.Unlock()
	st.setColdLimits()
}

// setStartsUnknown makes servers that may have started just before this router count as cold until a time.
func (st *State) setStartsUnknown(until time.Time) {
	st.mu.Lock()
	st.cold.startsUnknownUntil = until
	st.mu.Unlock()
	st.eachPool(func(p *pool) { p.balance.SetStartsUnknown(until) })
}

// RecordStart logs that an incarnation has started and is cold.
func (st *State) RecordStart(s *registry.Server) {
	st.mu.Lock()
	limits := st.coldLimits(s.Pool)
	st.mu.Unlock()
	left := time.Until(s.Start.At.Add(limits.Start))
	if !s.Start.At.IsZero() && left > 0 && limits.Bounds.PerSecond > 0 {
		st.onCold(s, left, ColdByStart)
	}
}

// RecordColdEntry records what a server's entry says of whether it is cold, and reports whether that is new. With first
// set the entry is the one by which this router has come to know the incarnation. read is set when this router has read the entry
// itself; a change is then sent to the others.
func (st *State) RecordColdEntry(s *registry.Server, first, read bool) (changed bool) {
	p := st.pool(s.Pool)
	if p == nil {
		return false
	}
	left := max(s.ColdLeft, 0)
	changed = p.recordCold(time.Now(), s.Key(), balance.ColdUpdate{Left: left, ByEntry: true}, first, read)
	if changed {
		st.onCold(s, left, ColdByEntry)
	}
	return changed
}

func (p *pool) recordCold(now time.Time, key registry.Key, update balance.ColdUpdate, first, announce bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.RecordCold(now, key, update, first, announce)
}

// recordCold records what an answer says of how long its server is cold yet.
func (c *call) recordCold(s *registry.Server, left time.Duration) {
	if left > 0 && c.pool.recordCold(time.Now(), s.Key(), balance.ColdUpdate{Left: left}, false, true) {
		c.handler.state.onCold(s, left, ColdByAnswer)
		c.handler.state.onNews()
	}
}

// TakeCold returns what the other routers have to be told now of cold servers.
func (st *State) TakeCold() []digest.ColdServer {
	var list []digest.ColdServer
	now := time.Now()
	st.eachPool(func(p *pool) {
		p.balance.TakeCold(now, func(server uint64, update balance.ColdUpdate) {
			list = append(list, digest.ColdServer{Server: digest.ShortHash(server), Left: update.Left, ByEntry: update.ByEntry})
		})
	})
	return list
}

// ColdServers returns the cold servers of the pools in which they count, and whether this router has had the time to
// learn of all.
func (st *State) ColdServers() (list []digest.ColdServer, settled bool) {
	now := time.Now()
	st.eachPool(func(p *pool) {
		p.balance.ColdServers(now, func(server uint64, left time.Duration) {
			list = append(list, digest.ColdServer{Server: digest.ShortHash(server), Left: left})
		})
	})
	st.mu.Lock()
	defer st.mu.Unlock()
	return list, !now.Before(st.cold.startsUnknownUntil)
}

// ApplyCold records what another router knows of cold servers. With complete set it knows of no others.
func (st *State) ApplyCold(list []digest.ColdServer, complete bool) {
	now := time.Now()
	st.mu.Lock()
	for _, c := range list {
		st.addPendingCold(now, c)
	}
	st.applyPendingCold(now)
	st.mu.Unlock()
	if complete {
		st.setStartsUnknown(time.Time{})
	}
}

// addPendingCold keeps what another router has said until it is applied. The caller holds mu.
func (st *State) addPendingCold(now time.Time, c digest.ColdServer) {
	pending := st.cold.pending
	if len(pending) >= maxPendingCold {
		for server, p := range pending {
			if now.After(p.until) {
				delete(pending, server)
			}
		}
	}
	if len(pending) < maxPendingCold {
		pending[c.Server] = pendingCold{cold: c.Left > 0, until: now.Add(c.Left), byEntry: c.ByEntry}
	}
}

// applyPendingCold applies what others have said to the servers that are known by now. The caller holds mu.
func (st *State) applyPendingCold(now time.Time) {
	for server, said := range st.cold.pending {
		update := balance.ColdUpdate{Left: max(said.until.Sub(now), 0), ByEntry: said.byEntry}
		if !said.until.After(now) {
			delete(st.cold.pending, server)
			if said.cold {
				// It does not say that a server which has become known since is not cold.
				continue
			}
		}
		for _, p := range st.pools {
			p.mu.Lock()
			s, changed := p.balance.ReceiveCold(now, func(hash uint64) bool { return digest.ShortHash(hash) == server }, update)
			p.mu.Unlock()
			if s == nil {
				continue
			}
			delete(st.cold.pending, server)
			if changed {
				st.onCold(s, update.Left, ColdByRouter)
			}
		}
	}
}

// observeCold logs and counts servers that become cold or no longer are.
func observeCold(st *State, events *event.Logger, metrics *Metrics) {
	st.onCold = func(s *registry.Server, left time.Duration, cause ColdCause) {
		if left <= 0 {
			events.Emit(event.ServerWarm, "server", s.ID, "pool", s.Pool, "cause", cause)
			return
		}
		events.Emit(event.ServerCold, "server", s.ID, "pool", s.Pool, "data_centre", s.DataCentre, "cause", cause, "left_ms", left.Milliseconds())
		metrics.scope.Counter("cold_servers").Inc(1)
	}
}
