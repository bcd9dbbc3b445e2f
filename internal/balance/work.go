package balance

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cost"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// minLeft is the share of the predicted time in a slot that requests still take at least: what takes longer than predicted
	// does not end at once.
	minLeft = 0.25
	// maxRuns bounds the requests of one server that are tracked.
	maxRuns = 4096
	// meanWeight is the weight of a request in the pool's mean cost.
	meanWeight = 1.0 / 32
)

// run is a request of this router at a server.
type run struct {
	// end is when it is expected to end, in time since the work's epoch, and slot the time that it takes.
	end, slot time.Duration
	// memory is the number of tokens that belong to it alone, prefix the shared part before them.
	memory float64
	prefix Prefix
}

// work is what a server still has to do of this router's requests. The sums are kept as requests begin and
// end, so that a placement does not add up hundreds of them.
type work struct {
	epoch time.Time
	// runs has the requests by Job.Run; ends, slots and memory are the sums over them.
	runs   map[uint64]run
	ends   time.Duration
	slots  time.Duration
	memory float64
	// shared has the prefixes of the requests by hash, and sharedSum is the sum of their tokens.
	shared    map[uint64]sharedPrefix
	sharedSum int
}

// sharedPrefix is a prefix that requests share. Callers state its size; that of the first one counts.
type sharedPrefix struct{ runs, tokens int }

// begin adds a request that runs at a server where work takes slowdown times the usual time.
func (w *work) begin(now time.Time, job *Job, slowdown float64) {
	if job.Run == 0 || len(w.runs) >= maxRuns {
		return
	}
	if w.runs == nil {
		w.epoch, w.runs, w.shared = now, make(map[uint64]run), make(map[uint64]sharedPrefix)
	}
	w.end(job.Run)
	r := run{slot: time.Duration(float64(job.Cost.Slot) * slowdown), prefix: job.longest()}
	r.end = now.Sub(w.epoch) + r.slot
	r.memory = max(job.Cost.Memory-float64(r.prefix.Tokens), 0)
	w.runs[job.Run] = r
	w.ends += r.end
	w.slots += r.slot
	w.memory += r.memory
	shared := w.shared[r.prefix.Hash]
	if shared.runs == 0 {
		shared.tokens = r.prefix.Tokens
		w.sharedSum += shared.tokens
	}
	shared.runs++
	w.shared[r.prefix.Hash] = shared
}

// end removes a request; one that is not tracked has no effect.
func (w *work) end(id uint64) {
	r, ok := w.runs[id]
	if !ok {
		return
	}
	delete(w.runs, id)
	w.ends -= r.end
	w.slots -= r.slot
	w.memory = max(w.memory-r.memory, 0)
	shared := w.shared[r.prefix.Hash]
	shared.runs--
	w.shared[r.prefix.Hash] = shared
	if shared.runs <= 0 {
		delete(w.shared, r.prefix.Hash)
		w.sharedSum -= shared.tokens
	}
}

// left returns the time in slots that the requests still take, the sum of their expected ends less now, at least minLeft of the sum
// of their predicted times.
func (w *work) left(now time.Time) time.Duration {
	n := time.Duration(len(w.runs))
	if n == 0 {
		return 0
	}
	return max(w.ends-n*now.Sub(w.epoch), time.Duration(minLeft*float64(w.slots)))
}

// tokens returns the memory that the requests hold at their ends, with their shared parts counted once.
func (w *work) tokens() float64 { return w.memory + float64(w.sharedSum) }

// has reports whether a request that runs at the server shares a prefix.
func (w *work) has(prefix uint64) bool { return w.shared[prefix].runs > 0 }

// means are the mean costs of the pool's requests, which stand for those of other routers.
type means struct {
	// slot is the time in a slot at the usual speed, memory the number of tokens that belong to a request alone.
	slot   time.Duration
	memory float64
}

func (m *means) record(c cost.Prediction, prefixTokens int) {
	if m.slot == 0 {
		m.slot = c.Slot
	}
	if c.Slot > 0 {
		m.slot += time.Duration(meanWeight * float64(c.Slot-m.slot))
	}
	if c.Memory <= 0 {
		return
	}
	memory := max(c.Memory-float64(prefixTokens), 0)
	if m.memory == 0 {
		m.memory = memory
	}
	m.memory += meanWeight * (memory - m.memory)
}

// EndRun removes a request, by its Job.Run, from the work of its server.
func (p *Pool) EndRun(key registry.Key, run uint64) {
	if m := p.byKey[key]; m != nil {
		m.work.end(run)
	}
}
