package cost

import "math"

const (
	// leastWeight is the weight of a new sample once there are many: the average follows a workspace that
	// changes its requests within some twenty answers.
	leastWeight = 1.0 / 16
	// priorSamples is the number of samples that weigh as much as the coarser average.
	priorSamples = 4
	// clipSamples is the number of samples from which a single one is clipped to maxDeviation, a factor of 8
	// in either direction, so that one odd answer hardly changes the average.
	clipSamples  = 8
	maxDeviation = 3 * math.Ln2
	// minVariance is that of a spread of a tenth. A variance of 0 would weigh a few equal samples without a bound.
	minVariance = 0.01
)

// estimate is a mean with its variance, of logarithms.
type estimate struct {
	mean     float64
	variance float64
	// known is false before the first sample.
	known bool
}

// average is a moving average of logarithms.
type average struct {
	n        int
	mean     float64
	variance float64
}

func (a *average) add(x float64) {
	deviation := x - a.mean
	if a.n >= clipSamples {
		deviation = min(max(deviation, -maxDeviation), maxDeviation)
	}
	a.n++
	weight := max(1/float64(a.n), leastWeight)
	a.mean += weight * deviation
	a.variance = (1 - weight) * (a.variance + weight*deviation*deviation)
}

// refine returns the estimate of a coarser average, moved to this one by the number of its samples.
func (a *average) refine(coarse estimate) estimate {
	if a.n == 0 {
		return coarse
	}
	if !coarse.known {
		return estimate{mean: a.mean, variance: max(a.variance, minVariance), known: true}
	}
	weight := float64(min(a.n, 1/leastWeight)) / (float64(min(a.n, 1/leastWeight)) + priorSamples)
	return estimate{
		mean:     coarse.mean + weight*(a.mean-coarse.mean),
		variance: max(coarse.variance+weight*(a.variance-coarse.variance), minVariance),
		known:    true,
	}
}

// combine returns the estimate from two independent ones of the same value, weighted by their precision.
func combine(a, b estimate) estimate {
	switch {
	case !a.known:
		return b
	case !b.known:
		return a
	}
	sum := a.variance + b.variance
	return estimate{mean: (a.mean*b.variance + b.mean*a.variance) / sum, variance: a.variance * b.variance / sum, known: true}
}

// maxMeanFactor bounds the mean of a skewed distribution as a multiple of its median.
const maxMeanFactor = 3

// value returns the mean of the values whose logarithms the estimate describes.
func (e estimate) value() float64 {
	return math.Exp(e.mean) * min(math.Exp(e.variance/2), maxMeanFactor)
}
