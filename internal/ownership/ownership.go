// Package ownership decides which router admits the requests of a pool and
// with which share of the pool's bound. It does no I/O and reads no clock: time
// comes in as an argument and messages go out as actions.
// docs/decisions/0003-ownership.md explains why the shares in use for a pool
// never add up to more than one.
package ownership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellwell/bluebellwell/internal/membership"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

const (
	// LeaseTime is how long a vote counts for the owner. It starts before the
	// owner sends its request and is measured on the owner's monotonic clock.
	LeaseTime = 5 * time.Second
	// HoldTime is how long the voter grants the vote to no other router, from
	// its reply on. The difference from LeaseTime allows clocks whose rates
	// differ by a tenth.
	HoldTime = 5500 * time.Millisecond
	// TickInterval is the maximum time between calls of Tick.
	TickInterval = 250 * time.Millisecond

	renewInterval = 3 * time.Second
	// renewalTimeout is the time without a reply to a renewal after which the
	// owner requests the vote of another router.
	renewalTimeout = 1 * time.Second
	retryInterval  = 1 * time.Second
	// pendingClaimTimeout is how long a claim that could not be granted is kept.
	pendingClaimTimeout = 2 * time.Second
)

// lease is a vote that was granted to this router.
type lease struct {
	expiresAt time.Time
	stamp     uint64
	// listedRouters is the number of routers by which the voter divides its vote.
	listedRouters uint32
}

// Share is the part of a pool's bound that this router may use. It is
// immutable. The zero value holds no votes.
type Share struct {
	// Epoch identifies the period of ownership; it grows with each takeover.
	Epoch  uint64
	leases []lease
}

// At returns the share at a time, between 0 and 1. It must be called with the
// current time for each admission: votes expire without an event, for example
// while the process is paused.
func (s Share) At(now time.Time) float64 {
	sum := 0.0
	for _, l := range s.leases {
		if now.Before(l.expiresAt) {
			sum += 1 / float64(l.listedRouters)
		}
	}
	return min(sum, 1)
}

// majorityMargin absorbs the rounding errors of the sum of weights.
const majorityMargin = 1e-9

// MajorityExpiry returns the time until which the votes add up to more than one
// half; ok reports whether they do at the time now. No two routers have a
// majority at the same time, because the shares of all routers never add up to
// more than one.
func (s Share) MajorityExpiry(now time.Time) (expiresAt time.Time, ok bool) {
	sum := 0.0
	for _, l := range s.leases {
		if !now.Before(l.expiresAt) {
			continue
		}
		sum += 1 / float64(l.listedRouters)
		if expiresAt.IsZero() || l.expiresAt.Before(expiresAt) {
			expiresAt = l.expiresAt
		}
		if sum > 0.5+majorityMargin {
			return expiresAt, true
		}
	}
	return time.Time{}, false
}

// Votes returns the number of votes that have not expired at a time.
func (s Share) Votes(now time.Time) int {
	n := 0
	for _, l := range s.leases {
		if now.Before(l.expiresAt) {
			n++
		}
	}
	return n
}

// Action is an instruction to the caller. Actions must be carried out in order:
// a changed share must be in use before the messages after it are sent.
type Action interface{ action() }

// ShareChanged replaces the share of a pool.
type ShareChanged struct {
	Pool  string
	Share Share
}

// HandBack stops admission for a pool and returns its queue to the entry
// routers. Owner is the new owner in this router's view; it may be empty.
type HandBack struct {
	Pool  string
	Owner string
}

// Adopt passes on attempts that another router reports as in flight. It is
// issued at most once for each router and epoch.
type Adopt struct {
	Pool     string
	Epoch    uint64
	From     string
	Attempts []*peerpb.Attempt
	// Complete is set when From owned the pool and lists all its attempts.
	Complete bool
}

// Send is a one-way message to a router.
type Send struct {
	To  string
	Env *peerpb.Envelope
	// AttachAttempts asks the caller to fill in ClaimReply.Attempts.
	AttachAttempts bool
	// Piggyback allows the caller to send the message together with a data
	// message to the same router within 500 ms, which saves its framing.
	Piggyback bool
}

func (ShareChanged) action() {}
func (HandBack) action()     {}
func (Adopt) action()        {}
func (Send) action()         {}

// countedRouter is the state of a router that this one includes in voteDivisor.
type countedRouter struct {
	// lastVoteWithout is when this router last granted or renewed a vote whose
	// divisor did not include it; zero means never.
	lastVoteWithout time.Time
	// removedAt is when the router was removed from the list. It is still
	// counted for HoldTime, because votes that it granted may still be in use.
	removedAt time.Time
}

// Ownership is the state of one router. It is not safe for concurrent use.
type Ownership struct {
	self  string
	boot  uint64
	start time.Time
	stamp uint64
	// lastVoteAt is when this router last granted or renewed a vote.
	lastVoteAt time.Time
	view       *membership.View
	counted    map[string]countedRouter
	// boots holds the highest boot id received from each router.
	boots    map[string]uint64
	joined   bool
	acks     map[string]bool
	nextJoin time.Time
	pools    map[string]*pool
	out      []Action
	// majorityOnly limits renewals to the votes that a majority requires.
	majorityOnly bool
}

// RenewMajorityOnly makes an owner renew only as many votes as a majority
// requires, after it has claimed the vote of every router once. It must be
// called before the first call of Receive or Tick.
func (o *Ownership) RenewMajorityOnly() {
	o.majorityOnly = true
}

// New returns the state of a router that starts now. boot must increase from
// one start of the VM to the next.
func New(now time.Time, self string, boot uint64) *Ownership {
	return &Ownership{
		self:    self,
		boot:    boot,
		start:   now,
		view:    &membership.View{Self: self},
		counted: map[string]countedRouter{},
		boots:   map[string]uint64{},
		acks:    map[string]bool{},
		pools:   map[string]*pool{},
	}
}

// Owner returns the owner of a pool in this router's view; it is empty when no
// router is usable.
func (o *Ownership) Owner(pool string) string {
	best, bestHash := "", uint64(0)
	for _, name := range o.view.Usable {
		if name == o.self && !o.view.SelfListed {
			continue
		}
		h := xxhash.Sum64String(pool + "\x00" + name)
		if best == "" || h > bestHash {
			best, bestHash = name, h
		}
	}
	return best
}

// SetPools replaces the set of pools.
func (o *Ownership) SetPools(now time.Time, names []string) []Action {
	for _, name := range slices.Sorted(maps.Keys(o.pools)) {
		if !slices.Contains(names, name) {
			o.pools[name].endOwnership(now, "")
			// The vote is kept until it expires, in case the pool is added again.
			o.pools[name].removed = true
		}
	}
	for _, name := range names {
		if o.pools[name] == nil {
			o.pools[name] = newPool(o, name)
		}
		o.pools[name].removed = false
	}
	return o.update(now)
}

// RecordProcessEnd records that the process that a router ran before the given
// time has ended. Votes granted to it before that time are free at once, since
// an ended process admits nothing.
func (o *Ownership) RecordProcessEnd(now time.Time, name string, before time.Time) []Action {
	for _, p := range o.pools {
		if p.vote.owner == name && p.vote.expiresAt.Add(-HoldTime).Before(before) {
			p.vote = vote{}
		}
	}
	return o.update(now)
}

// SetView replaces the membership view.
func (o *Ownership) SetView(now time.Time, v *membership.View) []Action {
	o.view = v
	listed := map[string]bool{}
	for _, r := range v.Routers {
		listed[r.VM.Name] = true
		c, found := o.counted[r.VM.Name]
		if !found {
			c.lastVoteWithout = o.lastVoteAt
		}
		c.removedAt = time.Time{}
		o.counted[r.VM.Name] = c
	}
	for name, c := range o.counted {
		if !listed[name] && c.removedAt.IsZero() {
			c.removedAt = now
			o.counted[name] = c
		}
	}
	return o.update(now)
}

// Tick drops expired leases, renews votes and repeats claims.
func (o *Ownership) Tick(now time.Time) []Action {
	return o.update(now)
}

// Receive handles a message from another router.
func (o *Ownership) Receive(now time.Time, from string, env *peerpb.Envelope) []Action {
	switch b := env.Body.(type) {
	case *peerpb.Envelope_Claim:
		if p := o.pools[b.Claim.GetPool()]; p != nil && !p.removed {
			p.handleClaim(now, from, b.Claim)
		}
	case *peerpb.Envelope_ClaimReply:
		if p := o.pools[b.ClaimReply.GetPool()]; p != nil {
			p.handleClaimReply(now, from, b.ClaimReply)
		}
	case *peerpb.Envelope_VoteLost:
		if p := o.pools[b.VoteLost.GetPool()]; p != nil {
			p.handleVoteLost(now, from)
		}
	case *peerpb.Envelope_Renewal:
		o.handleRenewal(now, from, b.Renewal)
	case *peerpb.Envelope_RenewalReply:
		o.handleRenewalReply(now, from, b.RenewalReply)
	case *peerpb.Envelope_Join:
		o.handleJoin(now, from, b.Join)
	case *peerpb.Envelope_JoinReply:
		if b.JoinReply.GetBootId() == o.boot {
			o.acks[from] = true
		}
	}
	return o.update(now)
}

// update adapts the state to the view and the time, and returns the collected
// actions.
func (o *Ownership) update(now time.Time) []Action {
	maps.DeleteFunc(o.counted, func(_ string, c countedRouter) bool {
		return !c.removedAt.IsZero() && now.Sub(c.removedAt) >= HoldTime
	})
	o.updateJoin(now)
	renewals := map[string][]*peerpb.Vote{}
	for _, name := range slices.Sorted(maps.Keys(o.pools)) {
		o.pools[name].update(now, renewals)
	}
	o.sendRenewals(now, renewals)
	out := o.out
	o.out = nil
	return out
}

// nextStamp returns a stamp that is higher than all earlier ones and not later
// than now.
func (o *Ownership) nextStamp(now time.Time) uint64 {
	o.stamp = max(o.stamp+1, uint64(now.Sub(o.start)))
	return o.stamp
}

// voteDivisor returns the number of routers by which a vote granted now is
// divided.
func (o *Ownership) voteDivisor() uint32 {
	return uint32(len(o.counted))
}

// mayVote reports whether this router may grant votes. A new boot waits until
// the votes of the previous boot have expired and all other routers count it.
func (o *Ownership) mayVote(now time.Time) bool {
	self, listed := o.view.Router(o.self)
	return listed && self.Usable() && o.joined && now.Sub(o.start) >= HoldTime
}

// updateJoin asks the listed routers to confirm that they count this one.
func (o *Ownership) updateJoin(now time.Time) {
	if o.joined || !o.view.SelfListed {
		return
	}
	missing := o.missingAcks()
	o.joined = len(missing) == 0
	if o.joined || now.Before(o.nextJoin) {
		return
	}
	o.nextJoin = now.Add(retryInterval)
	for _, name := range missing {
		o.send(name, &peerpb.Envelope{Body: &peerpb.Envelope_Join{Join: &peerpb.Join{BootId: o.boot}}})
	}
}

func (o *Ownership) missingAcks() []string {
	var missing []string
	for _, r := range o.view.Routers {
		if r.VM.Name != o.self && !o.acks[r.VM.Name] {
			missing = append(missing, r.VM.Name)
		}
	}
	return missing
}

// handleJoin confirms that this router counts the sender, once the votes that
// it granted without counting the sender have expired.
func (o *Ownership) handleJoin(now time.Time, from string, j *peerpb.Join) {
	c, found := o.counted[from]
	if !found || !c.removedAt.IsZero() || now.Sub(c.lastVoteWithout) < HoldTime {
		return
	}
	o.send(from, &peerpb.Envelope{Body: &peerpb.Envelope_JoinReply{JoinReply: &peerpb.JoinReply{BootId: j.GetBootId()}}})
}

// handleRenewal renews the votes that the sender holds.
func (o *Ownership) handleRenewal(now time.Time, from string, r *peerpb.Renewal) {
	if !o.acceptBoot(from, r.GetBootId()) || !o.mayVote(now) {
		return
	}
	reply := &peerpb.RenewalReply{BootId: r.GetBootId(), Stamp: r.GetStamp(), Listed: o.voteDivisor()}
	for _, v := range r.GetVotes() {
		p := o.pools[v.GetPool()]
		if p != nil && !p.removed && p.renewVote(now, from, r, v.GetEpoch()) {
			reply.Votes = append(reply.Votes, v)
			o.lastVoteAt = now
		}
	}
	o.out = append(o.out, Send{To: from, Piggyback: true, Env: &peerpb.Envelope{Body: &peerpb.Envelope_RenewalReply{RenewalReply: reply}}})
}

func (o *Ownership) handleRenewalReply(now time.Time, from string, r *peerpb.RenewalReply) {
	if r.GetBootId() != o.boot {
		return
	}
	for _, v := range r.GetVotes() {
		if p := o.pools[v.GetPool()]; p != nil && p.epoch == v.GetEpoch() {
			p.recordVote(now, from, r.GetStamp(), r.GetListed())
		}
	}
}

func (o *Ownership) sendRenewals(now time.Time, renewals map[string][]*peerpb.Vote) {
	for _, to := range slices.Sorted(maps.Keys(renewals)) {
		r := &peerpb.Renewal{BootId: o.boot, Stamp: o.nextStamp(now), Votes: renewals[to]}
		o.out = append(o.out, Send{To: to, Piggyback: true, Env: &peerpb.Envelope{Body: &peerpb.Envelope_Renewal{Renewal: r}}})
	}
}

// acceptBoot reports whether a message is not from an earlier boot than the
// latest one received from that router, and records its boot.
func (o *Ownership) acceptBoot(from string, boot uint64) bool {
	if boot < o.boots[from] {
		return false
	}
	o.boots[from] = boot
	return true
}

func (o *Ownership) send(to string, env *peerpb.Envelope) {
	o.out = append(o.out, Send{To: to, Env: env})
}
