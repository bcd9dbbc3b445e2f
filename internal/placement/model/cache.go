package model

import "container/list"

// cacheItem is a cached chat or system prompt of a workspace.
type cacheItem struct {
	key    uint64
	tokens int
}

// cache is the exact LRU prefix cache of a modelled engine. A chat's tokens
// are evicted as a whole.
type cache struct {
	capacity int
	used     int
	order    *list.List
	items    map[uint64]*list.Element
	// onEvent is called for additions and evictions; it may be nil.
	onEvent func(key uint64, tokens int, evicted bool)
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), items: map[uint64]*list.Element{}}
}

// peek returns the cached tokens of a key without counting it as a use.
func (c *cache) peek(key uint64) int {
	el := c.items[key]
	if el == nil {
		return 0
	}
	return el.Value.(*cacheItem).tokens
}

// put makes a key the most recently used one with at least the given tokens.
func (c *cache) put(key uint64, tokens int) {
	el := c.items[key]
	if el == nil {
		el = c.order.PushFront(&cacheItem{key: key})
		c.items[key] = el
	}
	c.order.MoveToFront(el)
	item := el.Value.(*cacheItem)
	if tokens > item.tokens {
		c.used += tokens - item.tokens
		item.tokens = tokens
		c.notify(key, tokens, false)
	}
	for c.used > c.capacity && c.order.Len() > 1 {
		c.evictOldest()
	}
}

func (c *cache) evictOldest() {
	el := c.order.Back()
	item := el.Value.(*cacheItem)
	c.order.Remove(el)
	delete(c.items, item.key)
	c.used -= item.tokens
	c.notify(item.key, item.tokens, true)
}

func (c *cache) notify(key uint64, tokens int, evicted bool) {
	if c.onEvent != nil {
		c.onEvent(key, tokens, evicted)
	}
}
