package kvmove

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/wakeup"
)

const (
	// moveTimeout limits one move, so that a hanging engine occupies a slot of
	// the concurrent moves only for this time.
	moveTimeout = 10 * time.Second
	// MaxConcurrent is the maximum number of concurrent moves of a pool.
	MaxConcurrent = 4
	// lookupBatchSize is the number of chats looked up per acquisition of the
	// pool's lock, so that requests do not wait for the whole search.
	lookupBatchSize = 256
)

// Engine is the part of the engine client that a move needs.
type Engine interface {
	ExportKV(ctx context.Context, prefixKey, systemKey string) ([]byte, error)
	ImportKV(ctx context.Context, blob []byte) (int, error)
}

// Deps holds the dependencies of a mover. The functions may be called from any
// goroutine.
type Deps struct {
	Clock     clockwork.Clock
	Pool      *admission.Pool
	ChatNames *ChatNames
	// Engine returns the client of an engine, or nil if it is not listed.
	Engine func(name string) Engine
	// SystemKey returns the key of a workspace's system prompt.
	SystemKey func(workspace string) string
	Events    *event.Logger
}

// Mover executes the moves of one pool. It is safe for concurrent use. No method
// except Close waits for an engine.
type Mover struct {
	deps Deps
	tomb tomb.Tomb
	wake chan struct{}

	mu      sync.Mutex
	planner *Planner
	// leaving holds the engines that leave; true means that their chats have not
	// been collected yet.
	leaving map[string]bool
	results [numResults]int64
}

// NewMover returns a running mover that starts no move until SetLimit is called.
func NewMover(deps Deps) *Mover {
	m := &Mover{
		deps:    deps,
		wake:    make(chan struct{}, 1),
		planner: NewPlanner(Limits{Concurrent: MaxConcurrent}),
		leaving: map[string]bool{},
	}
	m.tomb.Go(m.run)
	return m
}

// Close cancels the running moves and waits for their end.
func (m *Mover) Close() {
	m.Stop()
	_ = m.tomb.Wait()
}

// Stop cancels the running moves and does not wait.
func (m *Mover) Stop() {
	m.tomb.Kill(nil)
}

// SetLimit sets the maximum number of moves that start in any minute.
func (m *Mover) SetLimit(perMinute int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.planner.SetLimits(Limits{MovesPerMinute: perMinute, Concurrent: MaxConcurrent})
	m.signal()
}

// SetLeaving replaces the list of engines that leave. The chats of newly listed
// engines are moved; waiting moves of engines that are no longer listed are
// dropped.
func (m *Mover) SetLeaving(engines []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]bool, len(engines))
	for _, name := range engines {
		listed[name] = true
		if _, exists := m.leaving[name]; !exists {
			m.leaving[name] = true
		}
	}
	for name := range m.leaving {
		if !listed[name] {
			delete(m.leaving, name)
			m.planner.RemoveSource(name)
		}
	}
	m.signal()
}

// RecordAnswer records a chat whose request ended on an engine. If the engine
// leaves, the chat is moved too.
func (m *Mover) RecordAnswer(now time.Time, engine string, c Chat) {
	m.deps.ChatNames.Record(now, c)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, leaving := m.leaving[engine]; leaving {
		m.planner.Offer(engine, []UsedChat{{Chat: c, UsedAt: now}})
		m.signal()
	}
}

// RecordRequest drops the waiting move of a chat that has a new request.
func (m *Mover) RecordRequest(c Chat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.planner.Waiting() > 0 {
		m.planner.RecordRequest(c.Key())
	}
}

// Results returns the number of ended moves by result.
func (m *Mover) Results() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]int64, numResults)
	for r, n := range m.results {
		all[Result(r).String()] = n
	}
	return all
}

// signal wakes the mover's goroutine.
func (m *Mover) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Mover) run() error {
	for {
		m.collectChats()
		nextStart := m.startMoves()
		if !wakeup.Wait(m.deps.Clock, nextStart, m.wake, m.tomb.Dying()) {
			return nil
		}
	}
}

// collectChats offers the planner the chats of engines that newly leave.
func (m *Mover) collectChats() {
	for _, source := range m.claimNewSources() {
		chats := m.cachedChats(source)
		m.mu.Lock()
		if _, leaving := m.leaving[source]; leaving {
			m.planner.Offer(source, chats)
		}
		m.mu.Unlock()
		m.deps.Events.Emit(event.KVMovesPlanned, "engine", source, "chats", len(chats))
	}
}

// claimNewSources returns the leaving engines whose chats have not been
// collected yet, and marks them as collected.
func (m *Mover) claimNewSources() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sources []string
	for name, isNew := range m.leaving {
		if isNew {
			sources = append(sources, name)
			m.leaving[name] = false
		}
	}
	return sources
}

// cachedChats returns the chats that an engine has in its cache, most recently
// used first.
func (m *Mover) cachedChats(source string) []UsedChat {
	var found []UsedChat
	all := m.deps.ChatNames.Newest()
	keys := make([]uint64, 0, lookupBatchSize)
	var tokens []int
	for len(all) > 0 && len(found) < maxOffered {
		batch := all[:min(lookupBatchSize, len(all))]
		all = all[len(batch):]
		keys = keys[:0]
		for _, u := range batch {
			keys = append(keys, u.Chat.Key())
		}
		tokens = m.deps.Pool.PrefixLengths(source, keys, tokens[:0])
		for i, u := range batch {
			if tokens[i] > 0 {
				found = append(found, u)
			}
		}
	}
	return found
}

// startMoves starts the moves that may start now and returns the time of the
// next attempt; the zero time means none.
func (m *Mover) startMoves() time.Time {
	for {
		m.mu.Lock()
		move, ok, nextStart := m.planner.Next(m.deps.Clock.Now(), m.deps.Pool.MoveTarget)
		m.mu.Unlock()
		if !ok {
			return nextStart
		}
		m.tomb.Go(func() error {
			m.finishMove(move, m.runMove(move))
			return nil
		})
	}
}

// runMove exports one chat's prefix from its source and imports it at its target.
func (m *Mover) runMove(move Move) Result {
	ctx, cancel := context.WithCancel(m.tomb.Context(context.Background()))
	defer cancel()
	timer := m.deps.Clock.AfterFunc(moveTimeout, cancel)
	defer timer.Stop()
	source, target := m.deps.Engine(move.Source), m.deps.Engine(move.Target.Engine)
	if source == nil {
		return ResultSourceFailed
	}
	if target == nil {
		return ResultDestinationFailed
	}
	blob, err := source.ExportKV(ctx, move.Chat.PrefixKey(), m.deps.SystemKey(move.Chat.Workspace))
	if errors.Is(err, engineclient.ErrNotFound) {
		return ResultNotCached
	}
	if err != nil {
		return ResultSourceFailed
	}
	tokens, err := target.ImportKV(ctx, blob)
	if err != nil {
		return ResultDestinationFailed
	}
	if !m.deps.Pool.RecordMove(move.Key, move.Target, tokens) {
		return ResultOutdated
	}
	return ResultMoved
}

func (m *Mover) finishMove(move Move, r Result) {
	m.mu.Lock()
	m.results[r]++
	abandoned := m.planner.RecordResult(move, r)
	m.signal()
	m.mu.Unlock()
	e := event.KVMoveFailed
	if r == ResultMoved {
		e = event.KVMoveDone
	}
	m.deps.Events.Emit(e, "from", move.Source, "to", move.Target.Engine, "result", r.String())
	if abandoned {
		m.deps.Events.Emit(event.KVMovesAbandoned, "engine", move.Source)
	}
}
