package digest

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

// countingState counts how often each new placement is recorded.
type countingState struct {
	*fakeState
	mu       sync.Mutex
	recorded map[uint64]int
}

func newCountingState() *countingState {
	return &countingState{fakeState: &fakeState{received: map[Placement]bool{}}, recorded: map[uint64]int{}}
}

func (s *countingState) RecordPlacements(list []Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range list {
		if p.ReadTokens > 0 {
			s.recorded[p.PrefixHash]++
		}
	}
}

// ServerChanges returns none, so that only placements are counted.
func (s *countingState) ServerChanges() []ServerChange { return nil }

// place makes a new placement.
func (s *countingState) place(hash uint64) {
	s.fakeState.mu.Lock()
	defer s.fakeState.mu.Unlock()
	s.newPlacements = append(s.newPlacements, Placement{PrefixHash: hash, Server: 7, Tokens: 100, ReadTokens: 100})
}

// count returns how often a placement was recorded.
func (s *countingState) count(hash uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorded[hash]
}

// exchangeFleet is a fleet of exchanges on loopback.
type exchangeFleet struct {
	exchanges []*Exchange
	states    []*countingState
}

// newExchangeFleet starts n exchanges, with the first three as seeds, and waits until all know each other and who
// reads the store.
func newExchangeFleet(t *testing.T, n int) *exchangeFleet {
	t.Helper()
	f := &exchangeFleet{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	port := uint16(0)
	var seeds []netip.Addr
	for i := range n {
		host := netip.AddrFrom4([4]byte{127, 0, 6, byte(i + 1)})
		state := newCountingState()
		e, err := Listen(netip.AddrPortFrom(host, port), seeds, true, state, event.Nop())
		if err != nil {
			t.Fatal(err)
		}
		port = e.port
		if len(seeds) < 3 {
			seeds = append(seeds, host)
		}
		f.exchanges, f.states = append(f.exchanges, e), append(f.states, state)
		wg.Go(func() { _ = e.Receive() })
		wg.Go(func() { _ = e.Send(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		for _, e := range f.exchanges {
			_ = e.Close()
		}
		wg.Wait()
	})
	waitFor(t, "all routers know each other and the readers", func() bool {
		for i, e := range f.exchanges {
			if e.LivePeerCount() != n-1 || e.Reading() != (i < maxReaders) || !e.hasRelay() {
				return false
			}
		}
		return true
	})
	return f
}

func (e *Exchange) hasRelay() bool {
	_, found := e.relay(time.Now())
	return found
}

func (f *exchangeFleet) datagrams() int64 {
	n := int64(0)
	for _, e := range f.exchanges {
		n += e.sent.Load()
	}
	return n
}

// Guards against routers of a large fleet that send each new placement to each other one: at 195 routers that took most
// of their processor time. Also against placements that do not arrive, or that their own router or another one records
// twice, as reads that delay its engine.
func TestPlacementsOfALargeFleetAreRelayed(t *testing.T) {
	const routers, placements = 20, 20
	f := newExchangeFleet(t, routers)
	before, started := f.datagrams(), time.Now()
	hash := func(router, n int) uint64 { return uint64(1000*(router+1) + n) }
	for n := range placements {
		for i, s := range f.states {
			s.place(hash(i, n))
			f.exchanges[i].SendSoon()
		}
		// Several times as long as a router collects what it sends to all.
		time.Sleep(100 * time.Millisecond)
	}
	waitFor(t, "each router has the placements of all others", func() bool {
		for i := range routers {
			for j, s := range f.states {
				if i != j && s.count(hash(i, placements-1)) == 0 {
					return false
				}
			}
		}
		return true
	})
	sent, seconds := f.datagrams()-before, time.Since(started).Seconds()
	t.Logf("%d datagrams in %.1f s for %d placements of each of %d routers", sent, seconds, placements, routers)
	for i := range routers {
		for n := range placements {
			if own := f.states[i].count(hash(i, n)); own != 0 {
				t.Fatalf("router %d has recorded its own placement %d times", i, own)
			}
			for j, s := range f.states {
				if c := s.count(hash(i, n)); i != j && c != 1 {
					t.Fatalf("router %d has recorded a placement of router %d %d times, want once", j, i, c)
				}
			}
		}
	}
	// Sent to all, the placements alone would be 7,600 datagrams, and the other digests are about 500 a second.
	if limit := int64(routers*(routers-1)*placements/2) + int64(500*seconds); sent > limit {
		t.Errorf("%d datagrams, want at most %d", sent, limit)
	}
}

// Guards against placements that get lost in a fleet with a router of an earlier build, which neither relays nor
// understands what is relayed.
func TestPlacementsAreSentToAllWhileARouterCannotRelay(t *testing.T) {
	f := newExchangeFleet(t, 16)
	e := f.exchanges[5]
	old := netip.AddrFrom4([4]byte{127, 0, 6, 200})
	e.handle(old, &Message{Sender: 9, Reading: true, Role: RoleOther, Progress: []Progress{{Topic: 0, LastChange: pos(11)}}})
	if e.hasRelay() {
		t.Fatal("placements are relayed although a live router knows no relays")
	}
	f.states[5].place(5)
	before := e.sent.Load()
	e.SendSoon()
	waitFor(t, "all others have the placement", func() bool {
		for i, s := range f.states {
			if i != 5 && s.count(5) != 1 {
				return false
			}
		}
		return true
	})
	if sent := e.sent.Load() - before; sent < 16 {
		t.Errorf("%d datagrams, want one to each other router", sent)
	}
}

// Guards against relayed placements that fit no datagram, or are left out.
func TestRelayedPlacementsFitDatagrams(t *testing.T) {
	e := &Exchange{sender: 1, state: newCountingState(), toRelay: map[uint64][]Placement{}, relayWake: make(chan struct{}, 1), peers: NewPeers(addr(1), nil)}
	total := 0
	for origin := range uint64(60) {
		var list []Placement
		for n := range origin {
			list = append(list, Placement{PrefixHash: 1<<63 + n, Server: 1 << 63, Tokens: maxPromptTokens, ReadTokens: maxPromptTokens})
		}
		e.collect(origin+2, list)
		total += len(list)
	}
	got := 0
	for _, m := range e.relayedMessages() {
		b := Encode(m)
		if len(b) > maxDatagram {
			t.Errorf("a datagram of %d bytes", len(b))
		}
		decoded, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range decoded.Relayed {
			got += len(r.Placements)
		}
	}
	if got != total {
		t.Errorf("%d of %d placements are relayed", got, total)
	}
}
