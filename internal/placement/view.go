package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// State is an engine's state as far as placement is concerned.
type State uint8

// States of an engine.
const (
	// Down takes no new request.
	Down State = iota
	// Up takes requests.
	Up
	// Damped came back after a flap: it takes requests, but no rendezvous homes.
	Damped
	// Leaving finishes its requests and takes no new one.
	Leaving
)

var stateNames = [...]string{"down", "up", "damped", "leaving"}

// String returns the name used in status output.
func (s State) String() string {
	return stateNames[s]
}

// Live reports whether the engine takes new requests.
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
	// Tokens estimates the tokens that the requests in flight still need.
	Tokens int
	// Reported is the load in the engine's last report, used by baselines.
	Reported int
	// Service is the mean time that a request holds a slot; 0 means unknown.
	Service time.Duration
	// HeldVotes[k] is the number of votes that this owner holds among the
	// first k routers in the engine's rendezvous order. Nil means that the
	// view's Share applies.
	HeldVotes []uint16
}

// View is the state of a pool that a picker reads. It is not safe for
// concurrent use.
type View struct {
	Engines []Engine
	// Multiple bounds an engine's load as a multiple of the mean.
	Multiple float64
	// MaxInFlight is the absolute limit for each engine; 0 means none.
	MaxInFlight int
	// HomeWait is the longest wait for the engine that holds the prefix.
	HomeWait time.Duration
	// Share is the part of each bound that this owner may use, 0 to 1.
	Share float64
	// Slots is the number of known slots in flight on live engines. Reserved
	// slots do not count, because they may not exist.
	Slots int
	// Weight is the sum of the weights of live engines.
	Weight float64
	// Uniform tells that all live engines have the same weight.
	Uniform bool
}

// Recount sets Weight and Uniform from the table. Call it after a change of
// states or weights.
func (v *View) Recount() {
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

// boundSlack keeps rounding errors of the float product from raising a bound.
const boundSlack = 1e-9

// Bound returns the unscaled bound of an engine with weight w for the next
// admission, ceil(multiple * (slots+1) * w / weight).
func (v *View) Bound(w float64) int {
	return int(math.Ceil(v.Multiple*float64(v.Slots+1)*w/v.Weight - boundSlack))
}

// Limit returns the highest load that an admission may give engine i: the
// part of the bound that this owner may use, and at most MaxInFlight.
func (v *View) Limit(i int) int {
	e := &v.Engines[i]
	limit := e.allowance(v.Bound(e.Weight), v.Share)
	if v.MaxInFlight > 0 {
		limit = min(limit, v.MaxInFlight)
	}
	return limit
}

// allowance returns the part of a bound that this owner may use. With votes,
// the slots of a bound are dealt to the routers in the engine's rendezvous
// order, so that the parts of all owners add up to the bound exactly.
func (e *Engine) allowance(bound int, share float64) int {
	if e.HeldVotes == nil {
		return int(math.Floor(share*float64(bound) + boundSlack))
	}
	n := len(e.HeldVotes) - 1
	return bound/n*int(e.HeldVotes[n]) + int(e.HeldVotes[bound%n])
}

// SoftLimit returns the load that a preferred engine may reach. It lies
// between the mean and the bound: factor 0 gives the mean and 1 the bound
// before it is rounded up.
func (v *View) SoftLimit(i int, factor float64) int {
	e := &v.Engines[i]
	multiple := 1 + (v.Multiple-1)*factor
	soft := int(multiple * float64(v.Slots+1) * e.Weight / v.Weight)
	return min(max(soft, 1), v.Limit(i))
}

// Votes tells which of the listed routers gave this owner their vote.
type Votes struct {
	hashes []uint64
	held   []bool
}

// NewVotes returns the votes held among the listed routers.
func NewVotes(held, listed []string) *Votes {
	mine := make(map[string]bool, len(held))
	for _, name := range held {
		mine[name] = true
	}
	v := &Votes{hashes: make([]uint64, len(listed)), held: make([]bool, len(listed))}
	for i, name := range listed {
		v.hashes[i] = Hash(name)
		v.held[i] = mine[name]
	}
	return v
}

// ranked is a router at its place in an engine's rendezvous order.
type ranked struct {
	rank uint64
	held bool
}

// Table returns Engine.HeldVotes for an engine with the given hash, or nil
// without listed routers.
func (v *Votes) Table(engine uint64) []uint16 {
	if len(v.hashes) == 0 {
		return nil
	}
	order := make([]ranked, len(v.hashes))
	for i, h := range v.hashes {
		order[i] = ranked{rank: mix(engine, h), held: v.held[i]}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	table := make([]uint16, len(order)+1)
	for k, r := range order {
		table[k+1] = table[k]
		if r.held {
			table[k+1]++
		}
	}
	return table
}
