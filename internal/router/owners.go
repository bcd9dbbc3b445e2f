package router

import (
	"context"
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/ownership"
	"github.com/bluebellwell/bluebellwell/internal/peer"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

type (
	// ownershipReceived is a message about votes from another router.
	ownershipReceived struct {
		from string
		env  *peerpb.Envelope
	}
	// connLost reports that a connection to another router has ended.
	connLost struct{ peer peer.Peer }
	// processEnded reports that the address of a router refuses connections.
	processEnded struct {
		name string
		// probeStartedAt is the time at which the probe began.
		probeStartedAt time.Time
	}
)

func (m ownershipReceived) apply(c *control, now time.Time) {
	c.perform(now, c.ownership.Receive(now, m.from, m.env))
	c.publish(now)
}

// apply probes at once whether the process of the peer has ended, so that its
// pools are taken over without waiting for its leases to expire.
func (m connLost) apply(c *control, _ time.Time) {
	if r, ok := c.view.Router(m.peer.VM); ok && !r.Suspected {
		c.r.probeProcess(m.peer.VM, r.VM.PeerAddr)
	}
}

func (m processEnded) apply(c *control, now time.Time) {
	if _, ok := c.view.Router(m.name); !ok {
		return
	}
	c.r.events.Emit(event.PeerProcessEnded, "vm", m.name)
	c.membership.RecordConnectionRefused(now, m.name)
	c.perform(now, c.ownership.RecordProcessEnd(now, m.name, m.probeStartedAt))
	c.publish(now)
	c.sendDueHeartbeats(now)
}

// probeProcess dials a router and reports a refused connection, which shows that
// the process has ended: a paused process still has its listener.
func (r *Router) probeProcess(name, addr string) {
	probeStartedAt := r.clock.Now()
	go func() {
		err := r.peers.Probe(addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.post(processEnded{name: name, probeStartedAt: probeStartedAt})
		}
	}()
}

// probeSuspects probes the routers that became suspected since the last view,
// because a vote for an ended process can be granted again at once.
func (c *control) probeSuspects() {
	suspects := map[string]bool{}
	for _, r := range c.view.Routers {
		if !r.Suspected {
			continue
		}
		suspects[r.VM.Name] = true
		if !c.suspects[r.VM.Name] {
			c.r.probeProcess(r.VM.Name, r.VM.PeerAddr)
		}
	}
	c.suspects = suspects
}

// updateOwners passes the view and the pools to the ownership state.
func (c *control) updateOwners(now time.Time, pools []string) {
	slices.Sort(pools)
	if !slices.Equal(pools, c.pools) {
		c.pools = pools
		c.perform(now, c.ownership.SetPools(now, pools))
	}
	c.perform(now, c.ownership.SetView(now, c.view))
}

// perform carries out the actions of the ownership state in order.
func (c *control) perform(now time.Time, actions []ownership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ownership.ShareChanged:
			c.shares[a.Pool] = a.Share
			c.assignPools(now)
		case ownership.HandBack:
			delete(c.shares, a.Pool)
			c.assignPools(now)
			c.r.events.Emit(event.PoolHandedOver, "pool", a.Pool, "owner", a.Owner)
		case ownership.Adopt:
			c.r.poolOwner.Adopt(now, a.Pool, a.Attempts, a.Complete)
		case ownership.Send:
			c.sendOwnership(a)
		}
	}
}

// reportAttemptEnded reports to the current owner of a pool the end of an attempt
// that this router ran when it owned the pool, or relayed to an earlier owner.
func (r *Router) reportAttemptEnded(pool, attemptID string) {
	owner, ok := r.state().owners[pool]
	if !ok {
		return
	}
	if owner.VM == r.settings.VM {
		r.poolOwner.RecordAttemptEnded(r.clock.Now(), pool, attemptID)
		return
	}
	if id, err := hex.DecodeString(attemptID); err == nil {
		r.ended.add(pool, id)
	}
}

const (
	// endedBatchDelay is how long ended attempts are collected into one message.
	endedBatchDelay = 100 * time.Millisecond
	// endedResendTime is how long before the close of a router a message may have been queued that the transport has not written
	// yet: it discards its queue when it closes. A router with little processor time takes some 100 ms.
	endedResendTime = 2 * time.Second
)

// endedAttempts collects ended attempts by pool and passes them to flush in
// batches.
type endedAttempts struct {
	mu    sync.Mutex
	ids   map[string][][]byte
	sent  []sentBatch
	flush func(pool string, ids [][]byte)
	clock clockwork.Clock
}

// sentBatch is a message that was passed to flush.
type sentBatch struct {
	at   time.Time
	pool string
	ids  [][]byte
}

func (e *endedAttempts) add(pool string, id []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ids[pool]) == 0 {
		e.clock.AfterFunc(endedBatchDelay, func() { e.send(pool) })
	}
	e.ids[pool] = append(e.ids[pool], id)
}

func (e *endedAttempts) send(pool string) {
	e.mu.Lock()
	ids, now := e.ids[pool], e.clock.Now()
	delete(e.ids, pool)
	e.forgetSent(now)
	e.sent = append(e.sent, sentBatch{at: now, pool: pool, ids: ids})
	e.mu.Unlock()
	e.flush(pool, ids)
}

// forgetSent removes the batches that have been written by now. The caller holds the lock.
func (e *endedAttempts) forgetSent(now time.Time) {
	e.sent = slices.DeleteFunc(e.sent, func(b sentBatch) bool { return now.Sub(b.at) > endedResendTime })
}

// takeAll removes and returns all attempts that wait for their message, and those whose message may not be written yet. An
// owner ignores an end that it knows.
func (e *endedAttempts) takeAll() map[string][][]byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := e.ids
	e.ids = map[string][][]byte{}
	e.forgetSent(e.clock.Now())
	for _, b := range e.sent {
		all[b.pool] = append(all[b.pool], b.ids...)
	}
	e.sent = nil
	return all
}

// sendEnded reports ended attempts to the current owner of their pool.
func (r *Router) sendEnded(pool string, ids [][]byte) {
	owner, ok := r.state().owners[pool]
	if !ok || owner.VM == r.settings.VM || len(ids) == 0 {
		return
	}
	_ = r.peers.Send(owner.Addr, endedMessage(pool, ids))
}

func endedMessage(pool string, ids [][]byte) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_AttemptEnded{
		AttemptEnded: &peerpb.AttemptEnded{Pool: pool, Attempts: ids},
	}}
}

// flushEnded reports the last ended attempts before the router closes. It waits
// until the messages are written, because the transport discards its queue of
// one-way messages when it closes.
func (r *Router) flushEnded(ctx context.Context) {
	for pool, ids := range r.ended.takeAll() {
		owner, ok := r.state().owners[pool]
		if !ok || owner.VM == r.settings.VM {
			continue
		}
		s, err := r.peers.Open(ctx, owner.Addr)
		if err != nil {
			continue
		}
		_ = s.Send(endedMessage(pool, ids))
		_ = s.Close()
	}
}

func (c *control) sendOwnership(a ownership.Send) {
	r, ok := c.view.Router(a.To)
	if !ok {
		return
	}
	if reply := a.Env.GetClaimReply(); a.AttachAttempts && reply != nil {
		running, complete := c.r.poolOwner.Attempts(reply.Pool)
		reply.Attempts = append(running, c.r.dispatch.InFlight().Attempts(reply.Pool)...)
		reply.Complete = complete
	}
	if a.Piggyback {
		c.r.piggyback.enqueue(a.To, r.VM.PeerAddr, a.Env)
		return
	}
	_ = c.r.peers.Send(r.VM.PeerAddr, a.Env)
}

// ownerTarget returns the address of the owner of a pool in this router's view.
func (c *control) ownerTarget(pool string) dispatch.Target {
	if c.r.localAdmission() {
		return dispatch.Target{VM: c.r.settings.VM}
	}
	name := c.ownership.Owner(pool)
	r, ok := c.view.Router(name)
	if !ok {
		return dispatch.Target{}
	}
	return dispatch.Target{VM: name, Addr: r.VM.PeerAddr}
}

func poolNames[T any](pools map[string]T) []string {
	return slices.Collect(maps.Keys(pools))
}
