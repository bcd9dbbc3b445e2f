package overload

import (
	"math"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/decay"
)

const (
	// delayTarget is the mean time at the servers, as a share of the objective, above which fewer requests are sent. With 70 routers
	// and one server of 6 slots, 0.47 leaves slots empty.
	delayTarget = 0.6
	// delayInterval is the interval in which routers report their times, and delayGain the part of the relative difference
	// between target and mean by which the share changes in it. The times are up to three intervals old; with 0.25 the share
	// swings and slots are empty in between.
	delayInterval = 250 * time.Millisecond
	delayGain     = 0.1
	// minStep is the shortest time between two changes of the share. Several readers of the store send totals.
	minStep = 100 * time.Millisecond
	// minShare keeps some requests going, whose times show when the servers take more.
	minShare = 0.05
	// timesMaxAge is how long times count, those of all routers and a router's own.
	timesMaxAge = 1500 * time.Millisecond
	// refusedTime is the time that counts for a request which a server refuses, as a multiple of the target.
	refusedTime = 2
	// maxObjectives bounds the time of one response, in objectives, so that a single one does not lower the share for seconds.
	maxObjectives = 4
	// fullUse is the number of requests at the servers per slot up to which the share rises whatever the times are: the
	// servers have no queue that fewer requests would shorten.
	fullUse = 1.5
	// maxShareRatio bounds a router's share, as a multiple of the part that all routers together have sent. All follow the same
	// totals, so without it a router that was restarted or frozen would stay ahead of the others until the pool has recovered.
	// The part is up to three intervals old and comes from few requests: with 1.3 the share hardly grows. minDecided is the
	// number of decisions below which the part is not used.
	maxShareRatio = 2
	minDecided    = 20
	// littleLeft is the share of the objective that must be left of it; with less, a request is sent after others.
	littleLeft = 0.5
	// floorPeriod is the time in which all routers together admit at least one request of each workspace, route and size class.
	floorPeriod = time.Second
	// floorShare is the largest share of the admitted requests that may be admitted because of floorPeriod.
	floorShare = 0.25
	// maxFloors bounds the combinations of workspace, route and size class that are tracked.
	maxFloors = 4096
	// debtWeight is by how much the share is lowered for each request that was admitted above it, or raised for each below, and
	// maxDebt bounds the number of these requests.
	debtWeight = 0.1
	maxDebt    = 3
)

// Times sums up how long requests of a pool were at its servers, over one delayInterval.
type Times struct {
	// Served counts the served requests that have an objective, and Objectives is the sum of their times, each as a multiple of
	// its objective.
	Served     int
	Objectives float64
	// Refused counts the requests that a server has refused.
	Refused int
	// InUse is the average number of served requests at the servers.
	InUse float64
	// Decided counts the requests about which Admit has decided, and Sent those that it has admitted.
	Decided, Sent int
}

// Add adds the times of another router.
func (t *Times) Add(o Times) {
	t.Served += o.Served
	t.Objectives += o.Objectives
	t.Refused += o.Refused
	t.InUse += o.InUse
	t.Decided += o.Decided
	t.Sent += o.Sent
}

// Empty reports whether no request with an objective was served and none was refused.
func (t *Times) Empty() bool { return t.Served+t.Refused == 0 }

// mean returns the mean time as a multiple of the objective. A refused request counts as above the target.
func (t *Times) mean() float64 {
	return (t.Objectives + refusedTime*delayTarget*float64(t.Refused)) / float64(t.Served+t.Refused)
}

// excess returns the mean as a multiple of the target. Requests for which there are slots don't wait at the servers: when they
// take long, it is because of the work itself, and fewer requests would not make them faster.
func (t *Times) excess(slots int) float64 {
	e := t.mean() / delayTarget
	if t.Refused == 0 {
		e = min(e, t.InUse/(fullUse*float64(slots)))
	}
	return e
}

// maxShare returns the largest share of one router; 1 with fewer decisions than minDecided.
func (t *Times) maxShare() float64 {
	if t.Decided < minDecided {
		return 1
	}
	return min(maxShareRatio*float64(t.Sent)/float64(t.Decided), 1)
}

// scaled returns the times of all routers, estimated from those of one. Only InUse is compared with the slots of the pool; the
// other numbers are used as ratios.
func (t *Times) scaled(routers int) Times {
	all := *t
	all.InUse *= float64(max(routers, 1))
	return all
}

// ShareRequest is a request about which a DelayShare decides.
type ShareRequest struct {
	Workspace string
	Route     string
	// Size is that of the body in bytes.
	Size int
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	// Objective is the target time to the first byte; a request without one is always admitted. Spent is what has
	// passed of it since the request arrived, and Remaining the time until the deadline.
	Objective, Spent, Remaining time.Duration
	// Surging is set when the workspace sends well above its usual share.
	Surging bool
	// Retrying is set when the caller was refused before.
	Retrying bool
}

// ShareDecision states whether a request is sent.
type ShareDecision struct {
	Admitted bool
	// Floor is set for one that is admitted because no other one of its workspace, route and size class was for the floor period
	// of a router.
	Floor bool
	// RetryAfter is how long a refused caller should wait before a retry.
	RetryAfter time.Duration
}

// ShareStatus describes a DelayShare for operators. Mean and Target are shares of the objective; Mean is 0 when it is not known.
type ShareStatus struct {
	Share, Mean, Target float64
	// OwnOnly is set while the share follows this router's times, since those of all are not known.
	OwnOnly bool
}

// floorKey identifies the requests that have a floor of their own. size is the sizeClass of the body.
type floorKey struct {
	workspace, route string
	size             int
}

// DelayShare decides which part of its requests a router sends to a pool of plain servers, by the mean time at the servers as all
// routers see it. All of them follow the same totals, so that a queue at the servers stays short although no router has enough
// requests there to see it grow. It is not safe for concurrent use.
type DelayShare struct {
	share   float64
	slots   int
	routers int
	// totalsAt is when totals of all routers last arrived, timesAt when the share last had any times to follow, and steppedAt when
	// it last changed; zero for none.
	totalsAt, timesAt, steppedAt time.Time
	// own are this router's times of the last interval, and collected those of the one that began at ownFrom. ownTook is
	// the sum of the latter, also of requests without an objective.
	own, collected Times
	ownTook        time.Duration
	ownFrom        time.Time
	// mean is the last one that the share followed, and ownOnly is set when it was this router's.
	mean    float64
	ownOnly bool

	ranks rankCounts
	// admitted counts the recent admitted requests, and byFloor those of them that were admitted because of a floor.
	admitted decay.Count
	byFloor  decay.Count
	// debt is the number of requests admitted above the share; below 0 for those under it.
	debt float64
	// floors has the time of the last admitted request of each key.
	floors  map[floorKey]time.Time
	returns returns
}

// NewDelayShare returns a DelayShare that sends all requests.
func NewDelayShare() *DelayShare {
	return &DelayShare{share: 1, floors: make(map[floorKey]time.Time)}
}

// SetFleet sets the number of slots of the pool's usable servers and of routers. With 0 slots all requests are sent.
func (d *DelayShare) SetFleet(slots, routers int) { d.slots, d.routers = slots, routers }

// RecordServed records how long a request was at the server that served it. An objective of 0 means none.
func (d *DelayShare) RecordServed(took, objective time.Duration) {
	took = max(took, 0)
	d.ownTook += took
	if objective <= 0 {
		return
	}
	d.collected.Served++
	d.collected.Objectives += min(took.Seconds()/objective.Seconds(), maxObjectives)
}

// RecordRefused records that a server has refused a request.
func (d *DelayShare) RecordRefused() { d.collected.Refused++ }

// Take returns this router's times since the last call, for the other routers. Call it once in each interval.
func (d *DelayShare) Take(now time.Time) Times {
	if passed := now.Sub(d.ownFrom); !d.ownFrom.IsZero() && passed > 0 {
		d.collected.InUse = d.ownTook.Seconds() / passed.Seconds()
	}
	d.own = d.collected
	d.collected, d.ownTook, d.ownFrom = Times{}, 0, now
	if outdated(now, d.totalsAt) && !d.own.Empty() {
		d.step(now, d.own.scaled(d.routers), true)
	}
	return d.own
}

// SetTotals sets the times of all routers together, this one included.
func (d *DelayShare) SetTotals(now time.Time, totals Times) {
	if totals.Empty() {
		return
	}
	d.totalsAt = now
	d.step(now, totals, false)
}

// outdated reports whether times of a moment no longer count. It uses the wall clock: the monotonic one does not count the time in
// which a VM is frozen.
func outdated(now, at time.Time) bool {
	age := now.Round(0).Sub(at.Round(0))
	return at.IsZero() || age < 0 || age >= timesMaxAge
}

// expire sends all requests when the times that the share follows are old.
func (d *DelayShare) expire(now time.Time) {
	if outdated(now, d.timesAt) {
		d.share, d.mean, d.ownOnly, d.steppedAt = 1, 0, false, time.Time{}
	}
}

// step changes the share by the mean of t. own is set when t comes from this router alone.
func (d *DelayShare) step(now time.Time, t Times, own bool) {
	d.expire(now)
	d.timesAt, d.mean, d.ownOnly = now, t.mean(), own
	if d.slots <= 0 {
		d.share = 1
		return
	}
	passed := delayInterval
	if !d.steppedAt.IsZero() {
		passed = min(now.Sub(d.steppedAt), 2*delayInterval)
	}
	if passed < minStep {
		return
	}
	d.steppedAt = now
	change := delayGain * max(1-t.excess(d.slots), -1) * passed.Seconds() / delayInterval.Seconds()
	d.share = max(min(d.share*(1+change), t.maxShare()), minShare)
}

// Admit decides whether a request is sent.
func (d *DelayShare) Admit(now time.Time, req *ShareRequest) ShareDecision {
	d.expire(now)
	if req.Objective <= 0 || d.slots <= 0 {
		return ShareDecision{Admitted: true}
	}
	key := floorKey{req.Workspace, req.Route, sizeClass(req.Size)}
	d.collected.Decided++
	selected := d.ranks.selects(now, rankOf(req), d.share-debtWeight*d.debt)
	if d.share >= 1 {
		d.debt = 0
		return d.admit(now, key, false)
	}
	d.debt -= d.share
	switch {
	case selected:
		return d.admit(now, key, false)
	case d.belowFloor(now, key):
		return d.admit(now, key, true)
	}
	d.debt = max(d.debt, -maxDebt)
	longest := longestWait(req.Remaining)
	shortest := minRetryAfter
	if longest > 0 {
		shortest = min(shortest, longest)
	}
	return ShareDecision{RetryAfter: d.returns.wait(now, shortest, longest, d.returnGap(now))}
}

// admit counts an admitted request.
func (d *DelayShare) admit(now time.Time, key floorKey, floor bool) ShareDecision {
	d.collected.Sent++
	d.admitted.Add(now, recentHalfLife, 1)
	if floor {
		d.byFloor.Add(now, recentHalfLife, 1)
	}
	if d.share < 1 {
		d.debt = min(d.debt+1, maxDebt)
	}
	if _, found := d.floors[key]; !found && len(d.floors) >= maxFloors {
		d.evictFloors(now)
	}
	d.floors[key] = now
	return ShareDecision{Admitted: true, Floor: floor}
}

// belowFloor reports whether no request of key was admitted for the floor period of a router, and fewer requests than floorShare
// allows were admitted for that reason.
func (d *DelayShare) belowFloor(now time.Time, key floorKey) bool {
	if last, found := d.floors[key]; found && now.Sub(last) < d.routerFloorPeriod() {
		return false
	}
	return d.byFloor.At(now, recentHalfLife) <= floorShare*d.admitted.At(now, recentHalfLife)
}

// routerFloorPeriod is the floor period of one router: floorPeriod is that of all together.
func (d *DelayShare) routerFloorPeriod() time.Duration {
	return floorPeriod * time.Duration(max(d.routers, 1))
}

// evictFloors removes the keys of which no request was admitted for the floor period: their next request is due anyway.
func (d *DelayShare) evictFloors(now time.Time) {
	for key, at := range d.floors {
		if now.Sub(at) >= d.routerFloorPeriod() {
			delete(d.floors, key)
		}
	}
	if len(d.floors) >= maxFloors {
		clear(d.floors)
	}
}

// returnGap returns the time between two returns of refused callers: they come back at returnShare of the rate that is admitted.
func (d *DelayShare) returnGap(now time.Time) time.Duration {
	perSecond := d.admitted.At(now, recentHalfLife) * math.Ln2 / recentHalfLife.Seconds()
	return time.Duration(min(1/max(returnShare*perSecond, 1e-3), maxReturnGap.Seconds()) * float64(time.Second))
}

// Status returns the share and what it follows.
func (d *DelayShare) Status(now time.Time) ShareStatus {
	d.expire(now)
	return ShareStatus{Share: d.share, Mean: d.mean, Target: delayTarget, OwnOnly: d.ownOnly}
}
