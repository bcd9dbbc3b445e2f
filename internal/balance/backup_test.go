package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

var backupStart = time.Unix(1_000_000, 0)

// backupPool has a primary and two candidates for the copy of its run, of which the test changes the first.
func backupPool(change func(*registry.Server)) (*Pool, []*registry.Server) {
	p := NewPool(Limits{CapFactor: 2, CapExtra: 3})
	var list []*registry.Server
	for _, id := range []string{"primary", "a", "b"} {
		list = append(list, &registry.Server{ID: id, Slots: 4, Version: "v1", DataCentre: "x", Engine: true})
	}
	if change != nil {
		change(list[1])
	}
	p.SetServers(list)
	return p, list
}

func anyFits(Backup, uint64) bool { return true }

// Guards against a copy at an engine that cannot continue the run, has no room or should be left alone, and against one
// that costs more than at another engine.
func TestBackupGoesToAnEngineWithRoom(t *testing.T) {
	now := backupStart
	load := func(n int) func(p *Pool, m *member) {
		return func(p *Pool, m *member) {
			for range n {
				p.Begin(now, Choice{Server: m.server}, Job{})
			}
		}
	}
	key := func(m *member) registry.Key { return m.server.Key() }
	for _, c := range []struct {
		name   string
		change func(*registry.Server)
		// spoil changes what is known of the first candidate, a; without it both would do and a comes first.
		spoil func(p *Pool, m *member)
		job   Job
		want  string
	}{
		{name: "equal", want: "a"},
		{name: "other version", change: func(s *registry.Server) { s.Version = "v2" }, want: "b"},
		{name: "other data centre", change: func(s *registry.Server) { s.DataCentre = "y" }, want: "b"},
		{name: "leaving", change: func(s *registry.Server) { s.Leaving = true }, want: "b"},
		{name: "plain server", change: func(s *registry.Server) { s.Engine = false }, want: "b"},
		{name: "tried before", job: Job{Exclude: []registry.Key{{ID: "a"}}}, want: "b"},
		{name: "more load", spoil: load(1), want: "b"},
		{name: "ejected", spoil: func(p *Pool, m *member) { m.health.eject(now) }, want: "b"},
		{name: "unreachable", spoil: func(p *Pool, m *member) {
			p.Begin(now, Choice{Server: m.server}, Job{})
			p.End(now, key(m), Unreachable)
		}, want: "b"},
		{name: "wants no requests", spoil: func(p *Pool, m *member) { p.RecordRetryAfter(now, key(m), time.Second) }, want: "b"},
		{name: "limited", spoil: func(p *Pool, m *member) {
			p.SetLimitShare(func(uint64) namedlimit.Share { return namedlimit.Share{Sender: true, Routers: 1} })
			p.RecordLimit(key(m), namedlimit.Statement{PerSecond: 100, At: now.Add(-time.Second)}, now.Add(-time.Second))
			// Its share is filled from the first question on.
			p.HasUsable(now.Add(-time.Second), Job{})
		}, want: "b"},
		{name: "brittle", spoil: func(p *Pool, m *member) { p.RecordBrittle(now, key(m), 5) }, want: "b"},
		{name: "has the prompt", job: Job{Prefixes: []Prefix{{Hash: 7, Tokens: 1000}}}, spoil: func(p *Pool, m *member) {
			load(1)(p, m)
			p.RecordCached(now, Placement{PrefixHash: 7, Server: m.hash, Tokens: 1000})
		}, want: "a"},
		{name: "has the prompt, in another data centre", change: func(s *registry.Server) { s.DataCentre = "y" },
			job: Job{Prefixes: []Prefix{{Hash: 7, Tokens: 1000}}}, spoil: func(p *Pool, m *member) {
				p.RecordCached(now, Placement{PrefixHash: 7, Server: m.hash, Tokens: 1000})
			}, want: "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, list := backupPool(c.change)
			if c.spoil != nil {
				c.spoil(p, p.byKey[list[1].Key()])
			}
			got, ok := p.PickBackup(now, c.job, list[0].Key(), anyFits)
			if !ok || got.Server.ID != c.want {
				t.Errorf("backup at %+v, found %v; want %s", got.Server, ok, c.want)
			}
		})
	}
}

// Guards against a copy at an engine without a free slot, or beyond the bound of load, or for which there is no room by
// the caller's count.
func TestNoBackupWithoutRoom(t *testing.T) {
	for name, spoil := range map[string]func(p *Pool, list []*registry.Server) func(Backup, uint64) bool{
		"no free slot": func(p *Pool, list []*registry.Server) func(Backup, uint64) bool {
			for _, s := range list[1:] {
				for range 4 {
					p.Begin(backupStart, Choice{Server: s}, Job{})
				}
			}
			return anyFits
		},
		"beyond the bound": func(p *Pool, list []*registry.Server) func(Backup, uint64) bool {
			p.SetLimits(Limits{CapFactor: 1.25, CapExtra: 0})
			for _, s := range list[1:] {
				p.Begin(backupStart, Choice{Server: s}, Job{})
				p.Begin(backupStart, Choice{Server: s}, Job{})
			}
			return anyFits
		},
		"evacuated": func(p *Pool, _ []*registry.Server) func(Backup, uint64) bool {
			p.SetEvacuated(map[string]bool{"x": true})
			return anyFits
		},
		"all ejected": func(p *Pool, list []*registry.Server) func(Backup, uint64) bool {
			for _, m := range p.members {
				m.health.eject(backupStart)
			}
			return anyFits
		},
		"does not fit": func(*Pool, []*registry.Server) func(Backup, uint64) bool {
			return func(Backup, uint64) bool { return false }
		},
		"primary unknown": func(p *Pool, list []*registry.Server) func(Backup, uint64) bool {
			p.SetServers(list[1:])
			return anyFits
		},
	} {
		p, list := backupPool(nil)
		fits := spoil(p, list)
		if got, ok := p.PickBackup(backupStart, Job{}, list[0].Key(), fits); ok {
			t.Errorf("%s: backup at %s, want none", name, got.Server.ID)
		}
	}
}

// Guards against a run that goes on at a server that must get no requests, and against one that is lost because the
// only server with its copy has just refused another request.
func TestTakeoverGoesOnlyWhereRequestsMayGo(t *testing.T) {
	now := backupStart
	for _, c := range []struct {
		name   string
		change func(*registry.Server)
		spoil  func(p *Pool, m *member)
		job    Job
		want   bool
	}{
		{name: "ordinary", want: true},
		{name: "has just refused a request", spoil: func(p *Pool, m *member) {
			p.Begin(now, Choice{Server: m.server}, Job{})
			p.End(now, m.server.Key(), Refused)
		}, want: true},
		{name: "other version", change: func(s *registry.Server) { s.Version = "v2" }, job: Job{Version: streamversion.VersionOf("v1")}},
		{name: "leaving", change: func(s *registry.Server) { s.Leaving = true }},
		{name: "failing", spoil: func(_ *Pool, m *member) { m.health.eject(now) }},
		{name: "evacuated", change: func(s *registry.Server) { s.DataCentre = "y" }, spoil: func(p *Pool, _ *member) {
			p.SetEvacuated(map[string]bool{"y": true})
		}},
		{name: "wants no requests", spoil: func(p *Pool, m *member) { p.RecordRetryAfter(now, m.server.Key(), time.Second) }},
		{name: "tried before", job: Job{Exclude: []registry.Key{{ID: "a"}}}},
		{name: "gone", spoil: func(p *Pool, m *member) { p.SetServers(nil) }},
		{name: "beyond the bound", spoil: func(p *Pool, m *member) {
			p.SetLimits(Limits{CapFactor: 1.25, CapExtra: 0})
			p.Begin(now, Choice{Server: m.server}, Job{})
		}},
	} {
		p, list := backupPool(c.change)
		if c.spoil != nil {
			c.spoil(p, p.byKey[list[1].Key()])
		}
		choice, ok := p.PickNamed(now, c.job, list[1].Key())
		if ok != c.want || ok && (choice.Server.ID != "a" || choice.ReadTokens != 0 || choice.Reason != ReasonBackup) {
			t.Errorf("%s: %v, %+v; want %v", c.name, ok, choice, c.want)
		}
	}
}

// Guards against ends of engines that nobody notices, and against planned ones that count.
func TestEnginesThatLeaveHaveNotVanished(t *testing.T) {
	p, list := backupPool(func(s *registry.Server) { s.Leaving = true })
	p.RecordLeaving(list[0].Key())
	gone := p.Vanished(map[registry.Key]bool{})
	if len(gone) != 1 || gone[0].ID != "b" {
		t.Errorf("%d engines have vanished, want b only", len(gone))
	}
	if gone := p.Vanished(map[registry.Key]bool{list[2].Key(): true}); len(gone) != 0 {
		t.Errorf("%s has vanished, want none", gone[0].ID)
	}
}

// Guards against a copy that makes its engine run out of memory.
func TestNoBackupWithoutMemory(t *testing.T) {
	p, list := backupPool(nil)
	job := Job{}
	job.Cost.Memory = 1000
	p.SetMemory(100_000)
	if _, ok := p.PickBackup(backupStart, job, list[0].Key(), anyFits); !ok {
		t.Error("no backup at engines with memory")
	}
	p.SetMemory(900)
	if got, ok := p.PickBackup(backupStart, job, list[0].Key(), anyFits); ok {
		t.Errorf("backup at %s, whose memory is too small", got.Server.ID)
	}
}

// Guards against memory that is copied to a region in which the request may not run.
func TestBackupStaysInTheAllowedRegions(t *testing.T) {
	p, list := backupPool(func(s *registry.Server) { s.DataCentre = "y" })
	p.SetServers(list[:2])
	p.SetRegions(map[string]string{"x": "north", "y": "south"})
	job := Job{AllowedRegions: []string{"north"}}
	if got, ok := p.PickBackup(backupStart, job, list[0].Key(), anyFits); ok {
		t.Errorf("backup at %s, outside of the allowed region", got.Server.ID)
	}
	if _, ok := p.PickNamed(backupStart, job, list[1].Key()); ok {
		t.Error("a run goes on outside of its regions")
	}
}
