// Package model compares placement policies by simulation. It runs the real
// admission pool against modelled engines and callers in simulated time. Its
// figures describe the model and are not measurements of the router.
package model

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/cachehint"
	"github.com/bluebellwell/bluebellwell/internal/kvmove"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// Options configures a run.
type Options struct {
	Seed    uint64
	Engines int
	// TargetLoad is the intended mean number of requests in flight per engine.
	TargetLoad   float64
	LoadMultiple float64
	HomeWait     time.Duration
	// CacheTokens is the cache size of an engine.
	CacheTokens int
	// CapacityKnown makes the cache size available to the pool.
	CapacityKnown bool
	Warmup        time.Duration
	Duration      time.Duration
	// ReplaceInterval is the time between replacements of an engine; 0 means none.
	ReplaceInterval time.Duration
	// SurgeFactor multiplies the rate of new chats of two workspaces for two
	// minutes of every six.
	SurgeFactor float64
	// ReportLag is the interval of the load reports that baselines use, and so
	// their largest age.
	ReportLag time.Duration
	// MovesPerMinute limits the KV cache moves from leaving engines to others; 0
	// means no moves.
	MovesPerMinute int
	// Hints passes the engines' cache events to the pool; nil passes none.
	Hints *Hints
	// Picker returns a new picker; nil means the greedy oracle.
	Picker func() placement.Picker
}

// Defaults returns the default options for a load multiple.
func Defaults(multiple float64) Options {
	return Options{
		Seed: 1, Engines: 18, TargetLoad: 14, LoadMultiple: multiple,
		CacheTokens: 300_000, CapacityKnown: true,
		Warmup: 4 * time.Minute, Duration: 12 * time.Minute,
		ReplaceInterval: 2 * time.Minute, SurgeFactor: 4, ReportLag: time.Second,
	}
}

// Report is the result of a run.
type Report struct {
	Policy string
	// PromptTokens and CachedTokens cover all requests; the Return fields cover
	// the requests of returning chats.
	PromptTokens, CachedTokens             int64
	ReturnPromptTokens, ReturnCachedTokens int64
	// SkewP50, SkewP99 and SkewMax are statistics of the highest load divided by
	// the mean, over all samples.
	SkewP50, SkewP99, SkewMax float64
	MeanLoad                  float64
	// Violations counts admissions above the bound.
	Violations int
	// Moves is the number of successful KV cache moves.
	Moves int
	// HintBytes estimates the bytes of the cache events read after the warm-up.
	HintBytes int64
	Granted   int
	Refused   int
	Waited    int
	WaitP99   time.Duration
	// FirstToken is the mean time to the first token, which is the queue time plus
	// the prefill time. FirstTokenP95 is its 95th percentile.
	FirstToken    time.Duration
	FirstTokenP95 time.Duration
	Reasons       map[string]int64
}

// CacheHitRatio returns the share of the prompt tokens of returning chats that were
// cached.
func (r Report) CacheHitRatio() float64 {
	return float64(r.ReturnCachedTokens) / float64(max(r.ReturnPromptTokens, 1))
}

// String formats the report on one line.
func (r Report) String() string {
	return fmt.Sprintf("%-22s hits %.4f skew p50 %.3f p99 %.3f max %.3f mean %.1f violations %d granted %d refused %d waited %d wait p99 %s",
		r.Policy, r.CacheHitRatio(), r.SkewP50, r.SkewP99, r.SkewMax, r.MeanLoad, r.Violations, r.Granted, r.Refused, r.Waited, r.WaitP99)
}

// Properties of the modelled callers and engines.
const (
	workspaces = 10
	// prefillTokensPerSecond is the number of prompt tokens that an engine
	// computes per second.
	prefillTokensPerSecond = 8000
	// decodeTimePerToken is the time for one output token.
	decodeTimePerToken = 25 * time.Millisecond
	// meanServiceTime is the mean duration of a request that results from these
	// values. It converts the target load into a rate of new chats.
	meanServiceTime = 5100 * time.Millisecond
	// meanTurns is the mean number of turns of a chat that fit into a run.
	meanTurns = 4.5
	// sampleInterval is the time between samples of the loads.
	sampleInterval = 200 * time.Millisecond
	maxInFlight    = 64
)

type chat struct {
	rng       *rand.Rand
	workspace int
	name      string
	key       uint64
	turns     int
	turn      int
	// history is the number of tokens after the system prompt.
	history int
	output  int
}

type engine struct {
	name  string
	cache *cache
	load  int
	live  bool
	// events are the cache events that are not yet read.
	events  []cacheEvent
	tracker cachehint.Tracker
	seq     uint64
}

// request is one turn of a chat.
type request struct {
	chat         *chat
	ticket       *admission.Ticket
	engine       *engine
	cachedTokens int
	prompt       int
}

// event is one step of simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sim is the state of a run.
type sim struct {
	opts        Options
	rng         *rand.Rand
	now         time.Duration
	events      eventHeap
	seq         int
	pool        *admission.Pool
	engines     []*engine
	byName      map[string]*engine
	engineCount int
	chatCount   int
	byKey       map[uint64]*chat
	// prefixKeys holds the prefix keys of all chats, including ended ones.
	prefixKeys      map[uint64]string
	weights         []float64
	systemTokens    []int
	waiting         []*request
	tickAt          time.Duration
	skews           []float64
	meanLoadSum     float64
	waits           []time.Duration
	firstTokenTimes []time.Duration
	report          Report
	planner         *kvmove.Planner
	chatNames       *kvmove.ChatNames
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run simulates one policy.
func Run(opts Options) Report {
	s := &sim{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), byName: map[string]*engine{}, byKey: map[uint64]*chat{}, prefixKeys: map[uint64]string{}}
	s.planner = kvmove.NewPlanner(kvmove.Limits{MovesPerMinute: opts.MovesPerMinute, Concurrent: kvmove.MaxConcurrent})
	s.chatNames = kvmove.NewChatNames(0)
	s.makeWorkspaces()
	picker := placement.Picker(&oracle{sim: s})
	if opts.Picker != nil {
		picker = opts.Picker()
	}
	s.report.Policy = picker.Name()
	noise := rand.New(rand.NewPCG(opts.Seed, 2))
	s.pool = admission.NewPool(admission.Config{Pool: &record.Pool{
		Name: "model", LoadMultiple: opts.LoadMultiple, MaxInFlight: maxInFlight, HomeWait: opts.HomeWait,
	}}, admission.Deps{Rand: noise.Float64, Picker: picker, Prefixes: placement.NewPrefixIndex(65536)})
	s.pool.SetShare(s.clock(), 1, time.Time{})
	for range opts.Engines {
		s.addEngine()
	}
	s.updateEngines()
	s.scheduleInitialEvents()
	for len(s.events) > 0 && s.events[0].at < opts.Warmup+opts.Duration {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.buildReport()
}

func (s *sim) scheduleInitialEvents() {
	s.schedule(0, s.newChat)
	s.schedule(s.opts.Warmup, s.sample)
	s.schedule(0, s.sendReports)
	if s.opts.Hints != nil {
		s.schedule(0, s.readEvents)
	}
	if s.opts.ReplaceInterval > 0 {
		s.schedule(s.opts.ReplaceInterval, s.replace)
	}
}

func (s *sim) clock() time.Time {
	return epoch.Add(s.now)
}

// schedule schedules a function at a simulated time.
func (s *sim) schedule(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: run})
}

// measuring reports whether the warm-up is over.
func (s *sim) measuring() bool {
	return s.now >= s.opts.Warmup
}

// makeWorkspaces gives the workspaces sizes by Zipf's law and system prompts
// of 500 to 4,000 tokens.
func (s *sim) makeWorkspaces() {
	for w := range workspaces {
		s.weights = append(s.weights, 1/float64(w+1))
		s.systemTokens = append(s.systemTokens, 500+s.rng.IntN(3500))
	}
}

func (s *sim) addEngine() {
	s.engineCount++
	e := &engine{name: fmt.Sprintf("engine-%d", s.engineCount), cache: newCache(s.opts.CacheTokens), live: true}
	s.recordCacheEvents(e)
	s.engines = append(s.engines, e)
	s.byName[e.name] = e
}

func (s *sim) updateEngines() {
	var list []admission.Engine
	for _, e := range s.engines {
		a := admission.Engine{Name: e.name, Weight: 1, State: placement.Leaving, BootID: "1"}
		if e.live {
			a.State = placement.Up
		}
		if s.opts.CapacityKnown {
			a.CacheTokens = s.opts.CacheTokens
		}
		list = append(list, a)
	}
	s.pool.SetEngines(s.clock(), list)
}

// replace sets the oldest live engine to leaving and adds an empty one.
func (s *sim) replace() {
	s.schedule(s.now+s.opts.ReplaceInterval, s.replace)
	remaining := s.engines[:0]
	for _, e := range s.engines {
		if e.live || e.load > 0 {
			remaining = append(remaining, e)
		}
	}
	s.engines = remaining
	var leaving *engine
	for _, e := range s.engines {
		if e.live {
			e.live = false
			leaving = e
			break
		}
	}
	s.addEngine()
	s.updateEngines()
	if leaving != nil {
		s.offerMoves(leaving)
	}
	s.startGranted()
}

func (s *sim) sendReports() {
	s.schedule(s.now+s.opts.ReportLag, s.sendReports)
	for _, e := range s.engines {
		s.pool.SetReportedLoad(e.name, e.load)
	}
}

// newChat starts a chat and schedules the next start.
func (s *sim) newChat() {
	rate := s.opts.TargetLoad * float64(s.opts.Engines) / meanServiceTime.Seconds() / meanTurns
	total := 0.0
	surge := s.now%(6*time.Minute) >= 3*time.Minute && s.now%(6*time.Minute) < 5*time.Minute
	weights := slices.Clone(s.weights)
	for w := range weights {
		if surge && (w == 3 || w == 4) {
			weights[w] *= s.opts.SurgeFactor
		}
		total += weights[w]
	}
	base := 0.0
	for _, w := range s.weights {
		base += w
	}
	gap := s.rng.ExpFloat64() / (rate * total / base)
	s.schedule(s.now+time.Duration(gap*float64(time.Second)), s.newChat)
	pick := s.rng.Float64() * total
	w := 0
	for w < workspaces-1 && pick >= weights[w] {
		pick -= weights[w]
		w++
	}
	s.chatCount++
	c := &chat{rng: rand.New(rand.NewPCG(s.opts.Seed, uint64(s.chatCount)+1000)), workspace: w, name: fmt.Sprint(s.chatCount)}
	c.key = placement.ChatKey(workspaceName(w), c.name)
	// The turns follow a Pareto distribution with shape 1.5 and minimum 2.
	c.turns = int(math.Min(2/math.Pow(c.rng.Float64(), 1/1.5), 200))
	s.byKey[c.key] = c
	s.prefixKeys[c.key] = workspaceName(w) + "/" + c.name
	s.send(c)
}

func workspaceName(w int) string {
	return fmt.Sprintf("workspace-%d", w)
}

// systemKey is the cache key of a workspace's system prompt.
func systemKey(w int) uint64 {
	return placement.ChatKey("system", workspaceName(w))
}

// send submits the next turn of a chat.
func (s *sim) send(c *chat) {
	c.turn++
	c.history += 20 + int(60*math.Exp(c.rng.NormFloat64()))
	c.output = 20 + int(130*math.Exp(0.8*c.rng.NormFloat64()))
	r := &request{chat: c, prompt: s.systemTokens[c.workspace] + c.history}
	r.ticket = s.pool.Submit(s.clock(), &admission.Request{
		ID: c.name, Workspace: workspaceName(c.workspace), Chat: c.name,
		PromptTokens: r.prompt, OutputTokens: c.output,
	})
	s.waiting = append(s.waiting, r)
	s.startGranted()
}

// startGranted starts the requests that were granted and schedules the next
// tick.
func (s *sim) startGranted() {
	undecided := s.waiting[:0]
	for _, r := range s.waiting {
		select {
		case o := <-r.ticket.Done():
			if o.Grant == nil {
				s.report.Refused++
				continue
			}
			s.begin(r, o.Grant)
		default:
			undecided = append(undecided, r)
		}
	}
	s.waiting = undecided
	s.scheduleTick()
}

func (s *sim) scheduleTick() {
	next := s.pool.Tick(s.clock())
	if next.IsZero() {
		return
	}
	at := next.Sub(epoch)
	if s.tickAt > s.now && s.tickAt <= at {
		return
	}
	s.tickAt = at
	s.schedule(at, s.tick)
}

func (s *sim) tick() {
	s.pool.Tick(s.clock())
	s.startGranted()
}

// begin runs a granted request on its engine.
func (s *sim) begin(r *request, g *admission.Grant) {
	e := s.byName[g.Engine]
	s.checkBound(e)
	e.load++
	r.engine = e
	c := r.chat
	s.planner.RecordRequest(c.key)
	sys := min(e.cache.peek(systemKey(c.workspace)), s.systemTokens[c.workspace])
	if sys > 0 {
		r.cachedTokens = sys + min(e.cache.peek(c.key), c.history)
	}
	s.recordGrant(r, g)
	e.cache.put(c.key, c.history)
	e.cache.put(systemKey(c.workspace), s.systemTokens[c.workspace])
	s.schedule(s.now+prefill(r)+time.Duration(c.output)*decodeTimePerToken, func() { s.end(r) })
}

// prefill returns the time to compute the part of the prompt that is not cached.
func prefill(r *request) time.Duration {
	return time.Duration(float64(r.prompt-r.cachedTokens) / prefillTokensPerSecond * float64(time.Second))
}

// checkBound recomputes the bound from the model's own loads.
func (s *sim) checkBound(e *engine) {
	slots, live := 0, 0
	for _, x := range s.engines {
		if x.live {
			slots += x.load
			live++
		}
	}
	bound := math.Ceil(s.opts.LoadMultiple*float64(slots+1)/float64(live) - 1e-9)
	if float64(e.load+1) > bound || !e.live {
		s.report.Violations++
	}
}

func (s *sim) recordGrant(r *request, g *admission.Grant) {
	if !s.measuring() {
		return
	}
	s.report.Granted++
	s.report.PromptTokens += int64(r.prompt)
	s.report.CachedTokens += int64(r.cachedTokens)
	if r.chat.turn > 1 {
		s.report.ReturnPromptTokens += int64(r.prompt)
		s.report.ReturnCachedTokens += int64(r.cachedTokens)
	}
	s.waits = append(s.waits, g.QueueTime)
	s.firstTokenTimes = append(s.firstTokenTimes, g.QueueTime+prefill(r))
	if g.QueueTime > 0 {
		s.report.Waited++
	}
}

// end finishes a request and schedules the chat's next turn after a pause.
func (s *sim) end(r *request) {
	c := r.chat
	r.engine.load--
	c.history += c.output
	r.engine.cache.put(c.key, c.history)
	s.pool.Release(s.clock(), r.ticket, admission.Result{
		CachedTokens: r.cachedTokens, PromptTokens: r.prompt, OutputTokens: c.output,
	})
	s.recordChatUse(r)
	if c.turn < c.turns {
		// The pause has a median of 20 s and a mean of about 41 s.
		pause := 20 * math.Exp(1.2*c.rng.NormFloat64())
		s.schedule(s.now+time.Duration(pause*float64(time.Second)), func() { s.send(c) })
	} else {
		delete(s.byKey, c.key)
	}
	s.startGranted()
}

func (s *sim) sample() {
	s.schedule(s.now+sampleInterval, s.sample)
	slots, live, highest := 0, 0, 0
	for _, e := range s.engines {
		if e.live {
			slots += e.load
			live++
			highest = max(highest, e.load)
		}
	}
	mean := float64(slots) / float64(live)
	s.meanLoadSum += mean
	s.skews = append(s.skews, float64(highest)/mean)
}

func (s *sim) buildReport() Report {
	r := s.report
	slices.Sort(s.skews)
	slices.Sort(s.waits)
	n := len(s.skews)
	r.SkewP50, r.SkewP99, r.SkewMax = s.skews[n/2], s.skews[n*99/100], s.skews[n-1]
	r.MeanLoad = s.meanLoadSum / float64(n)
	r.WaitP99 = s.waits[len(s.waits)*99/100]
	slices.Sort(s.firstTokenTimes)
	total := time.Duration(0)
	for _, d := range s.firstTokenTimes {
		total += d
	}
	r.FirstToken = total / time.Duration(len(s.firstTokenTimes))
	r.FirstTokenP95 = s.firstTokenTimes[len(s.firstTokenTimes)*95/100]
	r.Reasons = s.pool.Stats().Reasons
	return r
}

// oracle is a picker with access to every cache and every load. Under the same
// bound it chooses the engine with the longest cached prefix and, among equals,
// the least loaded one.
type oracle struct {
	sim *sim
}

func (o *oracle) Name() string {
	return "oracle"
}

func (o *oracle) Pick(v *placement.View, j *placement.Job) placement.Choice {
	c := o.sim.byKey[j.Key]
	best, longest := -1, -1
	for i := range v.Engines {
		row := &v.Engines[i]
		if !row.State.Live() || row.Load >= v.Limit(i) {
			continue
		}
		cached := o.cachedPrefix(row.Name, c)
		if cached > longest || cached == longest && row.Load < v.Engines[best].Load {
			best, longest = i, cached
		}
	}
	if best < 0 {
		return placement.Choice{}
	}
	return placement.Choice{Action: placement.Place, Engine: best, Reason: placement.ByBaseline, PrefixTokens: longest}
}

func (o *oracle) cachedPrefix(name string, c *chat) int {
	lru := o.sim.byName[name].cache
	sys := lru.peek(systemKey(c.workspace))
	if sys == 0 {
		return 0
	}
	return sys + min(lru.peek(c.key), c.history)
}
