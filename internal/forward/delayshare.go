package forward

import (
	"math"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// loweredShare is the share below which a log event says that only a part of the requests is sent. Shares just below 1 are not
// logged, because the mean exceeds the target now and then by chance.
const loweredShare = 0.9

// DelayShareStatus tells which part of its requests this router sends to a plain pool, for operators.
type DelayShareStatus struct {
	Share float64 `json:"share"`
	// Mean is the mean time at the servers as all routers see it, and Target the one above which fewer requests are sent, both as a
	// share of the objective. OwnTimes is set while only this router's times are known.
	Mean     float64 `json:"mean"`
	Target   float64 `json:"target"`
	OwnTimes bool    `json:"own_times,omitempty"`
}

// TakeTimes returns the times of this router's requests at plain pools since the last call.
func (st *State) TakeTimes() []digest.PoolTimes {
	var list []digest.PoolTimes
	now := time.Now()
	st.eachPool(func(p *pool) {
		if p.delays == nil {
			return
		}
		slots := p.balance.PlainSlots(now)
		p.delays.SetFleet(slots, int(st.routers.Load()))
		t := p.delays.Take(now)
		st.observeShare(now, p)
		if slots == 0 {
			return
		}
		list = append(list, digest.PoolTimes{
			Pool: p.shortHash(), Served: t.Served, Objectives: thousandths(t.Objectives), Refused: t.Refused, InUse: thousandths(t.InUse),
			Decided: t.Decided, Sent: t.Sent,
		})
	})
	return list
}

// SetTimes sets the times of the requests of all routers at plain pools.
func (st *State) SetTimes(list []digest.PoolTimes) {
	byPool := make(map[uint32]digest.PoolTimes, len(list))
	for _, t := range list {
		byPool[t.Pool] = t
	}
	now := time.Now()
	st.eachPool(func(p *pool) {
		if p.delays == nil {
			return
		}
		t := byPool[p.shortHash()]
		p.delays.SetTotals(now, overload.Times{
			Served: t.Served, Objectives: float64(t.Objectives) / 1000, Refused: t.Refused, InUse: float64(t.InUse) / 1000,
			Decided: t.Decided, Sent: t.Sent,
		})
		st.observeShare(now, p)
	})
}

func thousandths(v float64) int { return int(math.Round(1000 * v)) }

// shortHash identifies the pool in digests.
func (p *pool) shortHash() uint32 { return digest.ShortHash(placement.Hash(p.name)) }

// observeShare sets the gauges of a pool's share, and logs when it falls below loweredShare and when it is back at 1. The caller
// holds the pool's lock.
func (st *State) observeShare(now time.Time, p *pool) {
	s := p.delays.Status(now)
	st.grantsShared.metrics.recordDelayShare(p.name, s)
	lowered := s.Share < loweredShare || p.shareLowered && s.Share < 1
	if lowered == p.shareLowered {
		return
	}
	p.shareLowered = lowered
	e := event.AllRequestsSent
	if lowered {
		e = event.ShareLowered
	}
	st.grantsShared.events.Emit(e, "pool", p.name, "share", rounded(s.Share), "mean", rounded(s.Mean), "target", s.Target, "own_times", s.OwnOnly)
}

// rounded rounds to three decimal places, for logs and the status.
func rounded(v float64) float64 { return math.Round(1000*v) / 1000 }

// delayShareStatus returns the share of the pool, or nil when the pool has no delay share or no plain slots. The caller holds
// the pool's lock.
func (p *pool) delayShareStatus(now time.Time) *DelayShareStatus {
	if p.delays == nil || p.balance.PlainSlots(now) == 0 {
		return nil
	}
	s := p.delays.Status(now)
	return &DelayShareStatus{Share: rounded(s.Share), Mean: rounded(s.Mean), Target: s.Target, OwnTimes: s.OwnOnly}
}

// shareStatus returns the share of the pool and what it follows.
func (p *pool) shareStatus(now time.Time) overload.ShareStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delays.Status(now)
}

// admitShare decides whether a request that the pool accepts is among those which are sent. The caller holds the pool's lock.
func (p *pool) admitShare(now time.Time, req *overload.Request, d overload.Decision) overload.ShareDecision {
	if p.delays == nil || !d.Admitted {
		return overload.ShareDecision{Admitted: true}
	}
	return p.delays.Admit(now, &overload.ShareRequest{
		Workspace: req.Workspace, Route: req.Route, Size: req.Size, Priority: req.Priority,
		Objective: req.Objective, Spent: req.Spent, Remaining: req.Remaining, Surging: d.Surging, Retrying: d.Retrying,
	})
}

// recordDelay records how long the last attempt was at its server. The time until the answer begins does not depend on how
// fast the caller reads. Streams do not count: they may begin at once and keep their slots for long.
func (c *call) recordDelay(choice balance.Choice, outcome balance.Outcome) {
	if c.route.Kind == routing.Stream || choice.Cold {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	switch {
	case c.pool.delays == nil:
	case outcome == balance.Refused:
		c.pool.delays.RecordRefused()
	case outcome == balance.Served && !c.attempts.answeredAt.IsZero():
		c.pool.delays.RecordServed(c.attempts.answeredAt.Sub(c.attempts.sentAt), c.route.Objective)
	}
}

// shareFields describes the share because of which a request was refused.
func (c *call) shareFields() []any {
	if c.cause != CauseDelayShare {
		return nil
	}
	s := c.shareStatus
	return []any{
		"share", rounded(s.Share), "mean", rounded(s.Mean), "target", s.Target, "surging", c.admission.Surging, "returning", c.admission.Retrying,
		"retry_after_ms", c.admission.Share.RetryAfter.Milliseconds(),
	}
}

// recordDelayShare sets the gauges of the share of a pool.
func (m *Metrics) recordDelayShare(pool string, s overload.ShareStatus) {
	if m == nil {
		return
	}
	scope := m.scope.Tagged(map[string]string{"pool": pool})
	scope.Gauge("delay_share").Update(s.Share)
	scope.Gauge("delay_share_mean").Update(s.Mean)
}

// recordShareDecision counts the requests that are not sent, and those that are sent because of a floor (overload.ShareDecision).
func (m *Metrics) recordShareDecision(pool string, d overload.ShareDecision) {
	switch {
	case !d.Admitted:
		m.scope.Tagged(map[string]string{"pool": pool}).Counter("delay_share_rejected").Inc(1)
	case d.Floor:
		m.scope.Tagged(map[string]string{"pool": pool}).Counter("delay_share_floor").Inc(1)
	}
}
