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

// DefaultFaults lists the faults that are injected by default.
func DefaultFaults() []string {
	return []string{FaultChurn, FaultFlap, FaultLeave, FaultRouterStop, FaultRouterKill, FaultConfig}
}

// Durations of faults.
const (
	// flapDuration is how long a flapping engine refuses connections.
	flapDuration = 1 * time.Second
	// leaveDuration is the time from the listing of an engine as leaving to the
	// removal of its VM.
	leaveDuration = 6 * time.Second
	// unlistDelay is how long a killed router stays listed.
	unlistDelay = 4 * time.Second
	// replaceDelay is the time from a kill to the start of the replacement.
	replaceDelay   = 1 * time.Second
	outageDuration = 3 * time.Second
	stopTimeout    = 20 * time.Second
)

// fault is one fault of the schedule. Its time is a fraction of the run's
// duration.
type fault struct {
	kind     string
	fraction float64
	run      func(r *run, ctx context.Context) error
}

// faultSchedule lists all faults. The surge takes the middle third of the run.
var faultSchedule = []fault{
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

// CheckFaults returns an error for an unknown name.
func CheckFaults(names []string) error {
	for _, name := range names {
		found := false
		for _, f := range faultSchedule {
			found = found || f.kind == name
		}
		if !found {
			return eris.Errorf("unknown fault %q", name)
		}
	}
	return nil
}

// startFaults schedules the selected faults.
func (r *run) startFaults(ctx context.Context) {
	for _, f := range faultSchedule {
		if !r.faults[f.kind] {
			continue
		}
		at := time.Duration(f.fraction * float64(r.plan.Duration))
		r.runningFaults.Go(func() {
			if !r.waitUntil(ctx, at) {
				return
			}
			if err := f.run(r, ctx); err != nil {
				r.logf("%s: fault %s: %v", r.policy, f.kind, err)
			}
		})
	}
}

// logElapsedf logs a line with the time since the start of the run.
func (r *run) logElapsedf(format string, args ...any) {
	r.logf("%s: %5.1f s: %s", r.policy, time.Since(r.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// randomLiveEngine returns the name of an engine that is listed as live. Engines
// are numbered in the order of their start, so that the choice is the same for
// each policy.
func (r *run) randomLiveEngine() string {
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
	return names[r.observations.randomIndex(r.rng, len(names))]
}

// replaceEngine ends an engine without notice and adds a new one.
func (r *run) replaceEngine(context.Context) error {
	name := r.randomLiveEngine()
	r.observations.recordTermination(name)
	r.bed.RemoveEngine(name)
	added, err := r.bed.AddEngine()
	if err != nil {
		return err
	}
	r.logElapsedf("engine %s is replaced by %s", name, added.Name())
	return nil
}

// flapEngine crashes an engine and restarts it after flapDuration.
func (r *run) flapEngine(ctx context.Context) error {
	name := r.randomLiveEngine()
	e := r.bed.Engines()[name]
	if e == nil {
		return eris.Errorf("engine %q is not running", name)
	}
	r.logElapsedf("engine %s refuses connections", name)
	r.observations.recordTermination(name)
	e.Crash()
	sleep(ctx, flapDuration)
	if r.bed.Engines()[name] != e {
		return nil
	}
	return e.Restart()
}

// leaveEngine lists an engine as leaving and removes it after leaveDuration.
func (r *run) leaveEngine(ctx context.Context) error {
	name := r.randomLiveEngine()
	r.logElapsedf("engine %s is leaving", name)
	r.observations.recordLeaving(name)
	r.bed.MarkLeaving(name)
	sleep(ctx, leaveDuration)
	r.observations.recordTermination(name)
	r.bed.RemoveEngine(name)
	return nil
}

// poolOwner returns the running router that most routers report as the owner of
// the engine pool.
func (r *run) poolOwner() *router.Router {
	routers := r.bed.Routers()
	votes := map[string]int{}
	for _, router := range routers {
		votes[router.Status().Owners[r.plan.Profile.EnginePool]]++
	}
	var best *router.Router
	for _, router := range testbed.SortedByKey(routers) {
		if best == nil || votes[router.VM()] > votes[best.VM()] {
			best = router
		}
	}
	return best
}

// stopOwner starts a replacement and then stops the owner of the engine pool
// gracefully, as planned maintenance does.
func (r *run) stopOwner(ctx context.Context) error {
	if _, err := r.bed.StartRouter(); err != nil {
		return err
	}
	target := r.poolOwner()
	r.logElapsedf("router %s is stopped", target.VM())
	recordStopped := r.observations.recordStop(target.VM())
	r.bed.VMs.SetState(target.VM(), vmlist.StateLeaving)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := r.bed.StopRouter(ctx, target.VM())
	recordStopped()
	r.logElapsedf("router %s has stopped", target.VM())
	return err
}

// killOwner ends the owner of the engine pool without notice.
func (r *run) killOwner(ctx context.Context) error {
	target := r.poolOwner()
	r.logElapsedf("router %s is killed", target.VM())
	r.observations.recordFinalStatus(target)
	r.observations.recordKill(time.Since(r.startTime))
	r.runningFaults.Go(func() { r.bed.KillRouter(target.VM()) })
	sleep(ctx, replaceDelay)
	if _, err := r.bed.StartRouter(); err != nil {
		return err
	}
	sleep(ctx, unlistDelay-replaceDelay)
	r.bed.UnlistRouter(target.VM())
	return nil
}

func (r *run) stopLog(ctx context.Context) error {
	r.logElapsedf("the log is down")
	r.bed.Log.SetDown(true)
	sleep(ctx, outageDuration)
	r.bed.Log.SetDown(false)
	r.logElapsedf("the log is up")
	return nil
}

// replaceWorkspace publishes a record that replaces the smallest workspace.
func (r *run) replaceWorkspace(ctx context.Context) error {
	id, replaces := r.observations.nextRecord(r.plan.Profile.Name + "-workspaces-1")
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
	elapsed, err := r.awaitConfig(ctx, published, offset)
	if err != nil {
		return err
	}
	r.logElapsedf("record %s is in force after %.3f s", id, elapsed.Seconds())
	return nil
}
