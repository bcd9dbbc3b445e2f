package slotgrant

import (
	"math"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/decay"
)

const (
	// recentHalfLife and usualHalfLife are the half-lives of a workspace's recent and usual numbers of questions, as in package
	// overload.
	recentHalfLife = 2 * time.Second
	usualHalfLife  = 30 * time.Second
	// A workspace's share is shareFactor times its usual share of what the slots take, plus shareExtra recent questions. The shares of
	// all are a little more than the slots take, so that a workspace may vary. The extra keeps a few requests of a small workspace
	// from counting.
	shareFactor = 1.2
	shareExtra  = 3
	// excessLevels is the number of levels of questions. Level 0 has room for the share, each further one for twice as much as the
	// one before, and the last one for all others. So workspaces that are all beyond what is usual are still compared.
	excessLevels = 6
	// fullWeight is the weight in the usual number of a question while there are more than the slots take, so that a
	// surge does not become usual within seconds.
	fullWeight = 0.02
	// maxWorkspaces bounds the workspaces with numbers of their own, and minUsual is the number below which one may be
	// forgotten.
	maxWorkspaces = 4096
	minUsual      = 0.05
)

// traffic counts the questions of a workspace: the recent ones of each level, and the usual ones.
type traffic struct {
	recent [excessLevels]decay.Count
	usual  decay.Count
}

// shares tells how far beyond the share of their workspace questions are.
type shares struct {
	// all is the usual number of the questions of all workspaces.
	all        decay.Count
	workspaces map[uint32]*traffic
}

// record counts a question and returns its level, 0 for one within the share of its workspace. capacity is the number of
// requests a second that the slots take; full is set while there are more questions than they take.
//
//	share  = shareFactor * usual / usual of all * recent + shareExtra
//	recent = capacity * recentHalfLife / ln 2
//
// recent is the count at which questions at the rate of the capacity settle when it decays with recentHalfLife.
func (s *shares) record(now time.Time, workspace uint32, capacity float64, full bool) (level int) {
	w := s.workspace(now, workspace)
	usual := w.usual.At(now, usualHalfLife) / max(s.all.At(now, usualHalfLife), 1)
	recent := capacity * recentHalfLife.Seconds() / math.Ln2
	level = w.level(now, shareFactor*usual*recent+shareExtra)
	w.recent[level].Add(now, recentHalfLife, 1)
	weight := 1.0
	if full {
		weight = fullWeight
	}
	w.usual.Add(now, usualHalfLife, weight)
	s.all.Add(now, usualHalfLife, weight)
	return level
}

// level returns the first level that has room for a question: level i for share * 2^i recent ones.
func (w *traffic) level(now time.Time, share float64) int {
	for i := range w.recent[:excessLevels-1] {
		if w.recent[i].At(now, recentHalfLife) < share {
			return i
		}
		share *= 2
	}
	return excessLevels - 1
}

func (s *shares) workspace(now time.Time, hash uint32) *traffic {
	if w := s.workspaces[hash]; w != nil {
		return w
	}
	if s.workspaces == nil {
		s.workspaces = make(map[uint32]*traffic)
	}
	if len(s.workspaces) >= maxWorkspaces {
		s.forgetIdle(now)
	}
	w := &traffic{}
	s.workspaces[hash] = w
	return w
}

// forgetIdle forgets the workspaces that send nothing any more, or all of them when each still sends.
func (s *shares) forgetIdle(now time.Time) {
	for hash, w := range s.workspaces {
		if w.usual.At(now, usualHalfLife) < minUsual {
			delete(s.workspaces, hash)
		}
	}
	if len(s.workspaces) >= maxWorkspaces {
		clear(s.workspaces)
	}
}
