package model

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a policy that admits above the bound in the model, where the
// bound is recomputed from the model's own loads.
func TestNoBoundViolations(t *testing.T) {
	for _, p := range Policies() {
		opts := Defaults(1.25)
		opts.Warmup, opts.Duration = time.Minute, 2*time.Minute
		opts.Picker = p.New
		r := Run(opts)
		if p.Bounded && r.Violations > 0 {
			t.Errorf("%s: %d admissions above the bound", p.Name, r.Violations)
		}
		if r.Granted == 0 || r.Refused > 0 {
			t.Errorf("%s: %d granted, %d refused", p.Name, r.Granted, r.Refused)
		}
	}
}

// Guards against a bound check in the model that detects no violation.
func TestBoundCheckDetectsViolations(t *testing.T) {
	opts := Defaults(1.25)
	opts.Warmup, opts.Duration = time.Minute, time.Minute
	for _, p := range Policies() {
		if p.Name == "plain_hash_unbounded" {
			opts.Picker = p.New
		}
	}
	if Run(opts).Violations == 0 {
		t.Fatal("an unbounded policy shows no violation")
	}
}

// BenchmarkModel reports the model's figures for each policy. The time per
// operation is that of a whole simulated run and its run with the oracle.
func BenchmarkModel(b *testing.B) {
	for _, multiple := range []float64{1.25, 1.5} {
		for _, p := range Policies() {
			b.Run(fmt.Sprintf("multiple=%v/%s", multiple, p.Name), func(b *testing.B) {
				var c Comparison
				for range b.N {
					c = Compare(Defaults(multiple), p)
				}
				b.ReportMetric(c.OracleShare, "oracle-share")
				b.ReportMetric(c.SkewP99, "skew-p99")
				b.ReportMetric(c.MeanLoad, "mean-load")
				b.ReportMetric(float64(c.Violations), "violations")
				b.ReportMetric(float64(c.FirstToken.Milliseconds()), "first-token-ms")
			})
		}
	}
}

// BenchmarkCaches reports the effect of cache events, of a known cache size and
// of KV cache moves on the prefix index.
func BenchmarkCaches(b *testing.B) {
	hints := func(interval time.Duration, perRead int, dropEvery uint64) func(*Options) {
		return func(o *Options) {
			o.Hints = &Hints{Interval: interval, Lag: min(interval/2, 5*time.Second), EventsPerRead: perRead, DropEvery: dropEvery}
		}
	}
	moves := func(interval time.Duration, perMinute int) func(*Options) {
		return func(o *Options) { o.ReplaceInterval, o.MovesPerMinute, o.CapacityKnown = interval, perMinute, true }
	}
	for name, change := range map[string]func(*Options){
		"known": func(o *Options) { o.CapacityKnown = true }, "unknown": func(*Options) {},
		"events/2s": hints(2*time.Second, 0, 0), "events/30s": hints(30*time.Second, 0, 0),
		"events/30s_gaps": hints(30*time.Second, 0, 10), "events/30s_8": hints(30*time.Second, 8, 0),
		"moves/2m/30": moves(2*time.Minute, 30), "moves/2m/300": moves(2*time.Minute, 300),
		"moves/30s/0": moves(30*time.Second, 0), "moves/30s/30": moves(30*time.Second, 30), "moves/30s/300": moves(30*time.Second, 300),
	} {
		for _, tokens := range []int{300_000, 60_000} {
			b.Run(fmt.Sprintf("%s/cache=%d", name, tokens), func(b *testing.B) {
				opts := Defaults(1.25)
				opts.HomeWait, opts.CacheTokens, opts.CapacityKnown = 20*time.Millisecond, tokens, false
				change(&opts)
				var c Comparison
				for range b.N {
					c = Compare(opts, Policies()[0])
				}
				b.ReportMetric(c.OracleShare, "oracle-share")
				b.ReportMetric(c.CacheHitRatio(), "hit-share")
				b.ReportMetric(float64(c.HintBytes)/opts.Duration.Seconds(), "control-B/s")
				b.ReportMetric(float64(c.Violations), "violations")
			})
		}
	}
}
