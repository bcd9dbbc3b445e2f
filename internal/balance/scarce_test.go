package balance

import (
	"slices"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

func plainServers(n int) []*registry.Server {
	var list []*registry.Server
	for i := range n {
		list = append(list, &registry.Server{ID: string(rune('a' + i)), Addr: "10.0.0.1:1", Slots: 6})
	}
	return list
}

// Guards against a request that goes to another server than the granted one, or to it against another rule.
func TestGrantedServerIsTheOnlyChoice(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := NewPool(Limits{CapFactor: 2, CapExtra: 3})
	list := plainServers(3)
	p.SetServers(list)
	job := Job{Granted: list[1].Key().Hash()}
	for random := range uint64(6) {
		job.Random = random
		if c, ok := p.Pick(now, job); !ok || c.Server != list[1] || c.Reason != ReasonGranted {
			t.Errorf("choice %+v, %v; want the granted server", c, ok)
		}
	}
	if _, ok := p.Pick(now, Job{Granted: job.Granted, Exclude: []registry.Key{list[1].Key()}}); ok {
		t.Error("an excluded server is chosen since it was granted")
	}
	p.RecordRetryAfter(now, list[1].Key(), time.Second)
	if _, ok := p.Pick(now, job); ok {
		t.Error("a server that wants no requests is chosen since it was granted")
	}
}

// Guards against grants of servers whose load other rules bound, of unknown size, or that take no requests.
func TestOnlySlotsOfPlainServersAreGranted(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		change func(p *Pool, list []*registry.Server)
		want   int
	}{
		"plain":        {func(*Pool, []*registry.Server) {}, 3},
		"an engine":    {func(_ *Pool, list []*registry.Server) { list[0].Engine = true }, 0},
		"unknown size": {func(_ *Pool, list []*registry.Server) { list[0].Slots = 0 }, 0},
		"leaving":      {func(_ *Pool, list []*registry.Server) { list[0].Leaving = true }, 2},
		"brittle":      {func(p *Pool, list []*registry.Server) { p.RecordBrittle(now, list[0].Key(), 3) }, 0},
		"limited": {func(p *Pool, list []*registry.Server) {
			p.RecordLimit(list[0].Key(), namedlimit.Statement{PerSecond: 3, At: now}, now)
		}, 0},
	} {
		p, list := NewPool(Limits{CapFactor: 2, CapExtra: 3}), plainServers(3)
		p.SetServers(list)
		c.change(p, list)
		p.SetServers(list)
		if got := p.Grantable(now); len(got) != c.want {
			t.Errorf("%s: %d servers, want %d", name, len(got), c.want)
		}
	}
}

// Guards against a pool whose load other rules bound, or whose size is unknown, and of which only a share of the requests is sent; and
// against a share that is dropped since the only server wants no requests for a moment.
func TestOnlySlotsOfPlainServersThatSayNothingCount(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		change func(p *Pool, list []*registry.Server)
		want   int
	}{
		"plain":        {func(*Pool, []*registry.Server) {}, 18},
		"an engine":    {func(_ *Pool, list []*registry.Server) { list[0].Engine = true }, 0},
		"unknown size": {func(_ *Pool, list []*registry.Server) { list[0].Slots = 0 }, 0},
		"leaving":      {func(_ *Pool, list []*registry.Server) { list[0].Leaving = true }, 12},
		"brittle":      {func(p *Pool, list []*registry.Server) { p.RecordBrittle(now, list[0].Key(), 3) }, 0},
		"states load":  {func(p *Pool, list []*registry.Server) { p.RecordLoad(now, list[0].Key(), Load{Running: 1, Slots: 6}) }, 0},
		"unreachable":  {func(p *Pool, list []*registry.Server) { p.End(now, list[0].Key(), Unreachable) }, 12},
		"refuses":      {func(p *Pool, list []*registry.Server) { p.RecordRetryAfter(now, list[0].Key(), time.Second) }, 18},
		"limited": {func(p *Pool, list []*registry.Server) {
			p.RecordLimit(list[0].Key(), namedlimit.Statement{PerSecond: 3, At: now}, now)
		}, 0},
		"all unreachable": {func(p *Pool, list []*registry.Server) {
			for _, s := range list {
				p.End(now, s.Key(), Unreachable)
			}
		}, 18},
	} {
		p, list := NewPool(Limits{CapFactor: 2, CapExtra: 3}), plainServers(3)
		p.SetServers(list)
		c.change(p, list)
		p.SetServers(list)
		if got := p.PlainSlots(now); got != c.want {
			t.Errorf("%s: %d slots, want %d", name, got, c.want)
		}
	}
}

// Guards against grants of a server that this router has ejected, and against none at all when it has ejected all.
func TestEjectedServerIsNotUsableWhileOthersAre(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p, list := NewPool(Limits{CapFactor: 2, CapExtra: 3}), plainServers(2)
	p.SetServers(list)
	usable := func() (hashes []uint64) {
		for _, g := range p.Grantable(now) {
			if g.Usable {
				hashes = append(hashes, g.Hash)
			}
		}
		return hashes
	}
	p.End(now, list[0].Key(), Unreachable)
	if got := usable(); !slices.Equal(got, []uint64{list[1].Key().Hash()}) {
		t.Errorf("usable %v, want the other server", got)
	}
	if got := p.Withheld(now, Job{}); !slices.Equal(got, []uint64{list[0].Key().Hash()}) {
		t.Errorf("withheld %v, want the server that can't be reached", got)
	}
	p.End(now, list[1].Key(), Unreachable)
	if got := usable(); len(got) != 2 {
		t.Errorf("usable %v, want both", got)
	}
}

// Guards against a granting router that does not know the requests at a server.
func TestGrantableStatesTheLoad(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p, list := NewPool(Limits{CapFactor: 2, CapExtra: 3}), plainServers(1)
	p.SetServers(list)
	c, _ := p.Pick(now, Job{})
	p.Begin(now, c, Job{})
	p.SetPeerInFlight(now, func(uint64) int { return 4 }, true, 0)
	if got := p.Grantable(now); got[0].Load != 5 || got[0].Slots != 6 {
		t.Errorf("%+v, want a load of 5 and 6 slots", got[0])
	}
}
