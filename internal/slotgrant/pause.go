package slotgrant

import "time"

// pauseLimit is the time between two looks at the clocks beyond which the process must have been frozen, while something was
// to be done every tickInterval. A VM of 0.192 cores regularly stops for 0.08 s at a time.
const pauseLimit = 400 * time.Millisecond

// PauseDetector notices that the process was frozen. The zero value has not looked yet. It is not safe for concurrent use.
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
