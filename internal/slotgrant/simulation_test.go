package slotgrant

import (
	"container/heap"
	"flag"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

const (
	simRouters   = 70
	simSlots     = 6
	simRoom      = 24
	simWork      = 30 * time.Millisecond
	simObjective = 150 * time.Millisecond
	simDeadline  = 1500 * time.Millisecond
	// simReport is the interval of the digests that name the loads.
	simReport = 250 * time.Millisecond
	// workSpread is the spread of the logarithm of varying times, and longWork the share of those that are longWorkFactor times
	// as long.
	workSpread     = 0.5
	longWork       = 0.01
	longWorkFactor = 5
	// shortWork is the share of short requests where there are any, each shortFactor times as short.
	shortWork   = 0.08
	shortFactor = 10
	// simDiscovery is the longest time until a router that has started knows another one.
	simDiscovery = 400 * time.Millisecond
)

// seed is added to that of the simulations. Other seeds are trials.
var seed = flag.Uint64("slotgrant.seed", 0, "added to the seed of the simulations")

type simEvent struct {
	at time.Duration
	n  int
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simCase is a load of the simulation.
type simCase struct {
	load   float64
	slower bool
	// without is set for routers that ask nobody, as before.
	without bool
	// admits decides about a request in place of grants; nil for grants.
	admits func(q *simRequest) bool
	// restarted is set when the routers start with the load, without knowing each other.
	restarted bool
	// lost is the share of the datagrams that are lost.
	lost float64
	// delay is the longest time of a datagram. uniform is set when its times reach down to 0.
	delay   time.Duration
	uniform bool
	// varying is set when the times of requests vary, see workTime.
	varying bool
	// unstated is set for a server that does not state its load.
	unstated bool
	// stalls is set when one datagram in 8 waits up to 80 ms for a time slice of its router, as an answer of the server does, and the
	// others take up to 2 ms.
	stalls bool
	// mixed is set for 40 workspaces of which the first sends 40 times as much as the last, with three priorities, and for some short
	// requests that are the most urgent ones.
	mixed bool
	// returns is set when callers that are rejected come back once.
	returns bool
	// skewed is set when a third of the requests are of one workspace, which sends few before mid.
	skewed   bool
	duration time.Duration
	// seed is added to that of the simulations. paired is set when arrivals and their times in a slot are drawn apart from the rest,
	// so that those of two simulations with the same seed are the same.
	seed   uint64
	paired bool
}

// simResult counts what became of the arrivals.
type simResult struct {
	arrivals, inTime, late, rejected, refusedByServer, lost int
	fallbacks, datagrams                                    int
	// mostInside is the largest number of requests at the server, and runs those that it ran.
	mostInside, runs int
	// rejectedAfter has the time from the arrival to the rejection, sorted.
	rejectedAfter []time.Duration
	perWorkspace  map[uint32]int
}

// value returns the value of the answers per arrival: 1 for one in time and 0.5 for a late one.
func (r *simResult) value() float64 {
	return (float64(r.inTime) + 0.5*float64(r.late)) / float64(r.arrivals)
}

func (r *simResult) share(n int) float64 { return float64(n) / float64(r.arrivals) }

type simRouter struct {
	sim      *sim
	addr     netip.Addr
	endpoint *Endpoint
	started  time.Duration
	// known is when it gets to know each other router.
	known    map[netip.Addr]time.Duration
	loads    int
	own      int
	dead     bool
	frozen   bool
	inbox    []func()
	ticking  bool
	tickAt   time.Duration
	fallback Fallback
	waiting  map[uint64]*simRequest
	// share is the share of its requests that the router sends in a trial of another way.
	share float64
	// frozenFor is how long its monotonic clock did not run.
	frozenFor time.Duration
}

type simRequest struct {
	router    *simRouter
	arrivedAt time.Duration
	number    uint64
	granted   bool
	workspace uint32
	sentAt    time.Duration
	short     bool
	returned  bool
	// work is its time in a slot where that is drawn with the arrival.
	work time.Duration
}

type sim struct {
	simCase
	t   *testing.T
	rng *rand.Rand
	// arrivals draws the arrivals; it is rng unless they are paired.
	arrivals *rand.Rand
	now      time.Duration
	n        int
	events   simEvents
	routers  []*simRouter
	inside   int
	running  int
	queue    []func()
	// onEnd is told how each request ends at the server, as its router sees it.
	onEnd func(q *simRequest, end End)
	// busy is the time that all slots have been in use.
	busy   time.Duration
	result simResult
	// disturbed is set when routers end or freeze.
	disturbed bool
	// countFrom is when the counting of arrivals begins.
	countFrom time.Duration
	workspace func() uint32
}

var simEpoch = time.Unix(1_700_000_000, 0)

func newSim(t *testing.T, c simCase) *sim {
	if c.duration == 0 {
		c.duration = 20 * time.Second
	}
	if c.delay == 0 {
		c.delay = time.Millisecond
	}
	s := &sim{simCase: c, t: t, rng: rand.New(rand.NewPCG(7+*seed+c.seed, 11))}
	s.arrivals = s.rng
	if c.paired {
		s.arrivals = rand.New(rand.NewPCG(7+*seed+c.seed, 13))
	}
	s.result.perWorkspace = map[uint32]int{}
	s.workspace = func() uint32 {
		if s.mixed {
			return uint32(40 * math.Pow(41, s.arrivals.Float64()-1))
		}
		if s.skewed && s.now >= mid && s.arrivals.Float64() < 0.35 {
			return 0
		}
		return uint32(s.arrivals.IntN(8))
	}
	for i := range simRouters {
		addr := netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)})
		s.routers = append(s.routers, &simRouter{sim: s, addr: addr})
	}
	for _, r := range s.routers {
		r.start(!c.restarted)
	}
	s.at(0, s.report)
	return s
}

func (s *sim) at(at time.Duration, do func()) {
	s.n++
	heap.Push(&s.events, simEvent{at, s.n, do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *sim) run() *simResult {
	perSecond := s.load * simSlots / simWork.Seconds()
	var arrive func()
	arrive = func() {
		s.after(time.Duration(s.arrivals.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		s.arrive()
	}
	s.at(time.Millisecond, arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > s.duration {
			break
		}
		s.now = e.at
		e.do()
	}
	slices.Sort(s.result.rejectedAfter)
	return &s.result
}

// report tells the routers each other's loads.
func (s *sim) report() {
	total := 0
	for _, r := range s.routers {
		total += r.own
	}
	for _, r := range s.routers {
		if !r.frozen {
			r.loads = total
		}
	}
	s.after(simReport, s.report)
}

func (s *sim) arrive() {
	r := s.routers[s.arrivals.IntN(len(s.routers))]
	for r.dead || r.frozen {
		r = s.routers[s.arrivals.IntN(len(s.routers))]
	}
	q := &simRequest{router: r, arrivedAt: s.now, workspace: s.workspace()}
	q.short = s.mixed && s.arrivals.Float64() < shortWork
	if s.paired {
		q.work = s.workTime(s.arrivals)
	}
	if s.now >= s.countFrom {
		s.result.arrivals++
	}
	s.offer(q)
}

// offer lets a router handle a request.
func (s *sim) offer(q *simRequest) {
	r := q.router
	switch {
	case s.without || s.admits != nil && s.admits(q):
		s.send(q)
		return
	case s.admits != nil:
		s.reject(q)
		return
	}
	r.ask(q)
}

func (s *sim) counted(q *simRequest) bool { return q.arrivedAt >= s.countFrom }

// send sends a request to the server.
func (s *sim) send(q *simRequest) {
	q.router.own++
	q.sentAt = s.now
	s.after(s.delayOf()/2, func() {
		if s.inside >= simSlots+simRoom {
			s.after(s.delayOf()/2, func() { s.end(q, Refused) })
			return
		}
		s.inside++
		if s.now >= s.countFrom {
			s.result.mostInside = max(s.result.mostInside, s.inside)
		}
		work := func() { s.work(q) }
		if s.running < simSlots {
			work()
		} else {
			s.queue = append(s.queue, work)
		}
	})
}

func (s *sim) work(q *simRequest) {
	s.running++
	took := q.work
	if took == 0 {
		took = s.workTime(s.rng)
	}
	if q.short {
		took = took / shortFactor
	}
	if s.slower {
		took += took / 10 * time.Duration(max(s.inside-simSlots, 0))
	}
	s.busy += took
	s.after(took, func() {
		s.inside--
		s.running--
		if s.now >= s.countFrom {
			s.result.runs++
		}
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
		way := s.delayOf() / 2
		if s.stalls {
			way *= 2
		}
		s.after(way, func() { s.end(q, Served) })
	})
}

// workTime draws the time of a request in a slot, simWork on average. Varying times are log-normal with a spread of
// workSpread, and one in 100 is five times as long.
func (s *sim) workTime(rng *rand.Rand) time.Duration {
	if !s.varying {
		return simWork
	}
	factor := math.Exp(rng.NormFloat64()*workSpread - workSpread*workSpread/2)
	if rng.Float64() < longWork {
		factor *= longWorkFactor
	}
	return time.Duration(factor / (1 + longWork*(longWorkFactor-1)) * float64(simWork))
}

// end ends a request at its router.
func (s *sim) end(q *simRequest, end End) {
	r := q.router
	if r.dead {
		if s.counted(q) {
			s.result.lost++
		}
		return
	}
	if r.frozen {
		r.inbox = append(r.inbox, func() { s.end(q, end) })
		return
	}
	r.own--
	if s.onEnd != nil {
		s.onEnd(q, end)
	}
	report := Report{Number: q.number, End: end, Took: s.now - q.sentAt, Load: s.inside + 1}
	if s.unstated {
		report.Load = 0
	}
	if q.granted {
		r.endpoint.End(r.now(), r.view(), report)
		r.flush()
	} else {
		r.endpoint.Asker.RecordTime(report)
	}
	if !s.counted(q) {
		return
	}
	switch {
	case end == Refused && s.returnLater(q):
	case end == Refused:
		s.result.refusedByServer++
	case s.now-q.arrivedAt <= simObjective:
		s.result.inTime++
		s.result.perWorkspace[q.workspace]++
	default:
		s.result.late++
	}
}

func (s *sim) reject(q *simRequest) {
	if s.returnLater(q) {
		return
	}
	if s.counted(q) {
		s.result.rejected++
		s.result.rejectedAfter = append(s.result.rejectedAfter, s.now-q.arrivedAt)
	}
}

// returnLater lets a caller that was rejected come back, once and to any router. Its time counts from then on.
func (s *sim) returnLater(q *simRequest) bool {
	if !s.returns || q.returned {
		return false
	}
	counted := s.counted(q)
	s.after(time.Duration((0.2+0.2*s.rng.Float64())*float64(time.Second)), func() {
		r := s.routers[s.rng.IntN(len(s.routers))]
		if r.dead || r.frozen {
			return
		}
		again := &simRequest{router: r, arrivedAt: s.now, workspace: q.workspace, short: q.short, returned: true}
		if !counted {
			again.arrivedAt = 0
		}
		s.offer(again)
	})
	return true
}

// delayOf draws the time of a datagram.
func (s *sim) delayOf() time.Duration {
	if s.stalls {
		if s.rng.Float64() < 0.12 {
			return time.Duration(s.rng.Float64() * float64(80*time.Millisecond))
		}
		return time.Duration(s.rng.Float64() * float64(2*time.Millisecond))
	}
	if s.uniform {
		return time.Duration(s.rng.Float64() * float64(s.delay))
	}
	return s.delay/4 + time.Duration(s.rng.Float64()*0.75*float64(s.delay))
}

// start starts the router's process. One that is known to the others knows them as well.
func (r *simRouter) start(known bool) {
	r.dead, r.started = false, r.sim.now
	r.endpoint = NewEndpoint(1, r.addr, r.sim.rng.Uint64())
	r.waiting = make(map[uint64]*simRequest)
	r.known = make(map[netip.Addr]time.Duration)
	r.loads, r.own, r.ticking, r.fallback = 0, 0, false, Fallback{}
	for _, o := range r.sim.routers {
		r.known[o.addr] = r.sim.now
		if !known {
			r.known[o.addr] += time.Duration(r.sim.rng.Float64() * float64(simDiscovery))
		}
	}
	r.known[r.addr] = 0
}

func (r *simRouter) now() time.Time { return simEpoch.Add(r.sim.now - r.frozenFor) }

// view returns the routers in a fixed order.
func (r *simRouter) view() View {
	var v View
	for _, o := range r.sim.routers {
		if r.known[o.addr] <= r.sim.now {
			v.Candidates = append(v.Candidates, o.addr)
			if len(v.Candidates) == 8 {
				break
			}
		}
	}
	v.Servers = []Server{{Hash: 9, Slots: simSlots, Usable: true, Load: r.loads}}
	v.LoadsKnown = true
	return v
}

func (r *simRouter) ask(q *simRequest) {
	number, asked := r.endpoint.Ask(r.now(), r.view(), Question{
		Objective: simObjective, Deadline: simDeadline, Workspace: q.workspace, Priority: q.priority(),
	})
	if !asked {
		r.fallBack(q)
		return
	}
	q.number = number
	r.waiting[number] = q
	r.flush()
}

// priority returns the rank of a request.
func (q *simRequest) priority() int {
	switch {
	case q.short:
		return 0
	case q.router.sim.mixed:
		return 1 + int(q.workspace)%3
	}
	return 1
}

func (r *simRouter) fallBack(q *simRequest) {
	if !r.fallback.Take(r.now(), simSlots, simRouters, r.endpoint.Asker.SlotTime()) {
		r.sim.reject(q)
		return
	}
	r.sim.result.fallbacks++
	r.sim.send(q)
}

// flush sends what the endpoint has to send, and acts on its decisions.
func (r *simRouter) flush() {
	for _, o := range r.endpoint.Take() {
		r.sim.result.datagrams++
		if r.sim.rng.Float64() < r.sim.lost {
			continue
		}
		r.sim.after(r.sim.delayOf(), func() { r.sim.deliver(r.addr, o) })
	}
	if m := r.endpoint.TakeAnnouncement(); m != nil {
		for _, o := range r.sim.routers {
			if o != r {
				r.sim.result.datagrams++
				r.sim.after(r.sim.delayOf(), func() { r.sim.deliver(r.addr, Outgoing{To: o.addr, Message: m}) })
			}
		}
	}
	for _, d := range r.endpoint.Asker.TakeDecisions() {
		q := r.waiting[d.Number]
		delete(r.waiting, d.Number)
		switch d.Kind {
		case Granted:
			q.granted = true
			r.sim.send(q)
		case Rejected:
			r.sim.reject(q)
		default:
			r.fallBack(q)
		}
	}
	r.tickLater()
}

func (r *simRouter) tickLater() {
	if !r.endpoint.Busy() {
		return
	}
	at := r.sim.now + r.endpoint.NextTick(r.now())
	if r.ticking && r.tickAt <= at {
		return
	}
	r.ticking, r.tickAt = true, at
	r.sim.at(at, func() { r.ifAwake(func() { r.tick(at) }) })
}

func (r *simRouter) tick(at time.Duration) {
	if at != r.tickAt {
		// An earlier one has taken its place.
		return
	}
	r.ticking = false
	r.endpoint.Tick(r.now(), r.view())
	r.flush()
}

// ifAwake does something now, or when the router is no longer frozen.
func (r *simRouter) ifAwake(do func()) {
	switch {
	case r.dead:
	case r.frozen:
		r.inbox = append(r.inbox, do)
	default:
		do()
	}
}

func (s *sim) deliver(from netip.Addr, o Outgoing) {
	for _, r := range s.routers {
		if r.addr == o.To {
			r.ifAwake(func() {
				r.endpoint.Receive(r.now(), r.view(), from, o.Message)
				r.flush()
			})
		}
	}
}

// freeze stops a router for a time, which its clock does not count.
func (r *simRouter) freeze(d time.Duration) {
	r.frozen = true
	r.sim.after(d, func() {
		r.frozen = false
		r.frozenFor += d
		inbox := r.inbox
		r.inbox = nil
		for _, do := range inbox {
			do()
		}
	})
}

// used returns the share of the server's capacity that was used.
func (s *sim) used() float64 {
	return float64(s.result.runs) / ((s.duration - s.countFrom).Seconds() * simSlots / simWork.Seconds())
}

// busyShare returns the share of the time in which the slots were in use.
func (s *sim) busyShare() float64 { return s.busy.Seconds() / (s.duration.Seconds() * simSlots) }

func (s *sim) log() {
	r := &s.result
	s.t.Logf("value %.3f, %d arrivals, in time %.3f, late %.3f, rejected %.3f (nine tenths within %v), refused by the server %.3f, lost %d, "+
		"used %.3f of the capacity, slots in use %.3f, most at the server %d, fallbacks %d, datagrams a second %.0f",
		r.value(), r.arrivals, r.share(r.inTime), r.share(r.late), r.share(r.rejected), r.rejectedWithin(0.9), r.share(r.refusedByServer), r.lost,
		s.used(), s.busyShare(), r.mostInside, r.fallbacks, float64(r.datagrams)/s.duration.Seconds())
}

// rejectedWithin returns the time in which a share of the rejections came.
func (r *simResult) rejectedWithin(share float64) time.Duration {
	if len(r.rejectedAfter) == 0 {
		return 0
	}
	return r.rejectedAfter[int(share*float64(len(r.rejectedAfter)-1))]
}

// checkUnderload checks the bounds for a load of 0.85.
func (s *sim) checkUnderload() {
	s.t.Helper()
	r := &s.result
	if late := r.share(r.late); late > 0.05 {
		s.t.Errorf("%.3f are late, want at most 0.05", late)
	}
	if rejected := r.share(r.rejected + r.refusedByServer); rejected > 0.02 {
		s.t.Errorf("%.3f are rejected, want at most 0.02", rejected)
	}
}

// checkOverload checks the bounds for a load of 1.75.
func (s *sim) checkOverload() {
	s.t.Helper()
	s.checkUse()
	r := &s.result
	share := 0.9
	if s.disturbed {
		// While no router grants a request is rejected only after the time in which one has to answer.
		share = 0.85
	}
	if within := r.rejectedWithin(share); within > 5*time.Millisecond {
		s.t.Errorf("%.2f of the rejections came within %v, want them at once", share, within)
	}
}

// checkUse checks how much of the capacity is used at a load of 1.75, and for what.
func (s *sim) checkUse() {
	s.t.Helper()
	r := &s.result
	if s.used() < 0.9 {
		s.t.Errorf("%.3f of the capacity is used, want 0.9", s.used())
	}
	if inTime := float64(r.inTime) / float64(r.inTime+r.late); inTime < 0.9 {
		s.t.Errorf("%.3f of what is run is in time, want 0.9", inTime)
	}
}
