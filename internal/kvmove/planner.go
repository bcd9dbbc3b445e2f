package kvmove

import (
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/admission"
)

const (
	// rateWindow is the period of the rate limit on moves.
	rateWindow = 1 * time.Minute
	// fullRetryInterval is the time to the next attempt when every destination is full.
	fullRetryInterval = 1 * time.Second
	// maxSourceFailures is the number of consecutive failed exports after which
	// an engine's remaining moves are abandoned, so that a failed engine does not
	// use up the pool's moves.
	maxSourceFailures = 3
	// maxOffered limits the waiting moves that one call of Offer adds for an engine.
	maxOffered = 1024
)

// Limits holds the limits on the moves of a pool.
type Limits struct {
	// MovesPerMinute is the maximum number of moves that start in any minute; 0 means
	// no moves.
	MovesPerMinute int
	// Concurrent is the maximum number of concurrent moves.
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

// Result is the result of a move.
type Result uint8

// Results of a move.
const (
	// ResultMoved means that the destination has the prefix.
	ResultMoved Result = iota
	// ResultNotCached means that the source no longer had the chat's prefix.
	ResultNotCached
	// ResultSourceFailed means that the export failed or timed out.
	ResultSourceFailed
	// ResultDestinationFailed means that the import failed or was refused.
	ResultDestinationFailed
	// ResultOutdated means that the prefix was imported, but its destination no
	// longer accepts requests or the chat has a longer prefix elsewhere.
	ResultOutdated
	numResults
)

var resultNames = [numResults]string{"moved", "not_cached", "source_failed", "destination_failed", "outdated"}

// String returns the name that is used in status output and logs.
func (r Result) String() string {
	return resultNames[r]
}

// TargetFunc decides where and whether to move the prefix of a chat from an
// engine.
type TargetFunc func(key uint64, source string) (admission.MoveTarget, admission.MoveDecision)

// Planner decides which move starts when. It does no I/O and is not safe for
// concurrent use.
type Planner struct {
	limits Limits
	// queue is sorted by the time of use, most recently used first.
	queue []Move
	// starts holds the start times of moves within the window, oldest first.
	starts  []time.Time
	running int
	// failures counts the consecutive failed exports, by engine.
	failures  map[string]int
	abandoned map[string]bool
}

// NewPlanner returns a planner without moves.
func NewPlanner(l Limits) *Planner {
	return &Planner{limits: l, failures: map[string]int{}, abandoned: map[string]bool{}}
}

// SetLimits replaces the limits. Running moves continue.
func (p *Planner) SetLimits(l Limits) {
	p.limits = l
}

// Offer adds chats that a leaving engine holds, unless the engine's moves were
// abandoned. A chat that already waits gets the new time of use.
func (p *Planner) Offer(source string, chats []UsedChat) {
	if p.abandoned[source] {
		return
	}
	if len(chats) > maxOffered {
		chats = chats[:maxOffered]
	}
	moves := make([]Move, len(chats))
	offered := make(map[uint64]bool, len(chats))
	for i, c := range chats {
		moves[i] = Move{UsedChat: c, Key: c.Chat.Key(), Source: source}
		offered[moves[i].Key] = true
	}
	p.queue = slices.DeleteFunc(p.queue, func(m Move) bool { return offered[m.Key] })
	p.queue = append(p.queue, moves...)
	slices.SortStableFunc(p.queue, func(a, b Move) int { return b.UsedAt.Compare(a.UsedAt) })
}

// RecordRequest drops the waiting move of a chat that has a new request. The
// request is placed as usual and creates its own prefix.
func (p *Planner) RecordRequest(key uint64) {
	p.queue = slices.DeleteFunc(p.queue, func(m Move) bool { return m.Key == key })
}

// RemoveSource drops the waiting moves of an engine that was removed or no longer
// leaves.
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

// Next returns the first waiting move that may start now and counts it as
// started. If there is none, it returns the time of the next attempt; the zero
// time means that nothing changes before another method is called.
func (p *Planner) Next(now time.Time, chooseTarget TargetFunc) (m Move, ok bool, nextStart time.Time) {
	p.dropOldStarts(now)
	for len(p.queue) > 0 && p.limits.MovesPerMinute > 0 && p.running < p.limits.Concurrent {
		if len(p.starts) >= p.limits.MovesPerMinute {
			return Move{}, false, p.starts[len(p.starts)-p.limits.MovesPerMinute].Add(rateWindow)
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

// dropOldStarts drops the start times that are outside the window.
func (p *Planner) dropOldStarts(now time.Time) {
	n := 0
	for n < len(p.starts) && !now.Before(p.starts[n].Add(rateWindow)) {
		n++
	}
	p.starts = p.starts[n:]
}

// RecordResult records the end of a move that Next started. It reports whether
// the source's remaining moves are abandoned from now on.
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
