package configdiff

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is the part of a difference that fits one datagram. The Payload of its Difference is not set.
type Part struct {
	Difference
	// Check is a hash of the whole payload. Parts of two routers with equal Check belong to the same payload.
	Check uint64
	// Index is the place of Data among Count parts.
	Index, Count int
	Data         []byte
}

// Split returns the parts of a difference.
func (d Difference) Split() []Part {
	chunks := slices.Collect(slices.Chunk(d.Payload, MaxPartBytes))
	parts := make([]Part, 0, len(chunks))
	common := Part{Difference: d, Check: xxhash.Sum64(d.Payload), Count: len(chunks)}
	common.Payload = nil
	for i, chunk := range chunks {
		part := common
		part.Index, part.Data = i, chunk
		parts = append(parts, part)
	}
	return parts
}

// Valid reports whether the numbers and the size of a part are possible.
func (p *Part) Valid() bool {
	most := MaxParts
	if p.Base == NoBase {
		most = MaxWholeParts
	}
	return 0 < p.Count && p.Count <= most && 0 <= p.Index && p.Index < p.Count && 0 < len(p.Data) && len(p.Data) <= MaxPartBytes &&
		p.Position.Offset >= 0 && p.Position.Era == p.Next.Era
}

// maxCollected bounds the differences of which parts are kept. Several versions may come within a second, from three readers.
const maxCollected = 8

// ApplyTime is how long a complete difference may wait to be applied while the store is not read for its version.
const ApplyTime = time.Second

// Collector puts the parts of differences together, and keeps the differences whose earlier text is not known yet. Its memory is
// bounded: the difference whose first part is the oldest is dropped for a new one. The zero value is empty. It is not safe for
// concurrent use.
type Collector struct {
	// Max bounds the differences that are kept; 0 means maxCollected.
	Max int
	// list has the differences in the order of their first parts.
	list []*collected
}

// collected is a difference of which parts have arrived.
type collected struct {
	Difference
	check uint64
	parts [][]byte
	// missing is the number of parts that have not arrived, and completeAt when the last one did.
	missing    int
	completeAt time.Time
}

// Add adds a part and reports whether its difference has become complete.
func (c *Collector) Add(now time.Time, p Part) bool {
	if !p.Valid() {
		return false
	}
	at := slices.IndexFunc(c.list, func(d *collected) bool {
		return d.check == p.Check && d.Base == p.Base && d.Text == p.Text && d.Position == p.Position && d.Next == p.Next && len(d.parts) == p.Count
	})
	if at < 0 {
		if len(c.list) >= cmp.Or(c.Max, maxCollected) {
			c.list = slices.Delete(c.list, 0, 1)
		}
		c.list = append(c.list, &collected{Difference: p.Difference, check: p.Check, parts: make([][]byte, p.Count), missing: p.Count})
		at = len(c.list) - 1
	}
	d := c.list[at]
	if d.parts[p.Index] != nil {
		return false
	}
	d.parts[p.Index] = p.Data
	d.missing--
	if d.missing > 0 {
		return false
	}
	d.completeAt = now
	d.Payload = slices.Concat(d.parts...)
	if xxhash.Sum64(d.Payload) != d.check {
		c.list = slices.Delete(c.list, at, at+1)
		return false
	}
	return true
}

// Take removes and returns the first complete difference that starts from a known text.
func (c *Collector) Take(known func(Hash) bool) (d Difference, found bool) {
	for i, d := range c.list {
		if d.missing == 0 && known(d.Base) {
			c.list = slices.Delete(c.list, i, i+1)
			return d.Difference, true
		}
	}
	return Difference{}, false
}

// Reachable returns the complete differences that can be applied one after the other from known texts and have not waited for
// longer than ApplyTime.
func (c *Collector) Reachable(now time.Time, known func(Hash) bool) []Difference {
	var list []Difference
	reached := make(map[Hash]bool)
	for range c.list {
		for _, d := range c.list {
			if d.missing > 0 || now.Sub(d.completeAt) >= ApplyTime || reached[d.Text] {
				continue
			}
			if known(d.Base) || reached[d.Base] {
				reached[d.Text] = true
				list = append(list, d.Difference)
			}
		}
	}
	return list
}
