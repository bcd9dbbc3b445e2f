package forward

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/slotgrant"
)

// maxUnusableGrants bounds the grants of a request that this router can't use, because the server became unusable for it
// meanwhile.
const maxUnusableGrants = 2

// grantBuckets ranges from a grant of the router itself to a wait of some objectives.
var grantBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 13)

// grantUse is a request's use of the slots of a scarce pool.
type grantUse struct {
	// asked is set once the request has needed a grant. result is what became of the last question, and wait the time
	// that all decisions took.
	asked  bool
	result string
	wait   time.Duration
	// endpoint is the one that was asked.
	endpoint *grantEndpoint
	// unusable is the number of grants that the request could not use.
	unusable int
	grantAttempt
}

// grantAttempt is what one attempt of the request does with a grant.
type grantAttempt struct {
	// number is that of the grant in use; 0 for none. fallback is set while the request is sent without one.
	number   uint64
	fallback bool
	// sent is set once the request has been sent, ejected when that made the server unusable, and answered when the server has
	// answered with a failure. load is what the server said in its answer.
	sent, ejected, answered bool
	load                    int
}

func (g *grantUse) logFields() []any {
	if !g.asked {
		return nil
	}
	return []any{"grant", g.result, "grant_ms", g.wait.Milliseconds()}
}

// needsGrant reports whether the request needs a grant to be sent. Streams keep their version, which the granting router does
// not know, and go without.
func (c *call) needsGrant(now time.Time) bool {
	return c.route.Kind != routing.Stream && c.pool.grants.isScarce(now)
}

// awaitGrant waits for a grant when the request needs one, and restricts its choice to the granted server. It reports whether the
// request is still to be sent, and ends it otherwise.
func (c *call) awaitGrant(ctx context.Context, job *balance.Job) bool {
	now := time.Now()
	c.grant.grantAttempt = grantAttempt{}
	if !c.needsGrant(now) || !c.pool.hasUsable(now, *job) {
		return true
	}
	exclude := c.pool.withheldServers(now, *job)
	c.grant.asked, c.grant.endpoint = true, c.pool.grants.choose(now, exclude)
	d := c.grant.endpoint.ask(ctx, slotgrant.Question{
		Priority:  c.priority(),
		Objective: c.objectiveLeft(now),
		Deadline:  c.deadline.Sub(now),
		Workspace: uint32(placement.Hash(c.workspace.Name)),
		Exclude:   exclude,
	})
	c.grant.wait += time.Since(now)
	c.grant.result = grantResult(d)
	c.handler.metrics.recordGrantWait(c.pool.name, c.grant.result, time.Since(now))
	switch d.Kind {
	case slotgrant.Granted:
		c.grant.number, job.Granted = d.Number, d.Server
		return true
	case slotgrant.Rejected:
		c.rejectUngranted(d.Wait)
		return false
	case slotgrant.Elsewhere:
		return c.goWithoutGrant()
	}
	c.endWithoutServer(ctx)
	return false
}

// recordAnswerTimes records the times of an answer for the pool's admission. A request that has asked for a slot has not passed it: its
// wait was before the server, and the load that the admission compares with is not recorded.
func (c *call) recordAnswerTimes() {
	if !c.grant.asked {
		c.pool.recordAnswerTimes(c.route.Name, c.firstByte, time.Since(c.arrivedAt))
	}
}

// grantResult names a decision in logs and metrics.
func grantResult(d slotgrant.Decision) string {
	switch d.Kind {
	case slotgrant.Granted:
		return "granted"
	case slotgrant.Rejected:
		return d.Reason.String()
	case slotgrant.Elsewhere:
		return "fallback"
	}
	return "ended"
}

// objectiveLeft returns what is left of the objective, and of the deadline when there is no objective.
func (c *call) objectiveLeft(now time.Time) time.Duration {
	if c.route.Objective <= 0 {
		return c.deadline.Sub(now)
	}
	return max(c.arrivedAt.Add(c.route.Objective).Sub(now), 0)
}

// rejectUngranted ends a request that gets no slot.
func (c *call) rejectUngranted(wait time.Duration) {
	if c.attempts.ran > 0 || c.attempts.failure != nil {
		c.endUnserved(CausePoolFull)
		return
	}
	c.refuseWithWait(CausePoolFull, min(max(wait, minRetryAfter), maxRetryAfter))
}

// goWithoutGrant lets a request go without a grant when no router grants, as long as all routers together don't
// flood the servers. It reports whether the request is to be sent.
func (c *call) goWithoutGrant() bool {
	if !c.grant.endpoint.fallBack(time.Now()) {
		c.grant.result = slotgrant.ReasonFallback.String()
		c.rejectUngranted(retryAfter(CausePoolFull, c.route.Objective))
		return false
	}
	c.grant.fallback = true
	return c.attempts.sent > 0 || c.admitToPool()
}

// grantedInVain reports whether a request that could not be sent to the granted server asks again.
func (c *call) grantedInVain(ctx context.Context) bool {
	if c.grant.number == 0 || c.grant.unusable >= maxUnusableGrants || ctx.Err() != nil {
		return false
	}
	c.grant.unusable++
	return true
}

// endGrant reports the end of the request's grant. It is called on every way out of an attempt.
func (c *call) endGrant() {
	r := slotgrant.Report{Number: c.grant.number, End: slotgrant.Unused, Load: c.grant.load}
	if c.grant.sent {
		r.End, r.Took = c.grantEnd(), c.attempts.endedAt.Sub(c.attempts.sentAt)
	}
	switch {
	case c.grant.number != 0:
		c.grant.number = 0
		c.grant.endpoint.end(r)
	case c.grant.fallback:
		c.grant.endpoint.recordTime(r)
	}
}

// grantEnd returns how the attempt ended for the router that has granted it.
func (c *call) grantEnd() slotgrant.End {
	if c.grant.ejected {
		// It failed too often, or no connection could be opened.
		return slotgrant.Unreachable
	}
	switch c.attempts.lastOutcome {
	case balance.Served:
		return slotgrant.Served
	case balance.Refused:
		return slotgrant.Refused
	case balance.Disputed:
		return slotgrant.Answered
	case balance.Failed:
		if c.grant.answered {
			// It works, and fails some requests. Whether it fails too many is decided by ejections.
			return slotgrant.Answered
		}
		return slotgrant.Failed
	}
	return slotgrant.Abandoned
}

func (p *pool) hasUsable(now time.Time, job balance.Job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.HasUsable(now, job)
}

// withheldServers returns the servers that may not get a request of this router.
func (p *pool) withheldServers(now time.Time, job balance.Job) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.Withheld(now, job)
}
