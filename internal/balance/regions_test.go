package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// regionPool returns a pool of two engines in each of the data centres of two regions, and of two in one whose region is not known.
func regionPool() (*Pool, []*registry.Server) {
	var list []*registry.Server
	for _, s := range []struct{ id, dataCentre string }{{"n1", "north-1"}, {"n2", "north-2"}, {"s1", "south-1"}, {"s2", "south-1"}, {"x1", "unlisted"}, {"x2", ""}} {
		list = append(list, &registry.Server{ID: s.id, Pool: "p", Slots: 8, Engine: true, DataCentre: s.dataCentre})
	}
	p := NewPool(Limits{CapFactor: 2, CapExtra: 3})
	p.SetServers(list)
	p.SetRegions(map[string]string{"north-1": "north", "north-2": "north", "south-1": "south", "empty": ""})
	return p, list
}

var inNorth = []string{"north"}

// Guards against a request whose body reaches a server outside of its regions, in whatever way the server is chosen: for a prefix
// that only others have, since all allowed ones are ejected, at the bound, limited or were tried, or since it was the last
// one heard.
func TestRequestsKeepToTheirRegions(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	prefix := []Prefix{{Hash: 7, Tokens: 1000}}
	for _, c := range []struct {
		name    string
		prepare func(p *Pool, list []*registry.Server)
		job     Job
		none    bool
	}{
		{"plain", func(*Pool, []*registry.Server) {}, Job{}, false},
		{"prefix", func(*Pool, []*registry.Server) {}, Job{Prefixes: prefix}, false},
		{"prefix that others have", func(p *Pool, list []*registry.Server) {
			for _, s := range list[2:] {
				p.RecordCached(now, Placement{PrefixHash: 7, Server: s.Key().Hash(), Tokens: 1000})
			}
		}, Job{Prefixes: prefix}, false},
		{"all allowed ones ejected", func(p *Pool, list []*registry.Server) {
			for _, s := range list[:2] {
				p.byKey[s.Key()].health.eject(now)
			}
		}, Job{}, false},
		{"last heard", func(p *Pool, list []*registry.Server) {
			for _, s := range list {
				p.RecordProgress(now, s.Key())
			}
			p.byKey[list[0].Key()].health.heardAt = now.Add(-time.Second)
			p.byKey[list[1].Key()].health.heardAt = time.Time{}
		}, Job{Unreachable: manyUnreachable}, false},
		{"others limited and not asked", func(p *Pool, list []*registry.Server) {
			p.RecordLimit(list[2].Key(), namedlimit.Statement{PerSecond: 100, At: now.Add(-time.Second)}, now)
			p.Pick(now.Add(-time.Second), Job{})
		}, Job{Prefixes: prefix}, false},
		{"all allowed ones tried", func(*Pool, []*registry.Server) {}, Job{Exclude: []registry.Key{{ID: "n1"}, {ID: "n2"}}}, true},
		{"all allowed ones refuse", func(p *Pool, list []*registry.Server) {
			p.RecordRetryAfter(now, list[0].Key(), time.Minute)
			p.RecordRetryAfter(now, list[1].Key(), time.Minute)
		}, Job{}, true},
		{"all allowed ones at the bound", func(p *Pool, list []*registry.Server) {
			for range 12 {
				p.Begin(now, Choice{Server: list[0]}, Job{})
				p.Begin(now, Choice{Server: list[1]}, Job{})
			}
		}, Job{}, true},
	} {
		p, list := regionPool()
		c.prepare(p, list)
		c.job.AllowedRegions = inNorth
		for i := range uint64(30) {
			c.job.Random = i
			choice, ok := p.Pick(now, c.job)
			if ok == c.none || ok && choice.Server.ID[0] != 'n' {
				t.Errorf("%s: server %+v, %v; want one in the north: %v", c.name, choice.Server, ok, !c.none)
				break
			}
		}
	}
}

// Guards against prompt memory that is copied from a server outside of the regions, and against a source inside that is not used.
func TestPromptMemoryIsCopiedWithinTheRegions(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	job := Job{Prefixes: []Prefix{{Hash: 7, Tokens: 1000}}, PromptTokens: 1100, AllowedRegions: inNorth}
	p, list := regionPool()
	for _, s := range list[2:] {
		p.RecordCached(now, Placement{PrefixHash: 7, Server: s.Key().Hash(), Tokens: 1000})
	}
	if choice, ok := p.Pick(now, job); !ok || choice.Source != nil {
		t.Errorf("copied from %+v, want no source", choice.Source)
	}
	if choice, _ := p.Pick(now, Job{Prefixes: job.Prefixes, Exclude: []registry.Key{{ID: "s1"}, {ID: "s2"}, {ID: "x1"}, {ID: "x2"}}}); choice.Source == nil {
		t.Error("a request without regions has no source")
	}
	p.RecordCached(now, Placement{PrefixHash: 7, Server: list[0].Key().Hash(), Tokens: 1000})
	job.Exclude = []registry.Key{list[0].Key()}
	if choice, ok := p.Pick(now, job); !ok || choice.Server != list[1] || choice.Source != list[0] {
		t.Errorf("server %+v copies from %+v, want the second in the north from the first", choice.Server, choice.Source)
	}
}

// Guards against an admission by servers that may not get the request, waits that end with those, and data centres without a
// region that are taken for any.
func TestCapacityIsThatOfTheRegions(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, list := regionPool()
	p.Begin(now, Choice{Server: list[0]}, Job{})
	p.Begin(now, Choice{Server: list[2]}, Job{})
	if load := p.Load(now, inNorth...); load.Slots != 16 || load.Own != 1 {
		t.Errorf("load %+v, want that of the north", load)
	}
	if load := p.Load(now); load.Slots != 48 || load.Own != 2 {
		t.Errorf("load %+v, want that of all", load)
	}
	p.RecordRetryAfter(now, list[0].Key(), 3*time.Second)
	p.RecordRetryAfter(now, list[2].Key(), time.Second)
	if wait := p.WithheldWait(now, inNorth...); wait != 3*time.Second {
		t.Errorf("wait %v, want that of the server in the north", wait)
	}
	for regions, want := range map[string]bool{"north": true, "south": true, "": false, "west": false, "unlisted": false} {
		if got := p.Reaches([]string{regions}); got != want {
			t.Errorf("reaches region %q: %v, want %v", regions, got, want)
		}
	}
	p.SetServers(list[:1])
	if status := p.Status(now); status[0].Region != "north" || p.Reaches([]string{"south"}) {
		t.Errorf("status %+v, want a server in the north only", status)
	}
}
