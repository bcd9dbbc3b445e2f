package digest

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// batchDelay returns how long changes are collected. A relay collects those of several routers itself.
func (e *Exchange) batchDelay() time.Duration {
	if _, found := e.relay(time.Now()); found {
		return minBatchDelay
	}
	return e.batchDelayToAll()
}

// batchDelayToAll returns how long what is sent to all is collected.
func (e *Exchange) batchDelayToAll() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return BatchDelay(len(e.peers.tracked))
}

// BatchDelay returns how long what is sent to a number of other routers is collected.
func BatchDelay(peers int) time.Duration {
	return max(minBatchDelay, batchDelayPerPeer*time.Duration(peers))
}

func (e *Exchange) targets() []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.Targets(time.Now())
}

// newMessage returns a message with the fields that every digest has.
func (e *Exchange) newMessage() *Message {
	progress := e.state.Progress()
	e.mu.Lock()
	synced, role, notGranting := e.synced, roleOf(e.toldReader), e.notGranting
	versionsAsked := !e.versionsAskedAt.IsZero() && time.Since(e.versionsAskedAt) < restartWindow
	e.mu.Unlock()
	return &Message{
		Sender: e.sender, Synced: synced, Role: role, Progress: progress.Topics,
		Reading: progress.OwnReads.Succeed, StoreEra: progress.OwnReads.Era, ConfigVersion: progress.ConfigVersion,
		ListEnd: progress.ListEnd, ServersHash: progress.Servers.Hash, Level: ownLevel, NotGranting: notGranting, Processor: e.processor.Load(),
		Evacuations: e.partOf(progress.Evacuations),
		Region:      e.region, VersionsAsked: versionsAsked,
	}
}

func roleOf(reader bool) Role {
	if reader {
		return RoleReader
	}
	return RoleOther
}

// sendWelcome answers the first message of a process. A router that has just started
// learns at once who else runs, and who has the placements.
func (e *Exchange) sendWelcome(now time.Time, to netip.Addr) {
	m := e.newMessage()
	e.mu.Lock()
	m.Peers = e.nextPeers(e.peers.Targets(now))
	e.mu.Unlock()
	e.sendTo([]netip.Addr{to}, m)
	e.sendEntries([]netip.Addr{to}, e.state.PartEntries())
	e.sendAllCold(to)
}

// sendDigest sends new server changes and placements to all tracked routers or to a relay, and
// the read progress when it has changed or the digest is regular. A regular digest
// also names other routers. Where placements are relayed, a router that is no reader reports a
// change with its loads only, to the readers, which send changes again to those that lack them; unless it is the first
// one to know of a configuration or a server, as after a restart of all.
func (e *Exchange) sendDigest(regular bool) {
	e.replyWithConfig(time.Now())
	now := time.Now()
	m := e.newMessage()
	// A difference is queued before its position is recorded, so those of all positions in the message precede it.
	e.sendDifferences()
	e.mu.Lock()
	targets := e.peers.Targets(now)
	if regular {
		e.regularAt = now
		e.peers.Expire(now)
		m.Peers = e.nextPeers(targets)
		m.Heard, m.Routers = e.peers.hearing(now)
	}
	withLoads := e.relays(now) && !e.reader && !e.peers.lacks(now, m)
	e.mu.Unlock()
	e.sendServerChanges(targets)
	changed := m.StoreEra != e.sentEra || !slices.Equal(m.Progress, e.sentProgress) || m.Evacuations.AsOf != e.sentEvacuations
	if regular || changed && !withLoads {
		e.sendTo(targets, m)
		e.sentProgress, e.sentEra, e.sentEvacuations = m.Progress, m.StoreEra, m.Evacuations.AsOf
	}
	e.sendNewPlacements(targets, regular)
	e.sendPartReport(targets, regular)
	e.sendLimits(targets)
	e.sendCold(targets)
}

// sendLoads sends this router's loads and outcomes to all routers, or in a large
// fleet to the readers of the store. There a reader also sends the totals to all.
func (e *Exchange) sendLoads(now time.Time, targets []netip.Addr) {
	own := e.state.Loads()
	m := e.newMessage()
	// Loads tell the position of the configuration as well.
	e.sendDifferences()
	m.Loads = own
	m.LoadsComplete = len(own) <= loadsPerDatagram
	m.Outcomes = mostFailed(e.state.Outcomes())
	if !m.LoadsComplete {
		m.Loads = nil
	}
	times := e.state.TakeTimes()
	m.Times = fitPoolTimes(times)
	withoutTimesIfTooLarge(m)
	readers, reader := e.readers(time.Now(), e.state.Progress().OwnReads)
	e.mu.Lock()
	m.Role = roleOf(e.toldReader)
	e.loadsSentAt = time.Now()
	e.clearShares()
	smallFleet := e.smallFleet()
	e.sentLoads = make(map[uint32]int, len(own))
	for _, l := range own {
		e.sentLoads[l.Server] = l.InFlight
	}
	e.sentOutcomes, e.sentTimes = m.Outcomes, times
	stale := now.Sub(e.totalsReceivedAt) >= loadsMaxAge
	routers := len(e.peers.Live(now)) + 1
	e.mu.Unlock()
	e.state.SetRouterCount(routers)
	switch {
	case smallFleet:
		e.sendTo(targets, m)
		e.sumLoads(now)
	case reader:
		e.sendTo(excludeAddr(readers, e.peers.self), m)
		e.sumLoads(now)
		e.sendTotals(now, targets)
	default:
		e.sendTo(readers, m)
		if stale {
			e.state.SetPeerLoads(nil, 0)
		}
	}
}

// sendTotals sends the loads and failures of all routers together to all.
func (e *Exchange) sendTotals(now time.Time, targets []netip.Addr) {
	e.mu.Lock()
	totals := e.peers.Loads(now)
	for server, n := range e.sentLoads {
		totals[server] += n
	}
	failures := e.peers.Outcomes(now, e.sentOutcomes)
	times := e.peers.Times(now, e.sentTimes)
	e.mu.Unlock()
	m := e.newMessage()
	m.TotalTimes = fitPoolTimes(times)
	m.TotalFailures = failures
	m.TotalLoads = mostLoaded(totals, loadsPerDatagram)
	withoutTimesIfTooLarge(m)
	e.sendTo(targets, m)
}

func excludeAddr(list []netip.Addr, self netip.Addr) []netip.Addr {
	return slices.DeleteFunc(slices.Clone(list), func(a netip.Addr) bool { return a == self })
}

// nextPeers returns the readers that are heard and a few of the targets, in turn. A router
// that has just started must find the readers first: it reads the store itself until
// they know it.
func (e *Exchange) nextPeers(targets []netip.Addr) []netip.Addr {
	nextPeers := slices.Clone(e.peers.heardReaders)
	for range min(peersPerDigest, len(targets)) {
		if next := targets[e.peerCursor%len(targets)]; !slices.Contains(nextPeers, next) {
			nextPeers = append(nextPeers, next)
		}
		e.peerCursor++
	}
	return nextPeers
}

// sendServerChanges sends server changes: new ones to all, earlier ones to those that
// have not reported them. It precedes the digest with their positions, so that the others
// need not read them from the store.
func (e *Exchange) sendServerChanges(targets []netip.Addr) {
	list := e.state.ServerChanges()
	again := slices.DeleteFunc(slices.Clone(list), func(c ServerChange) bool { return !c.Again })
	fresh := slices.DeleteFunc(list, func(c ServerChange) bool { return c.Again })
	for part := range slices.Chunk(fresh, serverChangesPerDatagram) {
		e.sendTo(targets, &Message{Sender: e.sender, Servers: part})
	}
	for part := range slices.Chunk(again, serverChangesPerDatagram) {
		e.sendTo(e.lacking(targets, part), &Message{Sender: e.sender, Servers: part})
	}
}

// lacking returns the targets that may lack one of the changes.
func (e *Exchange) lacking(targets []netip.Addr, changes []ServerChange) []netip.Addr {
	last := logpos.None
	for _, c := range changes {
		last = logpos.Max(last, c.Position)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.WithoutChange(targets, TopicServers, last)
}

// sendNewPlacements sends new placements. A regular digest repeats those sent
// since the previous regular one, against lost datagrams.
func (e *Exchange) sendNewPlacements(targets []netip.Addr, regular bool) {
	newPlacements := e.state.TakeNewPlacements()
	relay, found := e.relay(time.Now())
	switch {
	case regular:
		e.sendPlacements(targets, append(slices.Clone(newPlacements), e.resend...))
		e.resend = nil
	case found:
		e.relayPlacements(relay, newPlacements)
	default:
		e.sendPlacements(targets, newPlacements)
	}
	e.repeatLater(newPlacements)
}

// repeatLater keeps placements for the next regular digest, when the servers have
// read the prompts.
func (e *Exchange) repeatLater(placements []Placement) {
	for _, p := range placements {
		if p.PrefixHash != 0 {
			p.ReadTokens = 0
			e.resend = append(e.resend, p)
		}
	}
}

func (e *Exchange) sendPlacements(targets []netip.Addr, list []Placement) {
	for part := range slices.Chunk(list, placementsPerDatagram) {
		e.sendTo(targets, &Message{Sender: e.sender, Placements: part})
	}
}

func (e *Exchange) sendTo(targets []netip.Addr, m *Message) { e.sendEncoded(targets, Encode(m)) }

func (e *Exchange) sendEncoded(targets []netip.Addr, b []byte) {
	e.sent.Add(int64(len(targets)))
	for _, t := range targets {
		// The next digest makes up for a lost one.
		_, _ = e.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(t, e.port))
	}
}
