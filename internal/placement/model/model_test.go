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
		opt := Defaults(1.25)
		opt.Warmup, opt.Duration = time.Minute, 2*time.Minute
		opt.Picker = p.New
		r := Run(opt)
		if p.Bounded && r.Violations > 0 {
			t.Errorf("%s: %d admissions above the bound", p.Name, r.Violations)
		}
		if r.Granted == 0 || r.Refused > 0 {
			t.Errorf("%s: %d granted, %d refused", p.Name, r.Granted, r.Refused)
		}
	}
}

// Guards against a checker in the model that cannot see a violation.
func TestCheckerSeesViolations(t *testing.T) {
	opt := Defaults(1.25)
	opt.Warmup, opt.Duration = time.Minute, time.Minute
	for _, p := range Policies() {
		if p.Name == "plain_hash_unbounded" {
			opt.Picker = p.New
		}
	}
	if Run(opt).Violations == 0 {
		t.Fatal("an unbounded policy shows no violation")
	}
}

// BenchmarkModel reports the model's figures for each policy; its time for
// each operation is that of a whole simulated run.
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

// BenchmarkHints reports what cache events and the known cache size add to the
// prefix index, with caches that hold most chats and with small ones.
func BenchmarkHints(b *testing.B) {
	slow := Hints{Every: 30 * time.Second, Lag: 5 * time.Second}
	few := slow
	few.PerRead = 8
	gaps := slow
	gaps.GapEvery = 10
	for _, tokens := range []int{300_000, 60_000} {
		for _, v := range []struct {
			name  string
			known bool
			hints *Hints
		}{
			{"known", true, nil},
			{"unknown", false, nil},
			{"unknown_every_2s", false, &Hints{Every: 2 * time.Second, Lag: time.Second}},
			{"unknown_every_30s", false, &slow},
			{"unknown_every_30s_gaps", false, &gaps},
			{"unknown_every_30s_8_events", false, &few},
		} {
			b.Run(fmt.Sprintf("cache=%d/%s", tokens, v.name), func(b *testing.B) {
				opt := Defaults(1.25)
				opt.HomeWait = 20 * time.Millisecond
				opt.CacheTokens, opt.CapacityKnown, opt.Hints = tokens, v.known, v.hints
				var c Comparison
				for range b.N {
					c = Compare(opt, Policies()[0])
				}
				b.ReportMetric(c.OracleShare, "oracle-share")
				b.ReportMetric(float64(c.HintBytes)/opt.Duration.Seconds(), "control-B/s")
			})
		}
	}
}

// BenchmarkMoves reports what KV cache moves away from leaving engines add,
// with an engine replaced every two minutes and every 30 seconds.
func BenchmarkMoves(b *testing.B) {
	for _, every := range []time.Duration{2 * time.Minute, 30 * time.Second} {
		for _, perMinute := range []int{0, 30, 60, 300} {
			b.Run(fmt.Sprintf("replace=%s/moves=%d", every, perMinute), func(b *testing.B) {
				opt := Defaults(1.25)
				opt.HomeWait = 20 * time.Millisecond
				opt.ReplaceEvery, opt.MovesPerMinute = every, perMinute
				opt.Picker = Policies()[0].New
				var r Report
				for range b.N {
					r = Run(opt)
				}
				b.ReportMetric(r.HitShare(), "hit-share")
				b.ReportMetric(float64(r.Moves), "moves")
				b.ReportMetric(r.SkewP99, "skew-p99")
				b.ReportMetric(float64(r.Violations), "violations")
			})
		}
	}
}
