package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// maxWaitingAtStart bounds the requests that wait for the first configuration, whose connections and goroutines take memory.
const maxWaitingAtStart = 256

// start lets the requests that arrive while a router reads its first configuration and servers wait for them. After a restart
// of all routers a caller that is refused finds no other router that is further, and loses its retry.
type start struct {
	// until is when waiting ends; the zero time for no waiting at all.
	until   time.Time
	waiting atomic.Int32
	// ready is closed once there is a configuration, with servers.
	ready chan struct{}
	once  sync.Once
}

// WaitUntilReady makes requests wait for the first configuration and servers, until a time. Call it before requests are served.
func (st *State) WaitUntilReady(until time.Time) { st.start.until = until }

// SetReady records that there is a configuration, with servers.
func (st *State) SetReady() { st.start.once.Do(func() { close(st.start.ready) }) }

// awaitTable finds the configuration in force. It waits for the first one while that is expected soon, for half of the caller's
// time at most. It reports whether there is one, and ends the request otherwise.
func (c *call) awaitTable() bool {
	st := c.handler.state
	limit := time.Until(st.start.until)
	if c.headers.Deadline > 0 {
		limit = min(limit, c.headers.Deadline/2)
	}
	if !st.start.wait(c.r.Context(), limit) {
		c.recordCallerLeft()
		return false
	}
	if c.table = st.Table(); c.table == nil {
		c.refuse(CauseNoConfig)
		return false
	}
	return true
}

// wait waits until the router is ready, for a time at most, unless too many requests wait already. It reports whether the caller
// is still there.
func (s *start) wait(ctx context.Context, limit time.Duration) bool {
	if limit <= 0 {
		return true
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > maxWaitingAtStart {
		return true
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.ready:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
