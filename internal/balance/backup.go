package balance

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// ReasonBackup: the server has a copy of the run's memory.
const ReasonBackup Reason = "backup"

// Backup is a server that could hold a copy of a run's memory.
type Backup struct {
	Server *registry.Server
	// Cached is the number of tokens of the prompt that it has.
	Cached int
	// Remote is set when it is in another data centre than the primary.
	Remote bool
	// LoadPerSlot is the number of requests for each of its slots.
	LoadPerSlot float64
}

// Primary is the server that runs a request, and what is known of the run there.
type Primary struct {
	Server *registry.Server
	// Engines is the number of the pool's engines that neither leave nor are evacuated, this one included if it does not.
	Engines int
	// ReadTime is how long an engine takes to read the prompt of the request.
	ReadTime time.Duration
}

// Primary describes the server of a choice.
func (p *Pool) Primary(choice Choice, job Job) Primary {
	primary := Primary{Server: choice.Server, ReadTime: p.speed.duration(job.PromptTokens)}
	for _, m := range p.members {
		if m.server.Engine && !m.outOfService() {
			primary.Engines++
		}
	}
	return primary
}

// PickBackup returns the server that is to hold a copy of the memory of a run at primary: another engine of its
// version that may get the job and has room, preferably in its data centre, then one that has most of the prompt
// cached, then the least loaded one. fits reports whether a server may hold one more copy.
func (p *Pool) PickBackup(now time.Time, job Job, primary registry.Key, fits func(Backup, uint64) bool) (best Backup, ok bool) {
	from := p.byKey[primary]
	if from == nil {
		return Backup{}, false
	}
	job.Version = from.version
	bound, cached := p.bound(p.mean(now)), p.cachedTokens(now, &job)
	for _, m := range p.usable(now, &job) {
		if m == from || m.version != from.version || !p.hasRoom(now, m, bound) || !p.fitsMemory(now, m, &job) {
			continue
		}
		b := Backup{
			Server: m.server, Cached: cached[m],
			Remote: m.server.DataCentre != from.server.DataCentre, LoadPerSlot: p.loadPerSlot(now, m),
		}
		if (!ok || b.betterThan(best)) && fits(b, m.hash) {
			best, ok = b, true
		}
	}
	return best, ok
}

// hasRoom reports whether a member may hold a copy: an engine that is not ejected, has a free slot below the bound,
// is not cold and has not said that it is short of anything.
func (p *Pool) hasRoom(now time.Time, m *member, bound float64) bool {
	load := m.load(now)
	return m.server.Engine && !m.health.ejected(now, m.own) && !p.restricted(now, m) && !m.brittle.active() &&
		load < bound && load < float64(max(m.server.Slots, 1))
}

// betterThan compares two targets. Copies between data centres take twice as long and their bytes are priced.
func (b *Backup) betterThan(other Backup) bool {
	switch {
	case b.Remote != other.Remote:
		return !b.Remote
	case b.Cached != other.Cached:
		return b.Cached > other.Cached
	}
	return b.LoadPerSlot < other.LoadPerSlot
}

// cachedTokens returns the number of tokens of a job's prompt that the members have.
func (p *Pool) cachedTokens(now time.Time, job *Job) map[*member]int {
	cached := make(map[*member]int)
	for _, prefix := range job.Prefixes {
		for _, h := range p.holders(now, prefix.Hash) {
			if !h.reading() {
				cached[h.member] = prefix.Tokens
			}
		}
	}
	return cached
}

// Leaving reports whether a server of the pool leaves.
func (p *Pool) Leaving(key registry.Key) bool {
	m := p.byKey[key]
	return m != nil && m.server.Leaving
}

// PickNamed returns the choice of the one server that has a copy of a run, or false when the job may not go there
// now. A pause after a refusal, which spreads new requests, does not keep a run from the only server that has
// its copy.
func (p *Pool) PickNamed(now time.Time, job Job, key registry.Key) (Choice, bool) {
	m, mean := p.byKey[key], p.mean(now)
	if m == nil || m.outOfService() || !p.admits(now, m, &job) || m.health.failing(now) || m.load(now) >= p.bound(mean) {
		return Choice{}, false
	}
	return p.choose(now, m, nil, mean, ReasonBackup, 0, &job), true
}
