// Package logpos defines positions in a log whose history may be lost. A store that
// has been restored from an older copy begins a new era and gives out offsets
// again, so that an offset has a meaning only within its era.
package logpos

import "fmt"

// Position is the place of a record in a topic of the store.
type Position struct {
	// Era counts how often the store has been restored from an older copy. It is 0 for a
	// store, or a router, that names no era.
	Era    int64
	Offset int64
}

// None is before all positions of records.
var None = Position{Offset: -1}

// Before reports whether p is before q. All positions of an era are before those of
// a later one.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Offset < q.Offset
}

// Max returns the later one of two positions.
func Max(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// Prev returns the position of the record before p. The first record of an era has None's
// offset before it.
func (p Position) Prev() Position { return Position{Era: p.Era, Offset: p.Offset - 1} }

// String returns the position as era/offset.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Offset) }
