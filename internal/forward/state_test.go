package forward

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// threeEngines returns a state with three engines in one pool.
func threeEngines() (*State, []*registry.Server) {
	var list []*registry.Server
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, &registry.Server{ID: id, Pool: "p", Addr: id + ":1", Slots: 8, Engine: true})
	}
	st := NewState(Limits{Balance: balance.Limits{CapFactor: 100, CapExtra: 1000}, Retry: retrybudget.Limits{Window: time.Hour, Extra: 240}})
	st.SetServers(list)
	return st, list
}

// Guards against loads and outcomes of other routers that have no effect, and against loads
// that are taken for none because no other router has reported.
func TestReportsOfOtherRoutersCount(t *testing.T) {
	t.Parallel()
	st, list := threeEngines()
	now := time.Now()
	hash := digest.ShortHash(list[1].Key().Hash())
	others := func(at time.Time) int { return st.Status(at)[0].Servers[1].Others }
	st.SetPeerLoads(map[uint32]int{hash: 5}, time.Millisecond)
	if n := others(now); n != 5 {
		t.Errorf("%d requests of other routers, want 5", n)
	}
	st.SetPeerLoads(nil, 0)
	st.pool("p").recordLoad(now, list[1].Key(), balance.Load{Running: 4, Slots: 8})
	if n := others(now.Add(time.Second)); n != 4 {
		t.Errorf("%d requests of others without a report of a router, want the server's 4", n)
	}
	before := st.pool("p").budget.Remaining(now)
	st.SetRouterCount(1000)
	if after := st.pool("p").budget.Remaining(now); after >= before {
		t.Errorf("%v retries left with 1,000 routers, %v with few; want less", after, before)
	}
	ejections := st.EjectFailing([]digest.Outcomes{{Server: hash, Failed: 5, Ended: 6}})
	if len(ejections) != 1 || ejections[0].Server != list[1] || ejections[0].Outcomes.Failed != 5 {
		t.Errorf("ejections %+v, want the server that fails the requests of all routers", ejections)
	}
}

// Guards against engines that are asked for their caches although they get no requests, against
// servers that have none, and against engines whose streams are forgotten because they get no requests.
func TestOnlyUsableEnginesAreAsked(t *testing.T) {
	t.Parallel()
	st, list := threeEngines()
	plain := registry.Server{ID: "plain", Pool: "p", Addr: "d:1", Slots: 8}
	leaving := *list[0]
	leaving.Leaving = true
	st.SetServers([]*registry.Server{&leaving, list[1], list[2], &plain})
	p := st.pool("p")
	now := time.Now()
	for p.balance.Status(now)[1].Own == 0 {
		p.pick(now, balance.Job{}, false)
	}
	p.end(now, balance.Choice{Server: list[1]}, balance.Job{}, balance.Unreachable)
	if got := st.Engines(); len(got) != 1 || got[0] != list[2] {
		t.Errorf("engines %v, want only %s", got, list[2].ID)
	}
	if got := st.AllEngines(); len(got) != 3 || slices.Contains(got, &plain) {
		t.Errorf("all engines %v, want the three", got)
	}
	var states []string
	for _, s := range st.Status(now)[0].Servers {
		states = append(states, s.State)
	}
	if states[0] != "leaving" || states[1] != "ejected" || states[2] != "ready" {
		t.Errorf("states %v, want leaving, ejected, ready", states)
	}
}

// Guards against small parts of caches that fill the record in place of large ones.
func TestLargestCachedPartsAreRecorded(t *testing.T) {
	t.Parallel()
	st, list := threeEngines()
	parts := []CachedPart{{"m", Part{1, 10}}, {"m", Part{2, 30}}, {"m", Part{3, 20}}}
	if n := st.RecordCachedParts(list[0], parts, 2); n != 2 {
		t.Errorf("%d parts recorded, want 2", n)
	}
	sizes := map[int]bool{}
	for _, p := range st.AllPlacements() {
		sizes[p.Tokens] = true
	}
	if len(sizes) != 2 || !sizes[30] || !sizes[20] {
		t.Errorf("parts of the sizes %v recorded, want 30 and 20", sizes)
	}
}

// Guards against a bound of the load that keeps its old value in a pool that exists.
func TestChangedBoundOfTheLoadIsKept(t *testing.T) {
	t.Parallel()
	st, list := threeEngines()
	p := st.pool("p")
	now := time.Now()
	job := balance.Job{Prefixes: []balance.Prefix{{Hash: 7, Tokens: 100}}, PromptTokens: 120}
	p.balance.RecordCached(now, balance.Placement{PrefixHash: 7, Server: list[0].Key().Hash(), Tokens: 100})
	for range 6 {
		if c, _, _ := p.pick(now, job, false); c.Server != list[0] {
			t.Fatalf("server %s, want the one that has the prefix", c.Server.ID)
		}
	}
	st.SetBounds(balance.Limits{CapFactor: 1}, retrybudget.Limits{})
	if c, _, _ := p.pick(now, job, false); c.Server == list[0] {
		t.Error("a server above the new bound gets a request")
	}
}

// Guards against a full pool that decides without knowing how urgent a request is, whose it
// is, or that its caller retries.
func TestFullPoolKnowsTheRequest(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, ok("x"))
	p := b.state.pool("p")
	now := time.Now()
	decide := func(workspace string, priority int, timeout time.Duration) overload.Decision {
		c := &call{
			handler: b.handler, pool: p, workspace: routing.Workspace{Name: workspace, HasPriority: true, Priority: priority},
			w: callerAnswer{ResponseWriter: httptest.NewRecorder()}, r: httptest.NewRequest(http.MethodGet, "/", nil),
			route: &routing.Route{Name: "r", Objective: 100 * time.Millisecond}, headers: RequestHeaders{Deadline: timeout}, deadline: now.Add(time.Hour),
		}
		c.admitToPool()
		return c.admission
	}
	for range 200 {
		p.recordAnswerTimes("r", 10*time.Millisecond, time.Second)
		if d := decide("w", 0, time.Hour); !d.Admitted {
			t.Fatalf("%+v of an idle pool", d)
		}
	}
	b.servers[0].Slots = 1
	for range 10 {
		p.pick(now, balance.Job{}, false)
	}
	first := decide("w", 0, time.Hour)
	if first.Admitted || first.Retrying || first.Surging {
		t.Fatalf("%+v, want a refusal of a usual request", first)
	}
	if again := decide("w", 0, time.Minute); !again.Retrying {
		t.Errorf("%+v, want a caller that retries", again)
	}
	if less := decide("w", 3, time.Hour); less.Bound >= first.Bound {
		t.Errorf("bound %v for a less urgent request, want less than %v", less.Bound, first.Bound)
	}
	surging := false
	for range 30 {
		surging = decide("other", 0, time.Hour).Surging
	}
	if !surging {
		t.Error("a workspace that suddenly asks for much is not told apart")
	}
}
