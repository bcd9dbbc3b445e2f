package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// Guards against a prefix that is read whole although an engine has the level above
// it, which several prefixes share.
func TestNewPrefixCopiesTheLevelAbove(t *testing.T) {
	p := pool(9)
	above := Prefix{Hash: prefix(100), Tokens: 500}
	job := func(i int) Job {
		return Job{Prefixes: []Prefix{above, {Hash: prefix(i), Tokens: 10000}}, PromptTokens: 10300}
	}
	first := pick(t, p, start, job(0))
	if first.ReadTokens != 10300 || first.Source != nil {
		t.Fatalf("the first prompt reads %d tokens and copies from %v, want 10300 and none", first.ReadTokens, first.Source)
	}
	p.Begin(start, first, job(0))
	p.RecordFirstByte(start, first, job(0), time.Second)
	p.End(start, first.Server.Key(), Served)
	for i := 1; i < 20; i++ {
		c := pick(t, p, start, job(i))
		if c.ReadTokens != 9800 {
			t.Errorf("prompt %d reads %d tokens, want 9800", i, c.ReadTokens)
		}
		if c.Server == first.Server && c.Source != nil || c.Server != first.Server && c.Source != first.Server {
			t.Errorf("prompt %d at %s copies from %v", i, c.Server.ID, c.Source)
		}
	}
}

// Guards against a short prompt that waits behind a long one at the holder of its
// prefix, although another server could have read the prefix sooner. A large prefix
// stays: reading it, and what it displaces, costs more than the wait.
func TestHolderThatReadsLongPromptsIsPassedOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int
		stays  bool
	}{{"small prefix", 700, false}, {"large prefix", 20000, true}} {
		p := pool(9)
		job := Job{Prefixes: []Prefix{{Hash: prefix(1), Tokens: c.tokens}}, PromptTokens: c.tokens + 100, Objective: 500 * time.Millisecond}
		holder := p.members[3]
		p.RecordCached(start, Placement{PrefixHash: prefix(1), Server: holder.hash, Tokens: c.tokens})
		if got := pick(t, p, start, job); got.Server != holder.server {
			t.Fatalf("%s: server %s, want the holder", c.name, got.Server.ID)
		}
		p.RecordPlacement(start, Placement{PrefixHash: prefix(2), Server: holder.hash, Tokens: 20000, ReadTokens: 30000})
		got := pick(t, p, start, job)
		if (got.Server == holder.server) != c.stays {
			t.Errorf("%s: server %s while the holder reads for %s, want the holder: %v", c.name, got.Server.ID, p.speed.duration(30000), c.stays)
		}
	}
}

// Guards against requests that are held for a prefix which its server does not read,
// because it refused the request that was to bring it.
func TestRefusedPromptIsNotRead(t *testing.T) {
	p := pool(3)
	c := pick(t, p, start, large(1))
	p.Begin(start, c, large(1))
	if got := pick(t, p, start, large(1)); got.ReadyIn == 0 {
		t.Fatal("the prefix counts as read as soon as it is sent")
	}
	p.CancelReading(start, c, large(1))
	p.End(start, c.Server.Key(), Cancelled)
	got := pick(t, p, start, large(1))
	if got.ReadyIn != 0 || got.Wait != 0 || got.ReadTokens != large(1).PromptTokens {
		t.Errorf("ready in %s, wait %s, %d tokens to read; want 0, 0 and the whole prompt", got.ReadyIn, got.Wait, got.ReadTokens)
	}
	if len(p.AllPlacements()) != 0 || len(p.cached.tokens) != 0 {
		t.Errorf("placements %v, want none", p.AllPlacements())
	}
}

// Guards against an engine that is ejected as silent while it reads a long prompt:
// all prompts that it has cached were read again elsewhere.
func TestServerThatReadsALongPromptIsNotSilent(t *testing.T) {
	p := pool(3)
	long := Job{Prefixes: []Prefix{{Hash: prefix(1), Tokens: 60000}}, PromptTokens: 60000}
	c := pick(t, p, start, long)
	p.Begin(start, c, long)
	reading := p.speed.duration(60000)
	for after, ejected := range map[time.Duration]bool{silenceLimit + 1: false, reading: false, reading + silenceLimit + 1: true} {
		for _, s := range p.Status(start.Add(after)) {
			if s.Server == c.Server && s.Ejected != ejected {
				t.Errorf("ejected %s after the request: %v, want %v", after, s.Ejected, ejected)
			}
		}
	}
}

// Guards against records that grow without bound, or that keep counting tokens of
// prefixes that nobody asks for any more.
func TestUnusedPrefixesExpire(t *testing.T) {
	x := newCacheIndex()
	record := func(now time.Time, i int) {
		x.record(now, Prefix{Hash: uint64(i + 1), Tokens: 10}, cachedCopy{server: uint64(i % 7)})
	}
	for i := range maxPrefixes + 100 {
		record(start, i)
	}
	if len(x.byHash) != maxPrefixes || x.byUse.Len() != maxPrefixes {
		t.Errorf("%d prefixes in %d entries, want %d", x.byUse.Len(), len(x.byHash), maxPrefixes)
	}
	if x.copies(start, 1) != nil {
		t.Error("the least recently used prefix is still recorded")
	}
	record(start.Add(cacheRetention+1), 0)
	sum := 0
	for _, tokens := range x.tokens {
		sum += tokens
	}
	if len(x.byHash) != 1 || sum != 10 {
		t.Errorf("%d prefixes with %d tokens after the retention, want 1 with 10", len(x.byHash), sum)
	}
}

// Guards against placements of servers of another pool, or unknown ones.
func TestPlacementsOfUnknownServersAreIgnored(t *testing.T) {
	p := pool(2)
	unknown := registry.Key{ID: "other"}.Hash()
	p.RecordPlacement(start, Placement{PrefixHash: prefix(1), Server: unknown, Tokens: 10, ReadTokens: 10})
	p.RecordCached(start, Placement{PrefixHash: prefix(1), Server: unknown, Tokens: 10})
	if got := p.AllPlacements(); len(got) != 0 {
		t.Errorf("placements %v, want none", got)
	}
}
