package digest

import (
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/slotgrant"
)

func drawTime(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, maxGrantTime.Microseconds()).Draw(t, label)) * time.Microsecond
}

func drawGrants(t *rapid.T) *slotgrant.Message {
	m := &slotgrant.Message{
		Pool: rapid.Uint64().Draw(t, "pool"), Term: rapid.Uint64Max(maxTerm).Draw(t, "term"),
		Ping: rapid.Bool().Draw(t, "ping"), Pong: rapid.Bool().Draw(t, "pong"),
	}
	if rapid.Bool().Draw(t, "names the first") {
		m.First = addr(7)
	}
	for range rapid.IntRange(0, 3).Draw(t, "n") {
		number := rapid.Uint64().Draw(t, "number")
		m.Questions = append(m.Questions, slotgrant.Question{
			Number: number, Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Objective: drawTime(t, "objective"),
			Deadline: drawTime(t, "deadline"), Workspace: rapid.Uint32().Draw(t, "workspace"),
			Exclude: rapid.SliceOfN(rapid.Uint64(), 1, maxExcluded).Draw(t, "exclude"),
		})
		m.Answers = append(m.Answers, slotgrant.Answer{
			Number: number, Kind: slotgrant.Kind(rapid.Uint8().Draw(t, "kind")), Server: rapid.Uint64().Draw(t, "server"),
			Wait: drawTime(t, "wait"), Reason: slotgrant.Reason(rapid.Uint8().Draw(t, "reason")),
		})
		m.Reports = append(m.Reports, slotgrant.Report{
			Number: number, End: slotgrant.End(rapid.Uint8().Draw(t, "end")), Took: drawTime(t, "took"),
			Load: rapid.IntRange(0, maxGrantLoad).Draw(t, "load"),
		})
		m.Probes = append(m.Probes, number)
	}
	return m
}

// encodeGrantsDatagram encodes a datagram as SendGrants does.
func encodeGrantsDatagram(m *slotgrant.Message) []byte {
	return appendInner(appendFixed(nil, fieldSender, 5), fieldGrants, appendGrants(nil, m))
}

// Guards against a question or an answer that another router reads otherwise than it was meant.
func TestGrantsAreDecodedAsEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawGrants(t)
		got, ok := decodeGrantsDatagram(encodeGrantsDatagram(want))
		if !ok || !reflect.DeepEqual(got, want) {
			t.Fatalf("decoded %+v, %v, want %+v", got, ok, want)
		}
	})
}

// Guards against a datagram of an earlier or a later build, or a faulty one, that is taken for one about grants, and against a
// decoder that fails on one.
func TestOtherDatagramsAreNoGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, ok := decodeGrantsDatagram(Encode(drawMessage(t))); ok {
			t.Fatal("a digest is taken for a message about grants")
		}
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		decodeGrantsDatagram(b)
		decodeGrantsDatagram(append(appendFixed(nil, fieldSender, 5), b...))
		inner := appendInner(appendFixed(nil, fieldSender, 5), fieldGrants, b)
		decodeGrantsDatagram(inner)
		// A router of an earlier build skips the field.
		if m, err := Decode(inner); err != nil || m.Sender != 5 {
			t.Fatalf("message %+v, error %v", m, err)
		}
	})
}

// Guards against a faulty sender that makes a router keep what it sends without bounds.
func TestGrantsOfADatagramAreBounded(t *testing.T) {
	m := &slotgrant.Message{Pool: 1}
	for range maxGrantItems + 1 {
		m.Probes = append(m.Probes, 1)
	}
	if _, ok := decodeGrantsDatagram(encodeGrantsDatagram(m)); ok {
		t.Error("a datagram with too many parts is accepted")
	}
	if _, ok := decodeGrantsDatagram(encodeGrantsDatagram(&slotgrant.Message{Pool: 1, Term: maxTerm + 1})); ok {
		t.Error("a term after which there are few others is accepted")
	}
	m = &slotgrant.Message{Questions: []slotgrant.Question{{Exclude: make([]uint64, maxExcluded)}}}
	b := appendQuestion(nil, &m.Questions[0])
	b = appendFixed(b, questionExclude, 1)
	if _, err := decodeQuestion(b); err == nil {
		t.Error("a question that excludes too many servers is accepted")
	}
}

// Guards against questions that cost more of a slow link than was counted on.
func TestGrantsAreSmall(t *testing.T) {
	for name, c := range map[string]struct {
		m    slotgrant.Message
		most int
	}{
		"question": {slotgrant.Message{Pool: 1 << 63, Term: 3, Questions: []slotgrant.Question{{
			Number: 1 << 63, Priority: 1, Objective: 150 * time.Millisecond, Deadline: time.Second, Workspace: 1 << 31,
		}}}, 55},
		"answer": {slotgrant.Message{Pool: 1 << 63, Term: 3, Answers: []slotgrant.Answer{{Number: 1 << 63, Kind: slotgrant.Granted, Server: 1 << 63}}}, 48},
		"report": {slotgrant.Message{Pool: 1 << 63, Term: 3, Reports: []slotgrant.Report{{
			Number: 1 << 63, End: slotgrant.Served, Took: 30 * time.Millisecond, Load: 6,
		}}}, 48},
	} {
		n := len(encodeGrantsDatagram(&c.m))
		t.Logf("%s: %d bytes", name, n)
		if n > c.most {
			t.Errorf("%s: %d bytes, want at most %d", name, n, c.most)
		}
	}
}

// Guards against routers that ask different ones, one of an earlier build, or one that stops.
func TestRoutersAgreeOnWhoGrants(t *testing.T) {
	now := time.Now()
	var firsts []netip.Addr
	for host := range 8 {
		e := &Exchange{peers: NewPeers(addr(host), nil), grantOrder: map[uint64]candidates{}}
		for i := range 8 {
			m := &Message{Sender: uint64(i), Progress: []Progress{{0, pos(1)}}, Level: levelGrants}
			if i == 2 {
				m.Level = levelRelay
			}
			e.peers.RecordMessage(now, addr(i), m)
		}
		if host == 2 {
			continue
		}
		list, routers := e.GrantCandidates(now, 77)
		if len(list) != 7 || routers != 8 || slices.Contains(list, addr(2)) {
			t.Errorf("router %d: %v of %d routers may grant", host, list, routers)
		}
		firsts = append(firsts, list[0])
		first := e.peers.tracked[list[0]]
		if first == nil {
			continue
		}
		e.peers.RecordMessage(now, list[0], &Message{Sender: first.Sender, Progress: []Progress{{0, pos(1)}}, Level: levelGrants, NotGranting: true})
		clear(e.grantOrder)
		if next, _ := e.GrantCandidates(now, 77); next[0] != list[1] {
			t.Errorf("router %d: %v grants after %v has stopped, want %v", host, next[0], list[0], list[1])
		}
	}
	for _, first := range firsts {
		if first != firsts[0] {
			t.Errorf("the routers ask %v", firsts)
			break
		}
	}
}

// Guards against a stopping router that goes on granting, and against a single one that then has nobody to ask.
func TestStoppingRouterIsNoCandidate(t *testing.T) {
	now := time.Now()
	e := &Exchange{peers: NewPeers(addr(1), nil), grantOrder: map[uint64]candidates{}, notGranting: true}
	if list, _ := e.GrantCandidates(now, 77); !slices.Equal(list, []netip.Addr{addr(1)}) {
		t.Errorf("%v may grant, want the only router", list)
	}
	e.peers.RecordMessage(now, addr(2), &Message{Sender: 2, Progress: []Progress{{0, pos(1)}}, Level: levelGrants})
	clear(e.grantOrder)
	if list, _ := e.GrantCandidates(now, 77); !slices.Equal(list, []netip.Addr{addr(2)}) {
		t.Errorf("%v may grant, want the other router", list)
	}
}

// Guards against datagrams about grants that do not reach their handler.
func TestGrantsReachTheirHandler(t *testing.T) {
	host := netip.MustParseAddr("127.0.8.41")
	e, err := Listen(netip.AddrPortFrom(host, 0), nil, true, &fakeState{received: map[Placement]bool{}}, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	got := make(chan *slotgrant.Message, 1)
	e.OnGrants(func(_ netip.Addr, m *slotgrant.Message) { got <- m })
	go func() { _ = e.Receive() }()
	e.SendGrants(host, &slotgrant.Message{Pool: 3, Ping: true})
	select {
	case m := <-got:
		if m.Pool != 3 || !m.Ping {
			t.Errorf("message %+v", m)
		}
	case <-time.After(20 * time.Second):
		t.Error("nothing has arrived")
	}
}

// BenchmarkDecodeQuestion is the cost of the datagram of one question.
func BenchmarkDecodeQuestion(b *testing.B) {
	datagram := encodeGrantsDatagram(&slotgrant.Message{Pool: 1 << 63, Term: 3, Questions: []slotgrant.Question{{
		Number: 1 << 63, Priority: 1, Objective: 150 * time.Millisecond, Deadline: time.Second, Workspace: 1 << 31,
	}}})
	b.ReportAllocs()
	for b.Loop() {
		decodeGrantsDatagram(datagram)
	}
}
