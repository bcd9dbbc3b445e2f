package forward

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// SetLimitShare sets the function that returns this router's share in the requests to a server
// that names a limit. Call it before requests are served.
func (st *State) SetLimitShare(f func(server uint64) namedlimit.Share) { st.limitShare = f }

// recordLimit records what an answer says of its server's limit. A failure or a refusal without a
// limit says nothing.
func (c *call) recordLimit(s *registry.Server, answer ResponseHeaders, success bool) {
	said := namedlimit.Statement{PerSecond: answer.Limit, At: time.Now()}
	if !answer.HasLimit {
		said.PerSecond = -1
	}
	if !answer.HasLimit && !success || !c.pool.recordLimit(s.Key(), said, c.attempts.sentAt) {
		return
	}
	c.handler.state.onLimit(s, said, false)
	c.handler.state.onNews()
}

func (p *pool) recordLimit(key registry.Key, said namedlimit.Statement, sentAt time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.RecordLimit(key, said, sentAt)
}

// withheldWait returns how long it takes until a server of the pool in the regions may get a request again when
// what the servers say keeps this one from all, else 0, and whether some of them are cold.
func (p *pool) withheldWait(now time.Time, regions []string) (wait time.Duration, cold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.WithheldWait(now, regions...), p.balance.HasCold(now, regions...)
}

// TakeLimits returns what the other routers have to be told of servers' limits.
func (st *State) TakeLimits() []digest.Limit {
	var list []digest.Limit
	now := time.Now()
	st.eachPool(func(p *pool) {
		p.balance.TakeLimits(now, func(server uint64, s namedlimit.Statement) {
			list = append(list, digest.Limit{Server: digest.ShortHash(server), PerSecond: s.PerSecond, Age: now.Sub(s.At)})
		})
	})
	return list
}

// ApplyLimits records what another router has heard of servers' limits.
func (st *State) ApplyLimits(list []digest.Limit) {
	now := time.Now()
	for _, l := range list {
		said := namedlimit.Statement{PerSecond: l.PerSecond, At: now.Add(-l.Age)}
		st.eachPool(func(p *pool) {
			if s := p.balance.ReceiveLimit(func(hash uint64) bool { return digest.ShortHash(hash) == l.Server }, said); s != nil {
				st.onLimit(s, said, true)
			}
		})
	}
}

// observeLimits logs and counts changes of limits.
func observeLimits(st *State, events *event.Logger, metrics *Metrics) {
	st.onLimit = func(s *registry.Server, said namedlimit.Statement, received bool) {
		if !said.Limited() {
			events.Emit(event.LimitEnded, "server", s.ID, "pool", s.Pool, "received", received)
			return
		}
		share := st.limitShare(s.Key().Hash())
		events.Emit(event.LimitNamed, "server", s.ID, "pool", s.Pool, "per_second", said.PerSecond, "received", received,
			"sender", share.Sender, "routers", share.Routers)
		metrics.scope.Counter("named_limits").Inc(1)
	}
}
