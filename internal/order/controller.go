package order

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// Timing holds the durations and intervals of a manager. All routers must use
// the same LeaseDuration and Margin.
type Timing struct {
	// LeaseDuration is the validity of a lease for its holder, counted from before its
	// append.
	LeaseDuration time.Duration
	// Margin is added to LeaseDuration by other routers, which count from their
	// read of the lease.
	Margin time.Duration
	// SendTimeout limits one call to an engine. No call starts in the last
	// SendTimeout of a lease.
	SendTimeout time.Duration
	// CheckInterval is the time between reads of an engine's state.
	CheckInterval time.Duration
	// PollInterval is the time between reads of an idle stream.
	PollInterval time.Duration
	// RefreshAge is the age at which the lease holder appends a desired state
	// again. It must be below half the log's retention.
	RefreshAge time.Duration
}

// RepairTime returns the maximum time for which a reachable engine may have an
// older state after a late order. It holds while one router has the lease, and
// the log and the load budget allow its orders.
func (t Timing) RepairTime() time.Duration {
	return t.CheckInterval + 2*t.SendTimeout
}

type taskKind int

const (
	taskNone taskKind = iota
	taskState
	taskOrder
)

// task is one call to an engine.
type task struct {
	kind   taskKind
	engine string
	model  string
	order  engineclient.Order
	// grant is the uid of the load grant that the order uses.
	grant string
	// term identifies the lease under which the call was made.
	term int
}

// modelOrder is the order for one model of one engine under this lease.
type modelOrder struct {
	desired desired
	machine *statechart.Machine
	// grant is the uid of an unused load grant.
	grant         string
	grantDeadline time.Time
	grantPending  bool
	grantRetryAt  time.Time
}

// engineOrders holds the orders for one engine and its last known state.
type engineOrders struct {
	name string
	busy bool
	// stateValid is set if state was read under this lease and after the last
	// call that may have changed it.
	stateValid bool
	state      engineclient.OrdersState
	checkAt    time.Time
	retryAt    time.Time
	backoff    time.Duration
	orders     map[string]*modelOrder
}

// controller decides when to request the lease, append records and send orders.
// It does no I/O and is not safe for concurrent use.
type controller struct {
	name    string
	timing  Timing
	journal *journal
	newUID  func() string
	// candidate is set while this router wants the lease.
	candidate bool
	// number and validUntil describe this router's own lease; number is 0 if it
	// has none.
	number       uint64
	validUntil   time.Time
	leasePending bool
	// term is the number of leases that this router has lost.
	term int
	// observedLease is the number of the lease in force, and observedAt the time
	// at which this router read it.
	observedLease uint64
	observedAt    time.Time
	engines       map[string]*engineOrders
	// endingLoads holds the uids of loads whose end is being recorded.
	endingLoads map[string]bool
	// refreshing is set while a desired state is being appended again.
	refreshing bool
	// plan holds the states that the configuration requests, and plannedEngines
	// their engines; recordingTargets holds the targets whose state is being
	// appended.
	plan             Plan
	plannedEngines   map[string]bool
	recordingTargets map[Target]bool
}

func newController(name string, t Timing, b Budget, newUID func() string) *controller {
	return &controller{
		name:        name,
		timing:      t,
		journal:     newJournal(b, t.PollInterval),
		newUID:      newUID,
		engines:     map[string]*engineOrders{},
		endingLoads: map[string]bool{},

		recordingTargets: map[Target]bool{},
	}
}

func (c *controller) fold() *Fold { return c.journal.fold }

// holds reports whether this router's lease is valid by its own clock.
func (c *controller) holds(now time.Time) bool {
	return c.number != 0 && c.fold().lease.number == c.number && now.Before(c.validUntil)
}

// maySend reports whether a call that starts now would end within the lease.
func (c *controller) maySend(now time.Time) bool {
	return c.holds(now) && !now.Add(c.timing.SendTimeout).After(c.validUntil)
}

// setEngines replaces the list of engines.
func (c *controller) setEngines(names []string) {
	for _, name := range names {
		if c.engines[name] == nil {
			c.engines[name] = &engineOrders{name: name, orders: map[string]*modelOrder{}}
		}
	}
	for name, e := range c.engines {
		if !slices.Contains(names, name) {
			e.fireAll(statechart.OrderEngineGoneEvent)
			delete(c.engines, name)
		}
	}
}

// setDesired appends a desired state. done receives false if another record for
// the target came first.
func (c *controller) setDesired(t Target, s State, done func(applied bool)) {
	c.journal.add(encode(desiredRecord(t, s, c.fold().replaces(t))), func(_ time.Time, applied bool) { done(applied) })
}

func desiredRecord(t Target, s State, replaces uint64) *peerpb.OrderRecord {
	return &peerpb.OrderRecord{Kind: &peerpb.OrderRecord_Desired{Desired: &peerpb.Desired{
		Engine: t.Engine, Model: t.Model, Unload: s.Unload, Version: s.Version, Role: s.Role, Replaces: replaces,
	}}}
}

func encode(r *peerpb.OrderRecord) string {
	data, err := proto.Marshal(r)
	if err != nil {
		// Marshal fails only for text that is not UTF-8, which SetDesired rejects.
		// An empty record has no effect.
		return ""
	}
	return string(data)
}
