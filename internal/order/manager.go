package order

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// StreamName is the stream of leases, desired states and loads in the log.
const StreamName = "orders"

// Defaults of Options.
const (
	defaultLeaseDuration  = 30 * time.Second
	defaultMargin         = 3 * time.Second
	defaultSendTimeout    = 2 * time.Second
	defaultCheckInterval  = 60 * time.Second
	defaultPollInterval   = 10 * time.Second
	defaultRefreshAge     = 15 * time.Minute
	defaultLoadsPerMinute = 4
	defaultLoadsAtOnce    = 2
	defaultLoadLimit      = 10 * time.Minute
	// tickInterval is the maximum time between two checks for calls that are due.
	tickInterval = 250 * time.Millisecond
	// maxTasks is the maximum number of concurrent calls to engines.
	maxTasks = 8
	// maxNameBytes limits each string of a desired state.
	maxNameBytes   = 256
	maxSetAttempts = 5
)

// Errors that callers test with errors.Is.
var (
	// ErrConflict means that other desired states for the target were recorded first.
	ErrConflict = errors.New("another desired state was recorded first")
	// ErrInvalid means that a target or a state is not valid.
	ErrInvalid = errors.New("desired state is not valid")
	// ErrStopped means that the manager was stopped. The state may have been recorded.
	ErrStopped = errors.New("order manager is stopped")
)

// Client calls one engine. *engineclient.Client implements it. Order must send
// its order at most once.
type Client interface {
	Order(ctx context.Context, o engineclient.Order) (engineclient.OrdersState, error)
	OrdersState(ctx context.Context) (engineclient.OrdersState, error)
}

// Options configures a Manager. Zero durations and budgets take their defaults.
type Options struct {
	// Name is this router's name in leases.
	Name   string
	Log    logstream.Log
	Clock  clockwork.Clock
	Events *event.Logger
	Timing Timing
	Budget Budget
	// Client returns the client of an engine, or nil if the engine is unknown.
	Client func(engine string) Client
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Events == nil {
		o.Events = event.Nop()
	}
	durations := []struct {
		v            *time.Duration
		defaultValue time.Duration
	}{
		{&o.Timing.LeaseDuration, defaultLeaseDuration},
		{&o.Timing.Margin, defaultMargin},
		{&o.Timing.SendTimeout, defaultSendTimeout},
		{&o.Timing.CheckInterval, defaultCheckInterval},
		{&o.Timing.PollInterval, defaultPollInterval},
		{&o.Timing.RefreshAge, defaultRefreshAge},
		{&o.Budget.LoadLimit, defaultLoadLimit},
	}
	for _, d := range durations {
		if *d.v <= 0 {
			*d.v = d.defaultValue
		}
	}
	if o.Budget.LoadsPerMinute <= 0 {
		o.Budget.LoadsPerMinute = defaultLoadsPerMinute
	}
	if o.Budget.LoadsAtOnce <= 0 {
		o.Budget.LoadsAtOnce = defaultLoadsAtOnce
	}
	return o
}

// Status is one order under this router's lease.
type Status struct {
	Target
	Desired State
	State   statechart.State
}

// Manager keeps the engines in their desired states while this router holds
// the lease. It is safe for concurrent use.
type Manager struct {
	opts Options
	tomb tomb.Tomb
	// calls carries functions to run on the goroutine that owns the controller.
	calls      chan func(now time.Time)
	controller *controller
	// logBusy is set while a call to the log is open; tasks counts the open calls
	// to engines.
	logBusy bool
	tasks   int
	// reportedHolds is whether this router held the lease at the last report.
	reportedHolds bool
}

// New returns a running manager that does not request the lease yet.
func New(o Options) *Manager {
	o = o.withDefaults()
	m := &Manager{
		opts:       o,
		calls:      make(chan func(time.Time)),
		controller: newController(o.Name, o.Timing, o.Budget, uuid.NewString),
	}
	m.tomb.Go(m.run)
	return m
}

// Close stops the manager. A lease that it holds expires.
func (m *Manager) Close() error {
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// SetCandidate sets whether this router requests and renews the lease. Few
// routers should be candidates, because each candidate reads the stream.
func (m *Manager) SetCandidate(on bool) {
	m.do(func(time.Time) { m.controller.setCandidate(on) })
}

// SetEngines replaces the list of engines that receive orders.
func (m *Manager) SetEngines(names []string) {
	names = slices.Clone(names)
	m.do(func(time.Time) { m.controller.setEngines(names) })
}

// Plan holds the engine states that the configuration in force requests.
type Plan struct {
	// States are the planned states. The map must not change after SetPlan.
	States map[Target]State
	// Budget is the fleet's load budget; fields of 0 keep the defaults, and
	// LoadLimit is not used.
	Budget Budget
}

// SetPlan replaces the plan, which this router records while it is a candidate
// and holds the lease. Engines without a planned state are not affected.
func (m *Manager) SetPlan(p Plan) {
	m.do(func(time.Time) { m.controller.setPlan(p) })
}

// SetDesired records the desired state of a model on an engine, and returns when the
// log has it. Any router may call it; the lease holder sends the orders.
func (m *Manager) SetDesired(ctx context.Context, t Target, s State) error {
	if !validName(t.Engine, true) || !validName(t.Model, true) || !validName(s.Version, false) || !validName(s.Role, false) {
		return eris.Wrapf(ErrInvalid, "engine %q, model %q", t.Engine, t.Model)
	}
	for range maxSetAttempts {
		applied, err := m.setOnce(ctx, t, s)
		if applied || err != nil {
			return err
		}
	}
	return eris.Wrapf(ErrConflict, "engine %s, model %s", t.Engine, t.Model)
}

func (m *Manager) setOnce(ctx context.Context, t Target, s State) (bool, error) {
	done := make(chan bool, 1)
	m.do(func(time.Time) { m.controller.setDesired(t, s, func(applied bool) { done <- applied }) })
	select {
	case applied := <-done:
		return applied, nil
	case <-ctx.Done():
		return false, eris.Wrap(ctx.Err(), "wait for the record of the desired state")
	case <-m.tomb.Dead():
		return false, ErrStopped
	}
}

func validName(text string, required bool) bool {
	return utf8.ValidString(text) && len(text) <= maxNameBytes && (text != "" || !required)
}

// HoldsLease reports whether this router holds the lease, and returns its
// fencing number.
func (m *Manager) HoldsLease() (fencing uint64, ok bool) {
	m.do(func(now time.Time) {
		ok = m.controller.holds(now)
		if ok {
			fencing = m.controller.fold().lease.fencing()
		}
	})
	return fencing, ok
}

// Orders returns the orders under this router's lease, by engine and model. It
// is empty on other routers.
func (m *Manager) Orders() []Status {
	var list []Status
	m.do(func(now time.Time) {
		if !m.controller.holds(now) {
			return
		}
		for name, e := range m.controller.engines {
			for model, o := range e.orders {
				list = append(list, Status{Target: Target{Engine: name, Model: model}, Desired: o.desired.State, State: o.machine.State()})
			}
		}
	})
	slices.SortFunc(list, func(a, b Status) int {
		return strings.Compare(a.Engine+"\x00"+a.Model, b.Engine+"\x00"+b.Model)
	})
	return list
}

// do runs f on the goroutine that owns the controller, unless it has stopped.
func (m *Manager) do(f func(now time.Time)) {
	done := make(chan struct{})
	call := func(now time.Time) {
		defer close(done)
		f(now)
	}
	select {
	case m.calls <- call:
		<-done
	case <-m.tomb.Dead():
	case <-m.tomb.Dying():
	}
}

// run owns the controller. Calls to the log and to engines run in their own
// goroutines and return their results through calls.
func (m *Manager) run() error {
	for m.tomb.Alive() {
		wait := m.startCalls()
		timer := m.opts.Clock.NewTimer(wait)
		select {
		case call := <-m.calls:
			call(m.opts.Clock.Now())
		case <-timer.Chan():
		case <-m.tomb.Dying():
		}
		timer.Stop()
		m.reportLease()
	}
	return nil
}

// startCalls starts all calls that are due and returns the time until the next
// check.
func (m *Manager) startCalls() time.Duration {
	wait := tickInterval
	if !m.logBusy {
		now := m.opts.Clock.Now()
		o := m.controller.nextLogOp(now)
		if o.kind == opNone {
			wait = max(0, min(wait, o.wakeAt.Sub(now)))
		} else {
			m.startLogCall(o)
		}
	}
	for m.tasks < maxTasks {
		t := m.controller.nextTask(m.opts.Clock.Now())
		if t.kind == taskNone {
			break
		}
		m.startTask(t)
	}
	return wait
}

func (m *Manager) startLogCall(o op) {
	m.logBusy = true
	m.tomb.Go(func() error {
		ctx := m.tomb.Context(context.Background())
		var finish func(now time.Time)
		if o.kind == opRead {
			page, err := m.opts.Log.Read(ctx, StreamName, o.from, pageRecords, 0)
			finish = func(now time.Time) {
				m.controller.handleLogRead(now, func() { m.controller.journal.handleRead(now, page, err) })
			}
		} else {
			_, err := m.opts.Log.Append(ctx, StreamName, o.data)
			finish = func(now time.Time) { m.controller.journal.handleAppend(now, err) }
		}
		m.do(func(now time.Time) {
			m.logBusy = false
			finish(now)
		})
		return nil
	})
}

func (m *Manager) startTask(t task) {
	m.tasks++
	client := m.opts.Client(t.engine)
	m.tomb.Go(func() error {
		s, err := m.callEngine(client, t)
		m.do(func(now time.Time) {
			m.tasks--
			m.controller.handleTaskResult(now, t, s, err)
		})
		return nil
	})
}

func (m *Manager) callEngine(client Client, t task) (engineclient.OrdersState, error) {
	if client == nil {
		return engineclient.OrdersState{}, &engineclient.Error{Op: "order", NotRun: true, NotSent: true, Err: engineclient.ErrNotFound}
	}
	ctx, cancel := clockwork.WithTimeout(m.tomb.Context(context.Background()), m.opts.Clock, m.opts.Timing.SendTimeout)
	defer cancel()
	if t.kind == taskState {
		return client.OrdersState(ctx)
	}
	s, err := client.Order(ctx, t.order)
	m.opts.Events.Emit(event.OrderSent, "engine", t.engine, "kind", t.order.Kind, "model", t.model,
		"version", t.order.Version, "role", t.order.Role, "fencing", t.order.Fencing, "error", err)
	return s, err
}

// reportLease logs when this router gains or loses the lease.
func (m *Manager) reportLease() {
	holds := m.controller.holds(m.opts.Clock.Now())
	if holds == m.reportedHolds {
		return
	}
	m.reportedHolds = holds
	if holds {
		m.opts.Events.Emit(event.OrderLeaseAcquired, "fencing", m.controller.fold().lease.fencing())
	} else {
		m.opts.Events.Emit(event.OrderLeaseLost)
	}
}
