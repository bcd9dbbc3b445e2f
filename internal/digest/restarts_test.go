package digest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

// restartFleet replays the digests of routers that are killed and start again. All is in memory, with a simulated clock.
type restartFleet struct {
	rng      *rand.Rand
	now      time.Duration
	routers  []*restartRouter
	inFlight []restartDatagram
}

type restartRouter struct {
	// exchange has the peers and sends nothing itself.
	exchange  *Exchange
	down      bool
	startedAt time.Duration
	// loadsAt is when its next loads are due, regularAt its next regular digest.
	loadsAt, regularAt time.Duration
	// probes is the number of its datagrams that search for restarted routers.
	probes int
}

type restartDatagram struct {
	arrives  time.Duration
	from, to int
	m        *Message
}

const (
	// restartStep is the resolution of the simulated time, and restartDelay the longest time of a datagram.
	restartStep  = 5 * time.Millisecond
	restartDelay = 15 * time.Millisecond
	// firstRead is how long after its start the store has answered a router.
	firstRead = 300 * time.Millisecond
)

// newRestartFleet returns n routers that know each other, the first three of which read the store and are the seeds.
func newRestartFleet(n int, seed uint64) *restartFleet {
	f := &restartFleet{rng: rand.New(rand.NewPCG(7, seed))}
	for i := range n {
		f.routers = append(f.routers, &restartRouter{})
		f.start(i, -time.Minute)
	}
	for i, r := range f.routers {
		for from, other := range f.routers {
			if from != i {
				r.exchange.peers.RecordMessage(fleetStart, routerAddr(from), other.message(fleetStart, from < maxReaders, true))
			}
		}
		f.lookForReaders(r)
	}
	return f
}

func (r *restartRouter) message(now time.Time, reader, reading bool) *Message {
	return &Message{Sender: r.exchange.sender, Reading: reading, Role: roleOf(reader), Progress: []Progress{{0, pos(1)}}}
}

// start starts a process of a router.
func (f *restartFleet) start(n int, at time.Duration) {
	r := f.routers[n]
	peers := NewPeers(routerAddr(n), []netip.Addr{routerAddr(0), routerAddr(1), routerAddr(2)})
	peers.since = fleetStart.Add(at)
	r.exchange = &Exchange{sender: f.rng.Uint64(), peers: peers}
	r.down, r.startedAt = false, at
	r.loadsAt = f.now + time.Duration(f.rng.Float64()*float64(loadInterval))
	r.regularAt = f.now
	if at < 0 {
		r.regularAt += time.Duration(f.rng.Float64() * float64(periodFor(len(f.routers)-1)))
	}
}

func (f *restartFleet) clock() time.Time { return fleetStart.Add(f.now) }

// lookForReaders returns the readers as a router sees them, and updates whether it is one.
func (f *restartFleet) lookForReaders(r *restartRouter) []netip.Addr {
	reads := f.now-r.startedAt >= firstRead
	return r.exchange.peers.Readers(f.clock(), OwnReads{Succeed: reads, Recent: reads})
}

func (f *restartFleet) send(n int, targets []netip.Addr, m *Message) {
	for _, to := range targets {
		b := to.As4()
		arrives := f.now + time.Duration(f.rng.Float64()*float64(restartDelay))
		f.inFlight = append(f.inFlight, restartDatagram{arrives, n, int(b[2])<<8 | int(b[3]), m})
	}
}

func (f *restartFleet) messageOf(n int) *Message {
	r := f.routers[n]
	return r.message(f.clock(), r.exchange.peers.reader, f.now-r.startedAt >= firstRead)
}

func (f *restartFleet) probe(n int) {
	r := f.routers[n]
	targets := r.exchange.peers.ProbeTargets(f.clock())
	r.probes += len(targets)
	f.send(n, targets, f.messageOf(n))
}

// run lets time pass as far as the condition lasts, for d at most.
func (f *restartFleet) run(d time.Duration, lasts func() bool) {
	for end := f.now + d; f.now < end && lasts(); f.now += restartStep {
		arriving := f.inFlight
		f.inFlight = nil
		for _, d := range arriving {
			if f.now < d.arrives {
				f.inFlight = append(f.inFlight, d)
			} else if !f.routers[d.to].down {
				f.receive(d)
			}
		}
		for n, r := range f.routers {
			if !r.down && f.now >= r.regularAt {
				f.sendRegular(n)
			}
			if !r.down && f.now >= r.loadsAt {
				f.sendLoads(n)
			}
		}
	}
}

func (f *restartFleet) receive(d restartDatagram) {
	e := f.routers[d.to].exchange
	if !e.peers.RecordMessage(f.clock(), routerAddr(d.from), d.m) {
		return
	}
	welcome := f.messageOf(d.to)
	welcome.Peers = e.nextPeers(e.peers.Targets(f.clock()))
	f.send(d.to, []netip.Addr{routerAddr(d.from)}, welcome)
	f.probe(d.to)
}

func (f *restartFleet) sendRegular(n int) {
	e := f.routers[n].exchange
	e.peers.Expire(f.clock())
	targets := e.peers.Targets(f.clock())
	f.routers[n].regularAt = f.now + spreadPeriod(periodFor(len(targets)), f.rng.Float64())
	m := f.messageOf(n)
	m.Peers = e.nextPeers(targets)
	f.send(n, targets, m)
}

// sendLoads sends a router's loads to the readers, and the totals of a reader to all.
func (f *restartFleet) sendLoads(n int) {
	r := f.routers[n]
	r.loadsAt += loadInterval
	targets := excludeAddr(f.lookForReaders(r), routerAddr(n))
	if r.exchange.peers.reader || r.exchange.smallFleet() {
		targets = r.exchange.peers.Targets(f.clock())
	}
	f.send(n, targets, f.messageOf(n))
	f.probe(n)
}

// killAndStart kills routers at once and starts them again.
func (f *restartFleet) killAndStart(routers []int, down time.Duration) {
	for _, n := range routers {
		f.routers[n].down = true
	}
	f.run(down, func() bool { return true })
	for _, n := range routers {
		f.start(n, f.now)
	}
}

// mostProbes returns the largest number of probes of a router.
func (f *restartFleet) mostProbes() (most int) {
	for _, r := range f.routers {
		most = max(most, r.probes)
	}
	return most
}

// upTo returns the numbers from first to n-1.
func upTo(first, n int) (list []int) {
	for i := first; i < n; i++ {
		list = append(list, i)
	}
	return list
}

// maxNoticed is the time after the restart of most routers in which the first router that survived must know of it. Callers
// take streams up from 0.5 s on.
const maxNoticed = 500 * time.Millisecond

// Guards against survivors of a large fleet that hear only with the regular digests, seconds after the restart, that most
// routers were killed, or take killed ones that are not back yet for survivors which come before them, and so leave it to
// these to ask the engines. Also against routers that send datagrams without bound to find it out.
func TestSurvivorsSoonKnowThatMostRoutersWereKilled(t *testing.T) {
	for _, c := range []struct{ routers, survivors int }{{7, 1}, {60, 1}, {60, 10}, {60, 27}, {120, 20}} {
		// Shorter than the time after which lost readers are replaced, and longer.
		for _, down := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d_of_%d_survive,_%v", c.survivors, c.routers, down), func(t *testing.T) {
				t.Parallel()
				checkNoticed(t, c.routers, c.survivors, down)
			})
		}
	}
}

func checkNoticed(t *testing.T, routers, survivors int, down time.Duration) {
	f := newRestartFleet(routers, 1)
	f.run(time.Second, func() bool { return true })
	// The readers and seeds come first, so none of them survives.
	f.killAndStart(upTo(0, routers-survivors), down)
	started := f.now
	f.run(5*time.Second, func() bool {
		for _, r := range f.routers[routers-survivors:] {
			if most, before := r.exchange.peers.MostRestarted(f.clock()); most && before == 0 {
				return false
			}
		}
		return true
	})
	after := f.now - started
	if after > maxNoticed {
		t.Errorf("a router knows it after %v, want %v at most", after, maxNoticed)
	}
	f.run(time.Second, func() bool { return true })
	most := f.mostProbes()
	t.Logf("known after %v, %d probes of a router at most", after, most)
	if most > maxProbes*routers {
		t.Errorf("a router sent %d probes, want %d at most", most, maxProbes*routers)
	}
	for n, r := range f.routers[:routers-survivors] {
		if r.probes > 0 {
			t.Fatalf("router %d, which was killed, sent %d probes, want none", n, r.probes)
		}
	}
}

// Guards against datagrams that a first start, a planned restart or a crash of few routers costs.
func TestOtherStartsAreNotProbed(t *testing.T) {
	const routers = 60
	forAWhile := func(f *restartFleet) { f.run(3*time.Second, func() bool { return true }) }
	for name, c := range map[string]struct {
		happens func(f *restartFleet)
		most    int
	}{
		"first start": {happens: func(f *restartFleet) {
			f.inFlight = nil
			for n := range f.routers {
				f.start(n, f.now)
			}
		}},
		"planned restarts": {happens: func(f *restartFleet) {
			for n, r := range f.routers {
				f.send(n, r.exchange.peers.Targets(f.clock()), &Message{Sender: r.exchange.sender, Stopping: true})
				f.killAndStart([]int{n}, 100*time.Millisecond)
			}
		}},
		"a crash of one":  {happens: func(f *restartFleet) { f.killAndStart([]int{0}, time.Second) }},
		"a crash of four": {happens: func(f *restartFleet) { f.killAndStart(upTo(0, 4), time.Second) }, most: maxProbes * firstProbes},
	} {
		f := newRestartFleet(routers, 1)
		c.happens(f)
		forAWhile(f)
		if most := f.mostProbes(); most > c.most {
			t.Errorf("%s: a router sent %d probes, want %d at most", name, most, c.most)
		}
		for n, r := range f.routers {
			if most, _ := r.exchange.peers.MostRestarted(f.clock()); most {
				t.Errorf("%s: router %d takes most routers for killed", name, n)
			}
		}
	}
}

// Guards against probes without bound in the largest fleet, when nobody answers, and against ones that a few crashes cost.
func TestProbesAreBounded(t *testing.T) {
	const routers = 340
	for name, c := range map[string]struct {
		// answers reports whether a probed router has restarted.
		answers func(n int) bool
		most    int
	}{
		"nobody has restarted": {func(int) bool { return false }, firstProbes * maxProbes},
		"few have restarted":   {func(n int) bool { return n%8 == 0 }, firstProbes * maxProbes},
		"a third has":          {func(n int) bool { return n%3 == 0 }, routers/3 + routers*2/3*maxProbes + 1},
		"most have restarted":  {func(n int) bool { return n%8 != 0 }, routers + routers/8*maxProbes},
	} {
		p := NewPeers(routerAddr(routers), nil)
		for n := range routers {
			p.RecordMessage(start, routerAddr(n), &Message{Sender: 1})
		}
		now := start.Add(time.Second)
		for n := range restartsToProbe {
			if targets := p.ProbeTargets(now); len(targets) > 0 {
				t.Errorf("%s: %d probes after %d restarts, want none", name, len(targets), n)
			}
			p.RecordMessage(now, routerAddr(n), &Message{Sender: 2})
		}
		probes := 0
		for ; now.Before(start.Add(restartWindow)); now = now.Add(loadInterval) {
			targets := p.ProbeTargets(now)
			if len(targets) > probesAtOnce {
				t.Fatalf("%s: %d probes at once, want %d at most", name, len(targets), probesAtOnce)
			}
			probes += len(targets)
			for _, to := range targets {
				if b := to.As4(); c.answers(int(b[2])<<8 | int(b[3])) {
					p.RecordMessage(now.Add(time.Millisecond), to, &Message{Sender: 2})
				}
			}
		}
		if probes == 0 || probes > c.most {
			t.Errorf("%s: %d probes, want 1 to %d", name, probes, c.most)
		}
	}
}

// Guards against an exchange that does not probe when it hears of restarts, or does so once only: routers may be back a
// second later than the first ones.
func TestExchangeProbesAgain(t *testing.T) {
	const routers = smallFleetPeers + 4
	e, err := Listen(netip.MustParseAddrPort("127.0.9.200:0"), nil, true, &fakeState{received: map[Placement]bool{}}, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	counts := make([]atomic.Int64, routers)
	for i := range routers {
		host := netip.AddrFrom4([4]byte{127, 0, 9, byte(i + 2)})
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, e.port)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			for buffer := make([]byte, 2*maxDatagram); ; counts[i].Add(1) {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
			}
		}()
		// Three others read the store, so that this router does not send to all.
		e.handle(host, &Message{Sender: 1, Reading: true, Role: roleOf(i < maxReaders), Progress: []Progress{{0, pos(1)}}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = e.Send(ctx) }()
	// A router that is heard after the restarts is not probed, and a silent one is.
	heard, silent := routers-1, routers-2
	for i := range restartsToProbe {
		e.handle(netip.AddrFrom4([4]byte{127, 0, 9, byte(i + 2)}), &Message{Sender: 2})
	}
	waitFor(t, "the silent router is probed again", func() bool {
		e.handle(netip.AddrFrom4([4]byte{127, 0, 9, byte(heard + 2)}), &Message{Sender: 1})
		return counts[silent].Load() >= counts[heard].Load()+2
	})
}

// Guards against a survivor that leaves the question for streams' versions to a killed router which is not back yet.
func TestSilentRouterIsNoSurvivor(t *testing.T) {
	p := NewPeers(addr(20), nil)
	for n := range 9 {
		p.RecordMessage(start, addr(n+1), &Message{Sender: 1})
	}
	now := start.Add(time.Second)
	p.RecordMessage(now, addr(2), &Message{Sender: 1})
	for n := 4; n < 9; n++ {
		p.RecordMessage(now, addr(n+1), &Message{Sender: 2})
	}
	if most, before := p.MostRestarted(now); !most || before != 1 {
		t.Errorf("most restarted %v with %d survivors before this one, want true with 1", most, before)
	}
}
