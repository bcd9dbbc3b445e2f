package front_test

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// seedsDelay is how much later than the others the seeds start.
const seedsDelay = 300 * time.Millisecond

// longestWait is longer than a read waits at the store. The stand-in counts calls when it answers.
const longestWait = 2 * time.Second

// startLateSeeds starts all routers, the seeds later than the others.
func (f *fleetBed) startLateSeeds() {
	for _, r := range f.routers[3:] {
		r.start()
	}
	time.Sleep(seedsDelay)
	for _, r := range f.routers[:3] {
		r.start()
	}
}

// Guards against a first start at which each router reads the store at the full rate until it is ready, as if it were
// alone: 195 routers made 1,070 calls. Also against servers that a router misses, which register meanwhile.
func TestFirstStartCostsFewCalls(t *testing.T) {
	inBubble(t, firstStartServers, playFirstStart)
}

// firstStartServers is the number of servers that register while the system starts.
const firstStartServers = 12

func playFirstStart(f *fleetBed) {
	t := f.t
	trace := newFleetTrace()
	for n := range *fleetRouters {
		r := f.addRouter()
		r.restarted = false
		trace.follow(r, n)
	}
	f.startLateSeeds()
	time.Sleep(500 * time.Millisecond)
	f.publish(config(1))
	for _, e := range f.engines {
		f.register(platformtest.StateReady, e)
		time.Sleep(20 * time.Millisecond)
	}
	f.waitForUpTo(*fleetWait, "all routers know all servers", func() bool {
		return f.all(func(r *testBed) bool { return r.isReady() && r.serversIn("ready") == firstStartServers })
	})
	time.Sleep(longestWait)
	others, calls := len(f.routers)-3, trace.callsFrom(3)
	t.Logf("%d routers that are not seeds: %d calls", others, calls)
	// Each reads both topics once and the configuration again, and a few miss a change.
	if limit := 3*others + others/2; calls > limit {
		t.Errorf("%d calls of routers that do not read for the others, want at most %d", calls, limit)
	}
}

// Guards against a restart of all after which each router reads the store again before it knows the readers.
func TestRestartOfAllCostsFewCalls(t *testing.T) {
	inBubble(t, 3, playRestartOfAll)
}

func playRestartOfAll(f *fleetBed) {
	t := f.t
	f.prepareRestart()
	started := time.Now()
	f.startLateSeeds()
	f.waitForUpTo(*fleetWait, "all routers are ready and know each other", func() bool {
		return f.all(func(r *testBed) bool { return r.isReady() && r.front.Status().Routers == len(f.routers)-1 })
	})
	time.Sleep(longestWait)
	calls := f.store.Calls()
	t.Logf("%d routers: %d calls", len(f.routers), calls)
	// Three lists, one of them of two pages. The other calls are those of the three readers, which follow two topics with a
	// call in 0.85 s each, and three of the router that asks the engines.
	rounds := int(time.Since(started)/(850*time.Millisecond)) + 1
	if limit := 4*len(f.routers) + 3*2*rounds + 3; calls > limit {
		t.Errorf("%d calls to the store, want at most %d", calls, limit)
	}
}
