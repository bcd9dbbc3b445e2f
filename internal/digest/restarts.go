package digest

import (
	"net/netip"
	"time"
)

// When most routers were killed, the survivors must learn of it as soon as the others are back. A router that starts knows
// only the seeds, which may have been killed as well, and in a large fleet the others send it nothing before their next
// regular digest, seconds later. A survivor knows all addresses, so it sends the others a digest, the probe, once it has heard
// of restartsToProbe restarts: a process answers the first message of another one at once. A router that has just started
// counts no restarts, and one that stops as planned is forgotten, so neither a first start nor a planned restart is probed.

const (
	// restartWindow is the time within which restarts of other routers count as one event. VMs that lose power together are
	// back within a few seconds of each other.
	restartWindow = 10 * time.Second
	// survivorMaxSilence is the longest time between the last digest of a router and the first restart with which the
	// router counts as a survivor. Routers send their loads that often to those that read the store, and these send the
	// totals to all. A killed router needs longer than that to be back.
	survivorMaxSilence = loadInterval
	// restartsToProbe is the number of restarts that start the probes. A single router may have crashed for a reason of its own.
	restartsToProbe = 2
	// firstProbes is the number of routers that are probed first. The others follow, probesAtOnce at a time, while more than one
	// in probeShare of those probed have restarted, so that two separate crashes cost each router few datagrams.
	firstProbes  = 16
	probesAtOnce = 64
	probeShare   = 4
	// maxProbes bounds the probes to one router within restartWindow, and probeAgain is the time between two of them. A killed
	// router may be back a second later than the first one.
	maxProbes  = 6
	probeAgain = 200 * time.Millisecond
)

// restartProbe is a search for restarted routers.
type restartProbe struct {
	startedAt time.Time
	// sent has the probes by the address of the probed router.
	sent map[netip.Addr]sentProbes
}

// sentProbes are the probes that were sent to a router.
type sentProbes struct {
	count int
	last  time.Time
}

// restarts returns how many routers were killed and are back within restartWindow, and when the first of them was heard; now
// for none.
func (p *Peers) restarts(now time.Time) (n int, first time.Time) {
	first = now
	for _, peer := range p.tracked {
		if !peer.restartedAt.IsZero() && now.Sub(peer.restartedAt) < restartWindow {
			n++
			first = earliest(first, peer.restartedAt)
		}
	}
	return n, first
}

// MostRestarted reports whether most of the routers that this one has heard were killed and are back within
// restartWindow, and more than streamHolders were, so that all that knew which version began a stream may be among them. A
// router that is only silent does not count: this one may be cut off itself. before is the number of live survivors with a lower
// address than this one. A router that was not heard within survivorMaxSilence is none: it may have been killed and not be
// back yet.
func (p *Peers) MostRestarted(now time.Time) (most bool, before int) {
	restarted, first := p.restarts(now)
	heard := 0
	for addr, peer := range p.tracked {
		if peer.LastReceived.IsZero() {
			continue
		}
		heard++
		survived := peer.heardSince.Before(first) && !peer.LastReceived.Before(first.Add(-survivorMaxSilence))
		if survived && p.live(peer, now) && addr.Less(p.self) {
			before++
		}
	}
	return restarted > streamHolders && 2*restarted > heard, before
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ProbeTargets returns the routers that get a probe now because they may have restarted, and counts it as sent. A
// router that reads the store for a large fleet, and one of a small fleet, send to all every loadInterval anyway.
func (p *Peers) ProbeTargets(now time.Time) []netip.Addr {
	if n, _ := p.restarts(now); n < restartsToProbe || p.reader || len(p.tracked) <= smallFleetPeers {
		p.probe = nil
		return nil
	}
	if p.probe == nil || now.Sub(p.probe.startedAt) >= restartWindow {
		p.probe = &restartProbe{startedAt: now, sent: make(map[netip.Addr]sentProbes)}
	}
	room := p.newProbes()
	var targets []netip.Addr
	// Map iteration order is random.
	for addr, peer := range p.tracked {
		if len(targets) >= probesAtOnce {
			break
		}
		if peer.LastReceived.IsZero() || !peer.LastReceived.Before(p.probe.startedAt) {
			continue
		}
		sent := p.probe.sent[addr]
		switch {
		case sent.count == 0 && room > 0:
			room--
		case sent.count == 0 || sent.count >= maxProbes || now.Sub(sent.last) < probeAgain:
			continue
		}
		p.probe.sent[addr] = sentProbes{count: sent.count + 1, last: now}
		targets = append(targets, addr)
	}
	return targets
}

// newProbes returns how many routers may now be probed for the first time.
func (p *Peers) newProbes() int {
	if len(p.probe.sent) == 0 {
		return firstProbes
	}
	restarted := 0
	for addr := range p.probe.sent {
		if peer := p.tracked[addr]; peer != nil && !peer.restartedAt.Before(p.probe.startedAt) {
			restarted++
		}
	}
	if probeShare*restarted <= len(p.probe.sent) {
		return 0
	}
	return probesAtOnce
}

// probeRestarted sends a digest to the routers that may have restarted.
func (e *Exchange) probeRestarted(now time.Time) {
	e.mu.Lock()
	targets := e.peers.ProbeTargets(now)
	e.mu.Unlock()
	if len(targets) > 0 {
		e.sendTo(targets, e.newMessage())
	}
}

// MostRestarted is Peers.MostRestarted at the present time.
func (e *Exchange) MostRestarted() (most bool, before int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.MostRestarted(time.Now())
}

// HearsLoads reports whether all routers send their loads to this one. It then hears each of them every loadInterval.
func (e *Exchange) HearsLoads() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reader || e.smallFleet()
}

// MarkVersionsAsked records that this router has asked the engines which versions have prompts cached, and tells the others,
// so that none of them asks as well. Digests say so for restartWindow.
func (e *Exchange) MarkVersionsAsked() {
	e.mu.Lock()
	e.versionsAskedAt = time.Now()
	e.mu.Unlock()
	e.sendTo(e.targets(), e.newMessage())
}

// VersionsAsked reports whether another live router says that it has asked the engines within restartWindow.
func (e *Exchange) VersionsAsked() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, peer := range e.peers.tracked {
		if peer.versionsAsked && e.peers.live(peer, now) {
			return true
		}
	}
	return false
}
