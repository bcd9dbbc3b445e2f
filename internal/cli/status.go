package cli

import (
	"context"
	"flag"
	"maps"
	"slices"
	"strings"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/status"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

func statusCommand() *Command {
	return &Command{
		Name:     "status",
		Summary:  "show the whole fleet",
		Synopsis: "(-vms URL | -settings FILE | -front ADDRESSES) [-timeout TIME] [-json]",
		Description: `Asks every router of the VM list and shows the version in force, readiness with
its reason, owners of pools, engines with their load, skew, cache reuse, leaving
and failed VMs, orders to engines, control traffic and refused requests. A router that does not answer
is shown with the cause.

With -front it asks routers on the platform, each at its metrics address, and
shows the version in force, whether the store answers, and each pool's load and
servers as that router sees them.`,
		Examples: []string{"status -vms http://127.0.0.1:18002", "status -settings examples/lam-dong/router-dalat-1.json -json",
			"status -front 10.1.0.31:9464,10.1.0.32:9464"},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid},
		Setup:     setupStatus,
	}
}

func setupStatus(fs *flag.FlagSet) RunFunc {
	var p platformFlags
	p.defineVMs(fs)
	p.defineSettings(fs)
	fronts := fs.String("front", "", "metrics `ADDRESSES` of routers on the platform, separated by commas")
	timeout := fs.Duration("timeout", defaultReadTimeout, "longest `TIME` for asking the VM list and the routers")
	asJSON := fs.Bool("json", false, "print JSON")
	return func(ctx context.Context, env Env) error {
		ctx, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		if *fronts != "" {
			return runFrontStatus(ctx, *fronts, *asJSON, env)
		}
		if err := p.resolve(false, true); err != nil {
			return err
		}
		return runStatus(ctx, &p, *asJSON, env)
	}
}

func runStatus(ctx context.Context, p *platformFlags, asJSON bool, env Env) error {
	hc := newHTTPClient()
	defer hc.CloseIdleConnections()
	list, routers, err := p.openFleet(hc).view(ctx)
	if err != nil {
		return err
	}
	report := newFleetReport(list, routers)
	if asJSON {
		return writeIndented(env.Stdout, report)
	}
	return report.write(env.Stdout)
}

// fleetReport is the state of the whole fleet.
type fleetReport struct {
	VMListVersion uint64 `json:"vm_list_version"`
	// Listed is the number of VMs by role.
	Listed map[vmlist.Role]int `json:"listed"`
	// Leaving are VMs that the list shows as leaving; Down are engines and backend
	// servers that at least one router considers failed.
	Leaving []string `json:"leaving"`
	Down    []string `json:"down"`
	// NextOffset is the highest next offset of a router's state in force.
	NextOffset uint64       `json:"next_offset"`
	Routers    []routerView `json:"routers"`
	Pools      []poolReport `json:"pools"`
	// Callers counts the answers of all routers by outcome.
	Callers map[string]int64 `json:"callers"`
	// Orders are the orders to engines. Two holders may appear while a lease moves
	// to another router.
	Orders []status.Order `json:"orders"`
}

// poolReport is a pool as reported by its owner.
type poolReport struct {
	// Owners are the owners that the routers report; more than one while they
	// disagree.
	Owners []string `json:"owners"`
	// ReportedBy is the router that the figures come from. It is empty, without
	// figures, while no router that answers owns the pool.
	ReportedBy string `json:"reported_by"`
	// CacheReuse is the share (0 to 1) of prompt tokens that engines had cached; it
	// is absent before the first answer.
	CacheReuse *float64 `json:"cache_reuse,omitempty"`
	admission.Stats
}

func newFleetReport(list *vmlist.List, routers []routerView) *fleetReport {
	f := &fleetReport{
		VMListVersion: list.Version,
		Listed:        map[vmlist.Role]int{},
		Leaving:       []string{},
		Routers:       routers,
		Pools:         []poolReport{},
		Callers:       map[string]int64{},
		Orders:        []status.Order{},
	}
	for _, vm := range list.VMs {
		f.Listed[vm.Role]++
		if vm.State == vmlist.StateLeaving {
			f.Leaving = append(f.Leaving, vm.Name)
		}
	}
	down := map[string]bool{}
	owners := map[string]map[string]bool{}
	for _, r := range routers {
		if r.Status != nil {
			f.addRouter(&r, down, owners)
		}
	}
	f.Down = append([]string{}, slices.Sorted(maps.Keys(down))...)
	f.addOwners(owners)
	slices.SortStableFunc(f.Pools, func(a, b poolReport) int { return strings.Compare(a.Pool, b.Pool) })
	return f
}

func (f *fleetReport) addRouter(r *routerView, down map[string]bool, owners map[string]map[string]bool) {
	f.NextOffset = max(f.NextOffset, r.Status.Config.NextOffset)
	for _, name := range r.Status.VMList.Down {
		down[name] = true
	}
	for outcome, n := range r.Status.Callers {
		f.Callers[outcome] += n
	}
	f.Orders = append(f.Orders, r.Status.Orders...)
	for pool, owner := range r.Status.Owners {
		if owners[pool] == nil {
			owners[pool] = map[string]bool{}
		}
		owners[pool][owner] = true
	}
	for _, stats := range r.Status.Pools {
		slices.SortFunc(stats.Engines, func(a, b admission.EngineStats) int { return strings.Compare(a.Name, b.Name) })
		f.Pools = append(f.Pools, poolReport{ReportedBy: r.VM.Name, CacheReuse: cacheReuse(stats.Counters), Stats: stats})
	}
}

// addOwners sets the owners of the reported pools and adds the pools that have an
// owner but no report.
func (f *fleetReport) addOwners(owners map[string]map[string]bool) {
	reported := map[string]bool{}
	for i := range f.Pools {
		f.Pools[i].Owners = append([]string{}, slices.Sorted(maps.Keys(owners[f.Pools[i].Pool]))...)
		reported[f.Pools[i].Pool] = true
	}
	for pool, names := range owners {
		if !reported[pool] {
			f.Pools = append(f.Pools, poolReport{Owners: slices.Sorted(maps.Keys(names)), Stats: admission.Stats{Pool: pool}})
		}
	}
}

func cacheReuse(counters map[string]int64) *float64 {
	prompt := counters["prompt_tokens"]
	if prompt == 0 {
		return nil
	}
	share := float64(counters["cached_tokens"]) / float64(prompt)
	return &share
}

// controlRates returns the control bytes per second of a router by category,
// as means since its start.
func controlRates(r *routerView) map[string]float64 {
	rates := map[string]float64{}
	c := r.Status.Control
	if c.Bytes <= 0 {
		return rates
	}
	for category, n := range c.ByCategory {
		rates[category] = float64(n) / float64(c.Bytes) * c.BytesPerSecond
	}
	return rates
}
