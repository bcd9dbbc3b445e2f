package slotgrant

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

var (
	routerA = netip.MustParseAddr("10.0.0.1")
	routerB = netip.MustParseAddr("10.0.0.2")
	routerC = netip.MustParseAddr("10.0.0.3")
	start   = time.Unix(1_700_000_000, 0)
)

// granterBed is a Granter with a clock.
type granterBed struct {
	t   *testing.T
	g   *Granter
	now time.Time
	out *Outbox
	// answers are the last ones for each request.
	answers map[uint64]Answer
	probed  []uint64
}

// newGranterBed returns a Granter of servers with a number of slots each.
func newGranterBed(t *testing.T, slots ...int) *granterBed {
	b := &granterBed{t: t, g: &Granter{}, now: start, out: NewOutbox(1), answers: map[uint64]Answer{}}
	b.setServers(nil, slots...)
	b.g.Begin(b.now, 0, true)
	return b
}

func (b *granterBed) setServers(loads []int, slots ...int) {
	var list []Server
	for i, n := range slots {
		s := Server{Hash: uint64(i + 1), Slots: n, Usable: true}
		if i < len(loads) {
			s.Load = loads[i]
		}
		list = append(list, s)
	}
	b.g.SetServers(list)
}

// question returns one with an objective of 150 ms and a deadline of 1 s.
func question(number uint64) Question {
	return Question{Number: number, Objective: 150 * time.Millisecond, Deadline: time.Second, Priority: 1}
}

func (b *granterBed) ask(q Question) Answer {
	b.receive(&Message{Questions: []Question{q}})
	return b.answers[q.Number]
}

func (b *granterBed) report(r Report) { b.receive(&Message{Reports: []Report{r}}) }

func (b *granterBed) receive(m *Message) {
	b.g.Receive(b.now, routerA, m, b.out)
	b.take()
}

func (b *granterBed) take() {
	for _, o := range b.out.Take() {
		for _, a := range o.Message.Answers {
			b.answers[a.Number] = a
		}
		b.probed = append(b.probed, o.Message.Probes...)
	}
}

// pass lets time pass, with a tick each tickInterval.
func (b *granterBed) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(tickInterval, end.Sub(b.now)))
		b.g.Tick(b.now, b.out)
		b.take()
	}
}

// learn lets the granter learn that requests take 30 ms.
func (b *granterBed) learn() {
	for i := range uint64(2 * maxSamples) {
		b.ask(question(1<<40 + i))
		b.now = b.now.Add(30 * time.Millisecond)
		b.report(Report{Number: 1<<40 + i, End: Served, Took: 30 * time.Millisecond})
	}
	b.now = b.now.Add(10 * time.Second)
}

func (b *granterBed) want(number uint64, kind Kind) {
	b.t.Helper()
	if got := b.answers[number]; got.Kind != kind {
		b.t.Errorf("request %d: kind %d (%v), want %d", number, got.Kind, got.Reason, kind)
	}
}

// fill takes all slots with requests numbered from 101.
func (b *granterBed) fill(n int) {
	b.t.Helper()
	for i := range n {
		b.ask(question(uint64(101 + i)))
		b.want(uint64(101+i), Granted)
	}
}

// end ends a request that has filled a slot.
func (b *granterBed) end(number uint64) {
	b.report(Report{Number: number, End: Served, Took: 30 * time.Millisecond})
}

// Guards against a server that gets more requests than it has slots.
func TestSlotsAreGrantedOnce(t *testing.T) {
	b := newGranterBed(t, 2, 1)
	b.fill(3)
	b.ask(question(1))
	b.want(1, Queued)
	servers := []uint64{b.answers[101].Server, b.answers[102].Server, b.answers[103].Server}
	slices.Sort(servers)
	if !slices.Equal(servers, []uint64{1, 1, 2}) {
		t.Errorf("granted servers %v, want 1, 1, 2", servers)
	}
	b.end(101)
	b.want(1, Granted)
	if got := b.answers[1].Server; got != b.answers[101].Server {
		t.Errorf("server %d is granted, want the one with a free slot", got)
	}
}

// Guards against a question that is sent again and takes a second slot, and against one whose grant was lost for good.
func TestQuestionThatIsSentAgainHasOneGrant(t *testing.T) {
	b := newGranterBed(t, 2)
	b.ask(question(1))
	delete(b.answers, 1)
	b.ask(question(1))
	b.want(1, Granted)
	b.ask(question(2))
	b.want(2, Granted)
	b.ask(question(3))
	b.ask(question(3))
	b.want(3, Queued)
	if b.g.Leases() != 2 || b.g.Waiting() != 1 {
		t.Errorf("%d leases and %d waiting, want 2 and 1", b.g.Leases(), b.g.Waiting())
	}
}

// Guards against a queue in the order of arrival: urgent requests come first, then those that are due first.
func TestQueueIsOrderedByPriorityThenBySlack(t *testing.T) {
	b := newGranterBed(t, 1)
	b.learn()
	b.fill(1)
	for number, q := range map[uint64]Question{
		1: {Priority: 2, Objective: 400 * time.Millisecond}, 2: {Priority: 1, Objective: 500 * time.Millisecond},
		3: {Priority: 1, Objective: 300 * time.Millisecond}, 4: {Priority: 0, Objective: 600 * time.Millisecond},
	} {
		q.Number, q.Deadline = number, time.Second
		b.ask(q)
		b.want(number, Queued)
	}
	last := uint64(101)
	for _, number := range []uint64{4, 3, 2, 1} {
		b.end(last)
		b.want(number, Granted)
		last = number
	}
}

// Guards against requests that wait although they will be late: they are rejected at once, the rest is queued.
func TestWhatWouldBeLateIsRejectedAtOnce(t *testing.T) {
	b := newGranterBed(t, 1)
	b.learn()
	b.fill(1)
	// Demand beyond what the slot takes, so that nothing is served late.
	rejected := 0
	for number := uint64(1); number <= 60; number++ {
		if a := b.ask(question(number)); a.Kind == Rejected {
			rejected++
			if a.Reason != ReasonLate && a.Reason != ReasonShare || a.Wait < minRetryAfter {
				t.Fatalf("rejected for %v with a wait of %v", a.Reason, a.Wait)
			}
		}
	}
	// 150 ms are five times 30 ms: one runs, and the margin costs one place.
	if waiting := b.g.Waiting(); waiting < 2 || waiting > 4 || rejected == 0 {
		t.Errorf("%d wait, %d rejected; want 2 to 4 waiting and the rest rejected", waiting, rejected)
	}
}

// Guards against urgent requests that are rejected because others wait already.
func TestUrgentRequestTakesThePlaceOfAnother(t *testing.T) {
	b := newGranterBed(t, 1)
	b.learn()
	b.fill(1)
	for number := uint64(1); number <= 60; number++ {
		b.ask(question(number))
	}
	waiting := b.g.Waiting()
	for number := uint64(201); number <= 203; number++ {
		q := question(number)
		q.Priority = 0
		if a := b.ask(q); a.Kind != Queued {
			t.Fatalf("urgent request: kind %d, %v", a.Kind, a.Reason)
		}
	}
	if b.g.Waiting() > waiting+1 || b.g.Counts().Rejected[ReasonOvertaken] == 0 {
		t.Errorf("%d wait, %d before; %d were overtaken", b.g.Waiting(), waiting, b.g.Counts().Rejected[ReasonOvertaken])
	}
}

// Guards against a workspace that sends seven times its usual and pushes the others out.
func TestSurgingWorkspaceLeavesTheOthersTheirShare(t *testing.T) {
	served, asked := map[uint32]int{}, map[uint32]int{}
	b := newGranterBed(t, 6)
	b.learn()
	number := uint64(0)
	running := map[uint64]time.Time{}
	workspaces := map[uint64]uint32{}
	send := func(workspace uint32) {
		number++
		q := question(number)
		q.Workspace = workspace
		workspaces[number] = workspace
		asked[workspace]++
		b.ask(q)
	}
	for step := range 24000 {
		surge := step >= 20000
		if step == 20000 {
			clear(served)
			clear(asked)
		}
		// Four workspaces send 40 requests a second each, 0.8 of the 200 that the slots take; then one sends 280.
		if step%25 == 0 {
			for w := range uint32(4) {
				send(w)
			}
		}
		if surge && step%25 != 0 && step%4 == 0 {
			send(0)
		}
		b.now = b.now.Add(time.Millisecond)
		for n, a := range b.answers {
			if a.Kind == Granted && running[n].IsZero() && workspaces[n] < 4 && n < 1<<40 {
				running[n] = b.now
				served[workspaces[n]]++
			}
		}
		for n, at := range running {
			if b.now.Sub(at) >= 30*time.Millisecond {
				delete(running, n)
				delete(b.answers, n)
				b.report(Report{Number: n, End: Served, Took: 30 * time.Millisecond})
			}
		}
	}
	t.Logf("asked %v, served %v", asked, served)
	for w := uint32(1); w < 4; w++ {
		if float64(served[w]) < 0.9*float64(asked[w]) {
			t.Errorf("workspace %d: %d of %d served", w, served[w], asked[w])
		}
	}
	if served[0] < asked[1] {
		t.Errorf("the surging workspace: %d served, want its usual %d", served[0], asked[1])
	}
}

// Guards against requests beyond their objective that are rejected while slots are free, and against those that take slots while
// there are too few for the others.
func TestLateRequestIsServedWhileThereIsCapacity(t *testing.T) {
	b := newGranterBed(t, 1)
	b.learn()
	b.fill(1)
	late := question(1)
	late.Objective = 0
	b.ask(late)
	b.want(1, Queued)
	b.end(101)
	b.want(1, Granted)
	for number := uint64(2); number < 80; number++ {
		b.ask(question(number))
	}
	late.Number = 90
	b.ask(late)
	b.want(90, Rejected)
}

// Guards against a request in time that waits behind one that is late anyway.
func TestLateRequestComesLast(t *testing.T) {
	b := newGranterBed(t, 1)
	b.learn()
	b.fill(1)
	late := question(1)
	late.Objective, late.Priority = 0, 0
	b.ask(late)
	b.ask(question(2))
	b.end(101)
	b.want(2, Granted)
	b.want(1, Queued)
}

// Guards against slots that are lost with a killed router, and against grants of long requests that end before them.
func TestLeaseLastsWhileItsRouterIsHeard(t *testing.T) {
	b := newGranterBed(t, 2)
	b.learn()
	b.fill(2)
	for range 20 {
		b.pass(50 * time.Millisecond)
		b.report(Report{Number: 101, End: Running})
	}
	if b.g.leases[leaseKey{routerA, 101}] == nil || b.g.leases[leaseKey{routerA, 102}] != nil || b.g.Counts().Expired != 1 {
		t.Errorf("want the lease that is heard only; %d have expired", b.g.Counts().Expired)
	}
	if slices.Contains(b.probed, 101) || !slices.Contains(b.probed, 102) {
		t.Errorf("probed %v, want the one that is not heard", b.probed)
	}
}

// Guards against probes of grants that have not lasted longer than usual: each costs two datagrams.
func TestYoungLeaseIsNotProbed(t *testing.T) {
	b := newGranterBed(t, 1)
	b.learn()
	b.fill(1)
	b.pass(50 * time.Millisecond)
	if len(b.probed) > 0 {
		t.Errorf("probed %v after 50 ms", b.probed)
	}
}

// Guards against further grants of a server that refuses or can't be reached.
func TestServerThatFailsGetsNoGrantsForAWhile(t *testing.T) {
	for _, c := range []struct {
		end     End
		reports int
		pause   time.Duration
	}{{Refused, 1, refusedPause}, {Unreachable, 1, minFailedPause}, {Failed, failuresBeforePause, minFailedPause}, {Answered, 5, 0}, {Failed, 1, 0}} {
		b := newGranterBed(t, 5)
		for i := range c.reports {
			b.ask(question(uint64(i + 1)))
			b.report(Report{Number: uint64(i + 1), End: c.end})
			b.now = b.now.Add(50 * time.Millisecond)
		}
		q := question(50)
		q.Objective = time.Second
		want := Granted
		if c.pause > 0 {
			want = Queued
		}
		b.ask(q)
		b.want(50, want)
		b.pass(c.pause)
		b.want(50, Granted)
	}
}

// Guards against a server that is tried again and again in short intervals although it is down.
func TestPauseOfAnUnreachableServerGrows(t *testing.T) {
	s := &server{}
	for _, want := range []time.Duration{minFailedPause, 2 * minFailedPause, 4 * minFailedPause, maxFailedPause, maxFailedPause} {
		s.recordEnd(start, Unreachable)
		if got := s.pausedUntil.Sub(start); got != want {
			t.Errorf("pause %v, want %v", got, want)
		}
	}
	s.recordEnd(start, Served)
	later := start.Add(recentlyServed)
	s.recordEnd(later, Unreachable)
	if got := s.pausedUntil.Sub(later); got != minFailedPause {
		t.Errorf("pause %v after an answer, want %v", got, minFailedPause)
	}
}

// Guards against a server that gets no grants because one router does not reach it.
func TestServerThatAnswersOthersIsNotPaused(t *testing.T) {
	b := newGranterBed(t, 3)
	b.fill(2)
	b.end(101)
	b.report(Report{Number: 102, End: Unreachable})
	b.ask(question(1))
	b.want(1, Granted)
}

// Guards against a router that begins to grant and overfills servers with what it does not know of, and one that waits although
// nothing runs.
func TestRouterThatBeginsKeepsToTheLoads(t *testing.T) {
	b := newGranterBed(t, 4)
	b.ask(question(1))
	b.want(1, Granted)
	b.setServers([]int{3}, 4)
	b.g.Begin(b.now, 0, true)
	b.ask(question(11))
	b.ask(question(12))
	b.want(11, Granted)
	b.want(12, Queued)
	b.pass(defaultSlotTime)
	b.want(12, Granted)
}

// Guards against a router that was frozen and grants slots that another one has granted since.
func TestRouterThatWasFrozenTakesAllSlotsForTaken(t *testing.T) {
	b := newGranterBed(t, 4)
	b.g.Begin(b.now, 0, false)
	b.ask(question(1))
	b.want(1, Queued)
	b.pass(defaultSlotTime)
	b.want(1, Granted)
}

// Guards against grants beside requests that others have sent without one: servers say how many they have.
func TestLoadThatTheServerReportsCounts(t *testing.T) {
	b := newGranterBed(t, 3)
	b.learn()
	b.fill(2)
	b.report(Report{Number: 101, End: Served, Took: 30 * time.Millisecond, Load: 4})
	// The server had four: the one that has ended, 102, and two others.
	b.ask(question(1))
	b.want(1, Queued)
	b.pass(30 * time.Millisecond)
	b.want(1, Granted)
}

// Guards against a server that states an impossible load and gets no grants.
func TestFalseLoadIsIgnored(t *testing.T) {
	b := newGranterBed(t, 3)
	b.learn()
	b.fill(2)
	b.report(Report{Number: 101, End: Served, Took: 30 * time.Millisecond, Load: 1 << 20})
	b.ask(question(1))
	b.want(1, Granted)
}

// Guards against an estimate that nothing corrects: after slow answers all requests would be rejected for good.
func TestIdlePoolGrantsWhateverIsExpected(t *testing.T) {
	b := newGranterBed(t, 2)
	b.ask(question(1))
	b.report(Report{Number: 1, End: Served, Took: 2 * time.Second})
	b.ask(question(2))
	b.want(2, Granted)
}

// Guards against an answer time that grows with a queue at the server.
func TestTimeAtAFullServerIsNotLearned(t *testing.T) {
	b := newGranterBed(t, 2)
	b.learn()
	b.ask(question(1))
	b.report(Report{Number: 1, End: Served, Took: 2 * time.Second, Load: 9})
	if got := b.g.answerTime(); got != 30*time.Millisecond {
		t.Errorf("answer time %v, want 30ms", got)
	}
}

// Guards against a slot that is granted while its server may still run the request that was given up.
func TestSlotOfAnAbandonedRequestIsFreeLater(t *testing.T) {
	b := newGranterBed(t, 1)
	b.learn()
	b.fill(1)
	b.report(Report{Number: 101, End: Abandoned, Took: time.Millisecond})
	b.ask(question(1))
	b.want(1, Queued)
	b.pass(40 * time.Millisecond)
	b.want(1, Granted)
}

// Guards against a grant of a server that the request may not go to, and a wait for one that does not come.
func TestExcludedServerIsNotGranted(t *testing.T) {
	b := newGranterBed(t, 5, 1)
	q := question(1)
	q.Exclude = []uint64{1}
	b.ask(q)
	if b.answers[1].Server != 2 {
		t.Errorf("server %d is granted, want 2", b.answers[1].Server)
	}
	q.Number = 2
	b.ask(q)
	b.want(2, Queued)
	q.Number, q.Exclude = 3, []uint64{1, 2}
	if a := b.ask(q); a.Kind != Rejected || a.Reason != ReasonNoServer {
		t.Errorf("kind %d, %v; want a rejection for want of a server", a.Kind, a.Reason)
	}
}

// Guards against a question of a caller that has left and that takes a slot later.
func TestWithdrawnQuestionGetsNoSlot(t *testing.T) {
	b := newGranterBed(t, 1)
	b.fill(1)
	b.ask(question(1))
	b.report(Report{Number: 1, End: Unused})
	b.end(101)
	if b.g.Leases() != 0 || b.g.Waiting() != 0 {
		t.Errorf("%d leases, %d waiting", b.g.Leases(), b.g.Waiting())
	}
}

// Guards against a slot that counts as about to end although its request begins only now: its grant was lost.
func TestGrantThatIsSentAgainBeginsAnew(t *testing.T) {
	b := newGranterBed(t, 1)
	b.fill(1)
	b.now = b.now.Add(20 * time.Millisecond)
	b.ask(question(101))
	if l := b.g.leases[leaseKey{routerA, 101}]; !l.grantedAt.Equal(b.now) {
		t.Errorf("granted %v before it was sent again", b.now.Sub(l.grantedAt))
	}
}

// Guards against grants of a removed server that are kept for good.
func TestGrantsOfARemovedServerEnd(t *testing.T) {
	b := newGranterBed(t, 1, 1)
	b.fill(2)
	b.setServers(nil, 1)
	if b.g.Leases() != 1 {
		t.Errorf("%d leases, want that of the server that is left", b.g.Leases())
	}
	b.end(101)
	b.end(102)
	if b.g.Busy() {
		t.Error("the granting router still waits for something")
	}
}

// Guards against a queue without bounds.
func TestQueueIsBounded(t *testing.T) {
	b := newGranterBed(t, 1)
	b.fill(1)
	for number := uint64(1000); number < 1000+maxQueue+10; number++ {
		b.ask(Question{Number: number, Objective: time.Hour, Deadline: time.Hour})
	}
	if b.g.Waiting() != maxQueue || b.g.Counts().Rejected[ReasonQueueFull] != 10 {
		t.Errorf("%d wait, %d rejected for want of room", b.g.Waiting(), b.g.Counts().Rejected[ReasonQueueFull])
	}
}

// Guards against slots that are empty for a third of the time where routers answer late and times in a slot vary: no age tells
// then which requests have ended, but as many grants are on the way at any time.
func TestGrantsOnTheWayTakeNoSlotsWhereTimesVary(t *testing.T) {
	b := newGranterBed(t, 6)
	for i := range uint64(100) {
		b.ask(question(1000 + i))
		took := 20*time.Millisecond + time.Duration(i%3)*20*time.Millisecond
		b.now = b.now.Add(took + 20*time.Millisecond)
		b.report(Report{Number: 1000 + i, End: Served, Took: took})
	}
	// A grant is on the way for 30 ms, its request in the slot for 30: six on the way, and three that wait there.
	b.fill(6)
	for number := uint64(1); number <= 10; number++ {
		b.ask(question(number))
	}
	for number := uint64(1); number <= 9; number++ {
		b.want(number, Granted)
	}
	b.want(10, Queued)
}

// Guards against slots that are empty while a report and a grant are on the way, and against a server that gets more than its
// slots where times vary.
func TestSlotThatIsAboutToEndIsGranted(t *testing.T) {
	for _, varies := range []bool{false, true} {
		b := newGranterBed(t, 1)
		for i := range uint64(100) {
			b.ask(question(1000 + i))
			took := 30 * time.Millisecond
			if varies {
				took += time.Duration(i%3) * 20 * time.Millisecond
			}
			b.now = b.now.Add(took + 4*time.Millisecond)
			b.report(Report{Number: 1000 + i, End: Served, Took: took})
		}
		b.now = b.now.Add(10 * time.Second)
		b.fill(1)
		q := question(1)
		q.Objective = 600 * time.Millisecond
		b.ask(q)
		if !varies {
			b.pass(33 * time.Millisecond)
			b.want(1, Granted)
			continue
		}
		// Longer than usual, but not yet given up.
		b.pass(150 * time.Millisecond)
		b.want(1, Queued)
	}
}

// Guards against slots that are empty while some grants and reports wait for the time slices of their routers.
func TestGrantsOnTheWayForVaryingTimesTakeNoSlots(t *testing.T) {
	b := newGranterBed(t, 6)
	for i := range uint64(100) {
		b.ask(question(1000 + i))
		took, way := 20*time.Millisecond+time.Duration(i%3)*20*time.Millisecond, time.Duration(i/3%2)*40*time.Millisecond
		b.now = b.now.Add(took + way)
		b.report(Report{Number: 1000 + i, End: Served, Took: took})
	}
	b.now = b.now.Add(10 * time.Second)
	before := b.g.Counts().Granted
	for number := uint64(1); number <= 40; number++ {
		b.ask(question(number))
	}
	// With steady times on the way it would be 9 beyond the slots.
	if got := int(b.g.Counts().Granted-before) - 6; got < 15 || got > 18 {
		t.Errorf("%d grants beyond the slots, want 15 to 18", got)
	}
}

// Guards against a router that was frozen, and fills a server beyond its slots by what it learned before while another one may still
// grant.
func TestRouterThatBeginsLearnsTheTimesFirst(t *testing.T) {
	b := newGranterBed(t, 6)
	for i := range uint64(100) {
		b.ask(question(1000 + i))
		took := 20*time.Millisecond + time.Duration(i%3)*20*time.Millisecond
		b.now = b.now.Add(took + 20*time.Millisecond)
		b.report(Report{Number: 1000 + i, End: Served, Took: took})
	}
	b.g.Begin(b.now, 0, true)
	b.fill(6)
	b.ask(question(1))
	b.want(1, Queued)
}

// Guards against a server that is slower with more requests than slots and says that many wait there, and still gets more.
func TestServerThatStatesAQueueGetsFewerGrants(t *testing.T) {
	for _, c := range []struct{ load, granted int }{{load: 0, granted: 9}, {load: 10, granted: 3}, {load: 5, granted: 9}} {
		b := newGranterBed(t, 6)
		for i := range uint64(200) {
			b.ask(question(1000 + i))
			took := 20*time.Millisecond + time.Duration(i%3)*20*time.Millisecond
			b.now = b.now.Add(took + 20*time.Millisecond)
			b.report(Report{Number: 1000 + i, End: Served, Took: took, Load: c.load})
		}
		b.now = b.now.Add(10 * time.Second)
		before := b.g.Counts().Granted
		for number := uint64(1); number <= 25; number++ {
			b.ask(question(number))
		}
		if got := int(b.g.Counts().Granted-before) - 6; got != c.granted {
			t.Errorf("load %d: %d grants beyond the slots, want %d", c.load, got, c.granted)
		}
	}
}

// Guards against slots that are left empty by rejections of a workspace that sends more than usual, while the slots take all questions.
func TestShareRejectsNothingWhileThereIsCapacity(t *testing.T) {
	b := newGranterBed(t, 6)
	b.learn()
	b.fill(6)
	// Other workspaces usually send far more.
	b.g.shares.all.Add(b.now, usualHalfLife, 1e6)
	for number := uint64(1); number <= 40; number++ {
		q := question(number)
		q.Workspace = 7
		if a := b.ask(q); a.Kind != Queued {
			t.Fatalf("question %d: kind %d, %v", number, a.Kind, a.Reason)
		}
	}
}

// Guards against a queue that is as long as the objective allows while more arrives than the slots take: what is granted is
// then hardly in time, and a short queue keeps the slots as busy.
func TestQueueIsShorterInOverload(t *testing.T) {
	b := newGranterBed(t, 6)
	b.learn()
	waiting := 0
	for number := uint64(1); number <= 1600; number++ {
		b.now = b.now.Add(2500 * time.Microsecond)
		for len(b.g.servers[0].leases) > 0 {
			oldest := b.g.servers[0].leases[0]
			if b.now.Sub(oldest.grantedAt) < 30*time.Millisecond {
				break
			}
			b.report(Report{Number: oldest.key.number, End: Served, Took: 30 * time.Millisecond})
		}
		q := question(number)
		q.Workspace = uint32(number % 200)
		b.ask(q)
		if number > 1200 {
			waiting = max(waiting, b.g.Waiting())
		}
	}
	// A wait of 5 ms for each, 30 ms in the slot and 45 ms of margin are within the objective for 15.
	if waiting > 16 || waiting < 12 {
		t.Errorf("%d wait, want about 15", waiting)
	}
}

// Guards against slots that are left empty in overload because the few questions that arrive in a moment can't be in time.
func TestFewQuestionsWaitThoughTheyMissTheirObjective(t *testing.T) {
	b := newGranterBed(t, 6)
	b.learn()
	b.fill(6)
	for range 1000 {
		b.g.demand.add(b.now, 0, 1)
	}
	for number := uint64(1); number <= 6; number++ {
		q := question(number)
		q.Objective = 10 * time.Millisecond
		b.ask(q)
	}
	for number := uint64(1); number <= 3; number++ {
		b.want(number, Queued)
	}
	b.want(6, Rejected)
	for number := uint64(101); number <= 103; number++ {
		b.now = b.now.Add(10 * time.Millisecond)
		b.end(number)
	}
	b.want(1, Granted)
}
