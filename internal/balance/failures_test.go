package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// replayFailingServer simulates 30 routers that together send ten requests a second
// to each of 12 servers, one of which fails 40% of them, and returns the number of
// failures.
func replayFailingServer(share bool) (failed int) {
	const routers = 30
	rng := rand.New(rand.NewPCG(3, 5))
	pools := make([]*Pool, routers)
	for i := range pools {
		pools[i] = pool(12)
	}
	for step := range 6 * 120 {
		now := start.Add(time.Duration(step) * time.Second / 120)
		p := pools[rng.IntN(routers)]
		c, _ := p.Pick(now, Job{Random: rng.Uint64()})
		p.Begin(now, c, Job{})
		o := Served
		if c.Server.ID == "i-3" && rng.Float64() < 0.4 {
			o = Failed
			failed++
		}
		p.End(now, c.Server.Key(), o)
		if share && step%30 == 0 {
			shareOutcomes(now, pools)
		}
	}
	return failed
}

// shareOutcomes passes the outcomes of all pools to each pool.
func shareOutcomes(now time.Time, pools []*Pool) {
	type counts struct{ failed, ended int }
	sum := make(map[uint64]counts)
	for _, p := range pools {
		p.Outcomes(now, func(server uint64, failed, ended int) {
			c := sum[server]
			sum[server] = counts{c.failed + failed, c.ended + ended}
		})
	}
	for _, p := range pools {
		outcomes := func(server uint64) (int, int) { return sum[server].failed, sum[server].ended }
		p.EjectFailing(now, outcomes)
		p.AvoidFailing(now, outcomes)
	}
}

// Guards against a failing server that no router detects because each sends it few
// requests: 1,000 requests of a day failed in six seconds.
func TestFailuresOfAllRoutersEject(t *testing.T) {
	alone, shared := replayFailingServer(false), replayFailingServer(true)
	t.Logf("failed: %d when each router uses only its own outcomes, %d when they share them", alone, shared)
	if 2*shared > alone {
		t.Errorf("%d requests failed, want at most half of the %d when each router uses only its own outcomes", shared, alone)
	}
}

// Guards against ejections for a small share of failures, or of so many servers
// that the others can't carry the load.
func TestSharedFailuresRespectEjectionLimits(t *testing.T) {
	p := pool(9)
	if got := p.EjectFailing(start, func(uint64) (int, int) { return 3, 20 }); len(got) != 0 {
		t.Errorf("%d servers are ejected for 3 failures in 20 outcomes, want none", len(got))
	}
	if got := p.EjectFailing(start, func(uint64) (int, int) { return 5, 10 }); len(got) != 0 {
		t.Errorf("%d servers are ejected when all fail, want none", len(got))
	}
	seen := 0
	four := func(uint64) (int, int) {
		if seen++; seen <= 4 {
			return 5, 10
		}
		return 0, 10
	}
	if got := p.EjectFailing(start, four); len(got) != 3 {
		t.Errorf("%d of 9 servers are ejected when four fail, want a third", len(got))
	}
}

// Guards against a server that fails again right after each ejection and causes as
// many failures each time.
func TestEjectionGrowsWhenTheServerFailsAgain(t *testing.T) {
	h := &health{}
	h.eject(start)
	ejectionEnd := start.Add(failureEjection)
	if h.failing(ejectionEnd) {
		t.Fatal("ejected for longer than the first time")
	}
	h.eject(ejectionEnd.Add(time.Second))
	if !h.failing(ejectionEnd.Add(time.Second + 3*failureEjection/2)) {
		t.Error("the second ejection is not longer than the first")
	}
	later := ejectionEnd.Add(time.Minute)
	h.eject(later)
	if h.failing(later.Add(failureEjection)) {
		t.Error("an ejection long after the last one is longer than the first")
	}
}
