package balance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cost"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// plainReplay is a load of requests on plain servers of different speeds that are slow at times. Several routers send
// them; they learn of each other's requests by reports, and of the servers from the answers.
type plainReplay struct {
	routers, servers, slots int
	work                    time.Duration
	objective               time.Duration
	// perSecond is the number of requests of all routers.
	perSecond float64
	// figures is set when servers say in answers how long work takes there.
	figures bool
	// peers is set when the routers report their requests to each other.
	peers bool
	// slow is set when servers take 2.5 times as long for 0.6 s at a time, 15 in 100 of the time.
	slow bool
}

// plainServer is a server of a replay. Requests beyond its slots wait in order.
type plainServer struct {
	speed   float64
	slowTo  time.Time
	busy    int
	waiting []func(now time.Time)
}

func (s *plainServer) figure(now time.Time) float64 {
	if now.Before(s.slowTo) {
		return 2.5 * s.speed
	}
	return s.speed
}

type plainResult struct {
	requests, late int
	mean           time.Duration
	// most is the largest number of requests at one server.
	most int
}

// run plays 10 s.
func (r *plainReplay) run(seed uint64) plainResult {
	random := rand.New(rand.NewPCG(seed, 8))
	queue := &eventQueue{}
	at := func(t time.Time, do func(time.Time)) { heap.Push(queue, event{t, do}) }
	end := start.Add(10 * time.Second)
	pools := make([]*Pool, r.routers)
	slots := make([]int, r.servers)
	for i := range slots {
		slots[i] = r.slots
	}
	for i := range pools {
		pools[i] = plainPool(slots...)
	}
	byKey := map[registry.Key]*plainServer{}
	list := make([]*plainServer, r.servers)
	for i, m := range pools[0].members {
		list[i] = &plainServer{speed: 1 + 0.3*float64(i)/float64(r.servers)}
		byKey[m.server.Key()] = list[i]
	}
	if r.slow {
		for now := start; now.Before(end); now = now.Add(100 * time.Millisecond) {
			at(now, func(now time.Time) {
				for _, s := range list {
					if !now.Before(s.slowTo) && random.Float64() < 0.15/0.85/6 {
						s.slowTo = now.Add(slowPhase)
					}
				}
			})
		}
	}
	if r.peers {
		for now := start; now.Before(end); now = now.Add(250 * time.Millisecond) {
			at(now, func(now time.Time) {
				for i, p := range pools {
					others := map[uint64]int{}
					for j, q := range pools {
						if i != j {
							for _, m := range q.members {
								others[m.hash] += m.own
							}
						}
					}
					at(now.Add(20*time.Millisecond), func(now time.Time) {
						p.SetPeerInFlight(now, func(h uint64) int { return others[h] }, true, 125*time.Millisecond)
					})
				}
			})
		}
	}
	var result plainResult
	var took time.Duration
	var run uint64
	process := func(now time.Time, s *plainServer, done func(now time.Time)) {
		s.busy++
		d := time.Duration((0.5 + 0.5*random.ExpFloat64()) * s.figure(now) * float64(r.work))
		at(now.Add(d), func(now time.Time) {
			s.busy--
			done(now)
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next(now)
			}
		})
	}
	send := func(sent time.Time) {
		p := pools[random.IntN(len(pools))]
		run++
		job := Job{Random: random.Uint64(), Cost: cost.Prediction{Slot: r.work}, Run: run, Objective: r.objective, DataCentre: "hall-0"}
		c, ok := p.Pick(sent, job)
		if !ok {
			panic("no server")
		}
		p.Begin(sent, c, job)
		key := c.Server.Key()
		s := byKey[key]
		done := func(now time.Time) {
			p.EndRun(key, job.Run)
			p.RecordProgress(now, key)
			load := Load{Running: s.busy + 1, Waiting: len(s.waiting), Slots: r.slots}
			if r.figures {
				load.Slowdown = s.figure(now)
			}
			p.RecordLoad(now, key, load)
			p.End(now, key, Served)
			result.requests++
			took += now.Sub(sent)
			if now.Sub(sent) > r.objective {
				result.late++
			}
		}
		result.most = max(result.most, s.busy+len(s.waiting)+1)
		if s.busy < r.slots {
			process(sent, s, done)
			return
		}
		s.waiting = append(s.waiting, func(now time.Time) { process(now, s, done) })
	}
	for now := start; now.Before(end); now = now.Add(time.Duration(random.ExpFloat64() / r.perSecond * float64(time.Second))) {
		at(now, send)
	}
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		e.do(e.at)
	}
	result.mean = took / time.Duration(max(result.requests, 1))
	return result
}

func (r *plainReplay) compare(t *testing.T) (without, with plainResult) {
	t.Helper()
	for _, seed := range []uint64{7, 8, 9} {
		r.figures = false
		a := r.run(seed)
		r.figures = true
		b := r.run(seed)
		t.Logf("seed %d without figures: %+v; with: %+v", seed, a, b)
		without.late += a.late
		with.late += b.late
		without.mean += a.mean / 3
		with.mean += b.mean / 3
		without.most = max(without.most, a.most)
		with.most = max(with.most, b.most)
	}
	return without, with
}

// Guards against requests that wait at servers which are slow for a moment, as they say themselves, while others
// have room. With many routers each of them sees little of a server's load.
func TestFiguresOfServersShortenWaits(t *testing.T) {
	for name, c := range map[string]struct {
		replay plainReplay
		// share is the largest share of the late requests without figures.
		share float64
	}{
		"8 routers, 12 servers":   {plainReplay{routers: 8, servers: 12, perSecond: 2500}, 0.6},
		"70 routers, 12 servers":  {plainReplay{routers: 70, servers: 12, perSecond: 3000}, 0.5},
		"70 routers, 40 servers":  {plainReplay{routers: 70, servers: 40, perSecond: 3000}, 0.6},
		"8 routers, all are full": {plainReplay{routers: 8, servers: 12, perSecond: 4500}, 1.1},
	} {
		t.Run(name, func(t *testing.T) {
			r := c.replay
			r.slots, r.peers, r.slow, r.work, r.objective = 16, true, true, 30*time.Millisecond, 100*time.Millisecond
			without, with := r.compare(t)
			if float64(with.late) > c.share*float64(without.late) {
				t.Errorf("%d requests late, want at most %.1f of the %d by counts", with.late, c.share, without.late)
			}
		})
	}
}

// Guards against figures that make placement worse where servers differ little.
func TestFiguresOfSteadyServersDoNoHarm(t *testing.T) {
	r := plainReplay{routers: 8, servers: 12, slots: 16, peers: true, work: 30 * time.Millisecond, objective: 100 * time.Millisecond, perSecond: 4500}
	without, with := r.compare(t)
	if float64(with.mean) > 1.03*float64(without.mean) || float64(with.late) > 1.1*float64(without.late) {
		t.Errorf("%v on average and %d late, want at most 1.03 of %v and 1.1 of %d by counts", with.mean, with.late, without.mean, without.late)
	}
}
