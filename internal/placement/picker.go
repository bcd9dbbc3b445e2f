package placement

import "time"

// Action is the decision of a picker.
type Action uint8

// Actions of a picker.
const (
	// None means that no engine may take the request now.
	None Action = iota
	// Place means that the engine takes the request now.
	Place
	// Wait means that the request waits for a slot of the engine.
	Wait
)

// Reason is the rule that made a choice.
type Reason uint8

// Reasons of a choice.
const (
	ByNone Reason = iota
	// ByPrefix means that the engine is expected to hold the prefix.
	ByPrefix
	// ByToken means that the placement token names the engine.
	ByToken
	// ByHome means that the engine is the best rendezvous choice.
	ByHome
	// BySecondHome means that the engine is the second rendezvous choice.
	BySecondHome
	// BySpill means that the engine is the least loaded of the first rendezvous
	// choices, after the two homes had no room.
	BySpill
	// ByLeastLoaded means that the engine is the least loaded one of the pool, after
	// no rendezvous choice had room.
	ByLeastLoaded
	// ByBaseline means that a baseline policy chose the engine.
	ByBaseline
	numReasons
)

var reasonNames = [numReasons]string{"none", "prefix", "token", "home", "second", "spill", "least", "baseline"}

// String returns the name used in status output.
func (r Reason) String() string {
	return reasonNames[r]
}

// NumReasons is the number of reasons.
const NumReasons = int(numReasons)

// Choice is the decision for one request.
type Choice struct {
	Action Action
	// Engine is the position of the engine; it is valid unless Action is None.
	Engine int
	Reason Reason
	// PrefixTokens is the number of tokens expected in the engine's cache.
	PrefixTokens int
}

// Job describes a request to a picker.
type Job struct {
	// Key is the rendezvous key: the chat, or a random number without a chat.
	Key uint64
	// PrefixHolders are the engines that may hold the prefix, longest prefix first.
	PrefixHolders []PrefixHolder
	// HintedEngine is the position of the engine named by a valid token, or -1.
	HintedEngine int
	// Exclude lists the positions of engines that must not be chosen.
	Exclude []int
	// Waited is the time spent waiting for a prefix holder.
	Waited time.Duration
}

func (j *Job) excludes(i int) bool {
	for _, x := range j.Exclude {
		if x == i {
			return true
		}
	}
	return false
}

// Picker chooses an engine. Implementations never place a request above
// View.Limit. They are not safe for concurrent use.
type Picker interface {
	// Name returns the name of the policy in reports.
	Name() string
	// Pick chooses the engine of a job.
	Pick(v *View, j *Job) Choice
}

// Tuning sets the margins of the Affinity policy.
type Tuning struct {
	// SoftFactor sets the soft cap of engines that hold the prefix: 0 is the mean
	// load and 1 is the bound.
	SoftFactor float64
	// HomeFactor is the same for engines that are not expected to hold the
	// prefix. A lower value keeps room for returning chats.
	HomeFactor float64
	// MinWaitTokens is the shortest prefix for which a request waits.
	MinWaitTokens int
	// MinExpectedFreedSlots is the lowest number of slots that the engine must be
	// expected to free during the home wait for a request to wait.
	MinExpectedFreedSlots float64
}

// DefaultTuning returns the default margins. Package model compares the results
// with those of the baselines.
func DefaultTuning() Tuning {
	return Tuning{SoftFactor: 0.75, HomeFactor: 0, MinWaitTokens: 2048, MinExpectedFreedSlots: 0.5}
}

// spillCandidates is the number of rendezvous choices that are tried before the
// whole pool. A small stable set lets a chat that spilled to another engine
// return to the engine that holds its prefix.
const spillCandidates = 4

// Affinity is the default policy. It prefers engines that hold the request's
// prefix, then rendezvous homes, all under a soft cap.
type Affinity struct {
	tuning Tuning
}

// NewAffinity returns the policy with the given margins.
func NewAffinity(t Tuning) *Affinity {
	return &Affinity{tuning: t}
}

// Name returns "affinity".
func (a *Affinity) Name() string {
	return "affinity"
}

// Pick chooses an engine. Its cost is linear in the number of engines if no
// prefix holder has room.
func (a *Affinity) Pick(v *View, j *Job) Choice {
	if v.Weight <= 0 {
		return Choice{}
	}
	for _, p := range j.PrefixHolders {
		if a.hasRoom(v, j, p.Engine, a.tuning.SoftFactor) {
			return Choice{Action: Place, Engine: p.Engine, Reason: ByPrefix, PrefixTokens: p.Tokens}
		}
	}
	if c, ok := a.waitForHolder(v, j); ok {
		return c
	}
	if j.HintedEngine >= 0 && a.hasRoom(v, j, j.HintedEngine, a.tuning.SoftFactor) {
		return Choice{Action: Place, Engine: j.HintedEngine, Reason: ByToken}
	}
	homes, n := topHomes(v, j)
	if n > 0 && a.hasRoom(v, j, homes[0], a.tuning.HomeFactor) {
		return Choice{Action: Place, Engine: homes[0], Reason: ByHome}
	}
	if n > 1 && a.hasRoom(v, j, homes[1], a.tuning.HomeFactor) {
		return Choice{Action: Place, Engine: homes[1], Reason: BySecondHome}
	}
	if e := a.leastLoadedWithRoom(v, j, homes[:n]); e >= 0 {
		return Choice{Action: Place, Engine: e, Reason: BySpill}
	}
	return leastLoaded(v, j, ByLeastLoaded)
}

// hasRoom reports whether an engine may take the request under the soft cap.
func (a *Affinity) hasRoom(v *View, j *Job, i int, factor float64) bool {
	if i >= len(v.Engines) || !v.Engines[i].State.Live() || j.excludes(i) {
		return false
	}
	return v.Engines[i].Load < v.SoftLimit(i, factor)
}

// waitForHolder decides whether the request waits for the holder of its longest
// prefix.
func (a *Affinity) waitForHolder(v *View, j *Job) (Choice, bool) {
	if len(j.PrefixHolders) == 0 || j.Waited >= v.HomeWait {
		return Choice{}, false
	}
	p := j.PrefixHolders[0]
	if p.Engine >= len(v.Engines) || p.Tokens < a.tuning.MinWaitTokens || j.excludes(p.Engine) {
		return Choice{}, false
	}
	e := &v.Engines[p.Engine]
	if !e.State.Live() || e.MeanServiceTime <= 0 {
		return Choice{}, false
	}
	freed := float64(e.Load) * float64(v.HomeWait-j.Waited) / float64(e.MeanServiceTime)
	if freed < a.tuning.MinExpectedFreedSlots {
		return Choice{}, false
	}
	return Choice{Action: Wait, Engine: p.Engine, Reason: ByPrefix, PrefixTokens: p.Tokens}, true
}

// leastLoadedWithRoom returns the least loaded of the given engines that has room
// under the soft cap, or -1.
func (a *Affinity) leastLoadedWithRoom(v *View, j *Job, candidates []int) int {
	best := -1
	for _, i := range candidates {
		if a.hasRoom(v, j, i, a.tuning.HomeFactor) && (best < 0 || lessLoaded(&v.Engines[i], &v.Engines[best])) {
			best = i
		}
	}
	return best
}

// lessLoaded orders engines by load relative to their weight, then by
// outstanding tokens.
func lessLoaded(a, b *Engine) bool {
	la, lb := float64(a.Load)*b.Weight, float64(b.Load)*a.Weight
	if la != lb {
		return la < lb
	}
	return float64(a.OutstandingTokens)*b.Weight < float64(b.OutstandingTokens)*a.Weight
}

// leastLoaded returns the least loaded engine under its limit.
func leastLoaded(v *View, j *Job, reason Reason) Choice {
	best := -1
	for i := range v.Engines {
		e := &v.Engines[i]
		if !e.State.Live() || j.excludes(i) {
			continue
		}
		if best >= 0 && !lessLoaded(e, &v.Engines[best]) {
			continue
		}
		if e.Load < v.Limit(i) {
			best = i
		}
	}
	if best < 0 {
		return Choice{}
	}
	return Choice{Action: Place, Engine: best, Reason: reason}
}

// topHomes returns the best rendezvous choices among the engines that are up,
// and their number.
func topHomes(v *View, j *Job) ([spillCandidates]int, int) {
	var best [spillCandidates]int
	var scores [spillCandidates]float64
	n := 0
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.State != Up || j.excludes(i) {
			continue
		}
		h := Mix(j.Key, e.Hash)
		s := float64(h >> 11)
		if !v.Uniform {
			s = score(h, e.Weight)
		}
		if n == spillCandidates && s <= scores[n-1] {
			continue
		}
		at := min(n, spillCandidates-1)
		for at > 0 && scores[at-1] < s {
			best[at], scores[at] = best[at-1], scores[at-1]
			at--
		}
		best[at], scores[at] = i, s
		n = min(n+1, spillCandidates)
	}
	return best, n
}
