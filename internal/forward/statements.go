package forward

import (
	"net/http"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// recordStatements records what a server says in an answer of the requests that it takes from now on,
// but for a limit of their rate. Each router keeps to what it has itself been told.
func (c *call) recordStatements(s *registry.Server, status int, answer ResponseHeaders) {
	if answer.Leaving && c.pool.recordLeaving(s.Key()) {
		c.handler.events.Emit(event.ServerSaysLeaving, "server", s.ID, "pool", s.Pool, "request", c.headers.ID)
	}
	if status != http.StatusServiceUnavailable || answer.RetryAfter == 0 {
		return
	}
	if c.pool.recordRetryAfter(time.Now(), s.Key(), answer.RetryAfter) {
		c.handler.events.Emit(event.ServerRefuses, "server", s.ID, "pool", s.Pool, "request", c.headers.ID, "for_ms", answer.RetryAfter.Milliseconds())
	}
}

func (p *pool) recordLeaving(key registry.Key) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.RecordLeaving(key)
}

func (p *pool) recordRetryAfter(now time.Time, key registry.Key, d time.Duration) (begun bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.RecordRetryAfter(now, key, d)
}
