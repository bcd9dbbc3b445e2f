package cost

import "math"

// AccuracyBuckets is the number of buckets of a histogram of predictions.
const AccuracyBuckets = 9

// Histogram counts predictions by the ratio of what was predicted to what was seen. The middle bucket has the
// ratios from 0.7 to 1.4; each further one is twice as wide, and the outer ones have all beyond.
type Histogram [AccuracyBuckets]int

// Accuracy compares predictions with answers.
type Accuracy struct {
	Output Histogram
	Slot   Histogram
}

func (a *Accuracy) record(req Request, p Prediction, seen Answer) {
	if req.Stream {
		a.Output.add(p.Output, float64(seen.Output))
	}
	a.Slot.add(p.Slot.Seconds(), seen.Slot.Seconds())
}

func (h *Histogram) add(predicted, seen float64) {
	if predicted <= 0 || seen <= 0 {
		return
	}
	bucket := AccuracyBuckets/2 + int(math.Round(math.Log2(predicted/seen)))
	h[min(max(bucket, 0), AccuracyBuckets-1)]++
}
