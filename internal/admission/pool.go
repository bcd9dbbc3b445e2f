package admission

import (
	"sort"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// phase is the state of a ticket.
type phase uint8

const (
	phaseQueued phase = iota
	phaseParked
	phaseRunning
	phaseDone
)

// Ticket follows one request through the pool. Its fields belong to the pool.
type Ticket struct {
	req     *Request
	flow    *flow
	phase   phase
	arrived time.Time
	granted time.Time
	// engine is the position of the engine that runs the request or that a
	// parked request waits for.
	engine int
	gen    uint32
	tokens int
	key    uint64
	// parkedAt is the start of the wait for a prefix holder.
	parkedAt time.Time
	waited   time.Duration
	due      time.Time
	dueAt    int
	// prev and next link the flow's list.
	prev, next *Ticket
	done       chan Outcome
}

// Done delivers the outcome once. The channel is buffered, so the pool never
// waits for a reader.
func (t *Ticket) Done() <-chan Outcome {
	return t.done
}

// Request returns the request of the ticket.
func (t *Ticket) Request() *Request {
	return t.req
}

// workspace is the state of one workspace in the pool.
type workspace struct {
	name     string
	weight   float64
	maxQueue int
	maxRun   int
	queued   int
	running  int
	flows    [numClasses]flow
}

// blocked reports whether the workspace is at its limit of requests in flight.
func (w *workspace) blocked() bool {
	return w.maxRun > 0 && w.running >= w.maxRun
}

func (w *workspace) idle() bool {
	return w.queued == 0 && w.running == 0
}

// engineState is what the pool knows of an engine beyond placement's row.
type engineState struct {
	boot    string
	parked  []*Ticket
	gen     uint32
	used    bool
	own     int
	adopted int
	// counted is the engine's part of the view's slots.
	counted int
	// reserved slots count as load until reservedTo.
	reserved   int
	reservedTo time.Time
	// service is the moving mean of the time that a request holds a slot.
	service float64
}

type adopted struct {
	engine int
	class  class
	ws     *workspace
}

// Pool is the owner's state of one pool. It is safe for concurrent use. All
// methods return without waiting for anything but the pool's lock.
type Pool struct {
	mu     sync.Mutex
	cfg    Config
	deps   Deps
	picker placement.Picker
	index  *placement.PrefixIndex

	view    placement.View
	engines []engineState
	byName  map[string]int
	// live is the number of engines that take requests.
	live int

	workspaces map[string]*workspace
	classes    [numClasses]classQueue
	due        dueHeap
	queued     int
	adopted    map[string]adopted
	// reserves is the number of engines with reserved slots.
	reserves int
	// swept is the time of the last search for idle workspaces.
	swept time.Time
	// closed is the code of refusals while the pool admits nothing.
	closed Code
	// leaseEnd is when the votes end without an event; zero means never.
	leaseEnd time.Time
	// saturated tells that no engine had room at the last pick. It saves picks
	// until a slot is freed or a limit changes.
	saturated bool
	budget    retryBudget
	// service is the moving mean of the time that a request holds a slot, in
	// seconds; 0 means unknown.
	service  float64
	counters counters
	// setAside, prefixBuf and excludeBuf are reused between calls.
	setAside   []*flow
	prefixBuf  []placement.Prefix
	excludeBuf []int
}

// NewPool returns a pool without engines that refuses requests with
// CodeNotOwner until SetShare.
func NewPool(cfg Config, deps Deps) *Pool {
	p := &Pool{
		deps:       deps,
		picker:     deps.Picker,
		index:      deps.Prefixes,
		byName:     map[string]int{},
		workspaces: map[string]*workspace{},
		adopted:    map[string]adopted{},
		closed:     CodeNotOwner,
	}
	if p.picker == nil {
		p.picker = placement.NewAffinity(placement.DefaultTuning())
	}
	if p.index == nil {
		p.index = placement.NewPrefixIndex(0)
	}
	p.counters.refused = map[Code]int64{}
	p.apply(cfg)
	p.budget.tokens = retryBurst
	return p
}

// Update puts a new configuration in force. Requests that already wait keep
// their places, even if a queue is now longer than its limit.
func (p *Pool) Update(now time.Time, cfg Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(cfg)
	p.dispatch(now)
}

func (p *Pool) apply(cfg Config) {
	p.cfg = cfg
	p.view.Multiple = cfg.Pool.LoadMultiple
	if p.view.Multiple < 1 {
		p.view.Multiple = defaultMultiple
	}
	p.view.MaxInFlight = cfg.Pool.MaxInFlight
	p.view.HomeWait = cfg.Pool.HomeWait
	p.budget.share = cfg.Pool.RetryBudget
	if p.budget.share <= 0 {
		p.budget.share = defaultRetryBudget
	}
	p.applyShares(cfg.Pool)
	for _, w := range p.workspaces {
		p.configure(w)
		p.reactivate(w)
	}
	p.saturated = false
}

// applyShares sets the reserved class shares and scales them down if they add
// up to more than 1.
func (p *Pool) applyShares(pool *record.Pool) {
	shares := defaultShares
	if len(pool.ClassShares) > 0 {
		shares = [numClasses]float64{}
		for prio, s := range pool.ClassShares {
			shares[classOf(prio)] = max(s, 0)
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

func (p *Pool) configure(w *workspace) {
	w.weight, w.maxQueue, w.maxRun = 1, defaultWorkspaceLimit, 0
	rec := p.cfg.Workspaces[w.name]
	if rec == nil {
		return
	}
	if rec.Weight > 0 {
		w.weight = rec.Weight
	}
	if rec.MaxQueued > 0 {
		w.maxQueue = rec.MaxQueued
	}
	w.maxRun = rec.MaxInFlight
}

func (p *Pool) queueLimit() int {
	if p.cfg.Pool.QueueLimit > 0 {
		return p.cfg.Pool.QueueLimit
	}
	return defaultQueueLimit
}

func (p *Pool) workspace(name string) *workspace {
	w := p.workspaces[name]
	if w != nil {
		return w
	}
	w = &workspace{name: name}
	p.configure(w)
	for c := range w.flows {
		w.flows[c] = flow{ws: w, class: class(c), at: -1}
	}
	p.workspaces[name] = w
	return w
}

// Submit asks for a slot. The ticket's outcome is delivered at once if the
// request is granted or refused at once.
func (p *Pool) Submit(now time.Time, req *Request) *Ticket {
	t := &Ticket{req: req, arrived: now, dueAt: -1, engine: -1, done: make(chan Outcome, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := classOf(req.Class)
	p.counters.submitted++
	p.classes[c].lastSeen = now
	if code := p.refuseAtOnce(now, req); code != "" {
		p.refuse(now, t, code)
		return t
	}
	t.tokens = req.PromptTokens + req.OutputTokens
	t.key = p.placementKey(req)
	w := p.workspace(req.Workspace)
	t.flow = &w.flows[c]
	p.enqueue(t)
	p.dispatch(now)
	if t.phase != phaseQueued && t.phase != phaseParked {
		return t
	}
	if code := p.refuseWaiting(now, t); code != "" {
		p.withdraw(t)
		p.refuse(now, t, code)
		return t
	}
	if t.phase == phaseQueued {
		p.due.schedule(t, req.Deadline)
	}
	return t
}

// placementKey returns the rendezvous key: the chat's key, or a random number
// for a request without a chat.
func (p *Pool) placementKey(req *Request) uint64 {
	if req.Chat == "" {
		return uint64(p.deps.Rand() * (1 << 63))
	}
	return placement.ChatKey(req.Workspace, req.Chat)
}

// refuseAtOnce returns the code of a request that must not even be queued.
func (p *Pool) refuseAtOnce(now time.Time, req *Request) Code {
	if p.closed != "" {
		return p.closed
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return CodeDeadline
	}
	if !p.anyEngine(req) {
		return CodeNoEngine
	}
	if !req.Retry {
		p.budget.earn()
		return ""
	}
	if !p.budget.spend() {
		return CodeRetryBudget
	}
	return ""
}

// refuseWaiting returns the code of a request that may not wait.
func (p *Pool) refuseWaiting(now time.Time, t *Ticket) Code {
	if t.flow.ws.queued > t.flow.ws.maxQueue {
		return CodeWorkspaceQueueFull
	}
	if p.queued > p.queueLimit() {
		return CodeQueueFull
	}
	if t.req.Deadline.IsZero() || t.phase == phaseParked {
		return ""
	}
	if p.waitFor(t.flow) > t.req.Deadline.Sub(now) {
		return CodeDeadline
	}
	return ""
}

// waitFor estimates a lower limit of the wait of a flow's last ticket: the
// time to free the slots for the tickets of the same flow before it.
func (p *Pool) waitFor(f *flow) time.Duration {
	perSecond := p.freedPerSecond()
	if perSecond <= 0 {
		return 0
	}
	ahead := min(f.ws.queued, p.classes[f.class].waiting) - 1
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// anyEngine reports whether some live engine is not excluded.
func (p *Pool) anyEngine(req *Request) bool {
	live := p.live
	if live == 0 || len(req.Exclude) == 0 {
		return live > 0
	}
	exclude := p.excluded(req)
	for _, i := range exclude {
		if p.view.Engines[i].State.Live() {
			live--
		}
	}
	return live > 0
}

// excluded returns the positions of the engines that a request excludes,
// without duplicates. The result is valid until the next call.
func (p *Pool) excluded(req *Request) []int {
	out := p.excludeBuf[:0]
next:
	for _, name := range req.Exclude {
		i, ok := p.byName[name]
		if !ok {
			continue
		}
		for _, seen := range out {
			if seen == i {
				continue next
			}
		}
		out = append(out, i)
	}
	p.excludeBuf = out
	return out
}

func (p *Pool) enqueue(t *Ticket) {
	f := t.flow
	t.phase = phaseQueued
	f.push(t)
	f.ws.queued++
	p.queued++
	p.classes[f.class].waiting++
	p.classes[f.class].activate(f)
}

// withdraw takes a waiting ticket out of its flow or out of the engine's list
// of parked tickets.
func (p *Pool) withdraw(t *Ticket) {
	p.due.schedule(t, time.Time{})
	if t.phase == phaseParked {
		p.unpark(t)
	} else {
		p.dequeue(t)
	}
	t.flow.ws.queued--
	p.queued--
}

// dequeue takes a ticket out of its flow; the ticket still counts as queued.
func (p *Pool) dequeue(t *Ticket) {
	q := &p.classes[t.flow.class]
	t.flow.remove(t)
	q.waiting--
	if t.flow.head == nil {
		q.deactivate(t.flow)
	}
}

func (p *Pool) refuse(now time.Time, t *Ticket, code Code) {
	t.phase = phaseDone
	p.counters.refused[code]++
	t.done <- Outcome{Refusal: &Refusal{Code: code, RetryAfter: p.retryAfter(code)}}
	if t.flow != nil {
		p.forget(t.flow.ws)
	}
}

// forget drops the state of an idle workspace that owes nothing to the fair
// queue.
func (p *Pool) forget(w *workspace) {
	if !w.idle() {
		return
	}
	for c := range w.flows {
		if w.flows[c].finish > p.classes[c].clock {
			return
		}
	}
	delete(p.workspaces, w.name)
}

// Cancel withdraws a request. A waiting request is refused with
// CodeCancelled. For a running request Cancel returns true: the caller cancels
// the attempt at the engine and then calls Release, because the engine holds
// the slot until then.
func (p *Pool) Cancel(now time.Time, t *Ticket) (running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch t.phase {
	case phaseRunning:
		return true
	case phaseQueued, phaseParked:
		p.withdraw(t)
		p.refuse(now, t, CodeCancelled)
		// The request behind it may suit an engine that this one excluded.
		p.dispatch(now)
	}
	return false
}

// Release ends a granted request and frees its slot. It reports false, and
// changes nothing, for a ticket that does not run.
func (p *Pool) Release(now time.Time, t *Ticket, res Result) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.phase != phaseRunning {
		return false
	}
	t.phase = phaseDone
	e := &p.engines[t.engine]
	e.own--
	p.view.Engines[t.engine].Tokens -= t.tokens
	p.freed(t.engine, t.flow.class, t.flow.ws)
	p.learn(now, t, res)
	p.counters.released++
	p.serveParked(now, t.engine)
	p.collect(t.engine)
	p.dispatch(now)
	p.forget(t.flow.ws)
	return true
}

// freed updates the counts after a slot of an engine was given up.
func (p *Pool) freed(engine int, c class, w *workspace) {
	p.recount(engine)
	p.classes[c].inFlight--
	w.running--
	p.saturated = false
	p.reactivate(w)
}

// reactivate puts the flows of a workspace back that were taken out at its
// limit of requests in flight.
func (p *Pool) reactivate(w *workspace) {
	for c := range w.flows {
		if w.blocked() {
			p.classes[c].deactivate(&w.flows[c])
		} else {
			p.classes[c].activate(&w.flows[c])
		}
	}
}

// serviceWeight is the weight of a new sample in the mean service time.
const serviceWeight = 0.05

func movingMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceWeight*(sample-mean)
}

// learn updates the service time and the prefix index from a result.
func (p *Pool) learn(now time.Time, t *Ticket, res Result) {
	e := &p.engines[t.engine]
	row := &p.view.Engines[t.engine]
	if res.Cancelled {
		return
	}
	if res.EngineFailed {
		p.counters.failed++
		return
	}
	held := now.Sub(t.granted).Seconds()
	e.service = movingMean(e.service, held)
	p.service = movingMean(p.service, held)
	row.Service = time.Duration(e.service * float64(time.Second))
	p.counters.promptTokens += int64(res.PromptTokens)
	p.counters.cachedTokens += int64(res.CachedTokens)
	if t.gen != e.gen {
		return
	}
	key := t.key
	if t.req.Chat == "" {
		key = 0
	}
	total := res.PromptTokens + res.OutputTokens
	p.index.Used(key, t.engine, total, total-res.CachedTokens)
}

// grant gives an engine's slot to a ticket that was taken out of the queue.
func (p *Pool) grant(now time.Time, t *Ticket, ch placement.Choice) {
	w := t.flow.ws
	w.queued--
	p.queued--
	p.due.schedule(t, time.Time{})
	q := &p.classes[t.flow.class]
	q.inFlight++
	w.running++
	if w.blocked() {
		p.reactivate(w)
	}
	e := &p.engines[ch.Engine]
	e.own++
	p.recount(ch.Engine)
	row := &p.view.Engines[ch.Engine]
	row.Tokens += t.tokens
	t.phase, t.engine, t.gen, t.granted = phaseRunning, ch.Engine, e.gen, now
	p.counters.granted++
	p.counters.reasons[ch.Reason]++
	t.done <- Outcome{Grant: &Grant{
		Engine:         row.Name,
		BootID:         e.boot,
		Queued:         now.Sub(t.arrived),
		Reason:         ch.Reason,
		ExpectedPrefix: ch.Prefix,
	}}
}

// recount sets an engine's load and its part of the pool's slots from the
// ledger.
func (p *Pool) recount(i int) {
	e := &p.engines[i]
	row := &p.view.Engines[i]
	row.Load = e.own + e.adopted + e.reserved
	counted := 0
	if row.State.Live() {
		counted = e.own + e.adopted
	}
	p.view.Slots += counted - e.counted
	e.counted = counted
}

// dispatch grants slots to waiting requests in the order of the fair queue.
// lapsed reports whether the votes have ended. A process that was paused finds
// out here before it admits anything.
// serveHead decides on the first request of a class.
// pick asks the picker for an engine.
// park lets a ticket wait for a slot of one engine.
// serveParked tries to place the tickets that wait for an engine, in order of
// arrival. Tickets of a workspace at its limit are passed over.
// endWait puts a parked ticket back at the head of its flow. It was charged
// when it was parked, so the charge is returned.
// Tick handles ended waits, passed deadlines and ended reserves. It returns the
// time at which it must be called next; the zero time means that nothing
// waits. Call it also after Submit if the request was not decided at once,
// because the new request may be due before the last returned time.
func (p *Pool) Tick(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.due) > 0 && !now.Before(p.due[0].due) {
		p.expire(now, p.due[0])
	}
	next := p.expireReserves(now)
	p.dispatch(now)
	p.sweep(now)
	if len(p.due) > 0 && (next.IsZero() || p.due[0].due.Before(next)) {
		next = p.due[0].due
	}
	return next
}

// Limits of the search for idle workspaces.
const (
	sweepEvery = 1 * time.Second
	// sweepSize is the number of workspaces that one sweep checks.
	sweepSize = 256
)

// sweep forgets some idle workspaces, so that the table is bounded by the
// workspaces in use.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	n := 0
	for _, w := range p.workspaces {
		p.forget(w)
		n++
		if n == sweepSize {
			return
		}
	}
}

func (p *Pool) expire(now time.Time, t *Ticket) {
	passed := !t.req.Deadline.IsZero() && !now.Before(t.req.Deadline)
	if t.phase == phaseParked && !passed {
		p.endWait(t)
		return
	}
	p.withdraw(t)
	p.refuse(now, t, CodeDeadline)
}

// HandBack withdraws every waiting request, refuses it with code and returns
// the requests in order of arrival. Later requests are
// refused with the same code until SetShare; CodeStopping is
// final. Running requests keep their slots.
func (p *Pool) HandBack(now time.Time, code Code) []*Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed != CodeStopping {
		p.closed = code
	}
	return p.refuseAll(now, code)
}

// refuseAll refuses every waiting request.
func (p *Pool) refuseAll(now time.Time, code Code) []*Request {
	var all []*Ticket
	for i := range p.engines {
		all = append(all, p.engines[i].parked...)
	}
	for _, w := range p.workspaces {
		for c := range w.flows {
			for t := w.flows[c].head; t != nil; t = t.next {
				all = append(all, t)
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].arrived.Before(all[j].arrived) })
	reqs := make([]*Request, len(all))
	for i, t := range all {
		reqs[i] = t.req
		p.withdraw(t)
		p.refuse(now, t, code)
	}
	return reqs
}

// nextClass returns the class of the next grant: the class that is owed most
// by its reserved share, else the most urgent one.
// maxCredit limits the grants that a class can be owed.
// earnCredit accounts a grant of class c. Classes that wait earn their share
// of it.
// lookupMemory is the time for which free slots stay reserved for lookups
// after the last one, so that a lookup finds a slot without a wait.
// permitted reports whether a class may take a free slot without using the
// reserve of another class. It matters only near the absolute limit of all
// engines together.
// wantsReserve reports whether slots are kept free for a class: it has a
// request that could run, or lookups were seen lately.
// reserve returns the number of slots reserved for a class.
