package balance

import "time"

// windowSpan is the longest time for which outcomes count; the shortest is half
// of it. Even with the age of the digests added it is shorter than
// failureEjection, so that outcomes before an ejection don't count after it.
const windowSpan = 1200 * time.Millisecond

// window counts recent outcomes.
type window struct {
	start  time.Time
	failed [2]int
	ended  [2]int
}

func (w *window) advance(now time.Time) {
	half := windowSpan / 2
	elapsed := now.Sub(w.start)
	if elapsed < half {
		return
	}
	w.failed[1], w.ended[1] = w.failed[0], w.ended[0]
	if elapsed >= 2*half {
		w.failed[1], w.ended[1] = 0, 0
	}
	w.failed[0], w.ended[0] = 0, 0
	w.start = now
}

func (w *window) add(now time.Time, failed bool) {
	w.advance(now)
	w.ended[0]++
	if failed {
		w.failed[0]++
	}
}

func (w *window) counts(now time.Time) (failed, ended int) {
	w.advance(now)
	return w.failed[0] + w.failed[1], w.ended[0] + w.ended[1]
}
