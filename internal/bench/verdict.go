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

// Targets of today, see docs/design.md.
const (
	maxControlBytes  = 1500.0
	maxSurgeRatio    = 1.5
	maxRelayMs       = 2.0
	minOracleRatio   = 0.95
	maxLeaveSeconds  = 3.0
	maxConfigSeconds = 3.0
)

// Verdicts judges the figures of the fleet's policy.
func Verdicts(f *Figures) []Verdict {
	return []Verdict{
		judge("skew_p99", f.SkewP99, "<=", f.LoadMultiple),
		none("skew_violations", f.SkewViolations),
		judge("cache_hit_ratio / oracle_cache_hit_ratio", ratio(f.CacheHitRatio, f.OracleCacheHitRatio), ">=", minOracleRatio),
		judge("control_bytes_per_second_max", &f.ControlBytesPerSecondMax, "<", maxControlBytes),
		judge("lookup_p95_surge_ms / lookup_p95_calm_ms", ratio(f.LookupP95SurgeMs, f.LookupP95CalmMs), "<=", maxSurgeRatio),
		judge("relay_overhead_ms_p99", f.RelayOverheadMsP99, "<=", maxRelayMs),
		none("lost", f.Lost),
		none("crossed", f.Crossed),
		none("duplicated", f.Duplicated),
		none("false_not_run", f.FalseNotRun),
		none("config_reversions", f.ConfigReversions),
		none("streams_cut", f.StreamsCut),
		judge("leave_to_last_new_work_seconds", f.LeaveToLastNewWorkSeconds, "<=", maxLeaveSeconds),
		judge("config_in_force_seconds_max", f.ConfigInForceSecondsMax, "<=", maxConfigSeconds),
	}
}

func none(target string, n int) Verdict {
	v := float64(n)
	return judge(target, &v, "<=", 0)
}

func ratio(a, b *float64) *float64 {
	if a == nil || b == nil || *b == 0 {
		return nil
	}
	v := *a / *b
	return &v
}

func judge(target string, value *float64, relation string, bound float64) Verdict {
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
