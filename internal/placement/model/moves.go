package model

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/kvmove"
	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// moveDuration is the duration of one KV cache move.
const moveDuration = 300 * time.Millisecond

// ref identifies the chat to the planner.
func (c *chat) ref() kvmove.Chat {
	return kvmove.Chat{Workspace: workspaceName(c.workspace), Name: c.name}
}

// offerMoves offers the planner the chats that a leaving engine holds.
func (s *sim) offerMoves(e *engine) {
	if s.opts.MovesPerMinute == 0 {
		return
	}
	var cached []kvmove.UsedChat
	for _, u := range s.chatNames.Newest() {
		if s.pool.PrefixLengths(e.name, []uint64{u.Chat.Key()}, nil)[0] > 0 {
			cached = append(cached, u)
		}
	}
	s.planner.Offer(e.name, cached)
	s.startMoves()
}

// recordChatUse records a use of a chat and offers the chat if its engine is
// leaving.
func (s *sim) recordChatUse(r *request) {
	if s.opts.MovesPerMinute == 0 {
		return
	}
	s.chatNames.Record(s.clock(), r.chat.ref())
	if !r.engine.live {
		s.planner.Offer(r.engine.name, []kvmove.UsedChat{{Chat: r.chat.ref(), UsedAt: s.clock()}})
		s.startMoves()
	}
}

// startMoves starts the moves that may start now and schedules the next attempt.
func (s *sim) startMoves() {
	for {
		m, ok, nextStart := s.planner.Next(s.clock(), s.pool.MoveTarget)
		if ok {
			s.schedule(s.now+moveDuration, func() { s.endMove(m) })
			continue
		}
		if !nextStart.IsZero() {
			s.schedule(nextStart.Sub(epoch), s.startMoves)
		}
		return
	}
}

// endMove copies the prefix to the target's cache, if the source still holds it.
func (s *sim) endMove(m kvmove.Move) {
	result := kvmove.ResultNotCached
	from, to := s.byName[m.Source], s.byName[m.Target.Engine]
	if tokens := from.cache.peek(m.Key); tokens > 0 {
		system := placement.ChatKey("system", m.Chat.Workspace)
		to.cache.put(m.Key, tokens)
		to.cache.put(system, from.cache.peek(system))
		result = kvmove.ResultOutdated
		if s.pool.RecordMove(m.Key, m.Target, tokens+from.cache.peek(system)) {
			result = kvmove.ResultMoved
			s.report.Moves++
		}
	}
	s.planner.RecordResult(m, result)
	s.startMoves()
}
