package overload

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/decay"
)

const (
	// recentHalfLife and baselineHalfLife are the half-lives of a workspace's
	// recent and baseline (usual) request counts. A surge shows within seconds;
	// lasting growth becomes part of the baseline within a minute.
	recentHalfLife   = 2 * time.Second
	baselineHalfLife = 30 * time.Second
	// A workspace is surging when its recent count exceeds surgeThresholdFactor
	// times its baseline share plus surgeThresholdExtra. The extra keeps a few
	// requests of a small workspace from counting as a surge.
	surgeThresholdFactor = 2
	surgeThresholdExtra  = 3
	// fullPoolWeight is the weight in the baseline of a request that arrives while
	// the pool is full, so that the surge that filled the pool does not raise the
	// baseline share.
	fullPoolWeight = 0.02
	// maxWorkspaces bounds the number of workspaces with counts of their own.
	maxWorkspaces = 4096
	// minBaseline is the baseline count below which a workspace can be evicted.
	minBaseline = 0.05
)

// traffic counts requests with the recent and with the baseline half-life.
type traffic struct {
	recent   decay.Count
	baseline decay.Count
}

func (t *traffic) add(now time.Time, full bool) {
	weight := 1.0
	if full {
		weight = fullPoolWeight
	}
	t.recent.Add(now, recentHalfLife, 1)
	t.baseline.Add(now, baselineHalfLife, weight)
}

// shares counts the requests of workspaces. It distinguishes a surge of one
// workspace from a steadily large workspace and from a burst of all workspaces.
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
	baselineShare := w.baseline.Value() / s.all.baseline.Value()
	return w.recent.Value() > surgeThresholdFactor*baselineShare*s.all.recent.Value()+surgeThresholdExtra
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

// evictIdle removes the workspaces that no longer send requests, or all if none
// can be evicted.
func (s *shares) evictIdle(now time.Time) {
	for name, w := range s.workspaces {
		if w.baseline.At(now, baselineHalfLife) < minBaseline {
			delete(s.workspaces, name)
		}
	}
	if len(s.workspaces) >= maxWorkspaces {
		clear(s.workspaces)
	}
}
