package model

import (
	"math/rand/v2"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// Policy is a placement policy to compare.
type Policy struct {
	Name string
	// Bounded is true if the policy admits under the bound. The other policies
	// rely on lagging reports only, as routers without a pool owner would.
	Bounded bool
	New     func() placement.Picker
}

// Policies returns the affinity policy and the baselines with and without the
// bound.
func Policies() []Policy {
	twoChoices := func() placement.Picker {
		return placement.NewTwoChoicesReported(rand.New(rand.NewPCG(1, 1)).Uint64)
	}
	baselines := []func() placement.Picker{
		placement.NewRoundRobin, placement.NewLeastLoadReported, twoChoices, placement.NewPlainHash,
	}
	affinity := func() placement.Picker { return placement.NewAffinity(placement.DefaultTuning()) }
	list := []Policy{{Name: "affinity", Bounded: true, New: affinity}}
	for _, b := range baselines {
		name := b().Name()
		unbounded := func() placement.Picker { return placement.Unbounded(b()) }
		list = append(list,
			Policy{Name: name, Bounded: true, New: b},
			Policy{Name: name + "_unbounded", New: unbounded})
	}
	return list
}

// Comparison is the result of a policy relative to that of the greedy oracle.
type Comparison struct {
	Report
	// OracleShare is the policy's share of cache hits for returning chats divided
	// by the oracle's on the same chats.
	OracleShare float64
}

// Compare runs a policy and the oracle with the same options and chats.
func Compare(opts Options, p Policy) Comparison {
	opts.Picker = nil
	best := Run(opts)
	opts.Picker = p.New
	got := Run(opts)
	return Comparison{Report: got, OracleShare: got.CacheHitRatio() / best.CacheHitRatio()}
}
