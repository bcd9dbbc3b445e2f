package meter

import (
	"sync"
	"time"
)

// maxSamples bounds the history of a Sampler.
const maxSamples = 600

type sample struct {
	takenAt time.Time
	totals  map[string]int64
}

// Sampler turns the totals of a meter into rates. It is safe for concurrent
// use.
type Sampler struct {
	meter *Meter

	mu      sync.Mutex
	samples []sample
}

// NewSampler returns a sampler without samples.
func NewSampler(m *Meter) *Sampler {
	return &Sampler{meter: m}
}

// Sample records the current totals. It is called about once per second.
func (s *Sampler) Sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample{now, s.meter.Totals()})
	if len(s.samples) > maxSamples {
		s.samples = s.samples[1:]
	}
}

// Rates returns bytes per second by category name over the window before the last
// sample, or over the whole history if that is shorter. With fewer than two
// samples it is empty.
func (s *Sampler) Rates(window time.Duration) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	rates := map[string]float64{}
	if len(s.samples) < 2 {
		return rates
	}
	last := s.samples[len(s.samples)-1]
	first := s.samples[0]
	for _, candidate := range s.samples[1 : len(s.samples)-1] {
		if last.takenAt.Sub(candidate.takenAt) >= window {
			first = candidate
		}
	}
	seconds := last.takenAt.Sub(first.takenAt).Seconds()
	if seconds <= 0 {
		return rates
	}
	for name, n := range last.totals {
		rates[name] = float64(n-first.totals[name]) / seconds
	}
	return rates
}
