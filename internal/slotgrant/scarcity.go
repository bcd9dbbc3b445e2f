package slotgrant

import "time"

const (
	// A pool becomes scarce when its slots are fewer than scarceBelow times the live routers, and is no longer when they
	// have been more than plentyAbove times the routers for plentyTime: servers and routers come and go one by one.
	scarceBelow = 2
	plentyAbove = 2.5
	plentyTime  = 3 * time.Second
)

// Scarcity decides whether a pool is scarce. The zero value is a pool that is not.
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

const (
	// fallbackShare is the share of a pool's capacity that the routers together use without grants, and fallbackBurst the
	// number of requests that a router may send at once. At a load of 0.85 each of 70 routers gets a request in 0.4 s.
	fallbackShare = 0.9
	fallbackBurst = 1
)

// Fallback bounds the requests that a router sends without a grant. The zero value allows a burst.
type Fallback struct {
	used decayingUse
}

// decayingUse is a number of requests that is worked off at a rate.
type decayingUse struct {
	n  float64
	at time.Time
}

// Take reports whether a request may be sent without a grant, and counts it.
func (f *Fallback) Take(now time.Time, slots, routers int, slotTime time.Duration) bool {
	rate := fallbackShare * float64(slots) / max(slotTime, time.Millisecond).Seconds() / float64(max(routers, 1))
	if elapsed := now.Sub(f.used.at); !f.used.at.IsZero() && elapsed > 0 {
		f.used.n = max(f.used.n-rate*elapsed.Seconds(), 0)
	}
	f.used.at = now
	if f.used.n > fallbackBurst-1 {
		return false
	}
	f.used.n++
	return true
}

const (
	// pauseLimit is the time between two looks at the clocks beyond which the process must have been frozen, while something was
	// to be done every tickInterval. A VM of 0.192 cores stops for 0.08 s at a time as a matter of course.
	pauseLimit = 400 * time.Millisecond
)

// PauseDetector notices that the process was frozen. The zero value has not looked yet.
type PauseDetector struct {
	mono, wall time.Duration
	started    bool
}

// Look compares the clocks with those of the last look: mono is monotonic and may not count the time of a freeze, wall is
// the time of day, which does but may be set. due is set when a look was due within tickInterval of the last one.
func (d *PauseDetector) Look(mono, wall time.Duration, due bool) (paused bool) {
	elapsed, wallElapsed := mono-d.mono, wall-d.wall
	paused = d.started && (wallElapsed-elapsed > pauseLimit || due && elapsed > pauseLimit)
	d.mono, d.wall, d.started = mono, wall, true
	return paused
}
