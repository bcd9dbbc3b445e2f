package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/standin/backendsim"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

const (
	startTimeout = 20 * time.Second
	// endTimeout limits the wait for running answers after the planned end.
	endTimeout = 12 * time.Second
	// warmUp is the time until caches and load reach a steady state.
	warmUp = 4 * time.Second
	// engineSlots is above the load bound at the highest planned load.
	engineSlots = 32
	// backendDelay is the execution time of a plain call.
	backendDelay = 20 * time.Millisecond
	// appendsPerSecond is the log service's rate limit for all clients together.
	appendsPerSecond = 400
	// balancerInterval is the time between two readiness checks of the platform's
	// load balancer.
	balancerInterval = 100 * time.Millisecond
)

// run is the run of one policy.
type run struct {
	policy string
	plan   *Plan
	faults map[string]bool
	logf   func(format string, args ...any)

	bed    *testbed.Bed
	caller *testbed.Caller
	// ready holds the routers to which the load balancer sends requests.
	ready atomic.Pointer[[]*router.Router]
	// startTime is the start of the main phase.
	startTime time.Time
	rng       *rand.Rand

	// launched is closed when the fleet has started or its start failed with
	// launchErr.
	launched  chan struct{}
	launchErr error
	closeOnce sync.Once

	results       results
	observations  *observations
	relayOverhead *float64
	runningFaults sync.WaitGroup
}

func newRun(policy string, plan *Plan, faults map[string]bool, logf func(string, ...any)) *run {
	return &run{
		policy:       policy,
		plan:         plan,
		faults:       faults,
		logf:         logf,
		caller:       testbed.NewCaller(),
		rng:          rand.New(rand.NewPCG(plan.Seed, 1)),
		observations: newObservations(),
		launched:     make(chan struct{}),
	}
}

// fleetStarter returns the function that starts the fleet.
func (r *run) fleetStarter(ctx context.Context) func() {
	return func() {
		defer close(r.launched)
		r.launchErr = r.start(ctx)
	}
}

// execute runs the workload against the fleet and returns the figures. It calls
// onDrain when no more requests are planned.
func (r *run) execute(ctx context.Context, onDrain func()) (*Figures, error) {
	r.updateReadyRouters()
	watchCtx, stopWatch := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watch := func(f func(context.Context)) { watchers.Go(func() { f(watchCtx) }) }
	watch(r.pollReadiness)
	relayOverhead, err := r.probe(ctx)
	if err == nil {
		r.relayOverhead = relayOverhead
		r.runMainPhase(ctx, watch, onDrain)
	}
	stopWatch()
	watchers.Wait()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return r.figures(), nil
}

// close ends the fleet. Later calls have no effect.
func (r *run) close() {
	r.closeOnce.Do(func() {
		r.caller.Close()
		if r.bed != nil {
			r.bed.Close()
		}
	})
}

// start starts the fleet and waits until all routers are ready.
func (r *run) start(ctx context.Context) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	r.bed, err = testbed.New(testbed.Options{
		Profile: r.plan.Profile,
		Engine: enginesim.Config{
			Slots:           engineSlots,
			DecodePerToken:  perToken,
			PrefillPerToken: prefillPerToken,
			CacheTokens:     r.plan.CacheTokens,
			LoadLag:         loadLag,
			CheckFencing:    true,
		},
		SaltEngines: true,
		Log:         logsim.Options{AppendsPerSecond: appendsPerSecond},
		Policy:      r.routerPolicy(),
	})
	if err != nil {
		return err
	}
	if err := r.startFleet(ctx); err != nil {
		return err
	}
	r.logf("%s: the fleet is ready after %.1f s", r.policy, time.Since(started).Seconds())
	return nil
}

func (r *run) startFleet(ctx context.Context) error {
	for _, s := range r.bed.Backends() {
		s.SetFaults(backendsim.Faults{ExtraDelay: backendDelay})
	}
	records, err := r.plan.Profile.Records()
	if err != nil {
		return err
	}
	records, err = withCacheTokens(records, r.plan.Profile.EnginePool, r.plan.CacheTokens)
	if err != nil {
		return err
	}
	if _, err := r.bed.Log.Append(ctx, fleetconfig.StreamName, records); err != nil {
		return eris.Wrap(err, "publish the example records")
	}
	if err := r.bed.StartRouters(); err != nil {
		return err
	}
	return r.bed.WaitReady(ctx)
}

// runMainPhase sends the workload, injects the faults and waits for the answers.
func (r *run) runMainPhase(ctx context.Context, watch func(func(context.Context)), onDrain func()) {
	r.startTime = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.plan.Duration+endTimeout)
	defer cancel()
	r.observations.begin(r.bed)
	watch(r.sampleSkew)
	watch(r.sampleRouters)
	watch(r.sampleTimers)
	watch(func(ctx context.Context) {
		if r.waitUntil(ctx, r.plan.Duration-drainTime) {
			onDrain()
		}
	})
	r.startFaults(ctx)
	r.sendAll(ctx)
	r.observations.end(r.bed)
	r.logf("%s: all callers finished after %.1f s", r.policy, time.Since(r.startTime).Seconds())
	r.runningFaults.Wait()
}

// waitUntil waits until a time since the start of the run. It returns false if
// ctx ends first.
func (r *run) waitUntil(ctx context.Context, t time.Duration) bool {
	wait := time.Until(r.startTime.Add(t))
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// runEvery calls f at an interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// pollReadiness simulates the platform's load balancer, which sends requests to
// the routers that report that they are ready.
func (r *run) pollReadiness(ctx context.Context) {
	runEvery(ctx, balancerInterval, r.updateReadyRouters)
}

func (r *run) updateReadyRouters() {
	var ready []*router.Router
	for _, router := range testbed.SortedByKey(r.bed.Routers()) {
		if router.Status().Ready {
			ready = append(ready, router)
		}
	}
	r.ready.Store(&ready)
}

// pickRouter returns the ready router that random selects, or nil if none is
// ready.
func (r *run) pickRouter(random uint64) *router.Router {
	ready := *r.ready.Load()
	if len(ready) == 0 {
		return nil
	}
	return ready[random%uint64(len(ready))]
}
