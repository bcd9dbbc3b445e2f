package order

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// grantLifetime is the time from the append of a LoadStart within which the load
// order must be sent. A later order needs a new grant.
const grantLifetime = 2 * time.Second

// budgetWindow is the time over which grants are counted. It is longer than the
// minute of the budget because an order may follow its grant by grantLifetime.
const budgetWindow = 1*time.Minute + grantLifetime

// budgetRetryInterval is the time between attempts while the budget is used up.
const budgetRetryInterval = 1 * time.Second

// Budget limits the weight loads of the fleet. All routers must use the same
// LoadLimit. LoadsPerMinute and LoadsAtOnce apply where a LoadStart has no value of
// its own.
type Budget struct {
	// LoadsPerMinute is the maximum number of loads that start in any minute.
	LoadsPerMinute int
	// LoadsAtOnce is the maximum number of concurrent loads.
	LoadsAtOnce int
	// LoadLimit is the time after which a load is assumed to have ended.
	LoadLimit time.Duration
}

// Target identifies one model on one engine.
type Target struct {
	Engine string
	Model  string
}

// State is the desired state of a model on an engine.
type State struct {
	// Unload is set if the engine must not have the model.
	Unload  bool
	Version string
	Role    string
}

// desired is a desired state with the offset of its record.
type desired struct {
	State
	offset uint64
	// at is the log time of the record.
	at time.Time
}

// lease is the lease in force. A zero number means that there is none.
type lease struct {
	holder   string
	duration time.Duration
	// number is the offset of the lease's record plus 1.
	number uint64
}

// fencing returns the fencing number of the orders under the lease.
func (l lease) fencing() uint64 { return l.number - 1 }

// load is a granted weight load.
type load struct {
	uid       string
	engine    string
	grantedAt time.Time
	ended     bool
}

// Fold is the state of the stream. Only the order and the time of its records
// decide which router holds the lease, which states are desired and which loads
// may start. It is not safe for concurrent use.
type Fold struct {
	budget  Budget
	next    uint64
	lease   lease
	desired map[Target]desired
	loads   []load
}

// NewFold returns an empty fold that starts at an offset: 0, or the floor of
// the log.
func NewFold(b Budget, start uint64) *Fold {
	return &Fold{budget: b, next: start, desired: map[Target]desired{}}
}

// Next returns the offset after the last applied record.
func (f *Fold) Next() uint64 { return f.next }

// Desired returns the desired state of a target.
func (f *Fold) Desired(t Target) (State, bool) {
	d, ok := f.desired[t]
	return d.State, ok
}

// Apply adds the record at an offset with its log time, and reports whether it
// had an effect. Records below Next are ignored.
func (f *Fold) Apply(offset uint64, t time.Time, data []byte) bool {
	if offset < f.next {
		return false
	}
	f.next = offset + 1
	var rec peerpb.OrderRecord
	if proto.Unmarshal(data, &rec) != nil {
		return false
	}
	switch kind := rec.Kind.(type) {
	case *peerpb.OrderRecord_Lease:
		return f.applyLease(offset, kind.Lease)
	case *peerpb.OrderRecord_Desired:
		return f.applyDesired(offset, t, kind.Desired)
	case *peerpb.OrderRecord_LoadStart:
		return f.applyLoadStart(t, kind.LoadStart)
	case *peerpb.OrderRecord_LoadEnd:
		return f.applyLoadEnd(kind.LoadEnd)
	}
	return false
}

// applyLease accepts a lease that contains the number of its predecessor. Of two
// routers that take over at the same time only the first gets the lease, and a
// late copy of an append has no effect. A number above that of the lease in force
// means that the fold started after the predecessor.
func (f *Fold) applyLease(offset uint64, r *peerpb.Lease) bool {
	if r.Holder == "" || r.DurationMs == 0 || r.After < f.lease.number || r.After > offset {
		return false
	}
	f.lease = lease{
		holder:   r.Holder,
		duration: time.Duration(r.DurationMs) * time.Millisecond,
		number:   offset + 1,
	}
	return true
}

// applyDesired accepts a state that contains the number of the one it replaces,
// so that a late copy of an older record never restores an older state.
func (f *Fold) applyDesired(offset uint64, at time.Time, r *peerpb.Desired) bool {
	t := Target{Engine: r.Engine, Model: r.Model}
	if t.Engine == "" || t.Model == "" || r.Replaces < f.replaces(t) || r.Replaces > offset {
		return false
	}
	f.desired[t] = desired{
		State:  State{Unload: r.Unload, Version: r.Version, Role: r.Role},
		offset: offset,
		at:     at,
	}
	return true
}

// replaces returns the number of the state in force, which a new state must
// contain as the one it replaces.
func (f *Fold) replaces(t Target) uint64 {
	d, ok := f.desired[t]
	if !ok {
		return 0
	}
	return d.offset + 1
}

// applyLoadStart grants a load if the lease is in force and the budget allows a
// load at the record's time. The log's clock decides, so that a router with a
// wrong clock cannot exceed the budget.
func (f *Fold) applyLoadStart(t time.Time, r *peerpb.LoadStart) bool {
	f.dropEndedLoads(t)
	if r.Uid == "" || f.lease.number == 0 || r.Fencing != f.lease.fencing() {
		return false
	}
	running, recent := 0, 0
	for _, l := range f.loads {
		if l.uid == r.Uid {
			return false
		}
		if f.isRunning(l, t) {
			running++
		}
		if t.Sub(l.grantedAt) < budgetWindow {
			recent++
		}
	}
	b := f.budget.withOverrides(int(r.PerMinute), int(r.AtOnce))
	if running >= b.LoadsAtOnce || recent >= b.LoadsPerMinute {
		return false
	}
	f.loads = append(f.loads, load{uid: r.Uid, engine: r.Engine, grantedAt: t})
	return true
}

// withOverrides returns the budget with the parameters above 0 in place of its
// own values.
func (b Budget) withOverrides(loadsPerMinute, loadsAtOnce int) Budget {
	if loadsPerMinute > 0 {
		b.LoadsPerMinute = loadsPerMinute
	}
	if loadsAtOnce > 0 {
		b.LoadsAtOnce = loadsAtOnce
	}
	return b
}

func (f *Fold) applyLoadEnd(r *peerpb.LoadEnd) bool {
	for i := range f.loads {
		if f.loads[i].uid == r.Uid && !f.loads[i].ended {
			f.loads[i].ended = true
			return true
		}
	}
	return false
}

func (f *Fold) isRunning(l load, t time.Time) bool {
	return !l.ended && t.Sub(l.grantedAt) < f.budget.LoadLimit
}

// dropEndedLoads drops the loads that no longer count against the budget.
func (f *Fold) dropEndedLoads(t time.Time) {
	kept := f.loads[:0]
	for _, l := range f.loads {
		if f.isRunning(l, t) || t.Sub(l.grantedAt) < budgetWindow {
			kept = append(kept, l)
		}
	}
	f.loads = kept
}

// isGranted reports whether a load was granted and has not ended.
func (f *Fold) isGranted(uid string) bool {
	for _, l := range f.loads {
		if l.uid == uid && !l.ended {
			return true
		}
	}
	return false
}

// nextLoadTime estimates when the next load of an engine may start. It assumes
// that the local clock agrees with the log's; otherwise the only effect is a
// LoadStart that is not granted.
func (f *Fold) nextLoadTime(now time.Time, engine string, b Budget) time.Time {
	running, recent := 0, 0
	var oldest time.Time
	for _, l := range f.loads {
		if f.isRunning(l, now) && l.engine != engine {
			running++
		}
		if now.Sub(l.grantedAt) < budgetWindow {
			if recent == 0 {
				oldest = l.grantedAt
			}
			recent++
		}
	}
	if recent >= b.LoadsPerMinute {
		return oldest.Add(budgetWindow)
	}
	if running >= b.LoadsAtOnce {
		return now.Add(budgetRetryInterval)
	}
	return now
}
