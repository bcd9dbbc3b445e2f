package router

import (
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/membership"
	"github.com/bluebellwell/bluebellwell/internal/ownership"
	"github.com/bluebellwell/bluebellwell/internal/peer"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// controlTick is the interval of the periodic work of the control goroutine.
const controlTick = 100 * time.Millisecond

// sampleInterval is the time between samples of the control traffic.
const sampleInterval = 1 * time.Second

// message is an input of the control goroutine.
type message interface {
	apply(c *control, now time.Time)
}

type (
	listFetched       struct{ list *vmlist.List }
	heartbeatReceived struct {
		from      peer.Peer
		heartbeat *peerpb.Heartbeat
	}
	serverReported struct {
		name string
		ok   bool
	}
	configReplyReceived struct{ status fleetconfig.PeerStatus }
	probeFinished       struct {
		name string
		ok   bool
	}
	stopRequested struct{}
)

// post sends a message to the control goroutine. It blocks while the inbox is
// full, unless the router stops.
func (r *Router) post(m message) {
	select {
	case r.inbox <- m:
	case <-r.tomb.Dying():
	}
}

// control is the state of the control goroutine.
type control struct {
	r          *Router
	lifecycle  *statechart.Machine
	membership *membership.Membership
	ownership  *ownership.Ownership
	// shares holds the votes of the pools that this router owns.
	shares map[string]ownership.Share
	pools  []string
	// suspects are the routers that were suspected in the last view.
	suspects     map[string]bool
	config       *record.Config
	view         *membership.View
	listReadAt   time.Time
	peerStatuses map[string]fleetconfig.PeerStatus
	// serversProbedAt is the time of the last probe of servers that are down.
	serversProbedAt time.Time
	sampledAt       time.Time
	stopping        bool
	stopRequestedAt time.Time
}

// runControl runs the control goroutine, which alone accesses the control state.
func (r *Router) runControl() error {
	c := &control{
		r:            r,
		lifecycle:    statechart.NewMachine(statechart.Router()),
		membership:   membership.New(r.settings.VM, r.bootID),
		view:         &membership.View{},
		ownership:    ownership.New(r.clock.Now(), r.settings.VM, r.bootID),
		shares:       map[string]ownership.Share{},
		config:       record.NewConfig(),
		peerStatuses: map[string]fleetconfig.PeerStatus{},
	}
	c.membership.SetInterval(r.settings.Timings.HeartbeatInterval)
	c.ownership.RenewMajorityOnly()
	ticker := r.clock.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case m := <-r.inbox:
			m.apply(c, r.clock.Now())
		case <-ticker.Chan():
			c.tick(r.clock.Now())
		}
	}
}

func (m listFetched) apply(c *control, now time.Time) {
	c.listReadAt = now
	if !c.membership.SetList(now, m.list) {
		return
	}
	c.fire(statechart.RouterVMListReadEvent)
	c.publish(now)
}

func (m heartbeatReceived) apply(c *control, now time.Time) {
	if m.from.VM != m.heartbeat.GetVm() {
		return
	}
	c.membership.ReceiveHeartbeat(now, m.heartbeat)
	c.fetchNewerList()
	c.publish(now)
	c.sendDueHeartbeats(now)
}

func (m serverReported) apply(c *control, now time.Time) {
	if c.membership.RecordEngineResult(now, m.name, m.ok) {
		c.publish(now)
	}
}

func (m probeFinished) apply(c *control, now time.Time) {
	c.membership.RecordProbeResult(now, m.name, m.ok)
	c.publish(now)
}

func (m configReplyReceived) apply(c *control, now time.Time) {
	c.peerStatuses[m.status.VM] = m.status
	c.publish(now)
}

func (m stopRequested) apply(c *control, now time.Time) {
	c.stopping = true
	c.stopRequestedAt = now
	c.membership.SetStopping(now)
	c.fire(statechart.RouterStopEvent)
	c.publish(now)
	c.sendDueHeartbeats(now)
}

func (c *control) tick(now time.Time) {
	if c.view.ListVersion == 0 {
		return
	}
	for _, p := range c.membership.Tick(now) {
		c.r.probePeer(p)
	}
	c.probeServers(now)
	if now.Sub(c.sampledAt) >= sampleInterval {
		c.sampledAt = now
		c.r.sampler.Sample(now)
	}
	c.publish(now)
	c.sendDueHeartbeats(now)
}

// fire sends an event to the router's state chart. The chart lists the events that
// each state ignores, so an error is a bug.
func (c *control) fire(e statechart.Event) {
	if _, err := c.lifecycle.Fire(e); err != nil {
		c.r.events.Emit(event.RouterChartError, "error", err.Error())
	}
}

// publish publishes a new snapshot and updates the assignments of pools.
func (c *control) publish(now time.Time) {
	c.view = c.membership.View()
	if c.view.ListVersion == 0 {
		return
	}
	c.probeSuspects()
	snap := c.r.config.Snapshot()
	if snap.Config != nil {
		c.config = snap.Config
	}
	c.updateOwners(now, poolNames(c.config.Pools))
	reason := c.readiness(now, snap)
	s := &state{
		lifecycle:  c.lifecycle.State(),
		nextOffset: snap.Log.Applied,
	}
	s.entry = entry.State{Config: c.config, Ready: s.lifecycle == statechart.RouterReady, Reason: reason}
	s.entry.Accepting = s.entry.Ready || c.inShutdownDelay(now)
	c.fillOwners(now, s)
	c.planOrders(s)
	last := c.r.current.Swap(s)
	if !slices.Equal(last.streams, s.streams) {
		c.r.guard.Refresh()
	}
}

// readiness evaluates the readiness rule, fires its event and returns the reason.
func (c *control) readiness(now time.Time, snap fleetconfig.Snapshot) string {
	self := snap.Log
	self.SelfListed = c.view.SelfListed
	var peers []fleetconfig.PeerStatus
	for _, r := range c.view.Routers {
		if s, ok := c.peerStatuses[r.VM.Name]; ok {
			peers = append(peers, s)
		}
	}
	current, reason := fleetconfig.IsCurrent(now, self, peers, c.view.ListedRouters)
	before := c.lifecycle.State()
	if current {
		c.fire(statechart.RouterCurrentEvent)
	} else {
		c.fire(statechart.RouterNotCurrentEvent)
	}
	c.logReadiness(before, reason)
	return string(reason)
}

func (c *control) logReadiness(before statechart.State, reason fleetconfig.Reason) {
	after := c.lifecycle.State()
	if before == after {
		return
	}
	switch after {
	case statechart.RouterReady:
		c.r.events.Emit(event.RouterReady, "reason", string(reason))
	case statechart.RouterNotReady:
		c.r.events.Emit(event.RouterNotReady, "reason", string(reason))
	}
}

// shutdownDelay is the time for which a stopping router still accepts requests, so
// that the load balancer can notice that it is no longer ready.
const shutdownDelay = 2 * time.Second

func (c *control) inShutdownDelay(now time.Time) bool {
	return c.stopping && now.Sub(c.stopRequestedAt) < shutdownDelay
}
