package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Parts of prompts: one that all share, and one that crashes each engine that begins to
// answer a request with it.
const (
	commonPart   = "5c1e07a2"
	crashingPart = "bad0bad0"
)

// stableTime is stableWindowMs of the platform's bounds. It begins after the fifth crash under
// a part, and the third under one request. Later, at most lateLimit such requests may reach
// engines.
const (
	stableTime          = 3 * time.Second
	crashLimitOfPart    = 5
	crashLimitOfRequest = 3
	lateLimit           = 3
)

// crashes are the engines that requests of one kind have crashed.
type crashes struct {
	// of reports whether a request crashes engines.
	of func(*http.Request) bool
	mu sync.Mutex
	at []time.Time
	// reached holds when such requests reached engines.
	reached []time.Time
}

// hasCrashingPart reports whether a request has crashingPart.
func hasCrashingPart(r *http.Request) bool {
	return strings.Contains(r.Header.Get(platformtest.HeaderPrompt), crashingPart)
}

// newCrashingEngine starts an engine that ends, with its listener and all its connections,
// when it begins to answer a request that crashes engines. Other requests take a while.
func newCrashingEngine(t *testing.T, id string, c *crashes) *platformtest.Engine {
	t.Helper()
	var e *platformtest.Engine
	var ending sync.Once
	var closing sync.WaitGroup
	e = platformtest.NewObservedEngine(id, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !c.of(r) {
				next.ServeHTTP(w, r)
				return
			}
			c.record(&c.reached)
			ending.Do(func() {
				c.record(&c.at)
				closing.Go(e.Close)
			})
			panic(http.ErrAbortHandler)
		})
	})
	e.SetDelay(5 * time.Millisecond)
	t.Cleanup(func() {
		e.Close()
		closing.Wait()
	})
	return e
}

func (c *crashes) record(list *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, time.Now())
}

// count returns the number of crashes.
func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// late returns how many requests that crash engines reached them after stableTime since a
// number of crashes.
func (c *crashes) late(limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < limit {
		return 0
	}
	from := c.at[limit-1].Add(stableTime)
	n := 0
	for _, at := range c.reached {
		if at.After(from) {
			n++
		}
	}
	return n
}

// newCrashingFleet starts routers before engines that some requests crash.
func newCrashingFleet(t *testing.T, routers, engines int, of func(*http.Request) bool, prepare ...func(f *fleetBed)) (*fleetBed, *crashes) {
	t.Helper()
	c := &crashes{of: of}
	f := newFleetWith(t, routers, 0, func(f *fleetBed) {
		for _, p := range prepare {
			p(f)
		}
		for i := range engines {
			f.engines = append(f.engines, newCrashingEngine(t, fmt.Sprintf("i-%d", i), c))
		}
		f.register(platformtest.StateReady, f.engines...)
	})
	return f, c
}

// prompted sends a request with parts of a prompt, and a last part of its own, to a router.
func (b *testBed) prompted(route string, parts ...string) reply {
	var prompt strings.Builder
	for _, p := range parts {
		prompt.WriteString(p + ":400,")
	}
	fmt.Fprintf(&prompt, "%x:20", 0x1000+requests.Add(1))
	return b.do(b.request("POST", route, "x", platformtest.HeaderPrompt, prompt.String(), platformtest.HeaderModel, "m"))
}

// Guards against a part of prompts that crashes engine after engine, because each router
// sends requests with it to the next one.
func TestPartThatCrashesEnginesIsKeptFromThem(t *testing.T) {
	t.Parallel()
	f, c := newCrashingFleet(t, 3, 60, hasCrashingPart)
	sound := 0
	start := time.Now()
	for i := 0; time.Since(start) < stableTime+3*time.Second; i++ {
		r := f.routers[i%len(f.routers)]
		// Both kinds of route: one whose requests may be repeated, and one whose may not.
		r.prompted([]string{"/stream/x", "/resume/x"}[i%2], commonPart, crashingPart, fmt.Sprintf("%x", i))
		if got := r.prompted("/stream/x", commonPart, fmt.Sprintf("50%x", i%5)); got.status == http.StatusOK {
			sound++
		}
		time.Sleep(80 * time.Millisecond)
	}
	if n := c.late(crashLimitOfPart); n > lateLimit {
		t.Errorf("%d requests with the part reached engines later than %v after the fifth of %d crashes, want at most %d", n, stableTime, c.count(), lateLimit)
	}
	if c.count() == 0 || sound < 20 {
		t.Errorf("%d crashes, %d sound requests served", c.count(), sound)
	}
}

// Guards against a router that has just started and sends requests to engines which the others
// know to crash them, and against a caller that is not told when to come back.
func TestRouterThatStartsKnowsThePartsThatCrashEngines(t *testing.T) {
	t.Parallel()
	f, c := newCrashingFleet(t, 2, 30, hasCrashingPart)
	f.quarantine(c)
	late := f.addRouter()
	late.start()
	f.waitFor("the late router is ready and knows the part", func() bool {
		return late.isReady() && len(late.front.Status().QuarantinedParts) == 1
	})
	crashed := c.count()
	got := late.prompted("/resume/x", commonPart, crashingPart)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || c.count() != crashed {
		t.Errorf("status %d, Retry-After %q, %d further crashes; want a refusal", got.status, got.header.Get("Retry-After"), c.count()-crashed)
	}
}

// Guards against parts that are refused because engines ended under them by chance, as when a
// rack goes down three times.
func TestPartsOfEnginesThatEndByChanceAreServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 12)
	for _, e := range f.engines {
		e.SetDelay(20 * time.Millisecond)
	}
	for rack := range 3 {
		var callers sync.WaitGroup
		for i := range 24 {
			callers.Go(func() { f.routers[i%3].prompted("/stream/x", commonPart, fmt.Sprintf("50%x", i%6)) })
		}
		time.Sleep(10 * time.Millisecond)
		for _, e := range f.engines[3*rack : 3*rack+3] {
			callers.Go(e.Close)
		}
		callers.Wait()
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for i := range 12 {
		if got := f.routers[i%3].prompted("/resume/x", commonPart, fmt.Sprintf("50%x", i%6)); got.status != http.StatusOK {
			t.Errorf("status %d for a sound request", got.status)
		}
	}
}

// quarantine makes the routers of a fleet blame crashingPart.
func (f *fleetBed) quarantine(c *crashes) {
	f.t.Helper()
	for i := range 4 {
		f.routers[i%len(f.routers)].prompted("/stream/x", commonPart, crashingPart, fmt.Sprintf("%x", i))
		f.waitFor("the crash is known", func() bool { return c.count() > min(i, 2) })
		time.Sleep(300 * time.Millisecond)
		f.routers[i%len(f.routers)].prompted("/stream/x", commonPart)
	}
	f.waitFor("the part is quarantined", func() bool { return len(f.routers[0].front.Status().QuarantinedParts) == 1 })
}

// partsKey is the key under which routers keep the quarantined parts and requests.
const partsKey = "quarantined-parts"

// Guards against a restart of all routers, after which the part ends as many engines again.
func TestPartsThatCrashEnginesOutliveAllRouters(t *testing.T) {
	t.Parallel()
	f, c := newCrashingFleet(t, 2, 30, hasCrashingPart)
	f.quarantine(c)
	f.waitFor("the part is in the store", func() bool { return f.store.Appends(partsKey) > 0 })
	for _, r := range f.routers {
		r.stop()
	}
	crashed := c.count()
	f.routers = nil
	late := f.addRouter()
	late.startReady()
	f.waitFor("the router that has started knows the part", func() bool { return len(late.front.Status().QuarantinedParts) == 1 })
	if got := late.prompted("/resume/x", commonPart, crashingPart); got.status != http.StatusServiceUnavailable || c.count() != crashed {
		t.Errorf("status %d, %d further crashes; want a refusal", got.status, c.count()-crashed)
	}
	if n := f.store.Appends(partsKey); n > 3 {
		t.Errorf("%d records for one part", n)
	}
}

// Guards against quarantined parts that nobody writes, because the store gives no answer to the router whose turn it is: a
// restart of all in that time would let each part end as many engines again.
func TestQuarantineIsWrittenWhileTheFirstRouterGetsNoAnswer(t *testing.T) {
	t.Parallel()
	var link *storeLink
	f, c := newCrashingFleet(t, 5, 30, hasCrashingPart, func(f *fleetBed) {
		link = newStoreLink(t, f.store.Addr())
		f.routers[0].storeAddr = strings.TrimPrefix(link.server.URL, "http://")
	})
	link.silent.Store(true)
	f.quarantine(c)
	f.waitForUpTo(5*time.Second, "the part is in the store", func() bool { return f.store.Appends(partsKey) > 0 })
	link.silent.Store(false)
	f.waitFor("the first router reads the store again", func() bool { return f.readers(0) == 3 && f.readers(3) == 0 })
	time.Sleep(time.Second)
	if n := f.store.Appends(partsKey); n > 3 {
		t.Errorf("%d records for one part", n)
	}
}

// Guards against a store that is away, or holds a damaged record, and makes a router wait.
func TestRouterStartsWithoutTheKeptParts(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 1)
	b.restarted = true
	b.store.Put(platform.TopicRouters, "quarantined-parts", []byte(`{"parts":7`))
	b.run()
	if got := b.prompted("/stream/x", commonPart); got.status != http.StatusOK {
		t.Errorf("status %d, want 200", got.status)
	}
}
