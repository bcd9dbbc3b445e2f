package admission

import (
	"fmt"
	"maps"
	"math/big"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// modelEngine is the test's own record of an engine.
type modelEngine struct {
	state         placement.State
	weight        int64
	load          int
	reserved      int
	reservedUntil time.Time
	boot          int
}

// model recomputes the bound in rational numbers from its own counts. It wraps
// the real picker, so that it checks each admission when it is made.
type model struct {
	t       *rapid.T
	picker  placement.Picker
	engines map[string]*modelEngine
	// quarters is the ownership share in quarters.
	quarters    int64
	multiple    *big.Rat
	maxInFlight int
}

// live is the test's own list of the states that accept requests.
func (e *modelEngine) live() bool {
	return e.state == placement.Up || e.state == placement.Damped
}

func (m *model) Name() string { return "model" }

func (m *model) Pick(v *placement.View, j *placement.Job) placement.Choice {
	c := m.picker.Pick(v, j)
	if c.Action == placement.Place {
		m.admit(v.Engines[c.Engine].Name)
	}
	return c
}

func (m *model) totals() (slots, weight int64) {
	for _, e := range m.engines {
		if e.live() {
			slots += int64(e.load)
			weight += e.weight
		}
	}
	return slots, weight
}

func (m *model) limit(e *modelEngine) int {
	slots, weight := m.totals()
	x := new(big.Rat).Mul(m.multiple, big.NewRat((slots+1)*e.weight, weight))
	bound := new(big.Int).Add(x.Num(), x.Denom())
	bound.Sub(bound, big.NewInt(1)).Div(bound, x.Denom())
	limit := int(bound.Int64() * m.quarters / 4)
	if m.maxInFlight > 0 {
		limit = min(limit, m.maxInFlight)
	}
	return limit
}

func (m *model) admit(name string) {
	e := m.engines[name]
	if !e.live() {
		m.t.Fatalf("admission to %s, which is %s", name, e.state)
	}
	if e.load+e.reserved+1 > m.limit(e) {
		m.t.Fatalf("admission to %s gives load %d above the bound %d", name, e.load+e.reserved+1, m.limit(e))
	}
	e.load++
}

// machine drives a pool and records the outcomes that the pool delivered.
type machine struct {
	*model
	pool    *Pool
	now     time.Time
	cfg     Config
	pending []*Ticket
	running map[*Ticket]string
	decided []*Ticket
	adopted map[string]string
	lastID  int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		model: &model{
			t: t, engines: map[string]*modelEngine{}, quarters: 4,
			picker:   placement.NewAffinity(placement.Tuning{SoftFactor: 0.5, MinWaitTokens: 1}),
			multiple: big.NewRat(5, 4), maxInFlight: 6,
		},
		now: start, running: map[*Ticket]string{}, adopted: map[string]string{},
	}
	m.cfg = testConfig(1.25, 6)
	m.cfg.Pool.QueueLimit = 30
	m.cfg.Pool.HomeWait = 50 * time.Millisecond
	m.cfg.Workspaces = map[string]*record.Workspace{
		"w0": {Weight: 4, MaxQueued: 12}, "w1": {Weight: 1, MaxInFlight: 3},
	}
	m.pool = NewPool(m.cfg, Deps{Rand: func() float64 { return 0.25 }, Picker: m, Prefixes: placement.NewPrefixIndex(8)})
	for i := range 4 {
		m.engines[fmt.Sprintf("e%d", i)] = &modelEngine{state: placement.Up, weight: 1}
	}
	m.setEngines()
	m.pool.SetShare(m.now, 1, time.Time{})
	return m
}

func (m *machine) setEngines() {
	var list []Engine
	for _, name := range slices.Sorted(maps.Keys(m.engines)) {
		if e := m.engines[name]; e.state != placement.Down {
			list = append(list, Engine{Name: name, Weight: float64(e.weight), State: e.state,
				BootID: fmt.Sprint(e.boot), CacheTokens: 5000})
		}
	}
	m.pool.SetEngines(m.now, list)
}

func (m *machine) engineName(t *rapid.T) string {
	return fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "engine"))
}

func (m *machine) Submit(t *rapid.T) {
	m.lastID++
	req := &Request{
		ID:           fmt.Sprint(m.lastID),
		Workspace:    fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "workspace")),
		Class:        rapid.SampledFrom(record.Priorities).Draw(t, "class"),
		PromptTokens: 1000,
		Retry:        rapid.IntRange(0, 9).Draw(t, "retry") == 0,
	}
	if chat := rapid.IntRange(0, 6).Draw(t, "chat"); chat > 0 {
		req.Chat = fmt.Sprint(chat)
	}
	if wait := rapid.IntRange(0, 4).Draw(t, "deadline"); wait > 0 {
		req.Deadline = m.now.Add(time.Duration(wait) * 100 * time.Millisecond)
	}
	if rapid.IntRange(0, 5).Draw(t, "excludes") == 0 {
		req.Exclude = []string{m.engineName(t)}
	}
	m.pending = append(m.pending, m.pool.Submit(m.now, req))
}

func (m *machine) pickRunning(t *rapid.T) *Ticket {
	if len(m.running) == 0 {
		t.Skip("no request is running")
	}
	var list []*Ticket
	for _, tk := range m.decided {
		if m.running[tk] != "" {
			list = append(list, tk)
		}
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "ticket")]
}

func (m *machine) release(tk *Ticket, failed bool) {
	m.engines[m.running[tk]].load--
	delete(m.running, tk)
	res := Result{PromptTokens: 1000, OutputTokens: 200, EngineFailed: failed}
	if !m.pool.Release(m.now, tk, res) {
		m.t.Fatal("release of a running ticket was refused")
	}
	if m.pool.Release(m.now, tk, res) {
		m.t.Fatal("a ticket was released twice")
	}
}

func (m *machine) Release(t *rapid.T) {
	m.release(m.pickRunning(t), rapid.Bool().Draw(t, "failed"))
}

func (m *machine) Cancel(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("no request is waiting")
	}
	tk := m.pending[rapid.IntRange(0, len(m.pending)-1).Draw(t, "ticket")]
	if m.pool.Cancel(m.now, tk) {
		t.Fatal("a waiting ticket counts as running")
	}
}

// CancelRunning cancels a running ticket. The ticket keeps its slot until the
// release.
func (m *machine) CancelRunning(t *rapid.T) {
	tk := m.pickRunning(t)
	if !m.pool.Cancel(m.now, tk) {
		t.Fatal("a running ticket does not count as running")
	}
}

func (m *machine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
	for _, e := range m.engines {
		if !m.now.Before(e.reservedUntil) {
			e.reserved = 0
		}
	}
	next := m.pool.Tick(m.now)
	if !next.IsZero() && !next.After(m.now) {
		t.Fatalf("next tick %v is not after %v", next, m.now)
	}
	for _, tk := range m.pending {
		if d := tk.req.Deadline; !d.IsZero() && !m.now.Before(d) && len(tk.done) == 0 {
			t.Fatal("a request waits beyond its deadline")
		}
	}
}

func (m *machine) ChangeEngine(t *rapid.T) {
	name := m.engineName(t)
	e := m.engines[name]
	if e == nil {
		e = &modelEngine{}
		m.engines[name] = e
	}
	e.state = placement.State(rapid.IntRange(0, 3).Draw(t, "state"))
	e.weight = int64(rapid.IntRange(1, 3).Draw(t, "weight"))
	e.boot += rapid.IntRange(0, 1).Draw(t, "restart")
	m.setEngines()
}

func (m *machine) Adopt(t *rapid.T) {
	name := m.engineName(t)
	if m.engines[name] == nil {
		m.engines[name] = &modelEngine{weight: 1}
	}
	m.lastID++
	id := fmt.Sprint(m.lastID)
	m.adopted[id] = name
	m.engines[name].load++
	a := AdoptedAttempt{ID: id, Engine: name, Workspace: "w0", Class: record.PriorityReview}
	m.pool.Adopt(m.now, []AdoptedAttempt{a, a})
}

func (m *machine) ReleaseAdopted(t *rapid.T) {
	ids := slices.Sorted(maps.Keys(m.adopted))
	if len(ids) == 0 {
		t.Skip("no attempt is adopted")
	}
	id := rapid.SampledFrom(ids).Draw(t, "id")
	m.engines[m.adopted[id]].load--
	delete(m.adopted, id)
	if !m.pool.ReleaseAdopted(m.now, id) || m.pool.ReleaseAdopted(m.now, id) {
		t.Fatal("an adopted attempt must be released exactly once")
	}
}

func (m *machine) Reserve(t *rapid.T) {
	name := m.engineName(t)
	e := m.engines[name]
	if e == nil || e.state == placement.Down {
		t.Skip("no such engine")
	}
	e.reserved = rapid.IntRange(0, 3).Draw(t, "slots")
	e.reservedUntil = m.now.Add(300 * time.Millisecond)
	m.pool.Reserve(m.now, name, e.reserved, e.reservedUntil)
}

func (m *machine) Reconfigure(t *rapid.T) {
	cfg := m.cfg
	rec := *cfg.Pool
	quarters := rapid.Int64Range(4, 8).Draw(t, "multiple")
	rec.LoadMultiple = float64(quarters) / 4
	rec.MaxInFlight = rapid.IntRange(0, 8).Draw(t, "max")
	cfg.Pool = &rec
	m.cfg = cfg
	m.multiple = big.NewRat(quarters, 4)
	m.maxInFlight = rec.MaxInFlight
	m.pool.SetConfig(m.now, cfg)
}

func (m *machine) ChangeShare(t *rapid.T) {
	m.quarters = rapid.Int64Range(0, 4).Draw(t, "quarters")
	m.pool.SetShare(m.now, float64(m.quarters)/4, time.Time{})
}

func (m *machine) Suspend(t *rapid.T) {
	waiting := len(m.pending)
	if got := len(m.pool.Suspend(m.now, CodeNotOwner)); got != waiting {
		t.Fatalf("Suspend returned %d requests, want %d", got, waiting)
	}
	m.collectOutcomes()
	if len(m.pending) > 0 {
		t.Fatal("a request still waits after Suspend")
	}
	m.pool.SetShare(m.now, float64(m.quarters)/4, time.Time{})
}

// collectOutcomes receives the delivered outcomes.
func (m *machine) collectOutcomes() {
	var undecided []*Ticket
	for _, tk := range m.pending {
		o := outcome(tk)
		if o == nil {
			undecided = append(undecided, tk)
			continue
		}
		m.decided = append(m.decided, tk)
		if (o.Grant == nil) == (o.Refusal == nil) {
			m.t.Fatal("an outcome must be either a grant or a refusal")
		}
		if o.Grant != nil {
			m.running[tk] = o.Grant.Engine
			for _, name := range tk.req.Exclude {
				if name == o.Grant.Engine {
					m.t.Fatal("an excluded engine was granted")
				}
			}
		}
	}
	m.pending = undecided
	for _, tk := range m.decided {
		if outcome(tk) != nil {
			m.t.Fatal("a ticket got a second outcome")
		}
	}
}

// Check compares the pool's counts with the test's own and looks for requests
// that wait needlessly.
func (m *machine) Check(t *rapid.T) {
	m.collectOutcomes()
	loads := map[string]int{}
	perWorkspace := map[string]int{}
	for tk, name := range m.running {
		loads[name]++
		perWorkspace[tk.req.Workspace]++
	}
	for _, name := range m.adopted {
		loads[name]++
	}
	if perWorkspace["w1"] > 3 {
		t.Fatal("a workspace is above its limit of requests in flight")
	}
	s := m.pool.Stats()
	for _, e := range s.Engines {
		if e.Load-e.Reserved != loads[e.Name] || loads[e.Name] != m.engines[e.Name].load {
			t.Fatalf("load of %s is %d, want %d", e.Name, e.Load-e.Reserved, loads[e.Name])
		}
	}
	if s.Queued != len(m.pending) {
		t.Fatalf("%d requests are queued, want %d", s.Queued, len(m.pending))
	}
	m.checkNeedlessWaits(t, perWorkspace)
}

// checkNeedlessWaits fails if a request waits although an engine has room that
// is not reserved for a class.
func (m *machine) checkNeedlessWaits(t *rapid.T, perWorkspace map[string]int) {
	free, total := 0, 0
	for _, e := range m.engines {
		if !e.live() {
			continue
		}
		total += m.maxInFlight
		if e.load+e.reserved < m.limit(e) {
			free = max(free, 1)
		}
	}
	slots, _ := m.totals()
	reserves := int(0.6*float64(total)) + 1
	if free == 0 || m.maxInFlight > 0 && total-int(slots) <= reserves {
		return
	}
	for _, tk := range m.pending {
		blocked := tk.req.Workspace == "w1" && perWorkspace["w1"] >= 3
		if !blocked && len(tk.req.Exclude) == 0 && tk.phase == phaseQueued && tk.flow.head == tk {
			t.Fatalf("request %s waits although an engine has room", tk.req.ID)
		}
	}
}

// drain brings an engine up, restores the full share and requires that each
// waiting request gets its outcome within 2 rounds per request and 10 more.
func (m *machine) drain() {
	m.now = m.now.Add(time.Second)
	for _, e := range m.engines {
		e.reserved = 0
	}
	m.pool.Tick(m.now)
	m.engines["e0"].state = placement.Up
	m.setEngines()
	m.quarters = 4
	m.pool.SetShare(m.now, 1, time.Time{})
	for _, id := range slices.Sorted(maps.Keys(m.adopted)) {
		m.engines[m.adopted[id]].load--
		m.pool.ReleaseAdopted(m.now, id)
	}
	for range 2*m.lastID + 10 {
		m.collectOutcomes()
		for _, tk := range m.decided {
			if m.running[tk] != "" {
				m.release(tk, false)
			}
		}
		m.now = m.now.Add(50 * time.Millisecond)
		m.pool.Tick(m.now)
	}
	m.collectOutcomes()
	if len(m.pending) > 0 || m.pool.Stats().Slots != 0 {
		m.t.Fatalf("%d requests starved", len(m.pending))
	}
}

// Guards against admission above the bound or to an engine that is leaving,
// lost or duplicate outcomes, wrong slot counts and starvation, for random
// interleavings of all calls.
func TestPoolMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.Submit, "submit2": m.Submit, "submit3": m.Submit, "submit4": m.Submit,
			"release": m.Release, "release2": m.Release, "cancel": m.Cancel, "cancelRunning": m.CancelRunning, "advance": m.Advance,
			"engine": m.ChangeEngine, "adopt": m.Adopt, "releaseAdopted": m.ReleaseAdopted,
			"reserve": m.Reserve, "reconfigure": m.Reconfigure, "share": m.ChangeShare,
			"handBack": m.Suspend, "": m.Check,
		})
		m.drain()
	})
}
