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

// simulation holds all routers and the history of the VM list. Its assumptions
// are those of docs/decisions/0003-ownership.md: a router is removed from the
// list only after its process has ended, and a router, restarted or not, never
// receives an older list than before.
type simulation struct {
	now         time.Time
	lists       [][]string
	nodes       map[string]*node
	seenVersion map[string]int
	messages    []message
	bootCount   uint64
	bytes       int
	fail        func(format string, args ...any)
	maxShare    float64
}

func newSimulation(n int, fail func(string, ...any)) *simulation {
	sim := &simulation{now: time.UnixMilli(1e12), nodes: map[string]*node{}, seenVersion: map[string]int{}, fail: fail}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("r%d", i))
	}
	sim.lists = [][]string{names}
	for _, name := range names {
		sim.boot(name)
	}
	return sim
}

func (sim *simulation) boot(name string) {
	sim.bootCount++
	n := &node{o: New(sim.now, name, sim.bootCount*1e6), version: sim.seenVersion[name], suspected: map[string]bool{}, adopted: map[string]int{}}
	sim.nodes[name] = n
	sim.perform(name, n.o.SetPools(sim.now, []string{testPool}))
	sim.refresh(name)
}

// refresh passes the node's current view to its state machine.
func (sim *simulation) refresh(name string) {
	n := sim.nodes[name]
	sim.seenVersion[name] = n.version
	v := &membership.View{Self: name, ListVersion: uint64(n.version), ListedRouters: len(sim.lists[n.version])}
	for _, other := range sim.lists[n.version] {
		r := membership.Router{VM: vmlist.VM{Name: other, State: "live"}, Suspected: n.suspected[other] && other != name}
		if o := sim.nodes[other]; o != nil && (other == name || !n.suspected[other]) {
			r.Stopping = o.stopping
		}
		v.SelfListed = v.SelfListed || other == name
		v.Routers = append(v.Routers, r)
		if r.Usable() {
			v.Usable = append(v.Usable, other)
		}
	}
	sim.perform(name, n.o.SetView(sim.now, v))
}

func (sim *simulation) perform(name string, actions []Action) {
	n := sim.nodes[name]
	for _, a := range actions {
		switch a := a.(type) {
		case ShareChanged:
			n.share = a.Share
		case HandBack:
			n.owner = false
			if got := n.share.At(sim.now); got != 0 {
				sim.fail("%s hands back its queue with share %v", name, got)
			}
		case Adopt:
			n.adopted[a.From]++
		case Send:
			sim.bytes += 2 * meter.PeerMessageBytes(proto.Size(a.Env))
			sim.messages = append(sim.messages, message{name, a.To, a.Env})
		}
		sim.check()
	}
}

// check fails if the shares add up to more than one. A paused router counts
// with the share that it would use if it resumed now.
func (sim *simulation) check() {
	sum := 0.0
	for _, n := range sim.nodes {
		sum += n.share.At(sim.now)
	}
	if sum > 1+1e-9 {
		sim.fail("shares add up to %v", sum)
	}
	sim.maxShare = max(sim.maxShare, sum)
}

func (sim *simulation) deliver(i int, keep bool) {
	m := sim.messages[i]
	if !keep {
		sim.messages = slices.Delete(sim.messages, i, i+1)
	}
	if n := sim.nodes[m.to]; n != nil && !n.paused {
		sim.perform(m.to, n.o.Receive(sim.now, m.from, m.env))
	}
}

func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.check()
	for _, name := range sim.names() {
		if n := sim.nodes[name]; !n.paused {
			sim.perform(name, n.o.Tick(sim.now))
		}
	}
}

func (sim *simulation) names() []string { return slices.Sorted(maps.Keys(sim.nodes)) }

// settle advances the time by d and delivers each message after 1 ms.
func (sim *simulation) settle(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		for i := 0; len(sim.messages) > 0 && i < 10; i++ {
			sim.now = sim.now.Add(time.Millisecond)
			for range len(sim.messages) {
				sim.deliver(0, false)
			}
		}
		sim.advance(50 * time.Millisecond)
	}
}

// syncViews gives all routers the newest list and makes them suspect exactly
// the routers whose process has ended.
func (sim *simulation) syncViews() {
	for _, name := range sim.names() {
		n := sim.nodes[name]
		n.version = len(sim.lists) - 1
		n.suspected = map[string]bool{}
		for _, other := range sim.lists[n.version] {
			n.suspected[other] = sim.nodes[other] == nil
		}
		sim.refresh(name)
	}
}

// shares returns the shares above 0, by router.
func (sim *simulation) shares() map[string]float64 {
	out := map[string]float64{}
	for name, n := range sim.nodes {
		if s := n.share.At(sim.now); s > 0 {
			out[name] = s
		}
	}
	return out
}

func (sim *simulation) owner() string {
	return sim.nodes[sim.names()[0]].o.Owner(testPool)
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Guards against shares that add up to more than one under loss, delay,
// duplication, reordering, pauses, restarts and differing views, and against a
// fleet that does not return to one owner with the full share.
func TestSharesNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 5).Draw(t, "routers"), t.Fatalf)
		if rapid.Bool().Draw(t, "warm") {
			sim.settle(8 * time.Second)
		}
		pick := func(t *rapid.T, keep func(*node) bool) string {
			var names []string
			for _, name := range sim.names() {
				if keep(sim.nodes[name]) {
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
			if len(sim.messages) == 0 {
				t.Skip("no messages")
			}
			return rapid.IntRange(0, len(sim.messages)-1).Draw(t, "message")
		}
		t.Repeat(map[string]func(*rapid.T){
			"deliver":   func(t *rapid.T) { sim.deliver(message(t), false) },
			"duplicate": func(t *rapid.T) { sim.deliver(message(t), true) },
			"drop": func(t *rapid.T) {
				i := message(t)
				sim.messages = slices.Delete(sim.messages, i, i+1)
			},
			"advance": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"settle": func(t *rapid.T) {
				sim.settle(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond)
			},
			"pause":  func(t *rapid.T) { sim.nodes[pick(t, running)].paused = true },
			"resume": func(t *rapid.T) { sim.nodes[pick(t, func(n *node) bool { return n.paused })].paused = false },
			"kill":   func(t *rapid.T) { delete(sim.nodes, pick(t, func(n *node) bool { return len(sim.nodes) > 1 })) },
			"restart": func(t *rapid.T) {
				sim.boot(rapid.SampledFrom(sim.lists[len(sim.lists)-1]).Draw(t, "router"))
			},
			"add": func(t *rapid.T) {
				name := fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "new"))
				last := sim.lists[len(sim.lists)-1]
				if slices.Contains(last, name) {
					t.Skip("listed")
				}
				sim.lists = append(sim.lists, append(slices.Clone(last), name))
				sim.boot(name)
			},
			"remove": func(t *rapid.T) {
				last := sim.lists[len(sim.lists)-1]
				name := rapid.SampledFrom(last).Draw(t, "router")
				if sim.nodes[name] != nil || len(last) == 1 {
					t.Skip("alive")
				}
				sim.lists = append(sim.lists, slices.DeleteFunc(slices.Clone(last), func(s string) bool { return s == name }))
			},
			"fetch": func(t *rapid.T) {
				name := pick(t, running)
				n := sim.nodes[name]
				n.version = rapid.IntRange(n.version, len(sim.lists)-1).Draw(t, "version")
				sim.refresh(name)
			},
			"suspect": func(t *rapid.T) {
				name := pick(t, running)
				other := fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "other"))
				sim.nodes[name].suspected[other] = !sim.nodes[name].suspected[other]
				sim.refresh(name)
			},
			// Some routers suspect the owner, others do not.
			"split": func(t *rapid.T) {
				owner := sim.nodes[pick(t, running)].o.Owner(testPool)
				for _, name := range sim.names() {
					if n := sim.nodes[name]; !n.paused && rapid.Bool().Draw(t, "changes") {
						n.suspected[owner] = !n.suspected[owner]
						sim.refresh(name)
					}
				}
			},
			"stop": func(t *rapid.T) {
				name := pick(t, running)
				sim.nodes[name].stopping = true
				sim.refresh(name)
			},
		})
		for _, n := range sim.nodes {
			n.paused = false
		}
		last := slices.DeleteFunc(slices.Clone(sim.lists[len(sim.lists)-1]), func(s string) bool { return sim.nodes[s] == nil })
		for name, n := range sim.nodes {
			n.stopping = false
			if !slices.Contains(last, name) {
				delete(sim.nodes, name)
			}
		}
		if len(last) == 0 {
			return
		}
		sim.lists = append(sim.lists, last)
		sim.syncViews()
		sim.settle(25 * time.Second)
		if got := sim.shares(); len(got) != 1 || !almostEqual(got[sim.owner()], 1) {
			t.Fatalf("shares with a stable view: %v, want 1 for the owner %s only", got, sim.owner())
		}
	})
}

func startSimulation(t *testing.T, n int) *simulation {
	sim := newSimulation(n, t.Fatalf)
	sim.settle(10 * time.Second)
	if got := sim.shares(); len(got) != 1 || !almostEqual(got[sim.owner()], 1) {
		t.Fatalf("shares after the start: %v, want 1 for the owner only", got)
	}
	return sim
}

// Guards against a router whose process has ended and that takes more than its
// own vote from the pool while the VM list still names it.
func TestEndedRouterReducesShareByOneVote(t *testing.T) {
	sim := startSimulation(t, 8)
	delete(sim.nodes, sim.owner())
	sim.settle(3300 * time.Millisecond)
	sim.syncViews()
	sim.settle(3 * time.Second)
	if got := sim.shares(); len(got) != 1 || !almostEqual(got[sim.owner()], 7.0/8) {
		t.Fatalf("shares 6.3 s after the end of the owner: %v, want 7/8 for its successor only", got)
	}
	sim.settle(60 * time.Second)
	alive := sim.names()
	sim.lists = append(sim.lists, alive)
	sim.syncViews()
	sim.settle(10 * time.Second)
	if got := sim.shares(); !almostEqual(got[sim.owner()], 1) {
		t.Fatalf("shares after the list changed: %v, want 1 for the owner", got)
	}
}

// Guards against a planned stop that leaves the pool without an owner, and
// against attempts of the previous owner that are not adopted once.
func TestPlannedStopHandsOver(t *testing.T) {
	sim := startSimulation(t, 8)
	old := sim.owner()
	sim.nodes[old].stopping = true
	sim.syncViews()
	sim.settle(20 * time.Millisecond)
	got := sim.shares()
	if got[old] != 0 || !almostEqual(got[sim.owner()], 7.0/8) {
		t.Fatalf("shares 20 ms after the stop: %v, want 0 for the stopping router and 7/8 for its successor", got)
	}
	if n := sim.nodes[sim.owner()]; len(n.adopted) != 7 || n.adopted[old] != 1 {
		t.Fatalf("adoptions by sender: %v, want 7 senders and one adoption from the stopping router", n.adopted)
	}
}

// Guards against a paused owner that resumes with votes that were granted to
// its successor meanwhile. The shares are checked at every step.
func TestPausedOwnerResumesWithoutVotes(t *testing.T) {
	for n := 2; n <= 5; n++ {
		sim := startSimulation(t, n)
		old := sim.owner()
		sim.nodes[old].paused = true
		for _, name := range sim.names() {
			sim.nodes[name].suspected[old] = name != old
			sim.refresh(name)
		}
		sim.settle(7 * time.Second)
		sim.nodes[old].paused = false
		if got := sim.nodes[old].share.At(sim.now); got != 0 {
			t.Fatalf("paused owner resumes with share %v, want 0", got)
		}
		sim.settle(10 * time.Second)
	}
}

// Guards against outdated messages: a delayed release that frees a vote granted
// since, a claim of an earlier boot, a grant to an earlier boot, and attempts
// that are adopted twice.
func TestOutdatedMessagesHaveNoEffect(t *testing.T) {
	sim := startSimulation(t, 3)
	owner := sim.owner()
	voter := sim.names()[0]
	if voter == owner {
		voter = sim.names()[1]
	}
	o, v := sim.nodes[owner].o, sim.nodes[voter].o
	voteOf := func() vote { return v.pools[testPool].vote }
	claim := func(boot, stamp uint64, release bool) *peerpb.Envelope {
		return &peerpb.Envelope{Body: &peerpb.Envelope_Claim{Claim: &peerpb.Claim{
			Pool: testPool, Owner: owner, Epoch: voteOf().epoch, BootId: boot, Stamp: stamp, Release: release,
		}}}
	}
	before := voteOf()
	v.Receive(sim.now, owner, claim(o.boot, before.stamp-1, true))
	v.Receive(sim.now, owner, claim(o.boot-1, before.stamp+1, true))
	v.Receive(sim.now, owner, claim(o.boot-1, before.stamp+1, false))
	if voteOf() != before {
		t.Errorf("outdated messages changed the vote %+v to %+v", before, voteOf())
	}
	v.pools[testPool].vote = vote{}
	v.Receive(sim.now, owner, claim(o.boot-1, before.stamp+1, false))
	if voteOf() != (vote{}) {
		t.Error("free vote granted to an earlier boot")
	}
	oldLease := o.pools[testPool].leases[voter]
	grant := func(boot uint64) []Action {
		return o.Receive(sim.now, voter, &peerpb.Envelope{Body: &peerpb.Envelope_ClaimReply{ClaimReply: &peerpb.ClaimReply{
			Pool: testPool, Granted: true, Epoch: o.pools[testPool].epoch, BootId: boot, Stamp: o.stamp, Listed: 1,
		}}})
	}
	grant(o.boot - 1)
	if got := o.pools[testPool].leases[voter]; got != oldLease {
		t.Errorf("grant to an earlier boot changed %+v to %+v", oldLease, got)
	}
	for _, a := range grant(o.boot) {
		if _, adopted := a.(Adopt); adopted {
			t.Error("attempts adopted twice")
		}
	}
}

// startWithTwoOwners starts four routers of which two suspect the owner, so that
// the pool has two owners. It returns the first owner and the router that still
// votes for it.
func startWithTwoOwners(t *testing.T) (sim *simulation, owner, remainingVoter string) {
	sim = startSimulation(t, 4)
	owner = sim.owner()
	others := slices.DeleteFunc(sim.names(), func(s string) bool { return s == owner })
	for _, name := range others[1:] {
		sim.nodes[name].suspected[owner] = true
		sim.refresh(name)
	}
	sim.settle(8 * time.Second)
	return sim, owner, others[0]
}

// Guards against a new router whose vote counts while another owner still uses
// a vote that was granted under the older list and has a larger weight.
func TestOutdatedListDoesNotOvercount(t *testing.T) {
	for _, added := range []string{"r8", "r9", "s1", "s2"} {
		for phase := range 8 {
			sim, owner, outdated := startWithTwoOwners(t)
			sim.lists = append(sim.lists, append(slices.Clone(sim.lists[0]), added))
			sim.boot(added)
			for _, name := range sim.names() {
				n := sim.nodes[name]
				n.suspected[owner] = n.suspected[owner] || name == added
				if name != outdated {
					n.version = 1
					sim.refresh(name)
				}
			}
			sim.settle(10*time.Second + time.Duration(phase)*300*time.Millisecond)
			sim.nodes[outdated].version = 1
			sim.refresh(outdated)
			sim.settle(12 * time.Second)
			sim.syncViews()
			sim.settle(12 * time.Second)
			if got := sim.shares(); !almostEqual(got[sim.owner()], 1) {
				t.Fatalf("shares after adding %s: %v, want 1 for the owner", added, got)
			}
		}
	}
}

// Guards against votes whose weight grows with a shorter list while the vote of
// the removed router still counts for an owner with the longer list. The shares
// are checked at every step.
func TestShorterListDoesNotOvercount(t *testing.T) {
	sim, owner, removed := startWithTwoOwners(t)
	if got := sim.shares(); !almostEqual(got[owner], 0.5) || len(got) != 2 {
		t.Fatalf("shares %v, want half for the owner and some for one other router", got)
	}
	delete(sim.nodes, removed)
	sim.lists = append(sim.lists, slices.DeleteFunc(slices.Clone(sim.lists[0]), func(s string) bool { return s == removed }))
	for _, name := range sim.names() {
		if name != owner {
			sim.nodes[name].version = 1
			sim.refresh(name)
		}
	}
	sim.settle(8 * time.Second)
}

// Guards against an isolated router whose share is 0 or the whole bound.
func TestIsolatedRouterKeepsItsOwnVote(t *testing.T) {
	sim := startSimulation(t, 8)
	isolated := sim.names()[0]
	for name, n := range sim.nodes {
		if name != isolated {
			n.paused = true
			sim.nodes[isolated].suspected[name] = true
		}
	}
	sim.refresh(isolated)
	sim.settle(20 * time.Second)
	if got := sim.nodes[isolated].share.At(sim.now); !almostEqual(got, 1.0/8) {
		t.Fatalf("share of the isolated router is %v, want 1/8", got)
	}
}

// Guards against votes that use more control bytes than the budget leaves:
// heartbeats and the VM list use about 1,100 of 1,500 B/s, and the owner may
// send half of its renewals with data messages.
func TestRenewalCost(t *testing.T) {
	sim := startSimulation(t, 8)
	sim.bytes = 0
	sim.settle(20 * time.Second)
	perRouter := float64(sim.bytes) / 20 / 8
	t.Logf("%.0f B/s for each router on average, sent and received", perRouter)
	if perRouter > 400 {
		t.Errorf("votes use %.0f B/s for each router, want at most 400", perRouter)
	}
}

// Guards against an owner that renews more votes than a majority requires, and
// against one that loses its majority when one of its voters stops answering.
func TestOnlyMajorityIsRenewed(t *testing.T) {
	sim := newSimulation(8, t.Fatalf)
	for _, n := range sim.nodes {
		n.o.RenewMajorityOnly()
	}
	sim.settle(40 * time.Second)
	owner := sim.owner()
	votes := sim.nodes[owner].share.Votes(sim.now)
	if votes != 5 {
		t.Fatalf("the owner keeps %d of 8 votes, want 5", votes)
	}
	for name := range sim.nodes {
		if name != owner {
			sim.nodes[name].paused = true
			break
		}
	}
	for range 100 {
		sim.settle(100 * time.Millisecond)
		if _, ok := sim.nodes[owner].share.MajorityExpiry(sim.now); !ok {
			t.Fatal("the owner lost its majority after one voter stopped answering")
		}
	}
}
