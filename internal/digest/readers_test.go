package digest

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

// roleFleet is a fleet of routers whose digests arrive as a test says. Its routers send
// as an Exchange does: readers to all in each loadInterval, the others with their regular
// digests, and a router that begins to read tells all.
type roleFleet struct {
	now     time.Time
	peers   []*Peers
	era     []int64
	regular time.Duration
	// lose reports whether a datagram is lost.
	lose func(from, to int) bool
	// delay is the time until a datagram arrives.
	delay    time.Duration
	inFlight []roleDatagram
}

type roleDatagram struct {
	arrives  time.Time
	from, to int
	role     Role
	era      int64
	// failing is set by a router whose reads fail.
	failing bool
}

func routerAddr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

func newRoleFleet(n int) *roleFleet {
	f := &roleFleet{now: start, regular: periodFor(n - 1), delay: 40 * time.Millisecond, era: make([]int64, n)}
	for i := range n {
		f.peers = append(f.peers, NewPeers(routerAddr(i), nil))
	}
	// All know each other, and the first three read.
	for from := range n {
		m := roleMessage(from, roleOf(from < maxReaders), 0)
		for _, p := range f.peers {
			p.RecordMessage(f.now, routerAddr(from), m)
		}
	}
	for _, p := range f.peers {
		p.IsReader(f.now, OwnReads{Succeed: true})
	}
	f.lose = func(int, int) bool { return false }
	return f
}

func roleMessage(from int, role Role, era int64) *Message {
	return &Message{Sender: uint64(from + 1), Reading: true, Role: role, StoreEra: era, Progress: []Progress{{0, pos(1)}}}
}

func (f *roleFleet) send(from int, role Role) {
	for to := range f.peers {
		if to != from && !f.lose(from, to) {
			f.inFlight = append(f.inFlight, roleDatagram{arrives: f.now.Add(f.delay), from: from, to: to, role: role, era: f.era[from]})
		}
	}
}

// roleStep is the resolution of the simulated time.
const roleStep = 20 * time.Millisecond

// run lets time pass and returns how often each router became a reader.
func (f *roleFleet) run(d time.Duration) map[int]int {
	became := map[int]int{}
	n := len(f.peers)
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(roleStep) {
		step := int(f.now.Sub(start) / roleStep)
		rest := f.inFlight[:0]
		for _, m := range f.inFlight {
			if f.now.Before(m.arrives) {
				rest = append(rest, m)
				continue
			}
			f.peers[m.to].RecordMessage(f.now, routerAddr(m.from), roleMessage(m.from, m.role, m.era))
		}
		f.inFlight = rest
		for i, p := range f.peers {
			// Each router looks at its role five times a second, in a phase of its own.
			if (step+i)%10 == 0 {
				was := p.reader
				if p.IsReader(f.now, OwnReads{Succeed: true, Era: f.era[i]}) && !was {
					became[i]++
					f.send(i, RoleReader)
				}
			}
			interval := f.regular
			if p.reader || n <= smallFleetPeers+1 {
				interval = loadInterval
			}
			if f.now.Sub(start)%interval < roleStep {
				f.send(i, roleOf(p.reader))
			}
		}
	}
	return became
}

func (f *roleFleet) readers() (list []int) {
	for i, p := range f.peers {
		if p.reader {
			list = append(list, i)
		}
	}
	return list
}

// Guards against calls to the store that grow with the fleet when all routers miss the
// digests of the readers at the same moment, although these still read; and against
// routers that read on when the digests arrive again.
func TestFewRoutersReadWhenAllMissTheReaders(t *testing.T) {
	t.Parallel()
	for _, n := range []int{5, 13, 30, 60, 340} {
		f := newRoleFleet(n)
		f.run(time.Second)
		f.lose = func(from, to int) bool { return from < maxReaders }
		became := f.run(4 * time.Second)
		t.Logf("%d routers: %d became readers", n, len(became))
		if len(became) > 2*maxReaders {
			t.Errorf("%d of %d routers became readers, want at most %d", len(became), n, 2*maxReaders)
		}
		f.lose = func(int, int) bool { return false }
		f.run(2 * time.Second)
		if got := f.readers(); len(got) != maxReaders || got[2] != maxReaders-1 {
			t.Errorf("%d routers: readers %v after all are heard again, want the first three", n, got)
		}
	}
}

// Guards against readers that are replaced late: within readerTimeout of their last digest
// the next ones must begin to read, in every fleet.
func TestLostReadersAreReplacedAtOnce(t *testing.T) {
	t.Parallel()
	for _, n := range []int{4, 7, 13, 20, 60, 340} {
		for _, lost := range []int{1, maxReaders} {
			f := newRoleFleet(n)
			f.run(time.Second)
			f.lose = func(from, to int) bool { return from < lost || to < lost }
			f.run(readerTimeout + 220*time.Millisecond)
			got := 0
			for _, i := range f.readers() {
				if i >= lost {
					got++
				}
			}
			if want := min(maxReaders, n-lost); got < want {
				t.Errorf("%d routers without the first %d: %d readers, want %d", n, lost, got, want)
			}
		}
	}
}

// Guards against a store that nobody reads when the readers and many of those that would
// replace them are lost at the same moment.
func TestReadersAndTheirSuccessorsAreReplaced(t *testing.T) {
	t.Parallel()
	for _, n := range []int{20, 60, 340} {
		f := newRoleFleet(n)
		f.run(time.Second)
		lost := n / 2
		f.lose = func(from, to int) bool { return from < lost || to < lost }
		f.run(readerTimeout + 1600*time.Millisecond)
		got := 0
		for _, i := range f.readers() {
			if i >= lost {
				got++
			}
		}
		t.Logf("%d routers without the first half: %d readers", n, got)
		if got < maxReaders {
			t.Errorf("%d routers without the first half: %d readers, want %d", n, got, maxReaders)
		}
	}
}

// Guards against routers that begin to read at the full rate because they see a new era
// of the store before the readers do, with one of their half-minute reads.
func TestRouterThatSeesAnEraFirstWaitsForTheReaders(t *testing.T) {
	t.Parallel()
	f := newRoleFleet(340)
	f.run(time.Second)
	for i := 100; i < 120; i++ {
		f.era[i] = 5
	}
	became := f.run(1800 * time.Millisecond)
	if len(became) > 0 {
		t.Errorf("%d routers became readers before the readers could see the era", len(became))
	}
	for i := range maxReaders {
		f.era[i] = 5
	}
	if became := f.run(2 * time.Second); len(became) > 0 {
		t.Errorf("%d routers became readers although the readers have seen the era", len(became))
	}
	for i := 100; i < 120; i++ {
		f.era[i] = 6
	}
	f.run(eraEntryWait + time.Second)
	if got := f.readers(); len(got) == maxReaders {
		t.Errorf("readers %v: nobody reads the era that the readers do not see", got)
	}
}

// Guards against routers that started together and send all their regular digests at the
// same moment, which overflows the sockets of the receivers, and against small fleets whose
// routers are heard too seldom.
func TestRegularDigestsOfALargeFleetAreSpread(t *testing.T) {
	const routers = 340
	period := periodFor(routers - 1)
	inSecond := map[int]int{}
	for i := range routers {
		inSecond[int(spreadPeriod(period, float64(i)/routers)/time.Second)]++
	}
	for second, n := range inSecond {
		if n > routers/4 {
			t.Errorf("%d of %d routers send in second %d after a common start", n, routers, second)
		}
	}
	if got := spreadPeriod(minPeriod, 1); got != minPeriod {
		t.Errorf("a period of %s is spread to %s", minPeriod, got)
	}
	if longest := spreadPeriod(period, 1); 2*longest >= liveTimeoutPeriods*period {
		t.Errorf("a router that sends every %s counts as gone after one lost digest", longest)
	}
}

// Guards against a router that learns the readers late, because 16 of hundreds of routers
// are named to it at a time, and reads the store itself meanwhile.
func TestReadersAreNamedFirst(t *testing.T) {
	f := newRoleFleet(340)
	e := &Exchange{peers: f.peers[200], peerCursor: 100}
	targets := e.peers.Targets(f.now)
	first, second := e.nextPeers(targets), e.nextPeers(targets)
	for _, named := range [][]netip.Addr{first, second} {
		for i := range maxReaders {
			if named[i] != routerAddr(i) {
				t.Errorf("named %v, want the three readers first", named)
			}
		}
	}
	if first[maxReaders] == second[maxReaders] {
		t.Errorf("the same others are named twice: %v", first)
	}
}

// Guards against a router that does not hear the readers and takes others which it hears
// for readers: it would get no changes, since those hear the readers and read nothing.
func TestRouterThatDoesNotHearTheReadersReadsItself(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 20, 60, 340} {
		f := newRoleFleet(n)
		f.run(time.Second)
		f.lose = func(from, to int) bool { return from < maxReaders && to >= n-2 }
		f.run(readerTimeout + 2*time.Second)
		if got := f.readers(); len(got) < maxReaders+1 || len(got) > maxReaders+2 || got[maxReaders] < n-2 {
			t.Errorf("%d routers: readers %v, want the first three and those that do not hear them", n, got)
		}
		f.lose = func(int, int) bool { return false }
		f.run(2 * time.Second)
		if got := f.readers(); len(got) != maxReaders {
			t.Errorf("%d routers: readers %v after all are heard, want the first three", n, got)
		}
	}
}

// switchedState is the State of a router whose reads of the store a test ends.
type switchedState struct {
	fakeState
	failing atomic.Bool
}

func (s *switchedState) Progress() StoreProgress {
	p := s.fakeState.Progress()
	p.OwnReads.Succeed = !s.failing.Load()
	return p
}

// Guards against a large fleet that learns more than a second late that a router has stopped
// reading for it: then nobody takes its place, and configurations arrive late.
func TestRouterThatStopsReadingTellsAll(t *testing.T) {
	state := &switchedState{fakeState: fakeState{received: map[Placement]bool{}}}
	e, err := Listen(netip.MustParseAddrPort("127.0.8.21:0"), nil, true, state, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	follower, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr("127.0.8.99"), e.port)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = follower.Close() })
	now := time.Now()
	for i := range 20 {
		// The first two others read as well.
		e.peers.RecordMessage(now, netip.AddrFrom4([4]byte{127, 0, 8, byte(80 + i)}), roleMessage(i, roleOf(i < 2), 0))
	}
	// It claims to read for the others once the store has answered it, and no longer when its answers are old.
	for _, c := range []struct{ failing, old, reader bool }{
		{false, false, true}, {false, true, false}, {false, false, true}, {true, false, false},
	} {
		state.failing.Store(c.failing)
		state.answersOld.Store(c.old)
		reading := !c.failing
		if e.IsReader() != reading {
			t.Fatalf("the router reads for the others: %v, want %v", !reading, reading)
		}
		buffer := make([]byte, 2*maxDatagram)
		_ = follower.SetReadDeadline(time.Now().Add(time.Second))
		n, err := follower.Read(buffer)
		if err != nil {
			t.Fatalf("nothing is sent to a router that is no reader: %v", err)
		}
		m, err := Decode(buffer[:n])
		if err != nil || m.Reading != reading || m.Role != roleOf(c.reader) {
			t.Errorf("message %+v, error %v; want that the sender reads: %v, is a reader: %v", m, err, reading, c.reader)
		}
	}
}
