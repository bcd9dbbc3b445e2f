package forward

import (
	"context"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

const (
	// maxVersionWait bounds the time for which a stream that is taken up waits for what the engines have cached, after a
	// restart of all routers. A starting router counts its placements as known after the same time.
	maxVersionWait = time.Second
	// maxVersionShare is the share of the time left to the caller in which a version must be found. The rest is for the
	// stream, or for a refusal that arrives before the deadline although timers are late.
	maxVersionShare = 2.0 / 3
)

// findVersion finds the version that began the stream which the caller takes up, or refuses the
// request when servers of several versions could continue it and nobody knows.
func (c *call) findVersion() bool {
	if !c.headers.takesUp() || !c.mayBeTakenUp() {
		return true
	}
	starting := c.handler.state.awaitsInventory()
	limit := time.Duration(maxVersionShare * float64(time.Until(c.deadline)))
	ctx, cancel := context.WithTimeout(c.r.Context(), limit)
	defer cancel()
	found := c.askForVersion(ctx)
	if !found && starting {
		// No router knows what those that were killed have sent. One of them asks the engines, and tells the others which
		// version has the prompt.
		c.awaitInventory(ctx)
		if c.r.Context().Err() != nil {
			c.recordCallerLeft()
			return false
		}
		found = c.askForVersion(ctx)
	}
	if !found {
		c.refuse(CauseVersionUnknown)
	}
	return found
}

// askForVersion looks the stream up and asks the other routers. It reports whether the request may be sent: the version is
// known, or no other one can have begun the stream. The end of ctx bounds the wait for answers.
func (c *call) askForVersion(ctx context.Context) bool {
	streams := c.handler.state.streams
	version, known := streams.find(time.Now(), c.streamID())
	only, several := c.pool.onlyVersion(time.Now())
	if !known && (several || streams.mayBeOutdated()) {
		q := streams.begin(c.streamID(), c.promptStream())
		defer streams.end(q)
		version, known = streams.ask(ctx, q, c.arrivedAt, several)
		if !known && streams.settled(time.Now()) {
			version, known = c.confirmOneVersion(ctx, q)
		}
		if !known {
			return false
		}
	}
	if !known {
		// Servers of another version may come while the request waits or is sent again.
		version = only
	}
	c.version = version
	return true
}

// awaitInventory waits until the engines have told what they have cached, for a limited time. It leaves time before the end of
// ctx to ask for the version once more.
func (c *call) awaitInventory(ctx context.Context) {
	until := time.Now().Add(maxVersionWait)
	if end, ok := ctx.Deadline(); ok && end.Add(-maxAsked*askInterval).Before(until) {
		until = end.Add(-maxAsked * askInterval)
	}
	for c.handler.state.awaitsInventory() {
		left := time.Until(until)
		if left <= 0 || !c.hold(ctx, min(left, holdCheck)) {
			return
		}
	}
}

const (
	// confirmTime is how long a router waits until the store has answered a reader later than the request came. A reader that
	// was killed is replaced after 1.2 s.
	confirmTime = 1600 * time.Millisecond
	// confirmCheck is the time between two checks, and confirmAsk that between two questions to the others.
	confirmCheck = 25 * time.Millisecond
	confirmAsk   = 100 * time.Millisecond
)

// confirmOneVersion returns the version of a stream that no router knows: the only one, once the store or the other routers show
// that there was no other one when the request came. Servers of another version may have gone a moment ago, and there may be some
// of which this router has not heard because it was cut off or stood still; it may not have noticed, since a call to the store that
// hangs looks like one that waits. The request waits while this router reads the store, or another one has agreed.
func (c *call) confirmOneVersion(ctx context.Context, q *question) (version streamversion.Version, found bool) {
	streams := c.handler.state.streams
	// All requests that wait share one question.
	shared := streams.begin(streamversion.AnyStream, 0)
	defer streams.end(shared)
	timer := time.NewTimer(confirmTime)
	defer timer.Stop()
	tick := time.NewTicker(confirmCheck)
	defer tick.Stop()
	for agreed := false; ; {
		own, all := streams.evidenceFor(q, c.arrivedAt), streams.evidenceFor(shared, c.arrivedAt)
		confirmed := own.oneVersion || all.oneVersion || streams.fleet.HasReadSince(c.arrivedAt)
		agreed = agreed || own.agreed || all.agreed
		only, several := c.pool.onlyVersion(time.Now())
		switch {
		case own.known:
			return own.version, true
		case several:
			return 0, false
		case confirmed:
			return only, true
		case !agreed && !streams.fleet.ReadsStore():
			return 0, false
		}
		streams.sendAfter(shared, confirmAsk)
		select {
		case <-tick.C:
		case <-all.answered:
		case <-timer.C:
			return 0, false
		case <-ctx.Done():
			return 0, false
		}
	}
}
