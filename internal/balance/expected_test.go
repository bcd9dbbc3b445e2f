package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cost"
)

// say records what a server says of its load and of how long work takes there.
func say(p *Pool, now time.Time, m *member, running int, slowdown float64) {
	p.RecordLoad(now, m.server.Key(), Load{Running: running, Slots: m.server.Slots, Slowdown: slowdown})
}

// Guards against pools whose servers say nothing of how long work takes and that are served in another way than before.
func TestPoolsWithoutFiguresArePlacedByCounts(t *testing.T) {
	p := plainPool(8, 8, 8)
	for _, m := range p.members {
		say(p, start, m, 2, 0)
	}
	job := Job{Cost: cost.Prediction{Slot: time.Second}, Run: 1}
	if p.reportsSlowdown(start) {
		t.Fatal("expected times are used without a figure")
	}
	if c := pick(t, p, start, job); c.Expected != 0 || c.Slowdown != 0 {
		t.Errorf("choice %+v has an expected time", c)
	}
	say(p, start, p.members[0], 2, 1.3)
	if !p.reportsSlowdown(start) || p.reportsSlowdown(start.Add(slowdownMemory)) {
		t.Error("expected times are used while there are figures, and not without")
	}
}

// Guards against figures that count when they say nothing any more, or not at all.
func TestFiguresAge(t *testing.T) {
	p := plainPool(8, 8)
	a, b := p.members[0], p.members[1]
	for i := range 100 {
		now := start.Add(time.Duration(i-100) * 10 * time.Millisecond)
		say(p, now, a, 1, 1.3)
		say(p, now, b, 1, 1)
	}
	say(p, start, a, 1, 2.5)
	if got := p.slowdown(start, a); got < 2.4 {
		t.Errorf("%.2f right after 2.5", got)
	}
	if got := p.slowdown(start.Add(slowPhase/2), a); got < 1.7 || got > 2.1 {
		t.Errorf("%.2f when half of a slow phase has passed", got)
	}
	if got := p.slowdown(start.Add(slowPhase), a); got < 1.2 || got > 1.45 {
		t.Errorf("%.2f after a slow phase, want its usual figure", got)
	}
	if x, y := p.slowdown(start.Add(9*time.Second), a), p.slowdown(start.Add(9*time.Second), b); x < y || x > y+0.3 {
		t.Errorf("%.2f and %.2f later, want them to approach the mean", x, y)
	}
}

// Guards against a server that is chosen though it is slow, and against one that is passed over for good.
func TestSlowServerIsPassedOverForAMoment(t *testing.T) {
	p := plainPool(8, 8)
	slow, usual := p.members[0], p.members[1]
	say(p, start, usual, 1, 1)
	say(p, start, slow, 0, 2.5)
	for i := range 20 {
		if c := pick(t, p, start, Job{Random: uint64(i)}); c.Server != usual.server {
			t.Fatalf("%s is chosen, want the one that is not slow", c.Server.ID)
		}
	}
	later := start.Add(slowPhase)
	p.Begin(later, at(usual), Job{})
	say(p, later, usual, 7, 1)
	if c := pick(t, p, later, Job{Random: 1}); c.Server != slow.server {
		t.Errorf("%s is chosen, want the idle one that was slow", c.Server.ID)
	}
}

// Guards against routers that know the same and all choose the same server.
func TestEqualEstimatesAreSpread(t *testing.T) {
	chosen := map[string]int{}
	for i := range 70 {
		p := plainPool(16, 16, 16, 16, 16, 16, 16, 16)
		for _, m := range p.members {
			say(p, start, m, 4, 1)
		}
		c := pick(t, p, start.Add(10*time.Millisecond), Job{Random: uint64(i) * 0x9e3779b97f4a7c15})
		chosen[c.Server.ID]++
	}
	for id, n := range chosen {
		if n > 25 {
			t.Errorf("%d of 70 routers choose %s", n, id)
		}
	}
}

// Guards against the fastest server getting more than the bound of load.
func TestFastServerStaysBelowTheBound(t *testing.T) {
	p := plainPool(128, 128, 128, 128, 128, 128)
	counts := make([]int, 6)
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for n, m := range p.members {
			figure := 3.0
			if n == 0 {
				figure = 1
			}
			say(p, now, m, counts[n], figure)
		}
		mean := p.mean(now)
		c := pick(t, p, now, Job{Random: uint64(i)})
		if c.Load >= p.bound(mean) {
			t.Fatalf("request %d goes to a server with %v requests, the bound is %v", i, c.Load, p.bound(mean))
		}
		p.Begin(now, c, Job{})
		for n, m := range p.members {
			if m.server == c.Server {
				counts[n]++
			}
		}
	}
}

// Guards against a wait that counts requests as equal although some of them are nearly done.
func TestWorkLeftShortensTheWait(t *testing.T) {
	p := plainPool(2, 2)
	long, short := p.members[0], p.members[1]
	say(p, start, long, 0, 1)
	say(p, start, short, 0, 1)
	for i := range 2 {
		p.Begin(start, at(long), Job{Run: uint64(i + 1), Cost: cost.Prediction{Slot: 10 * time.Second}})
		p.Begin(start, at(short), Job{Run: uint64(i + 1), Cost: cost.Prediction{Slot: time.Second}})
	}
	now := start.Add(500 * time.Millisecond)
	job := Job{Cost: cost.Prediction{Slot: time.Second}, Run: 9}
	for i := range 10 {
		job.Random = uint64(i)
		if c := pick(t, p, now, job); c.Server != short.server {
			t.Fatalf("%s is chosen, want the server whose requests end sooner", c.Server.ID)
		}
	}
	p.EndRun(short.server.Key(), 1)
	if left := short.work.left(now); left < 400*time.Millisecond || left > 600*time.Millisecond {
		t.Errorf("%v left of one request of a second that has run for half of it", left)
	}
	if left := short.work.left(start.Add(time.Minute)); left < 100*time.Millisecond {
		t.Errorf("%v left of a request that takes longer than predicted", left)
	}
	p.EndRun(short.server.Key(), 2)
	p.EndRun(short.server.Key(), 2)
	if w := &short.work; w.left(now) != 0 || w.tokens() != 0 || w.ends != 0 || w.slots != 0 {
		t.Errorf("%+v after all requests have ended", short.work)
	}
}
