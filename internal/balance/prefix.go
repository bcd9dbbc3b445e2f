package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

const (
	// maxWaitShare is the share of a request's objective that it may wait at a holder
	// of its prefix for other prompts to be read before another server is tried.
	maxWaitShare = 0.25
	// minAnnouncedReading is the reading time from which a request is announced to
	// the other routers, so that they don't send others to wait behind it.
	minAnnouncedReading = 50 * time.Millisecond
)

// holder is a member that has a prefix in its cache, or is reading it.
type holder struct {
	*member
	// readyIn is how long it is expected to read the prefix.
	readyIn time.Duration
}

func (h *holder) reading() bool { return h.readyIn > 0 }

type rankedMember struct {
	*member
	score uint64
}

// pickForPrefix chooses a holder of the longest shared prefix, or else the server
// that is to become one.
func (p *Pool) pickForPrefix(now time.Time, usable []*member, mean float64, job *Job) Choice {
	prefix := job.longest()
	holders := p.holders(now, prefix.Hash)
	bound := p.bound(mean)
	if m := p.unasked(now, usable); m != nil {
		source, read := p.reuse(now, m, job)
		reason := ReasonLimited
		if p.isCold(now, m) {
			reason = ReasonCold
		}
		return p.choose(now, m, source, mean, reason, read, job)
	}
	// A cold server is slow, and would become the home of prefixes whose requests it cannot take.
	usable = p.withMemory(now, p.withoutCold(now, usable), job)
	if h := p.bestHolder(now, usable, holders, bound, job); h != nil {
		c := p.choose(now, h.member, nil, mean, ReasonCached, job.PromptTokens-prefix.Tokens, job)
		c.ReadyIn = h.readyIn
		return c
	}
	m := p.newHolder(now, usable, bound, job)
	reason := ReasonHome
	if len(holders) > 0 {
		reason = ReasonSpill
	}
	if m == nil {
		m, reason = p.leastLoaded(now, usable, mean, job), ReasonLeastLoaded
	}
	source, read := p.reuse(now, m, job)
	return p.choose(now, m, source, mean, reason, read, job)
}

// reuse returns the server from which a member copies the longest prefix that it
// does not have itself, nil for none, and the number of tokens that it has to read.
func (p *Pool) reuse(now time.Time, m *member, job *Job) (source *member, read int) {
	for _, prefix := range slices.Backward(job.Prefixes) {
		holders := p.holders(now, prefix.Hash)
		if slices.ContainsFunc(holders, func(h holder) bool { return h.member == m }) {
			return nil, job.PromptTokens - prefix.Tokens
		}
		if source := copySource(now, holders, m.version, job.AllowedRegions); source != nil {
			return source, job.PromptTokens - prefix.Tokens
		}
	}
	return nil, job.PromptTokens
}

// bestHolder returns the best holder that can take the request, or nil when there is
// none or when the request would be late there but not elsewhere.
func (p *Pool) bestHolder(now time.Time, usable []*member, holders []holder, bound float64, job *Job) *holder {
	var best *holder
	for i := range holders {
		h := &holders[i]
		if !slices.Contains(usable, h.member) || h.load(now) >= bound {
			continue
		}
		if best == nil || p.preferred(now, h, best, job) {
			best = h
		}
	}
	if best == nil || p.fasterElsewhere(now, usable, best, job) {
		return nil
	}
	return best
}

// preferred reports whether a is the better holder: one that has read the prefix,
// then the one that is expected to serve the request sooner, or the less loaded one.
func (p *Pool) preferred(now time.Time, a, b *holder, job *Job) bool {
	if a.reading() != b.reading() {
		return b.reading()
	}
	if p.reportsSlowdown(now) {
		return p.atHolder(now, a, job).total() < p.atHolder(now, b, job).total()
	}
	return a.load(now) < b.load(now)
}

// fasterElsewhere reports whether a request would wait too long for other prompts
// to be read at the holder, and another server could sooner have read the prefix.
func (p *Pool) fasterElsewhere(now time.Time, usable []*member, h *holder, job *Job) bool {
	if p.reportsSlowdown(now) {
		return p.soonerElsewhere(now, usable, h, job)
	}
	wait := h.wait(now)
	if job.Objective <= 0 || wait <= time.Duration(maxWaitShare*float64(job.Objective)) {
		return false
	}
	shortest := wait
	for _, m := range usable {
		shortest = min(shortest, m.wait(now))
	}
	// Twice the prefix: what it displaces there has to be read again as well.
	return shortest+2*p.speed.duration(job.longest().Tokens) < wait
}

// newHolder returns the server that is to read or copy the prefix: the first in the
// order of rendezvous hashing below the bound that has no more than the mean of
// cached tokens and of prompts to read. Routers with the same view agree on it,
// and the memory and the reading are spread over the servers.
func (p *Pool) newHolder(now time.Time, usable []*member, bound float64, job *Job) *member {
	meanTokens, meanWait := p.meanReading(now, usable)
	late := p.tooLate(now, usable, job)
	home := p.first(usable, job.longest().Hash, func(m *member) bool {
		if m.load(now) >= bound {
			return false
		}
		return p.cached.tokens[m.hash] <= meanTokens && m.wait(now) <= meanWait && !late(m)
	})
	if home != nil {
		return home
	}
	var cheapest *member
	for _, r := range p.order(usable, job.longest().Hash) {
		if r.load(now) >= bound || late(r.member) {
			continue
		}
		if cheapest == nil || p.readingCost(now, r.member) < p.readingCost(now, cheapest) {
			cheapest = r.member
		}
	}
	return cheapest
}

// first returns the first acceptable member in the order of rendezvous hashing, nil when there is none.
func (p *Pool) first(usable []*member, prefixHash uint64, accept func(*member) bool) *member {
	var first rankedMember
	for _, m := range usable {
		r := rankedMember{member: m, score: placement.Mix(prefixHash, m.idHash)}
		if (first.member == nil || r.score > first.score) && accept(m) {
			first = r
		}
	}
	return first.member
}

// meanReading returns the mean number of cached tokens of the members and the mean
// time that they read prompts which they have received.
func (p *Pool) meanReading(now time.Time, members []*member) (tokens int, wait time.Duration) {
	for _, m := range members {
		tokens += p.cached.tokens[m.hash]
		wait += m.wait(now)
	}
	return tokens / len(members), wait / time.Duration(len(members))
}

// readingCost returns the time to read the prompts that wait at a server and those
// that it has cached.
func (p *Pool) readingCost(now time.Time, m *member) time.Duration {
	return m.wait(now) + p.speed.duration(p.cached.tokens[m.hash])
}

// order ranks the members for a prefix by rendezvous hashing.
func (p *Pool) order(usable []*member, prefixHash uint64) []rankedMember {
	p.ranked = p.ranked[:0]
	for _, m := range usable {
		p.ranked = append(p.ranked, rankedMember{member: m, score: placement.Mix(prefixHash, m.idHash)})
	}
	slices.SortFunc(p.ranked, func(a, b rankedMember) int { return cmp.Compare(b.score, a.score) })
	return p.ranked
}

// holders returns the members recorded as having the prefix in their cache.
func (p *Pool) holders(now time.Time, prefixHash uint64) []holder {
	var holders []holder
	for _, c := range p.cached.copies(now, prefixHash) {
		if m := p.byHash[c.server]; m != nil {
			holders = append(holders, holder{member: m, readyIn: max(c.readAt.Sub(now), 0)})
		}
	}
	return holders
}

// copySource returns an available holder in the regions that has read the prefix, or nil. What another software
// version has in its memory does not fit. One in an evacuated data centre, which may end at any moment, is the last choice.
func copySource(now time.Time, holders []holder, version streamversion.Version, regions []string) *member {
	var evacuated *member
	for _, h := range holders {
		switch {
		case h.version != version || !h.isIn(regions) || h.reading() || h.health.unavailable(now, h.own):
		case !h.evacuated:
			return h.member
		case evacuated == nil:
			evacuated = h.member
		}
	}
	return evacuated
}

// recordHolder records that a server has a prefix in its cache once it has read it,
// and reports whether that is new.
func (p *Pool) recordHolder(now time.Time, prefix Prefix, m *member, readAt time.Time) bool {
	return p.cached.record(now, prefix, cachedCopy{server: m.hash, readAt: readAt})
}

// TakeNewPlacements returns the new placements since the last call.
func (p *Pool) TakeNewPlacements() []Placement {
	newPlacements := p.newPlacements
	p.newPlacements = nil
	return newPlacements
}

// RecordPlacement records a placement of another router. Servers of other pools are
// ignored.
func (p *Pool) RecordPlacement(now time.Time, placement Placement) {
	m := p.byHash[placement.Server]
	if m == nil {
		return
	}
	readAt := m.addReading(now, p.speed.duration(placement.ReadTokens))
	if placement.PrefixHash != 0 {
		p.recordHolder(now, Prefix{Hash: placement.PrefixHash, Tokens: placement.Tokens}, m, readAt.Add(p.speed.firstByte()))
	}
}

// RecordCached records that a server has a prefix in its cache.
func (p *Pool) RecordCached(now time.Time, placement Placement) {
	if m := p.byHash[placement.Server]; m != nil {
		p.recordHolder(now, Prefix{Hash: placement.PrefixHash, Tokens: placement.Tokens}, m, now)
	}
}

// AllPlacements returns all recorded placements, for a router that has just started.
func (p *Pool) AllPlacements() []Placement {
	var list []Placement
	p.cached.each(func(prefix *cachedPrefix, c cachedCopy) {
		if p.byHash[c.server] != nil {
			list = append(list, Placement{PrefixHash: prefix.Hash, Server: c.server, Tokens: prefix.Tokens})
		}
	})
	return list
}
