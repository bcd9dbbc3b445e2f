package bench

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/router"
)

// Names of policies.
const (
	PolicyFleet  = "bluebellwell"
	PolicyOracle = "oracle"
)

// Policies lists all policies in the order in which they run.
func Policies() []string {
	return []string{PolicyFleet, PolicyOracle, "round_robin", "least_load_reported", "two_choices_reported", "plain_hash"}
}

// reportInterval is the time between two reads of an engine's load by a
// baseline, loadLag the age of the load that it reads.
const (
	reportInterval = 1 * time.Second
	loadLag        = 1 * time.Second
)

var baselines = map[string]func() placement.Picker{
	"round_robin":          placement.NewRoundRobin,
	"least_load_reported":  placement.NewLeastLoadReported,
	"two_choices_reported": func() placement.Picker { return placement.NewTwoChoicesReported(rand.Uint64) },
	"plain_hash":           placement.NewPlainHash,
}

// routerPolicy returns the placement policy of the routers, or nil for the
// fleet's own. With a baseline each router admits locally and without a load
// bound.
func (r *run) routerPolicy() *router.Policy {
	if r.policy == PolicyOracle {
		return &router.Policy{NewPicker: r.newOracle}
	}
	picker := baselines[r.policy]
	if picker == nil {
		return nil
	}
	return &router.Policy{
		NewPicker:      func() placement.Picker { return placement.Unbounded(picker()) },
		LocalAdmission: true,
		ReportInterval: reportInterval,
	}
}
