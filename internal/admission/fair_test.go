package admission

import (
	"fmt"
	"math/big"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed" // fixed seed

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// fillPool occupies the given number of slots and returns the running tickets.
func fillPool(p *Pool, slots int, c record.Priority) []*Ticket {
	list := make([]*Ticket, slots)
	for i := range list {
		list[i] = p.Submit(start, &Request{Workspace: "filler", Class: c})
	}
	return list
}

// replaceOldest releases the oldest running ticket. It returns the updated lists
// and the ticket that got the slot, or nil.
func replaceOldest(p *Pool, running, waiting []*Ticket) ([]*Ticket, []*Ticket, *Ticket) {
	p.Release(start, running[0], Result{})
	running = running[1:]
	for i, tk := range waiting {
		if o := outcome(tk); o != nil && o.Grant != nil {
			waiting = append(waiting[:i:i], waiting[i+1:]...)
			return append(running, tk), waiting, tk
		}
	}
	return running, waiting, nil
}

// Guards against a surging workspace that gets more grants than its weight
// allows while others wait.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig(1.25, 4)
		cfg.Pool.QueueLimit = 1000
		cfg.Workspaces = map[string]*record.Workspace{}
		weights := []int{}
		total := 0
		for w := range rapid.IntRange(2, 4).Draw(t, "workspaces") {
			weights = append(weights, rapid.IntRange(1, 4).Draw(t, "weight"))
			total += weights[w]
			cfg.Workspaces[fmt.Sprint(w)] = &record.Workspace{Weight: float64(weights[w]), MaxQueued: 200}
		}
		p := testPool(cfg, 2)
		running := fillPool(p, 8, record.PriorityStandard)
		var waiting []*Ticket
		for w := range weights {
			n := 60
			if w == 0 {
				n = 200
			}
			for range n {
				waiting = append(waiting, p.Submit(start, &Request{Workspace: fmt.Sprint(w)}))
			}
		}
		got := make([]int, len(weights))
		grants := 3 * total
		for range grants {
			var tk *Ticket
			running, waiting, tk = replaceOldest(p, running, waiting)
			if tk == nil {
				t.Fatal("a free slot was not granted")
			}
			var w int
			fmt.Sscan(tk.req.Workspace, &w)
			got[w]++
		}
		for w, n := range got {
			if want := 3 * weights[w]; n < want-2 || n > want+2 {
				t.Fatalf("weights %v got grants %v of %d, want 3 for each unit of weight, plus or minus 2", weights, got, grants)
			}
		}
	})
}

// Guards against reviews that starve under a steady load of lookups, and
// lookups that wait behind reviews.
func TestClassesShareGrants(t *testing.T) {
	cfg := testConfig(1.25, 4)
	cfg.Pool.QueueLimit = 1000
	cfg.Pool.ClassShares = map[record.Priority]float64{
		record.PriorityLookup: 0.25, record.PriorityStandard: 0.25, record.PriorityReview: 0.1,
	}
	p := testPool(cfg, 2)
	running := fillPool(p, 8, record.PriorityStandard)
	var waiting []*Ticket
	got := map[record.Priority]int{}
	for i := range 200 {
		for _, c := range record.Priorities {
			if i < 20 || c == record.PriorityLookup {
				waiting = append(waiting, p.Submit(start, &Request{Workspace: "w", Class: c}))
			}
		}
		if i < 20 {
			continue
		}
		var tk *Ticket
		running, waiting, tk = replaceOldest(p, running, waiting)
		if tk == nil {
			t.Fatal("a free slot was not granted")
		}
		got[tk.req.Class]++
		if len(waiting) > 240 {
			t.Fatal("the queue grows")
		}
	}
	if got[record.PriorityReview] < 16 || got[record.PriorityLookup] < 100 {
		t.Fatalf("grants by class are %v, want at least 16 reviews and 100 lookups", got)
	}
}

// Guards against classes that are not served in order of urgency.
func TestClassOrder(t *testing.T) {
	p := testPool(testConfig(1.25, 4), 1)
	running := fillPool(p, 4, record.PriorityStandard)
	var waiting []*Ticket
	for _, c := range []record.Priority{record.PriorityReview, record.PriorityStandard, record.PriorityLookup} {
		waiting = append(waiting, p.Submit(start, &Request{Workspace: "w", Class: c}))
	}
	for _, want := range record.Priorities {
		var tk *Ticket
		running, waiting, tk = replaceOldest(p, running, waiting)
		if tk == nil || tk.req.Class != want {
			t.Fatalf("got %+v, want a %s", tk, want)
		}
	}
}

// Guards against a request that stays queued after the request before it,
// which excluded the free engine, was cancelled.
func TestCancelDispatchesNextRequest(t *testing.T) {
	p := testPool(testConfig(1.25, 1), 2)
	running := fillPool(p, 2, record.PriorityStandard)
	name := mustRun(t, running[0]).Engine
	excluding := p.Submit(start, &Request{Workspace: "w", Exclude: []string{name}})
	next := p.Submit(start, &Request{Workspace: "w"})
	p.Release(start, running[0], Result{})
	if outcome(next) != nil {
		t.Fatal("requests of one workspace were reordered")
	}
	p.Cancel(start, excluding)
	mustRun(t, next)
}

// Guards against long reviews that hold every slot when a lookup arrives.
func TestLookupGetsReservedSlot(t *testing.T) {
	cfg := testConfig(1.25, 5)
	cfg.Pool.ClassShares = map[record.Priority]float64{record.PriorityLookup: 0.2}
	p := testPool(cfg, 2)
	first := p.Submit(start, &Request{Workspace: "l", Class: record.PriorityLookup})
	mustRun(t, first)
	p.Release(start, first, Result{})
	for range 20 {
		p.Submit(start, &Request{Workspace: "r", Class: record.PriorityReview})
	}
	if n := p.Stats().RunningByClass[record.PriorityReview]; n != 8 {
		t.Fatalf("%d reviews run, want 8 of 10 slots", n)
	}
	mustRun(t, p.Submit(start, &Request{Workspace: "l", Class: record.PriorityLookup}))
	p.Tick(start.Add(2 * lookupReservePeriod))
	if n := p.Stats().RunningByClass[record.PriorityReview]; n != 9 {
		t.Fatalf("%d reviews run, want 9 without recent lookups", n)
	}
}

// ownerChecker is a picker that checks one owner's admissions against the slots
// of both owners.
type ownerChecker struct {
	placement.Picker
	fleet *twoOwners
	id    int
}

// twoOwners counts the slots that two owners of the same pool have granted.
type twoOwners struct {
	t          *rapid.T
	multiple   *big.Rat
	loads      [2]map[string]int
	ownerBound func(owner int, engine string, bound int) int
	engines    int64
	// released is set once a request ended, which lowers the bound. From then on
	// an owner may hold more than its part without any new admission.
	released bool
}

func (o *ownerChecker) Pick(v *placement.View, j *placement.Job) placement.Choice {
	c := o.Picker.Pick(v, j)
	if c.Action == placement.Place {
		o.fleet.admit(o.id, v.Engines[c.Engine].Name)
	}
	return c
}

func (f *twoOwners) admit(id int, engine string) {
	slots := int64(1)
	for o := range f.loads {
		for _, n := range f.loads[o] {
			slots += int64(n)
		}
	}
	x := new(big.Rat).Mul(f.multiple, big.NewRat(slots, f.engines))
	bound := int(new(big.Int).Div(new(big.Int).Add(x.Num(), new(big.Int).Sub(x.Denom(), big.NewInt(1))), x.Denom()).Int64())
	f.loads[id][engine]++
	if f.loads[id][engine] > f.ownerBound(id, engine, bound) {
		f.t.Fatalf("owner %d has %d slots of %s, its part of %d is %d", id, f.loads[id][engine], engine, bound, f.ownerBound(id, engine, bound))
	}
	if total := f.loads[0][engine] + f.loads[1][engine]; !f.released && total > bound {
		f.t.Fatalf("%s has %d slots, the bound is %d", engine, total, bound)
	}
}

// Guards against two owners with different views that together exceed the
// bound, or of which one exceeds its part. After a release, which lowers the
// bound, only the parts are checked.
func TestTwoOwnersKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quarters := rapid.Int64Range(4, 8).Draw(t, "multiple")
		f := &twoOwners{t: t, multiple: big.NewRat(quarters, 4), engines: 4}
		share := rapid.IntRange(0, 8).Draw(t, "eighths")
		f.ownerBound = func(o int, _ string, bound int) int {
			return bound * [2]int{share, 8 - share}[o] / 8
		}
		var pools [2]*Pool
		var running [2][]*Ticket
		for o := range pools {
			f.loads[o] = map[string]int{}
			checker := &ownerChecker{Picker: placement.NewAffinity(placement.DefaultTuning()), fleet: f, id: o}
			pools[o] = NewPool(testConfig(float64(quarters)/4, 0), Deps{Rand: func() float64 { return 0.3 }, Picker: checker, Prefixes: placement.NewPrefixIndex(4)})
			pools[o].SetEngines(start, testEngines(4))
			pools[o].SetShare(start, float64([2]int{share, 8 - share}[o])/8, time.Time{})
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			o := rapid.IntRange(0, 1).Draw(t, "owner")
			if rapid.IntRange(0, 3).Draw(t, "release") > 0 || len(running[o]) == 0 {
				tk := pools[o].Submit(start, &Request{Workspace: "w", Chat: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "chat"))})
				running[o] = append(running[o], tk)
				continue
			}
			f.finish(pools[o], o, running[o][rapid.IntRange(0, len(running[o])-1).Draw(t, "ticket")])
		}
	})
}

func (f *twoOwners) finish(p *Pool, o int, tk *Ticket) {
	if tk.phase != phaseRunning {
		return
	}
	f.released = true
	f.loads[o][p.view.Engines[tk.engine].Name]--
	p.Release(start, tk, Result{})
}

// Guards against a pool that places returning chats without the prefix index,
// keeps entries of a restarted engine, or ignores a token or a cache event.
func TestReturningChatPlacement(t *testing.T) {
	p := testPool(testConfig(1.5, 0), 8)
	var load []*Ticket
	for i := range 64 {
		load = append(load, p.Submit(start, &Request{Workspace: "w", Chat: fmt.Sprint("load", i)}))
	}
	run := func(req *Request) *Grant {
		tk := p.Submit(start, req)
		g := mustRun(t, tk)
		p.Release(start.Add(time.Second), tk, Result{PromptTokens: 3000, OutputTokens: 100})
		return g
	}
	req := &Request{Workspace: "w", Chat: "c"}
	first := run(req)
	second := run(req)
	if second.Engine != first.Engine || second.Reason != placement.ByPrefix || second.ExpectedPrefixTokens != 3100 {
		t.Fatalf("returning chat: got %+v after %+v", second, first)
	}
	p.ApplyCacheEvent(CacheEvent{Engine: first.Engine, BootID: "b1", Key: placement.ChatKey("w", "c"), Evicted: true})
	if g := run(req); g.Reason == placement.ByPrefix {
		t.Fatal("an evicted prefix was used")
	}
	list := testEngines(8)
	for i := range list {
		list[i].BootID = "b2"
	}
	p.SetEngines(start, list)
	if g := run(req); g.Reason == placement.ByPrefix {
		t.Fatal("a prefix of an earlier boot was used")
	}
	leastLoaded := p.Stats().Engines[0]
	for _, e := range p.Stats().Engines {
		if e.Load < leastLoaded.Load {
			leastLoaded = e
		}
	}
	hinted := &Request{Workspace: "w", Chat: "new", Hint: placement.Hint{Engine: leastLoaded.Name, BootHash: placement.Hash("b2")}}
	if g := run(hinted); g.Engine != leastLoaded.Name || g.Reason != placement.ByToken {
		t.Fatalf("hint for %s: got %+v", leastLoaded.Name, g)
	}
	stale := &Request{Workspace: "w", Chat: "stale", Hint: placement.Hint{Engine: leastLoaded.Name, BootHash: placement.Hash("b1")}}
	if g := run(stale); g.Reason == placement.ByToken {
		t.Fatal("a token of an earlier boot was used")
	}
	for _, tk := range load {
		p.Release(start, tk, Result{})
	}
}

// Guards against a workspace table that keeps every name that was ever used.
func TestIdleWorkspacesAreRemoved(t *testing.T) {
	p := testPool(testConfig(1.25, 0), 2)
	for i := range 1000 {
		tk := p.Submit(start, &Request{Workspace: fmt.Sprint(i)})
		mustRun(t, tk)
		p.Release(start, tk, Result{})
	}
	for i := range 40 {
		mustRun(t, p.Submit(start, &Request{Workspace: "busy"}))
		p.Tick(start.Add(time.Duration(i) * sweepInterval))
	}
	if n := len(p.workspaces); n > 10 {
		t.Fatalf("%d workspaces are in the table, want at most 10; 1 is in use", n)
	}
}
