package enginesim

import "container/list"

// Operations of cache events.
const (
	OpStore = "store"
	OpEvict = "evict"
)

type cacheKey struct {
	system bool
	key    string
}

type cacheEntry struct {
	key cacheKey
	// systemKey is the system prompt on which a chat entry builds.
	systemKey string
	tokens    int
}

// prefixCache is an LRU cache of system prompts and of the chats' own tokens,
// that is, the prompt tokens after the system prompt. It is not safe for concurrent use.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List
	entries  map[cacheKey]*list.Element
	onEvent  func(op string, e *cacheEntry)
}

func newPrefixCache(capacity int, onEvent func(op string, e *cacheEntry)) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		order:    list.New(),
		entries:  map[cacheKey]*list.Element{},
		onEvent:  onEvent,
	}
}

func (c *prefixCache) get(k cacheKey) *cacheEntry {
	el, ok := c.entries[k]
	if !ok {
		return nil
	}
	return el.Value.(*cacheEntry)
}

// lookup returns the cached tokens of the system prompt and the chat's own. A
// chat whose system prompt is not cached has no usable prefix.
func (c *prefixCache) lookup(prefixKey, systemKey string) (system, own int) {
	if systemKey != "" {
		e := c.get(cacheKey{system: true, key: systemKey})
		if e == nil {
			return 0, 0
		}
		system = e.tokens
	}
	e := c.get(cacheKey{key: prefixKey})
	if prefixKey == "" || e == nil || e.systemKey != systemKey {
		return system, 0
	}
	return system, e.tokens
}

// cachedTokens returns how many of the prompt's tokens need no prefill.
func (c *prefixCache) cachedTokens(prefixKey, systemKey string, promptTokens int) int {
	system, own := c.lookup(prefixKey, systemKey)
	return min(promptTokens, system+own)
}

// store adds a prompt. The system prompt is marked as used last, so that it is
// evicted after the chats that build on it.
func (c *prefixCache) store(prefixKey, systemKey string, promptTokens, systemTokens int) {
	if systemKey == "" {
		systemTokens = 0
	}
	if prefixKey != "" {
		c.put(cacheEntry{key: cacheKey{key: prefixKey}, systemKey: systemKey, tokens: promptTokens - systemTokens})
	}
	if systemKey != "" {
		c.put(cacheEntry{key: cacheKey{system: true, key: systemKey}, systemKey: systemKey, tokens: systemTokens})
	}
	for c.used > c.capacity {
		c.evict()
	}
}

func (c *prefixCache) put(e cacheEntry) {
	if e.tokens < 0 || e.tokens > c.capacity {
		return
	}
	el, ok := c.entries[e.key]
	if !ok {
		el = c.order.PushFront(&cacheEntry{key: e.key, systemKey: e.systemKey})
		c.entries[e.key] = el
	}
	c.order.MoveToFront(el)
	old := el.Value.(*cacheEntry)
	if old.systemKey == e.systemKey && old.tokens >= e.tokens && ok {
		return
	}
	c.used += e.tokens - old.tokens
	*old = e
	c.onEvent(OpStore, old)
}

func (c *prefixCache) evict() {
	el := c.order.Back()
	e := el.Value.(*cacheEntry)
	c.order.Remove(el)
	delete(c.entries, e.key)
	c.used -= e.tokens
	c.onEvent(OpEvict, e)
}
