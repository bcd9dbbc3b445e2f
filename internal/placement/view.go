package placement

import (
	"math"
	"time"
)

// State is the state of an engine that matters to placement.
type State uint8

// States of an engine.
const (
	// Down accepts no new request.
	Down State = iota
	// Up accepts requests.
	Up
	// Damped is up again after flapping: it accepts requests, but is not chosen as
	// a rendezvous home.
	Damped
	// Leaving finishes its requests and accepts no new one.
	Leaving
)

var stateNames = [...]string{"down", "up", "damped", "leaving"}

// String returns the name used in status output.
func (s State) String() string {
	return stateNames[s]
}

// Live reports whether the engine accepts new requests.
func (s State) Live() bool {
	return s == Up || s == Damped
}

// Engine is one row of a pool's engine table.
type Engine struct {
	Name string
	// Hash is Hash(Name).
	Hash   uint64
	Weight float64
	State  State
	// Load is the number of slots counted against the bound, which are the
	// requests in flight and the adopted and reserved slots.
	Load int
	// OutstandingTokens estimates the prompt and output tokens of the requests in
	// flight.
	OutstandingTokens int
	// ReportedLoad is the load in the engine's last report, used by baselines.
	ReportedLoad int
	// MeanServiceTime is the mean time that a request holds a slot; 0 means
	// unknown.
	MeanServiceTime time.Duration
}

// View is the state of a pool that a picker reads. It is not safe for
// concurrent use.
type View struct {
	Engines []Engine
	// LoadMultiple bounds an engine's load as a multiple of the mean.
	LoadMultiple float64
	// MaxInFlight is the absolute limit for each engine; 0 means none.
	MaxInFlight int
	// HomeWait is the longest wait for the engine that holds the prefix.
	HomeWait time.Duration
	// Share is the part of each bound that this owner may use, 0 to 1.
	Share float64
	// Slots is the number of slots in flight on live engines. Reserved slots do
	// not count, because the attempts behind them may not exist.
	Slots int
	// Weight is the sum of the weights of live engines.
	Weight float64
	// Uniform is true if all live engines have the same weight.
	Uniform bool
}

// UpdateTotals sets Weight and Uniform from the table. Call it after a change of
// states or weights.
func (v *View) UpdateTotals() {
	v.Weight = 0
	v.Uniform = true
	first := 0.0
	for i := range v.Engines {
		e := &v.Engines[i]
		if !e.State.Live() {
			continue
		}
		v.Weight += e.Weight
		if first == 0 {
			first = e.Weight
		}
		v.Uniform = v.Uniform && e.Weight == first
	}
}

// boundEpsilon keeps rounding errors of the float product from raising a bound.
const boundEpsilon = 1e-9

// Bound returns the bound of an engine with weight w for the next admission,
// before the owner's share is applied: ceil(multiple * (slots+1) * w / weight).
func (v *View) Bound(w float64) int {
	return int(math.Ceil(v.LoadMultiple*float64(v.Slots+1)*w/v.Weight - boundEpsilon))
}

// Limit returns the highest load that engine i may reach by an admission: the
// part of the bound that this owner may use, and at most MaxInFlight.
func (v *View) Limit(i int) int {
	e := &v.Engines[i]
	limit := int(math.Floor(v.Share*float64(v.Bound(e.Weight)) + boundEpsilon))
	if v.MaxInFlight > 0 {
		limit = min(limit, v.MaxInFlight)
	}
	return limit
}

// SoftLimit returns the load that a preferred engine may reach. It lies
// between the mean and the bound: factor 0 gives the mean and 1 the bound
// before it is rounded up.
func (v *View) SoftLimit(i int, factor float64) int {
	e := &v.Engines[i]
	multiple := 1 + (v.LoadMultiple-1)*factor
	soft := int(multiple * float64(v.Slots+1) * e.Weight / v.Weight)
	return min(max(soft, 1), v.Limit(i))
}
