package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// plainPool returns a pool of plain servers with the given slots.
func plainPool(slots ...int) *Pool {
	list := servers(len(slots))
	for i, s := range list {
		s.Engine, s.Slots = false, slots[i]
	}
	p := NewPool(limits)
	p.SetServers(list)
	return p
}

// setOthers sets the requests of other routers, as reported by them at a time.
func setOthers(p *Pool, now time.Time, age time.Duration, n ...int) {
	byHash := map[uint64]int{}
	for i, m := range p.members {
		byHash[m.hash] = n[i]
	}
	p.SetPeerInFlight(now, func(server uint64) int { return byHash[server] }, true, age)
}

// Guards against a load that counts servers without new requests, or a size that is made up,
// on which admission then decides.
func TestLoadIsThatOfUsableServers(t *testing.T) {
	p := plainPool(8, 8, 8, 8)
	for _, m := range p.members {
		p.Begin(start, at(m), Job{})
	}
	setOthers(p, start, 0, 5, 5, 5, 5)
	p.Begin(start, at(p.members[0]), Job{})
	leaving := *p.members[1].server
	leaving.Leaving = true
	p.SetServers([]*registry.Server{p.members[0].server, &leaving, p.members[2].server, p.members[3].server})
	p.members[2].health.end(start, Unreachable, true)
	load := p.Load(start)
	if load.Own != 3 || load.Others != 10 || load.OwnAtReport != 2 || load.Slots != 16 {
		t.Errorf("load %+v, want 3 own, 2 of them at the report, 10 of others and 16 slots", load)
	}
	p.members[3].server.Slots = 0
	if load := p.Load(start); load.Slots != 0 {
		t.Errorf("load %+v of a pool with a server of unknown size, want an unknown size", load)
	}
}

// Guards against callers that wait without a bound at the only server that takes requests, because it is
// ejected and the pool's size then counts as unknown.
func TestLoadIsThatOfEjectedServersWhenNoOtherTakesRequests(t *testing.T) {
	p := plainPool(8, 8)
	p.RecordLimit(p.members[1].server.Key(), namedlimit.Statement{PerSecond: 2, At: start}, start)
	p.SetLimitShare(func(uint64) namedlimit.Share { return namedlimit.Share{Routers: 3} })
	for range 9 {
		p.Begin(start, at(p.members[0]), Job{})
	}
	silent := start.Add(silenceLimit + time.Millisecond)
	if got := pick(t, p, silent, Job{}); got.Server != p.members[0].server {
		t.Fatalf("server %s, want the silent one: the other names a limit", got.Server.ID)
	}
	if load := p.Load(silent); load.Own != 9 || load.Slots != 8 {
		t.Errorf("load %+v, want 9 requests on the 8 slots of the silent server", load)
	}
}

// Guards against a bound that rises when the remaining servers hold most of the load.
func TestFewRemainingServersDoNotRaiseTheMean(t *testing.T) {
	p := pool(4)
	for range 8 {
		p.Begin(start, at(p.members[0]), Job{})
	}
	list := servers(4)
	list[0].Leaving = true
	p.SetServers(list)
	if got := p.mean(start); got != 0 {
		t.Errorf("mean %v of idle servers beside a leaving one, want 0", got)
	}
	list = servers(4)
	for _, s := range list[1:] {
		s.Leaving = true
	}
	p.SetServers(list)
	if got := p.mean(start); got != 2 {
		t.Errorf("mean %v of eight requests at four servers, want 2", got)
	}
}

// Guards against a server that gets more than its size, a distant one that is chosen before
// a free one nearby, and a nearby one that is chosen however loaded it is.
func TestLeastLoadedForItsSizeIsChosen(t *testing.T) {
	p := plainPool(4, 16, 4)
	counts := map[string]int{}
	for i := range 24 {
		c := pick(t, p, start, Job{Random: uint64(i)})
		p.Begin(start, c, Job{})
		counts[c.Server.ID]++
	}
	if counts["i-0"] != 4 || counts["i-1"] != 16 || counts["i-2"] != 4 {
		t.Errorf("requests %v at servers of 4, 16 and 4 slots", counts)
	}
	p = plainPool(4, 4, 4)
	for i := range 6 {
		if c := pick(t, p, start, Job{Random: uint64(i), DataCentre: "hall-1"}); c.Server.ID != "i-1" {
			t.Errorf("server %s, want the one of the data centre", c.Server.ID)
		}
	}
	p.Begin(start, at(p.members[1]), Job{})
	if c := pick(t, p, start, Job{DataCentre: "hall-1"}); c.Server.ID == "i-1" {
		t.Error("a loaded server of the data centre was chosen before free ones")
	}
	seen := map[string]bool{}
	for i := range 30 {
		seen[pick(t, plainPool(4, 4, 4), start, Job{Random: uint64(i)}).Server.ID] = true
	}
	if len(seen) != 3 {
		t.Errorf("servers %v get the requests of many idle routers, want all three", seen)
	}
}

// Guards against a bound that old reports leave as it is, or lower so far that requests
// lose their prefixes.
func TestBoundFollowsTheAgeOfReports(t *testing.T) {
	p := pool(3)
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 1.9*10 + 3}, {time.Second, 1.75*10 + 3}, {time.Hour, 1.25*10 + 3}} {
		setOthers(p, start, c.age, 0, 0, 0)
		if got := p.bound(10); got < c.want-0.001 || got > c.want+0.001 {
			t.Errorf("bound %v with reports of %v, want %v", got, c.age, c.want)
		}
	}
}

// Guards against a load that is taken from an older or coarser report than there is, and
// against own requests that count twice.
func TestLatestReportOfAServerCounts(t *testing.T) {
	p := plainPool(8, 8)
	key := p.members[0].server.Key()
	others := func(after time.Duration) int { return p.Status(start.Add(after))[0].Others }
	p.Begin(start, at(p.members[0]), Job{})
	p.RecordLoad(start, key, Load{Running: 4, Waiting: 2, Slots: 8})
	for after, want := range map[time.Duration]int{0: 5, maxOnlyReportAge - 1: 5, maxOnlyReportAge: 0} {
		if got := others(after); got != want {
			t.Errorf("%d requests of others %v after the server's report, want %d", got, after, want)
		}
	}
	setOthers(p, start, 0, 9, 9)
	for after, want := range map[time.Duration]int{0: 5, maxServerReportAge - 1: 5, maxServerReportAge: 9} {
		if got := others(after); got != want {
			t.Errorf("%d requests of others %v after the server's report, want %d", got, after, want)
		}
	}
	p.RecordLoad(start, key, Load{})
	if got := others(0); got != 0 {
		t.Errorf("%d requests of others after a report of none, want 0", got)
	}
	p.RecordLoad(start, key, Load{Running: 1 << 40, Waiting: 1 << 40, Slots: 8})
	if got := others(0); got != 4*8-1 {
		t.Errorf("%d requests of others after a false report, want four for each slot, less the own one", got)
	}
	for range 3 {
		p.End(start, key, Served)
	}
	if own := p.Status(start)[0].Own; own != 0 {
		t.Errorf("%d own requests after all have ended, want 0", own)
	}
}

// Guards against engines whose load is ignored, because the reports of other routers are too
// old to balance plain servers.
func TestOldReportsStillCountForEngines(t *testing.T) {
	for _, engine := range []bool{true, false} {
		p := plainPool(8, 8)
		for _, m := range p.members {
			m.server.Engine = engine
		}
		setOthers(p, start, maxPeerReportAge+1, 5, 0)
		seen := map[string]bool{}
		for i := range 8 {
			seen[pick(t, p, start, Job{Random: uint64(i)}).Server.ID] = true
		}
		if seen["i-0"] == engine {
			t.Errorf("engine %v: the loaded server is chosen: %v", engine, seen["i-0"])
		}
	}
}
