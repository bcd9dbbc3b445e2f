package balance

import "time"

// memoryShare is the share of an engine's memory that the predicted requests may fill. The rest allows for answers
// that are longer than predicted: an engine without memory preempts a request and reads its prompt again.
const memoryShare = 0.9

// SetMemory sets the number of tokens that fit the memory of each engine; 0 for unknown.
func (p *Pool) SetMemory(tokens int) { p.memory = float64(max(tokens, 0)) }

// memoryUsed returns the predicted memory of the requests that run at a server, in tokens. Those of other routers
// count as the mean.
func (p *Pool) memoryUsed(now time.Time, m *member) float64 {
	return m.work.tokens() + float64(m.others(now))*p.means.memory
}

// fitsMemory reports whether a server has memory for a request beside those that run there.
func (p *Pool) fitsMemory(now time.Time, m *member, job *Job) bool {
	if p.memory == 0 || !m.server.Engine {
		return true
	}
	need := job.Cost.Memory
	if prefix := job.longest(); m.work.has(prefix.Hash) {
		need -= float64(prefix.Tokens)
	}
	limit := memoryShare * p.memory
	if most := float64(max(m.serverReported, m.peersReported)); m.work.tokens()+most*p.means.memory+need <= limit {
		// It fits whichever report counts.
		return true
	}
	return p.memoryUsed(now, m)+need <= limit
}

// withMemory returns the members that have memory for a request, all when none has.
func (p *Pool) withMemory(now time.Time, members []*member, job *Job) []*member {
	if p.memory == 0 || job.Cost.Memory == 0 {
		return members
	}
	fitting := make([]*member, 0, len(members))
	for _, m := range members {
		if p.fitsMemory(now, m, job) {
			fitting = append(fitting, m)
		}
	}
	if len(fitting) == 0 {
		return members
	}
	return fitting
}

// slotsByMemory returns how many requests a server can run at a time: its slots, or fewer when the requests are too
// large for its memory.
func (p *Pool) slotsByMemory(now time.Time, m *member) int {
	slots := m.server.Slots
	if p.memory == 0 || !m.server.Engine || p.means.memory < 1 {
		return slots
	}
	free := memoryShare*p.memory - p.memoryUsed(now, m)
	return min(slots, max(m.own+m.others(now)+int(free/p.means.memory), 1))
}
