// Package overload decides, while a pool of servers has more work than slots,
// which requests still go to it and when the refused ones should come back. It
// does no I/O and takes the time as an argument. A Guard is not safe for
// concurrent use.
//
// The load that it answers: requests arrive faster than the servers end them,
// in a burst, or because servers are gone. Servers then queue until they are
// full, so that everything is late, and refuse what comes last, whoever sent
// it. A Guard keeps the queue so short that what is admitted is in time, asks
// less urgent requests, workspaces above their usual share and callers that were
// refused before to wait elsewhere first, and refuses at once what would be late.
package overload

import (
	"time"
)

const (
	// admitShare is the part of the objective up to which the most urgent requests
	// are admitted. The rest is for the age of the believed load.
	admitShare = 0.8
	// priorityFactor shortens the accepted wait for each rank of priority below the
	// most urgent one that the pool gets.
	priorityFactor = 0.75
	// surgingFactor shortens the accepted wait of a workspace that is surging.
	surgingFactor = 0.6
	// retryingFactor shortens the accepted wait of a caller that comes back after a
	// refusal. It can hardly be served in time any more, and would make those late
	// who can.
	retryingFactor = 0.75
	// minWaitShare is the part of its objective that any request may wait for a slot,
	// however long its first byte takes then: no kind of request and no workspace
	// is kept out for good.
	minWaitShare = 0.2

	// minRetryAfter bounds the wait of a refused caller from below: a caller that
	// returns sooner finds the same load.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryShare is the part of its time left that a refused caller is asked to
	// wait at most, so that it can try again: up to half of the wait is added to
	// spread callers, who heed a wait of up to a third of their time.
	maxRetryShare = 0.2
)

// Load is what a pool has to do.
type Load struct {
	// Own is the number of this router's requests at the usable servers.
	Own int
	// Others is the number of the other routers' requests as last heard, OwnThen
	// that of this router's at that time.
	Others      float64
	OwnAtReport int
	// Slots is the number of requests that these servers work on at once; 0 when
	// that is not known.
	Slots int
}

// trendSmoothing keeps a router with few requests from taking the coming and going of
// single ones for a trend.
const trendSmoothing = 4

// minOwnRequests is the number of own requests below which a router does not judge a
// full pool: its trend says too little about the others. In a large fleet before
// few servers the servers' own queues decide.
const minOwnRequests = 3

// InFlight is the number of requests believed at the servers now. The others'
// are taken to have changed as this router's have since they were heard of: a
// full pool works off its queue within the age of the others' reports, and
// routers that all wait for the next report would let it run empty.
func (l Load) InFlight() float64 {
	trend := float64(l.Own+trendSmoothing) / float64(l.OwnAtReport+trendSmoothing)
	return float64(l.Own) + l.Others*trend
}

// perSlot is the load for each slot, at least 1: what has a slot does not wait.
func (l Load) perSlot() float64 {
	if !l.full() {
		return 1
	}
	return l.InFlight() / float64(l.Slots)
}

// full reports whether a further request has to wait. Servers that don't tell
// their slots are never full here; they refuse on their own.
func (l Load) full() bool { return l.Slots > 0 && l.InFlight() >= float64(l.Slots) }

// Request is a request that a caller sends.
type Request struct {
	Workspace string
	Route     string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Objective is the time in which the first byte should be there; 0 means none.
	Objective time.Duration
	// CallerTimeout is how long the caller says that it waits; 0 means that it does not
	// say.
	CallerTimeout time.Duration
	// Remaining is how long the request may still take.
	Remaining time.Duration
}

// Decision tells what becomes of a request and why.
type Decision struct {
	Admitted bool
	// Expected is the time to the first byte, as expected from the load.
	Expected time.Duration
	// Bound is the longest expected time at which the request is admitted; 0
	// while the pool has free slots.
	Bound time.Duration
	// Surging is set when the workspace sends well above its usual share.
	Surging bool
	// Returning is set when the caller has spent a part of its time before.
	Returning bool
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Controller is the belief of one router about one pool under load.
type Controller struct {
	responseTimes    responseTimes
	shares           shares
	recentPriorities recentPriorities
	callerTimeouts   callerTimeouts
}

// New returns a guard that has seen no request.
func New() *Controller { return &Controller{shares: newShares(), callerTimeouts: make(callerTimeouts)} }

// Decide admits or refuses a request at the load that is believed.
func (c *Controller) Decide(now time.Time, load Load, req Request) Decision {
	surging := c.shares.recordRequest(now, req.Workspace, load.full())
	moreUrgent := c.recentPriorities.moreUrgent(now, req.Priority)
	c.responseTimes.recordLoad(load)
	d := Decision{Expected: c.responseTimes.expected(load), Surging: surging, Returning: c.callerTimeouts.retrying(req.Route, req.CallerTimeout)}
	if !load.full() || load.Own < minOwnRequests || req.Objective <= 0 || !c.responseTimes.hasSamples() {
		d.Admitted = true
		return d
	}
	d.Bound = c.bound(req.Objective, moreUrgent, d)
	d.Admitted = d.Expected <= d.Bound
	if !d.Admitted {
		d.RetryAfter = retryAfter(d, req.Remaining)
	}
	return d
}

// bound is the longest expected time at which a request is admitted: a part of
// its objective, by urgency and by what the decision knows of its workspace and
// caller, or a short wait where that part is shorter than the servers need.
func (c *Controller) bound(objective time.Duration, moreUrgent int, d Decision) time.Duration {
	share := admitShare
	for range moreUrgent {
		share *= priorityFactor
	}
	if d.Surging {
		share *= surgingFactor
	}
	if d.Returning {
		share *= retryingFactor
	}
	atLeast := c.responseTimes.firstByteAlone() + time.Duration(minWaitShare*float64(objective))
	return max(time.Duration(share*float64(objective)), atLeast)
}

// retryAfter is when the queue will have shrunk enough to admit the request, if
// nothing else is admitted meanwhile. Requests with a longer bound reach theirs
// sooner and return first.
func retryAfter(d Decision, remaining time.Duration) time.Duration {
	wait := max(d.Expected-d.Bound, minRetryAfter)
	if longest := time.Duration(maxRetryShare * float64(remaining)); remaining > 0 {
		wait = min(wait, longest)
	}
	return wait
}

// Expected is the time to the first byte of a request that comes at a load.
func (c *Controller) Expected(load Load) time.Duration { return c.responseTimes.expected(load) }

// RecordAnswer learns how long an admitted request took: the time to its first byte
// and to its last.
func (c *Controller) RecordAnswer(firstByte, total time.Duration) {
	c.responseTimes.recordAnswer(firstByte, total)
}
