package slotgrant

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

// endpointFleet is a fleet of endpoints whose messages arrive at once.
type endpointFleet struct {
	t         *testing.T
	now       time.Time
	endpoints map[netip.Addr]*Endpoint
	view      View
	// cut are the routers whose messages are lost in both directions, and sent counts what was sent.
	cut  map[netip.Addr]bool
	sent int
	// decisions are those of each router.
	decisions map[netip.Addr][]Decision
}

func newEndpointFleet(t *testing.T, slots int, routers ...netip.Addr) *endpointFleet {
	b := &endpointFleet{t: t, now: start, endpoints: map[netip.Addr]*Endpoint{}, cut: map[netip.Addr]bool{}, decisions: map[netip.Addr][]Decision{}}
	b.view = View{Candidates: routers, Servers: []Server{{Hash: 9, Slots: slots, Usable: true}}, LoadsKnown: true}
	for i, r := range routers {
		b.endpoints[r] = NewEndpoint(1, r, uint64(i+1)<<32)
	}
	return b
}

// exchange delivers messages until there are none.
func (b *endpointFleet) exchange() {
	for more := true; more; {
		more = false
		for _, from := range b.view.Candidates {
			d := b.endpoints[from]
			b.decisions[from] = append(b.decisions[from], d.Asker.TakeDecisions()...)
			out := d.Take()
			if m := d.TakeAnnouncement(); m != nil {
				for _, to := range b.view.Candidates {
					if to != from {
						out = append(out, Outgoing{To: to, Message: m})
					}
				}
			}
			for _, o := range out {
				more = true
				b.sent++
				if !b.cut[from] && !b.cut[o.To] {
					b.endpoints[o.To].Receive(b.now, b.view, from, o.Message)
				}
			}
		}
	}
}

// ask asks at a router, and returns what was decided at once, or the zero value.
func (b *endpointFleet) ask(at netip.Addr) (number uint64, d Decision) {
	b.t.Helper()
	number, asked := b.endpoints[at].Ask(b.now, b.view, question(0))
	if !asked {
		return 0, Decision{Kind: Elsewhere}
	}
	b.exchange()
	return number, b.decided(at, number)
}

func (b *endpointFleet) decided(at netip.Addr, number uint64) Decision {
	for _, d := range b.decisions[at] {
		if d.Number == number {
			return d
		}
	}
	return Decision{}
}

func (b *endpointFleet) end(at netip.Addr, number uint64) {
	b.endpoints[at].End(b.now, b.view, Report{Number: number, End: Served, Took: 30 * time.Millisecond})
	b.exchange()
}

// pass lets time pass, with a tick of each router that is not cut off.
func (b *endpointFleet) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(tickInterval, end.Sub(b.now)))
		for _, addr := range b.view.Candidates {
			if !b.cut[addr] {
				b.endpoints[addr].Tick(b.now, b.view)
			}
		}
		b.exchange()
	}
}

func (b *endpointFleet) granting() []netip.Addr {
	var list []netip.Addr
	for _, addr := range b.view.Candidates {
		if b.endpoints[addr].Granter.Active() {
			list = append(list, addr)
		}
	}
	return list
}

func (b *endpointFleet) wantGranting(want ...netip.Addr) {
	b.t.Helper()
	if got := b.granting(); !slices.Equal(got, want) {
		b.t.Errorf("%v grant, want %v", got, want)
	}
}

// Guards against a router that sends datagrams to itself, and one that can't grant without others.
func TestGrantingRouterAsksItselfWithoutDatagrams(t *testing.T) {
	b := newEndpointFleet(t, 1, routerA)
	number, d := b.ask(routerA)
	if d.Kind != Granted || d.Server != 9 {
		t.Fatalf("decision %+v, want a grant of server 9", d)
	}
	_, second := b.ask(routerA)
	if second.Kind != 0 {
		t.Errorf("decision %+v, want a wait", second)
	}
	b.end(routerA, number)
	if len(b.decisions[routerA]) != 2 || b.sent != 0 {
		t.Errorf("%d decisions, %d datagrams; want 2 and none", len(b.decisions[routerA]), b.sent)
	}
}

// Guards against a grant that costs more than three datagrams.
func TestGrantCostsThreeDatagrams(t *testing.T) {
	b := newEndpointFleet(t, 6, routerA, routerB)
	number, d := b.ask(routerB)
	if d.Kind != Granted {
		t.Fatalf("decision %+v", d)
	}
	b.end(routerB, number)
	if b.sent != 3 || b.endpoints[routerA].Granter.Leases() != 0 {
		t.Errorf("%d datagrams, %d leases", b.sent, b.endpoints[routerA].Granter.Leases())
	}
}

// Guards against requests that wait for a router that does not answer, against routers that ask it again and again, and against a
// pool that nobody grants then.
func TestNextRouterTakesThePlaceOfASilentOne(t *testing.T) {
	b := newEndpointFleet(t, 6, routerA, routerB, routerC)
	if _, d := b.ask(routerC); d.Kind != Granted {
		t.Fatalf("decision %+v", d)
	}
	b.cut[routerA] = true
	number, _ := b.ask(routerC)
	b.pass(maxAnswerTimeout)
	if d := b.decided(routerC, number); d.Kind != Elsewhere {
		t.Fatalf("decision %+v, want to go without a grant", d)
	}
	// The next question goes to B, which first makes sure that A does not grant.
	if _, d := b.ask(routerC); d.Kind != Elsewhere {
		t.Errorf("decision %+v, want to go without a grant until B knows that A is silent", d)
	}
	b.pass(maxAnswerTimeout + tickInterval)
	if _, d := b.ask(routerC); d.Kind != Granted {
		t.Errorf("decision %+v, want a grant of B", d)
	}
	if b.endpoints[routerB].Granter.term <= b.endpoints[routerA].Granter.term {
		t.Error("B grants with a term that is not above A's")
	}
}

// Guards against a router that grants because one other router can't reach the first.
func TestRouterThatIsAskedInPlaceOfALiveOneDoesNotGrant(t *testing.T) {
	b := newEndpointFleet(t, 6, routerA, routerB, routerC)
	b.ask(routerC)
	b.endpoints[routerC].Asker.contact(routerA).setSilent(b.now)
	// C asks B and pings A, whose answer comes first.
	if _, d := b.ask(routerC); d.Kind != Granted {
		t.Errorf("decision %+v, want a grant of A", d)
	}
	b.pass(2 * maxAnswerTimeout)
	b.wantGranting(routerA)
}

// Guards against a router that grants because one other router can't reach the first for good.
func TestOneWayCutMakesNoSecondGrantingRouter(t *testing.T) {
	b := newEndpointFleet(t, 6, routerA, routerB, routerC)
	b.ask(routerB)
	for range 20 {
		// What A and C tell each other is lost.
		*b.endpoints[routerC].Asker.contact(routerA) = contact{silent: true, silentAt: b.now, pingedAt: b.now}
		if _, d := b.ask(routerC); d.Kind != Elsewhere {
			t.Fatalf("decision %+v, want to go without a grant", d)
		}
		b.pass(20 * time.Millisecond)
	}
	b.wantGranting(routerA)
}

// Guards against each router finding out by a late request of its own that another one grants, and against questions that wait
// at the silent one.
func TestRouterThatTakesOverTellsAll(t *testing.T) {
	b := newEndpointFleet(t, 1, routerA, routerB, routerC)
	b.ask(routerA)
	number, d := b.ask(routerC)
	if d.Kind != 0 {
		t.Fatalf("decision %+v, want a wait", d)
	}
	b.cut[routerA] = true
	b.endpoints[routerB].Asker.contact(routerA).setSilent(b.now)
	if _, d := b.ask(routerB); d.Kind != Granted {
		t.Fatalf("decision %+v, want B to grant itself", d)
	}
	if !b.endpoints[routerC].Asker.Silent(routerA) || b.endpoints[routerB].Granter.queue.byKey[leaseKey{routerC, number}] == nil {
		t.Error("C does not ask B")
	}
}

// Guards against two routers that grant for longer than a moment, when the first one is back.
func TestFirstRouterGrantsAgainWhenItIsBack(t *testing.T) {
	b := newEndpointFleet(t, 6, routerA, routerB, routerC)
	b.ask(routerC)
	b.cut[routerA] = true
	b.endpoints[routerB].Asker.contact(routerA).setSilent(b.now)
	b.endpoints[routerC].Asker.contact(routerA).setSilent(b.now)
	if _, d := b.ask(routerC); d.Kind != Granted {
		t.Fatalf("decision %+v, want a grant of B", d)
	}
	b.cut[routerA] = false
	b.now = b.now.Add(pingInterval)
	for range 20 {
		b.ask(routerC)
		b.pass(50 * time.Millisecond)
	}
	b.wantGranting(routerA)
	if b.endpoints[routerA].Granter.term <= 2 {
		t.Errorf("A grants with term %d, want one above B's", b.endpoints[routerA].Granter.term)
	}
}

// Guards against a router that grants on what it knew before another one has granted: it was frozen, and its clock need not tell.
func TestRouterThatHearsALaterTermForgetsItsGrants(t *testing.T) {
	b := newEndpointFleet(t, 6, routerA, routerB)
	b.ask(routerB)
	b.endpoints[routerB].Asker.term = 7
	_, d := b.ask(routerB)
	g := b.endpoints[routerA].Granter
	if g.term != 8 || g.Leases() != 0 || d.Kind != 0 {
		t.Errorf("term %d, %d leases, decision %+v; want 8, none, a wait", g.term, g.Leases(), d)
	}
	b.pass(defaultSlotTime)
	if b.decisions[routerB][len(b.decisions[routerB])-1].Kind != Granted {
		t.Error("nothing is granted once the earlier requests have ended")
	}
}

// Guards against requests that are sent with a grant of a router that does not know that another one grants.
func TestGrantOfAnEarlierTermIsGivenBack(t *testing.T) {
	out := NewOutbox(1)
	a := NewAsker(routerB, 0)
	a.term = 5
	number, _ := a.Ask(start, []netip.Addr{routerA}, question(0), out)
	out.Take()
	a.Receive(start, routerA, &Message{Term: 4, Answers: []Answer{{Number: number, Kind: Granted, Server: 9}}}, out)
	sent := out.Take()
	if len(a.TakeDecisions()) > 0 || len(sent) != 1 || len(sent[0].Message.Reports) != 1 || sent[0].Message.Term != 5 {
		t.Errorf("sent %+v, want the grant given back", sent)
	}
}

// Guards against a planned stop that costs the waiting requests their time.
func TestPlannedStopHandsTheQueueOver(t *testing.T) {
	b := newEndpointFleet(t, 1, routerA, routerB, routerC)
	b.ask(routerC)
	b.ask(routerC)
	without := b.view
	without.Candidates = []netip.Addr{routerB, routerC}
	b.endpoints[routerA].Tick(b.now, without)
	// All have heard that A stops.
	out := b.endpoints[routerA].Take()
	b.view = without
	for _, o := range out {
		b.endpoints[o.To].Receive(b.now, b.view, routerA, o.Message)
	}
	b.exchange()
	if b.endpoints[routerA].Granter.Active() || b.endpoints[routerB].Granter.Waiting()+b.endpoints[routerB].Granter.Leases() != 1 {
		t.Errorf("A grants: %v; B: %d waiting", b.endpoints[routerA].Granter.Active(), b.endpoints[routerB].Granter.Waiting())
	}
}

// Guards against a granting router that rejects all requests since it alone has heard that other rules bound the load of the servers.
func TestRouterWithoutServersSendsElsewhere(t *testing.T) {
	b := newEndpointFleet(t, 1, routerA, routerB)
	b.ask(routerB)
	waiting, _ := b.ask(routerB)
	b.view.Servers = nil
	if _, d := b.ask(routerB); d.Kind != Elsewhere {
		t.Errorf("decision %+v, want to go without a grant", d)
	}
	if d := b.decided(routerB, waiting); d.Kind != Elsewhere {
		t.Errorf("decision %+v of a waiting request, want to go without a grant", d)
	}
	b.wantGranting()
}

// Guards against a router that was frozen, has noticed it, and grants on its old state.
func TestPausedRouterForgetsItsGrants(t *testing.T) {
	b := newEndpointFleet(t, 6, routerA, routerB)
	b.ask(routerB)
	b.endpoints[routerA].Paused()
	if _, d := b.ask(routerB); d.Kind != 0 {
		t.Errorf("decision %+v, want a wait", d)
	}
	b.pass(defaultSlotTime)
	if g := b.endpoints[routerA].Granter; g.Leases() != 1 {
		t.Errorf("%d leases, want that of the second request", g.Leases())
	}
}
