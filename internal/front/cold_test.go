package front_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// coldBound is the most requests that a cold server may get in a second, with the rate and the bounds of the tests.
const (
	coldRate  = 9.2
	coldBound = 18
)

// newColdFleet starts routers before engines whose pool has a cold rate, and waits until they may send to cold servers.
func newColdFleet(t *testing.T, routers, engines int) *fleetBed {
	f := newFleet(t, routers, engines)
	c := config(2)
	c.ColdStart, c.ColdPerSecond = 6*time.Second, coldRate
	f.publish(c)
	for _, r := range f.routers {
		r.setColdBounds()
	}
	f.waitFor("all routers have the configuration", func() bool {
		return f.all(func(r *testBed) bool { return r.front.Status().ConfigVersion == 2 })
	})
	// Longer than the digests of earlier processes count.
	time.Sleep(5 * time.Second)
	return f
}

func (b *testBed) setColdBounds() {
	s := *b.settings
	s.Bounds.ColdOverage, s.Bounds.ColdExtra = 1.5, 5
	b.front.Apply(&s)
}

// mostInASecond returns the largest number of requests that an engine got in a second.
func mostInASecond(e *platformtest.Engine) int {
	var times []time.Time
	for _, r := range e.Requests() {
		times = append(times, r.ReceivedAt)
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// burst sends plain requests by routers in turn until a time, and returns the statuses.
func (f *fleetBed) burst(until time.Time, routers func(n int) *testBed) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var callers sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		if r := routers(i); r != nil {
			callers.Go(func() {
				got := r.do(r.request("POST", "/unsafe/x", "x"))
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	return statuses
}

// Guards against a server that has just started and gets more requests than it tolerates from all routers together, also while
// some of them are killed and restarted, and against one that gets none.
func TestServersThatStartGetWhatTheyTolerate(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 5, 2)
	cold := platformtest.NewEngine("i-cold")
	t.Cleanup(cold.Close)
	cold.SetDelay(20 * time.Millisecond)
	cold.Restart(time.Now())
	f.store.Put(platform.TopicServers, cold.ID, cold.Entry("pool", platformtest.StateReady))
	from := time.Now()
	killed := f.routers[2:]
	var mu sync.Mutex
	down := false
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		down = true
		mu.Unlock()
		for _, r := range killed {
			r.front.Crash()
		}
		time.Sleep(500 * time.Millisecond)
		for _, r := range killed {
			r.start()
			r.setColdBounds()
		}
		mu.Lock()
		down = false
		mu.Unlock()
	}()
	statuses := f.burst(from.Add(5500*time.Millisecond), func(n int) *testBed {
		mu.Lock()
		defer mu.Unlock()
		if r := f.routers[n%5]; !down || n%5 < 2 {
			return r
		}
		return nil
	})
	<-restarted
	n, most := len(cold.Requests()), mostInASecond(cold)
	t.Logf("cold server got %d requests, at most %d in a second; statuses %v", n, most, statuses)
	if most > coldBound {
		t.Errorf("%d requests in a second at a cold server, want at most %d", most, coldBound)
	}
	if n < 3 {
		t.Errorf("%d requests at a cold server in 5.5 s", n)
	}
}

// Guards against routers that send a server more than it tolerates since only another one has been told that it is cold, by an
// answer or by its entry.
func TestAllRoutersLearnThatAServerIsCold(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 3, 2)
	coldAt := func(e *platformtest.Engine, want bool) func() bool {
		return func() bool {
			return f.all(func(r *testBed) bool { return r.knowsCold(e.ID) == want })
		}
	}
	told := f.engines[0]
	told.SetCold(time.Minute)
	f.waitFor("a request has reached the cold server", func() bool {
		before := len(told.Requests())
		f.routers[0].do(f.routers[0].request("POST", "/unsafe/x", "x"))
		return len(told.Requests()) > before
	})
	f.waitFor("all routers know that it is cold", coldAt(told, true))
	entered := f.engines[1]
	entered.SetCold(time.Minute)
	f.register(platformtest.StateReady, entered)
	f.waitFor("all routers know from its entry that a server is cold", coldAt(entered, true))
	if got := f.routers[0].do(f.routers[0].request("POST", "/unsafe/x", "x")); got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d while all servers are cold", got.status)
	}
	time.Sleep(2 * time.Second)
	entered.SetCold(-time.Second)
	f.register(platformtest.StateReady, entered)
	f.waitFor("all routers know from its entry that a server is no longer cold", coldAt(entered, false))
}

// knowsCold reports whether the router knows that a server is cold.
func (b *testBed) knowsCold(id string) bool {
	for _, p := range b.front.Status().Pools {
		for _, s := range p.Servers {
			if s.ID == id && s.ColdMs > 0 {
				return true
			}
		}
	}
	return false
}
