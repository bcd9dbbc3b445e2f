// Package streambackup decides whether the memory of a running stream is copied to a second engine while it
// runs, so that the stream can go on there when its engine ends. It does no I/O and takes the time as an
// argument. Its types are not safe for concurrent use.
package streambackup

import (
	"math"
	"time"
)

const (
	// hazardTime is the time constant with which an engine end loses its weight. Ends come in series within
	// some seconds; after three time constants a twentieth is left.
	hazardTime = 15 * time.Second
	// maxEngines bounds the engines whose signs are kept. The oldest one is forgotten first.
	maxEngines = 256
	// negligible is the weight below which what is known of an engine is forgotten.
	negligible = 0.01
)

// Sign is what suggests that an engine has ended.
type Sign uint8

// Signs of an end.
const (
	// Vanished: its entry has gone, and it had not said that it leaves.
	Vanished Sign = iota
	// Refused: nothing listens at its address.
	Refused
	// Broken: it broke off a request. A faulty connection does the same, so two of them count as an end.
	Broken
	// Reported: other routers count failures of most of its requests.
	Reported
)

// signWeights has the weight of each sign; 1 is an end.
var signWeights = [...]float64{Vanished: 1, Refused: 1, Broken: 0.5, Reported: 1}

// Hazard estimates how likely the engines of a pool end, from the ends that were seen. The zero value has seen
// none.
type Hazard struct {
	engines map[uint64]*signs
}

// signs is what was seen of one incarnation of an engine. It ends once, so its weight is 1 at most.
type signs struct {
	weight float64
	at     time.Time
	// id identifies the engine across its incarnations.
	id uint64
}

// Record records a sign of an incarnation of an engine. id identifies the engine across its incarnations.
func (h *Hazard) Record(now time.Time, incarnation, id uint64, sign Sign) {
	if h.engines == nil {
		h.engines = make(map[uint64]*signs)
	}
	s := h.engines[incarnation]
	if s == nil {
		h.expire(now)
		h.dropOldest()
		s = &signs{at: now, id: id}
		h.engines[incarnation] = s
	}
	s.weight = min(s.left(now)+signWeights[sign], 1)
	s.at = now
}

// left returns the weight that is left: weight * exp(-age / hazardTime).
func (s *signs) left(now time.Time) float64 {
	return s.weight * math.Exp(-max(now.Sub(s.at), 0).Seconds()/hazardTime.Seconds())
}

// expire forgets the engines whose weight is negligible.
func (h *Hazard) expire(now time.Time) {
	for key, s := range h.engines {
		if s.left(now) < negligible {
			delete(h.engines, key)
		}
	}
}

// dropOldest forgets the engine whose last sign is the oldest when there are maxEngines.
func (h *Hazard) dropOldest() {
	if len(h.engines) < maxEngines {
		return
	}
	var oldest uint64
	var at time.Time
	for key, s := range h.engines {
		if at.IsZero() || s.at.Before(at) {
			oldest, at = key, s.at
		}
	}
	delete(h.engines, oldest)
}

// Quiet reports whether no end was seen whose weight is not negligible yet.
func (h *Hazard) Quiet(now time.Time) bool {
	if len(h.engines) > 0 {
		h.expire(now)
	}
	return len(h.engines) == 0
}

// Ends returns the number of ends in the pool, each with the weight that is left of it.
func (h *Hazard) Ends(now time.Time) float64 {
	ends := 0.0
	for _, s := range h.engines {
		ends += s.left(now)
	}
	return ends
}

// endsOf returns the same number for one engine, its earlier incarnations included.
func (h *Hazard) endsOf(now time.Time, id uint64) float64 {
	ends := 0.0
	for _, s := range h.engines {
		if s.id == id {
			ends += s.left(now)
		}
	}
	return ends
}

const (
	// youngAge is the age below which an engine counts as young. What ended its predecessor may end it as well.
	youngAge = 20 * time.Second
	// youngFactor and releaseFactor raise the risk of a young engine and during a release.
	youngFactor   = 2.0
	releaseFactor = 1.5
	// repeatShare is the share of the engines that end again after an end, when others do.
	repeatShare = 0.3
)

// Engine is the engine of a run.
type Engine struct {
	// ID identifies it across its incarnations.
	ID uint64
	// Age is the time since its start; 0 when it is not known.
	Age time.Duration
	// Engines is the number of engines in its pool.
	Engines int
	// Release is set while engines of several software versions serve.
	Release bool
}

// Risk returns the probability that an engine ends within a time. It is 0 while no end was seen in its pool:
// each end is expected to be followed by another one of the pool, with a rate that decays with hazardTime.
//
//	1 - exp(-ends * (1 - exp(-within / hazardTime)))
//	ends = (ends in the pool / engines + repeatShare * ends of the engine) * youngFactor * releaseFactor
//
// The factors are left out for an engine that is not young and outside a release.
func (h *Hazard) Risk(now time.Time, e Engine, within time.Duration) float64 {
	if len(h.engines) == 0 {
		return 0
	}
	ends := h.Ends(now)/float64(max(e.Engines, 1)) + repeatShare*h.endsOf(now, e.ID)
	if e.Age > 0 && e.Age < youngAge {
		ends *= youngFactor
	}
	if e.Release {
		ends *= releaseFactor
	}
	decayed := 1 - math.Exp(-max(within, 0).Seconds()/hazardTime.Seconds())
	return 1 - math.Exp(-ends*decayed)
}
