package order

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed" // fixed seed

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
)

const modelStream = "orders"

var (
	modelTiming = Timing{LeaseDuration: 30 * time.Second, Margin: 1 * time.Second, SendTimeout: 2 * time.Second,
		CheckInterval: 60 * time.Second, PollInterval: 10 * time.Second, RefreshAge: 20 * time.Minute}
	modelBudget = Budget{LoadsPerMinute: 3, LoadsAtOnce: 2, LoadLimit: 5 * time.Minute}
	errNoAnswer = &engineclient.Error{Op: "order", Err: engineclient.ErrTimeout}
)

// modelEngine is an engine that loads weights without delay.
type modelEngine struct {
	checksFencing bool
	fencing       uint64
	models        map[string]engineclient.ModelState
}

func (e *modelEngine) apply(o engineclient.Order) error {
	if e.checksFencing && o.Fencing < e.fencing {
		return &engineclient.Error{Op: "order", NotRun: true, Status: 409, Err: engineclient.ErrOldFencing}
	}
	e.fencing = max(e.fencing, o.Fencing)
	m, loaded := e.models[o.Model]
	switch {
	case o.Kind == kindLoad:
		e.models[o.Model] = engineclient.ModelState{Model: o.Model, Version: o.Version, Role: o.Role}
	case o.Kind == kindUnload:
		delete(e.models, o.Model)
	case loaded:
		m.Role = o.Role
		e.models[o.Model] = m
	}
	return nil
}

func (e *modelEngine) state() engineclient.OrdersState {
	s := engineclient.OrdersState{Fencing: e.fencing}
	for _, m := range e.models {
		s.Models = append(s.Models, m)
	}
	return s
}

// modelRouter is a controller whose calls to the log and to engines may stay open
// for any time.
type modelRouter struct {
	c          *controller
	op         op
	deliver    func(now time.Time)
	tasks      []task
	taskStarts []time.Time
	// unanswered holds the engines that did not answer their last order.
	unanswered map[string]bool
	// read holds the engines whose state was requested under the current lease.
	read map[string]bool
}

type model struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	log     *logsim.Log
	engines map[string]*modelEngine
	names   []string
	routers [3]*modelRouter
	// late holds orders that arrive after their senders have timed out.
	late       []task
	loadStarts []time.Time
	grants     map[string]bool
	uids       int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, clock: clockwork.NewFakeClock(), engines: map[string]*modelEngine{}, grants: map[string]bool{}}
	m.log = logsim.New(logsim.Options{Clock: m.clock, Retention: time.Hour})
	for i := range 4 {
		name := fmt.Sprintf("e%d", i)
		m.names = append(m.names, name)
		m.engines[name] = &modelEngine{checksFencing: i == 0, models: map[string]engineclient.ModelState{}}
	}
	for i := range m.routers {
		m.restart(i)
	}
	return m
}

func (m *model) restart(i int) {
	c := newController(fmt.Sprintf("r%d", i), modelTiming, modelBudget, func() string {
		m.uids++
		return fmt.Sprint("u", m.uids)
	})
	c.candidate = true
	c.setEngines(m.names)
	m.routers[i] = &modelRouter{c: c, unanswered: map[string]bool{}, read: map[string]bool{}}
}

func (m *model) router() *modelRouter {
	return m.routers[rapid.IntRange(0, len(m.routers)-1).Draw(m.t, "router")]
}

// stepLog takes one step of a router's log call and reports whether there was
// one to take.
func (m *model) stepLog(r *modelRouter, fault string) bool {
	now := m.clock.Now()
	switch {
	case r.deliver != nil:
		r.deliver(now)
		r.deliver, r.op = nil, op{}
	case r.op.kind != opNone:
		r.deliver = m.execute(r, fault)
	default:
		r.op = r.c.nextLogOp(now)
		return r.op.kind != opNone
	}
	m.checkHolders()
	return true
}

func (m *model) execute(r *modelRouter, fault string) func(time.Time) {
	ctx := context.Background()
	if r.op.kind == opRead {
		page, err := m.log.Read(ctx, modelStream, r.op.from, pageRecords, 0)
		return func(now time.Time) {
			r.c.handleLogRead(now, func() { r.c.journal.handleRead(now, page, err) })
		}
	}
	m.log.SetLoseAnswers(fault == "lost")
	m.log.SetDelayAppends(fault == "late")
	_, err := m.log.Append(ctx, modelStream, r.op.data)
	m.log.SetLoseAnswers(false)
	m.log.SetDelayAppends(false)
	if fault == "refused" && err == nil {
		_, err = m.log.Append(ctx, modelStream, r.op.data)
		err = errors.Join(err, logstream.ErrRateLimited)
	}
	return func(now time.Time) { r.c.journal.handleAppend(now, err) }
}

// checkHolders guards against two routers that hold the lease at the same time,
// and against a call of an earlier holder that may still run.
func (m *model) checkHolders() {
	now := m.clock.Now()
	for i, holder := range m.routers {
		if holder.c.number == 0 {
			clear(holder.read)
		}
		if !holder.c.holds(now) {
			continue
		}
		for k, r := range m.routers {
			if k == i {
				continue
			}
			if r.c.holds(now) {
				m.t.Fatal("two routers hold the lease")
			}
			for _, at := range r.taskStarts {
				if now.Before(at.Add(modelTiming.SendTimeout)) {
					m.t.Fatal("a call of an earlier holder still runs")
				}
			}
		}
	}
}

// startTask starts one call of a router to an engine.
func (m *model) startTask(r *modelRouter) bool {
	now := m.clock.Now()
	t := r.c.nextTask(now)
	if t.kind == taskNone {
		return false
	}
	if t.kind == taskOrder && r.unanswered[t.engine] {
		m.t.Fatalf("order to %s before its state was read after a lost answer", t.engine)
	}
	if now.Add(modelTiming.SendTimeout).After(r.c.validUntil) {
		m.t.Fatal("a call may end after the lease")
	}
	if t.kind == taskOrder && t.order.Fencing != r.c.fold().lease.fencing() {
		m.t.Fatalf("order with fencing number %d under lease %+v", t.order.Fencing, r.c.fold().lease)
	}
	if t.kind == taskOrder && !r.read[t.engine] {
		m.t.Fatalf("order to %s before its state was read under this lease", t.engine)
	}
	r.read[t.engine] = true
	delete(r.unanswered, t.engine)
	r.tasks = append(r.tasks, t)
	r.taskStarts = append(r.taskStarts, now)
	if t.order.Kind == kindLoad {
		if t.grant == "" || m.grants[t.grant] {
			m.t.Fatalf("load order with a missing or used grant %q", t.grant)
		}
		m.grants[t.grant] = true
		m.loadStarts = append(m.loadStarts, now)
		m.checkBudget(now)
	}
	return true
}

// checkBudget guards against more loads in a minute than the weight store
// allows. It checks the minute that ends with each load.
func (m *model) checkBudget(now time.Time) {
	recent := 0
	for _, at := range m.loadStarts {
		if now.Sub(at) < time.Minute {
			recent++
		}
	}
	if recent > modelBudget.LoadsPerMinute {
		m.t.Fatalf("%d loads within a minute, more than the budget", recent)
	}
}

// finishTask ends the oldest call of a router. A late order reaches the engine
// after its sender has timed out.
func (m *model) finishTask(r *modelRouter, fault string) bool {
	if len(r.tasks) == 0 {
		return false
	}
	t := r.tasks[0]
	r.tasks, r.taskStarts = r.tasks[1:], r.taskStarts[1:]
	now := m.clock.Now()
	if fault == "late" && t.kind == taskOrder {
		m.late = append(m.late, t)
		r.unanswered[t.engine] = true
		r.c.handleTaskResult(now, t, engineclient.OrdersState{}, errNoAnswer)
		return true
	}
	e := m.engines[t.engine]
	var err error
	if t.kind == taskOrder {
		err = e.apply(t.order)
	}
	if fault == "lost" || fault == "refused" {
		err = errNoAnswer
		r.unanswered[t.engine] = t.kind == taskOrder
	}
	r.c.handleTaskResult(now, t, e.state(), err)
	return true
}

func (m *model) deliverLate(n int) {
	for _, t := range m.late[:min(n, len(m.late))] {
		_ = m.engines[t.engine].apply(t.order)
	}
	m.late = m.late[min(n, len(m.late)):]
}

// lateOrders delivers orders of an earlier holder to as many engines as the load
// budget can repair in one minute.
func (m *model) lateOrders() {
	for _, name := range m.names[:modelBudget.LoadsPerMinute] {
		_ = m.engines[name].apply(engineclient.Order{Kind: kindLoad, Model: "m", Version: "v0", Role: "chat"})
	}
}

func (m *model) setDesired() {
	s := State{Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(m.t, "version"), Role: rapid.SampledFrom([]string{"chat", "batch"}).Draw(m.t, "role")}
	s.Unload = rapid.IntRange(0, 5).Draw(m.t, "unload") == 5
	target := Target{Engine: rapid.SampledFrom(m.names).Draw(m.t, "engine"), Model: "m"}
	m.router().c.setDesired(target, s, func(bool) {})
}

// settle runs all routers without faults for a time.
func (m *model) settle(d time.Duration) {
	for end := m.clock.Now().Add(d); m.clock.Now().Before(end); m.clock.Advance(500 * time.Millisecond) {
		for _, r := range m.routers {
			for steps := 0; m.stepLog(r, "none") || m.startTask(r) || m.finishTask(r, "none"); steps++ {
				if steps > 1000 {
					m.t.Fatal("a router still has work after 1000 steps")
				}
			}
		}
	}
}

// reference folds the whole stream and checks its load grants.
func (m *model) reference() *Fold {
	f := NewFold(modelBudget, 0)
	granted := map[string]bool{}
	for _, r := range m.log.Records(modelStream) {
		var rec peerpb.OrderRecord
		applied := f.Apply(r.Offset, r.Time, r.Data)
		if proto.Unmarshal(r.Data, &rec) == nil && rec.GetLoadStart() != nil && applied {
			granted[rec.GetLoadStart().Uid] = true
		}
		running := 0
		for _, l := range f.loads {
			if f.isRunning(l, r.Time) {
				running++
			}
		}
		if running > modelBudget.LoadsAtOnce {
			m.t.Fatalf("%d loads at once, more than the budget", running)
		}
	}
	for uid := range m.grants {
		if !granted[uid] {
			m.t.Fatalf("load order with %s, which was not granted", uid)
		}
	}
	return f
}

// checkEngines guards against an engine that is not in its latest desired state.
func (m *model) checkEngines(when string) {
	for t, want := range m.reference().desired {
		got, loaded := m.engines[t.Engine].models[t.Model]
		if loaded == want.Unload || loaded && (got.Version != want.Version || got.Role != want.Role) {
			m.t.Fatalf("%s: engine %s has %+v (loaded %t), want %+v", when, t.Engine, got, loaded, want.State)
		}
	}
}

func (m *model) actions() map[string]func() {
	fault := func() string {
		return rapid.SampledFrom([]string{"none", "none", "none", "lost", "late", "refused"}).Draw(m.t, "fault")
	}
	return map[string]func(){
		"log": func() {
			r := m.router()
			for range rapid.IntRange(1, 6).Draw(m.t, "steps") {
				m.stepLog(r, fault())
			}
		},
		"engine": func() {
			r := m.router()
			m.startTask(r)
			m.finishTask(r, fault())
		},
		"work": func() {
			r := m.router()
			for range rapid.IntRange(1, 20).Draw(m.t, "steps") {
				m.stepLog(r, "none")
				m.startTask(r)
				m.finishTask(r, fault())
				m.clock.Advance(100 * time.Millisecond)
			}
		},
		"issue":   func() { m.startTask(m.router()) },
		"desired": m.setDesired,
		"late":    func() { m.deliverLate(1) },
		"release": func() { m.log.ApplyDelayed(1) },
		"reboot": func() {
			m.engines[rapid.SampledFrom(m.names).Draw(m.t, "engine")].models = map[string]engineclient.ModelState{}
		},
		"kill":     func() { m.restart(rapid.IntRange(0, len(m.routers)-1).Draw(m.t, "router")) },
		"log down": func() { m.log.SetDown(true) },
		"log up":   func() { m.log.SetDown(false) },
		"wait":     func() { m.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "ms")) * time.Millisecond) },
		"wait long": func() {
			m.clock.Advance(time.Duration(rapid.SampledFrom([]int{5, 10, 40}).Draw(m.t, "s")) * time.Second)
		},
	}
}

var weights = map[string]int{"log": 12, "engine": 3, "work": 5, "issue": 2, "log up": 3, "wait": 4}

// Guards against two concurrent senders, an engine that ends in an older state, a
// late order that is not repaired within RepairTime, and too many weight loads.
// Routers pause with calls open and crash; answers of the log and of engines are
// lost; engines reboot, and all but one ignore the fencing number.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := m.actions()
		var names []string
		for name := range actions {
			names = append(names, slices.Repeat([]string{name}, weights[name]+1)...)
		}
		slices.Sort(names)
		for range rapid.IntRange(100, 300).Draw(t, "actions") {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
		}
		m.log.SetDown(false)
		m.log.ApplyDelayed(-1)
		m.deliverLate(len(m.late))
		// Time for a takeover and for 4 loads at 3 a minute, after older loads.
		m.settle(modelTiming.LeaseDuration + modelTiming.Margin + 3*budgetWindow)
		m.checkEngines("after the faults")
		m.settle(budgetWindow)
		m.settle(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second)
		m.lateOrders()
		m.settle(modelTiming.RepairTime())
		m.checkEngines("after late orders")
	})
}
