package admission

import (
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// phase is the state of a ticket.
type phase uint8

const (
	phaseQueued phase = iota
	// phaseParked waits for a slot of one engine, which holds the prefix.
	phaseParked
	phaseRunning
	phaseDone
)

// Ticket tracks one request in the pool. Its fields are guarded by the pool's
// lock.
type Ticket struct {
	req       *Request
	flow      *flow
	phase     phase
	arrivedAt time.Time
	grantedAt time.Time
	// engine is the position of the engine that runs the request or that a
	// parked request waits for.
	engine int
	// generation is that of the engine at the time of the grant.
	generation uint32
	// tokens estimates the prompt and output tokens of the request.
	tokens int
	// key is the rendezvous key.
	key uint64
	// parkedAt is the start of the wait for a prefix holder.
	parkedAt time.Time
	// waited is the time spent waiting for a prefix holder.
	waited time.Duration
	// due is the time of the next event: the deadline or the end of the wait for
	// a prefix holder. dueIndex is the position in the heap, or -1.
	due      time.Time
	dueIndex int
	// prev and next link the flow's list.
	prev, next *Ticket
	done       chan Outcome
}

// Done returns the channel that delivers the outcome once. It is buffered, so
// the pool never waits for a reader.
func (t *Ticket) Done() <-chan Outcome {
	return t.done
}

// Request returns the request of the ticket.
func (t *Ticket) Request() *Request {
	return t.req
}

// workspace is the state of one workspace in the pool.
type workspace struct {
	name        string
	weight      float64
	maxQueued   int
	maxInFlight int
	queued      int
	running     int
	flows       [numClasses]flow
}

// atLimit reports whether the workspace is at its limit of requests in flight.
func (w *workspace) atLimit() bool {
	return w.maxInFlight > 0 && w.running >= w.maxInFlight
}

func (w *workspace) idle() bool {
	return w.queued == 0 && w.running == 0
}

// engineState is the pool's state of an engine. The row of the same position in
// the view holds the rest.
type engineState struct {
	bootID string
	parked []*Ticket
	// generation changes when the engine loses its cache or the row is reused.
	generation uint32
	// inUse is false for a row without an engine.
	inUse bool
	// own counts the slots that this pool granted and adopted those of attempts
	// that a previous owner started.
	own     int
	adopted int
	// countedSlots is the number of the engine's slots that the view's total includes.
	countedSlots int
	// reserved slots count as load until reservedUntil.
	reserved      int
	reservedUntil time.Time
	// meanServiceSeconds is the moving mean of the time that a request holds a
	// slot.
	meanServiceSeconds float64
}

// adoption is an attempt that a previous owner of the pool started.
type adoption struct {
	engine int
	class  class
	ws     *workspace
}

// Pool is the owner's state of one pool. It is safe for concurrent use. No
// method blocks, except on the pool's lock.
type Pool struct {
	mu     sync.Mutex
	cfg    Config
	deps   Deps
	picker placement.Picker
	index  *placement.PrefixIndex

	view    placement.View
	engines []engineState
	byName  map[string]int
	// live is the number of engines that accept requests.
	live int

	workspaces map[string]*workspace
	classes    [numClasses]classQueue
	due        dueHeap
	queued     int
	adopted    map[string]adoption
	// reservingEngines is the number of engines with reserved slots.
	reservingEngines int
	// lastSweep is the time of the last removal of idle workspaces.
	lastSweep time.Time
	// closeCode is the code of refusals while the pool admits nothing; empty
	// means that the pool is open.
	closeCode Code
	// leaseEnd is when the owner's lease expires; zero means never.
	leaseEnd time.Time
	// saturated is set when the last pick found no engine with room. It saves
	// further picks until a slot is freed or a limit changes.
	saturated bool
	budget    retryBudget
	// meanServiceSeconds is the moving mean of the time that a request holds a
	// slot; 0 means unknown.
	meanServiceSeconds float64
	counters           counters
	// deferredFlows, prefixBuf and excludeBuf are reused between calls.
	deferredFlows []*flow
	prefixBuf     []placement.PrefixHolder
	excludeBuf    []int
}

// NewPool returns a pool without engines. It refuses requests with CodeNotOwner
// until SetShare is called.
func NewPool(cfg Config, deps Deps) *Pool {
	p := &Pool{
		deps:       deps,
		picker:     deps.Picker,
		index:      deps.Prefixes,
		byName:     map[string]int{},
		workspaces: map[string]*workspace{},
		adopted:    map[string]adoption{},
		closeCode:  CodeNotOwner,
	}
	if p.picker == nil {
		p.picker = placement.NewAffinity(placement.DefaultTuning())
	}
	if p.index == nil {
		p.index = placement.NewPrefixIndex(0)
	}
	p.counters.refused = map[Code]int64{}
	p.applyConfig(cfg)
	p.budget.tokens = retryBurst
	return p
}

// SetConfig replaces the configuration. Waiting requests stay queued, even if a
// queue is now longer than its limit.
func (p *Pool) SetConfig(now time.Time, cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyConfig(cfg)
	p.dispatch(now)
}

func (p *Pool) applyConfig(cfg Config) {
	p.cfg = cfg
	p.view.LoadMultiple = cfg.Pool.LoadMultiple
	if p.view.LoadMultiple < 1 {
		p.view.LoadMultiple = defaultLoadMultiple
	}
	p.view.MaxInFlight = cfg.Pool.MaxInFlight
	p.view.HomeWait = cfg.Pool.HomeWait
	p.budget.ratio = cfg.Pool.RetryBudget
	if p.budget.ratio <= 0 {
		p.budget.ratio = defaultRetryBudget
	}
	p.applyShares(cfg.Pool)
	for _, w := range p.workspaces {
		p.configureWorkspace(w)
		p.updateActiveFlows(w)
	}
	p.saturated = false
}

// applyShares sets the reserved class shares and scales them down if their sum
// exceeds 1.
func (p *Pool) applyShares(pool *record.Pool) {
	shares := defaultClassShares
	if len(pool.ClassShares) > 0 {
		shares = [numClasses]float64{}
		for priority, s := range pool.ClassShares {
			shares[classOf(priority)] = max(s, 0)
		}
	}
	// A class without a share would starve under a steady load of a more
	// urgent class.
	sum := 0.0
	for c := range shares {
		shares[c] = max(shares[c], minClassShare)
		sum += shares[c]
	}
	for c := range shares {
		p.classes[c].share = shares[c] / max(sum, 1)
	}
}

// minClassShare is the smallest reserved share of a class.
const minClassShare = 0.01

func (p *Pool) configureWorkspace(w *workspace) {
	w.weight, w.maxQueued, w.maxInFlight = 1, defaultMaxQueued, 0
	rec := p.cfg.Workspaces[w.name]
	if rec == nil {
		return
	}
	if rec.Weight > 0 {
		w.weight = rec.Weight
	}
	if rec.MaxQueued > 0 {
		w.maxQueued = rec.MaxQueued
	}
	w.maxInFlight = rec.MaxInFlight
}

func (p *Pool) queueLimit() int {
	if p.cfg.Pool.QueueLimit > 0 {
		return p.cfg.Pool.QueueLimit
	}
	return defaultQueueLimit
}

// workspace returns the state of a workspace and creates it if needed.
func (p *Pool) workspace(name string) *workspace {
	w := p.workspaces[name]
	if w != nil {
		return w
	}
	w = &workspace{name: name}
	p.configureWorkspace(w)
	for c := range w.flows {
		w.flows[c] = flow{ws: w, class: class(c), heapIndex: -1}
	}
	p.workspaces[name] = w
	return w
}
