package placement

// DefaultPrefixChats is the default capacity of a prefix index in chats.
const DefaultPrefixChats = 262144

// holdersPerChat is the number of engines stored for a chat.
const holdersPerChat = 2

// tokensPerStamp is the resolution of the cache clock, which counts inserted
// tokens. A clock of 32 bits then wraps after 68 billion tokens.
const tokensPerStamp = 16

const noEntry = ^uint32(0)

// PrefixHolder is an engine that may hold the prefix of a chat.
type PrefixHolder struct {
	// Engine is the engine's position in the pool's table.
	Engine int
	// Tokens is the length of the prefix in tokens.
	Tokens int
}

// holder is one engine of an entry; tokens 0 marks it as unused.
type holder struct {
	tokens uint32
	// stamp is the engine's cache clock at the last use.
	stamp  uint32
	engine uint16
	// generation is the generation of the engine's cache at the last use.
	generation uint16
}

// entry is a chat with its holders. prev and next are its neighbours in the
// list in order of use.
type entry struct {
	key        uint64
	prev, next uint32
	holders    [holdersPerChat]holder
}

// engineCache models the prefix cache of one engine.
type engineCache struct {
	// generation changes when the cache is lost, which invalidates the engine's holders.
	generation uint16
	// inserted is the number of tokens ever added to the cache.
	inserted uint64
	// capacity is the cache size in tokens; 0 means unknown.
	capacity uint64
}

// stamp returns the cache clock.
func (c *engineCache) stamp() uint32 {
	return uint32(c.inserted / tokensPerStamp)
}

// PrefixIndex stores the engines that hold the prefixes of the most recently
// used chats. Its size is bounded by the number of chats. It is not safe for
// concurrent use.
type PrefixIndex struct {
	limit   int
	byKey   map[uint64]uint32
	entries []entry
	// newest and oldest are the ends of the list in order of use.
	newest, oldest uint32
	free           []uint32
	engines        []engineCache
}

// NewPrefixIndex returns an index for at most limit chats; 0 means
// DefaultPrefixChats.
func NewPrefixIndex(limit int) *PrefixIndex {
	if limit <= 0 {
		limit = DefaultPrefixChats
	}
	return &PrefixIndex{
		limit:  limit,
		byKey:  make(map[uint64]uint32),
		newest: noEntry,
		oldest: noEntry,
	}
}

// Len returns the number of chats in the index.
func (x *PrefixIndex) Len() int {
	return len(x.byKey)
}

// cache returns the modelled cache of an engine and adds it if needed.
func (x *PrefixIndex) cache(engine int) *engineCache {
	for len(x.engines) <= engine {
		x.engines = append(x.engines, engineCache{})
	}
	return &x.engines[engine]
}

// SetCapacity sets the cache size of an engine in tokens; 0 means unknown, and
// then entries of the engine do not age.
func (x *PrefixIndex) SetCapacity(engine, tokens int) {
	x.cache(engine).capacity = uint64(max(tokens, 0))
}

// DropEngine invalidates all holders of an engine. Call it when the engine
// restarted or when its position in the table is assigned to another engine.
func (x *PrefixIndex) DropEngine(engine int) {
	c := x.cache(engine)
	c.generation++
	c.inserted = 0
}

// Lookup appends the engines that may hold a chat's prefix to buf, longest
// prefix first. It does not count as a use.
func (x *PrefixIndex) Lookup(key uint64, buf []PrefixHolder) []PrefixHolder {
	at, ok := x.byKey[key]
	if !ok {
		return buf
	}
	start := len(buf)
	for _, h := range x.entries[at].holders {
		if x.mayHold(h) {
			buf = append(buf, PrefixHolder{Engine: int(h.engine), Tokens: int(h.tokens)})
		}
	}
	found := buf[start:]
	if len(found) == 2 && found[1].Tokens > found[0].Tokens {
		found[0], found[1] = found[1], found[0]
	}
	return buf
}

// mayHold reports whether the engine may still hold the prefix. The cache evicts
// the least recently used tokens, so a prefix is certainly evicted once more new
// tokens than the capacity were added after its last use.
func (x *PrefixIndex) mayHold(h holder) bool {
	if h.tokens == 0 {
		return false
	}
	c := &x.engines[h.engine]
	if c.generation != h.generation {
		return false
	}
	age := uint64(c.stamp()-h.stamp) * tokensPerStamp
	return c.capacity == 0 || age <= c.capacity
}

// RecordUse records that an engine now holds a prefix of the given length for a
// chat, of which inserted tokens are new in its cache. Key 0 records only the
// inserted tokens.
func (x *PrefixIndex) RecordUse(key uint64, engine, tokens, inserted int) {
	c := x.cache(engine)
	c.inserted += uint64(max(inserted, 0))
	if key == 0 || tokens <= 0 {
		return
	}
	at := x.touch(key)
	h := holder{tokens: uint32(tokens), stamp: c.stamp(), engine: uint16(engine), generation: c.generation}
	x.putHolder(&x.entries[at], h)
}

// putHolder replaces the holder of the same engine, else one that cannot hold the
// prefix any more, else the one with the shorter prefix.
func (x *PrefixIndex) putHolder(e *entry, h holder) {
	victim := 0
	for i := range e.holders {
		if e.holders[i].tokens != 0 && e.holders[i].engine == h.engine {
			e.holders[i] = h
			return
		}
		if !x.mayHold(e.holders[i]) {
			e.holders[i].tokens = 0
		}
		if e.holders[i].tokens < e.holders[victim].tokens {
			victim = i
		}
	}
	e.holders[victim] = h
}

// RecordEviction applies a cache event: the engine evicted a chat's prefix except
// for its first kept tokens. Events may be late, so a use recorded after the
// event takes precedence.
func (x *PrefixIndex) RecordEviction(key uint64, engine, kept int) {
	at, ok := x.byKey[key]
	if !ok {
		return
	}
	for i := range x.entries[at].holders {
		h := &x.entries[at].holders[i]
		if int(h.engine) == engine && int(h.tokens) > kept {
			h.tokens = uint32(max(kept, 0))
		}
	}
}

// maxDropSteps bounds the entries that one call of DropOldest examines.
const maxDropSteps = 1024

// DropOldest removes the n least recently used holders of an engine. Each lost
// cache event can be the eviction of one chat, and caches evict in the order of
// use, so n lost events affect no other chat.
func (x *PrefixIndex) DropOldest(engine, n int) {
	at := x.oldest
	for steps := 0; at != noEntry && n > 0 && steps < maxDropSteps; steps++ {
		e := &x.entries[at]
		for i := range e.holders {
			if int(e.holders[i].engine) == engine && x.mayHold(e.holders[i]) {
				e.holders[i].tokens = 0
				n--
			}
		}
		at = e.prev
	}
}

// RecordStored applies a cache event: the engine holds a prefix whose creation
// was not recorded here, for example after an import.
func (x *PrefixIndex) RecordStored(key uint64, engine, tokens int) {
	x.RecordUse(key, engine, tokens, 0)
}

// touch moves the entry of a key to the newest end of the list, and adds it if
// needed.
func (x *PrefixIndex) touch(key uint64) uint32 {
	at, ok := x.byKey[key]
	if ok {
		x.unlink(at)
	} else {
		at = x.alloc()
		x.entries[at] = entry{key: key}
		x.byKey[key] = at
	}
	x.link(at)
	return at
}

// alloc returns an unlinked entry. In a full index it is that of the least
// recently used chat.
func (x *PrefixIndex) alloc() uint32 {
	if n := len(x.free); n > 0 {
		at := x.free[n-1]
		x.free = x.free[:n-1]
		return at
	}
	if len(x.entries) < x.limit {
		x.entries = append(x.entries, entry{})
		return uint32(len(x.entries) - 1)
	}
	at := x.oldest
	x.unlink(at)
	delete(x.byKey, x.entries[at].key)
	return at
}

// Remove removes a chat.
func (x *PrefixIndex) Remove(key uint64) {
	at, ok := x.byKey[key]
	if !ok {
		return
	}
	x.unlink(at)
	delete(x.byKey, key)
	x.free = append(x.free, at)
}

// link adds an entry at the newest end of the list.
func (x *PrefixIndex) link(at uint32) {
	e := &x.entries[at]
	e.prev, e.next = noEntry, x.newest
	if x.newest != noEntry {
		x.entries[x.newest].prev = at
	}
	x.newest = at
	if x.oldest == noEntry {
		x.oldest = at
	}
}

func (x *PrefixIndex) unlink(at uint32) {
	e := &x.entries[at]
	if e.prev == noEntry {
		x.newest = e.next
	} else {
		x.entries[e.prev].next = e.next
	}
	if e.next == noEntry {
		x.oldest = e.prev
	} else {
		x.entries[e.next].prev = e.prev
	}
}

// CacheEstimate is the modelled state of one engine's cache.
type CacheEstimate struct {
	// Inserted is the number of tokens added since the engine started.
	Inserted int64
	// Capacity is the cache size in tokens; 0 means unknown.
	Capacity int64
}

// Estimate returns the modelled state of an engine's cache.
func (x *PrefixIndex) Estimate(engine int) CacheEstimate {
	c := x.cache(engine)
	return CacheEstimate{Inserted: int64(c.inserted), Capacity: int64(c.capacity)}
}
