package overload_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/overload"
)

// sim simulates a load on servers with slots and a queue, like plain servers:
// requests that exceed both are refused at once. Several routers send to them;
// each has the number of its own requests and, from the last report, of the others'.
type sim struct {
	rng     *rand.Rand
	routers []*router
	servers []*server
	events  events
	now     time.Duration
	counts  map[string]*requestCounts
	// queue is the number of requests that wait at a server at most.
	queue int
}

// router is one of the routers; controller is nil where only the servers' own
// queues limit the load.
type router struct {
	controller *overload.Controller
	load       overload.Load
}

const (
	simSlots     = 6
	simQueue     = 24
	simWork      = 60 * time.Millisecond
	simObjective = 300 * time.Millisecond
	simDeadline  = 4 * time.Second
	// simRouters is the number of routers, simReport the interval of the reports
	// between them.
	simRouters = 7
	simReport  = 250 * time.Millisecond
	// simRetries is the number of retries after a refusal, the same as in the
	// users' clients.
	simRetries = 1
	// uncontrolledRetry is the wait that a router without a controller asks of
	// refused callers.
	uncontrolledRetry = 190 * time.Millisecond
)

// requestCounts counts how the requests of a group ended.
type requestCounts struct{ sent, inTime, late, refused, refusals int }

func (c *requestCounts) inTimeShare() float64 { return float64(c.inTime) / float64(max(c.sent, 1)) }

type server struct {
	down    bool
	busy    int
	waiting []*request
}

func (s *server) load() int { return s.busy + len(s.waiting) }

// request is one request of a caller, with all its attempts.
type request struct {
	group     string
	workspace string
	priority  int
	route     string
	// objective and work are the target time and the mean time in a slot.
	objective time.Duration
	work      time.Duration
	firstSent time.Duration
	retries   int
	// router and sentAt are the router and the time of the last attempt.
	router *router
	sentAt time.Duration
}

// simEvent is an action at a time of the simulation.
type simEvent struct {
	at time.Duration
	do func()
}

type events []simEvent

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSim returns a simulation. If controlled is false, only the servers' own
// queues limit the load.
func newSim(servers int, controlled bool) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(7, 11)), counts: make(map[string]*requestCounts), queue: simQueue}
	for range simRouters {
		r := &router{}
		if controlled {
			r.controller = overload.New()
		}
		s.routers = append(s.routers, r)
	}
	for range servers {
		s.servers = append(s.servers, &server{})
	}
	s.report()
	return s
}

func (s *sim) scheduleAfter(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{s.now + d, do})
}

// report sends each router the number of the others' requests in flight.
func (s *sim) report() {
	total, slots := 0, 0
	for _, r := range s.routers {
		total += r.load.Own
	}
	for _, v := range s.servers {
		if !v.down {
			slots += simSlots
		}
	}
	for _, r := range s.routers {
		r.load.Slots = slots
		r.load.Others = float64(total - r.load.Own)
		r.load.OwnAtReport = r.load.Own
	}
	s.scheduleAfter(simReport, s.report)
}

// send adds requests at an average rate between two times.
func (s *sim) send(from, to time.Duration, perSecond float64, group, workspace string, priority int) {
	s.sendLike(from, to, perSecond, request{group: group, workspace: workspace, priority: priority, route: "r", objective: simObjective, work: simWork})
}

// sendLike adds requests like a given one.
func (s *sim) sendLike(from, to time.Duration, perSecond float64, like request) {
	group := like.group
	if s.counts[group] == nil {
		s.counts[group] = &requestCounts{}
	}
	for at := from; at < to; at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		copied := like
		r := &copied
		heap.Push(&s.events, simEvent{at, func() {
			r.firstSent = s.now
			s.counts[r.group].sent++
			s.arrive(r)
		}})
	}
}

// outage makes a server unavailable between two times.
func (s *sim) outage(index int, from, to time.Duration) {
	heap.Push(&s.events, simEvent{from, func() { s.servers[index].down = true }})
	heap.Push(&s.events, simEvent{to, func() { s.servers[index].down = false }})
}

// run processes the events before a time.
func (s *sim) run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at < end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *sim) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *sim) arrive(r *request) {
	r.sentAt = s.now
	r.router = s.routers[s.rng.IntN(len(s.routers))]
	remaining := simDeadline - (s.now - r.firstSent)
	if r.router.controller != nil {
		d := r.router.controller.Decide(s.clock(), r.router.load, overload.Request{
			Workspace: r.workspace, Priority: r.priority, Objective: r.objective, Remaining: remaining, Route: r.route, CallerTimeout: remaining,
		})
		if !d.Admitted {
			s.refuse(r, d.RetryAfter)
			return
		}
	}
	v := s.leastLoaded()
	if v == nil || v.load() >= simSlots+s.queue {
		s.refuse(r, uncontrolledRetry)
		return
	}
	r.router.load.Own++
	if v.busy < simSlots {
		s.process(v, r)
		return
	}
	v.waiting = append(v.waiting, r)
}

func (s *sim) leastLoaded() *server {
	var best *server
	for _, v := range s.servers {
		if !v.down && (best == nil || v.load() < best.load()) {
			best = v
		}
	}
	return best
}

func (s *sim) process(v *server, r *request) {
	v.busy++
	s.scheduleAfter(time.Duration((0.5+0.5*s.rng.ExpFloat64())*float64(r.work)), func() {
		v.busy--
		s.finish(r)
		if len(v.waiting) > 0 {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			s.process(v, next)
		}
	})
}

func (s *sim) finish(r *request) {
	total := s.now - r.sentAt
	if r.router.controller != nil {
		r.router.controller.RecordRouteAnswer(r.route, total, total)
	}
	r.router.load.Own--
	if s.now-r.firstSent <= r.objective {
		s.counts[r.group].inTime++
	} else {
		s.counts[r.group].late++
	}
}

// refuse makes the caller retry after a wait, or counts the request as refused
// when no retries remain.
func (s *sim) refuse(r *request, wait time.Duration) {
	s.counts[r.group].refusals++
	if r.retries++; r.retries > simRetries {
		s.counts[r.group].refused++
		return
	}
	s.scheduleAfter(wait+time.Duration(0.5*s.rng.Float64()*float64(wait)), func() { s.arrive(r) })
}

// compare simulates a load without and with a controller.
func compare(t *testing.T, servers int, load func(s *sim)) (uncontrolled, controlled map[string]*requestCounts) {
	t.Helper()
	var results []map[string]*requestCounts
	for _, withController := range []bool{false, true} {
		s := newSim(servers, withController)
		load(s)
		s.run(30 * time.Second)
		for group, c := range s.counts {
			t.Logf("controller %v, %s: sent %d, in time %d, late %d, refused %d (%d refusals)", withController, group, c.sent, c.inTime, c.late, c.refused, c.refusals)
		}
		results = append(results, s.counts)
	}
	return results[0], results[1]
}

// Guards against server queues that are so long that every answer is late: for
// ten seconds, requests arrive at one and a half times the rate that three
// servers can process.
func TestBurstBeyondCapacityServesInTime(t *testing.T) {
	uncontrolled, controlled := compare(t, 3, func(s *sim) {
		s.send(0, 4*time.Second, 150, "calm", "a", 2)
		s.send(4*time.Second, 14*time.Second, 450, "burst", "a", 2)
	})
	if got := controlled["calm"]; got.refused > 0 || got.inTimeShare() < 0.97 {
		t.Errorf("before the burst: %d refused, want none; %.2f in time, want at least 0.97", got.refused, got.inTimeShare())
	}
	u, c := uncontrolled["burst"], controlled["burst"]
	if c.inTime < u.inTime+u.sent/10 {
		t.Errorf("%d of the burst in time, want a tenth of %d more than the %d without a controller", c.inTime, u.sent, u.inTime)
	}
	if 10*c.late > c.sent {
		t.Errorf("%d of %d requests of the burst are late, want at most a tenth", c.late, c.sent)
	}
	if served, before := c.inTime+c.late, u.inTime+u.late; float64(served) < 0.95*float64(before) {
		t.Errorf("%d served, want at least 0.95 of the %d without a controller", served, before)
	}
}

// Guards against urgent requests that are refused or late because the pool
// receives more less urgent requests than it can serve, and against a pool that
// then serves only the urgent ones.
func TestUrgentRequestsGoFirst(t *testing.T) {
	uncontrolled, controlled := compare(t, 3, func(s *sim) {
		s.send(0, 14*time.Second, 60, "urgent", "a", 0)
		s.send(0, 4*time.Second, 90, "other", "a", 2)
		s.send(4*time.Second, 14*time.Second, 390, "other", "a", 2)
	})
	if got := controlled["urgent"]; got.inTimeShare() < 0.9 || got.inTime <= uncontrolled["urgent"].inTime {
		t.Errorf("%.2f of the urgent requests in time, want at least 0.9 and more than the %.2f without a controller", got.inTimeShare(), uncontrolled["urgent"].inTimeShare())
	}
	if got := controlled["other"]; 4*got.inTime < got.sent {
		t.Errorf("%d of %d less urgent requests in time, want at least a quarter", got.inTime, got.sent)
	}
}

// Guards against one workspace whose surge makes the requests of all others
// late or refused, and against one that is refused almost entirely in its surge.
func TestSurgeAffectsOnlyItsWorkspace(t *testing.T) {
	uncontrolled, controlled := compare(t, 3, func(s *sim) {
		for _, w := range []string{"a", "b", "c", "d"} {
			s.send(0, 16*time.Second, 30, "others", w, 2)
		}
		s.send(0, 6*time.Second, 30, "surging", "e", 2)
		s.send(6*time.Second, 14*time.Second, 400, "surging", "e", 2)
	})
	if got := controlled["others"]; got.inTimeShare() < 0.95 || got.inTime <= uncontrolled["others"].inTime {
		t.Errorf("%.2f of the other workspaces' requests in time, want at least 0.95 and more than the %.2f without a controller",
			got.inTimeShare(), uncontrolled["others"].inTimeShare())
	}
	if got := controlled["surging"]; 4*got.inTime < got.sent {
		t.Errorf("%d of %d requests of the surging workspace in time, want at least a quarter", got.inTime, got.sent)
	}
}

// Guards against a queue that stays too long after the loss of servers: two of
// three are unavailable for six seconds.
func TestLostServersShortenTheQueue(t *testing.T) {
	uncontrolled, controlled := compare(t, 3, func(s *sim) {
		s.send(0, 14*time.Second, 150, "all", "a", 2)
		s.outage(0, 4*time.Second, 10*time.Second)
		s.outage(1, 4*time.Second, 10*time.Second)
	})
	if c, u := controlled["all"], uncontrolled["all"]; c.inTime < u.inTime+u.sent/20 {
		t.Errorf("%d in time, want a twentieth of %d more than the %d without a controller", c.inTime, u.sent, u.inTime)
	}
}

// Guards against a priority that is refused permanently because the servers need
// longer than its objective even without a wait.
func TestSlowServersAdmitEveryPriority(t *testing.T) {
	c := overload.New()
	now := time.Unix(1000, 0)
	req := overload.Request{Workspace: "a", Priority: 3, Objective: 200 * time.Millisecond, Remaining: time.Second}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		c.Decide(now, overload.Load{Own: 1, Slots: 6}, req)
		c.RecordAnswer(time.Second, time.Second)
	}
	if d := c.Decide(now, overload.Load{Own: 6, OwnAtReport: 6, Slots: 6}, req); !d.Admitted {
		t.Errorf("refused although every earlier request has a slot: %+v", d)
	}
	if d := c.Decide(now, overload.Load{Own: 60, OwnAtReport: 60, Slots: 6}, req); d.Admitted {
		t.Errorf("admitted behind nine waiting requests per slot: %+v", d)
	}
}

// Guards against refusals by routers with about one request in flight, as in a
// large fleet: their load estimate is the outdated report, and they refuse
// requests that the servers could still have served late. With 60 routers, this
// refused 620 more requests in a day.
func TestRouterWithFewRequestsAdmitsAll(t *testing.T) {
	c := overload.New()
	now := time.Unix(1000, 0)
	req := overload.Request{Workspace: "a", Objective: 300 * time.Millisecond, Remaining: time.Second}
	c.Decide(now, overload.Load{Own: 1, Slots: 30}, req)
	c.RecordAnswer(60*time.Millisecond, 60*time.Millisecond)
	if d := c.Decide(now, overload.Load{Own: 1, OwnAtReport: 1, Others: 170, Slots: 30}, req); !d.Admitted {
		t.Errorf("refused by a router with one request in flight: %+v", d)
	}
	if d := c.Decide(now, overload.Load{Own: 20, OwnAtReport: 20, Others: 150, Slots: 30}, req); d.Admitted {
		t.Errorf("admitted by a router with many requests in flight: %+v", d)
	}
}
