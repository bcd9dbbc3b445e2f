package kvmove

import (
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/admission"
)

const (
	// rateWindow is the span of the limit on moves.
	rateWindow = 1 * time.Minute
	// fullRetryInterval is the time to the next look when every destination is full.
	fullRetryInterval = 1 * time.Second
	// maxSourceFailures is the number of failed exports in a row after which the
	// rest of an engine's moves are given up, so that a dead engine does not use
	// up the pool's moves.
	maxSourceFailures = 3
	// maxWaitingPerEngine bounds the waiting moves of one engine.
	maxWaitingPerEngine = 1024
)

// Limits bound the moves of a pool.
type Limits struct {
	// PerMinute is the number of moves that may start in any minute; 0 means none.
	PerMinute int
	// Concurrent is the number of moves that may run at the same time.
	Concurrent int
}

// Move is one planned or running move.
type Move struct {
	UsedChat
	// Key is the chat's key in the prefix index.
	Key    uint64
	Source string
	Target admission.MoveTarget
}

// Result is the end of a move.
type Result uint8

// Results of a move.
const (
	// ResultMoved means that the destination has the prefix.
	ResultMoved Result = iota
	// ResultNotCached means that the source had no prefix of the chat any more.
	ResultNotCached
	// ResultSourceFailed means that the export failed or was too slow.
	ResultSourceFailed
	// ResultDestinationFailed means that the import failed or was refused.
	ResultDestinationFailed
	// ResultOutdated means that the prefix arrived, but that its destination takes no
	// requests any more, or that the chat has a longer prefix elsewhere.
	ResultOutdated
	numResults
)

var resultNames = [numResults]string{"moved", "not_cached", "source_failed", "destination_failed", "outdated"}

// String returns the name used in status output.
func (r Result) String() string {
	return resultNames[r]
}

// TargetFunc tells where a chat that an engine holds should go.
type TargetFunc func(key uint64, source string) (admission.MoveTarget, admission.MoveDecision)

// Planner decides which move starts when. It does no I/O and is not safe for
// concurrent use.
type Planner struct {
	limits Limits
	// queue is sorted by the time of use, last used first.
	queue []Move
	// starts are the times of the starts within the window, oldest first.
	starts  []time.Time
	running int
	// failures counts the failed exports in a row, by engine.
	failures  map[string]int
	abandoned map[string]bool
}

// NewPlanner returns a planner without moves.
func NewPlanner(l Limits) *Planner {
	return &Planner{limits: l, failures: map[string]int{}, abandoned: map[string]bool{}}
}

// SetLimits replaces the limits. Running moves go on.
func (p *Planner) SetLimits(l Limits) {
	p.limits = l
}

// Offer adds chats that a leaving engine holds. A chat that waits already
// takes the new time of use.
func (p *Planner) Offer(source string, chats []UsedChat) {
	if p.abandoned[source] {
		return
	}
	if len(chats) > maxWaitingPerEngine {
		chats = chats[:maxWaitingPerEngine]
	}
	moves := make([]Move, len(chats))
	offered := make(map[uint64]bool, len(chats))
	for i, c := range chats {
		moves[i] = Move{UsedChat: c, Key: c.Chat.Key(), Source: source}
		offered[moves[i].Key] = true
	}
	p.queue = slices.DeleteFunc(p.queue, func(m Move) bool { return offered[m.Key] })
	p.queue = append(p.queue, moves...)
	slices.SortStableFunc(p.queue, func(a, b Move) int { return b.At.Compare(a.At) })
}

// RecordRequest drops the waiting move of a chat that has a new request. The request
// is placed as usual and makes its own prefix.
func (p *Planner) RecordRequest(key uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(m Move) bool { return m.Key == key })
}

// RemoveSource drops the waiting moves of an engine that is gone or stays.
func (p *Planner) RemoveSource(source string) {
	p.drop(source)
	delete(p.failures, source)
	delete(p.abandoned, source)
}

func (p *Planner) drop(source string) {
	p.queue = slices.DeleteFunc(p.queue, func(m Move) bool { return m.Source == source })
}

// Clear drops all waiting moves.
func (p *Planner) Clear() {
	p.queue = nil
	clear(p.failures)
	clear(p.abandoned)
}

// Waiting returns the number of waiting moves.
func (p *Planner) Waiting() int {
	return len(p.queue)
}

// Next starts the most urgent move that may start now and counts it. Without
// one it returns the time of the next look; the zero time means that nothing
// changes before the next call of another method.
func (p *Planner) Next(now time.Time, chooseTarget TargetFunc) (m Move, ok bool, nextStart time.Time) {
	p.dropOldStarts(now)
	for len(p.queue) > 0 && p.limits.PerMinute > 0 && p.running < p.limits.Concurrent {
		if len(p.starts) >= p.limits.PerMinute {
			return Move{}, false, p.starts[len(p.starts)-p.limits.PerMinute].Add(rateWindow)
		}
		m = p.queue[0]
		target, decision := chooseTarget(m.Key, m.Source)
		if decision == admission.MoveLater {
			return Move{}, false, now.Add(fullRetryInterval)
		}
		p.queue = p.queue[1:]
		if decision == admission.MoveUnneeded {
			continue
		}
		m.Target = target
		p.running++
		p.starts = append(p.starts, now)
		return m, true, time.Time{}
	}
	return Move{}, false, time.Time{}
}

// dropOldStarts forgets the starts that have left the window.
func (p *Planner) dropOldStarts(now time.Time) {
	n := 0
	for n < len(p.starts) && !now.Before(p.starts[n].Add(rateWindow)) {
		n++
	}
	p.starts = p.starts[n:]
}

// RecordResult ends a move that Next started. It reports whether the rest of the
// source's moves are given up now.
func (p *Planner) RecordResult(m Move, r Result) (abandoned bool) {
	p.running--
	if r != ResultSourceFailed {
		delete(p.failures, m.Source)
		return false
	}
	p.failures[m.Source]++
	if p.failures[m.Source] < maxSourceFailures || p.abandoned[m.Source] {
		return false
	}
	p.abandoned[m.Source] = true
	p.drop(m.Source)
	return true
}
