package cachehint

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// sink counts what the reader passes on.
type sink struct {
	hints map[uint64]bool
	lost  int
}

func (s *sink) ApplyCacheEvent(ev admission.CacheEvent) { s.hints[ev.Key] = true }
func (s *sink) ApplyCacheGap(_, _ string, lost int)     { s.lost += lost }

const (
	testChats = 60
	testRate  = 500
)

// readAll reads the events of one engine for ten minutes of a fake clock. A
// broken engine refuses connections.
func readAll(t *testing.T, gapEvery int, broken bool) (s *sink, bytes int64, elapsed time.Duration) {
	t.Helper()
	ctx := t.Context()
	e := enginesim.New(enginesim.Config{Name: "e", DropCacheEventEvery: gapEvery})
	defer e.Close()
	addr, err := e.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var m meter.Meter
	client := engineclient.New(engineclient.Options{BaseURL: "http://" + addr, Meter: &m})
	for i := range testChats {
		blob := fmt.Sprintf(`{"prefix_key":"registrar-desk/%036d","tokens":100}`, i)
		if _, err := client.ImportKV(ctx, []byte(blob)); err != nil {
			t.Fatal(err)
		}
	}
	client.Close()
	if err := e.SetRefuseConnections(broken); err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewFakeClock()
	s = &sink{hints: map[uint64]bool{}}
	r := NewReader(Deps{Clock: clock, Pool: s, Events: event.Nop(), Engine: func(string) Source { return client }})
	defer r.Close()
	start := clock.Now()
	r.SetEngines([]string{"e"}, testRate)
	for clock.Now().Sub(start) < 10*time.Minute {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Second)
	}
	r.Close()
	return s, m.Totals()[meter.CacheEvents.String()], clock.Now().Sub(start)
}

// Guards against events that are not passed on, gaps that are not detected, and
// reads that cost more control bytes than the pool allows, also from an engine
// that refuses connections.
func TestReaderStaysWithinBudget(t *testing.T) {
	for _, c := range []struct {
		name             string
		gap, hints, lost int
		broken           bool
	}{
		{"all events", 0, testChats, 0, false},
		{"one of seven lost", 7, testChats - testChats/7, testChats / 7, false},
		{"engine refuses", 0, 0, 0, true},
	} {
		s, bytes, elapsed := readAll(t, c.gap, c.broken)
		t.Logf("%s: %d control bytes in %s", c.name, bytes, elapsed)
		if limit := int64(testRate * elapsed.Seconds()); bytes > limit || len(s.hints) != c.hints || s.lost != c.lost {
			t.Errorf("%s: %d of at most %d bytes, %d hints and %d lost events", c.name, bytes, limit, len(s.hints), s.lost)
		}
	}
}

// Guards against a rate of 0 that still reads, and against a burst after a
// long pause that exceeds a minute of the budget.
func TestBudget(t *testing.T) {
	var b Budget
	now := time.Unix(0, 0)
	b.SetRate(now, 0)
	if n, readyAt := b.NextRead(now.Add(time.Hour)); n != 0 || !readyAt.IsZero() {
		t.Fatalf("rate 0 gives %d events, ready at %s; want none and no time", n, readyAt)
	}
	b.SetRate(now.Add(time.Hour), testRate)
	now = now.Add(3 * time.Hour)
	total := 0.0
	for n, _ := b.NextRead(now); n > 0; n, _ = b.NextRead(now) {
		b.Spend(n)
		total += estimateReadBytes(n)
	}
	if total > testRate*maxAccumulation.Seconds() {
		t.Fatalf("%.0f bytes at once, want at most those of the longest accumulation", total)
	}
	none, readyAt := b.NextRead(now)
	if some, _ := b.NextRead(readyAt); none != 0 || !readyAt.After(now) || some < minEvents {
		t.Fatalf("an empty budget gives %d events, and %d at the returned time %s", none, some, readyAt)
	}
}
