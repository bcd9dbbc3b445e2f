package quarantine

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetCase is a fleet whose engines a part crashes, and that others end by chance.
type fleetCase struct {
	name             string
	routers, engines int
	// sound and bad are the requests a second without and with the part, and subjects the
	// number of parts among the sound ones.
	sound, bad float64
	subjects   int
	// racks is how many racks of three engines go down a second, and loss the share of lost reports.
	racks, loss float64
}

const (
	badPart   = 7
	firstPart = 1
	// blamableTime is how long after the start of its answer a request counts as suspect.
	blamableTime = 500 * time.Millisecond
	// simulated is how long a fleet runs, and downTime how long an engine is away.
	simulated = 90 * time.Second
	downTime  = 5 * time.Second
	// stableTime, crashLimit and lateLimit are those of the platform's rule: requests with the
	// part that reach engines later than stableTime after the fifth crash.
	stableTime = 3 * time.Second
	crashLimit = 5
	lateLimit  = 3
)

// event is something that happens at a time of the simulation.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simulation is a fleet of trackers before engines.
type simulation struct {
	fleetCase
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue
	trackers []*Tracker
	upAt     []time.Duration
	starts   []int
	running  []map[*run]bool

	crashes          []time.Duration
	reached          []time.Duration
	refused, offered int
}

// run is a request at an engine.
type run struct {
	router   int
	parts    []uint64
	answered time.Duration
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }

func (s *simulation) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// repeat calls do with exponentially distributed pauses.
func (s *simulation) repeat(perSecond float64, do func()) {
	if perSecond == 0 {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		do()
		s.repeat(perSecond, do)
	})
}

// send sends a request with the parts by a router.
func (s *simulation) send(parts []uint64) {
	router := s.random.IntN(s.routers)
	bad := parts[len(parts)-1] == badPart
	if !bad {
		s.offered++
	}
	if s.trackers[router].Check(at(s.now), parts, first).Refused {
		if !bad {
			s.refused++
		}
		return
	}
	if engine := s.home(parts[len(parts)-1]); engine >= 0 {
		s.begin(engine, &run{router: router, parts: parts, answered: -1}, bad)
	}
}

// home returns the first engine for a part, in an order of its own, that is up.
func (s *simulation) home(part uint64) int {
	for _, engine := range rand.New(rand.NewPCG(part, 2)).Perm(s.engines) {
		if s.upAt[engine] <= s.now {
			return engine
		}
	}
	return -1
}

func (s *simulation) begin(engine int, r *run, bad bool) {
	if bad {
		s.reached = append(s.reached, s.now)
	}
	s.running[engine][r] = true
	s.after(s.uniform(20*time.Millisecond, 500*time.Millisecond), func() {
		if !s.running[engine][r] {
			return
		}
		r.answered = s.now
		if bad {
			s.crashes = append(s.crashes, s.now)
			s.after(s.uniform(time.Millisecond, 90*time.Millisecond), func() { s.end(engine) })
			return
		}
		s.after(s.uniform(100*time.Millisecond, 2*time.Second), func() { s.served(engine, r) })
	})
}

func (s *simulation) served(engine int, r *run) {
	if !s.running[engine][r] {
		return
	}
	delete(s.running[engine], r)
	if s.trackers[r.router].RecordServed(at(s.now), r.parts) {
		s.tell(r.router)
	}
}

// end ends an engine and breaks off its requests.
func (s *simulation) end(engine int) {
	if s.upAt[engine] > s.now {
		return
	}
	s.upAt[engine] = s.now + downTime
	s.starts[engine]++
	byRouter := map[int][]uint64{}
	for r := range s.running[engine] {
		if r.answered < 0 || s.now-r.answered <= blamableTime {
			byRouter[r.router] = append(byRouter[r.router], r.parts...)
		}
	}
	s.running[engine] = map[*run]bool{}
	for router := range s.routers {
		if parts := byRouter[router]; len(parts) > 0 {
			s.trackers[router].RecordCrash(at(s.now), at(s.now), uint64(1000*s.starts[engine]+engine), parts, nil)
			s.tell(router)
		}
	}
}

// tell sends what a router has to tell to the others, twice.
func (s *simulation) tell(router int) {
	for _, wait := range []time.Duration{10 * time.Millisecond, 260 * time.Millisecond} {
		s.after(wait, func() {
			report := s.trackers[router].Take(at(s.now), false)
			for other := range s.routers {
				if other == router || report.Empty() || s.random.Float64() < s.loss {
					continue
				}
				s.after(s.uniform(time.Millisecond, 100*time.Millisecond), func() { s.trackers[other].Apply(at(s.now), report) })
			}
		})
	}
}

// play runs a fleet and returns what happened.
func play(c fleetCase, seed uint64) *simulation {
	s := &simulation{fleetCase: c, random: rand.New(rand.NewPCG(seed, 1))}
	for range c.routers {
		s.trackers = append(s.trackers, New())
	}
	s.upAt, s.starts = make([]time.Duration, c.engines), make([]int, c.engines)
	for range c.engines {
		s.running = append(s.running, map[*run]bool{})
	}
	zipf := rand.NewZipf(s.random, 1.2, 4, uint64(c.subjects-1))
	s.repeat(c.sound, func() { s.send([]uint64{firstPart, 10_000 + zipf.Uint64()}) })
	s.repeat(c.bad, func() { s.send([]uint64{firstPart, badPart}) })
	s.repeat(c.racks, func() {
		first := s.random.IntN(c.engines)
		for i := range 3 {
			s.after(s.uniform(0, 50*time.Millisecond), func() { s.end((first + i) % c.engines) })
		}
	})
	s.repeat(4, func() {
		for _, t := range s.trackers {
			t.Update(at(s.now))
		}
	})
	for len(s.queue) > 0 && s.now < simulated {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s
}

// late returns how many requests with the part reached engines too late.
func (s *simulation) late() int {
	if len(s.crashes) < crashLimit {
		return 0
	}
	n := 0
	for _, at := range s.reached {
		if at > s.crashes[crashLimit-1]+stableTime {
			n++
		}
	}
	return n
}

// Guards against fleets of any size in which a part goes on to crash engines, or sound parts
// are refused because engines also end by chance.
func TestFleetsKeepOnlyTheCrashingPartFromEngines(t *testing.T) {
	for _, c := range []fleetCase{
		{name: "seven routers", routers: 7, engines: 18, sound: 150, bad: 1.5, subjects: 200},
		{name: "nine routers, few engines", routers: 9, engines: 9, sound: 50, bad: 1, subjects: 100},
		{name: "rare part", routers: 9, engines: 9, sound: 50, bad: 0.2, subjects: 100},
		{name: "frequent part", routers: 7, engines: 18, sound: 150, bad: 15, subjects: 200},
		{name: "sixty routers", routers: 60, engines: 18, sound: 700, bad: 5, subjects: 500},
		{name: "lost reports", routers: 9, engines: 9, sound: 50, bad: 1, subjects: 100, loss: 0.2},
		{name: "racks", routers: 9, engines: 18, sound: 100, bad: 1, subjects: 200, racks: 0.2},
		{name: "racks without a crashing part", routers: 9, engines: 18, sound: 100, subjects: 200, racks: 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var lates, refused, offered, crashes int
			for seed := range uint64(10) {
				s := play(c, seed)
				lates, refused, offered, crashes = lates+s.late(), refused+s.refused, offered+s.offered, crashes+len(s.crashes)
				if s.late() > lateLimit {
					t.Errorf("seed %d: %d requests with the part reached engines late, after %d crashes", seed, s.late(), len(s.crashes))
				}
				if share := float64(s.refused) / float64(s.offered); share > 0.02 {
					t.Errorf("seed %d: %.3f of the sound requests are refused", seed, share)
				}
				for i, tr := range s.trackers {
					if tr.entries[firstPart] != nil {
						t.Errorf("seed %d: router %d refuses the part that all share", seed, i)
					}
				}
			}
			t.Logf("%d late, %d crashes, %d of %d sound requests refused", lates, crashes, refused, offered)
		})
	}
}
