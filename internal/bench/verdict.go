package bench

// States of a target.
const (
	Held        = "held"
	Missed      = "missed"
	NotMeasured = "not measured"
)

// Verdict compares one figure of the fleet's policy with its target.
type Verdict struct {
	Target string `json:"target"`
	// Value is null when the figure was not measured.
	Value *float64 `json:"value"`
	// Relation is <=, >= or <.
	Relation string  `json:"relation"`
	Bound    float64 `json:"bound"`
	State    string  `json:"state"`
}

// Bounds of the targets, see docs/design.md.
const (
	maxControlBytes    = 1500.0
	maxSurgeRatio      = 1.5
	maxRelayOverheadMs = 2.0
	minShareOfOracle   = 0.95
	maxLeaveSeconds    = 3.0
	maxConfigSeconds   = 3.0
)

// Verdicts compares the figures of the fleet's policy with the targets.
func Verdicts(f *Figures) []Verdict {
	return []Verdict{
		newVerdict("skew_p99", f.SkewP99, "<=", f.LoadMultiple),
		expectZero("skew_violations", f.SkewViolations),
		newVerdict("cache_hit_ratio / oracle_cache_hit_ratio", ratio(f.CacheHitRatio, f.OracleCacheHitRatio), ">=", minShareOfOracle),
		newVerdict("control_bytes_per_second_max", &f.ControlBytesPerSecondMax, "<", maxControlBytes),
		newVerdict("lookup_p95_surge_ms / lookup_p95_calm_ms", ratio(f.LookupP95SurgeMs, f.LookupP95CalmMs), "<=", maxSurgeRatio),
		newVerdict("relay_overhead_ms_p99", f.RelayOverheadMsP99, "<=", maxRelayOverheadMs),
		expectZero("lost", f.Lost),
		expectZero("crossed", f.Crossed),
		expectZero("duplicated", f.Duplicated),
		expectZero("false_not_run", f.FalseNotRun),
		expectZero("config_reversions", f.ConfigReversions),
		expectZero("streams_cut", f.StreamsCut),
		newVerdict("leave_to_last_new_work_seconds", f.LeaveToLastNewWorkSeconds, "<=", maxLeaveSeconds),
		newVerdict("config_in_force_seconds_max", f.ConfigInForceSecondsMax, "<=", maxConfigSeconds),
	}
}

func expectZero(target string, n int) Verdict {
	v := float64(n)
	return newVerdict(target, &v, "<=", 0)
}

func ratio(a, b *float64) *float64 {
	if a == nil || b == nil || *b == 0 {
		return nil
	}
	v := *a / *b
	return &v
}

func newVerdict(target string, value *float64, relation string, bound float64) Verdict {
	v := Verdict{Target: target, Value: value, Relation: relation, Bound: bound, State: Missed}
	switch {
	case value == nil:
		v.State = NotMeasured
	case relation == "<=" && *value <= bound, relation == ">=" && *value >= bound, relation == "<" && *value < bound:
		v.State = Held
	}
	return v
}

// AnyMissed reports whether a target was missed.
func AnyMissed(list []Verdict) bool {
	for _, v := range list {
		if v.State == Missed {
			return true
		}
	}
	return false
}
