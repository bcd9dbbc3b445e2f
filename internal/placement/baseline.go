package placement

// baseline is a policy with which Affinity is compared. Baselines that use the
// load read it from the engines' reports, which lag. Each falls back to the
// least loaded engine when its choice is at the limit.
type baseline struct {
	name string
	pick func(v *View, j *Job) int
	// unbounded is set if the baseline ignores the limit.
	unbounded bool
}

func (b *baseline) Name() string {
	return b.name
}

func (b *baseline) Pick(v *View, j *Job) Choice {
	i := b.pick(v, j)
	if i < 0 {
		return leastLoaded(v, j, ByBaseline)
	}
	if b.unbounded || v.Engines[i].Load < v.Limit(i) {
		return Choice{Action: Place, Engine: i, Reason: ByBaseline}
	}
	return leastLoaded(v, j, ByBaseline)
}

// NewRoundRobin returns the baseline that chooses the live engines in turn.
func NewRoundRobin() Picker {
	next := 0
	return &baseline{name: "round_robin", pick: func(v *View, j *Job) int {
		for range v.Engines {
			i := next % len(v.Engines)
			next = i + 1
			if eligible(v, j, i) {
				return i
			}
		}
		return -1
	}}
}

// NewLeastLoadReported returns the baseline that chooses the engine with the
// lowest reported load.
func NewLeastLoadReported() Picker {
	return &baseline{name: "least_load_reported", pick: func(v *View, j *Job) int {
		best := -1
		for i := range v.Engines {
			if eligible(v, j, i) && (best < 0 || v.Engines[i].ReportedLoad < v.Engines[best].ReportedLoad) {
				best = i
			}
		}
		return best
	}}
}

// NewTwoChoicesReported returns the baseline that draws two random engines and
// chooses the one with the lower reported load. The random source returns 64
// bits.
func NewTwoChoicesReported(random func() uint64) Picker {
	return &baseline{name: "two_choices_reported", pick: func(v *View, j *Job) int {
		a := draw(v, j, random)
		b := draw(v, j, random)
		if a < 0 || v.Engines[a].ReportedLoad <= v.Engines[b].ReportedLoad {
			return a
		}
		return b
	}}
}

// NewPlainHash returns the baseline that chooses the rendezvous home.
func NewPlainHash() Picker {
	return &baseline{name: "plain_hash", pick: func(v *View, j *Job) int {
		homes, n := topHomes(v, j)
		if n > 0 {
			return homes[0]
		}
		return -1
	}}
}

// Unbounded returns a baseline without the limit, as a router without a pool
// owner would use it; other pickers are returned unchanged.
func Unbounded(p Picker) Picker {
	if b, ok := p.(*baseline); ok {
		return &baseline{name: b.name, pick: b.pick, unbounded: true}
	}
	return p
}

// eligible reports whether engine i accepts requests and is not excluded.
func eligible(v *View, j *Job, i int) bool {
	return v.Engines[i].State.Live() && !j.excludes(i)
}

// draw returns a random eligible engine, or -1.
func draw(v *View, j *Job, random func() uint64) int {
	n := uint64(len(v.Engines))
	if n == 0 {
		return -1
	}
	start := int(random() % n)
	for k := range v.Engines {
		i := (start + k) % len(v.Engines)
		if eligible(v, j, i) {
			return i
		}
	}
	return -1
}
