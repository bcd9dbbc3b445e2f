package front_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

const (
	// changeWindow is the time within which a configuration must be in force and a server
	// that leaves or is gone must be known at each router in touch.
	changeWindow = 2 * time.Second
	// cutCalm is the time after which routers that are cut off from each other count as
	// in touch with the store again.
	cutCalm = 3 * time.Second
)

// eraSettled is how long after the routers have seen a new era a server is removed.
const eraSettled = 300 * time.Millisecond

// oneWayCut says which datagrams are lost; routers are numbered from 0, and the first
// three read the store.
type oneWayCut struct {
	name string
	lost func(from, to, routers int) bool
	// extra is the number of routers besides three that may read the store.
	extra int
	// larger is set for a cut that is also played in a fleet whose routers do not send
	// their loads to all.
	larger bool
}

var oneWayCuts = []oneWayCut{
	{"a router does not hear the readers", func(from, to, n int) bool { return from < 3 && to == n-1 }, 1, true},
	{"a router hears nobody", func(from, to, n int) bool { return to == n-1 }, 1, false},
	{"the readers do not hear a router", func(from, to, n int) bool { return from == n-1 && to < 3 }, 0, true},
	{"nobody hears a router", func(from, _, n int) bool { return from == n-1 }, 0, false},
	{"nobody hears a reader", func(from, _, _ int) bool { return from == 0 }, 1, true},
	{"a reader hears nobody", func(_, to, _ int) bool { return to == 0 }, 0, false},
	{"a reader hears no other reader", func(from, to, _ int) bool { return to == 2 && from < 2 }, 1, false},
	{"half of the others do not hear the readers", func(from, to, n int) bool { return from < 3 && to >= 3+(n-3)/2 }, 3, true},
	{"a router does not hear one reader", func(from, to, n int) bool { return from == 0 && to == n-1 }, 1, false},
}

// Guards against routers that miss changes for longer than the platform allows, and
// against calls to the store by more and more routers, while some routers hear others that
// do not hear them.
func TestRoutersCutOffInOneDirection(t *testing.T) {
	for _, routers := range []int{6, *fleetRouters} {
		for _, cut := range oneWayCuts {
			if routers > 6 && !cut.larger {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d routers", cut.name, routers), func(t *testing.T) {
				inBubble(t, 6, func(f *fleetBed) { playOneWayCut(f, cut, routers) })
			})
		}
	}
}

func playOneWayCut(f *fleetBed, cut oneWayCut, routers int) {
	t := f.t
	trace := newFleetTrace()
	startFleet(f, routers, trace.followAll)
	index := map[string]int{}
	for n, r := range f.routers {
		index[r.host] = n
	}
	f.network.Lose(func(from, to netip.Addr, _ []byte) bool {
		return cut.lost(index[from.String()], index[to.String()], routers)
	})
	time.Sleep(cutCalm)
	trace.reset()
	before, started := f.store.Calls(), time.Now()
	f.publish(configWithRoute(2, "new"))
	f.allKnow("a configuration", "version 2, ready i-0 i-1 i-2 i-3 i-4 i-5, leaving ")
	old := f.store.Copy()
	f.register(platformtest.StateLeaving, f.engines[0])
	f.allKnow("a server that leaves", "version 2, ready i-1 i-2 i-3 i-4 i-5, leaving i-0")
	f.store.Put(platform.TopicServers, f.engines[1].ID, nil)
	f.allKnow("a removed server", "version 2, ready i-2 i-3 i-4 i-5, leaving i-0")
	f.store.Restore(old, 5)
	f.register(platformtest.StateLeaving, f.engines[2])
	f.allKnow("a server that leaves in a new era", "version 2, ready i-3 i-4 i-5, leaving i-0 i-2")
	seen := time.Now()
	f.publish(configWithRoute(3, "new"))
	f.allKnow("a configuration in a new era", "version 3, ready i-3 i-4 i-5, leaving i-0 i-2")
	// A router uses removed servers for 2 s after it has seen a new era. The removal of one that is removed at the very beginning
	// of that time takes effect after more than changeWindow.
	time.Sleep(time.Until(seen.Add(eraSettled)))
	f.store.Put(platform.TopicServers, f.engines[3].ID, nil)
	f.allKnow("a server removed in a new era", "version 3, ready i-4 i-5, leaving i-0 i-2")
	changes := time.Since(started).Seconds()
	callsOfChanges := f.store.Calls() - before
	const calm = 4 * time.Second
	calls := f.callsIn(calm)
	t.Logf("%d calls during the changes in %.1f s, %d in the %s after them; %d other routers read", callsOfChanges, changes, calls, calm, f.readers(3))
	trace.report(t)
	// Two topics, each with a wait of 0.8 s at the store and 0.05 s between two calls.
	if limit := (3 + cut.extra) * 2 * 5; calls > limit {
		t.Errorf("%d calls in %s without a change, want at most %d", calls, calm, limit)
	}
	if got := f.readers(3); got > cut.extra {
		t.Errorf("%d other routers read the store, want at most %d", got, cut.extra)
	}
	f.network.Lose(nil)
	f.waitFor("only the first three read the store", func() bool { return f.readers(3) == 0 })
}

// allKnow waits until all routers know what is wanted, for changeWindow at most.
func (f *fleetBed) allKnow(change, want string) {
	f.t.Helper()
	started := time.Now()
	for n, r := range f.routers {
		for r.knowledge().String() != want {
			if time.Since(started) > changeWindow {
				f.t.Errorf("%s: after %s router %d knows %s; want %s", change, changeWindow, n, r.knowledge(), want)
				f.waitFor("it knows the change", func() bool { return r.knowledge().String() == want })
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	f.t.Logf("%s: known to all after %s", change, time.Since(started).Round(time.Millisecond))
}
