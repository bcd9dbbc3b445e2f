package digest

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

const (
	// readerTimeout is how long a router counts as a reader of the store after
	// its last datagram. Another one must take over well within the time in which
	// a leaving server must be noticed.
	readerTimeout = 1200 * time.Millisecond
	// minLiveTimeout is the minimum time for which a peer counts as live after its
	// last datagram. In a large fleet that time is liveTimeoutPeriods times the
	// interval between regular digests.
	minLiveTimeout     = 2500 * time.Millisecond
	liveTimeoutPeriods = 3
	// loadsMaxAge is how long received loads count.
	loadsMaxAge = 1500 * time.Millisecond
	// outcomesMaxAge is how long received outcomes count: two load intervals and
	// some delay.
	outcomesMaxAge = 600 * time.Millisecond
	// peerRetention is how long digests are still sent to a peer from which
	// nothing arrives, in case it returns.
	peerRetention = 20 * time.Second
	// maxTrackedPeers bounds the tracked peers.
	maxTrackedPeers = 512
)

// Peer is another router. LastReceived is zero for a peer that another router has
// named and from which no message has arrived.
type Peer struct {
	Addr         netip.Addr
	hash         uint64
	Sender       uint64
	LastReceived time.Time
	Reading      bool
	role         Role
	// Synced is set while the peer has the placements of the fleet.
	Synced   bool
	loads    map[uint32]int
	outcomes []Outcomes
	// loadsAt is when the peer's loads and outcomes last arrived.
	loadsAt time.Time
	// times are those of the peer's requests at plain pools, as of timesAt.
	times      []PoolTimes
	timesAt    time.Time
	lastChange map[int]logpos.Position
	// storeEra and configVersion are those that the peer has reported last.
	storeEra      int64
	configVersion int64
	// listEnd is the offset after the first list of the servers in storeEra; 0 for none.
	listEnd int64
	// serversHash is the hash of the servers that the peer knows; 0 for none.
	serversHash uint32
	// level is the level of the protocol that the peer has reported.
	level int64
	// notGranting is set while the peer grants no slots of scarce pools.
	notGranting bool
	// processor is the processor time that the peer may use, in thousandths of a core; 0 when it does not say.
	processor int64
	// region is that of the peer; empty when it has not said.
	region string
	// namedAt is when another router last named the peer.
	namedAt time.Time
	// restartedAt is when the peer was first heard after an earlier process at its address, which had not said that
	// it stops; zero for none.
	restartedAt time.Time
	// heardSince is when the process was first heard.
	heardSince time.Time
	// versionsAsked is set while the peer says that it has asked the engines after a kill of most routers.
	versionsAsked bool
	// heard are the short hashes of the routers that it hears, hearsSelf is set when this one is among them, and
	// routers is the largest number of routers that it has known lately.
	heard     []uint16
	hearsSelf bool
	routers   int
}

// Peers tracks the other routers. It does no I/O, reads no clock, and is not safe
// for concurrent use.
type Peers struct {
	self    netip.Addr
	seeds   []netip.Addr
	tracked map[netip.Addr]*Peer
	// reportedEra is the highest era of the store that a peer has reported, and
	// reportedAt when one did so first.
	reportedEra int64
	reportedAt  time.Time
	// heardReaders are the first readers among the other routers, as last seen.
	heardReaders []netip.Addr
	// startedAt is when this router first looked for the readers.
	startedAt time.Time
	// reader is set while this router reads the store for the others, and lackSince is
	// since when it has heard too few readers.
	reader    bool
	lackSince time.Time
	// servers compares the servers of this router with those of the readers.
	servers serversCheck
	// since is when this router started, as far as the choice of senders goes.
	since time.Time
	// most is the largest number of routers that were heard lately, this one included, and mostAt when that was so last.
	most   int
	mostAt time.Time
	// senders is what the choice of senders depends on; nil when it is to be found out again.
	senders *senderView
	// probe is the probe for restarted routers; nil while few have restarted.
	probe *restartProbe
}

// NewPeers returns a Peers that tracks no router yet. Targets returns the seeds
// while no peer is live.
func NewPeers(self netip.Addr, seeds []netip.Addr) *Peers {
	return &Peers{self: self, seeds: seeds, tracked: make(map[netip.Addr]*Peer)}
}

// RecordMessage updates a peer from its message. It reports whether the peer is new.
func (p *Peers) RecordMessage(now time.Time, from netip.Addr, m *Message) bool {
	if from == p.self {
		return false
	}
	if p.since.IsZero() {
		p.since = now
	}
	if m.Stopping {
		p.recordStopped(from)
		delete(p.tracked, from)
		return false
	}
	peer := p.tracked[from]
	if peer == nil && len(p.tracked) >= maxTrackedPeers {
		return false
	}
	isNew := peer == nil || peer.LastReceived.IsZero() || peer.Sender != m.Sender
	if isNew {
		earlier := peer
		peer = &Peer{Addr: from, hash: addrHash(from), Sender: m.Sender, heardSince: now, lastChange: make(map[int]logpos.Position)}
		if earlier != nil && !earlier.LastReceived.IsZero() {
			peer.restartedAt = now
			peer.heard, peer.hearsSelf, peer.routers = earlier.heard, earlier.hearsSelf, earlier.routers
		}
		p.tracked[from] = peer
	}
	peer.LastReceived = now
	p.recordHeard(peer, m)
	if len(m.Progress) > 0 {
		peer.Reading = m.Reading
		peer.role = m.Role
		peer.Synced = m.Synced
		peer.storeEra = m.StoreEra
		peer.configVersion = m.ConfigVersion
		peer.listEnd = m.ListEnd
		peer.serversHash = m.ServersHash
		peer.level = m.Level
		peer.notGranting = m.NotGranting
		peer.versionsAsked = m.VersionsAsked
		peer.processor = m.Processor
		peer.region = m.Region
		if m.StoreEra > p.reportedEra {
			p.reportedEra, p.reportedAt = m.StoreEra, now
		}
	}
	if m.LoadsComplete {
		peer.loadsAt = now
		peer.times, peer.timesAt = m.Times, now
		peer.outcomes = m.Outcomes
		peer.loads = make(map[uint32]int, len(m.Loads))
		for _, l := range m.Loads {
			peer.loads[l.Server] = l.InFlight
		}
	}
	for _, t := range m.Progress {
		last, known := peer.lastChange[t.Topic]
		if !known || last.Before(t.LastChange) {
			peer.lastChange[t.Topic] = t.LastChange
		}
	}
	p.addNamed(now, m.Peers)
	return isNew
}

// addNamed adds peers that another router has named.
func (p *Peers) addNamed(now time.Time, addrs []netip.Addr) {
	for _, a := range addrs {
		if a == p.self || len(p.tracked) >= maxTrackedPeers {
			continue
		}
		if peer := p.tracked[a]; peer != nil {
			peer.namedAt = now
			continue
		}
		p.tracked[a] = &Peer{Addr: a, hash: addrHash(a), namedAt: now, lastChange: make(map[int]logpos.Position)}
	}
}

// Expire removes peers from which nothing was received, and which no router has
// named, for peerRetention.
func (p *Peers) Expire(now time.Time) {
	for a, peer := range p.tracked {
		if now.Sub(peer.LastReceived) > peerRetention && now.Sub(peer.namedAt) > peerRetention {
			delete(p.tracked, a)
		}
	}
}

// Targets returns the addresses to send to: all tracked peers, and the seeds
// while no peer is live.
func (p *Peers) Targets(now time.Time) []netip.Addr {
	targets := make([]netip.Addr, 0, len(p.tracked)+len(p.seeds))
	live := 0
	for a, peer := range p.tracked {
		targets = append(targets, a)
		if p.live(peer, now) {
			live++
		}
	}
	if live == 0 {
		for _, s := range p.seeds {
			if s != p.self && p.tracked[s] == nil {
				targets = append(targets, s)
			}
		}
	}
	slices.SortFunc(targets, netip.Addr.Compare)
	return targets
}

// WithoutChange returns the targets that have not reported a change of a topic at a
// position or later.
func (p *Peers) WithoutChange(targets []netip.Addr, topic int, position logpos.Position) []netip.Addr {
	var without []netip.Addr
	for _, a := range targets {
		peer := p.tracked[a]
		if peer != nil {
			if last, ok := peer.lastChange[topic]; ok && !last.Before(position) {
				continue
			}
		}
		without = append(without, a)
	}
	return without
}

// Live returns the live peers, in no order.
func (p *Peers) Live(now time.Time) []*Peer {
	live := make([]*Peer, 0, len(p.tracked))
	for _, peer := range p.tracked {
		if p.live(peer, now) {
			live = append(live, peer)
		}
	}
	return live
}

// SyncedPeer returns a live peer that has the placements of the fleet. The choice
// is random, so that many starting routers ask different ones.
func (p *Peers) SyncedPeer(now time.Time) (netip.Addr, bool) {
	// Map iteration order is random.
	for _, peer := range p.tracked {
		if p.live(peer, now) && peer.Synced {
			return peer.Addr, true
		}
	}
	return netip.Addr{}, false
}

func (p *Peers) live(peer *Peer, now time.Time) bool {
	return !peer.LastReceived.IsZero() && now.Sub(peer.LastReceived) < p.liveTimeout()
}

func (p *Peers) liveTimeout() time.Duration {
	return max(minLiveTimeout, liveTimeoutPeriods*periodFor(len(p.tracked)))
}

// Loads adds up the recently received loads of the other routers per server.
func (p *Peers) Loads(now time.Time) map[uint32]int {
	sum := make(map[uint32]int)
	for _, peer := range p.tracked {
		if now.Sub(peer.loadsAt) >= loadsMaxAge {
			continue
		}
		for server, n := range peer.loads {
			sum[server] += n
		}
	}
	return sum
}

// NewestChange returns the latest position of a topic at which a live peer has read a
// change, or logpos.None. Peers that have a configuration in force which is not newer
// than the version do not count; a version of 0 excludes none.
func (p *Peers) NewestChange(now time.Time, topic int, version int64) logpos.Position {
	newest := logpos.None
	for _, peer := range p.Live(now) {
		// A router of an earlier version of the program reports no version.
		if 0 < peer.configVersion && peer.configVersion <= version {
			continue
		}
		if position, ok := peer.lastChange[topic]; ok {
			newest = logpos.Max(newest, position)
		}
	}
	return newest
}

// ReadersListEnd returns the position up to which the first lists of the other readers
// reach in an era, or logpos.None. What such a list holds and its reader knew before is
// sent to nobody, so a router that has read an earlier list of the era must read on to here.
func (p *Peers) ReadersListEnd(now time.Time, own OwnReads, era int64) logpos.Position {
	end := logpos.None
	for _, addr := range p.Readers(now, own) {
		if peer := p.tracked[addr]; peer != nil && peer.storeEra == era && peer.listEnd > 0 {
			end = logpos.Max(end, logpos.Position{Era: era, Offset: peer.listEnd})
		}
	}
	return end
}

// EraReported returns when a peer has first reported an era of the store, or the zero time
// when none has or one has reported a later era.
func (p *Peers) EraReported(era int64) time.Time {
	if era != p.reportedEra {
		return time.Time{}
	}
	return p.reportedAt
}

// NewestEra returns the highest era of the store that a peer has reported; 0 for none.
func (p *Peers) NewestEra() int64 { return p.reportedEra }

// NewestConfig returns the highest version of the configuration that a live peer has
// in force, or 0.
func (p *Peers) NewestConfig(now time.Time) int64 {
	newest := int64(0)
	for _, peer := range p.Live(now) {
		newest = max(newest, peer.configVersion)
	}
	return newest
}

// lacks reports whether a message tells of something in the store that no live peer has reported.
func (p *Peers) lacks(now time.Time, m *Message) bool {
	if m.StoreEra > p.reportedEra || m.ConfigVersion > p.NewestConfig(now) {
		return true
	}
	for _, t := range m.Progress {
		if p.NewestChange(now, t.Topic, 0).Before(t.LastChange) {
			return true
		}
	}
	return false
}

// before returns the number of live peers with a lower address.
func (p *Peers) before(now time.Time) int {
	n := 0
	for _, peer := range p.Live(now) {
		if peer.Addr.Less(p.self) {
			n++
		}
	}
	return n
}
