package front_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// perVersion is the number of engines of each version in these tests, and versionedStreams the
// number of streams that break off.
const (
	perVersion       = 4
	versionedStreams = 40
)

// newVersionedFleet starts routers before engines of two versions, which break each stream off
// that they begin. On the route "single" a router does not continue it. The store has the first
// engines, which are of the first version.
func newVersionedFleet(t *testing.T, routers, registered int, prepare ...func(f *fleetBed)) *fleetBed {
	t.Helper()
	return startVersionedFleet(&fleetBed{testBed: newTestBedWith(t, 0)}, routers, registered, prepare...)
}

// startVersionedFleet is newVersionedFleet in a bed, which may be that of a bubble.
func startVersionedFleet(f *fleetBed, routers, registered int, prepare ...func(f *fleetBed)) *fleetBed {
	f.t.Helper()
	startFleet(f, routers, func(f *fleetBed) {
		for i := range 2 * perVersion {
			e := f.addEngine()
			e.SetVersion(fmt.Sprintf("v%d", 1+i/perVersion))
			e.SetFaults(func(r *http.Request) platformtest.Fault {
				if r.Header.Get(platformtest.HeaderLastEvent) != "" {
					return platformtest.None
				}
				return platformtest.Cut
			})
		}
		f.publish(versionedConfig())
		f.register(platformtest.StateReady, f.engines[:registered]...)
		for _, p := range prepare {
			p(f)
		}
	})
	for _, r := range f.routers {
		r.allowRetries()
	}
	return f
}

func versionedConfig() platformtest.Config {
	c := config(2)
	single := c.Routes[3]
	single.Name, single.Attempts = "single", 1
	c.Routes = append(c.Routes, single)
	return c
}

// versionedPrompt has no part that an engine could have, which would favour its version.
func versionedPrompt(n int) string { return fmt.Sprintf("%x:20", 0x1000+n) }

// begin sends a stream that breaks off, and returns its ID and the last event of the caller.
func (b *testBed) begin(route string, n int) (id, last string, got reply) {
	r := b.request("POST", route+"/x", fmt.Sprint(n), platformtest.HeaderPrompt, versionedPrompt(n), platformtest.HeaderModel, "m")
	id = r.Header.Get(platformtest.HeaderRequestID)
	got = b.do(r)
	for line := range strings.SplitSeq(got.body, "\n") {
		if event, ok := strings.CutPrefix(line, "id: "); ok {
			last = event
		}
	}
	return id, last, got
}

// takeUp continues a stream of another request.
func (b *testBed) takeUp(route string, n int, resumes, last string) (id string, got reply) {
	r := b.request("POST", route+"/x", fmt.Sprint(n), platformtest.HeaderPrompt, versionedPrompt(n),
		platformtest.HeaderModel, "m", platformtest.HeaderResumes, resumes, platformtest.HeaderLastEvent, last)
	return r.Header.Get(platformtest.HeaderRequestID), b.do(r)
}

// versionsOf returns the versions of the engines that got the requests.
func (f *fleetBed) versionsOf(ids ...string) []string {
	var versions []string
	for i, e := range f.engines {
		for _, got := range e.Requests() {
			if version := fmt.Sprintf("v%d", 1+i/perVersion); slices.Contains(ids, got.ID) && !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	return versions
}

// Guards against a router that continues a stream, which its engine has broken off, at an engine of
// another software version.
func TestStreamIsContinuedAtTheVersionThatBeganIt(t *testing.T) {
	inBubble(t, 0, playStreamIsContinuedAtTheVersionThatBeganIt)
}

func playStreamIsContinuedAtTheVersionThatBeganIt(f *fleetBed) {
	t := f.t
	startVersionedFleet(f, 3, 2*perVersion)
	whole := 0
	for n := range versionedStreams {
		id, _, got := f.routers[n%3].begin("/resume", n)
		if versions := f.versionsOf(id); len(versions) > 1 {
			t.Errorf("a stream has events of %v", versions)
		}
		if got.err == nil && got.status == http.StatusOK {
			whole++
		}
	}
	if whole < versionedStreams*9/10 {
		t.Errorf("%d of %d streams were continued", whole, versionedStreams)
	}
}

// Guards against a stream that its caller takes up at another router, which sends it to an engine of
// another software version, also when the first router has ended.
func TestCallerTakesUpAStreamAtTheVersionThatBeganIt(t *testing.T) {
	inBubble(t, 0, playCallerTakesUpAStreamAtTheVersionThatBeganIt)
}

func playCallerTakesUpAStreamAtTheVersionThatBeganIt(f *fleetBed) {
	t := f.t
	startVersionedFleet(f, 4, 2*perVersion)
	type stream struct {
		id, last string
		n        int
	}
	var begun []stream
	for n := range versionedStreams {
		id, last, _ := f.routers[n%4].begin("/single", n)
		begun = append(begun, stream{id, last, n})
		if n%4 != 0 {
			f.expectVersion(f.routers[0], n, id, last)
		}
	}
	f.routers[3].stop()
	whole := 0
	for _, s := range begun {
		if f.expectVersion(f.routers[(s.n+1)%3], s.n, s.id, s.last) {
			whole++
		}
	}
	if whole < versionedStreams*9/10 {
		t.Errorf("%d of %d streams went on", whole, versionedStreams)
	}
}

// expectVersion takes a stream up at a router and reports whether it went on.
func (f *fleetBed) expectVersion(r *testBed, n int, id, last string) bool {
	f.t.Helper()
	if last == "" {
		f.t.Fatal("a stream has no event")
	}
	again, got := r.takeUp("/single", n, id, last)
	if versions := f.versionsOf(id, again); len(versions) > 1 {
		f.t.Errorf("a stream has events of %v", versions)
	}
	return got.err == nil && got.status == http.StatusOK
}

// Guards against a guess when nobody knows which version began a stream, and against a refusal that
// is untrue or late.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	inBubble(t, 0, playStreamOfUnknownVersionIsRefused)
}

func playStreamOfUnknownVersionIsRefused(f *fleetBed) {
	t := f.t
	startVersionedFleet(f, 2, 2*perVersion)
	id, got := f.routers[0].takeUp("/single", 7, "no-such-request", "2")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(f.versionsOf(id)) > 0 {
		t.Errorf("status %d, Retry-After %q, reached %v; want a refusal", got.status, got.header.Get("Retry-After"), f.versionsOf(id))
	}
}

// Guards against a stream that goes on at the new version when a release has removed all engines of
// the one that began it.
func TestStreamOfAVersionThatIsGoneIsRefused(t *testing.T) {
	inBubble(t, 0, playStreamOfAVersionThatIsGoneIsRefused)
}

func playStreamOfAVersionThatIsGoneIsRefused(f *fleetBed) {
	t := f.t
	startVersionedFleet(f, 2, 2*perVersion)
	id, last, _ := f.routers[0].begin("/single", 1)
	gone := f.versionsOf(id)[0]
	for i, e := range f.engines {
		if fmt.Sprintf("v%d", 1+i/perVersion) == gone {
			f.register(platformtest.StateLeaving, e)
		}
	}
	for _, r := range f.routers {
		f.waitFor("the router knows that the engines leave", func() bool { return leaving(r) == perVersion })
	}
	for n, r := range f.routers {
		again, got := r.takeUp("/single", 1, id, last)
		if got.status != http.StatusServiceUnavailable || len(f.versionsOf(again)) > 0 {
			t.Errorf("router %d: status %d, reached %v; want a refusal", n, got.status, f.versionsOf(again))
		}
	}
}

// leaving returns the number of servers that a router knows to leave.
func leaving(b *testBed) int {
	n := 0
	for _, p := range b.front.Status().Pools {
		for _, s := range p.Servers {
			if s.State == "leaving" {
				n++
			}
		}
	}
	return n
}

// Guards against streams that began before the second version was there: nobody would know theirs.
func TestStreamThatBeganBeforeTheSecondVersionGoesOnAtItsOwn(t *testing.T) {
	inBubble(t, 0, playStreamThatBeganBeforeTheSecondVersionGoesOnAtItsOwn)
}

func playStreamThatBeganBeforeTheSecondVersionGoesOnAtItsOwn(f *fleetBed) {
	t := f.t
	startVersionedFleet(f, 3, perVersion)
	type stream struct{ id, last string }
	var begun []stream
	for n := range 8 {
		id, last, _ := f.routers[0].begin("/single", n)
		begun = append(begun, stream{id, last})
	}
	f.register(platformtest.StateReady, f.engines[perVersion:]...)
	for _, r := range f.routers {
		f.waitFor("both versions are there", func() bool { return len(r.front.Status().Pools[0].Servers) == 2*perVersion })
	}
	for n, s := range begun {
		if !f.expectVersion(f.routers[1], n, s.id, s.last) {
			t.Error("the stream did not go on")
		}
	}
}

// restartAll ends all routers at once and starts them again.
func (f *fleetBed) restartAll() {
	f.t.Helper()
	for _, r := range f.routers {
		r.stop()
	}
	for _, r := range f.routers {
		r.start()
	}
	f.waitFor("all routers are ready and know each other", func() bool {
		return f.all(func(r *testBed) bool { return r.isReady() && r.front.Status().Routers == len(f.routers)-1 })
	})
	for _, r := range f.routers {
		r.allowRetries()
	}
}

// versionedStream is a stream that broke off.
type versionedStream struct {
	id, last, version string
	n                 int
}

// beginAll begins streams at all routers. The engine that began one has its prompt cached.
func (f *fleetBed) beginAll() []versionedStream {
	f.t.Helper()
	var begun []versionedStream
	for n := range versionedStreams {
		id, last, _ := f.routers[n%len(f.routers)].begin("/single", n)
		versions := f.versionsOf(id)
		if len(versions) != 1 {
			f.t.Fatalf("a stream was begun by %v", versions)
		}
		for _, e := range f.engines {
			if slices.ContainsFunc(e.Requests(), func(r platformtest.ReceivedRequest) bool { return r.ID == id }) {
				part, _, _ := strings.Cut(versionedPrompt(n), ":")
				e.AddCachedPart(part, 20, "m")
			}
		}
		begun = append(begun, versionedStream{id: id, last: last, version: versions[0], n: n})
	}
	return begun
}

// takeUpAgain takes a stream up at a router and, as callers do, tries again twice when it is refused. It
// returns the version that went on, or nothing.
func (f *fleetBed) takeUpAgain(s versionedStream) string {
	f.t.Helper()
	for try := range 3 {
		id, got := f.routers[(s.n+try)%len(f.routers)].takeUp("/single", s.n, s.id, s.last)
		if got.err == nil && got.status == http.StatusOK {
			return strings.Join(f.versionsOf(id), " and ")
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// checkStreamsGoOn takes all streams up and checks that nearly all go on, each at the version that began it.
func (f *fleetBed) checkStreamsGoOn(begun []versionedStream) {
	f.t.Helper()
	whole := 0
	for _, s := range begun {
		switch version := f.takeUpAgain(s); version {
		case s.version:
			whole++
		case "":
		default:
			f.t.Errorf("a stream of %s went on at %s", s.version, version)
		}
	}
	if whole < versionedStreams*9/10 {
		f.t.Errorf("%d of %d streams went on", whole, versionedStreams)
	}
}

// Guards against streams that end for good, or go on at another version, because all routers that knew
// which version began them have ended.
func TestStreamsGoOnAtTheirVersionAfterAllRoutersHaveEnded(t *testing.T) {
	inBubble(t, 0, playStreamsGoOnAtTheirVersionAfterAllRoutersHaveEnded)
}

func playStreamsGoOnAtTheirVersionAfterAllRoutersHaveEnded(f *fleetBed) {
	startVersionedFleet(f, 3, 2*perVersion)
	begun := f.beginAll()
	f.restartAll()
	f.checkStreamsGoOn(begun)
}

// Guards against streams of a version that is gone, which go on at the only one that is left when all
// routers that knew the other one have ended.
func TestStreamsOfAVersionThatIsGoneAreRefusedAfterAllRoutersHaveEnded(t *testing.T) {
	inBubble(t, 0, playStreamsOfAVersionThatIsGoneAreRefusedAfterAllRoutersHaveEnded)
}

func playStreamsOfAVersionThatIsGoneAreRefusedAfterAllRoutersHaveEnded(f *fleetBed) {
	t := f.t
	startVersionedFleet(f, 3, 2*perVersion)
	begun := f.beginAll()
	for _, e := range f.engines[:perVersion] {
		f.store.Put(platform.TopicServers, e.ID, nil)
	}
	f.restartAll()
	whole, left := 0, 0
	for _, s := range begun {
		if s.version == "v2" {
			left++
		}
		switch version := f.takeUpAgain(s); version {
		case s.version:
			whole++
		case "":
		default:
			t.Errorf("a stream of %s went on at %s", s.version, version)
		}
	}
	if whole < left*9/10 {
		t.Errorf("%d of the %d streams of the version that is left went on", whole, left)
	}
}

// Guards against streams that nobody takes up after a restart of all, because the router that asked the engines
// discovered the others only after it had told them which versions began streams.
func TestStreamsGoOnWhenRoutersDiscoverEachOtherLate(t *testing.T) {
	inBubble(t, 0, playStreamsGoOnWhenRoutersDiscoverEachOtherLate)
}

func playStreamsGoOnWhenRoutersDiscoverEachOtherLate(f *fleetBed) {
	// More routers than are asked for a stream, so that most streams are not asked for at the one that has asked the engines.
	startVersionedFleet(f, 16, 2*perVersion)
	begun := f.beginAll()
	for _, r := range f.routers {
		r.stop()
	}
	seeds, others := f.routers[:3], f.routers[3:]
	for _, r := range others {
		r.start()
	}
	f.waitFor("the engines are asked", func() bool { return f.askedLeast() > 0 })
	time.Sleep(lateSeeds)
	for _, r := range seeds {
		r.start()
	}
	f.waitFor("all routers are ready and know each other", func() bool {
		return f.all(func(r *testBed) bool { return r.isReady() && r.front.Status().Routers == len(f.routers)-1 })
	})
	f.checkStreamsGoOn(begun)
}

// lateSeeds is how much later than the first router asks the engines the seeds start; a second one would ask 1.5 s later.
const lateSeeds = 1200 * time.Millisecond

// killMost ends all routers but the first few at once and starts them again.
func (f *fleetBed) killMost(survivors int) {
	f.t.Helper()
	killed := f.routers[survivors:]
	for _, r := range killed {
		r.front.Crash()
	}
	for _, r := range killed {
		r.start()
	}
	f.waitFor("all routers are ready and know each other", func() bool {
		return f.all(func(r *testBed) bool { return r.isReady() && r.front.Status().Routers == len(f.routers)-1 })
	})
	for _, r := range killed {
		r.allowRetries()
	}
}

// Guards against streams that end for good because the few routers that survived the kill of most did not know them:
// the others get the placements from these, so nobody asked the engines.
func TestStreamsGoOnWhenMostRoutersHaveBeenKilled(t *testing.T) {
	for _, survivors := range []int{1, 3} {
		t.Run(fmt.Sprint(survivors), func(t *testing.T) {
			inBubble(t, 0, func(f *fleetBed) { playKillOfMost(f, survivors) })
		})
	}
}

func playKillOfMost(f *fleetBed, survivors int) {
	startVersionedFleet(f, 9, 2*perVersion)
	f.waitFor("the first inventory is over", func() bool { return f.askedLeast() > 0 })
	begun, asked := f.beginAll(), f.askedMost()
	f.killMost(survivors)
	f.checkStreamsGoOn(begun)
	if n := f.askedMost() - asked; n > 1 {
		f.t.Errorf("an engine was asked %d times after the kill, want at most once", n)
	}
}

// errCut is the error of a call to the store while its router is cut off.
var errCut = errors.New("cut off from the store")

// cutSource is the way to a topic of the store, which may be cut.
type cutSource struct {
	feed.Source
	cut *atomic.Bool
	// silent is set when calls hang while it is cut, instead of failing at once.
	silent bool
}

func (s *cutSource) Newest(ctx context.Context) (feed.Page, error) {
	if s.cut.Load() {
		return s.fail(ctx)
	}
	return s.Source.Newest(ctx)
}

func (s *cutSource) Read(ctx context.Context, from int64, wait time.Duration) (feed.Page, error) {
	if s.cut.Load() {
		return s.fail(ctx)
	}
	page, err := s.Source.Read(ctx, from, wait)
	if s.cut.Load() {
		return s.fail(ctx)
	}
	return page, err
}

// fail ends a call while the way is cut.
func (s *cutSource) fail(ctx context.Context) (feed.Page, error) {
	if s.silent {
		<-ctx.Done()
	}
	return feed.Page{Era: feed.NoEra}, errCut
}

// Guards against a router that is cut off while engines of a new version join, and sends streams which these began
// to engines of the version that it knows: it takes it for the only one. While its calls to the store hang it has not
// noticed that it is cut off.
func TestRouterOutOfStepSendsNoStreamToAnotherVersion(t *testing.T) {
	t.Parallel()
	for name, silent := range map[string]bool{"calls fail": false, "calls hang": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkRouterOutOfStep(t, silent)
		})
	}
}

func checkRouterOutOfStep(t *testing.T, silent bool) {
	checkRoutersOutOfStep(t, 4, 3, silent)
}

// Guards against two of five routers that are cut off together and confirm each other that there is one version: streams that
// the new version began went on at the old one (ORDER).
func TestRoutersCutOffTogetherSendNoStreamToAnotherVersion(t *testing.T) {
	t.Parallel()
	for name, silent := range map[string]bool{"calls fail": false, "calls hang": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkRoutersOutOfStep(t, 5, 3, silent)
		})
	}
}

// Guards against streams that nobody continues because only the router that relayed them knows their version: it stands still, or
// is cut off, before servers of a second version come. Callers that had waited for it took 14 streams up, of which 5 went on (LOST).
func TestStreamsOfARouterThatStandsStillGoOn(t *testing.T) {
	t.Parallel()
	const still = 3
	var link *peerLink
	f := newVersionedFleet(t, 4, perVersion, func(f *fleetBed) {
		for _, r := range f.routers {
			r.restarted = false
		}
		link = newPeerLink(t, f, still)
	})
	var begun []versionedStream
	for n := range versionedStreams {
		id, last, _ := f.routers[still].begin("/single", n)
		begun = append(begun, versionedStream{id: id, last: last, version: "v1", n: n})
	}
	// The others are told of them twice a second.
	time.Sleep(time.Second)
	all := func(netip.Addr, netip.Addr) bool { return true }
	link.drop.Store(&all)
	f.register(platformtest.StateReady, f.engines[perVersion:]...)
	for _, r := range f.routers[:still] {
		f.waitFor("both versions are there", func() bool { return len(r.front.Status().Pools[0].Servers) == 2*perVersion })
	}
	whole := 0
	for _, s := range begun {
		id, got := f.routers[s.n%still].takeUp("/single", s.n, s.id, s.last)
		if got.err == nil && got.status == http.StatusOK {
			whole++
		}
		if versions := strings.Join(f.versionsOf(id), " and "); versions != "" && versions != s.version {
			t.Errorf("a stream of %s went on at %s", s.version, versions)
		}
	}
	if whole < versionedStreams*9/10 {
		t.Errorf("%d of %d streams went on", whole, versionedStreams)
	}
}

// checkRoutersOutOfStep cuts the routers from cutOff on off from the others and the store while servers of a second version
// come, and takes streams up at them.
func checkRoutersOutOfStep(t *testing.T, routers, cutOff int, silent bool) {
	var links []*peerLink
	var storeCut atomic.Bool
	f := newVersionedFleet(t, routers, perVersion, func(f *fleetBed) {
		for i, r := range f.routers {
			// No version is gone that any of them would not know.
			r.restarted = false
			if i >= cutOff {
				links = append(links, newPeerLink(t, f, i))
				r.wrapSource = func(s feed.Source) feed.Source { return &cutSource{s, &storeCut, silent} }
			}
		}
	})
	takeUpAll := func(begun []versionedStream) int {
		var whole atomic.Int64
		var callers sync.WaitGroup
		for i, s := range begun {
			callers.Go(func() {
				id, got := f.routers[cutOff+i%len(links)].takeUp("/single", s.n, s.id, s.last)
				if got.err != nil || got.status != http.StatusOK {
					return
				}
				whole.Add(1)
				if version := strings.Join(f.versionsOf(id), " and "); version != s.version {
					t.Errorf("a stream of %s went on at %s", s.version, version)
				}
			})
		}
		callers.Wait()
		return int(whole.Load())
	}
	begin := func() []versionedStream {
		var begun []versionedStream
		for n := range versionedStreams {
			id, last, _ := f.routers[n%cutOff].begin("/single", n)
			begun = append(begun, versionedStream{id: id, last: last, version: strings.Join(f.versionsOf(id), " and "), n: n})
		}
		return begun
	}
	if whole := takeUpAll(begin()); whole < versionedStreams*9/10 {
		t.Errorf("%d of %d streams of the only version went on", whole, versionedStreams)
	}
	isCutOff := func(addr netip.Addr) bool {
		return slices.ContainsFunc(f.routers[cutOff:], func(r *testBed) bool { return r.host == addr.String() })
	}
	toOthers := func(from, to netip.Addr) bool { return !isCutOff(from) || !isCutOff(to) }
	storeCut.Store(true)
	for _, link := range links {
		link.drop.Store(&toOthers)
	}
	f.register(platformtest.StateReady, f.engines[perVersion:]...)
	for _, r := range f.routers[:cutOff] {
		f.waitFor("both versions are there", func() bool { return len(r.front.Status().Pools[0].Servers) == 2*perVersion })
	}
	begun := begin()
	takeUpAll(begun)
	storeCut.Store(false)
	for _, link := range links {
		link.drop.Store(nil)
	}
	f.waitFor("streams go on again", func() bool { return takeUpAll(begun) >= versionedStreams*9/10 })
}
