package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// evacuatedPool returns a pool of n servers in three data centres, of which the first is evacuated.
func evacuatedPool(n int) *Pool {
	p := pool(n)
	p.SetEvacuated(map[string]bool{"hall-0": true})
	return p
}

// Guards against requests, with and without a prefix, new and repeated, to servers of an evacuated data centre, also to servers
// that come later, that alone are not ejected, or that have the prefix.
func TestEvacuatedServersGetNothing(t *testing.T) {
	p := pool(9)
	for i := range 60 {
		p.Begin(start, pick(t, p, start, large(i)), large(i))
	}
	p.SetEvacuated(map[string]bool{"hall-0": true, "unknown": true})
	check := func(when string) {
		t.Helper()
		for i := range 300 {
			job := large(i)
			switch i % 3 {
			case 1:
				job = Job{Random: rand.Uint64(), DataCentre: "hall-0"}
			case 2:
				job.Unreachable = manyUnreachable
			}
			if c, ok := p.Pick(start, job); ok && c.Server.DataCentre == "hall-0" {
				t.Fatalf("%s: a request was sent to %s of the evacuated data centre", when, c.Server.ID)
			}
		}
	}
	check("after the evacuation")
	p.SetServers(servers(18))
	check("after new servers")
	for _, m := range p.members {
		if !m.evacuated {
			m.health.eject(start)
		}
		m.health.heardAt = start
	}
	check("while all others are ejected")
}

// Guards against an evacuated pool that sends requests or keeps them waiting, and against one that is taken for evacuated while a
// server of another data centre stays.
func TestOnlyEvacuatedServersAreLeft(t *testing.T) {
	p := evacuatedPool(9)
	if p.OnlyEvacuated(Job{}) {
		t.Error("a pool with servers in other data centres counts as evacuated")
	}
	p.SetEvacuated(map[string]bool{"hall-0": true, "hall-1": true, "hall-2": true})
	if _, ok := p.Pick(start, Job{}); ok || !p.OnlyEvacuated(Job{}) || p.HasUsable(start, Job{}) {
		t.Error("an evacuated pool takes requests")
	}
	if load := p.Load(start); load.Slots != 0 {
		t.Errorf("an evacuated pool has %d slots", load.Slots)
	}
	if NewPool(limits).OnlyEvacuated(Job{}) {
		t.Error("a pool without servers counts as evacuated")
	}
	list := servers(3)
	list[0].Version = "2"
	list[1].Leaving = true
	p = NewPool(limits)
	p.SetServers(list)
	p.SetEvacuated(map[string]bool{"hall-0": true})
	if p.OnlyEvacuated(Job{}) || !p.OnlyEvacuated(Job{Version: streamversion.VersionOf("2")}) {
		t.Error("the only server of a version is evacuated, which counts for requests of that version only")
	}
	p.SetEvacuated(map[string]bool{"hall-0": true, "hall-2": true})
	if !p.OnlyEvacuated(Job{}) {
		t.Error("a server that leaves counts as one that stays")
	}
}

// Guards against load of an evacuated data centre that raises the bound of the others or hides that they are full.
func TestEvacuatedServersAreNoCapacity(t *testing.T) {
	p := pool(3)
	for range 30 {
		p.Begin(start, at(p.members[0]), Job{})
	}
	p.Begin(start, at(p.members[1]), Job{})
	p.SetEvacuated(map[string]bool{"hall-0": true})
	if mean := p.mean(start); mean != 0.5 {
		t.Errorf("mean load %v, want that of the others, 0.5", mean)
	}
	for range 30 {
		p.End(start, p.members[0].server.Key(), Served)
	}
	// The bound holds for the mean of all servers: with a third of them evacuated and idle, others got more than twice that.
	if mean := p.mean(start); mean != 1.0/3 {
		t.Errorf("mean load %v once the evacuated server is idle, want that of all, 1/3", mean)
	}
	if load := p.Load(start); load.Own != 1 || load.Slots != 128 {
		t.Errorf("load %+v, want one request in 128 slots", load)
	}
}

// Guards against an evacuation after which all its requests go to one server.
func TestLoadOfAnEvacuatedDataCentreIsSpread(t *testing.T) {
	p := pool(18)
	now := start
	for i := range 400 {
		p.Begin(now, pick(t, p, now, large(i)), large(i))
	}
	p.SetEvacuated(map[string]bool{"hall-0": true})
	for i := range 400 {
		p.Begin(now, pick(t, p, now, large(i)), large(i))
	}
	bound := p.bound(p.mean(now)) + 1
	for _, m := range p.members {
		if !m.evacuated && m.load(now) > bound {
			t.Errorf("server %s has %v requests, the mean is %v", m.server.ID, m.load(now), p.mean(now))
		}
	}
}

// Guards against more than a third of the remaining servers that is ejected because those of an evacuated data centre count.
func TestEjectionsCountRemainingServersOnly(t *testing.T) {
	p := evacuatedPool(9)
	p.SetEvacuated(map[string]bool{"hall-0": true, "hall-1": true})
	remaining := 0
	for _, m := range p.members {
		if m.evacuated {
			m.health.eject(start)
			continue
		}
		remaining++
	}
	if remaining != 3 || !p.mayEject(start) {
		t.Fatalf("no server of %d may be ejected", remaining)
	}
	p.members[2].health.eject(start)
	if p.mayEject(start) {
		t.Error("a second one of three servers may be ejected")
	}
	p = evacuatedPool(9)
	p.SetEvacuated(map[string]bool{"hall-0": true, "hall-1": true})
	failing := func(server uint64) (failed, ended int) {
		if m := p.byHash[server]; m.server.ID != "i-2" && !m.evacuated {
			return 5, 5
		}
		return 0, 5
	}
	if ejected := p.EjectFailing(start, failing); len(ejected) != 0 {
		t.Errorf("%d servers ejected although most fail", len(ejected))
	}
	evacuatedFail := func(server uint64) (failed, ended int) {
		if p.byHash[server].server.ID == "i-0" {
			return 5, 5
		}
		return 0, 5
	}
	if ejected := p.EjectFailing(start, evacuatedFail); len(ejected) != 0 {
		t.Errorf("%d servers of an evacuated data centre ejected", len(ejected))
	}
}

// Guards against requests that wait for an evacuated server which names a limit or is brittle, or that are sent to
// limited ones for its sake.
func TestEvacuatedServersKeepNobodyWaiting(t *testing.T) {
	p := pool(3)
	p.members[0].limit.Record(namedlimit.Statement{PerSecond: 5, At: start}, start)
	p.RecordRetryAfter(start, p.members[0].server.Key(), time.Minute)
	p.SetEvacuated(map[string]bool{"hall-0": true})
	if wait := p.WithheldWait(start); wait != 0 {
		t.Errorf("callers wait %v for an evacuated server", wait)
	}
	p = pool(3)
	p.members[1].limit.Record(namedlimit.Statement{PerSecond: 5, At: start}, start)
	p.members[2].limit.Record(namedlimit.Statement{PerSecond: 5, At: start}, start)
	p.SetEvacuated(map[string]bool{"hall-0": true})
	if p.hasUnlimited(start) {
		t.Error("an evacuated server takes the requests of those that name a limit")
	}
	p = pool(1)
	p.RecordBrittle(start, p.members[0].server.Key(), 3)
	p.Begin(start, at(p.members[0]), Job{})
	p.SetEvacuated(map[string]bool{"hall-0": true})
	if p.BrittleFull(start) {
		t.Error("requests wait for a slot of an evacuated server")
	}
}

// Guards against copies from a data centre that may end at any moment while another one has the prefix, and against prompts
// that are read again although a server there has them.
func TestCopiesFromEvacuatedServers(t *testing.T) {
	p := pool(9)
	job := large(1)
	first, second := p.members[0], p.members[1]
	for _, m := range []*member{second, first} {
		p.RecordCached(start, Placement{PrefixHash: job.Prefixes[0].Hash, Server: m.hash, Tokens: 10000})
	}
	p.SetEvacuated(map[string]bool{"hall-0": true})
	if source, _ := p.reuse(start, p.members[2], &job); source != second {
		t.Error("the source of a copy is evacuated although another server has the prefix")
	}
	p.SetEvacuated(map[string]bool{"hall-0": true, "hall-1": true})
	if source, _ := p.reuse(start, p.members[2], &job); source == nil {
		t.Error("a prompt is read again although an evacuated server has it")
	}
}
