package front_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/configdiff"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// largeConfig returns a configuration with many routes, of which a number of keys are those of this version only.
func largeConfig(version, newKeys int) platformtest.Config {
	c := config(version)
	for i := range 300 {
		c.Routes = append(c.Routes, platformtest.Route{Name: fmt.Sprintf("route-%d", i), Kind: "safe", Pool: "pool", Attempts: 1, Timeout: time.Second})
	}
	for range newKeys {
		c.Workspaces[0].Keys = append(c.Workspaces[0].Keys, fmt.Sprintf("%016x", rand.Uint64()))
	}
	return c
}

// followedFleet starts a fleet whose calls to the store are traced, and waits until three routers read the store.
func followedFleet(f *fleetBed, routers int) *fleetTrace {
	f.t.Helper()
	trace := newFleetTrace()
	startFleet(f, routers, trace.followAll)
	f.waitFor("the first three routers read the store", func() bool { return f.readers(0) == 3 && f.readers(3) == 0 })
	return trace
}

// versionInForce waits until a version is in force at all routers, for as long as that may take.
func (f *fleetBed) versionInForce(version int64) {
	f.t.Helper()
	f.waitForUpTo(changeWindow, fmt.Sprintf("version %d is in force", version), func() bool {
		return f.all(func(r *testBed) bool { return r.front.Status().ConfigVersion == version })
	})
}

// isConfigPart reports whether a datagram has a part of a difference of the configuration.
var isConfigPart = func(datagram []byte) bool {
	m, err := digest.Decode(datagram)
	return err == nil && m.ConfigPart != nil
}

// Guards against a call to the store by each router for each version of the configuration, against versions that are put in
// force late or not at all without it, and against evacuations that routers miss which do not read the topic.
func TestVersionsReachRoutersAsDifferences(t *testing.T) {
	inBubble(t, 2, playDifferences)
}

func playDifferences(f *fleetBed) {
	t, trace := f.t, followedFleet(f, *fleetRouters)
	others := len(f.routers) - 3
	f.publish(largeConfig(2, 0))
	f.versionInForce(2)
	trace.reset()
	const versions = 12
	for i := range versions {
		version := int64(3 + i)
		f.publish(largeConfig(int(version), i))
		f.versionInForce(version)
		if i%4 == 1 {
			f.evacuate("hall-b", "{}")
			f.expectEvacuated(usualBound, "after a difference", "hall-b", f.routers...)
			f.evacuate("hall-b", "")
			f.expectEvacuated(usualBound, "after a difference", "", f.routers...)
		}
		time.Sleep(200 * time.Millisecond)
	}
	calls := trace.callsFrom(3)
	fromRouters := 0
	for _, r := range f.routers[3:] {
		if s := r.front.Status(); s.ConfigSource == "router" && s.ConfigHash == f.routers[0].front.Status().ConfigHash {
			fromRouters++
		}
	}
	t.Logf("%d calls of %d routers that are no readers for %d versions; %d have the last one from a router", calls, others, versions, fromRouters)
	// Each reads both topics once in 30 s of its own accord, and a few miss a datagram on a busy machine.
	if limit := 2*others + others/2; calls > limit {
		t.Errorf("%d calls for %d versions, want at most %d", calls, versions, limit)
	}
	if fromRouters < others*3/4 {
		t.Errorf("%d of %d routers have the last version from a router", fromRouters, others)
	}
}

// Guards against a router that misses a difference or a part of it, as of a reader that is killed between two datagrams, and gets the
// version late or never, or reads the store more than once for versions that follow each other.
func TestLostDifferencesLeadToAReadOfTheStore(t *testing.T) {
	for name, lost := range map[string]func(p *configdiff.Part) bool{
		"all parts":   func(*configdiff.Part) bool { return true },
		"second part": func(p *configdiff.Part) bool { return p.Index == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(f *fleetBed) { playLostDifferences(f, lost) })
		})
	}
}

// playLostDifferences loses some parts of the differences for the last router of a fleet.
func playLostDifferences(f *fleetBed, lost func(p *configdiff.Part) bool) {
	const routers = 6
	t, trace := f.t, followedFleet(f, routers)
	last := f.routers[routers-1]
	stop := watchRegress(t, last)
	defer stop()
	var dropped atomic.Int64
	f.publish(largeConfig(2, 200))
	f.versionInForce(2)
	f.network.Lose(func(_, to netip.Addr, b []byte) bool {
		m, err := digest.Decode(b)
		if to.String() != last.host || err != nil || m.ConfigPart == nil || !lost(m.ConfigPart) {
			return false
		}
		dropped.Add(1)
		return true
	})
	time.Sleep(time.Second)
	trace.reset()
	version := 2
	const rounds = 4
	for range rounds {
		for range 3 {
			version++
			f.publish(largeConfig(version, 200))
			time.Sleep(25 * time.Millisecond)
		}
		f.versionInForce(int64(version))
		time.Sleep(time.Second)
	}
	calls := trace.callsFrom(routers - 1)
	t.Logf("%d calls of the router for %d rounds of three versions; %d datagrams were lost", calls, rounds, dropped.Load())
	if dropped.Load() == 0 {
		t.Error("no datagram was lost")
	}
	// The readers may read the first version of a round on its own.
	if s := last.front.Status(); s.ConfigSource != "store" || calls > 2*rounds+2 {
		t.Errorf("%d calls, the version is from the %s; want at most %d, from the store", calls, s.ConfigSource, 2*rounds+2)
	}
	f.network.Lose(nil)
	f.publish(largeConfig(version+1, 0))
	f.versionInForce(int64(version + 1))
	if got := last.front.Status().ConfigSource; got != "router" {
		t.Errorf("the version after the loss is from the %s, want a router", got)
	}
}

// Guards against a router that applies a difference from a reader of an earlier era to a version that the store has lost, and
// against a router in an earlier era that gets no versions of the new one.
func TestDifferencesOfANewEra(t *testing.T) {
	t.Parallel()
	f := &fleetBed{testBed: newTestBedWith(t, 2)}
	followedFleet(f, 6)
	f.publish(config(2))
	f.versionInForce(2)
	old := f.store.Copy()
	f.publish(config(3))
	f.versionInForce(3)
	f.readersEnterEra(old, 5)
	fromRouters := 0
	for version := 3; version <= 5; version++ {
		f.publish(configWithRoute(version, fmt.Sprintf("new%d", version)))
		f.versionInForce(int64(version))
		for _, r := range f.routers[3:] {
			if version == 4 && r.front.Status().ConfigSource == "router" {
				fromRouters++
			}
		}
	}
	if fromRouters == 0 {
		t.Error("no router has the first version of the new era from another one")
	}
	for _, r := range f.routers {
		if got := r.statusOf("/new5/x"); got != http.StatusOK {
			t.Errorf("status %d on a route of the last version, want 200", got)
		}
	}
}

// silentSource is a topic whose calls get no answer.
type silentSource struct{ feed.Source }

func (s silentSource) Newest(ctx context.Context) (feed.Page, error) {
	<-ctx.Done()
	return feed.Page{Era: feed.NoEra}, ctx.Err()
}

func (s silentSource) Read(ctx context.Context, _ int64, _ time.Duration) (feed.Page, error) {
	return s.Newest(ctx)
}

// Guards against routers that start and have no configuration for as long as the store does not give it to them, although others
// have it; and against one that gets an older one.
func TestStartingRoutersGetTheConfigurationFromOthers(t *testing.T) {
	inBubble(t, 2, playStartWithConfigFromOthers)
}

func playStartWithConfigFromOthers(f *fleetBed) {
	t := f.t
	followedFleet(f, 4)
	f.publish(largeConfig(2, 100))
	f.versionInForce(2)
	var late []*testBed
	for range 6 {
		r := f.addRouter()
		topics := 0
		// The first topic is that of the configuration.
		r.wrapSource = func(s feed.Source) feed.Source {
			if topics++; topics == 1 {
				return silentSource{s}
			}
			return s
		}
		late = append(late, r)
		r.start()
	}
	for _, r := range late {
		f.waitFor("a router is ready that the store gives no configuration", r.isReady)
		if s := r.front.Status(); s.ConfigVersion != 2 || s.ConfigSource != "router" || s.ConfigHash != f.routers[0].front.Status().ConfigHash {
			t.Errorf("version %d from the %s with hash %s, want version 2 of the others", s.ConfigVersion, s.ConfigSource, s.ConfigHash)
		}
	}
	f.publish(largeConfig(3, 0))
	f.versionInForce(3)
}
