package digest

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/configdiff"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

func randomBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return b
}

// differenceOf returns a difference with a payload of a size.
func differenceOf(size int) configdiff.Difference {
	return configdiff.Difference{
		Position: logpos.Position{Era: 1 << 40, Offset: 1 << 50}, Next: logpos.Position{Era: 1 << 40, Offset: 1<<50 + 1},
		Base: configdiff.Hash(randomBytes(16)), Text: configdiff.Hash(randomBytes(16)), Payload: randomBytes(size),
	}
}

// Guards against parts that change on their way, that do not fit a datagram, or that share the memory of the receive buffer.
func TestConfigPartsFitDatagrams(t *testing.T) {
	for _, part := range differenceOf(configdiff.MaxPayloadBytes).Split() {
		b := Encode(&Message{Sender: rand.Uint64(), ConfigPart: &part})
		if len(b) > maxDatagram {
			t.Fatalf("%d bytes, want at most %d", len(b), maxDatagram)
		}
		m, err := Decode(b)
		clear(b)
		if err != nil || !reflect.DeepEqual(m.ConfigPart, &part) {
			t.Fatalf("part %+v, error %v; want %+v", m.ConfigPart, err, part)
		}
	}
}

// Guards against a part with impossible numbers, of a faulty sender or a later build, that ends the process or is used.
func TestImpossibleConfigPartsAreLeftOut(t *testing.T) {
	good := differenceOf(10).Split()[0]
	for _, change := range []func(p *configdiff.Part){
		func(p *configdiff.Part) { p.Count = 1 << 20 }, func(p *configdiff.Part) { p.Index = 1 }, func(p *configdiff.Part) { p.Data = nil },
		func(p *configdiff.Part) { p.Data = make([]byte, configdiff.MaxPartBytes+1) },
	} {
		part := good
		change(&part)
		if m, err := Decode(Encode(&Message{ConfigPart: &part})); err != nil || m.ConfigPart != nil {
			t.Errorf("part %+v, error %v; want none", m.ConfigPart, err)
		}
	}
	b := Encode(&Message{ConfigPart: &good})
	for range 20000 {
		damaged := bytes.Clone(b)
		damaged[rand.IntN(len(b))] = byte(rand.Uint32())
		_, _ = Decode(damaged[:rand.IntN(len(b)+1)])
	}
}

// differenceState is the State of a router that has a difference to send.
type differenceState struct {
	fakeState
	mu       sync.Mutex
	outgoing []configdiff.Difference
	results  []bool
}

func (s *differenceState) TakeDifferences() []configdiff.Difference {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.outgoing
	s.outgoing = nil
	return list
}

func (s *differenceState) DifferenceSent(sent bool) { s.results = append(s.results, sent) }

// Guards against datagrams to routers that do not know them, have the version already or are gone, against a link that is busy
// with a difference for long, and against a position that arrives before its difference: the receiver would read the store.
func TestDifferencesAreSentToThoseThatNeedThem(t *testing.T) {
	state := &differenceState{fakeState: fakeState{received: map[Placement]bool{}}}
	e, err := Listen(netip.MustParseAddrPort("127.0.8.31:0"), nil, true, state, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	now := time.Now()
	position := logpos.Position{Era: 1, Offset: 9}
	tell := func(last byte, level int64, at time.Time, change logpos.Position) netip.Addr {
		addr := netip.AddrFrom4([4]byte{127, 0, 8, last})
		e.peers.RecordMessage(at, addr, &Message{Sender: uint64(last), Level: level, Progress: []Progress{{Topic: TopicConfig, LastChange: change}}})
		return addr
	}
	needs := tell(131, levelDifferences, now, logpos.Position{Era: 1, Offset: 8})
	tell(132, levelDifferences-1, now, logpos.Position{Era: 1, Offset: 8})
	tell(133, levelDifferences, now, position)
	tell(134, levelDifferences, now.Add(-liveTimeoutPeriods*minPeriod), logpos.Position{Era: 1, Offset: 8})
	if got := e.peers.differenceTargets(now, position); len(got) != 1 || got[0] != needs {
		t.Fatalf("differences are sent to %v, want %v", got, needs)
	}
	receiver, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(needs, e.port)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = receiver.Close() })
	for name, send := range map[string]func(){
		"digest": func() { e.sendDigest(true) },
		"loads":  func() { e.sendLoads(now, e.targets()) },
	} {
		d := differenceOf(configdiff.MaxPartBytes + 1)
		d.Position, d.Next = position, logpos.Position{Era: 1, Offset: 10}
		state.outgoing = []configdiff.Difference{d}
		send()
		buffer := make([]byte, 2*maxDatagram)
		for i := range 2 {
			_ = receiver.SetReadDeadline(time.Now().Add(time.Second))
			n, err := receiver.Read(buffer)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if m, err := Decode(buffer[:n]); err != nil || m.ConfigPart == nil || m.ConfigPart.Index != i || len(m.Progress) > 0 {
				t.Errorf("%s: message %d is %+v, error %v; want part %d", name, i, m, err, i)
			}
		}
		// What else has been sent does not matter.
		for {
			_ = receiver.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := receiver.Read(buffer); err != nil {
				break
			}
		}
	}
	for i := range 60 {
		tell(byte(140+i), levelDifferences, now, logpos.Position{Era: 1, Offset: 8})
	}
	sent := e.sent.Load()
	d := differenceOf(4 * configdiff.MaxPartBytes)
	targets := len(e.peers.differenceTargets(now, d.Position))
	state.outgoing, state.results = []configdiff.Difference{d}, nil
	e.sendDifferences()
	if e.sent.Load() != sent || len(state.results) != 1 || state.results[0] {
		t.Errorf("%d datagrams of a difference of 4 datagrams for %d routers, results %v; want none", e.sent.Load()-sent, targets, state.results)
	}
	state.outgoing, state.results = []configdiff.Difference{differenceOf(2 * configdiff.MaxPartBytes)}, nil
	e.sendDifferences()
	if n := e.sent.Load() - sent; targets < 60 || n != 2*int64(targets) || len(state.results) != 1 || !state.results[0] {
		t.Errorf("%d datagrams of a difference of 2 datagrams for %d routers, results %v; want two for each", n, targets, state.results)
	}
}

// wholeState is the State of a router that has a configuration in force.
type wholeState struct {
	fakeState
	version int64
	whole   configdiff.Difference
}

func (s *wholeState) Progress() StoreProgress {
	p := s.fakeState.Progress()
	p.ConfigVersion = s.version
	return p
}

func (s *wholeState) WholeConfig() (configdiff.Difference, bool) { return s.whole, true }
func (s *wholeState) ConfigMissing() bool                        { return s.version == 0 }

// Guards against a router that is out of touch and gives a starting one a configuration that was replaced, and against one
// whose link is full of replies to many starting routers.
func TestWholeConfigurationsAreSentWhileTheyAreCurrent(t *testing.T) {
	state := &wholeState{fakeState: fakeState{received: map[Placement]bool{}}, version: 7, whole: differenceOf(20 * configdiff.MaxPartBytes)}
	state.whole.Base = configdiff.NoBase
	e, err := Listen(netip.MustParseAddrPort("127.0.8.32:0"), nil, true, state, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	now := time.Now()
	asker, reader := netip.MustParseAddr("127.0.8.121"), netip.MustParseAddr("127.0.8.122")
	ask := func(now time.Time) int64 {
		sent := e.sent.Load()
		e.recordConfigRequest(asker)
		e.replyWithConfig(now)
		return e.sent.Load() - sent
	}
	hear := func(version int64, role Role, at time.Time) {
		e.peers.RecordMessage(at, reader, &Message{Sender: 1, Role: role, Level: levelDifferences, ConfigVersion: version, Progress: []Progress{{Topic: TopicConfig}}})
	}
	for _, c := range []struct {
		name  string
		hear  func()
		after time.Duration
		want  int64
	}{
		{"no reader", func() {}, time.Second, 0},
		{"a router that is no reader", func() { hear(7, RoleOther, now) }, time.Second, 0},
		{"a reader with the version", func() { hear(7, RoleReader, now.Add(2*time.Second)) }, 2 * time.Second, 20},
		{"too soon", func() {}, 2*time.Second + configReplyInterval/2, 0},
		{"later", func() {}, 2*time.Second + configReplyInterval, 20},
		{"a reader that is silent", func() {}, 2*time.Second + readerTimeout, 0},
		{"a reader with an earlier version", func() { hear(6, RoleReader, now.Add(4*time.Second)) }, 4 * time.Second, 0},
		{"a reader with a newer version", func() { hear(8, RoleReader, now.Add(5*time.Second)) }, 5 * time.Second, 0},
	} {
		if c.hear(); ask(now.Add(c.after)) != c.want {
			t.Errorf("%s: not %d datagrams", c.name, c.want)
		}
	}
	e.toldReader = true
	if got := ask(now.Add(6 * time.Second)); got != 0 {
		t.Errorf("%d datagrams of a reader that knows of a newer version", got)
	}
	hear(7, RoleOther, now.Add(7*time.Second))
	if got := ask(now.Add(7 * time.Second)); got != 20 {
		t.Errorf("%d datagrams of a reader, want 20", got)
	}
}

// Guards against a starting router that asks for an older configuration than the newest, asks an earlier build, or asks all the time.
func TestStartingRouterAsksForTheNewestConfiguration(t *testing.T) {
	state := &wholeState{fakeState: fakeState{received: map[Placement]bool{}}}
	e, err := Listen(netip.MustParseAddrPort("127.0.8.33:0"), nil, true, state, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	now := time.Now()
	tell := func(last byte, level, version int64) netip.Addr {
		addr := netip.AddrFrom4([4]byte{127, 0, 8, last})
		e.peers.RecordMessage(now, addr, &Message{Sender: uint64(last), Level: level, ConfigVersion: version, Progress: []Progress{{Topic: TopicConfig}}})
		return addr
	}
	sent := func(now time.Time) int64 {
		before := e.sent.Load()
		e.requestConfig(now)
		return e.sent.Load() - before
	}
	tell(101, levelDifferences, 0)
	tell(102, levelDifferences, 6)
	tell(103, levelDifferences-1, 7)
	if _, found := e.peers.configPeer(now); found || sent(now) != 0 {
		t.Error("a router is asked that has no or an older configuration, or does not know the request")
	}
	newest := tell(104, levelDifferences, 7)
	for range 10 {
		if got, found := e.peers.configPeer(now); !found || got != newest {
			t.Fatalf("%v is asked, want %v", got, newest)
		}
	}
	if n := sent(now) + sent(now.Add(configRequestInterval/2)); n != 1 {
		t.Errorf("%d requests at once, want 1", n)
	}
	if sent(now.Add(configRequestInterval)) != 1 {
		t.Error("the request is not repeated")
	}
	state.version = 7
	if sent(now.Add(time.Second)) != 0 {
		t.Error("a router with a configuration asks for it")
	}
}
