package forward

import (
	"context"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// brittleCheck is the time between two checks whether a brittle server has a slot.
const brittleCheck = 5 * time.Millisecond

// awaitBrittle holds the request while all servers are brittle and have as many requests of this router as they
// may have, and reports whether it is still to be sent. They reject what they have no room for.
func (c *call) awaitBrittle(ctx context.Context, job balance.Job, limit time.Duration) bool {
	for c.attempts.held < limit && c.pool.brittleFull(time.Now(), job) {
		if !c.hold(ctx, brittleCheck) {
			return false
		}
	}
	return true
}

// recordBrittle records what a server says in an answer of the rejections that it bears.
func (c *call) recordBrittle(s *registry.Server, rejections float64) {
	if !c.pool.recordBrittle(time.Now(), s.Key(), rejections) {
		return
	}
	e := event.ServerBrittle
	if rejections == 0 {
		e = event.ServerNotBrittle
	}
	c.handler.events.Emit(e, "server", s.ID, "pool", s.Pool, "request", c.headers.ID, "rejections_per_second", rejections)
}

func (p *pool) recordBrittle(now time.Time, key registry.Key, rejections float64) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.RecordBrittle(now, key, rejections)
}

// brittle reports whether a server has said that it is brittle.
func (p *pool) brittle(key registry.Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.Brittle(key)
}

// brittleFull reports whether a request has to wait for a slot of a brittle server.
func (p *pool) brittleFull(now time.Time, job balance.Job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.BrittleFull(now) && !p.balance.HasUsable(now, job)
}
