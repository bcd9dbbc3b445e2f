package slotgrant

import "time"

const (
	// A pool becomes scarce when its slots are fewer than scarceBelow times the live routers, and is no longer when they
	// have been more than plentyAbove times the routers for plentyTime: servers and routers come and go one by one.
	scarceBelow = 2
	plentyAbove = 2.5
	plentyTime  = 3 * time.Second
)

// Scarcity decides whether a pool is scarce. The zero value is a pool that is not. It is not safe for concurrent use.
type Scarcity struct {
	scarce bool
	// plentySince is since when there are more than enough slots; zero when there are not.
	plentySince time.Time
}

// Update reports whether the pool is scarce, with its slots and the number of live routers, this one included. Slots of 0
// or less are unknown ones: nothing can be granted.
func (s *Scarcity) Update(now time.Time, slots, routers int) (scarce bool) {
	switch {
	case slots <= 0:
		*s = Scarcity{}
	case slots < scarceBelow*routers:
		*s = Scarcity{scarce: true}
	case float64(slots) < plentyAbove*float64(routers):
		s.plentySince = time.Time{}
	case s.plentySince.IsZero():
		s.plentySince = now
	case now.Sub(s.plentySince) >= plentyTime:
		*s = Scarcity{}
	}
	return s.scarce
}
