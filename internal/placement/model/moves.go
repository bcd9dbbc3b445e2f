package model

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/kvmove"
	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// moveTime is the time of one KV cache move.
const moveTime = 300 * time.Millisecond

// ref returns the chat as the planner knows it.
func (c *chat) ref() kvmove.Chat {
	return kvmove.Chat{Workspace: workspaceName(c.workspace), Name: c.name}
}

// moveAway offers the chats that a leaving engine holds.
func (s *sim) moveAway(e *engine) {
	if s.opt.MovesPerMinute == 0 {
		return
	}
	var held []kvmove.Used
	for _, u := range s.used.Newest() {
		if s.pool.Holds(e.name, []uint64{u.Chat.Key()}, nil)[0] > 0 {
			held = append(held, u)
		}
	}
	s.planner.Offer(e.name, held)
	s.startMoves()
}

// noteEnd notes the use of a chat, which moves too if its engine leaves.
func (s *sim) noteEnd(r *running) {
	if s.opt.MovesPerMinute == 0 {
		return
	}
	s.used.Note(s.clock(), r.chat.ref())
	if !r.engine.live {
		s.planner.Offer(r.engine.name, []kvmove.Used{{Chat: r.chat.ref(), At: s.clock()}})
		s.startMoves()
	}
}

func (s *sim) startMoves() {
	for {
		m, ok, again := s.planner.Next(s.clock(), s.pool.MoveTarget)
		if ok {
			s.at(s.now+moveTime, func() { s.endMove(m) })
			continue
		}
		if !again.IsZero() {
			s.at(again.Sub(epoch), s.startMoves)
		}
		return
	}
}

func (s *sim) endMove(m kvmove.Move) {
	result := kvmove.NotCached
	from, to := s.byName[m.Source], s.byName[m.Target.Engine]
	if tokens := from.cache.held(m.Key); tokens > 0 {
		system := placement.ChatKey("system", m.Chat.Workspace)
		to.cache.put(m.Key, tokens)
		to.cache.put(system, from.cache.held(system))
		result = kvmove.Outdated
		if s.pool.Moved(m.Key, m.Target, tokens+from.cache.held(system)) {
			result = kvmove.Moved
			s.report.Moves++
		}
	}
	s.planner.Done(m, result)
	s.startMoves()
}
