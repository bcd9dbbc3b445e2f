package bench

import (
	"math"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// prefixRef holds the keys under which engines cache a chat's prefix.
type prefixRef struct {
	prefixKey, systemKey string
}

// oracle is a picker that reads the state of the engine stand-ins. Of the engines
// below the bound it picks the one with the longest cached prefix and, among
// equals, the least loaded one.
type oracle struct {
	multiple float64
	chats    map[uint64]prefixRef
	engines  func() map[string]*enginesim.Engine
}

// unlimitedTokens is longer than any prompt, so that all cached tokens count.
const unlimitedTokens = math.MaxInt32

func (r *run) newOracle() placement.Picker {
	return &oracle{multiple: r.plan.Profile.LoadMultiple, chats: r.prefixes(), engines: r.bed.Engines}
}

// prefixes returns the prefixes of all chats by placement key.
func (r *run) prefixes() map[uint64]prefixRef {
	refs := map[uint64]prefixRef{}
	for i := range r.plan.Chats {
		c := &r.plan.Chats[i]
		ref := prefixRef{prefixKey: c.Workspace + "/" + c.ID, systemKey: r.plan.systemKeys[c.Workspace]}
		if ref.systemKey == "" {
			ref.systemKey = c.Workspace
		}
		refs[placement.ChatKey(c.Workspace, c.ID)] = ref
	}
	return refs
}

func (o *oracle) Name() string {
	return PolicyOracle
}

// Pick implements placement.Picker.
func (o *oracle) Pick(v *placement.View, j *placement.Job) placement.Choice {
	engines := o.engines()
	loads, total, live := o.loads(v, engines)
	if live == 0 {
		return placement.Choice{}
	}
	bound := int(math.Ceil(o.multiple * float64(total+1) / float64(live)))
	ref := o.chats[j.Key]
	best, cached := -1, 0
	for i := range v.Engines {
		if loads[i] < 0 || isExcluded(j, i) || loads[i] >= min(bound, v.Limit(i)) {
			continue
		}
		n := 0
		if e := engines[v.Engines[i].Name]; e != nil && ref.prefixKey != "" {
			n = e.CachedTokens(ref.prefixKey, ref.systemKey, unlimitedTokens)
		}
		if best < 0 || n > cached || n == cached && loads[i] < loads[best] {
			best, cached = i, n
		}
	}
	if best < 0 {
		return placement.Choice{}
	}
	return placement.Choice{Action: placement.Place, Engine: best, Reason: placement.ByPrefix, PrefixTokens: cached}
}

// loads returns the load of each engine, or -1 for one that accepts no requests.
// A request that was granted and has not reached its engine counts as well.
func (o *oracle) loads(v *placement.View, engines map[string]*enginesim.Engine) (loads []int, total, live int) {
	loads = make([]int, len(v.Engines))
	for i := range v.Engines {
		e := &v.Engines[i]
		if !e.State.Live() {
			loads[i] = -1
			continue
		}
		loads[i] = e.Load
		if sim := engines[e.Name]; sim != nil {
			running, waiting := sim.InFlight()
			loads[i] = max(loads[i], running+waiting)
		}
		total += loads[i]
		live++
	}
	return loads, total, live
}

func isExcluded(j *placement.Job, i int) bool {
	for _, x := range j.Exclude {
		if x == i {
			return true
		}
	}
	return false
}
