package front_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/front"
	"github.com/bluebellwell/bluebellwell/platform"
)

// rejectedMemory is a way to the store's memory on which calls may fail.
type rejectedMemory struct {
	front.Memory
	reject *atomic.Bool
	reads  *atomic.Int64
}

func (m *rejectedMemory) Read(ctx context.Context, key string) ([]byte, int64, error) {
	if m.reject.Load() {
		m.reads.Add(1)
		return nil, 0, errCut
	}
	return m.Memory.Read(ctx, key)
}

// newKilledFleet returns a fleet whose streams have broken off, these streams, and how often an engine was asked by then.
func newKilledFleet(t *testing.T, routers int, prepare ...func(f *fleetBed)) (f *fleetBed, begun []versionedStream, asked int) {
	f = newVersionedFleet(t, routers, 2*perVersion, prepare...)
	f.waitFor("the first inventory is over", func() bool { return f.askedLeast() > 0 })
	return f, f.beginAll(), f.askedMost()
}

// Guards against streams that end for good because the survivor that has claimed the question for their versions has ended.
func TestSurvivorThatEndsAfterItsClaimIsReplaced(t *testing.T) {
	t.Parallel()
	f, begun, asked := newKilledFleet(t, 9)
	claim := fmt.Sprintf(`{"written_at_ms":%d,"router":"1","number":1}`, time.Now().UnixMilli())
	f.store.Put(platform.TopicRouters, "versions-claim", []byte(claim))
	f.killMost(3)
	f.waitFor("the engines are asked", func() bool { return f.askedLeast() > asked })
	f.checkStreamsGoOn(begun)
	if n := f.askedMost() - asked; n > 1 {
		t.Errorf("an engine was asked %d times after the kill, want at most once", n)
	}
}

// Guards against streams that end for good because the store rejects the first survivors, and against calls without bound of
// these.
func TestSurvivorsThatTheStoreRejectsAreReplaced(t *testing.T) {
	t.Parallel()
	const rejected = 3
	var reject atomic.Bool
	var reads atomic.Int64
	f, begun, asked := newKilledFleet(t, 9, func(f *fleetBed) {
		for _, r := range f.routers[:rejected] {
			r.wrapMemory = func(m front.Memory) front.Memory { return &rejectedMemory{m, &reject, &reads} }
		}
	})
	reject.Store(true)
	f.killMost(rejected + 1)
	f.waitFor("the engines are asked", func() bool { return f.askedLeast() > asked })
	f.checkStreamsGoOn(begun)
	if n := f.askedMost() - asked; n > 1 {
		t.Errorf("an engine was asked %d times after the kill, want at most once", n)
	}
	// Each waits twice as long after each call, for the 10 s for which restarts count.
	if n := reads.Load(); n == 0 || n > 6*rejected {
		t.Errorf("%d calls of survivors that the store rejects, want 1 to %d", n, 6*rejected)
	}
}

// Guards against streams that end for good because no engine answers the survivor that asks.
func TestSurvivorThatReachesNoEngineIsReplaced(t *testing.T) {
	t.Parallel()
	var cut atomic.Bool
	f, begun, asked := newKilledFleet(t, 9, func(f *fleetBed) { f.routers[0].cutInventory = &cut })
	cut.Store(true)
	f.killMost(3)
	f.waitFor("the engines are asked", func() bool { return f.askedLeast() > asked })
	f.checkStreamsGoOn(begun)
}

// secondClaim is longer than the time after which a survivor replaces one that has claimed the question.
const secondClaim = 3 * time.Second

// Guards against engines that each survivor asks in turn because it does not know that another one has.
func TestSurvivorsAskOnce(t *testing.T) {
	t.Parallel()
	f, _, asked := newKilledFleet(t, 9)
	f.killMost(4)
	f.waitFor("the engines are asked", func() bool { return f.askedLeast() > asked })
	time.Sleep(secondClaim)
	if n := f.askedMost() - asked; n > 1 {
		t.Errorf("an engine was asked %d times after the kill, want at most once", n)
	}
}

// Guards against streams that routers refuse which were not back yet when a survivor told the others which versions began
// them: it has to tell these as well.
func TestRoutersThatReturnLateAreToldTheVersions(t *testing.T) {
	t.Parallel()
	const late = 3
	f, begun, asked := newKilledFleet(t, 9)
	killed := f.routers[1:]
	for _, r := range killed {
		r.front.Crash()
	}
	early, last := killed[:len(killed)-late], killed[len(killed)-late:]
	for _, r := range early {
		r.start()
	}
	f.waitFor("the engines are asked", func() bool { return f.askedLeast() > asked })
	time.Sleep(toldOnce)
	for _, r := range last {
		r.start()
	}
	f.waitFor("all routers are ready and know each other", func() bool {
		return f.all(func(r *testBed) bool { return r.isReady() && r.front.Status().Routers == len(f.routers)-1 })
	})
	time.Sleep(toldAgain)
	f.routers[0].stop()
	for _, r := range early {
		r.stop()
	}
	f.routers = last
	whole := 0
	for _, s := range begun {
		switch version := f.takeUpAgain(s); version {
		case s.version:
			whole++
		case "":
		default:
			t.Errorf("a stream of %s went on at %s", s.version, version)
		}
	}
	// Three of the eight other routers are told of each stream, one of the last three in 46 of 56 cases.
	if whole < versionedStreams/2 {
		t.Errorf("%d of %d streams went on at routers that returned late", whole, versionedStreams)
	}
}

const (
	// toldOnce is the time in which a survivor that has asked the engines has told the others.
	toldOnce = 200 * time.Millisecond
	// toldAgain is the time for which it tells routers of which it hears later.
	toldAgain = 3 * time.Second
)
