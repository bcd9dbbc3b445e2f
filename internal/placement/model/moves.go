package model

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/kvmove"
	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// moveDuration is the duration of one KV cache move.
const moveDuration = 300 * time.Millisecond

// ref returns the planner's name of the chat.
func (c *chat) ref() kvmove.Chat {
	return kvmove.Chat{Workspace: workspaceName(c.workspace), Name: c.name}
}

// offerMoves offers the planner the chats that a leaving engine holds.
func (s *sim) offerMoves(e *engine) {
	if s.opt.MovesPerMinute == 0 {
		return
	}
	var cached []kvmove.UsedChat
	for _, u := range s.usedChats.Newest() {
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
	if s.opt.MovesPerMinute == 0 {
		return
	}
	s.usedChats.Record(s.clock(), r.chat.ref())
	if !r.engine.live {
		s.planner.Offer(r.engine.name, []kvmove.UsedChat{{Chat: r.chat.ref(), At: s.clock()}})
		s.startMoves()
	}
}

// startMoves starts the moves that may start now and schedules the next attempt.
func (s *sim) startMoves() {
	for {
		m, ok, again := s.planner.Next(s.clock(), s.pool.MoveTarget)
		if ok {
			s.at(s.now+moveDuration, func() { s.endMove(m) })
			continue
		}
		if !again.IsZero() {
			s.at(again.Sub(epoch), s.startMoves)
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
