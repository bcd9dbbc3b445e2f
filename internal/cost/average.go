package cost

import "math"

const (
	// minWeight is the least weight of a new sample: the average follows a workspace that
	// changes its requests within some twenty answers.
	minWeight = 1.0 / 16
	// priorSamples is the number of samples that weigh as much as the coarser average.
	priorSamples = 4
	// clipSamples is the number of samples from which a single one is clipped to maxDeviation, a factor of 8
	// in either direction, so that one odd answer hardly changes the average.
	clipSamples  = 8
	maxDeviation = 3 * math.Ln2
	// minVariance is that of a standard deviation of 0.1, a tenth of the value. With a variance of 0 a few equal samples would
	// outweigh all others.
	minVariance = 0.01
)

// estimate is a mean with its variance, of logarithms.
type estimate struct {
	mean     float64
	variance float64
	// known is false before the first sample.
	known bool
}

// average is a moving average of logarithms, with their variance. Sample n has the weight max(1 / n, minWeight).
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
	weight := max(1/float64(a.n), minWeight)
	a.mean += weight * deviation
	a.variance = (1 - weight) * (a.variance + weight*deviation*deviation)
}

// refine returns the estimate of a coarser average, moved to this one by the number of its samples n, which counts up to
// 1 / minWeight:
//
//	coarse + n / (n + priorSamples) * (average - coarse)
func (a *average) refine(coarse estimate) estimate {
	if a.n == 0 {
		return coarse
	}
	if !coarse.known {
		return estimate{mean: a.mean, variance: max(a.variance, minVariance), known: true}
	}
	weight := float64(min(a.n, 1/minWeight)) / (float64(min(a.n, 1/minWeight)) + priorSamples)
	return estimate{
		mean:     coarse.mean + weight*(a.mean-coarse.mean),
		variance: max(coarse.variance+weight*(a.variance-coarse.variance), minVariance),
		known:    true,
	}
}

// combine returns the estimate from two independent ones of the same value, each weighted by 1 / variance.
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

// value returns the mean of the values whose logarithms the estimate describes, taken as log-normal:
// exp(mean + variance / 2), at most maxMeanFactor * exp(mean).
func (e estimate) value() float64 {
	return math.Exp(e.mean) * min(math.Exp(e.variance/2), maxMeanFactor)
}
