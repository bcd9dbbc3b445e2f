package balance

import (
	"container/list"
	"slices"
	"time"
)

const (
	// maxPrefixes bounds the number of prefixes whose holders are recorded.
	maxPrefixes = 16384
	// maxPrefixServers bounds the holders recorded per prefix. Only a prefix with
	// much of the traffic has several.
	maxPrefixServers = 4
	// cacheRetention is how long a prefix is expected to stay in a server's cache
	// after its last use.
	cacheRetention = 5 * time.Minute
)

// cachedCopy is a server that has a prefix in its cache, or is reading it.
type cachedCopy struct {
	// server is the hash of the incarnation.
	server uint64
	// readAt is when the server is expected to have read the whole prefix.
	readAt time.Time
}

// cachedPrefix is a prefix with its recorded copies, the most recently used first.
type cachedPrefix struct {
	Prefix
	lastUsed time.Time
	copies   []cachedCopy
}

// cacheIndex records which servers have which prefixes in their caches, and how
// many tokens these take at each server.
type cacheIndex struct {
	byHash map[uint64]*list.Element
	// byUse has the prefixes in the order of their last use, the latest first.
	byUse *list.List
	// tokens is the number of recorded tokens at each server.
	tokens map[uint64]int
}

func newCacheIndex() *cacheIndex {
	return &cacheIndex{byHash: make(map[uint64]*list.Element), byUse: list.New(), tokens: make(map[uint64]int)}
}

// record records the use of a prefix at a server and reports whether the copy is
// new. readAt is that of a new copy.
func (x *cacheIndex) record(now time.Time, prefix Prefix, copied cachedCopy) (isNew bool) {
	p := x.use(now, prefix)
	i := slices.IndexFunc(p.copies, func(c cachedCopy) bool { return c.server == copied.server })
	if i >= 0 {
		copied = p.copies[i]
		p.copies = slices.Delete(p.copies, i, i+1)
	} else {
		x.tokens[copied.server] += p.Tokens
	}
	p.copies = slices.Insert(p.copies, 0, copied)
	if len(p.copies) > maxPrefixServers {
		x.release(p.copies[maxPrefixServers].server, p.Tokens)
		p.copies = p.copies[:maxPrefixServers]
	}
	return i < 0
}

// prefix returns the entry of a prefix, nil when there is none.
func (x *cacheIndex) prefix(hash uint64) *cachedPrefix {
	e := x.byHash[hash]
	if e == nil {
		return nil
	}
	return e.Value.(*cachedPrefix)
}

// use returns the entry of a prefix as the latest used one, and adds it if it is
// missing.
func (x *cacheIndex) use(now time.Time, prefix Prefix) *cachedPrefix {
	if p := x.prefix(prefix.Hash); p != nil {
		x.byUse.MoveToFront(x.byHash[prefix.Hash])
		p.lastUsed = now
		return p
	}
	x.expire(now)
	p := &cachedPrefix{Prefix: prefix, lastUsed: now}
	x.byHash[prefix.Hash] = x.byUse.PushFront(p)
	return p
}

// expire removes the prefixes that are no longer expected in any cache, and the
// least recently used one when there are too many.
func (x *cacheIndex) expire(now time.Time) {
	for e := x.byUse.Back(); e != nil; e = x.byUse.Back() {
		p := e.Value.(*cachedPrefix)
		if len(x.byHash) < maxPrefixes && now.Sub(p.lastUsed) <= cacheRetention {
			return
		}
		for _, c := range p.copies {
			x.release(c.server, p.Tokens)
		}
		x.byUse.Remove(e)
		delete(x.byHash, p.Hash)
	}
}

// release subtracts the tokens of a copy that is no longer recorded.
func (x *cacheIndex) release(server uint64, tokens int) {
	if left := x.tokens[server] - tokens; left > 0 {
		x.tokens[server] = left
		return
	}
	delete(x.tokens, server)
}

// copies returns the recorded copies of a prefix.
func (x *cacheIndex) copies(now time.Time, hash uint64) []cachedCopy {
	p := x.prefix(hash)
	if p == nil || now.Sub(p.lastUsed) > cacheRetention {
		return nil
	}
	return p.copies
}

// markRead records that a server has read a prefix.
func (x *cacheIndex) markRead(now time.Time, hash, server uint64) {
	p := x.prefix(hash)
	if p == nil {
		return
	}
	for i := range p.copies {
		if c := &p.copies[i]; c.server == server && c.readAt.After(now) {
			c.readAt = now
		}
	}
}

// forgetUnread removes the copy of a prefix at a server that has not read it yet.
func (x *cacheIndex) forgetUnread(now time.Time, hash, server uint64) {
	p := x.prefix(hash)
	if p == nil {
		return
	}
	i := slices.IndexFunc(p.copies, func(c cachedCopy) bool { return c.server == server && c.readAt.After(now) })
	if i >= 0 {
		p.copies = slices.Delete(p.copies, i, i+1)
		x.release(server, p.Tokens)
	}
}

// each calls f for every recorded copy.
func (x *cacheIndex) each(f func(p *cachedPrefix, c cachedCopy)) {
	for e := x.byUse.Front(); e != nil; e = e.Next() {
		p := e.Value.(*cachedPrefix)
		for _, c := range p.copies {
			f(p, c)
		}
	}
}
