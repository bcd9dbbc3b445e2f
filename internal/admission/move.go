package admission

import "github.com/bluebellwell/bluebellwell/internal/placement"

// MoveTarget is the engine that should get the prefix of a chat.
type MoveTarget struct {
	Engine string
	// Tokens is the length of the prefix at the source.
	Tokens int
	// gen is the engine's generation, which changes when it loses its cache.
	gen uint32
}

// MoveDecision tells whether a prefix should be moved.
type MoveDecision uint8

// Verdicts on a move.
const (
	// MoveNow means that the target has room.
	MoveNow MoveDecision = iota
	// MoveLater means that no engine has room now.
	MoveLater
	// MoveUnneeded means that the source is not known to hold the prefix, or that an
	// engine that takes requests holds at least as much of it.
	MoveUnneeded
)

// PrefixLengths appends, for each chat key, the length of the prefix in tokens that the
// index knows on an engine; 0 means none.
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

// prefixTokens returns the tokens of a chat's prefix on one engine.
func (p *Pool) prefixTokens(key uint64, engine int) int {
	p.prefixBuf = p.index.Lookup(key, p.prefixBuf[:0])
	for _, h := range p.prefixBuf {
		if h.Engine == engine {
			return h.Tokens
		}
	}
	return 0
}

// livePrefixTokens returns the longest prefix of a chat on engines that take requests.
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
// the bound. It ignores placement tokens, which name the engine that leaves.
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
	job := placement.Job{Key: key, Hint: -1, Exclude: []int{from}}
	ch := moveTargetPolicy.Pick(&p.view, &job)
	if ch.Action != placement.Place {
		return MoveTarget{}, MoveLater
	}
	t := MoveTarget{Engine: p.view.Engines[ch.Engine].Name, Tokens: tokens, gen: p.engines[ch.Engine].gen}
	return t, MoveNow
}

// moveTargetPolicy is the policy without the prefix index. It keeps no state between
// calls, so the pools may share it.
var moveTargetPolicy = placement.NewAffinity(placement.DefaultTuning())

// RecordMove records that a target received the prefix of a chat. It reports false
// and changes nothing if the target takes no requests any more or lost its
// cache, or if a live engine has a longer prefix.
func (p *Pool) RecordMove(key uint64, t MoveTarget, tokens int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.byName[t.Engine]
	if !ok || p.engines[i].gen != t.gen || !p.view.Engines[i].State.Live() {
		return false
	}
	// The engine is not trusted to have received more than the source had.
	tokens = min(tokens, t.Tokens)
	if tokens <= 0 || p.livePrefixTokens(key) >= tokens {
		return false
	}
	p.index.RecordUse(key, i, tokens, tokens)
	return true
}
