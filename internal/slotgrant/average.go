package slotgrant

import "time"

// maxSamples is the number of the latest times that an average mostly consists of.
const maxSamples = 32

// average is a moving average of times, mean += (time - mean) / n, where n counts the times up to maxSamples. So the first ones weigh
// the same, and a first outlier does not last.
type average struct {
	// mean is in nanoseconds.
	mean float64
	n    int
}

func (a *average) add(d time.Duration) {
	a.n = min(a.n+1, maxSamples)
	a.mean += (float64(d) - a.mean) / float64(a.n)
}

// or returns the average, or d when there is none yet.
func (a *average) or(d time.Duration) time.Duration {
	if a.n == 0 {
		return d
	}
	return time.Duration(a.mean)
}
