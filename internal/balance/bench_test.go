package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cost"
)

// benchmarkPick places requests on 140 servers that say how long work takes. The bound is 20 µs.
func benchmarkPick(b *testing.B, engine, figures bool, job Job) {
	list := servers(140)
	for _, s := range list {
		s.Engine = engine
	}
	p, start := NewPool(limits), time.Now()
	p.SetServers(list)
	if figures {
		p.SetMemory(483_671)
	}
	for i, m := range p.members {
		for n := range 5 {
			p.Begin(start, at(m), Job{Run: uint64(i*5 + n + 1), Cost: cost.Prediction{Slot: time.Second, Memory: 3000}})
		}
		slowdown := 0.0
		if figures {
			slowdown = 1 + float64(i%3)/10
		}
		say(p, start, m, 8, slowdown)
	}
	job.Cost, job.Objective = cost.Prediction{Slot: time.Second, Memory: 12_000}, 800*time.Millisecond
	now := start.Add(10 * time.Millisecond)
	var random uint64
	for b.Loop() {
		random += 0x9e3779b97f4a7c15
		job.Random = random
		p.Pick(now, job)
	}
}

func BenchmarkPickPlain(b *testing.B)           { benchmarkPick(b, false, true, Job{}) }
func BenchmarkPickPlainByCounts(b *testing.B)   { benchmarkPick(b, false, false, Job{}) }
func BenchmarkPickNewHome(b *testing.B)         { benchmarkPick(b, true, true, large(1)) }
func BenchmarkPickNewHomeByCounts(b *testing.B) { benchmarkPick(b, true, false, large(1)) }
