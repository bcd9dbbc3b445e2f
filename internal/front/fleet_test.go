package front_test

import (
	"flag"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
)

var (
	fleetRouters = flag.Int("front.routers", 20, "number of routers of the fleet that sees a new era")
	fleetWait    = flag.Duration("front.wait", waitTimeout, "longest wait until the routers of a fleet know each other")
)

// fleetBed is a fleet of routers with one store. Each router is reached through a
// test bed of its own, which shares store and servers with the others.
type fleetBed struct {
	*testBed
	routers []*testBed
}

// newFleet starts n routers of a fleet that has run before, with the first three as
// seeds, and waits until all are ready.
func newFleet(t *testing.T, n, engines int) *fleetBed {
	t.Helper()
	return newFleetWith(t, n, engines, func(*fleetBed) {})
}

// newFleetWith is newFleet with a function that is called before the routers start.
func newFleetWith(t *testing.T, n, engines int, prepare func(f *fleetBed)) *fleetBed {
	t.Helper()
	return startFleet(&fleetBed{testBed: newTestBedWith(t, engines)}, n, prepare)
}

// startFleet starts the routers of newFleetWith in a bed.
func startFleet(f *fleetBed, n int, prepare func(f *fleetBed)) *fleetBed {
	f.t.Helper()
	f.publish(config(1))
	f.register(platformtest.StateReady, f.engines...)
	f.store.SetEra("4")
	for range n {
		f.addRouter()
	}
	prepare(f)
	for _, r := range f.routers {
		r.start()
	}
	f.waitForUpTo(*fleetWait, "all routers are ready and know each other", func() bool {
		for _, r := range f.routers {
			if !r.isReady() || r.front.Status().Routers != n-1 {
				return false
			}
		}
		return true
	})
	return f
}

// addRouter adds a router that is not started yet.
func (f *fleetBed) addRouter() *testBed {
	r := &testBed{t: f.t, store: f.store, engines: f.engines, restarted: true, network: f.network}
	if f.network != nil {
		// In order, and longer than any fleet.
		r.host = netip.AddrFrom4([4]byte{10, 1, byte(len(f.routers) >> 8), byte(len(f.routers))}).String()
	} else {
		r.host = testport.Host()
	}
	f.routers = append(f.routers, r)
	// All routers receive digests on the same port.
	r.peersPort = f.routers[0].peersPort
	if r.peersPort == 0 && f.network != nil {
		r.peersPort = bubblePeersPort
	}
	if r.peersPort == 0 {
		r.peersPort = testport.FreeAddrs(f.t, r.host, 1)[0].Port()
	}
	for _, seed := range f.routers[:min(3, len(f.routers))] {
		r.seeds = append(r.seeds, netip.AddrPortFrom(netip.MustParseAddr(seed.host), 1))
	}
	return r
}

// startBehindLink adds and starts a router whose first reads of the store are answered only once it has heard the version in
// force of another router. A router that starts waits 25 ms for that, which is too short when the machine is slow. It returns
// when the router has held the store's configuration back.
func (f *fleetBed) startBehindLink() *testBed {
	f.t.Helper()
	late := f.addRouter()
	store := newStoreLink(f.t, f.store.Addr())
	late.storeAddr = strings.TrimPrefix(store.server.URL, "http://")
	heldBack := countEvents(late, event.ConfigHeldBack)
	store.setCut(true)
	late.start()
	// What names the era names the version in force too.
	f.waitFor("the late router knows the others", func() bool {
		status := late.front.Status()
		return status.Routers == len(f.routers)-1 && status.ReportedEra == 5
	})
	store.setCut(false)
	f.waitFor("the late router holds the store's configuration back", func() bool { return heldBack.Load() > 0 })
	return late
}

// Guards against a router that starts while the store has an older configuration and
// puts it in force although a live router has a newer one.
func TestStartingRouterPutsNoOlderConfigurationInForce(t *testing.T) {
	f := newFleet(t, 2, 2)
	old := f.store.Copy()
	f.publish(configWithRoute(2, "new"))
	f.waitFor("version 2 is in force", func() bool {
		return f.routers[0].statusOf("/new/x") == http.StatusOK && f.routers[1].statusOf("/new/x") == http.StatusOK
	})
	f.store.Restore(old, 5)
	// Before that the others give it their configuration.
	f.waitFor("the others have seen the new era", func() bool { return f.all(func(r *testBed) bool { return r.front.Status().StoreEra == 5 }) })
	late := f.startBehindLink()
	calls := f.store.Calls()
	f.waitFor("the store has been called", func() bool { return f.store.Calls() > calls+10 })
	if got := late.front.Status().ConfigVersion; got != 0 || late.isReady() {
		t.Fatalf("version %d is in force, ready: %v; want none while the others have version 2", got, late.isReady())
	}
	if got := late.statusOf("/new/x"); got != http.StatusServiceUnavailable {
		t.Errorf("status %d before any configuration, want 503", got)
	}
	f.publish(configWithRoute(2, "new"))
	f.waitFor("the configuration that was written again is in force", func() bool { return late.statusOf("/new/x") == http.StatusOK })
}

// Guards against a router that waits for good for a configuration that no live router
// has any more.
func TestHeldConfigurationIsReleasedWithItsHolders(t *testing.T) {
	f := newFleet(t, 1, 2)
	old := f.store.Copy()
	f.publish(configWithRoute(2, "new"))
	f.waitFor("version 2 is in force", func() bool { return f.routers[0].statusOf("/new/x") == http.StatusOK })
	f.store.Restore(old, 5)
	// Before that the others give it their configuration.
	f.waitFor("the others have seen the new era", func() bool { return f.all(func(r *testBed) bool { return r.front.Status().StoreEra == 5 }) })
	late := f.startBehindLink()
	if late.isReady() {
		t.Error("ready with an older configuration than that of a live router")
	}
	f.routers[0].stop()
	f.waitFor("the store's configuration is in force", func() bool { return late.front.Status().ConfigVersion == 1 })
}

// Guards against a fleet in which every router calls the store when it comes back from
// an older copy, against routers that are not told what has changed, and against
// removals that only the readers learn of.
func TestNewEraCostsFewCallsAndReachesAllRouters(t *testing.T) {
	inBubble(t, 3, playNewEra)
}

func playNewEra(f *fleetBed) {
	t, routers := f.t, *fleetRouters
	begun := time.Now()
	trace := newFleetTrace()
	startFleet(f, routers, trace.followAll)
	gone, leaving := f.engines[0], f.engines[1]
	f.store.Put(platform.TopicServers, gone.ID, nil)
	f.waitFor("all routers know that a server is gone", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("ready") == 2 }) })
	old := f.store.Copy()
	f.register(platformtest.StateReady, f.engines...)
	f.waitFor("all routers know all servers", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("ready") == 3 }) })
	if time.Since(begun) > waitTimeout {
		// Each router reads the store 27 to 33 s after its first reads, whatever happens.
		f.waitForUpTo(2*waitTimeout, "no router reads the store of its own accord", func() bool {
			return time.Since(begun) > 36*time.Second && f.callsIn(time.Second) < 30
		})
	}
	t.Logf("from the start to the era: %d calls", f.store.Calls())
	trace.report(t)
	trace.reset()
	before := f.store.Calls()
	f.network.ResetBytes()
	f.store.Restore(old, 5)
	started := time.Now()
	f.register(platformtest.StateLeaving, leaving)
	f.waitFor("all routers know that a server leaves", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("leaving") == 1 }) })
	f.waitFor("all routers know that a server is gone", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("ready") == 1 }) })
	seconds := time.Since(started).Seconds()
	calls := f.store.Calls() - before
	entered := 0
	for _, r := range f.routers {
		if r.front.Status().StoreEra == 5 {
			entered++
		}
	}
	t.Logf("%d routers: %d calls in %.1f s after the era began, which %d routers have read; the fleet is %.0f s old", routers, calls, seconds, entered, time.Since(begun).Seconds())
	trace.report(t)
	for name, r := range map[string]*testBed{"a reader": f.routers[0], "another router": f.routers[routers-1]} {
		sent, received := f.network.Bytes(netip.MustParseAddr(r.host))
		t.Logf("%s sent %d and received %d bytes of digests", name, sent, received)
	}
	// Three readers with two topics call about 4 times a second each, and lists have two pages here.
	if limit := int(60 + 24*seconds); calls > limit {
		t.Errorf("%d calls in %.1f s, want at most %d", calls, seconds, limit)
	}
}

// Guards against a fleet in which every router calls the store when all miss the digests
// of the readers for a moment, as when bursts of datagrams overflow their sockets.
func TestLostDigestsOfTheReadersCostFewCalls(t *testing.T) {
	inBubble(t, 1, playLostDigests)
}

func playLostDigests(f *fleetBed) {
	t, routers := f.t, *fleetRouters
	begun := time.Now()
	trace := newFleetTrace()
	startFleet(f, routers, trace.followAll)
	if time.Since(begun) > waitTimeout {
		f.waitForUpTo(2*waitTimeout, "no router reads the store of its own accord", func() bool {
			return time.Since(begun) > 36*time.Second && f.callsIn(time.Second) < 30
		})
	}
	f.waitFor("only the first three read the store", func() bool { return f.readers(0) == 3 && f.readers(3) == 0 })
	trace.reset()
	before, started := f.store.Calls(), time.Now()
	f.network.Lose(func(from, _ netip.Addr, _ []byte) bool {
		return slices.ContainsFunc(f.routers[:3], func(r *testBed) bool { return r.host == from.String() })
	})
	f.waitFor("others read the store", func() bool { return f.readers(3) >= 3 })
	// Three times as long as a router counts as a reader after its last digest.
	time.Sleep(3 * time.Second)
	f.network.Lose(nil)
	f.waitFor("only the first three read the store", func() bool { return f.readers(3) == 0 })
	seconds := time.Since(started).Seconds()
	calls := f.store.Calls() - before
	t.Logf("%d routers: %d calls in %.1f s, in which the readers' digests were lost; the fleet is %.0f s old", routers, calls, seconds, time.Since(begun).Seconds())
	trace.report(t)
	// As for a new era; six routers read.
	if limit := int(60 + 24*seconds); calls > limit {
		t.Errorf("%d calls in %.1f s, want at most %d", calls, seconds, limit)
	}
}

// readers returns how many routers from the n-th on are readers of the store.
func (f *fleetBed) readers(n int) int {
	count := 0
	for _, r := range f.routers[n:] {
		if r.front.Status().Reader {
			count++
		}
	}
	return count
}

// callsIn returns the calls that the store gets in a period.
func (f *fleetBed) callsIn(period time.Duration) int {
	before := f.store.Calls()
	time.Sleep(period)
	return f.store.Calls() - before
}

func (f *fleetBed) all(check func(r *testBed) bool) bool {
	for _, r := range f.routers {
		if !check(r) {
			return false
		}
	}
	return true
}

// readersEnterEra restores a copy of the store and waits until the readers, the first
// three routers, have seen the new era.
func (f *fleetBed) readersEnterEra(old platformtest.Copy, era int64) {
	f.t.Helper()
	f.store.Restore(old, era)
	f.waitFor("the readers have seen the new era", func() bool {
		for _, r := range f.routers[:3] {
			if r.front.Status().StoreEra != era {
				return false
			}
		}
		return true
	})
}

// Guards against a router that knows the servers from the older copy only and gets
// nothing of what servers write again, because the readers knew it before the store
// lost it: it would use a server that leaves or has left until its next own read, 30 s
// later.
func TestServersWrittenAgainReachARouterThatKnowsOnlyTheCopy(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.store.Put(platform.TopicServers, f.engines[2].ID, nil)
	f.waitFor("a server is gone", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("ready") == 3 }) })
	old := f.store.Copy()
	f.register(platformtest.StateLeaving, f.engines[0])
	f.store.Put(platform.TopicServers, f.engines[1].ID, nil)
	f.register(platformtest.StateReady, f.engines[2])
	f.waitFor("all routers know the servers", func() bool {
		return f.all(func(r *testBed) bool { return r.serversIn("ready") == 2 && r.serversIn("leaving") == 1 })
	})
	f.readersEnterEra(old, 5)
	late := f.addRouter()
	late.start()
	f.waitFor("a router that starts has the copy's servers", func() bool {
		return late.isReady() && late.serversIn("ready") == 3 && !late.front.Status().Reader
	})
	f.register(platformtest.StateLeaving, f.engines[0])
	f.store.Put(platform.TopicServers, f.engines[1].ID, nil)
	f.register(platformtest.StateReady, f.engines[2])
	f.waitFor("it knows what the servers have written again", func() bool {
		return late.serversIn("ready") == 2 && late.serversIn("leaving") == 1
	})
}

// Guards against a router that knows the servers from the older copy only and keeps one that
// has left, because the readers knew that before and find it again only in a list: the
// store has deleted the record of it.
func TestRemovalFoundByAListReachesARouterThatKnowsOnlyTheCopy(t *testing.T) {
	f := newFleet(t, 3, 3)
	old := f.store.Copy()
	f.store.Put(platform.TopicServers, f.engines[1].ID, nil)
	f.waitFor("a server is gone", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("ready") == 2 }) })
	f.readersEnterEra(old, 5)
	late := f.addRouter()
	late.start()
	f.waitFor("a router that starts has the copy's servers", func() bool {
		return late.isReady() && late.serversIn("ready") == 3 && !late.front.Status().Reader
	})
	// A read that waits at the store since the start ends within 1.8 s.
	time.Sleep(2 * time.Second)
	f.store.PutAndDropHistory(platform.TopicServers, f.engines[1].ID, nil)
	f.waitFor("it knows that the server is gone", func() bool { return late.serversIn("ready") == 2 })
}

// Guards against a router that had not read the newest configuration before the store
// lost it and gets it only by its own read 30 s after the operators have written it
// again, because the readers had it before and report no change.
func TestConfigurationWrittenAgainReachesARouterThatMissedIt(t *testing.T) {
	var link *peerLink
	f := newFleetWith(t, 4, 2, func(f *fleetBed) { link = newPeerLink(t, f, 3) })
	other := f.routers[3]
	// It gets no differences, so it reads the versions itself.
	link.discard.Store(&isConfigPart)
	old := f.store.Copy()
	f.publish(config(2))
	f.publish(configWithRoute(3, "new"))
	f.waitFor("the readers have version 3", func() bool {
		for _, r := range f.routers[:3] {
			if r.front.Status().ConfigVersion != 3 {
				return false
			}
		}
		return true
	})
	// The fourth router leaves the change half a second to be followed by further ones.
	// After two changes it reads the newest records at once.
	f.readersEnterEra(old, 5)
	f.waitFor("the fourth router has read the copy", func() bool { return other.front.Status().StoreEra == 5 })
	t.Logf("the fourth router has version %d", other.front.Status().ConfigVersion)
	f.publish(configWithRoute(3, "new"))
	f.waitFor("the configuration that was written again is in force", func() bool { return other.statusOf("/new/x") == http.StatusOK })
}

// Guards against a removed server that is used for another 2 s by a router that has to
// read the store itself long after the store came back: its first answer in the new
// era is no sign that entries of live servers are still missing.
func TestLateEntryIntoAnEraHasNoGrace(t *testing.T) {
	f := newFleet(t, 4, 3)
	other := f.routers[3]
	f.store.Put(platform.TopicServers, f.engines[2].ID, nil)
	f.waitFor("a server is gone", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("ready") == 2 }) })
	old := f.store.Copy()
	f.register(platformtest.StateReady, f.engines[2])
	f.waitFor("the server is back", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("ready") == 3 }) })
	f.readersEnterEra(old, 5)
	f.waitFor("the grace of the new era has ended", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("ready") == 2 }) })
	t.Logf("the fourth router is in era %d", other.front.Status().StoreEra)
	f.store.SetErrorStatus(http.StatusServiceUnavailable)
	f.store.Put(platform.TopicServers, f.engines[1].ID, nil)
	for _, r := range f.routers[:3] {
		r.stop()
	}
	f.store.SetErrorStatus(0)
	f.waitFor("the fourth router reads the store", func() bool { return other.front.Status().StoreEra == 5 })
	seen := time.Now()
	f.waitFor("the removed server is gone", func() bool { return other.serversIn("ready") == 1 })
	// A tenth of the grace for the polls of this test and of the router.
	if used := time.Since(seen); used > registry.RemovalGrace*9/10 {
		t.Errorf("the removed server was used for another %s", used)
	}
}

// Guards against a router that does not follow the others because it has seen none of the
// answers of an era, or of two: changes of servers in a later era, a configuration at a
// lower offset than the one in force, and the reads that it makes itself once the readers
// have stopped.
func TestRouterThatMissedErasFollowsTheOthers(t *testing.T) {
	var store *storeLink
	f := newFleetWith(t, 4, 4, func(f *fleetBed) {
		store = newStoreLink(t, f.store.Addr())
		f.routers[3].storeAddr = strings.TrimPrefix(store.server.URL, "http://")
	})
	other := f.routers[3]
	first, second := f.store.Copy(), f.store.Copy()
	f.publish(config(2))
	f.publish(config(3))
	f.waitFor("version 3 is in force", func() bool { return f.all(func(r *testBed) bool { return r.front.Status().ConfigVersion == 3 }) })
	// When digests are late, the fourth router reads the store itself for a moment and would see the eras.
	store.setCut(true)
	for i, old := range []platformtest.Copy{first, second} {
		era := int64(5 + i)
		f.readersEnterEra(old, era)
		f.register(platformtest.StateLeaving, f.engines[i])
		f.waitFor("all routers know that a server leaves", func() bool { return f.all(func(r *testBed) bool { return r.serversIn("leaving") == i+1 }) })
		if s := other.front.Status(); s.StoreEra != 4 || s.ReportedEra != era {
			t.Errorf("the fourth router is in era %d and has heard of era %d, want 4 and %d", s.StoreEra, s.ReportedEra, era)
		}
	}
	store.setCut(false)
	f.publish(configWithRoute(4, "new"))
	f.waitFor("the configuration at a lower offset is in force", func() bool { return other.statusOf("/new/x") == http.StatusOK })
	for _, r := range f.routers[:3] {
		r.stop()
	}
	f.register(platformtest.StateLeaving, f.engines[2])
	f.waitFor("the last router reads the store", func() bool { return other.serversIn("leaving") == 3 && other.front.Status().StoreEra == 6 })
}

// Guards against an entry of another writer, with a value that is too long for a datagram, which keeps
// the changes beside it from the routers that do not read the store.
func TestLongEntryDoesNotHoldUpOtherChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6, 3)
	for i, field := range []string{"upstream", "version", "zone"} {
		gone := f.engines[i]
		gone.SetVersion("v1")
		odd := strings.Replace(string(gone.Entry("pool", platformtest.StateReady)), `"`+field+`":"`, `"`+field+`":"`+strings.Repeat("x", 100_000), 1)
		f.store.Put(platform.TopicServers, "odd-"+field, []byte(odd))
		f.store.Put(platform.TopicServers, gone.ID, nil)
		f.waitForUpTo(5*time.Second, "all routers know that a server is gone, beside an odd "+field, func() bool {
			return f.all(func(r *testBed) bool { return !r.lists(gone.ID) })
		})
	}
}

// lists reports whether the router has a server in its list.
func (b *testBed) lists(id string) bool {
	return slices.ContainsFunc(b.front.Status().Pools, func(p forward.PoolStatus) bool {
		return slices.ContainsFunc(p.Servers, func(s forward.ServerStatus) bool { return s.ID == id })
	})
}
