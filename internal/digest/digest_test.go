package digest

import (
	"bytes"
	"context"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/configdiff"
	"github.com/bluebellwell/bluebellwell/internal/evacuation"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/quarantine"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
	_ "github.com/bluebellwell/bluebellwell/internal/testseed"
)

// pos returns a position in the first era.
func pos(offset int64) logpos.Position { return logpos.Position{Offset: offset} }

func drawMessage(t *rapid.T) *Message {
	m := &Message{
		Sender:            rapid.Uint64().Draw(t, "sender"),
		Stopping:          rapid.Bool().Draw(t, "stopping"),
		RequestPlacements: rapid.Bool().Draw(t, "request placements"),
		LoadsComplete:     rapid.Bool().Draw(t, "loads complete"),
		Reading:           rapid.Bool().Draw(t, "reading"),
		StoreEra:          rapid.Int64Min(0).Draw(t, "store era"),
		ConfigVersion:     rapid.Int64Min(0).Draw(t, "configuration"),
		ListEnd:           rapid.Int64Min(0).Draw(t, "list end"),
		ServersHash:       rapid.Uint32().Draw(t, "servers hash"),
		Role:              Role(rapid.IntRange(int(RoleUnknown), int(RoleOther)).Draw(t, "role")),
		Synced:            rapid.Bool().Draw(t, "synced"),
		PlacementsReply:   rapid.Bool().Draw(t, "placements reply"),
		Relay:             rapid.Bool().Draw(t, "relay"),
		Level:             rapid.Int64Min(0).Draw(t, "level"),
		AllCold:           rapid.Bool().Draw(t, "all cold"),
		Routers:           rapid.Int64Min(0).Draw(t, "routers"),
		NotGranting:       rapid.Bool().Draw(t, "not granting"),
		VersionsAsked:     rapid.Bool().Draw(t, "versions asked"),
		Processor:         rapid.Int64Range(0, 64000).Draw(t, "processor"),
		Region:            rapid.SampledFrom([]string{"", "north"}).Draw(t, "region"),
	}
	for range rapid.IntRange(0, 5).Draw(t, "n") {
		m.Peers = append(m.Peers, addr(rapid.IntRange(0, 255).Draw(t, "peer")))
		m.Loads = append(m.Loads, Load{rapid.Uint32().Draw(t, "server"), rapid.IntRange(0, 1000).Draw(t, "load")})
		m.TotalLoads = append(m.TotalLoads, Load{rapid.Uint32().Draw(t, "total server"), rapid.IntRange(0, 1000).Draw(t, "total")})
		m.Outcomes = append(m.Outcomes, drawOutcomes(t))
		m.TotalFailures = append(m.TotalFailures, drawOutcomes(t))
		m.Times = append(m.Times, drawPoolTimes(t))
		m.TotalTimes = append(m.TotalTimes, drawPoolTimes(t))
		m.Placements = append(m.Placements, Placement{
			PrefixHash: rapid.Uint64().Draw(t, "prefix hash"), Server: rapid.Uint64().Draw(t, "caching server"),
			Tokens: rapid.IntRange(0, maxPromptTokens).Draw(t, "prefix tokens"), ReadTokens: rapid.IntRange(0, maxPromptTokens).Draw(t, "read tokens"),
		})
		m.Cached = append(m.Cached, Placement{
			PrefixHash: rapid.Uint64().Draw(t, "cached prefix"), Server: rapid.SampledFrom([]uint64{3, 4}).Draw(t, "server of it"),
			Tokens: rapid.IntRange(0, maxPromptTokens).Draw(t, "cached tokens"),
		})
		m.Evacuations.Entries = append(m.Evacuations.Entries, evacuation.Entry{
			DataCentre: rapid.StringN(1, 20, 250).Draw(t, "data centre"), Position: drawEvacuationPosition(t), Lifted: rapid.Bool().Draw(t, "lifted"),
			HoldFor: time.Duration(rapid.IntRange(0, int(evacuation.HoldTime.Milliseconds())).Draw(t, "hold")) * time.Millisecond,
		})
		m.Evacuations.Known, m.Evacuations.AsOf = true, drawEvacuationPosition(t)
		m.Evacuations.Partial = rapid.Bool().Draw(t, "partial")
		m.Progress = append(m.Progress, Progress{rapid.IntRange(0, 7).Draw(t, "topic"), drawPosition(t)})
		m.Servers = append(m.Servers, drawServerChange(t))
		m.Heard = append(m.Heard, rapid.Uint16().Draw(t, "heard"))
		m.Cold = append(m.Cold, ColdServer{
			Server: rapid.Uint32().Draw(t, "cold server"), ByEntry: rapid.Bool().Draw(t, "by entry"),
			Left: time.Duration(rapid.Int64Range(0, maxColdTime.Milliseconds()).Draw(t, "left")) * time.Millisecond,
		})
		m.Relayed = append(m.Relayed, RelayedPlacements{Origin: rapid.Uint64().Draw(t, "origin"), Placements: slices.Clone(m.Placements)})
		m.Streams = append(m.Streams, streamversion.Record{
			Stream: streamversion.Stream(rapid.Uint64().Draw(t, "stream")), Version: streamversion.Version(rapid.Uint64().Draw(t, "version of it")),
		})
		m.AskedStreams = append(m.AskedStreams, rapid.Uint64().Draw(t, "asked stream"))
		m.Parts.Crashes = append(m.Parts.Crashes, quarantine.Crash{
			Engine: rapid.Uint64().Draw(t, "engine"), Parts: rapid.SliceOfN(rapid.Uint64(), 1, partsPerDatagram).Draw(t, "parts"), Age: drawAge(t),
			Broken:   rapid.Bool().Draw(t, "broken"),
			Requests: []quarantine.SentRequest{{Fingerprint: rapid.Uint64().Draw(t, "fingerprint"), Age: drawAge(t)}},
		})
		m.Limits = append(m.Limits, Limit{
			Server: rapid.Uint32().Draw(t, "limited server"), PerSecond: rapid.SampledFrom([]float64{-1, 0, 1.5, 1e6}).Draw(t, "limit"), Age: drawAge(t),
		})
		m.Parts.Sound = append(m.Parts.Sound, rapid.Uint64().Draw(t, "sound part"))
		m.Parts.Entries = append(m.Parts.Entries, quarantine.Entry{
			Part: rapid.Uint64().Draw(t, "part"), Request: rapid.Bool().Draw(t, "request"), Age: drawAge(t), Idle: drawAge(t), NextTrial: drawAge(t), Trials: rapid.IntRange(0, maxTrials).Draw(t, "trials"),
		})
	}
	return m
}

func drawAge(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(0, maxReportAge.Milliseconds()).Draw(t, "age")) * time.Millisecond
}

func drawOutcomes(t *rapid.T) Outcomes {
	return Outcomes{
		Server: rapid.Uint32().Draw(t, "outcomes server"), Failed: rapid.IntRange(0, 1000).Draw(t, "failed"), Ended: rapid.IntRange(0, 1000).Draw(t, "ended"),
	}
}

func drawPoolTimes(t *rapid.T) PoolTimes {
	number := rapid.IntRange(0, maxPoolTimesValue)
	return PoolTimes{
		Pool: rapid.Uint32().Draw(t, "pool"), Served: number.Draw(t, "served"), Objectives: number.Draw(t, "objectives"),
		Refused: number.Draw(t, "refused"), InUse: number.Draw(t, "in use"), Decided: number.Draw(t, "decided"), Sent: number.Draw(t, "sent"),
	}
}

func drawPosition(t *rapid.T) logpos.Position {
	return logpos.Position{Era: rapid.Int64Min(0).Draw(t, "era"), Offset: rapid.Int64Min(-1).Draw(t, "offset")}
}

func drawEvacuationPosition(t *rapid.T) logpos.Position {
	return logpos.Position{Era: rapid.Int64Min(0).Draw(t, "era"), Offset: rapid.Int64Min(0).Draw(t, "offset")}
}

func drawServerChange(t *rapid.T) ServerChange {
	c := ServerChange{ID: "i-1", Position: drawPosition(t), Prev: drawPosition(t)}
	if rapid.Bool().Draw(t, "removed") {
		return c
	}
	c.Server = &registry.Server{
		ID: c.ID, Pool: "p", Addr: "10.0.0.1:80", DataCentre: rapid.SampledFrom([]string{"", "hall"}).Draw(t, "data centre"),
		Slots: rapid.IntRange(0, 500).Draw(t, "slots"), Version: rapid.SampledFrom([]string{"", "v1.1"}).Draw(t, "version"), Born: rapid.Int64Min(0).Draw(t, "born"),
		Leaving: rapid.Bool().Draw(t, "leaving"), Engine: rapid.Bool().Draw(t, "engine"),
		ColdLeft: rapid.SampledFrom([]time.Duration{0, registry.NotCold, time.Millisecond, 20 * time.Second}).Draw(t, "cold"),
	}
	return c
}

func addr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

// Guards against a field that is lost or changed on the wire.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		got, err := Decode(Encode(m))
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, %v; want %+v", got, err, m)
		}
	})
}

// Guards against foreign or corrupt datagrams that make the receiver panic.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(&Message{Sender: 1, Loads: []Load{{2, 3}}, Peers: []netip.Addr{addr(1)}}))
	f.Add([]byte{0x32, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		if again, err := Decode(Encode(m)); err != nil || !bytes.Equal(Encode(again), Encode(m)) {
			t.Errorf("%+v changes when it is encoded and decoded again: %v", m, err)
		}
	})
}

var start = time.Unix(1000, 0)

// Guards against loads of a router that is down, and against a message without
// complete loads that replaces the earlier ones of its sender.
func TestLoadsOfLivePeers(t *testing.T) {
	p := NewPeers(addr(1), nil)
	p.RecordMessage(start, addr(2), &Message{Sender: 2, LoadsComplete: true, Loads: []Load{{7, 3}, {8, 1}}})
	p.RecordMessage(start.Add(time.Second), addr(3), &Message{Sender: 3, LoadsComplete: true, Loads: []Load{{7, 2}}})
	p.RecordMessage(start.Add(time.Second), addr(3), &Message{Sender: 3, Placements: []Placement{{PrefixHash: 1, Server: 1}}})
	if got := p.Loads(start.Add(time.Second)); got[7] != 5 || got[8] != 1 {
		t.Errorf("loads %v, want 5 for server 7 and 1 for server 8", got)
	}
	if got := p.Loads(start.Add(loadsMaxAge)); got[7] != 2 || got[8] != 0 {
		t.Errorf("loads after one router has sent nothing for the maximum age: %v, want 2 for server 7 and none for server 8", got)
	}
	p.RecordMessage(start.Add(loadsMaxAge), addr(3), &Message{Sender: 3, Stopping: true})
	if got := p.Loads(start.Add(loadsMaxAge)); len(got) != 0 {
		t.Errorf("loads after the other router stopped: %v, want none", got)
	}
}

// Guards against a store that no router reads: whichever routers fail or lose the
// store, some live one must read, and after readerTimeout no failed one counts.
func TestSomeLiveRouterReadsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 9
		reads := make([]bool, routers)
		alive := make([]bool, routers)
		for i := range routers {
			reads[i] = rapid.Bool().Draw(t, "reads")
			alive[i] = rapid.Bool().Draw(t, "alive")
		}
		later := start.Add(readerTimeout)
		found, healthy := false, false
		for i := range routers {
			p := NewPeers(addr(i), nil)
			for j := range routers {
				at := start
				if alive[j] {
					at = later
				}
				p.RecordMessage(at, addr(j), &Message{Sender: uint64(j), Reading: reads[j], Progress: []Progress{{0, pos(1)}}})
			}
			isReader := alive[i] && reads[i]
			healthy = healthy || isReader
			found = found || isReader && p.IsReader(later, OwnReads{Succeed: true})
		}
		if healthy && !found {
			t.Fatalf("alive %v, reading %v: no live router reads the store", alive, reads)
		}
	})
}

// Guards against a router that never finds the others: it sends to the seeds while
// no peer is live, and to the routers that others name.
func TestTargets(t *testing.T) {
	p := NewPeers(addr(1), []netip.Addr{addr(1), addr(2)})
	if got := p.Targets(start); len(got) != 1 || got[0] != addr(2) {
		t.Errorf("targets of a new router: %v, want the other seed", got)
	}
	p.RecordMessage(start, addr(2), &Message{Sender: 2, Peers: []netip.Addr{addr(1), addr(3)}})
	if got := p.Targets(start); len(got) != 2 || got[1] != addr(3) {
		t.Errorf("targets after a digest: %v, want its sender and the router that it names", got)
	}
	p.Expire(start.Add(peerRetention + 1))
	if got := p.Targets(start.Add(peerRetention + 1)); len(got) != 1 || got[0] != addr(2) {
		t.Errorf("targets after all peers have expired: %v, want the seed", got)
	}
}

// Guards against a change that is sent again to routers that have reported it, which was
// most of what a reader of a large fleet sent, and against one that is kept from a
// router which has reported an earlier change, none, or one of another topic.
func TestOnlyRoutersThatLackAChangeGetItAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPeers(addr(1), nil)
	for n, list := range map[int][]Progress{
		2: {{Topic: TopicServers, LastChange: pos(8)}}, 3: {{Topic: TopicServers, LastChange: pos(9)}},
		4: {{Topic: TopicServers, LastChange: logpos.Position{Era: 1, Offset: 2}}}, 5: {{Topic: TopicConfig, LastChange: pos(12)}}, 6: nil,
	} {
		p.RecordMessage(now, addr(n), &Message{Sender: uint64(n), Progress: list})
	}
	targets := append(p.Targets(now), addr(7))
	got := p.WithoutChange(targets, TopicServers, pos(9))
	if want := []netip.Addr{addr(2), addr(5), addr(6), addr(7)}; !slices.Equal(got, want) {
		t.Errorf("sent again to %v, want %v", got, want)
	}
}

// Guards against sums that leave out the servers with the most failures when more fail
// than fit into a datagram.
func TestMostFailedServersAreSummed(t *testing.T) {
	p := NewPeers(addr(1), nil)
	var own []Outcomes
	for i := range 2 * outcomesPerDatagram {
		own = append(own, Outcomes{Server: uint32(i), Failed: i, Ended: 1000})
	}
	got := p.Outcomes(start, own)
	if len(got) != outcomesPerDatagram {
		t.Fatalf("%d servers, want %d", len(got), outcomesPerDatagram)
	}
	for _, o := range got {
		if o.Failed < outcomesPerDatagram {
			t.Errorf("server with %d failures was chosen, want those with %d and more", o.Failed, outcomesPerDatagram)
		}
	}
}

// Guards against datagrams of placements that are fragmented, and one lost fragment
// loses them all.
func TestPlacementsFitIntoADatagram(t *testing.T) {
	largest := Placement{PrefixHash: math.MaxUint64, Server: math.MaxUint64, Tokens: maxPromptTokens, ReadTokens: maxPromptTokens}
	m := &Message{Sender: math.MaxUint64}
	for range placementsPerDatagram {
		m.Placements = append(m.Placements, largest)
	}
	reply := &Message{Sender: math.MaxUint64, PlacementsReply: true}
	for i := range cachedPerDatagram {
		largest.Server = uint64(i)
		reply.Cached = append(reply.Cached, largest)
	}
	for _, m := range []*Message{m, reply} {
		if n := len(Encode(m)); n > maxDatagram {
			t.Errorf("datagram of %d bytes, want at most %d", n, maxDatagram)
		}
	}
}

// Guards against a router that the store turns away and that still counts itself as
// a reader, and against a fleet in which all routers poll a store that serves none.
func TestReadersWhileReadsFail(t *testing.T) {
	p := NewPeers(addr(1), nil)
	reads := func(i int, reading bool) {
		p.RecordMessage(start, addr(i), &Message{Sender: uint64(i), Reading: reading, Progress: []Progress{{0, pos(1)}}})
	}
	for i := 2; i <= 6; i++ {
		reads(i, true)
	}
	if p.IsReader(start, OwnReads{}) {
		t.Error("a router whose reads fail is a reader although others read")
	}
	for i := 2; i <= 6; i++ {
		reads(i, false)
	}
	if got := p.Readers(start, OwnReads{}); len(got) != maxReaders || got[0] != addr(1) || got[2] != addr(3) {
		t.Errorf("readers %v while no reads succeed, want the first three", got)
	}
	last := NewPeers(addr(9), nil)
	for i := 2; i <= 6; i++ {
		last.RecordMessage(start, addr(i), &Message{Sender: uint64(i), Progress: []Progress{{0, pos(1)}}})
	}
	if last.IsReader(start, OwnReads{}) {
		t.Error("the last of six routers polls the store while no reads succeed")
	}
}

// Guards against a full table of peers that drops the messages of a known router
// which has restarted.
func TestKnownPeerRestartsInAFullTable(t *testing.T) {
	p := NewPeers(addr(1), nil)
	for i := range maxTrackedPeers {
		p.RecordMessage(start, netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), &Message{Sender: 1})
	}
	known := netip.AddrFrom4([4]byte{10, 1, 0, 7})
	if !p.RecordMessage(start.Add(time.Second), known, &Message{Sender: 2}) {
		t.Error("the restart of a known router was not noticed")
	}
	if p.RecordMessage(start, addr(200), &Message{Sender: 3}) || len(p.tracked) > maxTrackedPeers {
		t.Errorf("%d tracked peers, want at most %d", len(p.tracked), maxTrackedPeers)
	}
}

// fakeState is the State of a router in tests.
type fakeState struct {
	mu            sync.Mutex
	allPlacements []Placement
	newPlacements []Placement
	received      map[Placement]bool
	loads         map[uint32]int
	serverChanges []ServerChange
	outcomes      []Outcomes
	times         []PoolTimes
	routers       int
	parts         []quarantine.Entry
	// evacuations are those that the router knows, receivedEvacuations those that another one has sent.
	evacuations, receivedEvacuations evacuation.View
	// heardReader is set once they came from a reader of the store.
	heardReader bool
	// serversUnknown is set while the router has not read the list of servers.
	serversUnknown atomic.Bool
	// answersOld is set while the store has not answered the router lately.
	answersOld atomic.Bool
}

func (s *fakeState) Loads() []Load { return []Load{{Server: 7, InFlight: 2}} }

func (s *fakeState) TakeNewPlacements() []Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.newPlacements
	s.newPlacements = nil
	return p
}

func (s *fakeState) AllPlacements() []Placement { return s.allPlacements }

func (s *fakeState) SetRouterCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = n
}

func (s *fakeState) ServersKnown() bool { return !s.serversUnknown.Load() }

func (s *fakeState) Progress() StoreProgress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreProgress{Evacuations: s.evacuations, Topics: []Progress{{Topic: 0, LastChange: pos(11)}}, OwnReads: OwnReads{Succeed: true, Recent: !s.answersOld.Load()}}
}

func (s *fakeState) SetPeerLoads(loads map[uint32]int, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = loads
}

func (s *fakeState) Outcomes() []Outcomes { return []Outcomes{{Server: 7, Failed: 2, Ended: 5}} }

func (s *fakeState) SetOutcomes(list []Outcomes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = list
}

func (s *fakeState) TakeTimes() []PoolTimes {
	return []PoolTimes{{Pool: 3, Served: 2, Objectives: 1500, InUse: 700, Decided: 4, Sent: 3}}
}

func (s *fakeState) SetTimes(list []PoolTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = list
}

// hasFleetTimes reports whether the summed times of two routers have arrived.
func (s *fakeState) hasFleetTimes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.times) == 1 && s.times[0] == PoolTimes{Pool: 3, Served: 4, Objectives: 3000, InUse: 1400, Decided: 8, Sent: 6}
}

// hasFleetOutcomes reports whether the summed outcomes of two routers have arrived.
func (s *fakeState) hasFleetOutcomes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.outcomes) == 1 && s.outcomes[0] == Outcomes{Server: 7, Failed: 4, Ended: 10}
}

func (s *fakeState) RecordCached(list []Placement) { s.RecordPlacements(list) }

func (s *fakeState) RecordPlacements(list []Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, placement := range list {
		s.received[placement] = true
	}
}

func (s *fakeState) TakeNewStreams() []streamversion.Record                     { return nil }
func (s *fakeState) RecordStreams([]streamversion.Record, streamversion.Source) {}

func (s *fakeState) StreamRecord(streamversion.Stream) (streamversion.Record, bool) {
	return streamversion.Record{}, false
}

func (s *fakeState) TakeLimits() []Limit               { return nil }
func (s *fakeState) TakeCold() []ColdServer            { return nil }
func (s *fakeState) ColdServers() ([]ColdServer, bool) { return nil, false }
func (s *fakeState) ApplyCold([]ColdServer, bool)      {}

func (s *fakeState) ApplyLimits([]Limit) {}

func (s *fakeState) TakePartReport(bool) quarantine.Report { return quarantine.Report{} }

func (s *fakeState) PartEntries() []quarantine.Entry {
	return []quarantine.Entry{{Part: 26, Age: 3 * time.Second, Idle: time.Second, NextTrial: time.Minute, Trials: 2}}
}

func (s *fakeState) ApplyPartReport(r quarantine.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts = append(s.parts, r.Entries...)
}

func (s *fakeState) ServerChanges() []ServerChange {
	return []ServerChange{{ID: "i-1", Position: pos(11)}}
}

func (s *fakeState) ApplyServerChanges(list []ServerChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverChanges = append(s.serverChanges, list...)
}

func (s *fakeState) ApplyEvacuations(v evacuation.View, reader bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedEvacuations = v
	s.heardReader = s.heardReader || reader
}

func (s *fakeState) TakeDifferences() []configdiff.Difference { return nil }
func (s *fakeState) DifferenceSent(bool)                      {}
func (s *fakeState) ReceiveConfigPart(configdiff.Part)        {}
func (s *fakeState) ConfigMissing() bool                      { return false }
func (s *fakeState) WholeConfig() (configdiff.Difference, bool) {
	return configdiff.Difference{}, false
}

func (s *fakeState) hasServerChange() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.serverChanges) > 0 && s.serverChanges[0] == ServerChange{ID: "i-1", Position: pos(11)}
}

func (s *fakeState) hasPlacementAndLoad(placement Placement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[placement] && s.loads[7] == 2
}

// startPair starts the exchanges of a synced router and of one that has started after
// it, until the test ends.
func startPair(t *testing.T, old, fresh State) (first, second *Exchange) {
	t.Helper()
	var err error
	first, err = Listen(netip.MustParseAddrPort("127.0.8.1:0"), nil, true, old, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	port := netip.AddrPortFrom(netip.MustParseAddr("127.0.8.2"), first.port)
	second, err = Listen(port, []netip.Addr{netip.MustParseAddr("127.0.8.1")}, false, fresh, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, e := range []*Exchange{first, second} {
		wg.Go(func() { _ = e.Receive() })
		wg.Go(func() { _ = e.Send(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		_ = first.Close()
		_ = second.Close()
		wg.Wait()
	})
	return first, second
}

// Guards against routers whose digests do not arrive over real sockets: a
// starting one must get all placements, a running one each new placement.
func TestExchangeOverLoopback(t *testing.T) {
	old := &fakeState{allPlacements: []Placement{{PrefixHash: 1, Server: 7}}, received: map[Placement]bool{}}
	fresh := &fakeState{received: map[Placement]bool{}}
	_, second := startPair(t, old, fresh)
	waitFor(t, "the new router has the placements", func() bool { return fresh.hasPlacementAndLoad(Placement{PrefixHash: 1, Server: 7}) })
	waitFor(t, "each router has the outcomes of both", func() bool { return old.hasFleetOutcomes() && fresh.hasFleetOutcomes() })
	waitFor(t, "each router has the times of both", func() bool { return old.hasFleetTimes() && fresh.hasFleetTimes() })
	waitFor(t, "the new router is synced", second.Synced)
	waitFor(t, "the new router has the server change", fresh.hasServerChange)
	waitFor(t, "the new router has the offset of the last change", func() bool { return second.NewestChange(0, 0) == pos(11) })
	fresh.mu.Lock()
	fresh.newPlacements = []Placement{{PrefixHash: 2, Server: 7}}
	fresh.mu.Unlock()
	second.SendSoon()
	waitFor(t, "the running router has the new placement", func() bool { return old.hasPlacementAndLoad(Placement{PrefixHash: 2, Server: 7}) })
}

// Guards against placements that arrive before the list of servers: a router that
// started while the store was down dropped them all, counted as synced, and sent
// requests to engines that had to read their prompts again for the rest of the day.
func TestPlacementsAreRequestedOnceServersAreKnown(t *testing.T) {
	old := &fakeState{allPlacements: []Placement{{PrefixHash: 1, Server: 7}}, received: map[Placement]bool{}}
	fresh := &fakeState{received: map[Placement]bool{}}
	fresh.serversUnknown.Store(true)
	first, second := startPair(t, old, fresh)
	waitFor(t, "the new router knows the other one", func() bool { return second.LivePeerCount() == 1 && second.NewestChange(0, 0) == pos(11) })
	second.requestPlacements(time.Now())
	second.RequestPlacements()
	waitFor(t, "the running router has the loads of the new one", func() bool { return old.hasFleetOutcomes() })
	if second.Synced() {
		t.Fatal("the router is synced before it knows the servers")
	}
	fresh.serversUnknown.Store(false)
	second.RequestPlacements()
	waitFor(t, "the new router has the placements", func() bool { return fresh.hasPlacementAndLoad(Placement{PrefixHash: 1, Server: 7}) })
	if !first.Synced() || !second.Synced() {
		t.Error("a router is not synced, want both")
	}
}

// Guards against a router that asks again and again, and holds its first prompts,
// because the one that it asks has no placements yet and does not reply.
func TestRouterWithoutPlacementsReplies(t *testing.T) {
	old, fresh := &fakeState{received: map[Placement]bool{}}, &fakeState{received: map[Placement]bool{}}
	_, second := startPair(t, old, fresh)
	waitFor(t, "the new router is synced", second.Synced)
}

// Guards against a starting router of a large fleet that takes the retry share of a
// small one until it has heard from each router itself.
func TestFirstWelcomeTellsTheSizeOfTheFleet(t *testing.T) {
	state := &fakeState{received: map[Placement]bool{}}
	e, err := Listen(netip.MustParseAddrPort("127.0.8.3:0"), nil, false, state, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.Close() }()
	welcome := &Message{Sender: 1}
	for i := range 40 {
		welcome.Peers = append(welcome.Peers, addr(i+2))
	}
	if e.handle(addr(1), welcome); state.routers != 42 {
		t.Errorf("%d routers, want 42: the sender, those that it names, and this one", state.routers)
	}
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out before %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a starting router that asks all others for all placements: in a
// fleet of 60 the replies took seconds on a slow link.
func TestSyncedPeerReturnsOnlySyncedPeers(t *testing.T) {
	p := NewPeers(addr(1), nil)
	for i := 2; i < 9; i++ {
		p.RecordMessage(start, addr(i), &Message{Sender: uint64(i), Synced: i == 5, Progress: []Progress{{0, pos(1)}}})
	}
	for range 20 {
		if got, ok := p.SyncedPeer(start); !ok || got != addr(5) {
			t.Fatalf("returned %v, want the only synced router", got)
		}
	}
	if _, ok := p.SyncedPeer(start.Add(liveTimeoutPeriods * minPeriod)); ok {
		t.Error("returned a router that is no longer live")
	}
}

// Guards against engines that are asked because one router is cut off or restarts are spread over a release, and against
// a kill of most routers that goes unnoticed.
func TestMostRestartedCountsRoutersThatCameBackTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		// restarts are the times between the restarts of the first routers; stops lets them say that they stop.
		restarts []time.Duration
		stops    bool
		want     bool
	}{
		"none, all silent":       {want: false},
		"half":                   {restarts: make([]time.Duration, 4), want: false},
		"most":                   {restarts: make([]time.Duration, 5), want: true},
		"all":                    {restarts: make([]time.Duration, 8), want: true},
		"one after the other":    {restarts: slices.Repeat([]time.Duration{restartWindow / 4}, 8), want: false},
		"most of them announced": {restarts: make([]time.Duration, 5), stops: true, want: false},
	} {
		p := NewPeers(addr(20), nil)
		for n := range 8 {
			p.RecordMessage(now, addr(n+2), &Message{Sender: uint64(n + 2)})
		}
		at := now.Add(time.Second)
		for n, wait := range c.restarts {
			at = at.Add(wait)
			if c.stops {
				p.RecordMessage(at, addr(n+2), &Message{Sender: uint64(n + 2), Stopping: true})
			}
			p.RecordMessage(at, addr(n+2), &Message{Sender: uint64(n + 102)})
		}
		// One that is heard for the first time has not survived anything.
		p.RecordMessage(at, addr(15), &Message{Sender: 15})
		for n := len(c.restarts); n < 8; n++ {
			p.RecordMessage(at, addr(n+2), &Message{Sender: uint64(n + 2)})
		}
		got, before := p.MostRestarted(at)
		if got != c.want {
			t.Errorf("%s: most restarted %v, want %v", name, got, c.want)
		}
		if got && before != 8-len(c.restarts) {
			t.Errorf("%s: %d routers before this one, want %d", name, before, 8-len(c.restarts))
		}
		if got, _ := p.MostRestarted(at.Add(restartWindow)); got {
			t.Errorf("%s: counts for longer than %v", name, restartWindow)
		}
	}
	small := NewPeers(addr(1), nil)
	for _, sender := range []uint64{1, 2} {
		for n := range streamHolders {
			small.RecordMessage(now, addr(n+2), &Message{Sender: sender})
		}
	}
	if got, _ := small.MostRestarted(now); got {
		t.Error("so few routers have restarted that each stream is still known to one")
	}
}
