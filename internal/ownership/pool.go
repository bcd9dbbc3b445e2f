package ownership

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/membership"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// vote is this router's vote for the owner of a pool.
type vote struct {
	owner string
	boot  uint64
	epoch uint64
	// stamp is the highest stamp of a granted claim or renewal.
	stamp uint64
	// expiresAt is when the vote becomes free again without a release.
	expiresAt time.Time
}

// pending is a claim that waits for the vote to become free.
type pending struct {
	from  string
	claim *peerpb.Claim
	at    time.Time
}

// pool is the state of one pool, both as a voter and as an owner.
type pool struct {
	o       *Ownership
	name    string
	removed bool

	vote         vote
	pending      pending
	nextVoteLost time.Time
	// reportedEpoch holds, by claimant, the highest epoch for which the attempts
	// were reported.
	reportedEpoch map[string]uint64

	// owning is set while this router is the owner in its own view.
	owning bool
	epoch  uint64
	// maxEpoch is the highest epoch received or used.
	maxEpoch uint64
	leases   map[string]lease
	// voidedStamp holds, by voter, the stamp up to which votes were returned.
	voidedStamp map[string]uint64
	adopted     map[string]bool
	nextClaim   map[string]time.Time
	nextRenewal map[string]time.Time
	changed     bool
}

func newPool(o *Ownership, name string) *pool {
	return &pool{
		o:             o,
		name:          name,
		reportedEpoch: map[string]uint64{},
		leases:        map[string]lease{},
		voidedStamp:   map[string]uint64{},
		adopted:       map[string]bool{},
		nextClaim:     map[string]time.Time{},
		nextRenewal:   map[string]time.Time{},
	}
}

// update applies the view and the time, and publishes a changed share.
func (p *pool) update(now time.Time, renewals map[string][]*peerpb.Vote) {
	if p.removed {
		return
	}
	owner := p.o.Owner(p.name)
	if p.owning && owner != p.o.self {
		p.endOwnership(now, owner)
	}
	if !p.owning && owner == p.o.self {
		p.takeOver()
	}
	if p.vote.owner == p.o.self && owner != p.o.self {
		p.vote = vote{}
	}
	p.pruneLeases(now)
	if p.owning {
		p.voteForSelf(now)
	}
	p.publish()
	p.sendVoteLost(now, owner)
	p.grantPending(now, owner)
	if p.owning {
		p.requestVotes(now, renewals)
	}
}

func (p *pool) takeOver() {
	p.owning = true
	p.epoch = max(p.maxEpoch, p.o.boot) + 1
	p.maxEpoch = p.epoch
	clear(p.adopted)
	clear(p.nextClaim)
	clear(p.nextRenewal)
}

// endOwnership ends the ownership. The share is removed before any vote is
// released.
func (p *pool) endOwnership(now time.Time, owner string) {
	if !p.owning {
		return
	}
	p.owning = false
	voters := slices.Sorted(maps.Keys(p.leases))
	clear(p.leases)
	p.changed = true
	p.publish()
	p.o.out = append(p.o.out, HandBack{Pool: p.name, Owner: owner})
	for _, name := range voters {
		if name != p.o.self {
			p.releaseVote(now, name)
		}
	}
	if p.vote.owner == p.o.self {
		p.vote = vote{}
	}
}

// pruneLeases drops votes that expired and votes of routers that are not listed.
func (p *pool) pruneLeases(now time.Time) {
	for name, l := range p.leases {
		if _, listed := p.o.view.Router(name); !listed || !now.Before(l.expiresAt) {
			delete(p.leases, name)
			p.changed = true
		}
	}
}

// publish emits ShareChanged when the share changed.
func (p *pool) publish() {
	if !p.changed {
		return
	}
	p.changed = false
	s := Share{Epoch: p.epoch}
	for _, l := range p.leases {
		s.leases = append(s.leases, l)
	}
	// The leases that expire last come first, so that MajorityExpiry returns the
	// latest possible time.
	slices.SortFunc(s.leases, func(a, b lease) int { return b.expiresAt.Compare(a.expiresAt) })
	p.o.out = append(p.o.out, ShareChanged{Pool: p.name, Share: s})
}

// voteFree reports whether the vote may be granted to a new owner.
func (p *pool) voteFree(now time.Time) bool {
	return p.vote.owner == "" || !now.Before(p.vote.expiresAt)
}

// voteForSelf grants or renews this router's vote for itself. The lease expires
// like any other, so that a paused process resumes without it.
func (p *pool) voteForSelf(now time.Time) {
	if !p.o.mayVote(now) {
		return
	}
	if p.vote.owner != p.o.self && !p.voteFree(now) {
		return
	}
	own := p.leases[p.o.self]
	if own.expiresAt.Sub(now) > LeaseTime-TickInterval && own.listedRouters == p.o.voteDivisor() {
		return
	}
	stamp := p.o.nextStamp(now)
	p.vote = vote{owner: p.o.self, boot: p.o.boot, epoch: p.epoch, stamp: stamp, expiresAt: now.Add(HoldTime)}
	p.o.lastVoteAt = now
	p.leases[p.o.self] = lease{expiresAt: now.Add(LeaseTime), stamp: stamp, listedRouters: p.o.voteDivisor()}
	p.changed = true
}

// sendVoteLost notifies the holder of the vote that another router is the owner
// in this router's view.
func (p *pool) sendVoteLost(now time.Time, owner string) {
	holder := p.vote.owner
	if holder == owner || holder == p.o.self || p.voteFree(now) || now.Before(p.nextVoteLost) {
		return
	}
	p.nextVoteLost = now.Add(retryInterval)
	p.o.send(holder, &peerpb.Envelope{Body: &peerpb.Envelope_VoteLost{VoteLost: &peerpb.VoteLost{
		Pool: p.name, Epoch: p.vote.epoch, Owner: owner,
	}}})
}

// handleVoteLost returns the sender's vote, even if this router no longer holds
// it: the sender may have missed an earlier release.
func (p *pool) handleVoteLost(now time.Time, from string) {
	if _, ok := p.leases[from]; ok {
		delete(p.leases, from)
		p.changed = true
		p.publish()
	}
	p.releaseVote(now, from)
}

// releaseVote returns a router's vote and voids all votes that it granted before.
func (p *pool) releaseVote(now time.Time, to string) {
	stamp := p.o.nextStamp(now)
	p.voidedStamp[to] = stamp
	p.o.send(to, p.claimMessage(stamp, true))
}

func (p *pool) claimMessage(stamp uint64, release bool) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Claim{Claim: &peerpb.Claim{
		Pool: p.name, Owner: p.o.self, Epoch: p.epoch, BootId: p.o.boot, Stamp: stamp, Release: release,
	}}}
}

// requestVotes claims missing votes and adds the renewals that are due.
func (p *pool) requestVotes(now time.Time, renewals map[string][]*peerpb.Vote) {
	sum := p.voteWeight(now, p.o.self)
	for _, r := range p.voters() {
		name := r.VM.Name
		if p.o.majorityOnly && sum > 0.5+majorityMargin && !p.nextClaim[name].IsZero() {
			continue
		}
		sum += p.voteWeight(now, name)
		if _, ok := p.leases[name]; ok {
			if !now.Before(p.nextRenewal[name]) {
				p.nextRenewal[name] = now.Add(renewInterval)
				renewals[name] = append(renewals[name], &peerpb.Vote{Pool: p.name, Epoch: p.epoch})
			}
			continue
		}
		if r.Suspected || now.Before(p.nextClaim[name]) {
			continue
		}
		p.nextClaim[name] = now.Add(retryInterval)
		p.o.send(name, p.claimMessage(p.o.nextStamp(now), false))
	}
}

// voters returns the other routers, first those whose vote this router holds.
func (p *pool) voters() []membership.Router {
	var granted, others []membership.Router
	for _, r := range p.o.view.Routers {
		if r.VM.Name == p.o.self {
			continue
		}
		if _, ok := p.leases[r.VM.Name]; ok {
			granted = append(granted, r)
		} else {
			others = append(others, r)
		}
	}
	return append(granted, others...)
}

// voteWeight returns the weight of a router's vote; it is 0 without a lease and
// when the reply to a renewal is overdue.
func (p *pool) voteWeight(now time.Time, name string) float64 {
	l, ok := p.leases[name]
	if !ok || l.expiresAt.Sub(now) < LeaseTime-renewInterval-renewalTimeout {
		return 0
	}
	return 1 / float64(l.listedRouters)
}

// handleClaim handles a claim or a release of another router.
func (p *pool) handleClaim(now time.Time, from string, c *peerpb.Claim) {
	if !p.o.acceptBoot(from, c.GetBootId()) {
		return
	}
	p.maxEpoch = max(p.maxEpoch, c.GetEpoch())
	if c.GetRelease() {
		p.handleRelease(from, c)
		return
	}
	p.pending = pending{from: from, claim: c, at: now}
	if from == p.o.Owner(p.name) && p.mayGrant(now, from, c) {
		p.grant(now)
		return
	}
	p.sendClaimReply(from, c, false)
}

// handleRelease frees the vote unless it was renewed after the release was sent.
func (p *pool) handleRelease(from string, c *peerpb.Claim) {
	v := p.vote
	if v.owner == from && v.boot == c.GetBootId() && c.GetStamp() >= v.stamp {
		p.vote = vote{}
	}
}

// mayGrant reports whether the vote is free for a claim. A vote for an earlier
// boot of the claimant is free, because that process has ended.
func (p *pool) mayGrant(now time.Time, from string, c *peerpb.Claim) bool {
	if !p.o.mayVote(now) {
		return false
	}
	return p.voteFree(now) || p.vote.owner == from && p.vote.boot <= c.GetBootId()
}

// grantPending grants the pending claim once the vote or the view allows it.
func (p *pool) grantPending(now time.Time, owner string) {
	if p.pending.from == "" {
		return
	}
	if now.Sub(p.pending.at) >= pendingClaimTimeout {
		p.pending = pending{}
		return
	}
	if p.pending.from == owner && p.mayGrant(now, owner, p.pending.claim) {
		p.grant(now)
	}
}

// grant grants the pending claim.
func (p *pool) grant(now time.Time) {
	from, c := p.pending.from, p.pending.claim
	p.pending = pending{}
	stamp := c.GetStamp()
	if p.vote.owner == from && p.vote.boot == c.GetBootId() {
		stamp = max(stamp, p.vote.stamp)
	}
	p.vote = vote{owner: from, boot: c.GetBootId(), epoch: c.GetEpoch(), stamp: stamp, expiresAt: now.Add(HoldTime)}
	p.o.lastVoteAt = now
	p.sendClaimReply(from, c, true)
}

// sendClaimReply replies to a claim; the first reply of an epoch carries the
// attempts.
func (p *pool) sendClaimReply(to string, c *peerpb.Claim, granted bool) {
	first := c.GetEpoch() > p.reportedEpoch[to]
	p.reportedEpoch[to] = max(p.reportedEpoch[to], c.GetEpoch())
	p.o.out = append(p.o.out, Send{To: to, AttachAttempts: first, Env: &peerpb.Envelope{
		Body: &peerpb.Envelope_ClaimReply{ClaimReply: &peerpb.ClaimReply{
			Pool: p.name, Granted: granted, Epoch: c.GetEpoch(), Owner: p.vote.owner,
			BootId: c.GetBootId(), Stamp: c.GetStamp(), Listed: p.o.voteDivisor(),
		}},
	}})
}

// renewVote renews the vote of its holder. It also renews an expired vote that
// was not granted to another router since.
func (p *pool) renewVote(now time.Time, from string, r *peerpb.Renewal, epoch uint64) bool {
	v := &p.vote
	if v.owner != from || v.boot != r.GetBootId() || v.epoch != epoch || p.o.Owner(p.name) != from {
		return false
	}
	v.stamp = max(v.stamp, r.GetStamp())
	v.expiresAt = now.Add(HoldTime)
	return true
}

// handleClaimReply handles the reply to a claim.
func (p *pool) handleClaimReply(now time.Time, from string, r *peerpb.ClaimReply) {
	if r.GetBootId() != p.o.boot {
		return
	}
	if r.GetEpoch() == p.epoch && p.owning && !p.adopted[from] {
		p.adopted[from] = true
		p.o.out = append(p.o.out, Adopt{Pool: p.name, Epoch: p.epoch, From: from, Attempts: r.GetAttempts(), Complete: r.GetComplete()})
	}
	if r.GetGranted() {
		p.recordVote(now, from, r.GetStamp(), r.GetListed())
	}
}

// recordVote adds a vote, or returns it when this router is not the owner.
func (p *pool) recordVote(now time.Time, from string, stamp uint64, listed uint32) {
	if !p.owning || p.removed {
		p.releaseVote(now, from)
		return
	}
	_, found := p.o.view.Router(from)
	if !found || listed == 0 || stamp <= p.voidedStamp[from] || stamp <= p.leases[from].stamp || stamp > p.o.stamp {
		return
	}
	expiresAt := p.o.start.Add(time.Duration(stamp)).Add(LeaseTime)
	if !now.Before(expiresAt) {
		return
	}
	p.leases[from] = lease{expiresAt: expiresAt, stamp: stamp, listedRouters: listed}
	if p.nextRenewal[from].Before(now) {
		p.nextRenewal[from] = now.Add(renewInterval)
	}
	p.changed = true
}
