package balance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cost"
)

// memoryReplay is a load of requests on engines with little memory, of which a quarter are eight times as large as the
// others. An engine without memory for a request preempts one and reads its prompt again.
type memoryReplay struct {
	memory int
	// predicted is set when the routers know the memory of the engines.
	predicted bool
	routers   int
	seed      uint64
}

const memoryEngines = 8

// run plays 30 s and returns the number of preempted requests.
func (r *memoryReplay) run() (requests, preempted int) {
	random := rand.New(rand.NewPCG(r.seed, 3))
	queue := &eventQueue{}
	at := func(t time.Time, do func(time.Time)) { heap.Push(queue, event{t, do}) }
	pools := make([]*Pool, r.routers)
	for i := range pools {
		pools[i] = pool(memoryEngines)
		if r.predicted {
			pools[i].SetMemory(r.memory)
		}
	}
	used := make(map[string]int)
	end := start.Add(30 * time.Second)
	for now := start; now.Before(end); now = now.Add(250 * time.Millisecond) {
		at(now, func(now time.Time) {
			for i, p := range pools {
				others := map[uint64]int{}
				for j, q := range pools {
					for _, m := range q.members {
						if i != j {
							others[m.hash] += m.own
						}
					}
				}
				p.SetPeerInFlight(now, func(h uint64) int { return others[h] }, true, 125*time.Millisecond)
			}
		})
	}
	for now := start; now.Before(end); now = now.Add(time.Duration(random.ExpFloat64() / 24 * float64(time.Second))) {
		at(now, func(now time.Time) {
			requests++
			p := pools[random.IntN(r.routers)]
			size := 3000
			if random.IntN(4) == 0 {
				size = 24000
			}
			predicted := float64(size) * (0.7 + 0.6*random.Float64())
			job := Job{Random: random.Uint64(), Run: uint64(requests), Cost: cost.Prediction{Memory: predicted, Slot: 3 * time.Second}}
			c, _ := p.Pick(now, job)
			p.Begin(now, c, job)
			id, key := c.Server.ID, c.Server.Key()
			if used[id]+size > r.memory {
				preempted++
			}
			used[id] += size
			at(now.Add(3*time.Second), func(now time.Time) {
				used[id] -= size
				p.RecordProgress(now, key)
				p.EndRun(key, job.Run)
				p.End(now, key, Served)
			})
			for progress := 500 * time.Millisecond; progress < 3*time.Second; progress += 500 * time.Millisecond {
				at(now.Add(progress), func(now time.Time) { p.RecordProgress(now, key) })
			}
		})
	}
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		e.do(e.at)
	}
	return requests, preempted
}

// Guards against engines that run out of memory, preempt requests and read their prompts again while others have room. A
// router knows the sizes of its own requests only, so the more routers there are, the less it avoids.
func TestPredictedMemoryAvoidsPreemption(t *testing.T) {
	for _, c := range []struct {
		routers int
		share   float64
	}{{1, 0.4}, {2, 0.85}, {4, 1}} {
		requests, without, with := 0, 0, 0
		for seed := range uint64(6) {
			r := memoryReplay{memory: 100_000, routers: c.routers, seed: seed}
			n, preempted := r.run()
			requests += n
			without += preempted
			r.predicted = true
			_, preempted = r.run()
			with += preempted
		}
		t.Logf("%d routers: of %d requests %d preempt another one by counts and %d with predicted memory", c.routers, requests, without, with)
		if float64(with) > c.share*float64(without) {
			t.Errorf("%d routers: %d requests preempt another one, want at most %.2f of the %d by counts", c.routers, with, c.share, without)
		}
	}
}
