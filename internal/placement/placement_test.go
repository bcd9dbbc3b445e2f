package placement

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed" // fixed seed
)

var now = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("node-%d", i)
	}
	return list
}

// Guards against a hash that moves keys between the remaining nodes when a node
// leaves, and against weights that do not set the share of keys.
func TestRankStabilityAndWeights(t *testing.T) {
	all := names(8)
	weights := []float64{3, 1, 1, 1, 1, 1, 1, 1}
	heavy := 0
	const keys = 20000
	for k := range keys {
		key := Hash(fmt.Sprint("key", k))
		order := Rank(key, all, weights, 8)
		if len(order) != 8 {
			t.Fatalf("got %d ranks, want 8", len(order))
		}
		less := Rank(key, all[1:], weights[1:], 1)
		want := order[0]
		if want == 0 {
			heavy++
			want = order[1]
		}
		if less[0]+1 != want {
			t.Fatalf("key %d moved from %d to %d when another node left", k, want, less[0]+1)
		}
	}
	if share := float64(heavy) / keys; math.Abs(share-0.3) > 0.02 {
		t.Fatalf("a node with 3 of 10 weights got %.3f of the keys, want 0.3", share)
	}
	if got := Rank(1, all, []float64{0, 0, 1, 0, 0, 0, 0, 0}, 3); len(got) != 1 || got[0] != 2 {
		t.Fatalf("nodes without weight were ranked: %v", got)
	}
}

// Guards against tokens that are accepted after a change of any character, for
// another workspace or chat, with another key or when expired.
func TestTokenVerification(t *testing.T) {
	oldKey, newKey := bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)
	before, _ := NewTokenSigner(time.Hour, oldKey)
	after, _ := NewTokenSigner(time.Hour, newKey, oldKey)
	long := strings.Repeat("e", maxTokenEngineBytes)
	rapid.Check(t, func(t *rapid.T) {
		engine := rapid.SampledFrom([]string{"e", "engine-17", long}).Draw(t, "engine")
		token := before.Sign(now, "ws", "chat", engine, "boot")
		if token == "" || len(token) >= 120 {
			t.Fatalf("token has %d characters, want 1 to 119", len(token))
		}
		hint, err := after.Verify(now.Add(time.Minute), "ws", "chat", token)
		if err != nil || hint.Engine != engine || hint.BootHash != Hash("boot") {
			t.Fatalf("got hint %+v, %v; want the signed engine and boot", hint, err)
		}
		changed := []byte(token)
		at := rapid.IntRange(0, len(changed)-1).Draw(t, "at")
		changed[at] = rapid.SampledFrom([]byte("ABCxyz019-_=.")).Draw(t, "byte")
		if _, err := after.Verify(now, "ws", "chat", string(changed)); err == nil && string(changed) != token {
			t.Fatal("a changed token was accepted")
		}
	})
	token := before.Sign(now, "ws", "chat", "e", "boot")
	for _, c := range []struct {
		at       time.Time
		ws, chat string
		want     error
	}{
		{now, "other", "chat", ErrTokenForged},
		{now, "w2", "chat", ErrTokenForged},
		{now, "ws", "other", ErrTokenForged},
		{now, "wsc", "hat", ErrTokenForged},
		{now.Add(time.Hour + 2*time.Second), "ws", "chat", ErrTokenExpired},
		{now.Add(-2 * time.Minute), "ws", "chat", ErrTokenExpired},
	} {
		if _, err := before.Verify(c.at, c.ws, c.chat, token); !errors.Is(err, c.want) {
			t.Errorf("%+v: got error %v", c, err)
		}
	}
	third, _ := NewTokenSigner(time.Hour, bytes.Repeat([]byte{3}, 32))
	if _, err := third.Verify(now, "ws", "chat", token); !errors.Is(err, ErrTokenForged) {
		t.Errorf("another fleet's key: got %v, want ErrTokenForged", err)
	}
	if before.Sign(now, "ws", "chat", long+"e", "b") != "" {
		t.Error("a token over the size limit was issued")
	}
}

// indexModel is a simple version of the index for the property test.
type indexModel struct {
	order    []uint64
	holders  map[uint64]map[int][2]int
	inserted map[int]int
}

// Guards against an index that exceeds its bound, drops the wrong chat or
// returns engines whose entries were dropped, evicted or never stored.
func TestPrefixIndexModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, capacity = 4, 1600
		x := NewPrefixIndex(limit)
		m := indexModel{holders: map[uint64]map[int][2]int{}, inserted: map[int]int{}}
		for e := range 3 {
			x.SetCapacity(e, capacity)
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := uint64(rapid.IntRange(1, 6).Draw(t, "key"))
			e := rapid.IntRange(0, 2).Draw(t, "engine")
			inserted := 16 * rapid.IntRange(1, 40).Draw(t, "inserted")
			// The step makes lengths unique, so that the shortest is, too.
			tokens := 64*inserted + step
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				x.DropEngine(e)
				m.inserted[e] = 0
				for _, h := range m.holders {
					delete(h, e)
				}
			case 1:
				x.RecordEviction(key, e, 0)
				delete(m.holders[key], e)
			default:
				x.RecordUse(key, e, tokens, inserted)
				m.recordUse(key, e, tokens, inserted, limit, capacity)
			}
			m.check(t, x, capacity, limit)
		}
	})
}

func (m *indexModel) recordUse(key uint64, e, tokens, inserted, limit, capacity int) {
	m.inserted[e] += inserted
	for i, k := range m.order {
		if k == key {
			m.order = append(m.order[:i], m.order[i+1:]...)
			break
		}
	}
	m.order = append(m.order, key)
	if len(m.order) > limit {
		delete(m.holders, m.order[0])
		m.order = m.order[1:]
	}
	if m.holders[key] == nil {
		m.holders[key] = map[int][2]int{}
	}
	chatHolders := m.holders[key]
	delete(chatHolders, e)
	shortest := -1
	for i, h := range chatHolders {
		if m.inserted[i]-h[1] > capacity {
			delete(chatHolders, i)
		} else if shortest < 0 || h[0] < chatHolders[shortest][0] {
			shortest = i
		}
	}
	if len(chatHolders) == 2 {
		delete(chatHolders, shortest)
	}
	chatHolders[e] = [2]int{tokens, m.inserted[e]}
}

func (m *indexModel) check(t *rapid.T, x *PrefixIndex, capacity, limit int) {
	if x.Len() > limit || x.Len() != len(m.order) {
		t.Fatalf("index holds %d chats, want %d", x.Len(), len(m.order))
	}
	for key := uint64(1); key <= 6; key++ {
		got := x.Lookup(key, nil)
		if len(got) > 2 || len(got) == 2 && got[0].Tokens < got[1].Tokens {
			t.Fatalf("holders of %d are %v, want at most 2, that with more tokens first", key, got)
		}
		valid := 0
		for e, h := range m.holders[key] {
			if m.inserted[e]-h[1] <= capacity {
				valid++
			}
		}
		if len(got) != valid {
			t.Fatalf("chat %d has holders %v, want %v", key, got, m.holders[key])
		}
		for _, p := range got {
			h, ok := m.holders[key][p.Engine]
			if !ok || h[0] != p.Tokens || m.inserted[p.Engine]-h[1] > capacity {
				t.Fatalf("holder %v of chat %d is not valid: %v", p, key, m.holders[key])
			}
		}
	}
}

// Guards against an entry that grows until a full index exceeds 32 MB.
func TestPrefixIndexMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := NewPrefixIndex(0)
	for k := range uint64(DefaultPrefixChats + 1000) {
		x.RecordUse(Mix(k, 7), int(k%18), 1000, 100)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d chats use %.1f MB", x.Len(), float64(used)/1e6)
	if x.Len() != DefaultPrefixChats || used > 32e6 {
		t.Fatalf("%d chats use %d bytes, want the default number in at most 32 MB", x.Len(), used)
	}
}

// drawView returns a view with random loads that add up to its slots.
func drawView(t *rapid.T) *View {
	v := &View{
		LoadMultiple: 1 + float64(rapid.IntRange(0, 8).Draw(t, "multiple"))/8,
		MaxInFlight:  rapid.IntRange(0, 8).Draw(t, "max"),
		Share:        1,
	}
	for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
		e := Engine{
			Name: fmt.Sprint(i), Hash: Hash(fmt.Sprint(i)), State: Up,
			Weight: float64(rapid.IntRange(1, 5).Draw(t, "weight")),
			Load:   rapid.IntRange(0, 12).Draw(t, "load"),
		}
		if rapid.IntRange(0, 3).Draw(t, "damped") == 0 {
			e.State = Damped
		}
		v.Slots += e.Load
		v.Engines = append(v.Engines, e)
	}
	v.UpdateTotals()
	return v
}

// Guards against a bound or a soft cap that blocks admission although some
// engine is below its absolute limit, and against a pick above the bound.
func TestSomeEngineIsAdmissible(t *testing.T) {
	pickers := []Picker{
		NewAffinity(DefaultTuning()), NewRoundRobin(), NewLeastLoadReported(),
		NewTwoChoicesReported(func() uint64 { return 3 }), NewPlainHash(),
	}
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		full := true
		for i := range v.Engines {
			full = full && v.MaxInFlight > 0 && v.Engines[i].Load >= v.MaxInFlight
		}
		bounded := true
		for i := range v.Engines {
			bounded = bounded && v.Engines[i].Load >= v.Bound(v.Engines[i].Weight)
		}
		if bounded {
			t.Fatal("every engine is at the bound")
		}
		v.MaxInFlight *= rapid.IntRange(0, 1).Draw(t, "limited")
		for _, p := range pickers {
			c := p.Pick(v, &Job{Key: rapid.Uint64().Draw(t, "key"), HintedEngine: rapid.IntRange(-1, 12).Draw(t, "hint")})
			if c.Action == Place && v.Engines[c.Engine].Load >= v.Limit(c.Engine) {
				t.Fatalf("%s placed above the limit", p.Name())
			}
			if c.Action == None && v.MaxInFlight == 0 {
				t.Fatalf("%s found no engine", p.Name())
			}
			if c.Action == None && v.Uniform && !full {
				t.Fatalf("%s found no engine although one is below max_in_flight", p.Name())
			}
			if c.Action == Place && full && v.MaxInFlight > 0 {
				t.Fatalf("%s placed on a full engine", p.Name())
			}
		}
	})
}

// Guards against rules of the policy that are applied in the wrong order.
func TestAffinityRules(t *testing.T) {
	base := func() (*View, *Job) {
		v := &View{LoadMultiple: 1.5, Share: 1, HomeWait: time.Second}
		for i := range 6 {
			v.Engines = append(v.Engines, Engine{Name: fmt.Sprint(i), Hash: Hash(fmt.Sprint(i)), Weight: 1,
				State: Up, Load: 8, MeanServiceTime: 2 * time.Second})
		}
		v.Slots = 48
		v.UpdateTotals()
		return v, &Job{Key: 5, HintedEngine: -1}
	}
	a := NewAffinity(DefaultTuning())
	v, j := base()
	homes, _ := topHomes(v, j)
	v.Engines[homes[0]].Load = 6
	if c := a.Pick(v, j); c.Engine != homes[0] || c.Reason != ByHome {
		t.Errorf("new chat: got %+v, want its home %d", c, homes[0])
	}
	v.Engines[homes[0]].State = Damped
	v.Engines[homes[1]].Load = 7
	if c := a.Pick(v, j); c.Engine != homes[1] || c.Reason != ByHome {
		t.Errorf("damped home: got %+v, want %d", c, homes[1])
	}
	j.HintedEngine = homes[3]
	if c := a.Pick(v, j); c.Engine != homes[3] || c.Reason != ByToken {
		t.Errorf("hint: got %+v, want %d", c, homes[3])
	}
	j.PrefixHolders = []PrefixHolder{{Engine: homes[2], Tokens: 5000}, {Engine: homes[1], Tokens: 10}}
	if c := a.Pick(v, j); c.Engine != homes[2] || c.Reason != ByPrefix {
		t.Errorf("prefix: got %+v, want %d", c, homes[2])
	}
	j.PrefixHolders = j.PrefixHolders[:1]
	v.Engines[homes[2]].Load = 12
	if c := a.Pick(v, j); c.Action != Wait || c.Engine != homes[2] {
		t.Errorf("full holder: got %+v, want a wait for %d", c, homes[2])
	}
	j.Waited = time.Second
	if c := a.Pick(v, j); c.Action != Place || c.Engine != homes[3] {
		t.Errorf("after the wait: got %+v, want %d", c, homes[3])
	}
	j.Exclude = []int{0, 1, 2, 3, 4, 5}
	if c := a.Pick(v, j); c.Action != None {
		t.Errorf("all excluded: got %+v, want no engine", c)
	}
}

// Guards against a gap in the cache events that removes more holders than the
// lost events can affect: other engines and chats used later keep their holders.
func TestDropOldest(t *testing.T) {
	x := NewPrefixIndex(0)
	for key := uint64(1); key <= 4; key++ {
		x.RecordUse(key, 0, 100, 100)
		x.RecordUse(key, 1, 100, 100)
	}
	x.RecordUse(1, 0, 120, 20)
	x.DropOldest(0, 2)
	for key, want := range map[uint64]int{1: 2, 2: 1, 3: 1, 4: 2} {
		found := x.Lookup(key, nil)
		if len(found) != want || found[len(found)-1].Engine == 0 && want == 1 {
			t.Errorf("chat %d has the holders %+v, want %d", key, found, want)
		}
	}
}
