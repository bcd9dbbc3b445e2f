package balance

import (
	"slices"
	"testing"
	"time"
)

// Guards against a holder that is chosen although it is above the bound, takes no requests,
// still reads the prefix or is more loaded than another one.
func TestBestHolderIsChosen(t *testing.T) {
	p := pool(6)
	job := large(1)
	cached := func(i int) {
		p.RecordCached(start, Placement{PrefixHash: prefix(1), Server: p.members[i].hash, Tokens: 10000})
	}
	cached(0)
	cached(1)
	expect := func(what string, want int) {
		t.Helper()
		if c := pick(t, p, start, job); c.Server != p.members[want].server {
			t.Errorf("%s: server %s, want %s", what, c.Server.ID, p.members[want].server.ID)
		}
	}
	p.Begin(start, at(p.members[1]), Job{})
	expect("one of two is loaded", 0)
	p.Begin(start, at(p.members[0]), Job{})
	p.Begin(start, at(p.members[0]), Job{})
	expect("the other one is more loaded", 1)
	p.cached.record(start, Prefix{Hash: prefix(2), Tokens: 10000}, cachedCopy{server: p.members[2].hash, readAt: start.Add(time.Second)})
	p.cached.record(start, Prefix{Hash: prefix(2), Tokens: 10000}, cachedCopy{server: p.members[0].hash, readAt: start})
	job = large(2)
	expect("one of two reads the prefix", 0)
	p.members[0].health.end(start, Unreachable, true)
	expect("the holder that has read it takes no requests", 2)
	p = pool(6)
	cached(0)
	job = large(1)
	for range 6 {
		p.Begin(start, at(p.members[0]), Job{})
	}
	if c := pick(t, p, start, job); c.Server == p.members[0].server || c.Reason != ReasonSpill {
		t.Errorf("server %s, reason %s; want a spill from the holder above the bound", c.Server.ID, c.Reason)
	}
}

// Guards against a holder that is left for a wait which the objective allows, or for a server
// that would be hardly sooner, and against one that is kept however long it reads.
func TestHolderIsLeftOnlyForAFasterServer(t *testing.T) {
	for name, c := range map[string]struct {
		readTokens, prefixTokens int
		objective                time.Duration
		stays                    bool
	}{
		"short wait":        {5000, 100, time.Second, true},
		"long wait":         {30000, 100, time.Second, false},
		"large prefix":      {30000, 20000, time.Second, true},
		"no objective":      {1000000, 100, 0, true},
		"just not worth it": {30000, 15000, time.Second, true},
		"just worth it":     {30000, 14000, time.Second, false},
	} {
		p := pool(6)
		holder := p.members[0]
		p.RecordCached(start, Placement{PrefixHash: prefix(1), Server: holder.hash, Tokens: c.prefixTokens})
		p.RecordPlacement(start, Placement{Server: holder.hash, ReadTokens: c.readTokens})
		job := Job{Prefixes: []Prefix{{Hash: prefix(1), Tokens: c.prefixTokens}}, PromptTokens: c.prefixTokens, Objective: c.objective}
		if got := pick(t, p, start, job); (got.Server == holder.server) != c.stays {
			t.Errorf("%s: server %s, stays %v, want %v", name, got.Server.ID, got.Server == holder.server, c.stays)
		}
	}
}

// Guards against a new prefix at a server that is above the bound, has its memory full of
// others, or reads prompts while others are idle.
func TestNewPrefixGoesToAServerWithRoom(t *testing.T) {
	first := pick(t, pool(6), start, large(1)).Server.ID
	for name, spoil := range map[string]func(p *Pool, m *member){
		"above the bound": func(p *Pool, m *member) {
			for range 6 {
				p.Begin(start, at(m), Job{})
			}
		},
		"full memory": func(p *Pool, m *member) {
			p.RecordCached(start, Placement{PrefixHash: 5, Server: m.hash, Tokens: 1000})
		},
		"reads prompts": func(p *Pool, m *member) { p.RecordPlacement(start, Placement{Server: m.hash, ReadTokens: 1000}) },
	} {
		p := pool(6)
		for _, m := range p.members {
			if m.server.ID == first {
				spoil(p, m)
			}
		}
		if got := pick(t, p, start, large(1)); got.Server.ID == first {
			t.Errorf("%s: server %s all the same", name, first)
		}
	}
}

// Guards against a copy from a server that is still reading the prefix, or that does not
// answer, and against one of a shorter level than there is.
func TestCopyComesFromAServerThatHasThePrefix(t *testing.T) {
	job := Job{Prefixes: []Prefix{{Hash: prefix(1), Tokens: 100}, {Hash: prefix(2), Tokens: 1000}}, PromptTokens: 1100}
	p := pool(6)
	record := func(hash uint64, tokens, i int, readAt time.Time) {
		p.cached.record(start, Prefix{Hash: hash, Tokens: tokens}, cachedCopy{server: p.members[i].hash, readAt: readAt})
	}
	record(prefix(1), 100, 0, start)
	record(prefix(2), 1000, 1, start)
	target := p.members[5]
	if source, read := p.reuse(start, target, &job); source != p.members[1] || read != 100 {
		t.Errorf("copy from %v, %d tokens to read; want the longest level, and 100", source, read)
	}
	p.members[1].health.end(start, Unreachable, true)
	if source, read := p.reuse(start, target, &job); source != p.members[0] || read != 1000 {
		t.Errorf("copy from %v, %d tokens to read while a server does not answer; want the level above, and 1000", source, read)
	}
	record(prefix(2), 1000, 2, start.Add(time.Second))
	if source, _ := p.reuse(start, target, &job); source != p.members[0] {
		t.Errorf("copy from %v, which still reads the prefix", source)
	}
}

// Guards against a router that tells the others of placements they know, keeps new ones to
// itself, or announces a part of the reading time.
func TestNewPlacementsAreAnnouncedOnce(t *testing.T) {
	p := pool(3)
	c := pick(t, p, start, large(1))
	if !p.Begin(start, c, large(1)) {
		t.Error("a new holder is not announced")
	}
	list := p.TakeNewPlacements()
	if len(list) != 1 || list[0].PrefixHash != prefix(1) || list[0].ReadTokens != 10500 {
		t.Errorf("announced %+v, want the prefix and 10500 tokens to read", list)
	}
	short := Job{Prefixes: []Prefix{{Hash: prefix(9), Tokens: 100}}, PromptTokens: 120}
	if !p.Begin(start, pick(t, p, start, short), short) || len(p.TakeNewPlacements()) != 1 {
		t.Error("a new holder of a short prefix is not announced")
	}
	known := large(1)
	c = Choice{Server: c.Server, ReadTokens: 500}
	if p.Begin(start, c, known) || len(p.TakeNewPlacements()) != 0 {
		t.Error("a known holder that reads little is announced")
	}
	c.ReadTokens = 4000
	for range 2 {
		if !p.Begin(start, c, known) {
			t.Error("a long prompt is not announced")
		}
	}
	if list := p.TakeNewPlacements(); len(list) != 1 || list[0].ReadTokens != 8000 {
		t.Errorf("announced %+v, want 8000 tokens to read at once", list)
	}
}

// Guards against prompts that count as read, or as being read, although their server refused
// them, and against a speed that is learned from copied prompts or behind others.
func TestReadingIsLearnedFromAnswers(t *testing.T) {
	p := pool(3)
	job := large(1)
	c := pick(t, p, start, job)
	m := p.byKey[c.Server.Key()]
	p.Begin(start, c, job)
	if m.wait(start) == 0 {
		t.Fatal("a prompt takes no reading time")
	}
	p.CancelReading(start, c, job)
	if m.wait(start) != 0 || len(p.holders(start, prefix(1))) != 0 {
		t.Errorf("%v to read and holders %v after a refusal, want none", m.wait(start), p.holders(start, prefix(1)))
	}
	p.Begin(start, c, job)
	p.RecordFirstByte(start, c, job, time.Second)
	if h := p.holders(start, prefix(1)); len(h) != 1 || h[0].reading() {
		t.Errorf("holders %+v after the first byte, want one that has read the prefix", h)
	}
	speed := p.speed
	c.Wait = time.Second
	p.RecordFirstByte(start, c, job, time.Minute)
	c.Wait, c.Source = 0, p.members[0].server
	p.RecordFirstByte(start, c, job, time.Minute)
	if p.speed != speed {
		t.Errorf("speed %+v learned from prompts that waited or were copied, want %+v", p.speed, speed)
	}
}

// Guards against records that grow without bound, outlive their caches, are forgotten while
// they are used, or count tokens that are gone or count them twice.
func TestRecordsOfCachesAreBounded(t *testing.T) {
	x := newCacheIndex()
	one := Prefix{Hash: 1, Tokens: 10}
	for i := range uint64(10) {
		x.record(start, one, cachedCopy{server: i})
		x.record(start, one, cachedCopy{server: i})
	}
	if n := len(x.copies(start, 1)); n != maxPrefixServers {
		t.Errorf("%d copies of a prefix, want %d", n, maxPrefixServers)
	}
	if x.tokens[9] != 10 || x.tokens[0] != 0 || len(x.tokens) != maxPrefixServers {
		t.Errorf("tokens %v, want 10 at each of the last servers", x.tokens)
	}
	used := start.Add(cacheRetention)
	x.record(used, one, cachedCopy{server: 9})
	later := used.Add(cacheRetention)
	if x.copies(later, 1) == nil {
		t.Error("a prefix that is used is forgotten")
	}
	if x.copies(later.Add(1), 1) != nil {
		t.Error("a prefix is expected in a cache long after its last use")
	}
	x.record(later.Add(1), Prefix{Hash: 2, Tokens: 5}, cachedCopy{server: 9})
	if x.prefix(1) != nil || x.tokens[9] != 5 {
		t.Errorf("tokens %v after a prefix has expired, want those of the other one", x.tokens)
	}
	for i := range uint64(maxPrefixes + 10) {
		x.record(later, Prefix{Hash: 100 + i, Tokens: 1}, cachedCopy{server: 3})
	}
	if len(x.byHash) != maxPrefixes || x.tokens[3] != maxPrefixes {
		t.Errorf("%d prefixes and %d tokens are recorded, want %d", len(x.byHash), x.tokens[3], maxPrefixes)
	}
}

// Guards against routers that choose different homes because they know the servers in
// different orders.
func TestHomesDoNotDependOnTheOrderOfServers(t *testing.T) {
	a, b := pool(9), NewPool(limits)
	list := servers(9)
	slices.Reverse(list)
	b.SetServers(list)
	for i := range 20 {
		if x, y := pick(t, a, start, large(i)), pick(t, b, start, large(i)); x.Server.ID != y.Server.ID {
			t.Errorf("homes %s and %s of one prefix", x.Server.ID, y.Server.ID)
		}
	}
}
