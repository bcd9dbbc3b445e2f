package model

import (
	"math/rand/v2"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// Policy is a policy that a comparison can run.
type Policy struct {
	Name string
	// Bounded tells that the policy admits under the bound. The others act
	// alone on lagging reports, as routers without an owner would.
	Bounded bool
	New     func() placement.Picker
}

// Policies lists the chosen policy and the baselines, with and without the bound.
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

// Comparison is the result of a policy next to the greedy oracle's.
type Comparison struct {
	Report
	// OracleShare is the policy's cache hits for returning chats as a share of
	// the oracle's on the same chats.
	OracleShare float64
}

// Compare runs a policy and the oracle with the same options and chats.
func Compare(opt Options, p Policy) Comparison {
	opt.Picker = nil
	best := Run(opt)
	opt.Picker = p.New
	got := Run(opt)
	return Comparison{Report: got, OracleShare: got.HitShare() / best.HitShare()}
}
