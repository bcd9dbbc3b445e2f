package overload

import (
	"math"
	"time"
)

const (
	// recentHalfLife and usualHalf are the half-lives of the present and of the
	// usual share of a workspace. A surge shows within seconds; a workspace that
	// has grown for good gets its room within a minute.
	recentHalfLife   = 2 * time.Second
	baselineHalfLife = 30 * time.Second
	// surgeThresholdFactor and surgeExtra are how far above its usual share a workspace
	// must be to count as surging. The extra keeps a few requests of a small
	// workspace from counting.
	surgeThresholdFactor = 2
	surgeThresholdExtra  = 3
	// fullPoolWeight is the weight in the usual share of a request that finds the pool
	// full: the surge that filled it must not become the usual.
	fullPoolWeight = 0.02
	// maxWorkspaces bounds the workspaces that are counted apart.
	maxWorkspaces = 4096
	// minBaseline is the usual count below which a workspace is forgotten.
	minBaseline = 0.05
)

// decayingCount is a count that halves in a fixed time.
type decayingCount struct {
	value float64
	at    time.Time
}

func (d *decayingCount) decayTo(now time.Time, halfLife time.Duration) float64 {
	if !d.at.IsZero() && now.After(d.at) {
		d.value *= math.Exp2(-now.Sub(d.at).Seconds() / halfLife.Seconds())
	}
	d.at = now
	return d.value
}

func (d *decayingCount) add(now time.Time, halfLife time.Duration, weight float64) {
	d.decayTo(now, halfLife)
	d.value += weight
}

// traffic counts requests over the present and the usual span.
type traffic struct {
	recent   decayingCount
	baseline decayingCount
}

func (t *traffic) add(now time.Time, full bool) {
	weight := 1.0
	if full {
		weight = fullPoolWeight
	}
	t.recent.add(now, recentHalfLife, 1)
	t.baseline.add(now, baselineHalfLife, weight)
}

// shares counts the requests of workspaces. It tells a workspace that surges
// from one that is large, and a surge of one from a burst of all.
type shares struct {
	all        traffic
	workspaces map[string]*traffic
}

func newShares() shares { return shares{workspaces: make(map[string]*traffic)} }

// recordRequest counts a request and reports whether its workspace is surging.
func (s *shares) recordRequest(now time.Time, workspace string, full bool) bool {
	w := s.workspace(now, workspace)
	s.all.add(now, full)
	w.add(now, full)
	baselineShare := w.baseline.value / s.all.baseline.value
	return w.recent.value > surgeThresholdFactor*baselineShare*s.all.recent.value+surgeThresholdExtra
}

func (s *shares) workspace(now time.Time, name string) *traffic {
	w := s.workspaces[name]
	if w != nil {
		return w
	}
	if len(s.workspaces) >= maxWorkspaces {
		s.evictIdle(now)
	}
	w = &traffic{}
	s.workspaces[name] = w
	return w
}

// evictIdle drops the workspaces that send nothing any more, or all when that
// leaves no room.
func (s *shares) evictIdle(now time.Time) {
	for name, w := range s.workspaces {
		if w.baseline.decayTo(now, baselineHalfLife) < minBaseline {
			delete(s.workspaces, name)
		}
	}
	if len(s.workspaces) >= maxWorkspaces {
		clear(s.workspaces)
	}
}
