package meter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed" // fixed seed
)

// Guards against a limiter that allows a less important category while it refuses a
// more important one, or allows more than the budget.
func TestLimiterShedsByImportance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMilli(1e12)
		now := start
		l := NewLimiter(start, DefaultBytesPerSecond, DefaultBurstBytes)
		sentBytes := 0
		for range rapid.IntRange(1, 200).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, 1000).Draw(t, "bytes")
			refused := false
			for _, c := range Categories() {
				copied := &Limiter{rate: l.rate, burst: l.burst, tokens: l.tokens, refilledAt: l.refilledAt}
				ok := copied.Allow(now, c, n)
				if ok && refused {
					t.Fatalf("%v is allowed although a more important category is refused", c)
				}
				refused = refused || !ok
			}
			c := Category(rapid.IntRange(0, int(numCategories)-1).Draw(t, "category"))
			if l.Allow(now, c, n) {
				sentBytes += n
			}
		}
		budget := DefaultBurstBytes*(1+maxDebtBursts) + int(now.Sub(start).Seconds()*DefaultBytesPerSecond) + 1
		if sentBytes > budget {
			t.Fatalf("%d bytes were allowed, budget %d", sentBytes, budget)
		}
	})
}

// Guards against claims that are refused because of much other traffic, a large
// message that is never allowed, and an overdraft without a bound.
func TestLimiterEdgeCases(t *testing.T) {
	now := time.UnixMilli(1e12)
	l := NewLimiter(now, DefaultBytesPerSecond, DefaultBurstBytes)
	for l.Allow(now, Config, 100) {
	}
	claims := func() (n int) {
		for n < 1000 && l.Allow(now, Claim, 150) {
			n++
		}
		return n
	}
	if l.Allow(now, Probe, 1) {
		t.Error("a probe is allowed with an empty bucket")
	}
	if n := claims(); n < 2*DefaultBurstBytes/150 || n == 1000 {
		t.Errorf("%d claims were allowed with an empty bucket, want at least those of 2 bursts and fewer than 1000", n)
	}
	if l.RefusedByCategory()["probe"] != 1 {
		t.Errorf("refusals %v, want one probe", l.RefusedByCategory())
	}
	now = now.Add(time.Minute)
	if !l.Allow(now, LogRead, 10*DefaultBurstBytes) || l.Allow(now, Heartbeat, 1) {
		t.Error("a large message must be allowed with a full bucket, and a heartbeat after it refused")
	}
	l.Charge(now, 1<<30)
	if n := claims(); n != DefaultBurstBytes/150 {
		t.Errorf("%d claims were allowed after a large message, want those of one burst", n)
	}
}

// Guards against rates that are computed over the wrong window, and against a
// history without a bound.
func TestRates(t *testing.T) {
	m := &Meter{}
	s := NewSampler(m)
	now := time.UnixMilli(1e12)
	for i := range 2 * maxSamples {
		s.Sample(now)
		now = now.Add(time.Second)
		m.Add(Claim, 100)
		if i >= 2*maxSamples-11 {
			m.Add(Claim, 200)
		}
	}
	if got := s.Rates(10 * time.Second)["claim"]; got != 300 {
		t.Errorf("last 10 s: %v B/s, want 300", got)
	}
	if got := s.Rates(100 * time.Second)["claim"]; got != 120 {
		t.Errorf("last 100 s: %v B/s, want 120", got)
	}
	if len(s.samples) != maxSamples || len(NewSampler(m).Rates(time.Second)) != 0 {
		t.Error("the history is not bounded, or there are rates without samples")
	}
}
