package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// limitedPool returns a pool of three engines of which the first names a limit of 2 requests a
// second, at a router with a share in it.
func limitedPool(now time.Time, share namedlimit.Share) (*Pool, []*registry.Server) {
	list := []*registry.Server{
		{ID: "a", Pool: "p", Slots: 8, Engine: true}, {ID: "b", Pool: "p", Slots: 8, Engine: true}, {ID: "c", Pool: "p", Slots: 8, Engine: true},
	}
	p := NewPool(Limits{CapFactor: 2, CapExtra: 3})
	p.SetLimitShare(func(uint64) namedlimit.Share { return share })
	p.SetServers(list)
	p.RecordLimit(list[0].Key(), namedlimit.Statement{PerSecond: 2, At: now}, now)
	return p, list
}

// Guards against requests to a server beyond its limit, also when all others are ejected, and
// against a sender that sends none.
func TestLimitedServerGetsItsShare(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		share namedlimit.Share
		want  int
	}{{namedlimit.Share{Routers: 3}, 0}, {namedlimit.Share{Sender: true, Routers: 3}, 4}} {
		p, list := limitedPool(now, c.share)
		p.SetServers(list[:1])
		n := 0
		for d := time.Duration(0); d <= 2*time.Second; d += 10 * time.Millisecond {
			choice, ok := p.Pick(now.Add(d), Job{})
			if !ok {
				if p.WithheldWait(now.Add(d)) <= 0 {
					t.Fatalf("%+v: no wait until the next request", c.share)
				}
				continue
			}
			p.Begin(now.Add(d), choice, Job{})
			p.End(now.Add(d), list[0].Key(), Served)
			n++
		}
		if n != c.want {
			t.Errorf("%+v: %d requests in 2 s, want %d", c.share, n, c.want)
		}
	}
}

// Guards against a pool that looks half empty because a server takes less than its slots, and
// against a bound for the others that its low load lowers.
func TestLimitedServerIsNoCapacity(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, list := limitedPool(now, namedlimit.Share{Routers: 3})
	for range 6 {
		p.Begin(now, Choice{Server: list[1]}, Job{})
		p.Begin(now, Choice{Server: list[2]}, Job{})
	}
	if load := p.Load(now); load.Slots != 16 || load.Own != 12 {
		t.Errorf("load %+v, want that of the two other servers", load)
	}
	if mean := p.mean(now); mean != 6 {
		t.Errorf("mean %v, want that of the two other servers", mean)
	}
	p.SetServers(list[:1])
	if mean := p.mean(now); mean != 0 {
		t.Errorf("mean %v of a pool in which all servers name limits", mean)
	}
}

// Guards against a server whose limit nobody uses, and whose end nobody notices, because the others
// have all prefixes.
func TestSenderAsksALimitedServerFromTimeToTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, list := limitedPool(now, namedlimit.Share{Sender: true, Routers: 3})
	for _, s := range list[1:] {
		p.RecordCached(now, Placement{PrefixHash: 77, Server: s.Key().Hash(), Tokens: 1000})
	}
	job := Job{Prefixes: []Prefix{{Hash: 77, Tokens: 1000}}, PromptTokens: 1100}
	asked := 0
	for d := time.Duration(0); d < 10*time.Second; d += 50 * time.Millisecond {
		choice, _ := p.Pick(now.Add(d), job)
		p.Begin(now.Add(d), choice, job)
		p.RecordProgress(now.Add(d), choice.Server.Key())
		p.End(now.Add(d), choice.Server.Key(), Served)
		if choice.Server == list[0] && choice.Reason == ReasonLimited {
			asked++
		}
	}
	if asked < 2 {
		t.Errorf("the server was asked %d times in 10 s", asked)
	}
}

// Guards against a limit that is not used while the other servers have more than they can take.
func TestLimitedServerRelievesTheOthers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for inFlight, want := range map[int]bool{0: false, 3: true} {
		p, list := limitedPool(now, namedlimit.Share{Sender: true, Routers: 3})
		job := Job{Prefixes: []Prefix{{Hash: 77, Tokens: 1000}}, PromptTokens: 1100}
		p.Begin(now, Choice{Server: list[0]}, Job{})
		p.End(now, list[0].Key(), Served)
		for _, s := range list[1:] {
			p.RecordCached(now, Placement{PrefixHash: 77, Server: s.Key().Hash(), Tokens: 1000})
			for range inFlight {
				p.Begin(now, Choice{Server: s}, Job{})
			}
		}
		p.Pick(now, job)
		later := now.Add(600 * time.Millisecond)
		for _, s := range list {
			p.RecordProgress(later, s.Key())
		}
		choice, _ := p.Pick(later, job)
		if got := choice.Server == list[0]; got != want {
			t.Errorf("%d requests at each other server: the limited one is chosen: %v, want %v", inFlight, got, want)
		}
	}
}
