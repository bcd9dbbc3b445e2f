package placement

import "time"

// Action is what a picker decided.
type Action uint8

// Actions of a picker.
const (
	// None means that no engine may take the request now.
	None Action = iota
	// Place means that the engine takes the request now.
	Place
	// Wait means that the request waits for the engine.
	Wait
)

// Reason tells which rule made a choice.
type Reason uint8

// Reasons of a choice.
const (
	ByNone Reason = iota
	ByPrefix
	ByToken
	ByHome
	BySecond
	BySpill
	ByLeast
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
	// Prefix is the number of tokens expected in the engine's cache.
	Prefix int
}

// Job is what a picker knows about a request.
type Job struct {
	// Key is the rendezvous key: the chat, or a random number without a chat.
	Key uint64
	// Prefixes are the trusted holders of the prefix, longest first.
	Prefixes []Prefix
	// Hint is the engine named by a valid token, or -1.
	Hint int
	// Exclude lists engines that must not be chosen.
	Exclude []int
	// Waited is the time spent waiting for a prefix holder.
	Waited time.Duration
}

func (j *Job) excluded(i int) bool {
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
	Name() string
	Pick(v *View, j *Job) Choice
}

// Tuning sets the margins of the Affinity policy.
type Tuning struct {
	// SoftFactor places the soft cap for engines that hold the prefix between
	// the mean (0) and the bound (1).
	SoftFactor float64
	// HomeFactor is the same for engines without a known prefix. It is lower,
	// which keeps room for returning chats.
	HomeFactor float64
	// MinWaitTokens is the shortest prefix that is worth a wait.
	MinWaitTokens int
	// WaitOdds is the lowest expected number of slots that the engine frees
	// during the home wait for a wait to be worth it.
	WaitOdds float64
}

// DefaultTuning returns the margins chosen with the model in package model.
func DefaultTuning() Tuning {
	return Tuning{SoftFactor: 0.75, HomeFactor: 0, MinWaitTokens: 2048, WaitOdds: 0.5}
}

// spillChoices is the number of rendezvous choices that spill tries before
// the whole pool. A stable small set lets a spilled chat find its prefix again.
const spillChoices = 4

// Affinity is the policy of the fleet: it prefers engines that hold the
// request's prefix, then rendezvous homes, all under a soft cap.
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

// Pick chooses an engine. Cost is linear in the number of engines when no
// prefix holder has room.
func (a *Affinity) Pick(v *View, j *Job) Choice {
	if v.Weight <= 0 {
		return Choice{}
	}
	for _, p := range j.Prefixes {
		if a.room(v, j, p.Engine, a.tuning.SoftFactor) {
			return Choice{Action: Place, Engine: p.Engine, Reason: ByPrefix, Prefix: p.Tokens}
		}
	}
	if c, ok := a.wait(v, j); ok {
		return c
	}
	if j.Hint >= 0 && a.room(v, j, j.Hint, a.tuning.SoftFactor) {
		return Choice{Action: Place, Engine: j.Hint, Reason: ByToken}
	}
	homes, n := topHomes(v, j)
	if n > 0 && a.room(v, j, homes[0], a.tuning.HomeFactor) {
		return Choice{Action: Place, Engine: homes[0], Reason: ByHome}
	}
	if n > 1 && a.room(v, j, homes[1], a.tuning.HomeFactor) {
		return Choice{Action: Place, Engine: homes[1], Reason: BySecond}
	}
	if e := a.lightestWithRoom(v, j, homes[:n]); e >= 0 {
		return Choice{Action: Place, Engine: e, Reason: BySpill}
	}
	return leastLoaded(v, j, ByLeast)
}

// room reports whether an engine may take the request under the soft cap.
func (a *Affinity) room(v *View, j *Job, i int, factor float64) bool {
	if i >= len(v.Engines) || !v.Engines[i].State.Live() || j.excluded(i) {
		return false
	}
	return v.Engines[i].Load < v.SoftLimit(i, factor)
}

// wait decides whether the request waits for the holder of its longest prefix.
func (a *Affinity) wait(v *View, j *Job) (Choice, bool) {
	if len(j.Prefixes) == 0 || j.Waited >= v.HomeWait {
		return Choice{}, false
	}
	p := j.Prefixes[0]
	if p.Engine >= len(v.Engines) || p.Tokens < a.tuning.MinWaitTokens || j.excluded(p.Engine) {
		return Choice{}, false
	}
	e := &v.Engines[p.Engine]
	if !e.State.Live() || e.Service <= 0 {
		return Choice{}, false
	}
	freed := float64(e.Load) * float64(v.HomeWait-j.Waited) / float64(e.Service)
	if freed < a.tuning.WaitOdds {
		return Choice{}, false
	}
	return Choice{Action: Wait, Engine: p.Engine, Reason: ByPrefix, Prefix: p.Tokens}, true
}

func (a *Affinity) lightestWithRoom(v *View, j *Job, among []int) int {
	best := -1
	for _, i := range among {
		if a.room(v, j, i, a.tuning.HomeFactor) && (best < 0 || lighter(&v.Engines[i], &v.Engines[best])) {
			best = i
		}
	}
	return best
}

// lighter orders engines by load for their weight, then by outstanding tokens.
func lighter(a, b *Engine) bool {
	la, lb := float64(a.Load)*b.Weight, float64(b.Load)*a.Weight
	if la != lb {
		return la < lb
	}
	return float64(a.Tokens)*b.Weight < float64(b.Tokens)*a.Weight
}

// leastLoaded returns the least loaded engine under its limit.
func leastLoaded(v *View, j *Job, reason Reason) Choice {
	best := -1
	for i := range v.Engines {
		e := &v.Engines[i]
		if !e.State.Live() || j.excluded(i) {
			continue
		}
		if best >= 0 && !lighter(e, &v.Engines[best]) {
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

// topHomes returns the first rendezvous choices among the engines that are up.
func topHomes(v *View, j *Job) ([spillChoices]int, int) {
	var best [spillChoices]int
	var scores [spillChoices]float64
	n := 0
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.State != Up || j.excluded(i) {
			continue
		}
		h := Mix(j.Key, e.Hash)
		s := float64(h >> 11)
		if !v.Uniform {
			s = score(h, e.Weight)
		}
		if n == spillChoices && s <= scores[n-1] {
			continue
		}
		at := min(n, spillChoices-1)
		for at > 0 && scores[at-1] < s {
			best[at], scores[at] = best[at-1], scores[at-1]
			at--
		}
		best[at], scores[at] = i, s
		n = min(n+1, spillChoices)
	}
	return best, n
}
