package ownership

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed" // fixed seed

	"github.com/bluebellwell/bluebellwell/internal/membership"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

const testPool = "malli-llm"

// node is one boot of a router.
type node struct {
	o         *Ownership
	share     Share
	owner     bool
	paused    bool
	stopping  bool
	version   int
	suspected map[string]bool
	adopted   map[string]int
}

type message struct {
	from, to string
	env      *peerpb.Envelope
}

// world holds all routers and the VM list's history. It assumes what
// docs/decisions/0003-ownership.md assumes: a router leaves the list only
// after its process ended, and a name never sees an older list than before.
type world struct {
	now      time.Time
	lists    [][]string
	nodes    map[string]*node
	seen     map[string]int
	mail     []message
	boots    uint64
	bytes    int
	fail     func(format string, args ...any)
	maxShare float64
}

func newWorld(n int, fail func(string, ...any)) *world {
	w := &world{now: time.UnixMilli(1e12), nodes: map[string]*node{}, seen: map[string]int{}, fail: fail}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("r%d", i))
	}
	w.lists = [][]string{names}
	for _, name := range names {
		w.boot(name)
	}
	return w
}

func (w *world) boot(name string) {
	w.boots++
	n := &node{o: New(w.now, name, w.boots*1e6), version: w.seen[name], suspected: map[string]bool{}, adopted: map[string]int{}}
	w.nodes[name] = n
	w.do(name, n.o.SetPools(w.now, []string{testPool}))
	w.refresh(name)
}

// refresh passes the node's present view to its state machine.
func (w *world) refresh(name string) {
	n := w.nodes[name]
	w.seen[name] = n.version
	v := &membership.View{Self: name, ListVersion: uint64(n.version), Listed: len(w.lists[n.version])}
	for _, other := range w.lists[n.version] {
		r := membership.Router{VM: vmlist.VM{Name: other, State: "live"}, Suspected: n.suspected[other] && other != name}
		if o := w.nodes[other]; o != nil && (other == name || !n.suspected[other]) {
			r.Stopping = o.stopping
		}
		v.SelfListed = v.SelfListed || other == name
		v.Routers = append(v.Routers, r)
		if r.Usable() {
			v.Usable = append(v.Usable, other)
		}
	}
	w.do(name, n.o.SetView(w.now, v))
}

func (w *world) do(name string, actions []Action) {
	n := w.nodes[name]
	for _, a := range actions {
		switch a := a.(type) {
		case ShareChanged:
			n.share = a.Share
		case HandBack:
			n.owner = false
			if got := n.share.At(w.now); got != 0 {
				w.fail("%s hands its queue back with share %v", name, got)
			}
		case Adopt:
			n.adopted[a.From]++
		case Send:
			w.bytes += 2 * meter.PeerMessageBytes(proto.Size(a.Env))
			w.mail = append(w.mail, message{name, a.To, a.Env})
		}
		w.check()
	}
}

// check is the promise: no moment at which the shares add up to more than one.
// A paused router counts with what it would use if it resumed now.
func (w *world) check() {
	sum := 0.0
	for _, n := range w.nodes {
		sum += n.share.At(w.now)
	}
	if sum > 1+1e-9 {
		w.fail("shares add up to %v", sum)
	}
	w.maxShare = max(w.maxShare, sum)
}

func (w *world) deliver(i int, keep bool) {
	m := w.mail[i]
	if !keep {
		w.mail = slices.Delete(w.mail, i, i+1)
	}
	if n := w.nodes[m.to]; n != nil && !n.paused {
		w.do(m.to, n.o.Receive(w.now, m.from, m.env))
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.check()
	for _, name := range w.names() {
		if n := w.nodes[name]; !n.paused {
			w.do(name, n.o.Tick(w.now))
		}
	}
}

func (w *world) names() []string { return slices.Sorted(maps.Keys(w.nodes)) }

// settle runs with prompt delivery; a message takes a millisecond.
func (w *world) settle(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for i := 0; len(w.mail) > 0 && i < 10; i++ {
			w.now = w.now.Add(time.Millisecond)
			for range len(w.mail) {
				w.deliver(0, false)
			}
		}
		w.advance(50 * time.Millisecond)
	}
}

// sync gives all routers the newest list and the truth about deaths.
func (w *world) sync() {
	for _, name := range w.names() {
		n := w.nodes[name]
		n.version = len(w.lists) - 1
		n.suspected = map[string]bool{}
		for _, other := range w.lists[n.version] {
			n.suspected[other] = w.nodes[other] == nil
		}
		w.refresh(name)
	}
}

// shares returns the routers with a share.
func (w *world) shares() map[string]float64 {
	out := map[string]float64{}
	for name, n := range w.nodes {
		if s := n.share.At(w.now); s > 0 {
			out[name] = s
		}
	}
	return out
}

func (w *world) owner() string {
	return w.nodes[w.names()[0]].o.Owner(testPool)
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Guards against shares that add up to more than one under loss, delay,
// duplication, reordering, pauses, restarts and differing views, and against a
// fleet that does not find back to one owner with the full share.
func TestSharesNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 5).Draw(t, "routers"), t.Fatalf)
		if rapid.Bool().Draw(t, "warm") {
			w.settle(8 * time.Second)
		}
		pick := func(t *rapid.T, keep func(*node) bool) string {
			var names []string
			for _, name := range w.names() {
				if keep(w.nodes[name]) {
					names = append(names, name)
				}
			}
			if len(names) == 0 {
				t.Skip("no such router")
			}
			return rapid.SampledFrom(names).Draw(t, "router")
		}
		running := func(n *node) bool { return !n.paused }
		message := func(t *rapid.T) int {
			if len(w.mail) == 0 {
				t.Skip("no mail")
			}
			return rapid.IntRange(0, len(w.mail)-1).Draw(t, "message")
		}
		t.Repeat(map[string]func(*rapid.T){
			"deliver":   func(t *rapid.T) { w.deliver(message(t), false) },
			"duplicate": func(t *rapid.T) { w.deliver(message(t), true) },
			"drop": func(t *rapid.T) {
				i := message(t)
				w.mail = slices.Delete(w.mail, i, i+1)
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"settle": func(t *rapid.T) {
				w.settle(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond)
			},
			"pause":  func(t *rapid.T) { w.nodes[pick(t, running)].paused = true },
			"resume": func(t *rapid.T) { w.nodes[pick(t, func(n *node) bool { return n.paused })].paused = false },
			"kill":   func(t *rapid.T) { delete(w.nodes, pick(t, func(n *node) bool { return len(w.nodes) > 1 })) },
			"restart": func(t *rapid.T) {
				w.boot(rapid.SampledFrom(w.lists[len(w.lists)-1]).Draw(t, "router"))
			},
			"add": func(t *rapid.T) {
				name := fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "new"))
				last := w.lists[len(w.lists)-1]
				if slices.Contains(last, name) {
					t.Skip("listed")
				}
				w.lists = append(w.lists, append(slices.Clone(last), name))
				w.boot(name)
			},
			"remove": func(t *rapid.T) {
				last := w.lists[len(w.lists)-1]
				name := rapid.SampledFrom(last).Draw(t, "router")
				if w.nodes[name] != nil || len(last) == 1 {
					t.Skip("alive")
				}
				w.lists = append(w.lists, slices.DeleteFunc(slices.Clone(last), func(s string) bool { return s == name }))
			},
			"fetch": func(t *rapid.T) {
				name := pick(t, running)
				n := w.nodes[name]
				n.version = rapid.IntRange(n.version, len(w.lists)-1).Draw(t, "version")
				w.refresh(name)
			},
			"suspect": func(t *rapid.T) {
				name := pick(t, running)
				other := fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "other"))
				w.nodes[name].suspected[other] = !w.nodes[name].suspected[other]
				w.refresh(name)
			},
			// Some routers see the owner as dead, others as alive.
			"split": func(t *rapid.T) {
				owner := w.nodes[pick(t, running)].o.Owner(testPool)
				for _, name := range w.names() {
					if n := w.nodes[name]; !n.paused && rapid.Bool().Draw(t, "changes") {
						n.suspected[owner] = !n.suspected[owner]
						w.refresh(name)
					}
				}
			},
			"stop": func(t *rapid.T) {
				name := pick(t, running)
				w.nodes[name].stopping = true
				w.refresh(name)
			},
		})
		for _, n := range w.nodes {
			n.paused = false
		}
		last := slices.DeleteFunc(slices.Clone(w.lists[len(w.lists)-1]), func(s string) bool { return w.nodes[s] == nil })
		for name, n := range w.nodes {
			n.stopping = false
			if !slices.Contains(last, name) {
				delete(w.nodes, name)
			}
		}
		if len(last) == 0 {
			return
		}
		w.lists = append(w.lists, last)
		w.sync()
		w.settle(25 * time.Second)
		if got := w.shares(); len(got) != 1 || !near(got[w.owner()], 1) {
			t.Fatalf("stable view ends with shares %v, owner %s", got, w.owner())
		}
	})
}

func started(t *testing.T, n int) *world {
	w := newWorld(n, t.Fatalf)
	w.settle(10 * time.Second)
	if got := w.shares(); len(got) != 1 || !near(got[w.owner()], 1) {
		t.Fatalf("after the start: %v", got)
	}
	return w
}

// Guards against a dead router that blocks the pool while the VM list still
// names it.
func TestDeathCostsOneVote(t *testing.T) {
	w := started(t, 8)
	delete(w.nodes, w.owner())
	w.settle(3300 * time.Millisecond)
	w.sync()
	w.settle(3 * time.Second)
	if got := w.shares(); len(got) != 1 || !near(got[w.owner()], 7.0/8) {
		t.Fatalf("6.3 s after the death: %v", got)
	}
	w.settle(60 * time.Second)
	alive := w.names()
	w.lists = append(w.lists, alive)
	w.sync()
	w.settle(10 * time.Second)
	if got := w.shares(); !near(got[w.owner()], 1) {
		t.Fatalf("after the list changed: %v", got)
	}
}

// Guards against a planned stop that leaves the pool without service.
func TestPlannedStopHandsOver(t *testing.T) {
	w := started(t, 8)
	old := w.owner()
	w.nodes[old].stopping = true
	w.sync()
	w.settle(20 * time.Millisecond)
	got := w.shares()
	if got[old] != 0 || !near(got[w.owner()], 7.0/8) {
		t.Fatalf("shortly after the stop: %v", got)
	}
	if n := w.nodes[w.owner()]; len(n.adopted) != 7 || n.adopted[old] != 1 {
		t.Fatalf("attempts adopted from %v", n.adopted)
	}
}

// Guards against a paused owner that resumes with votes that others have given
// to its successor. The shares are checked at every step.
func TestPausedOwnerResumesWithoutVotes(t *testing.T) {
	for n := 2; n <= 5; n++ {
		w := started(t, n)
		old := w.owner()
		w.nodes[old].paused = true
		for _, name := range w.names() {
			w.nodes[name].suspected[old] = name != old
			w.refresh(name)
		}
		w.settle(7 * time.Second)
		w.nodes[old].paused = false
		if got := w.nodes[old].share.At(w.now); got != 0 {
			t.Fatalf("paused owner resumes with share %v", got)
		}
		w.settle(10 * time.Second)
	}
}

// Guards against messages of an earlier time: a delayed release that frees a
// vote given since, a claim of an earlier boot, a grant to an earlier boot, and
// attempts that count twice.
func TestOldMessagesHaveNoEffect(t *testing.T) {
	w := started(t, 3)
	owner := w.owner()
	voter := w.names()[0]
	if voter == owner {
		voter = w.names()[1]
	}
	o, v := w.nodes[owner].o, w.nodes[voter].o
	voteOf := func() vote { return v.pools[testPool].vote }
	claim := func(boot, stamp uint64, release bool) *peerpb.Envelope {
		return &peerpb.Envelope{Body: &peerpb.Envelope_Claim{Claim: &peerpb.Claim{
			Pool: testPool, Owner: owner, Epoch: voteOf().epoch, BootId: boot, Stamp: stamp, Release: release,
		}}}
	}
	before := voteOf()
	v.Receive(w.now, owner, claim(o.boot, before.stamp-1, true))
	v.Receive(w.now, owner, claim(o.boot-1, before.stamp+1, true))
	v.Receive(w.now, owner, claim(o.boot-1, before.stamp+1, false))
	if voteOf() != before {
		t.Errorf("vote %+v became %+v", before, voteOf())
	}
	v.pools[testPool].vote = vote{}
	v.Receive(w.now, owner, claim(o.boot-1, before.stamp+1, false))
	if voteOf() != (vote{}) {
		t.Error("earlier boot got a free vote")
	}
	held := o.pools[testPool].leases[voter]
	grant := func(boot uint64) []Action {
		return o.Receive(w.now, voter, &peerpb.Envelope{Body: &peerpb.Envelope_ClaimReply{ClaimReply: &peerpb.ClaimReply{
			Pool: testPool, Granted: true, Epoch: o.pools[testPool].epoch, BootId: boot, Stamp: o.stamp, Listed: 1,
		}}})
	}
	grant(o.boot - 1)
	if got := o.pools[testPool].leases[voter]; got != held {
		t.Errorf("grant to an earlier boot changed %+v to %+v", held, got)
	}
	for _, a := range grant(o.boot) {
		if _, again := a.(Adopt); again {
			t.Error("attempts adopted twice")
		}
	}
}

// split starts four routers of which two see the owner as dead, so that the
// pool has two owners. It returns the first owner and the router that still
// votes for it.
func split(t *testing.T) (w *world, owner, loyal string) {
	w = started(t, 4)
	owner = w.owner()
	others := slices.DeleteFunc(w.names(), func(s string) bool { return s == owner })
	for _, name := range others[1:] {
		w.nodes[name].suspected[owner] = true
		w.refresh(name)
	}
	w.settle(8 * time.Second)
	return w, owner, others[0]
}

// Guards against a new router whose vote counts while a vote of a larger
// weight, given under the older list, is still in use at another owner.
func TestLateListDoesNotOvercount(t *testing.T) {
	for _, added := range []string{"r8", "r9", "s1", "s2"} {
		for phase := range 8 {
			w, owner, late := split(t)
			w.lists = append(w.lists, append(slices.Clone(w.lists[0]), added))
			w.boot(added)
			for _, name := range w.names() {
				n := w.nodes[name]
				n.suspected[owner] = n.suspected[owner] || name == added
				if name != late {
					n.version = 1
					w.refresh(name)
				}
			}
			w.settle(10*time.Second + time.Duration(phase)*300*time.Millisecond)
			w.nodes[late].version = 1
			w.refresh(late)
			w.settle(12 * time.Second)
			w.sync()
			w.settle(12 * time.Second)
			if got := w.shares(); !near(got[w.owner()], 1) {
				t.Fatalf("%s ends with %v", added, got)
			}
		}
	}
}

// Guards against votes that grow with a shorter list while the vote of the
// router that left it still counts at an owner with the longer list.
func TestShorterListDoesNotOvercount(t *testing.T) {
	w, owner, gone := split(t)
	if got := w.shares(); !near(got[owner], 0.5) || len(got) != 2 {
		t.Fatalf("no split: %v", got)
	}
	delete(w.nodes, gone)
	w.lists = append(w.lists, slices.DeleteFunc(slices.Clone(w.lists[0]), func(s string) bool { return s == gone }))
	for _, name := range w.names() {
		if name != owner {
			w.nodes[name].version = 1
			w.refresh(name)
		}
	}
	w.settle(8 * time.Second)
}

// Guards against a lone router that serves nothing or all.
func TestLoneRouterKeepsItsOwnVote(t *testing.T) {
	w := started(t, 8)
	lone := w.names()[0]
	for name, n := range w.nodes {
		if name != lone {
			n.paused = true
			w.nodes[lone].suspected[name] = true
		}
	}
	w.refresh(lone)
	w.settle(20 * time.Second)
	if got := w.nodes[lone].share.At(w.now); !near(got, 1.0/8) {
		t.Fatalf("lone router has %v", got)
	}
}

// Guards against votes that cost more control bytes than the budget leaves:
// heartbeats and the VM list take about 1,100 of 1,500 B/s, and the owner may
// send half of its renewals on data messages.
func TestRenewalCost(t *testing.T) {
	w := started(t, 8)
	w.bytes = 0
	w.settle(20 * time.Second)
	perRouter := float64(w.bytes) / 20 / 8
	t.Logf("%.0f B/s for each router on average, sent and received", perRouter)
	if perRouter > 400 {
		t.Errorf("votes cost %.0f B/s for each router", perRouter)
	}
}

// Guards against an owner that renews more votes than it needs, and against one
// that loses its majority when a voter of the renewed ones dies.
func TestMajorityIsRenewedAlone(t *testing.T) {
	w := newWorld(8, t.Fatalf)
	for _, n := range w.nodes {
		n.o.RenewMajority()
	}
	w.settle(40 * time.Second)
	owner := w.owner()
	votes := w.nodes[owner].share.Votes(w.now)
	if votes != 5 {
		t.Fatalf("the owner keeps %d of 8 votes, want 5", votes)
	}
	for name := range w.nodes {
		if name != owner {
			w.nodes[name].paused = true
			break
		}
	}
	for range 100 {
		w.settle(100 * time.Millisecond)
		if _, ok := w.nodes[owner].share.MajorityUntil(w.now); !ok {
			t.Fatal("the owner lost its majority with one voter")
		}
	}
}
