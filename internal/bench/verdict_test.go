package bench

import "testing"

func pointer(v float64) *float64 { return &v }

// figuresAtTargets returns figures that meet every target exactly or closely.
func figuresAtTargets() *Figures {
	return &Figures{
		CacheHitRatio: pointer(0.76), OracleCacheHitRatio: pointer(0.8), SkewP99: pointer(1.25), LoadMultiple: 1.25,
		ControlBytesPerSecondMax: 1499, LookupP95CalmMs: pointer(100), LookupP95SurgeMs: pointer(150),
		RelayOverheadMsP99: pointer(2), LeaveToLastNewWorkSeconds: pointer(3), ConfigInForceSecondsMax: pointer(3),
	}
}

// Guards against a missed target that is not reported, and against a bound that
// differs from the target's.
func TestVerdicts(t *testing.T) {
	for _, v := range Verdicts(figuresAtTargets()) {
		if v.State != Held {
			t.Errorf("%s: %s at the bound, want held", v.Target, v.State)
		}
	}
	misses := map[string]func(f *Figures){
		"skew_p99":        func(f *Figures) { f.SkewP99 = pointer(1.251) },
		"skew_violations": func(f *Figures) { f.SkewViolations = 1 },
		"cache_hit_ratio / oracle_cache_hit_ratio": func(f *Figures) { f.CacheHitRatio = pointer(0.75) },
		"control_bytes_per_second_max":             func(f *Figures) { f.ControlBytesPerSecondMax = 1500 },
		"lookup_p95_surge_ms / lookup_p95_calm_ms": func(f *Figures) { f.LookupP95SurgeMs = pointer(151) },
		"relay_overhead_ms_p99":                    func(f *Figures) { f.RelayOverheadMsP99 = pointer(2.01) },
		"lost":                                     func(f *Figures) { f.Lost = 1 },
		"crossed":                                  func(f *Figures) { f.Crossed = 1 },
		"duplicated":                               func(f *Figures) { f.Duplicated = 1 },
		"false_not_run":                            func(f *Figures) { f.FalseNotRun = 1 },
		"config_reversions":                        func(f *Figures) { f.ConfigReversions = 1 },
		"streams_cut":                              func(f *Figures) { f.StreamsCut = 1 },
		"leave_to_last_new_work_seconds":           func(f *Figures) { f.LeaveToLastNewWorkSeconds = pointer(3.1) },
		"config_in_force_seconds_max":              func(f *Figures) { f.ConfigInForceSecondsMax = pointer(3.1) },
	}
	for target, miss := range misses {
		f := figuresAtTargets()
		miss(f)
		list := Verdicts(f)
		for _, v := range list {
			if (v.State == Missed) != (v.Target == target) {
				t.Errorf("with %s missed, the verdict on %s is %s", target, v.Target, v.State)
			}
		}
		if !AnyMissed(list) {
			t.Errorf("%s: no miss reported", target)
		}
	}
	if n := len(Verdicts(figuresAtTargets())); n != len(misses) {
		t.Errorf("%d targets, %d tested; want all tested", n, len(misses))
	}
}

// Guards against a figure that was not measured and counts as held.
func TestVerdictsNotMeasured(t *testing.T) {
	f := figuresAtTargets()
	f.OracleCacheHitRatio, f.SkewP99 = nil, nil
	n := 0
	for _, v := range Verdicts(f) {
		if v.State == NotMeasured {
			n++
		}
	}
	if n != 2 {
		t.Errorf("%d targets are not measured, want 2", n)
	}
}

// Guards against an oracle that is reported as a policy, or whose cache hit ratio
// is missing in the figures of the others.
func TestFinalize(t *testing.T) {
	r := &Report{Policies: map[string]*Figures{
		PolicyFleet: {CacheHitRatio: pointer(0.5)}, PolicyOracle: {CacheHitRatio: pointer(0.6)}, "plain_hash": {},
	}}
	r.finalize()
	if r.Policies[PolicyOracle] != nil || *r.Policies["plain_hash"].OracleCacheHitRatio != 0.6 || len(r.Verdicts) == 0 {
		t.Errorf("got %+v, want verdicts, no oracle among the policies, and its ratio in plain_hash", r)
	}
}
