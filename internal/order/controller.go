package order

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// Timing are the times of the lease and of the checks. All routers must use the
// same Lease and Margin.
type Timing struct {
	// Lease is how long a lease lasts for its holder, from before its append.
	Lease time.Duration
	// Margin is added by other routers, which count from when they read the lease.
	Margin time.Duration
	// SendTimeout bounds one call to an engine. No order is sent in the last
	// SendTimeout of a lease.
	SendTimeout time.Duration
	// CheckInterval is the time between two reads of an engine's state.
	CheckInterval time.Duration
	// PollInterval is the time between two reads of an idle stream.
	PollInterval time.Duration
	// RefreshAge is the age at which the holder writes a desired state again. It
	// must be below half the log's retention.
	RefreshAge time.Duration
}

// RepairTime is the longest time for which an engine that can be reached may
// have an older state after a late order, while one router holds the lease and
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
	// grant is the load grant that the order uses up.
	grant string
	// term tells under which lease the call was made.
	term int
}

// modelOrder is the order for one model of one engine under this lease.
type modelOrder struct {
	want    desired
	machine *statechart.Machine
	// grant is the uid of an unused load grant.
	grant         string
	grantDeadline time.Time
	grantPending  bool
	grantRetryAt  time.Time
}

// engineOrders is what the holder knows of one engine.
type engineOrders struct {
	name string
	busy bool
	// stateValid is set when state was read under this lease, after the last call
	// that may have changed it.
	stateValid bool
	state      engineclient.OrdersState
	checkAt    time.Time
	retryAt    time.Time
	backoff    time.Duration
	orders     map[string]*modelOrder
}

// controller decides about the lease, the records and the orders. It does no
// I/O and is not safe for concurrent use.
type controller struct {
	name    string
	timing  Timing
	journal *journal
	newUID  func() string
	// candidate is set while this router wants the lease.
	candidate bool
	// number and validUntil belong to this router's own lease; number is 0
	// when it has none.
	number       uint64
	validUntil   time.Time
	leasePending bool
	// term counts the leases that this router has lost.
	term int
	// observedLease is the lease in force, and seenAt when this router read it.
	observedLease uint64
	observedAt    time.Time
	engines       map[string]*engineOrders
	// endingLoads holds the loads whose end is being recorded.
	endingLoads map[string]bool
	// refreshing is set while a desired state is being written again.
	refreshing bool
	// plan is what the configuration asks for, and planned its engines;
	// recording holds the targets whose state is being written.
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

// maySend reports whether a call that starts now ends within the lease.
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

// setDesired records a state. done gets false when another record for the
// target came first.
func (c *controller) setDesired(t Target, s State, done func(effect bool)) {
	c.journal.add(encode(desiredRecord(t, s, c.fold().replaces(t))), func(_ time.Time, effect bool) { done(effect) })
}

func desiredRecord(t Target, s State, replaces uint64) *peerpb.OrderRecord {
	return &peerpb.OrderRecord{Kind: &peerpb.OrderRecord_Desired{Desired: &peerpb.Desired{
		Engine: t.Engine, Model: t.Model, Unload: s.Unload, Version: s.Version, Role: s.Role, Replaces: replaces,
	}}}
}

func encode(r *peerpb.OrderRecord) string {
	data, err := proto.Marshal(r)
	if err != nil {
		// Marshal fails only for text that is not UTF-8, which Set refuses. An
		// empty record has no effect.
		return ""
	}
	return string(data)
}
