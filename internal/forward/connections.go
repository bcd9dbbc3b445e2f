package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/connreuse"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/httpsend"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// reuseObserver is called with each change of the decision whether connections to a server
// may be reused. It must not use the connections.
type reuseObserver func(*registry.Server, *connreuse.Change)

// connections holds the connections to one server. It is safe for concurrent use.
type connections struct {
	onReuse func(*connreuse.Change)
	// dial opens connections.
	dial serverDialFunc

	// transportMu guards the transports, which are kept by the regions to which requests must keep. So a connection
	// through a router in another region carries no request that must not pass there.
	transportMu sync.Mutex
	transports  map[string]*transports
	// shorterIdle is how long an idle connection is kept because the server has announced a
	// shorter time than idleTimeout; 0 when it has not.
	shorterIdle time.Duration

	// reuseMu guards reuse and removed. The transports report unasked bytes with their locks held, so
	// no transport is used under reuseMu.
	reuseMu sync.Mutex
	reuse   connreuse.State
	// removed is set when the server no longer exists.
	removed bool
}

// transports are those of the requests that keep to the same regions. kept reuses connections; single opens one for each
// request, while the connections must not be reused. Each is made when it is needed.
type transports struct {
	kept, single *http.Transport
}

// maxTransports bounds the regions for which connections are kept, which only a change of the configuration replaces.
const maxTransports = 16

// transport returns the transport for the next request, which must keep to the regions when there are any.
// Connections that are kept when a period without reuse begins are never used again.
func (c *connections) transport(now time.Time, regions ...string) *http.Transport {
	mayReuse, changed := c.mayReuse(now)
	c.transportMu.Lock()
	defer c.transportMu.Unlock()
	if !mayReuse || changed {
		c.dropKept()
	}
	key := strings.Join(regions, "\n")
	t := c.transports[key]
	if t == nil {
		if len(c.transports) >= maxTransports || c.transports == nil {
			c.dropKept()
			c.transports = make(map[string]*transports)
		}
		t = &transports{}
		c.transports[key] = t
	}
	if mayReuse {
		if t.kept == nil {
			t.kept = c.newTransport(true, regions)
		}
		return t.kept
	}
	if t.single == nil {
		t.single = c.newTransport(false, regions)
	}
	return t.single
}

// idleLimit returns how long a connection is kept idle. The caller holds transportMu.
func (c *connections) idleLimit() time.Duration {
	if c.shorterIdle == 0 {
		return idleTimeout
	}
	return c.shorterIdle
}

// recordIdleTime records for how long the server keeps an idle connection. Connections
// that were opened with a longer limit are not used again.
func (c *connections) recordIdleTime(announced time.Duration) {
	limit := max(announced-idleMargin, minIdleTimeout)
	c.transportMu.Lock()
	defer c.transportMu.Unlock()
	if limit >= c.idleLimit() {
		return
	}
	c.shorterIdle = limit
	c.dropKept()
}

// renew makes the next requests use new connections. Those in use are closed after their requests.
func (c *connections) renew() {
	c.transportMu.Lock()
	defer c.transportMu.Unlock()
	c.dropKept()
}

// dropKept closes the idle connections and never uses the others again. The caller holds transportMu.
func (c *connections) dropKept() {
	for _, t := range c.transports {
		if t.kept != nil {
			t.kept.CloseIdleConnections()
			t.kept = nil
		}
	}
}

// remove closes the kept connections to a server that no longer exists.
func (c *connections) remove() {
	c.reuseMu.Lock()
	c.removed = true
	c.reuseMu.Unlock()
	c.renew()
}

func (c *connections) newTransport(reuse bool, regions []string) *http.Transport {
	t := httpsend.NewTransport(httpsend.Options{
		MaxHeaderBytes:      maxHeaderBytes,
		MaxIdleConnsPerHost: idlePerServer,
		IdleTimeout:         c.idleLimit(),
		NoConnReuse:         !reuse,
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return c.dial(ctx, network, addr, regions...)
		},
		OnUnasked: c.recordUnasked,
	})
	t.ReadBufferSize = connectionBuffer
	t.WriteBufferSize = connectionBuffer
	return t
}

// mayReuse reports whether connections may be reused, and whether that is so again.
func (c *connections) mayReuse(now time.Time) (may, changed bool) {
	c.record(func(s *connreuse.State) (change *connreuse.Change) {
		may, change = s.MayReuse(now)
		changed = change != nil
		return change
	})
	return may, changed
}

// noReuseFor returns how long connections must not be reused yet.
func (c *connections) noReuseFor(now time.Time) time.Duration {
	c.reuseMu.Lock()
	defer c.reuseMu.Unlock()
	return c.reuse.Remaining(now)
}

func (c *connections) recordUnasked() {
	now := time.Now()
	c.record(func(s *connreuse.State) *connreuse.Change { return s.RecordUnasked(now) })
}

// recordAnswer records that an exchange that began at begun got its own answer, or that of
// another request.
func (c *connections) recordAnswer(begun time.Time, exchange *httpsend.Exchange, own bool) {
	c.record(func(s *connreuse.State) *connreuse.Change {
		switch {
		case own:
			s.RecordAnswered(begun, exchange.Reused)
		case exchange.Reused:
			return s.RecordSpoiled(time.Now(), begun, connreuse.OtherAnswer)
		}
		return nil
	})
}

// recordNoAnswer records that an exchange failed for a reason that is not the caller's or
// the router's.
func (c *connections) recordNoAnswer(begun time.Time, exchange *httpsend.Exchange) {
	fault := exchange.Fault()
	c.record(func(s *connreuse.State) *connreuse.Change {
		switch {
		case fault == httpsend.ConnectionClosed:
			return s.RecordUnanswered(time.Now(), begun, exchange.Reused)
		case fault == httpsend.NoAnswer && exchange.Reused:
			return s.RecordSpoiled(time.Now(), begun, connreuse.UnaskedBytes)
		}
		return nil
	})
}

func (c *connections) record(f func(*connreuse.State) *connreuse.Change) {
	c.reuseMu.Lock()
	change := f(&c.reuse)
	report := change != nil && !c.removed
	c.reuseMu.Unlock()
	if report {
		c.onReuse(change)
	}
}

// logReuse logs a change of the decision.
func logReuse(events *event.Logger, s *registry.Server, change *connreuse.Change) {
	e := event.ReuseStopped
	if change.Allowed {
		e = event.ReuseResumed
	}
	events.Emit(e, "server", s.ID, "pool", s.Pool, "cause", change.Cause, "period_ms", change.Period.Milliseconds())
}
