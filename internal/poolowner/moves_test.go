package poolowner

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// Guards against cache settings of the pool record that are not applied to the
// pool, against cache events that are read although the pool has no budget for
// them, and against moves and reads that continue after the pool was handed back.
func TestCacheSettings(t *testing.T) {
	e := enginesim.New(enginesim.Config{Name: "e"})
	defer e.Close()
	addr, err := e.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := engineclient.New(engineclient.Options{BaseURL: "http://" + addr})
	if _, err := client.ImportKV(t.Context(), []byte(`{"prefix_key":"w/chat","tokens":100}`)); err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewFakeClock()
	m := &meter.Meter{}
	s := New(Deps{Clock: clock, Meter: m, Rand: func() float64 { return 0 }})
	defer s.Kill()
	assign := func(tokens, server, bytes int, owned bool) {
		pool := &record.Pool{Name: "p", Type: record.PoolEngines, LoadMultiple: 1.5, CacheTokens: tokens, CacheEventBytes: bytes}
		s.Assign(clock.Now(), []Assignment{{
			Pool: pool, Owned: owned, ListedRouters: 1,
			Servers: []Server{{Name: "e", Addr: addr, State: placement.Up, Weight: 1, CacheTokens: server}},
		}})
	}
	for _, c := range []struct {
		tokens, server int
		want           int64
	}{{0, 0, 0}, {5000, 0, 5000}, {6000, 0, 6000}, {6000, 70, 70}} {
		assign(c.tokens, c.server, 0, true)
		if got := s.Stats()[0].Engines[0].CacheCapacity; got != c.want {
			t.Errorf("cache tokens %d in the record and %d of the server: got capacity %d", c.tokens, c.server, got)
		}
	}
	p := s.lookup("p")
	if p.moves.reader != nil {
		t.Error("cache events are read without a budget")
	}
	p.recordBootID(clock.Now(), "e", e.BootID())
	assign(6000, 0, 1000, true)
	for s.Stats()[0].IndexedChats == 0 {
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Second)
	}
	if m.Totals()[meter.CacheEvents.String()] == 0 {
		t.Error("the events were not counted as control traffic")
	}
	assign(6000, 0, 1000, false)
	if p.moves.reader != nil || p.moves.mover != nil {
		t.Error("moves or reads continue after the pool was handed back")
	}
}
