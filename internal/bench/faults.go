package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// Names of faults.
const (
	FaultChurn      = "churn"
	FaultFlap       = "flap"
	FaultLeave      = "leave"
	FaultRouterStop = "router-stop"
	FaultRouterKill = "router-kill"
	FaultConfig     = "config"
	FaultLog        = "log"
)

// DefaultFaults lists the faults of a run without the flag.
func DefaultFaults() []string {
	return []string{FaultChurn, FaultFlap, FaultLeave, FaultRouterStop, FaultRouterKill, FaultConfig}
}

// Durations of faults.
const (
	// flapTime is how long an engine that flaps refuses connections.
	flapTime = 1 * time.Second
	// leaveTime is the time from the listing of an engine as leaving to the end
	// of its VM.
	leaveTime = 6 * time.Second
	// unlistTime is how long a killed router stays listed.
	unlistTime = 4 * time.Second
	// replaceTime is the time from a kill to the start of the replacement.
	replaceTime = 1 * time.Second
	outageTime  = 3 * time.Second
	stopTimeout = 20 * time.Second
)

// fault is one event of the schedule. When is its time as a part of the run.
type fault struct {
	kind string
	when float64
	run  func(r *run, ctx context.Context) error
}

// schedule holds all faults. The middle third is the surge.
var schedule = []fault{
	{FaultChurn, 0.20, (*run).replaceEngine},
	{FaultChurn, 0.40, (*run).replaceEngine},
	{FaultChurn, 0.60, (*run).replaceEngine},
	{FaultChurn, 0.80, (*run).replaceEngine},
	{FaultFlap, 0.26, (*run).flapEngine},
	{FaultFlap, 0.54, (*run).flapEngine},
	{FaultLeave, 0.30, (*run).leaveEngine},
	{FaultConfig, 0.35, (*run).replaceWorkspace},
	{FaultConfig, 0.77, (*run).replaceWorkspace},
	{FaultRouterStop, 0.46, (*run).stopOwner},
	{FaultLog, 0.56, (*run).stopLog},
	{FaultRouterKill, 0.70, (*run).killOwner},
}

// CheckFaults reports an unknown name.
func CheckFaults(names []string) error {
	for _, name := range names {
		known := false
		for _, f := range schedule {
			known = known || f.kind == name
		}
		if !known {
			return eris.Errorf("unknown fault %q", name)
		}
	}
	return nil
}

// startFaults runs the chosen faults at their times.
func (r *run) startFaults(ctx context.Context) {
	for _, f := range schedule {
		if !r.faults[f.kind] {
			continue
		}
		at := time.Duration(f.when * float64(r.plan.Duration))
		r.faulting.Go(func() {
			if !r.at(ctx, at) {
				return
			}
			if err := f.run(r, ctx); err != nil {
				r.say("%s: fault %s: %v", r.policy, f.kind, err)
			}
		})
	}
}

func (r *run) sayAt(format string, args ...any) {
	r.say("%s: %5.1f s: %s", r.policy, time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// victim returns an engine that is up and not leaving. Engines are numbered in
// the order of their start, so that the choice is the same for each policy.
func (r *run) victim() string {
	var names []string
	for _, vm := range r.bed.VMs.Current().VMs {
		if vm.Role == vmlist.RoleEngine && vm.State == vmlist.StateLive {
			names = append(names, vm.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	sort.Strings(names)
	return names[r.observed.draw(r.rng, len(names))]
}

// replaceEngine ends an engine without notice and adds a new one.
func (r *run) replaceEngine(context.Context) error {
	name := r.victim()
	r.observed.dies(name)
	r.bed.RemoveEngine(name)
	added, err := r.bed.AddEngine()
	if err != nil {
		return err
	}
	r.sayAt("engine %s is replaced by %s", name, added.Name())
	return nil
}

// flapEngine restarts an engine.
func (r *run) flapEngine(ctx context.Context) error {
	name := r.victim()
	e := r.bed.Engines()[name]
	if e == nil {
		return eris.Errorf("engine %s is gone", name)
	}
	r.sayAt("engine %s refuses connections", name)
	r.observed.dies(name)
	e.Crash()
	pauseFor(ctx, flapTime)
	if r.bed.Engines()[name] != e {
		return nil
	}
	return e.Restart()
}

// leaveEngine lists an engine as leaving and ends it later.
func (r *run) leaveEngine(ctx context.Context) error {
	name := r.victim()
	r.sayAt("engine %s is leaving", name)
	r.observed.left(name)
	r.bed.LeaveServer(name)
	pauseFor(ctx, leaveTime)
	r.observed.dies(name)
	r.bed.RemoveEngine(name)
	return nil
}

// owner returns the running router that most routers take for the owner of
// the engine pool.
func (r *run) owner() *router.Router {
	routers := r.bed.Routers()
	votes := map[string]int{}
	for _, router := range routers {
		votes[router.Status().Owners[r.plan.Profile.EnginePool]]++
	}
	var best *router.Router
	for _, router := range testbed.Sorted(routers) {
		if best == nil || votes[router.VM()] > votes[best.VM()] {
			best = router
		}
	}
	return best
}

// stopOwner stops the owner of the engine pool as planned work does.
func (r *run) stopOwner(ctx context.Context) error {
	if _, err := r.bed.StartRouter(); err != nil {
		return err
	}
	victim := r.owner()
	r.sayAt("router %s is stopped", victim.VM())
	stop := r.observed.stopping(victim.VM())
	r.bed.VMs.SetState(victim.VM(), vmlist.StateLeaving)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := r.bed.StopRouter(ctx, victim.VM())
	stop()
	r.sayAt("router %s has stopped", victim.VM())
	return err
}

// killOwner ends the owner of the engine pool without notice.
func (r *run) killOwner(ctx context.Context) error {
	victim := r.owner()
	r.sayAt("router %s is killed", victim.VM())
	r.observed.gone(victim)
	r.observed.killed(time.Since(r.began))
	r.faulting.Go(func() { r.bed.KillRouter(victim.VM()) })
	pauseFor(ctx, replaceTime)
	if _, err := r.bed.StartRouter(); err != nil {
		return err
	}
	pauseFor(ctx, unlistTime-replaceTime)
	r.bed.Unlist(victim.VM())
	return nil
}

func (r *run) stopLog(ctx context.Context) error {
	r.sayAt("the log is down")
	r.bed.Log.SetDown(true)
	pauseFor(ctx, outageTime)
	r.bed.Log.SetDown(false)
	r.sayAt("the log is up")
	return nil
}

// replaceWorkspace publishes a record that replaces the smallest workspace.
func (r *run) replaceWorkspace(ctx context.Context) error {
	id, replaces := r.observed.nextRecord(r.plan.Profile.Name + "-workspaces-1")
	workspaces := r.plan.Profile.Workspaces
	data, err := json.Marshal(map[string]any{
		"schema_version": 2,
		"id":             id,
		"author":         "bench",
		"changes": []any{map[string]any{
			"kind":     "workspace",
			"name":     workspaces[len(workspaces)-1],
			"replaces": replaces,
			"spec":     map[string]any{"weight": 2},
		}},
	})
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	published := time.Now()
	offset, err := r.bed.Log.Append(ctx, fleetconfig.StreamName, [][]byte{data})
	if err != nil {
		return eris.Wrap(err, "publish record")
	}
	took, err := r.awaitConfig(ctx, published, offset)
	if err != nil {
		return err
	}
	r.sayAt("record %s is in force after %.3f s", id, took.Seconds())
	return nil
}
