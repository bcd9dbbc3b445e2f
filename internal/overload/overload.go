// Package overload is the admission control of a pool of servers that has more
// work than slots: it decides which requests are admitted and when refused
// callers should retry. It does no I/O and takes the time as an argument. A
// Controller is not safe for concurrent use.
//
// A pool is overloaded when requests arrive faster than the servers complete
// them, in a burst or because servers have failed. Without admission control the
// servers queue requests until their queues are full, so that all answers are
// late, and then refuse the latest requests, whoever sent them. A Controller
// keeps the queue short enough for admitted requests to meet their latency
// objective and refuses at once those that would miss it. Less urgent requests,
// workspaces above their usual share and callers with little of their objective left
// are refused first.
package overload

import (
	"time"
)

const (
	// admitShare is the share of the objective up to which the most urgent
	// requests are admitted. The rest allows for the age of the load estimate.
	admitShare = 0.8
	// priorityFactor shortens the accepted wait once for each more urgent
	// priority that the pool currently receives.
	priorityFactor = 0.75
	// surgingFactor shortens the accepted wait of a workspace that is surging.
	surgingFactor = 0.6
	// minWaitShare is the share of its objective that any request may wait for a
	// slot, however long its first byte takes after that. No kind of request and
	// no workspace is therefore refused permanently.
	minWaitShare = 0.2

	// minRetryAfter is the shortest wait before a retry: a caller that retries
	// sooner meets the same load.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryShare is the largest share of its remaining time that a refused
	// caller is asked to wait, so that it can retry. Up to half of the wait is
	// added as jitter, and callers accept a wait of up to a third of their time.
	maxRetryShare = 0.2
)

// Load is the current load of a pool.
type Load struct {
	// Own is the number of this router's requests at the usable servers.
	Own int
	// Others is the number of the other routers' requests in their last report,
	// OwnAtReport the number of this router's requests at that time.
	Others      float64
	OwnAtReport int
	// Slots is the number of requests that these servers process concurrently; 0
	// means unknown.
	Slots int
}

// trendSmoothing keeps a router with few requests from treating the start or end
// of a single one as a trend.
const trendSmoothing = 4

// minOwnRequests is the number of own requests below which a router admits
// everything to a full pool: its trend is no estimate of the other routers'. In a
// large fleet with few servers, the servers' own queues limit the load.
const minOwnRequests = 3

// InFlight returns the estimated number of requests at the servers now. It
// assumes that the other routers' requests have changed in proportion to this
// router's since their last report. A full pool can complete its queue before the
// next report; if all routers waited for that report, it would run empty.
func (l Load) InFlight() float64 {
	trend := float64(l.Own+trendSmoothing) / float64(l.OwnAtReport+trendSmoothing)
	return float64(l.Own) + l.Others*trend
}

// perSlot returns the load per slot, at least 1 because a request in a slot does
// not wait.
func (l Load) perSlot() float64 {
	if !l.full() {
		return 1
	}
	return l.InFlight() / float64(l.Slots)
}

// full reports whether a further request has to wait. Servers that don't report
// their slots never count as full; they refuse requests themselves.
func (l Load) full() bool { return l.Slots > 0 && l.InFlight() >= float64(l.Slots) }

// Request describes a request for which admission is decided.
type Request struct {
	Workspace string
	Route     string
	// Size is that of the body in bytes.
	Size int
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Objective is the target time to the first byte; 0 means none.
	Objective time.Duration
	// CallerTimeout is the timeout that the caller states; 0 means none.
	CallerTimeout time.Duration
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Spent is the time since the request arrived.
	Spent time.Duration
}

// Decision states whether a request is admitted and why.
type Decision struct {
	Admitted bool
	// Expected is the time to the first byte that is estimated from the load.
	Expected time.Duration
	// Bound is the longest expected time at which the request is admitted; 0 when
	// it was admitted without a check.
	Bound time.Duration
	// Surging is set when the workspace sends well above its usual share.
	Surging bool
	// Retrying is set when the caller has spent part of its timeout on an earlier
	// attempt.
	Retrying bool
	// RetryAfter is how long a refused caller should wait before a retry.
	RetryAfter time.Duration
	// Share is whether the request is among the share that is sent, where a DelayShare decides about it as well.
	Share ShareDecision
}

// Controller is the admission control of one router for one pool.
type Controller struct {
	responseTimes    responseTimes
	shares           shares
	recentPriorities recentPriorities
	callerTimeouts   callerTimeouts
	waitingClasses   waitingClasses
	returns          returns
	routeTimes       routeTimes
}

// New returns a controller without any measurements.
func New() *Controller {
	return &Controller{shares: newShares(), callerTimeouts: make(callerTimeouts), routeTimes: make(routeTimes), waitingClasses: newWaitingClasses()}
}

// Decide admits or refuses a request at the estimated load.
func (c *Controller) Decide(now time.Time, load Load, req Request) Decision {
	surging := c.shares.recordRequest(now, req.Workspace, load.full())
	moreUrgent := c.recentPriorities.moreUrgent(now, req.Priority)
	c.responseTimes.recordLoad(load)
	spent := c.callerTimeouts.spent(req.Route, req.CallerTimeout)
	own := c.routeTimes.firstByte(req.Route, c.responseTimes.firstByteWithoutWait())
	d := Decision{Expected: c.responseTimes.wait(load) + own, Surging: surging, Retrying: spent > 0, Admitted: true}
	if load.full() && load.Own >= minOwnRequests && req.Objective > 0 && c.responseTimes.hasSamples() {
		req.Spent += spent
		d.Bound = own + c.allowedWait(now, &req, own, moreUrgent, surging)
		d.Admitted = d.Expected <= d.Bound
	}
	if d.Admitted {
		c.waitingClasses.admit(now, req.Route)
		return d
	}
	d.RetryAfter = c.returns.wait(now, retryAfter(d, req.Remaining), longestWait(req.Remaining), c.responseTimes.returnGap(load))
	return d
}

// allowedWait returns the longest wait for a slot that a request accepts: what its first byte and the time that it has
// spent leave of a share of the objective, which depends on its priority and workspace, but at least a short wait.
func (c *Controller) allowedWait(now time.Time, req *Request, own time.Duration, moreUrgent int, surging bool) time.Duration {
	share := admitShare
	for range moreUrgent {
		share *= priorityFactor
	}
	atLeast := time.Duration(minWaitShare * float64(req.Objective))
	c.waitingClasses.record(now, req.Priority, max(time.Duration(share*float64(req.Objective))-own, atLeast))
	if surging {
		share *= surgingFactor
	}
	allowed := time.Duration(share*float64(req.Objective)) - own - req.Spent
	return c.waitingClasses.limit(now, req, max(allowed, atLeast))
}

// retryAfter returns the time until the queue is short enough to admit the
// request, if nothing else is admitted meanwhile. Requests with a longer bound
// retry sooner.
func retryAfter(d Decision, remaining time.Duration) time.Duration {
	wait := max(d.Expected-d.Bound, minRetryAfter)
	if longest := longestWait(remaining); longest > 0 {
		wait = min(wait, longest)
	}
	return wait
}

// longestWait returns the longest wait that a refused caller is asked for, 0 when its remaining time is unknown.
func longestWait(remaining time.Duration) time.Duration {
	return time.Duration(maxRetryShare * float64(max(remaining, 0)))
}

// Expected estimates the time to the first byte of a request that arrives at a
// load.
func (c *Controller) Expected(load Load) time.Duration {
	return c.responseTimes.wait(load) + c.responseTimes.firstByteWithoutWait()
}

// RecordAnswer records the time to the first and to the last byte of an admitted
// request of an unknown route.
func (c *Controller) RecordAnswer(firstByte, total time.Duration) {
	c.responseTimes.recordAnswer(firstByte, total)
}

// RecordRouteAnswer records the same for a request of a route.
func (c *Controller) RecordRouteAnswer(route string, firstByte, total time.Duration) {
	c.routeTimes.record(route, c.responseTimes.recordAnswer(firstByte, total))
}
