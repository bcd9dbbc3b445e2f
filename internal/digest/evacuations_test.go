package digest

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/evacuation"
	"github.com/bluebellwell/bluebellwell/internal/event"
)

func (s *fakeState) setEvacuations(v evacuation.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = v
}

// hears reports whether the router has received evacuations as of an offset.
func (s *fakeState) hears(offset int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receivedEvacuations.Known && s.receivedEvacuations.AsOf == pos(offset)
}

// Guards against an evacuation that is sent with the next regular digest only, or that the other router does not apply.
func TestChangesOfEvacuationsAreSentAtOnce(t *testing.T) {
	sender, receiver := &fakeState{received: map[Placement]bool{}}, &fakeState{received: map[Placement]bool{}}
	to, err := Listen(netip.MustParseAddrPort("127.0.8.22:0"), nil, true, receiver, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	from, err := Listen(netip.AddrPortFrom(netip.MustParseAddr("127.0.8.21"), to.port), []netip.Addr{netip.MustParseAddr("127.0.8.22")}, true, sender, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = to.Receive() })
	defer func() {
		_ = from.Close()
		_ = to.Close()
		wg.Wait()
	}()
	from.sendDigest(true)
	sender.setEvacuations(evacuation.View{Known: true, AsOf: pos(3), Entries: []evacuation.Entry{{DataCentre: "a", Position: pos(2)}}})
	sent := from.sent.Load()
	from.sendDigest(false)
	waitFor(t, "the evacuation has arrived", func() bool { return receiver.hears(3) })
	from.sendDigest(false)
	// Each digest has a datagram with the change of a server as well.
	if n := from.sent.Load() - sent; n > 3 {
		t.Errorf("%d datagrams, want no second one without a change", n)
	}
}

// Guards against a lost datagram by which a router never learns of an evacuation: the regular digests have it too.
func TestEachDigestHasTheEvacuations(t *testing.T) {
	old := &fakeState{received: map[Placement]bool{}}
	fresh := &fakeState{received: map[Placement]bool{}}
	old.setEvacuations(evacuation.View{Known: true, AsOf: pos(3)})
	startPair(t, old, fresh)
	waitFor(t, "the evacuations have arrived", func() bool { return fresh.hears(3) })
	fresh.mu.Lock()
	fresh.receivedEvacuations = evacuation.View{}
	fresh.mu.Unlock()
	waitFor(t, "they have arrived again", func() bool { return fresh.hears(3) })
}

// Guards against digests that a router which knows nothing of evacuations sends as if none was.
func TestUnknownEvacuationsAreNotSent(t *testing.T) {
	m, err := Decode(Encode(&Message{Sender: 1, Evacuations: evacuation.View{Entries: []evacuation.Entry{{DataCentre: "a"}}}}))
	if err != nil || m.Evacuations.Known || len(m.Evacuations.Entries) != 0 {
		t.Errorf("evacuations %+v, error %v, want none", m.Evacuations, err)
	}
}

// Guards against evacuations that do not fit a datagram, or some of which are never sent; and against part of them that is
// taken for all.
func TestManyEvacuationsAreSentInTurn(t *testing.T) {
	view := evacuation.View{Known: true, AsOf: pos(90)}
	for i := range 40 {
		view.Entries = append(view.Entries, evacuation.Entry{
			DataCentre: fmt.Sprint(i, strings.Repeat("x", (i*37)%250)), Position: pos(int64(i)), HoldFor: evacuation.HoldTime,
		})
	}
	e := &Exchange{}
	seen := map[string]bool{}
	for range 40 {
		part := e.partOf(view)
		m, err := Decode(Encode(&Message{Evacuations: part}))
		if err != nil || !m.Evacuations.Known || !m.Evacuations.Partial || m.Evacuations.AsOf != view.AsOf {
			t.Fatalf("evacuations %+v, error %v, want part of them", m, err)
		}
		if n := len(Encode(&Message{Evacuations: part})); n > maxEvacuationBytes+evacuationOverhead {
			t.Errorf("%d bytes of evacuations in a digest", n)
		}
		for _, entry := range m.Evacuations.Entries {
			seen[entry.DataCentre] = true
		}
	}
	if len(seen) != len(view.Entries) {
		t.Errorf("%d of %d evacuations were sent", len(seen), len(view.Entries))
	}
	few := evacuation.View{Known: true, AsOf: pos(9), Entries: view.Entries[:3]}
	if part := e.partOf(few); part.Partial || len(part.Entries) != 3 {
		t.Errorf("%d of 3 evacuations sent, partial %v", len(part.Entries), part.Partial)
	}
	if n := len(Encode(&Message{Evacuations: evacuation.View{Known: true, AsOf: pos(1 << 20)}})); n > 20 {
		t.Errorf("%d bytes while nothing is evacuated", n)
	}
}

// Guards against a faulty sender that fills the memory of a router or makes it drop whole digests for a field of a later version.
func TestFaultyEvacuations(t *testing.T) {
	var many evacuation.View
	many.Known = true
	for i := range maxEvacuations + 1 {
		many.Entries = append(many.Entries, evacuation.Entry{DataCentre: fmt.Sprint(i)})
	}
	if _, err := Decode(Encode(&Message{Evacuations: many})); err == nil {
		t.Error("a digest with too many evacuations was accepted")
	}
	if _, err := Decode(Encode(&Message{Evacuations: evacuation.View{Known: true, Entries: []evacuation.Entry{{}}}})); err == nil {
		t.Error("an evacuation without a data centre was accepted")
	}
	inner := appendText(appendVarint(appendText(nil, evacuationName, "a"), 9, 1), 10, "later")
	b := appendInner(Encode(&Message{Evacuations: evacuation.View{Known: true}}), fieldEvacuation, inner)
	if m, err := Decode(b); err != nil || len(m.Evacuations.Entries) != 1 {
		t.Errorf("error %v for a field of a later version", err)
	}
}
