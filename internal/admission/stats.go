package admission

import (
	"math"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// retryBurst is the capacity of the retry budget. A pool starts with a full
// budget, so that the first failures after a start can be retried.
const retryBurst = 10

// retryBudget is a token bucket that is filled by requests, not by time.
type retryBudget struct {
	// ratio is the number of tokens that a request adds.
	ratio  float64
	tokens float64
}

func (b *retryBudget) deposit() {
	b.tokens = min(b.tokens+b.ratio, retryBurst)
}

func (b *retryBudget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// slotsFreedPerSecond estimates the number of slots freed per second at the
// current load; 0 means unknown. It is derived from the mean service time and
// not from a count of releases, which is low while the pool is idle.
func (p *Pool) slotsFreedPerSecond() float64 {
	if p.meanServiceSeconds <= 0 {
		return 0
	}
	return float64(p.view.Slots) / p.meanServiceSeconds
}

// Limits of the retry-after estimate before jitter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// noEngineRetryAfter is about the time until a replacement engine is detected.
	noEngineRetryAfter = 2 * time.Second
)

// retryAfter estimates when a retry may succeed and adds up to half of it as
// jitter, so that refused callers do not all retry at the same time.
func (p *Pool) retryAfter(code Code) time.Duration {
	wait := minRetryAfter
	switch code {
	case CodeNoEngine:
		wait = noEngineRetryAfter
	case CodeQueueFull, CodeWorkspaceQueueFull, CodeDeadline, CodeRetryBudget:
		if perSecond := p.slotsFreedPerSecond(); perSecond > 0 {
			wait = time.Duration(float64(p.queued) / perSecond * float64(time.Second))
		}
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(p.deps.Rand()*float64(wait)/2)
}

type counters struct {
	submitted, granted, released, failed, parked int64
	promptTokens, cachedTokens                   int64
	reasons                                      [placement.NumReasons]int64
	refused                                      map[Code]int64
}

// EngineStats is the state of one engine.
type EngineStats struct {
	Name   string  `json:"name"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
	// Load includes Adopted and Reserved.
	Load     int `json:"load"`
	Adopted  int `json:"adopted"`
	Reserved int `json:"reserved"`
	// Limit is the highest load that the next admission may reach.
	Limit         int   `json:"limit"`
	Waiting       int   `json:"waiting"`
	CacheInserted int64 `json:"cache_inserted_tokens"`
	CacheCapacity int64 `json:"cache_capacity_tokens"`
}

// Stats is the state of a pool for status output.
type Stats struct {
	Pool    string        `json:"pool"`
	Engines []EngineStats `json:"engines"`
	// Slots is the number of slots in flight on live engines.
	Slots int     `json:"slots"`
	Mean  float64 `json:"mean"`
	// Skew is the highest load relative to the engine's weight, divided by the
	// mean; 0 without load.
	Skew           float64                 `json:"skew"`
	Queued         int                     `json:"queued"`
	QueuedByClass  map[record.Priority]int `json:"queued_by_class"`
	RunningByClass map[record.Priority]int `json:"running_by_class"`
	Refused        map[Code]int64          `json:"refused"`
	Reasons        map[string]int64        `json:"placements"`
	Closed         Code                    `json:"closed,omitempty"`
	Counters       map[string]int64        `json:"counters"`
	IndexedChats   int                     `json:"indexed_chats"`
	RetryTokens    float64                 `json:"retry_tokens"`
}

// Stats returns the state of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{
		Pool:           p.cfg.Pool.Name,
		Slots:          p.view.Slots,
		Queued:         p.queued,
		Closed:         p.closeCode,
		IndexedChats:   p.index.Len(),
		RetryTokens:    p.budget.tokens,
		QueuedByClass:  map[record.Priority]int{},
		RunningByClass: map[record.Priority]int{},
		Refused:        make(map[Code]int64, len(p.counters.refused)),
		Reasons:        map[string]int64{},
	}
	for code, n := range p.counters.refused {
		s.Refused[code] = n
	}
	for r, n := range p.counters.reasons {
		s.Reasons[placement.Reason(r).String()] = n
	}
	for c, priority := range record.Priorities {
		s.QueuedByClass[priority] = p.classes[c].waiting
		s.RunningByClass[priority] = p.classes[c].inFlight
	}
	s.Counters = p.counters.totals()
	p.fillEngineStats(&s)
	return s
}

func (c *counters) totals() map[string]int64 {
	return map[string]int64{
		"submitted":     c.submitted,
		"granted":       c.granted,
		"released":      c.released,
		"engine_failed": c.failed,
		"home_waits":    c.parked,
		"prompt_tokens": c.promptTokens,
		"cached_tokens": c.cachedTokens,
	}
}

func (p *Pool) fillEngineStats(s *Stats) {
	if p.live > 0 {
		s.Mean = float64(p.view.Slots) / float64(p.live)
	}
	for i := range p.engines {
		e, row := &p.engines[i], &p.view.Engines[i]
		if !e.inUse {
			continue
		}
		est := p.index.Estimate(i)
		es := EngineStats{
			Name: row.Name, State: row.State.String(), Weight: row.Weight,
			Load: row.Load, Adopted: e.adopted, Reserved: e.reserved, Waiting: len(e.parked),
			CacheInserted: est.Inserted, CacheCapacity: est.Capacity,
		}
		if row.State.Live() {
			es.Limit = p.view.Limit(i)
			slots := float64(e.own + e.adopted)
			if p.view.Slots > 0 {
				s.Skew = math.Max(s.Skew, slots/row.Weight*p.view.Weight/float64(p.view.Slots))
			}
		}
		s.Engines = append(s.Engines, es)
	}
}
