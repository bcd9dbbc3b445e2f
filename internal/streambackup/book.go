package streambackup

const (
	// maxBackups bounds the copies that a router has in progress, in one pool.
	maxBackups = 64
	// copyShare is the share of the memory and of the slots of engines that copies of all routers may take.
	copyShare = 0.25
)

// Book counts the copies in progress of one router in one pool, and bounds their number and size. The zero value
// has none.
type Book struct {
	count, tokens int
	byTarget      map[uint64]*held
}

// held is what a target holds of this router's runs.
type held struct{ count, tokens int }

// Bounds is what the bounds follow from.
type Bounds struct {
	Pool
	// Routers is the number of routers that share the engines, Engines the number of these.
	Routers int
	Engines int
}

// Fits reports whether another copy of a number of tokens at a target keeps within the bounds: this router's share
// of the memory and the slots that are for copies, at the target and in the pool. A router may always have one
// copy at a target, of any size, since the shares of a large fleet are smaller than one run.
func (b *Book) Fits(target uint64, tokens int, in Bounds) bool {
	routers := max(in.Routers, 1)
	if b.count >= maxBackups || b.count > 0 && exceeds(b.tokens+tokens, in.KVTokens*max(in.Engines, 1), routers) {
		return false
	}
	h := b.byTarget[target]
	if h == nil {
		return true
	}
	return !exceeds(h.count+1, in.Slots, routers) && !exceeds(h.tokens+tokens, in.KVTokens, routers)
}

// exceeds reports whether n is more than a router's share of a capacity for copies; an unknown capacity, 0, is not
// exceeded.
func exceeds(n, capacity, routers int) bool {
	return capacity > 0 && float64(n) > copyShare*float64(capacity)/float64(routers)
}

// Take counts a copy.
func (b *Book) Take(target uint64, tokens int) {
	if b.byTarget == nil {
		b.byTarget = make(map[uint64]*held)
	}
	h := b.byTarget[target]
	if h == nil {
		h = &held{}
		b.byTarget[target] = h
	}
	h.count++
	h.tokens += tokens
	b.count++
	b.tokens += tokens
}

// Release takes a copy off the count.
func (b *Book) Release(target uint64, tokens int) {
	h := b.byTarget[target]
	if h == nil {
		return
	}
	h.count--
	h.tokens -= tokens
	b.count--
	b.tokens -= tokens
	if h.count == 0 {
		delete(b.byTarget, target)
	}
}

// Count returns the number of copies in progress, and Tokens their size.
func (b *Book) Count() int  { return b.count }
func (b *Book) Tokens() int { return b.tokens }
