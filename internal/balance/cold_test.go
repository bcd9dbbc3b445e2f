package balance

import (
	"strconv"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

var (
	coldStart  = time.Unix(1_000_000, 0)
	coldLimits = ColdLimits{Start: 20 * time.Second, Bounds: namedlimit.ColdBounds{PerSecond: 9.2, Overage: 1.5, Extra: 5}}
	soleSender = namedlimit.Share{Sender: true, Sole: true, Routers: 9}
)

// coldPool returns a pool of three engines of which the first has just started, at a router with a share.
func coldPool(share namedlimit.Share) (*Pool, []*registry.Server) {
	list := []*registry.Server{
		{ID: "a", Pool: "p", Slots: 8, Engine: true, Start: registry.Start{At: coldStart}},
		{ID: "b", Pool: "p", Slots: 8, Engine: true}, {ID: "c", Pool: "p", Slots: 8, Engine: true},
	}
	p := NewPool(Limits{CapFactor: 2, CapExtra: 3})
	p.SetLimitShare(func(uint64) namedlimit.Share { return share })
	p.SetColdLimits(coldLimits)
	p.SetServers(list)
	return p, list
}

// sentTo returns how many requests a server got from callers that always have one, between two times.
func sentTo(p *Pool, s *registry.Server, from, until time.Duration) int {
	n := 0
	for d := from; d < until; d += 5 * time.Millisecond {
		now := coldStart.Add(d)
		choice, ok := p.Pick(now, Job{})
		if !ok {
			continue
		}
		p.Begin(now, choice, Job{})
		p.End(now, choice.Server.Key(), Served)
		if choice.Server == s {
			n++
		}
	}
	return n
}

// Guards against a cold server that gets more than it tolerates from its sender, anything from another router, or nothing
// in its first second, also when it is the only one and is ejected.
func TestColdServerGetsItsRate(t *testing.T) {
	for _, alone := range []bool{true, false} {
		p, list := coldPool(soleSender)
		if alone {
			p.SetServers(list[:1])
			p.byKey[list[0].Key()].health.eject(coldStart)
		}
		if n := sentTo(p, list[0], 0, time.Second); n < 5 || n > 9 {
			t.Errorf("alone %v: %d requests in the first second, want 5 to 9", alone, n)
		}
		if n := sentTo(p, list[0], time.Second, 10*time.Second); n > 9*9 {
			t.Errorf("alone %v: %d requests in 9 s, want at most 81", alone, n)
		}
		p, list = coldPool(namedlimit.Share{Sender: true, Routers: 9})
		if alone {
			p.SetServers(list[:1])
			p.byKey[list[0].Key()].health.eject(coldStart)
		}
		if n := sentTo(p, list[0], 0, 20*time.Second); n > 0 {
			t.Errorf("alone %v: %d requests of a router that is not the sole sender", alone, n)
		}
		if n := sentTo(p, list[0], 20*time.Second, 21*time.Second); n < 20 {
			t.Errorf("alone %v: %d requests in the second after the server has ceased to be cold", alone, n)
		}
	}
}

// Guards against limits in pools whose servers tolerate any number of requests while they are cold.
func TestPoolWithoutAColdRateIsNotLimited(t *testing.T) {
	p, list := coldPool(namedlimit.Share{})
	p.SetColdLimits(ColdLimits{Start: time.Minute})
	if n := sentTo(p, list[0], 0, time.Second); n < 20 {
		t.Errorf("%d requests in a second of a server that is not limited", n)
	}
	if load := p.Load(coldStart); load.Slots != 24 {
		t.Errorf("%d slots, want those of all three servers", load.Slots)
	}
}

// Guards against a pool that looks half empty because of cold servers, and against a bound that follows the mean of the others: it
// holds for the mean of all.
func TestColdServerIsNoCapacity(t *testing.T) {
	p, list := coldPool(soleSender)
	for range 6 {
		p.Begin(coldStart, Choice{Server: list[1]}, Job{})
		p.Begin(coldStart, Choice{Server: list[2]}, Job{})
	}
	if load := p.Load(coldStart); load.Slots != 16 || load.Own != 12 {
		t.Errorf("load %+v, want that of the two other servers", load)
	}
	if mean := p.mean(coldStart); mean != 4 {
		t.Errorf("mean %v, want that of all three servers", mean)
	}
}

// Guards against a cold server whose room is not used while the others are full, or is used beyond its rate.
func TestColdServerHasRoomWithinItsRate(t *testing.T) {
	p, list := coldPool(soleSender)
	now := coldStart
	p.ColdReady(now, Job{})
	if p.ColdReady(now, Job{}) {
		t.Error("room before the first request is allowed")
	}
	now = now.Add(time.Second)
	if !p.ColdReady(now, Job{}) {
		t.Error("no room although a request is allowed")
	}
	if p.ColdReady(now, Job{AllowedRegions: []string{"north"}}) {
		t.Error("room for a request that the server must not get")
	}
	for range 2 {
		p.Begin(now, Choice{Server: list[0]}, Job{})
	}
	if p.ColdReady(now, Job{}) {
		t.Error("room although the rate is used up")
	}
	p, _ = coldPool(namedlimit.Share{Sender: true})
	if p.ColdReady(now, Job{}) {
		t.Error("room at a router that is not the sole sender")
	}
}

// Guards against a cold server that becomes the home of prefixes whose requests it cannot take, and against one that is not
// used while the others have all prefixes.
func TestColdServerIsNoNewHome(t *testing.T) {
	p, list := coldPool(soleSender)
	now := coldStart.Add(time.Second)
	for _, m := range p.members {
		p.overCold(now.Add(-time.Second), m)
	}
	asked := 0
	for i := range 200 {
		job := Job{Prefixes: []Prefix{{Hash: uint64(i + 1), Tokens: 1000}}, PromptTokens: 1100}
		choice, ok := p.Pick(now, job)
		if !ok {
			t.Fatal("no server although two are warm")
		}
		if choice.Server == list[0] {
			asked++
			if choice.Reason != ReasonCold || !choice.Cold {
				t.Errorf("cold server chosen as %q, want %q", choice.Reason, ReasonCold)
			}
		}
		p.Begin(now, choice, job)
		p.RecordProgress(now, choice.Server.Key())
		p.End(now, choice.Server.Key(), Served)
		now = now.Add(10 * time.Millisecond)
	}
	if asked < 2 || asked > 3 {
		t.Errorf("%d of 200 new prefixes in 2 s at the cold server while the others have room, want one each 0.75 s", asked)
	}
	for range 6 {
		p.Begin(now, Choice{Server: list[1]}, Job{})
	}
	asked = 0
	for i := range 200 {
		job := Job{Prefixes: []Prefix{{Hash: uint64(i + 1), Tokens: 1000}}, PromptTokens: 1100}
		if choice, ok := p.Pick(now, job); ok && choice.Server == list[0] {
			p.Begin(now, choice, job)
			p.End(now, choice.Server.Key(), Served)
			asked++
		}
		p.RecordProgress(now, list[0].Key())
		p.RecordProgress(now, list[1].Key())
		now = now.Add(10 * time.Millisecond)
	}
	if asked < 10 {
		t.Errorf("%d requests in 2 s at the cold server while the others are pressed, want at least 10", asked)
	}
}

// Guards against entries that do not end what was assumed of a server, against those that do so although they were written
// before, and against news on each heartbeat of a cold server.
func TestEntriesSayHowLongAServerIsCold(t *testing.T) {
	p, list := coldPool(soleSender)
	key := list[0].Key()
	at := func(d time.Duration) time.Time { return coldStart.Add(d) }
	left := func(d time.Duration) time.Duration { return p.byKey[key].cold.end.Sub(at(d)) }
	entry := func(d time.Duration) ColdUpdate { return ColdUpdate{Left: d, ByEntry: true} }
	if p.RecordCold(at(0), key, entry(0), true, true) || left(0) != 20*time.Second {
		t.Errorf("cold for %v after the first entry says that it is not, want 20 s", left(0))
	}
	if !p.RecordCold(at(time.Second), key, entry(10*time.Second), false, true) || left(time.Second) != 10*time.Second {
		t.Errorf("cold for %v by its second entry, want 10 s", left(time.Second))
	}
	for d := 2 * time.Second; d < 11*time.Second; d += time.Second {
		if p.RecordCold(at(d), key, entry(11*time.Second-d-300*time.Millisecond), false, true) {
			t.Errorf("heartbeat after %v is news", d)
		}
	}
	told := 0
	for d := 2 * time.Second; d < 10*time.Second; d += 100 * time.Millisecond {
		p.TakeCold(at(d), func(uint64, ColdUpdate) { told++ })
	}
	if told != coldSends {
		t.Errorf("told %d times, want %d", told, coldSends)
	}
	p.SetCold(at(12*time.Second), func(s *registry.Server) bool { return s.ID == "a" }, at(32*time.Second))
	if p.RecordCold(at(13*time.Second), key, entry(0), false, true) || left(13*time.Second) != 19*time.Second {
		t.Errorf("cold for %v after an entry that may be older than the lifted evacuation, want 19 s", left(13*time.Second))
	}
	if !p.RecordCold(at(14*time.Second), key, entry(0), false, true) || left(14*time.Second) > 0 {
		t.Errorf("cold for %v after a later entry says that it is not", left(14*time.Second))
	}
	if !p.RecordCold(at(15*time.Second), key, ColdUpdate{Left: 3 * time.Second}, false, true) || left(15*time.Second) != 3*time.Second {
		t.Errorf("cold for %v by its answer, want 3 s", left(15*time.Second))
	}
}

// Guards against a router that has just started and takes a server for warm which started a moment before it.
func TestStartedRouterTakesUnknownStartsForCold(t *testing.T) {
	list := []*registry.Server{{ID: "a", Pool: "p", Slots: 8, Start: registry.Start{Unknown: true}}}
	p := NewPool(Limits{CapFactor: 2, CapExtra: 3})
	p.SetLimitShare(func(uint64) namedlimit.Share { return namedlimit.Share{} })
	p.SetColdLimits(coldLimits)
	p.SetStartsUnknown(coldStart.Add(2 * time.Second))
	p.SetServers(list)
	if _, ok := p.Pick(coldStart.Add(time.Second), Job{}); ok {
		t.Error("request at a server that may be cold")
	}
	p.ColdServers(coldStart, func(uint64, time.Duration) { t.Error("a server that only may be cold is told to others as cold") })
	p.SetStartsUnknown(time.Time{})
	if _, ok := p.Pick(coldStart.Add(time.Second), Job{}); !ok {
		t.Error("no request at a server that the others know not to be cold")
	}
}

// Guards against slow answers of cold servers that lower the estimated reading speed of all.
func TestColdServerSaysNothingOfTheReadingSpeed(t *testing.T) {
	p, list := coldPool(soleSender)
	p.RecordFirstByte(coldStart, Choice{Server: list[0], ReadTokens: 50_000, Cold: true}, Job{}, time.Minute)
	if p.speed != (readingSpeed{}) {
		t.Errorf("speed %+v after the answer of a cold server", p.speed)
	}
}

// Guards against plain servers that are cold and get only as much as one of many servers without load, while the others have
// much.
func TestColdServerIsUsedWhileTheOthersArePressed(t *testing.T) {
	list := []*registry.Server{{ID: "a", Pool: "p", Addr: "a", Slots: 8, Start: registry.Start{At: coldStart}}}
	for i := range 40 {
		list = append(list, &registry.Server{ID: string(rune('b' + i)), Pool: "p", Slots: 8})
	}
	p := NewPool(Limits{CapFactor: 2, CapExtra: 3})
	p.SetLimitShare(func(uint64) namedlimit.Share { return soleSender })
	p.SetColdLimits(coldLimits)
	p.SetServers(list)
	cold := list[0].Key().Hash()
	p.SetPeerInFlight(coldStart, func(server uint64) int {
		if server == cold {
			return 0
		}
		return 5
	}, true, time.Second)
	n := 0
	for d := time.Duration(0); d < 4*time.Second; d += 40 * time.Millisecond {
		now := coldStart.Add(d)
		choice, _ := p.Pick(now, Job{Random: uint64(d)})
		if p.Begin(now, choice, Job{}); choice.Server == list[0] {
			n++
		}
		p.RecordProgress(now, choice.Server.Key())
		p.End(now, choice.Server.Key(), Served)
	}
	if n < 24 {
		t.Errorf("%d of 100 requests in 4 s at the cold server, want at least 24", n)
	}
}

// BenchmarkPick measures a placement at 140 servers, with a third of them cold.
func BenchmarkPick(b *testing.B) {
	for _, cold := range []int{0, 46} {
		b.Run(strconv.Itoa(cold)+" cold", func(b *testing.B) {
			var list []*registry.Server
			for i := range 140 {
				s := &registry.Server{ID: strconv.Itoa(i), Pool: "p", Slots: 64, Engine: true}
				if i < cold {
					s.Start.At = coldStart
				}
				list = append(list, s)
			}
			p := NewPool(Limits{CapFactor: 2, CapExtra: 3})
			p.SetLimitShare(func(uint64) namedlimit.Share { return namedlimit.Share{Sender: true, Sole: true} })
			p.SetColdLimits(ColdLimits{Start: time.Hour, Bounds: coldLimits.Bounds})
			p.SetServers(list)
			now := coldStart
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				job := Job{Prefixes: []Prefix{{Hash: uint64(i % 500), Tokens: 1000}}, PromptTokens: 1100, Random: uint64(i)}
				choice, ok := p.Pick(now, job)
				if !ok {
					b.Fatal("no server")
				}
				p.Begin(now, choice, job)
				p.RecordProgress(now, choice.Server.Key())
				p.End(now, choice.Server.Key(), Served)
			}
		})
	}
}
