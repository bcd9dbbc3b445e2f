package poolowner

import (
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cachehint"
	"github.com/bluebellwell/bluebellwell/internal/kvmove"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// moves holds the tasks that work on the engines' caches of a pool. The mover
// runs while the pool is owned; the reader of cache events also requires a
// budget.
type moves struct {
	chatNames *kvmove.ChatNames
	mu        sync.Mutex
	mover     *kvmove.Mover
	reader    *cachehint.Reader
	// closed is set by closeMoves and never reset.
	closed bool
}

// applyMoves starts the mover and sets the leaving engines and its rate limit.
func (p *ownedPool) applyMoves(a Assignment) {
	if !p.owned() || a.Pool.Type != record.PoolEngines {
		return
	}
	p.moves.mu.Lock()
	defer p.moves.mu.Unlock()
	if p.moves.closed || p.killed.Load() {
		return
	}
	if p.moves.mover == nil {
		p.moves.mover = kvmove.NewMover(kvmove.Deps{
			Clock:     p.deps.Clock,
			Pool:      p.admission,
			ChatNames: p.moves.chatNames,
			Engine:    p.kvEngine,
			SystemKey: p.systemKey,
			Events:    p.deps.Events,
		})
	}
	p.moves.mover.SetLimit(a.Pool.KVMovesPerMinute)
	p.moves.mover.SetLeaving(leavingServers(a.Servers))
	p.applyEventReader(a)
}

// applyEventReader sets the engines and the budget of the reader of cache events.
// The caller holds moves.mu.
func (p *ownedPool) applyEventReader(a Assignment) {
	if p.moves.reader == nil {
		if a.Pool.CacheEventBytes == 0 {
			return
		}
		p.moves.reader = cachehint.NewReader(cachehint.Deps{
			Clock:  p.deps.Clock,
			Pool:   p.admission,
			Engine: p.eventSource,
			Events: p.deps.Events,
		})
	}
	var live []string
	for _, s := range a.Servers {
		if s.State.Live() {
			live = append(live, s.Name)
		}
	}
	p.moves.reader.SetEngines(live, a.Pool.CacheEventBytes)
}

// eventSource returns the client of an engine for its cache events, or nil.
func (p *ownedPool) eventSource(name string) cachehint.Source {
	// Cache events are only hints and are dropped first when the control budget
	// is short.
	if !p.deps.Meter.Permits(meter.CacheEvents, cacheEventReadBytes) {
		return nil
	}
	c := p.engine(name)
	if c == nil {
		return nil
	}
	return c
}

func leavingServers(servers []Server) []string {
	var names []string
	for _, s := range servers {
		if s.State == placement.Leaving {
			names = append(names, s.Name)
		}
	}
	return names
}

// kvEngine returns the client of an engine for a move, or nil.
func (p *ownedPool) kvEngine(name string) kvmove.Engine {
	c := p.engine(name)
	if c == nil {
		return nil
	}
	return c
}

// stopMoves stops the mover and the reader without waiting for them.
func (p *ownedPool) stopMoves() {
	p.moves.mu.Lock()
	defer p.moves.mu.Unlock()
	if p.moves.mover != nil {
		p.moves.mover.Stop()
		p.moves.mover = nil
	}
	if p.moves.reader != nil {
		p.moves.reader.Stop()
		p.moves.reader = nil
	}
}

// closeMoves stops the mover and the reader permanently and waits for them.
func (p *ownedPool) closeMoves() {
	p.moves.mu.Lock()
	p.moves.closed = true
	m, r := p.moves.mover, p.moves.reader
	p.moves.mover, p.moves.reader = nil, nil
	p.moves.mu.Unlock()
	if m != nil {
		m.Close()
	}
	if r != nil {
		r.Close()
	}
}

func (p *ownedPool) currentMover() *kvmove.Mover {
	p.moves.mu.Lock()
	defer p.moves.mu.Unlock()
	return p.moves.mover
}

// recordChatRequest informs the mover that a chat has a new request on some
// engine.
func (p *ownedPool) recordChatRequest(c kvmove.Chat) {
	if m := p.currentMover(); m != nil && c.Name != "" {
		m.RecordRequest(c)
	}
}

// recordChatAnswer records that an engine answered a chat's request. The chat is
// recorded even while the pool is not owned, because it may be owned again.
func (p *ownedPool) recordChatAnswer(now time.Time, engine string, c kvmove.Chat) {
	if c.Name == "" || p.isPlain() {
		return
	}
	if m := p.currentMover(); m != nil {
		m.RecordAnswer(now, engine, c)
		return
	}
	p.moves.chatNames.Record(now, c)
}

// cacheEventReadBytes estimates the size of one read of cache events.
const cacheEventReadBytes = 1000
