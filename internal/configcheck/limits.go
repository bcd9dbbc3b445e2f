package configcheck

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

func (c *check) checkLimits() {
	for i := range c.config.Routes {
		c.checkTimes(i)
		c.checkAttempts(i)
		c.checkColdRates(i)
	}
	c.checkCallerLimits()
}

// timeLimit returns how long a request of a route may take at most.
func (c *check) timeLimit(r *routing.Route) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return c.options.Rules.Deadline
}

func (c *check) checkTimes(i int) {
	r := &c.config.Routes[i]
	limit := c.timeLimit(r)
	if r.Objective > limit {
		c.add(Place{Section: Routes, Index: i, Field: Objective}, findings.CodeConflict,
			"objective %v of route %s is above its timeout %v", r.Objective, r.Name, limit)
	}
	if r.GapObjective > limit {
		c.add(Place{Section: Routes, Index: i, Field: GapObjective}, findings.CodeConflict,
			"objective %v between two events of route %s is above its timeout %v", r.GapObjective, r.Name, limit)
	}
}

func (c *check) checkAttempts(i int) {
	r := &c.config.Routes[i]
	at := Place{Section: Routes, Index: i, Field: MaxAttempts}
	switch {
	case r.MaxAttempts < 0:
		c.add(at, findings.CodeRange, "number of attempts of route %s is negative: its requests run at most once", r.Name)
	case r.MaxAttempts <= 1:
	case !r.MayRepeat():
		c.add(at, findings.CodeConflict, "route %s allows %d attempts, but its requests may not be retried: they run at most once", r.Name, r.MaxAttempts)
	default:
		c.checkRetryTime(i)
	}
}

// checkRetryTime finds routes whose requests are over before a silent server is given up.
func (c *check) checkRetryTime(i int) {
	r := &c.config.Routes[i]
	if silence := c.options.Rules.SilenceLimit(r); c.timeLimit(r) <= silence {
		c.add(Place{Section: Routes, Index: i, Field: Timeout}, findings.CodeConflict,
			"timeout %v of route %s leaves no time for a retry: a silent server is given up after %v", c.timeLimit(r), r.Name, silence)
	}
}

// checkColdRates finds pools of a route whose cold servers take less than one request in the time that a request may take, so
// that a single caller of the route, without any other load, is rejected while the servers are cold.
func (c *check) checkColdRates(i int) {
	r := &c.config.Routes[i]
	for j, t := range r.Targets {
		pool, exists := c.pools[t.Pool]
		if !exists || t.Weight <= 0 {
			continue
		}
		rate := c.config.Pools[pool].ColdPerSecond
		if rate <= 0 || rate*c.timeLimit(r).Seconds() >= 1 {
			continue
		}
		c.add(Place{Section: Routes, Index: i, Field: Target, Item: j}, findings.CodeConflict,
			"cold servers of pool %s take %g requests a second, less than one in the time limit %v of route %s (%s)",
			t.Pool, rate, c.timeLimit(r), r.Name, c.in.Path(Place{Section: Pools, Index: pool, Field: ColdRate}))
	}
}

func (c *check) checkCallerLimits() {
	l := c.config.Limits
	if l.BodyBytes < 0 {
		c.add(Place{Section: Limits, Field: BodyBytes}, findings.CodeRange, "body limit is negative: routers use %d bytes", c.options.Rules.BodyBytes)
	}
	body := l.BodyBytes
	if body <= 0 {
		body = c.options.Rules.BodyBytes
	}
	if memory := c.options.BodyMemory; memory > 0 && body > memory {
		c.add(Place{Section: Limits, Field: BodyBytes}, findings.CodeConflict,
			"body limit of %d bytes is above the %d bytes that a router holds: larger bodies are rejected", body, memory)
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Place{Section: Limits, Field: HeaderTimeout}, findings.CodeConflict,
			"headers may take %v, longer than the %v for which a connection may be idle", l.HeaderTimeout, l.IdleTimeout)
	}
}
