package admission

import "github.com/bluebellwell/bluebellwell/internal/placement"

// MoveTarget is the engine to which a chat's prefix should be moved.
type MoveTarget struct {
	Engine string
	// Tokens is the length of the prefix at the source.
	Tokens int
	// generation changes when the engine loses its cache.
	generation uint32
}

// MoveDecision is the decision whether a prefix should be moved.
type MoveDecision uint8

// Decisions on a move.
const (
	// MoveNow means that the target has room under its bound.
	MoveNow MoveDecision = iota
	// MoveLater means that no engine has room under its bound now.
	MoveLater
	// MoveUnneeded means that the prefix index has no entry for the prefix on the
	// source, or that an engine that accepts requests holds at least as much of it.
	MoveUnneeded
)

// PrefixLengths appends to buf, for each chat key, the length in tokens of the
// prefix that the index has for an engine; 0 means none.
func (p *Pool) PrefixLengths(engine string, keys []uint64, buf []int) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.byName[engine]
	for _, key := range keys {
		tokens := 0
		if ok {
			tokens = p.prefixTokens(key, i)
		}
		buf = append(buf, tokens)
	}
	return buf
}

// prefixTokens returns the length of a chat's prefix on one engine.
func (p *Pool) prefixTokens(key uint64, engine int) int {
	p.prefixBuf = p.index.Lookup(key, p.prefixBuf[:0])
	for _, h := range p.prefixBuf {
		if h.Engine == engine {
			return h.Tokens
		}
	}
	return 0
}

// livePrefixTokens returns the length of a chat's longest prefix on engines that
// accept requests.
func (p *Pool) livePrefixTokens(key uint64) int {
	p.prefixBuf = p.index.Lookup(key, p.prefixBuf[:0])
	for _, h := range p.prefixBuf {
		if p.view.Engines[h.Engine].State.Live() {
			return h.Tokens
		}
	}
	return 0
}

// MoveTarget chooses the engine that the chat's next request would go to if no
// engine had its prefix: its rendezvous home, else a less loaded engine under
// the bound. It ignores placement tokens, which name the leaving engine.
func (p *Pool) MoveTarget(key uint64, source string) (MoveTarget, MoveDecision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from, ok := p.byName[source]
	if !ok {
		return MoveTarget{}, MoveUnneeded
	}
	tokens := p.prefixTokens(key, from)
	if tokens == 0 || p.livePrefixTokens(key) >= tokens {
		return MoveTarget{}, MoveUnneeded
	}
	job := placement.Job{Key: key, HintedEngine: -1, Exclude: []int{from}}
	ch := moveTargetPolicy.Pick(&p.view, &job)
	if ch.Action != placement.Place {
		return MoveTarget{}, MoveLater
	}
	t := MoveTarget{Engine: p.view.Engines[ch.Engine].Name, Tokens: tokens, generation: p.engines[ch.Engine].generation}
	return t, MoveNow
}

// moveTargetPolicy chooses the targets of moves, without the prefix index. It
// keeps no state between calls, so the pools may share it.
var moveTargetPolicy = placement.NewAffinity(placement.DefaultTuning())

// RecordMove records that a target received the prefix of a chat. It returns
// false and changes nothing if the target no longer accepts requests or lost its
// cache, or if a live engine holds at least as much of the prefix.
func (p *Pool) RecordMove(key uint64, t MoveTarget, tokens int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.byName[t.Engine]
	if !ok || p.engines[i].generation != t.generation || !p.view.Engines[i].State.Live() {
		return false
	}
	// The target cannot have received more than the source had.
	tokens = min(tokens, t.Tokens)
	if tokens <= 0 || p.livePrefixTokens(key) >= tokens {
		return false
	}
	p.index.RecordUse(key, i, tokens, tokens)
	return true
}
