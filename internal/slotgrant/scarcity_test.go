package slotgrant

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against a pool that is scarce now and then, as servers and routers come and go.
func TestScarcityDoesNotFlap(t *testing.T) {
	var s Scarcity
	now := start
	for _, step := range []struct {
		slots, routers int
		after          time.Duration
		want           bool
	}{
		{140, 70, 0, false}, {139, 70, 0, true}, {150, 70, time.Minute, true}, {176, 70, 0, true},
		{176, 70, plentyTime - time.Second, true}, {150, 70, 2 * time.Second, true}, {176, 70, 0, true},
		{176, 70, plentyTime, false}, {150, 70, 0, false}, {100, 70, 0, true}, {0, 70, 0, false},
		{2, 1, 0, false}, {1, 1, 0, true},
	} {
		now = now.Add(step.after)
		if got := s.Update(now, step.slots, step.routers); got != step.want {
			t.Errorf("%+v: scarce %v", step, got)
		}
	}
}

// Guards against 70 routers without grants that flood a server, and against ones that send it nothing.
func TestFallbackIsBounded(t *testing.T) {
	const routers, slots = 70, 6
	sent := 0
	all := make([]Fallback, routers)
	for ms := range 10_000 {
		for i := range all {
			if ms%20 == i%20 && all[i].Take(start.Add(time.Duration(ms)*time.Millisecond), slots, routers, 30*time.Millisecond) {
				sent++
			}
		}
	}
	// 200 a second, and a burst of each.
	if sent < 1500 || sent > 2000+routers*fallbackBurst {
		t.Errorf("%d sent in 10 s, want at most what the slots take", sent)
	}
}

// Guards against a router that was frozen and does not notice, by whichever clock, and against one that takes each delay for a
// freeze.
func TestPauseIsNoticed(t *testing.T) {
	for _, c := range []struct {
		mono, wall time.Duration
		due, want  bool
	}{
		{10 * time.Millisecond, 10 * time.Millisecond, true, false},
		{80 * time.Millisecond, 80 * time.Millisecond, true, false},
		{time.Second, time.Second, true, true},
		{time.Minute, time.Minute, false, false},
		{10 * time.Millisecond, 3 * time.Second, true, true},
		{10 * time.Millisecond, -3 * time.Second, true, false},
	} {
		var d PauseDetector
		d.Look(time.Hour, 1000*time.Hour, true)
		if got := d.Look(time.Hour+c.mono, 1000*time.Hour+c.wall, c.due); got != c.want {
			t.Errorf("%+v: paused %v", c, got)
		}
	}
}

// Guards against a workspace table without bounds.
func TestWorkspacesAreBounded(t *testing.T) {
	var s shares
	for i := range uint32(3 * maxWorkspaces) {
		s.record(start, i, 200, false)
	}
	if len(s.workspaces) > maxWorkspaces {
		t.Errorf("%d workspaces", len(s.workspaces))
	}
}

// BenchmarkQuestion is the cost of a question, its answer and its report at the granting router, with a queue.
func BenchmarkQuestion(b *testing.B) {
	d := NewEndpoint(1, routerA, 0)
	v := View{Candidates: []netip.Addr{routerA}, Servers: []Server{{Hash: 9, Slots: 6, Usable: true}}, LoadsKnown: true}
	now := start
	for i := range 20 {
		d.Receive(now, v, routerB, &Message{Questions: []Question{{Number: uint64(i), Objective: time.Second, Deadline: time.Second}}})
		d.Take()
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(5 * time.Millisecond)
		n := uint64(i + 20)
		d.Receive(now, v, routerB, &Message{Questions: []Question{{Number: n, Objective: time.Second, Deadline: time.Second}}})
		d.Take()
		d.Receive(now, v, routerB, &Message{Reports: []Report{{Number: n - 20, End: Served, Took: 30 * time.Millisecond}}})
		d.Take()
	}
}
