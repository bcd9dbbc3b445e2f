package streambackup

const (
	// maxBackups bounds the copies that a router has in progress, in one pool.
	maxBackups = 64
	// copyShare is the share of the memory and of the slots of engines that the copies of all routers together may take.
	copyShare = 0.25
)

// Copies counts the copies in progress of one router in one pool, and bounds their number and size in tokens. The zero value
// has none.
type Copies struct {
	usage
	byTarget map[uint64]*usage
}

// usage is a number of copies and their size.
type usage struct{ count, tokens int }

// Bounds has the capacities and numbers from which the bounds of a router's copies follow.
type Bounds struct {
	Pool
	// Routers is the number of routers that share the engines, and Engines the number of engines.
	Routers int
	Engines int
}

// Fits reports whether another copy of a number of tokens at a target keeps within the bounds: this router's share
// of the memory and the slots that are for copies, at the target and in the pool. A router may always have one
// copy at a target, of any size, since the shares of a large fleet are smaller than one run.
func (c *Copies) Fits(target uint64, tokens int, in Bounds) bool {
	routers := max(in.Routers, 1)
	if c.count >= maxBackups || c.count > 0 && exceeds(c.tokens+tokens, in.KVTokens*max(in.Engines, 1), routers) {
		return false
	}
	u := c.byTarget[target]
	if u == nil {
		return true
	}
	return !exceeds(u.count+1, in.Slots, routers) && !exceeds(u.tokens+tokens, in.KVTokens, routers)
}

// exceeds reports whether n is more than a router's share of a capacity for copies; an unknown capacity, 0, is not
// exceeded.
func exceeds(n, capacity, routers int) bool {
	return capacity > 0 && float64(n) > copyShare*float64(capacity)/float64(routers)
}

// Add counts a copy at a target.
func (c *Copies) Add(target uint64, tokens int) {
	if c.byTarget == nil {
		c.byTarget = make(map[uint64]*usage)
	}
	u := c.byTarget[target]
	if u == nil {
		u = &usage{}
		c.byTarget[target] = u
	}
	u.count++
	u.tokens += tokens
	c.count++
	c.tokens += tokens
}

// Release ends the count of a copy at a target. One at a target without copies has no effect.
func (c *Copies) Release(target uint64, tokens int) {
	u := c.byTarget[target]
	if u == nil {
		return
	}
	u.count--
	u.tokens -= tokens
	c.count--
	c.tokens -= tokens
	if u.count == 0 {
		delete(c.byTarget, target)
	}
}

// Count returns the number of copies in progress.
func (c *Copies) Count() int { return c.count }

// Tokens returns the size of the copies in progress.
func (c *Copies) Tokens() int { return c.tokens }
