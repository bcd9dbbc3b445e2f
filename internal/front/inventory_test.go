package front_test

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// maxInventories is how often all routers together may ask an engine for its cached parts after a restart of all.
const maxInventories = 3

// inventoryWindow is the time after the last router is ready in which none asks any more. Routers give up after 5 s.
const inventoryWindow = 6 * time.Second

// restartBed is a fleet whose routers have all restarted, with engines that have prompts cached.
func restartBed(t *testing.T) *fleetBed {
	t.Helper()
	f := &fleetBed{testBed: newTestBedWith(t, 3)}
	f.prepareRestart()
	return f
}

// prepareRestart fills the store and adds the routers, which are not started yet.
func (f *fleetBed) prepareRestart() {
	f.publish(config(1))
	f.register(platformtest.StateReady, f.engines...)
	for _, e := range f.engines {
		e.AddCachedPart("5c1e07a2", 800, "m")
	}
	for range *fleetRouters {
		f.addRouter()
	}
}

// askedMost and askedLeast return how often the engine that was asked most, or least, was asked for its cached parts.
func (f *fleetBed) askedMost() int {
	return slices.MaxFunc(f.engines, byInventories).Inventories()
}

func (f *fleetBed) askedLeast() int {
	return slices.MinFunc(f.engines, byInventories).Inventories()
}

func byInventories(a, b *platformtest.Engine) int {
	return cmp.Compare(a.Inventories(), b.Inventories())
}

// checkInventories waits until no router asks any more and checks how often they did.
func (f *fleetBed) checkInventories(calls int) {
	f.t.Helper()
	f.waitForUpTo(*fleetWait, "all routers are ready", func() bool { return f.all((*testBed).isReady) })
	time.Sleep(inventoryWindow)
	most, least := f.askedMost(), f.askedLeast()
	f.t.Logf("%d routers asked an engine %d to %d times; %d calls to the store", len(f.routers), least, most, f.store.Calls()-calls)
	if most > maxInventories || least == 0 {
		f.t.Errorf("%d routers asked an engine %d to %d times for its cached parts, want 1 to %d", len(f.routers), least, most, maxInventories)
	}
}

// Guards against a restart of all routers after which nearly each asks all engines what they have cached, because
// none knows another one yet: the seeds start later, are gone, or no digest arrives.
func TestRestartOfAllAsksEachEngineFewTimes(t *testing.T) {
	for name, prepare := range map[string]func(f *fleetBed) (late []*testBed){
		"all at once":    func(*fleetBed) []*testBed { return nil },
		"seeds are late": func(f *fleetBed) []*testBed { return f.routers[:3] },
		"seeds are gone": func(f *fleetBed) []*testBed {
			f.routers = f.routers[3:]
			return nil
		},
		"no digest arrives": func(f *fleetBed) []*testBed {
			f.isolate(func(int) bool { return true })
			return nil
		},
		"a third is cut off": func(f *fleetBed) []*testBed {
			f.isolate(func(n int) bool { return n%3 == 2 })
			return nil
		},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			f := restartBed(t)
			late := prepare(f)
			calls := f.store.Calls()
			for _, r := range f.routers {
				if !slices.Contains(late, r) {
					r.start()
				}
			}
			if len(late) > 0 {
				time.Sleep(400 * time.Millisecond)
			}
			for _, r := range late {
				r.start()
			}
			f.checkInventories(calls)
		})
	}
}

// Guards against engines that are asked by many routers when the store, which decides who asks, turns calls away
// right after the routers have read the servers, and against engines that nobody asks once it answers again.
func TestRestartOfAllAsksFewTimesAfterAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	f := restartBed(t)
	f.routers = f.routers[3:]
	calls := f.store.Calls()
	for _, r := range f.routers {
		r.start()
	}
	f.waitForUpTo(*fleetWait, "all routers are ready", func() bool { return f.all((*testBed).isReady) })
	f.store.SetErrorStatus(http.StatusServiceUnavailable)
	time.Sleep(time.Second)
	f.store.SetErrorStatus(0)
	f.checkInventories(calls)
}

// isolate lets the routers that choose selects neither send digests to any other router nor receive any: each uses a
// port of its own.
func (f *fleetBed) isolate(choose func(n int) bool) {
	common := f.routers[0].peersPort
	for n, r := range f.routers {
		if choose(n) {
			r.peersPort = common - uint16(n) - 1
		}
	}
}
