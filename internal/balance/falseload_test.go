package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/overload"
)

// falseLoads are loads that an idle server may state.
var falseLoads = map[string]Load{
	"huge":      {Running: 1_000_000, Waiting: 1_000_000, Slots: 8},
	"overflows": {Running: math.MaxInt, Waiting: math.MaxInt, Slots: 8},
	"none":      {Slots: 8},
	"no slots":  {Running: 3},
}

// falseLoadRun sends requests one after another, three at a time, to a pool of three
// servers of which one states a false load in each answer, and returns the requests at each
// server and the number of those that admission control refuses.
func falseLoadRun(load Load, peers bool) (sent [3]int, refused int) {
	p, controller := pool(3), overload.New()
	rng := rand.New(rand.NewPCG(1, 2))
	var running []Choice
	end := func(now time.Time) {
		c := running[0]
		running = running[1:]
		reported := Load{Running: 1, Slots: 8}
		if c.Server.ID == "i-0" {
			reported = load
		}
		p.RecordLoad(now, c.Server.Key(), reported)
		p.End(now, c.Server.Key(), Served)
		controller.RecordAnswer(50*time.Millisecond, 50*time.Millisecond)
	}
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if peers && i%25 == 0 {
			p.SetPeerInFlight(now, func(uint64) int { return 1 }, true, 0)
		}
		if len(running) == 4 {
			end(now)
		}
		d := controller.Decide(now, p.Load(now), overload.Request{Workspace: "w", Route: "r", Objective: 300 * time.Millisecond, Remaining: time.Second})
		if !d.Admitted {
			refused++
			continue
		}
		c, _ := p.Pick(now, Job{Random: rng.Uint64()})
		p.Begin(now, c, Job{})
		running = append(running, c)
		sent[int(c.Server.ID[2]-'0')]++
	}
	return sent, refused
}

// Guards against a pool that refuses requests, or a server that gets none or all of them,
// because one server states a load that it does not have.
func TestFalseLoadOfOneServerDoesLittleHarm(t *testing.T) {
	for name, load := range falseLoads {
		for _, peers := range []bool{true, false} {
			sent, refused := falseLoadRun(load, peers)
			t.Logf("%s, reports of other routers %v: requests at the servers %v, %d refused", name, peers, sent, refused)
			if refused > 0 {
				t.Errorf("%s, reports of other routers %v: %d of 2000 requests are refused", name, peers, refused)
			}
			// A server that claims to be busy is asked again within maxOnlyReportAge, which is
			// 10 times in the 20 s of a run.
			for i, n := range sent {
				if n < 10 || n > 1600 {
					t.Errorf("%s, reports of other routers %v: server %d got %d of 2000 requests", name, peers, i, n)
				}
			}
		}
	}
}
