package front_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/testnet"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

const (
	scarceRouters = 5
	scarceSlots   = 6
	// scarceWork is long enough that the routers of a test share a few cores without being late themselves.
	scarceWork = 120 * time.Millisecond
	// scarceObjective is the objective of the routes of config.
	scarceObjective = 400 * time.Millisecond
)

// scarceServer is a plain server that counts the requests in it. It does not queue: what is beyond its slots is seen.
type scarceServer struct {
	addr string
	// work is how long a request takes.
	work time.Duration

	mu                 sync.Mutex
	inside, most, runs int
}

// scarceAddr is the address of the server in the network of a bubble.
var scarceAddr = netip.MustParseAddrPort("10.3.0.1:80")

func newScarceServer(t *testing.T, network *testnet.Network, work time.Duration) *scarceServer {
	t.Helper()
	l, err := network.Listen(scarceAddr)
	if err != nil {
		t.Fatal(err)
	}
	s := &scarceServer{addr: l.Addr().String(), work: work}
	h := &http.Server{Handler: http.HandlerFunc(s.answer)}
	go func() { _ = h.Serve(l) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *scarceServer) answer(w http.ResponseWriter, r *http.Request) {
	s.count(1)
	time.Sleep(s.work)
	s.count(-1)
	id := r.Header.Get(platformtest.HeaderRequestID)
	w.Header().Set(platformtest.HeaderRequestID, id)
	w.Header().Set(platformtest.HeaderSignature, platformtest.Signature(id))
	_, _ = w.Write([]byte("x"))
}

func (s *scarceServer) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside += n
	s.most = max(s.most, s.inside)
	if n < 0 {
		s.runs++
	}
}

// takeMost returns the largest number of requests in the server, and the number that it ran, since the last call.
func (s *scarceServer) takeMost() (most, runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, runs = s.most, s.runs
	s.most, s.runs = s.inside, 0
	return most, runs
}

// scarceFleet is a fleet whose only server has fewer slots than twice the routers.
type scarceFleet struct {
	*fleetBed
	server *scarceServer
}

// inScarceFleet plays a test of a scarce fleet in a bubble. On a slow machine datagrams and timers are late, so that slots that were
// granted are used late, and a request is late without any fault of the routers.
func inScarceFleet(t *testing.T, play func(f *scarceFleet)) {
	t.Helper()
	inBubble(t, 0, func(f *fleetBed) { play(newScarceFleet(f)) })
}

func newScarceFleet(f *fleetBed) *scarceFleet {
	f.t.Helper()
	s := newScarceServer(f.t, f.network, scarceWork)
	startFleet(f, scarceRouters, func(f *fleetBed) {
		f.store.Put(platform.TopicServers, "s-0", platformtest.Entry{Pool: "pool", Addr: s.addr, State: platformtest.StateReady, Slots: scarceSlots}.Encode())
	})
	sf := &scarceFleet{fleetBed: f, server: s}
	sf.waitFor("all routers know who grants", func() bool {
		first := grants(f.routers[0])
		for _, r := range f.routers {
			if g := grants(r); g == nil || first == nil || g.Router != first.Router || g.Router == "" {
				return false
			}
		}
		return true
	})
	return sf
}

// grants returns a router's state of the grants of the pool, or nil.
func grants(b *testBed) *forward.GrantGroupStatus {
	for _, p := range b.front.Status().Pools {
		if p.Name == "pool" && p.Grants != nil && len(p.Grants.Groups) == 1 {
			return &p.Grants.Groups[0]
		}
	}
	return nil
}

// granting returns the router that the others ask.
func (f *scarceFleet) granting() *testBed {
	name := grants(f.routers[0]).Router
	for _, r := range f.routers {
		if r.host == name {
			return r
		}
	}
	f.t.Fatalf("no router at %s", name)
	return nil
}

// scarceResult counts the answers of a load.
type scarceResult struct {
	mu                           sync.Mutex
	sent, inTime, late, rejected int
	slowestRejection             time.Duration
	other                        map[int]int
}

// load sends requests at a rate, as a share of what the server can run, for a time, by routers at random.
func (f *scarceFleet) load(share float64, d time.Duration, routers []*testBed) *scarceResult {
	res := &scarceResult{other: map[int]int{}}
	perSecond := share * scarceSlots / scarceWork.Seconds()
	rng := rand.New(rand.NewPCG(3, 5))
	var callers sync.WaitGroup
	next := time.Now()
	for until := next.Add(d); next.Before(until); next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
		time.Sleep(time.Until(next))
		r := routers[rng.IntN(len(routers))]
		res.sent++
		callers.Go(func() {
			begun := time.Now()
			got := r.do(r.request("POST", "/unsafe/x", "x"))
			res.record(got, time.Since(begun))
		})
	}
	callers.Wait()
	return res
}

func (r *scarceResult) record(got reply, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case got.status == http.StatusOK && took <= scarceObjective:
		r.inTime++
	case got.status == http.StatusOK:
		r.late++
	case got.status == http.StatusServiceUnavailable:
		r.rejected++
		r.slowestRejection = max(r.slowestRejection, took)
	default:
		r.other[got.status]++
	}
}

func (r *scarceResult) String() string {
	return fmt.Sprintf("%d sent, %d in time, %d late, %d rejected, slowest rejection %v, others %v", r.sent, r.inTime, r.late, r.rejected, r.slowestRejection, r.other)
}

// Guards against routers that together send a server more than it has slots, and against slots that stay unused.
func TestRoutersShareFewSlotsByGrants(t *testing.T) {
	inScarceFleet(t, playGrants)
}

func playGrants(f *scarceFleet) {
	t := f.t
	f.server.takeMost()
	const d = 4 * time.Second
	res := f.load(1.75, d, f.routers)
	most, runs := f.server.takeMost()
	t.Logf("%v; at most %d at the server, %d runs", res, most, runs)
	if most > scarceSlots {
		t.Errorf("%d requests at a server of %d slots", most, scarceSlots)
	}
	if least := int(0.8 * d.Seconds() * scarceSlots / scarceWork.Seconds()); runs < least || res.inTime < least {
		t.Errorf("%d runs, %d in time, want %d at least", runs, res.inTime, least)
	}
	if len(res.other) > 0 {
		t.Errorf("answers %v, want only 200 and 503", res.other)
	}
}

// Guards against a planned stop that the others notice only when the router is gone: requests wait for it then, or go without a grant.
func TestStoppingRouterHandsTheGrantsOver(t *testing.T) {
	inScarceFleet(t, playStopOfTheGrantingRouter)
}

func playStopOfTheGrantingRouter(f *scarceFleet) {
	t := f.t
	first := f.granting()
	go func() { _ = first.front.Stop(t.Context()) }()
	for _, r := range f.routers {
		if r == first {
			continue
		}
		f.waitForUpTo(time.Second, "another router grants", func() bool { return grants(r).Router != first.host })
		if got := r.do(r.request("POST", "/unsafe/x", "x")); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
		if silent := grants(r).Silent; silent != "" {
			t.Errorf("%s is taken for silent", silent)
		}
	}
	f.waitForUpTo(time.Second, "the stopping router does not grant", func() bool { return !grants(first).Granting })
}

// Guards against a planned stop or a kill of the router that grants after which the others send without bounds or serve nothing.
func TestAnotherRouterGrantsWhenTheFirstOneEnds(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprintf("planned %v", planned), func(t *testing.T) {
			inScarceFleet(t, func(f *scarceFleet) { playEndOfTheGrantingRouter(f, planned) })
		})
	}
}

func playEndOfTheGrantingRouter(f *scarceFleet, planned bool) {
	t := f.t
	first := f.granting()
	var left []*testBed
	for _, r := range f.routers {
		if r != first {
			left = append(left, r)
		}
	}
	time.AfterFunc(time.Second, func() {
		if planned {
			_ = first.front.Stop(t.Context())
		} else {
			first.stop()
		}
	})
	res := f.load(0.85, 4*time.Second, left)
	most, runs := f.server.takeMost()
	t.Logf("%v; at most %d at the server, %d runs", res, most, runs)
	if res.rejected+res.late > res.sent/10 || len(res.other) > 0 {
		t.Errorf("want nine tenths in time")
	}
}
