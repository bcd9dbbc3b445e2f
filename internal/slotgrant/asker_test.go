package slotgrant

import (
	"net/netip"
	"testing"
	"time"
)

// askerBed is an Asker of router B that asks A, then C.
type askerBed struct {
	t   *testing.T
	a   *Asker
	now time.Time
	out *Outbox
}

func newAskerBed(t *testing.T) *askerBed {
	return &askerBed{t: t, a: NewAsker(routerB, 0), now: start, out: NewOutbox(1)}
}

func (b *askerBed) ask() uint64 {
	number, _ := b.a.Ask(b.now, []netip.Addr{routerA, routerC}, question(0), b.out)
	return number
}

func (b *askerBed) answer(from netip.Addr, a Answer) {
	b.a.Receive(b.now, from, &Message{Term: 1, Answers: []Answer{a}}, b.out)
}

// pass lets time pass, and returns what was sent.
func (b *askerBed) pass(d time.Duration) []Outgoing {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(5*time.Millisecond, end.Sub(b.now)))
		b.a.Tick(b.now, b.out)
	}
	return b.out.Take()
}

func (b *askerBed) wantDecision(want ...Decision) {
	b.t.Helper()
	got := b.a.TakeDecisions()
	if len(got) != len(want) {
		b.t.Fatalf("decisions %+v, want %+v", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			b.t.Errorf("decision %+v, want %+v", got[i], want[i])
		}
	}
}

// questions returns the questions that were sent to a router.
func questions(sent []Outgoing, to netip.Addr) []Question {
	var list []Question
	for _, o := range sent {
		if o.To == to {
			list = append(list, o.Message.Questions...)
		}
	}
	return list
}

// reports returns the reports that were sent to a router.
func reports(sent []Outgoing, to netip.Addr) []Report {
	var list []Report
	for _, o := range sent {
		if o.To == to {
			list = append(list, o.Message.Reports...)
		}
	}
	return list
}

// Guards against a request that waits for a lost datagram, and for a router that is gone.
func TestQuestionIsSentAgainAndGivenUp(t *testing.T) {
	b := newAskerBed(t)
	number := b.ask()
	b.out.Take()
	again := questions(b.pass(25*time.Millisecond), routerA)
	if len(again) != 1 || again[0].Number != number || again[0].Objective >= 150*time.Millisecond {
		t.Errorf("sent again %+v, want the question with what is left of its objective", again)
	}
	b.pass(25 * time.Millisecond)
	b.wantDecision(Decision{Number: number, Kind: Elsewhere})
	b.ask()
	if got := questions(b.out.Take(), routerC); len(got) != 1 {
		t.Errorf("the next router gets %d questions, want 1", len(got))
	}
}

// Guards against a queued request that waits for a router that has ended meanwhile, or for a grant that was lost.
func TestQueuedQuestionIsSentAgain(t *testing.T) {
	b := newAskerBed(t)
	number := b.ask()
	b.answer(routerA, Answer{Number: number, Kind: Queued})
	b.out.Take()
	if got := questions(b.pass(70*time.Millisecond), routerA); len(got) != 0 {
		t.Errorf("%d questions after 70 ms, want none yet", len(got))
	}
	if got := questions(b.pass(15*time.Millisecond), routerA); len(got) != 1 {
		t.Errorf("%d questions after 85 ms, want 1", len(got))
	}
	b.answer(routerA, Answer{Number: number, Kind: Granted, Server: 9})
	b.wantDecision(Decision{Number: number, Kind: Granted, Server: 9})
}

// Guards against a slot that is lost with a grant that comes too late.
func TestLateGrantIsGivenBack(t *testing.T) {
	b := newAskerBed(t)
	number := b.ask()
	b.pass(100 * time.Millisecond)
	b.a.TakeDecisions()
	b.answer(routerA, Answer{Number: number, Kind: Granted, Server: 9})
	got := reports(b.out.Take(), routerA)
	if len(got) != 1 || got[0] != (Report{Number: number, End: Unused}) {
		t.Errorf("reports %+v, want the grant given back", got)
	}
	b.wantDecision()
}

// Guards against a report that is lost for good: the granting router asks, and is told that the request has ended.
func TestProbesAreAnswered(t *testing.T) {
	b := newAskerBed(t)
	running := b.ask()
	b.answer(routerA, Answer{Number: running, Kind: Granted, Server: 9})
	ended := b.ask()
	b.answer(routerA, Answer{Number: ended, Kind: Granted, Server: 9})
	b.a.End(Report{Number: ended, End: Served}, b.out)
	lost := b.ask()
	b.out.Take()
	b.a.Receive(b.now, routerA, &Message{Term: 1, Probes: []uint64{running, ended, lost}}, b.out)
	sent := b.out.Take()
	got := reports(sent, routerA)
	if len(got) != 2 || got[0] != (Report{Number: running, End: Running}) || got[1] != (Report{Number: ended, End: Unused}) {
		t.Errorf("reports %+v, want one running and one ended", got)
	}
	if q := questions(sent, routerA); len(q) != 1 || q[0].Number != lost {
		t.Errorf("questions %+v, want that whose grant was lost", q)
	}
}

// Guards against a request that is passed on from router to router.
func TestQuestionIsRedirectedOnce(t *testing.T) {
	b := newAskerBed(t)
	number := b.ask()
	b.out.Take()
	b.a.Receive(b.now, routerA, &Message{Term: 1, First: routerC, Answers: []Answer{{Number: number, Kind: Elsewhere}}}, b.out)
	if q := questions(b.out.Take(), routerC); len(q) != 1 {
		t.Fatalf("the named router gets %d questions, want 1", len(q))
	}
	b.a.Receive(b.now, routerC, &Message{Term: 1, First: routerA, Answers: []Answer{{Number: number, Kind: Elsewhere}}}, b.out)
	b.wantDecision(Decision{Number: number, Kind: Elsewhere})
}

// Guards against a request for each attempt to find out whether a silent router is back, and against one that is never asked again.
func TestSilentRouterIsPinged(t *testing.T) {
	b := newAskerBed(t)
	b.ask()
	b.pass(100 * time.Millisecond)
	b.a.TakeDecisions()
	pings := 0
	for range 10 {
		b.ask()
		for _, o := range b.out.Take() {
			if o.To == routerA && o.Message.Ping {
				pings++
			}
			if o.To == routerA && len(o.Message.Questions) > 0 {
				t.Error("a silent router is asked")
			}
		}
		b.now = b.now.Add(100 * time.Millisecond)
	}
	if pings < 2 || pings > 3 {
		t.Errorf("%d pings in a second, want 2 or 3", pings)
	}
	b.a.Receive(b.now, routerA, &Message{Term: 1, Pong: true}, b.out)
	b.ask()
	if q := questions(b.out.Take(), routerA); len(q) != 1 {
		t.Error("a router that answers again is not asked")
	}
}

// Guards against a slot for a caller that has left.
func TestWithdrawnQuestionIsReported(t *testing.T) {
	b := newAskerBed(t)
	number := b.ask()
	b.out.Take()
	b.a.Cancel(number, b.out)
	if got := reports(b.out.Take(), routerA); len(got) != 1 || got[0].End != Unused {
		t.Errorf("reports %+v", got)
	}
	b.answer(routerA, Answer{Number: number, Kind: Granted, Server: 9})
	b.wantDecision()
}

// Guards against an answer that only a later build knows, and that would leave its request waiting.
func TestUnknownAnswerEndsTheQuestion(t *testing.T) {
	b := newAskerBed(t)
	number := b.ask()
	b.answer(routerA, Answer{Number: number, Kind: 77})
	b.wantDecision(Decision{Number: number, Kind: Elsewhere})
}

// Guards against an answer of a router that was not asked.
func TestAnswerOfAnotherRouterDoesNotCount(t *testing.T) {
	b := newAskerBed(t)
	number := b.ask()
	b.answer(routerC, Answer{Number: number, Kind: Granted, Server: 9})
	b.wantDecision()
}

// Guards against a second router that grants because one datagram was lost.
func TestPingIsRepeated(t *testing.T) {
	b := newAskerBed(t)
	b.a.Check(b.now, routerA, recentlyHeard, b.out)
	b.out.Take()
	for range 2 {
		if sent := b.pass(30 * time.Millisecond); len(sent) != 1 || !sent[0].Message.Ping {
			t.Errorf("sent %+v, want another ping", sent)
		}
	}
	if b.a.Silent(routerA) {
		t.Error("a router is silent after 60 ms, want time for an answer")
	}
	b.a.Receive(b.now, routerA, &Message{Term: 1, Pong: true}, b.out)
	if b.pass(100 * time.Millisecond); b.a.Silent(routerA) {
		t.Error("a router that has answered is taken for silent")
	}
}

// Guards against requests that go without a grant since another router had called the granting one silent, and now names it.
func TestRouterThatWasCalledSilentIsAskedWhenItIsNamed(t *testing.T) {
	b := newAskerBed(t)
	b.a.Follow(b.now, []netip.Addr{routerA, routerC}, routerC, b.out)
	number := b.ask()
	if q := questions(b.out.Take(), routerC); len(q) != 1 {
		t.Fatalf("the router that grants gets %d questions", len(q))
	}
	b.a.Receive(b.now, routerC, &Message{Term: 1, First: routerA, Answers: []Answer{{Number: number, Kind: Elsewhere}}}, b.out)
	if q := questions(b.out.Take(), routerA); len(q) != 1 {
		t.Error("the router that is named is not asked")
	}
}

// Guards against a router that has stopped to grant and is asked for a second since another one had named it.
func TestNamedRouterThatGrantsNoMoreIsNotAsked(t *testing.T) {
	b := newAskerBed(t)
	number := b.ask()
	b.a.Receive(b.now, routerA, &Message{Term: 1, First: routerC, Answers: []Answer{{Number: number, Kind: Elsewhere}}}, b.out)
	b.a.Receive(b.now, routerC, &Message{Term: 1, First: routerA, Answers: []Answer{{Number: number, Kind: Elsewhere}}}, b.out)
	b.out.Take()
	b.ask()
	if q := questions(b.out.Take(), routerA); len(q) != 1 {
		t.Error("the first router is not asked")
	}
}
