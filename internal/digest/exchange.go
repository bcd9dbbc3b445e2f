package digest

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/configdiff"
	"github.com/bluebellwell/bluebellwell/internal/evacuation"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/quarantine"
	"github.com/bluebellwell/bluebellwell/internal/slotgrant"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

const (
	// loadInterval is how often a router sends its loads.
	loadInterval = 250 * time.Millisecond
	// smallFleetPeers is the number of other routers up to which each router sends
	// its loads to all. In a larger fleet it sends them to the readers of the
	// store, which add them up and send the totals to all.
	smallFleetPeers = 12
	// minPeriod and periodPerPeer set the interval between the regular digests of
	// a router. The interval grows with the fleet, so that the router's traffic
	// grows less than the fleet.
	minPeriod     = time.Second
	periodPerPeer = 35 * time.Millisecond
	// minBatchDelay and batchDelayPerPeer set how long changes are collected
	// before they are sent together.
	minBatchDelay     = 10 * time.Millisecond
	batchDelayPerPeer = 300 * time.Microsecond
	// sumInterval is the minimum time between two sums of the others' loads.
	sumInterval = 100 * time.Millisecond
	// peersPerDigest is the number of other routers that a regular digest names.
	peersPerDigest = 16
	// placementsPerDatagram bounds the new placements of one datagram,
	// cachedPerDatagram the others, loadsPerDatagram its loads, which share the
	// datagram with outcomes.
	placementsPerDatagram = 34
	cachedPerDatagram     = 60
	loadsPerDatagram      = 150
	// serverChangesPerDatagram bounds the server changes of one datagram.
	serverChangesPerDatagram = 8
	// Average ages of the others' loads, received from each router or as totals.
	directLoadsAge = loadInterval / 2
	totalLoadsAge  = loadInterval
)

// State is the local state that an Exchange sends and updates. Its methods are
// called from the goroutines of an Exchange and must be safe for concurrent use.
type State interface {
	// Loads returns the requests in flight at each server.
	Loads() []Load
	// TakeNewPlacements returns the new placements since the last call.
	TakeNewPlacements() []Placement
	// AllPlacements returns all placements that this router has recorded.
	AllPlacements() []Placement
	// ServersKnown reports whether this router knows the servers. It cannot record
	// placements at servers that it does not know.
	ServersKnown() bool
	// Progress returns what this router has read of the store.
	Progress() StoreProgress
	// SetPeerLoads sets the sum of the other routers' loads and the average age
	// of their reports; loads is nil when none has been received lately.
	SetPeerLoads(loads map[uint32]int, age time.Duration)
	// SetRouterCount sets the number of live routers, this one included.
	SetRouterCount(n int)
	// Outcomes returns the recent outcomes of this router's requests per server.
	Outcomes() []Outcomes
	// SetOutcomes sets the recent outcomes of all routers for the servers that
	// failed requests.
	SetOutcomes(list []Outcomes)
	// TakeTimes returns the times of this router's requests at plain pools since the last call. It is called once in each interval
	// of the loads.
	TakeTimes() []PoolTimes
	// SetTimes sets those of all routers together.
	SetTimes(list []PoolTimes)
	// RecordPlacements records new placements of another router, whose servers read
	// the prompts.
	RecordPlacements(list []Placement)
	// RecordCached records placements that another router has made or received
	// before.
	RecordCached(list []Placement)
	// ServerChanges returns the server changes to send now: new ones, and earlier
	// ones that are sent again.
	ServerChanges() []ServerChange
	// TakeLimits returns what the others have to be told now of servers' limits.
	TakeLimits() []Limit
	// ApplyLimits applies what another router has heard of servers' limits.
	ApplyLimits(list []Limit)
	// TakeCold returns what the others have to be told now of cold servers, and ColdServers what a router
	// that has just started has to know. complete is set when this router knows of all.
	TakeCold() []ColdServer
	ColdServers() (list []ColdServer, complete bool)
	// ApplyCold applies what another router knows of cold servers. With complete set it knows of no others.
	ApplyCold(list []ColdServer, complete bool)
	// TakePartReport returns what is new of parts of prompts that crash engines, and with
	// all what is known of them.
	TakePartReport(all bool) quarantine.Report
	// PartEntries returns the quarantined parts.
	PartEntries() []quarantine.Entry
	// ApplyPartReport applies what another router knows of such parts.
	ApplyPartReport(r quarantine.Report)
	// RecordStreams records which versions began streams, as another router says. A version
	// of 0 means that it knows of one version only.
	RecordStreams(list []streamversion.Record, from streamversion.Source)
	// TakeNewStreams returns the streams that this router has begun to relay since the last call, of which it has not told
	// the others at once.
	TakeNewStreams() []streamversion.Record
	// StreamRecord returns what this router knows of a stream.
	StreamRecord(s streamversion.Stream) (streamversion.Record, bool)
	// ApplyServerChanges applies server changes that another router has read.
	ApplyServerChanges(list []ServerChange)
	// ApplyEvacuations applies what another router knows of evacuated data centres. reader is set for one that reads the store
	// for the others.
	ApplyEvacuations(v evacuation.View, reader bool)
	// TakeDifferences returns the differences of the configuration that are to be sent to the others.
	TakeDifferences() []configdiff.Difference
	// DifferenceSent records whether one of them was sent or was too large for that.
	DifferenceSent(sent bool)
	// ReceiveConfigPart handles a part of a difference that another router has sent.
	ReceiveConfigPart(p configdiff.Part)
	// ConfigMissing reports whether this router is starting and has no configuration.
	ConfigMissing() bool
	// WholeConfig returns the configuration in force as a difference without a base, for a router that is starting.
	WholeConfig() (d configdiff.Difference, found bool)
}

// StoreProgress is what a router has read of the store.
type StoreProgress struct {
	// Topics has the progress in each topic.
	Topics   []Progress
	OwnReads OwnReads
	// ConfigVersion is the version of the configuration in force; 0 for none.
	ConfigVersion int64
	// ListEnd is the offset after the first list of the servers in OwnReads.Era; 0 for none.
	ListEnd int64
	// Servers says which servers this router knows.
	Servers KnownServers
	// Evacuations are the evacuated data centres.
	Evacuations evacuation.View
}

// PacketConn is the socket for digests, as *net.UDPConn implements it. Reads fail with net.ErrClosed once it is closed.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	LocalAddr() net.Addr
	Close() error
}

// Exchange sends and receives digests. Its methods are safe for concurrent use.
type Exchange struct {
	conn   PacketConn
	port   uint16
	sender uint64
	state  State
	events *event.Logger
	wake   chan struct{}
	// region is that of this router; empty when it is not known.
	region string

	mu         sync.Mutex
	peers      *Peers
	peerCursor int
	// resend holds placements to send once more with the next regular digest.
	resend []Placement
	// synced is set once this router has the placements of the fleet.
	synced      bool
	requestedAt time.Time
	// configRequestedAt is when this router last asked for the configuration, configAsker the router that is to get it from
	// this one, and configSentAt when this one last sent it.
	configRequestedAt, configSentAt time.Time
	configAsker                     netip.Addr
	// repliedAt is when this router last sent all placements.
	repliedAt time.Time
	summedAt  time.Time
	regularAt time.Time
	// sentLoads and sentOutcomes are this router's loads and outcomes as last sent.
	sentLoads    map[uint32]int
	sentOutcomes []Outcomes
	// sentTimes are this router's times as last sent.
	sentTimes []PoolTimes
	// reader is set while this router reads the store for the others, and toldReader while it has told them so: once
	// the store has answered it. otherReaders are the other ones that do so, as last seen. loadsSentAt is when its loads
	// last left.
	reader       bool
	toldReader   bool
	otherReaders []netip.Addr
	loadsSentAt  time.Time
	// totalsReceivedAt is when another router's totals last arrived.
	totalsReceivedAt time.Time
	// shares are this router's shares of limited servers, computed anew in each loadInterval and when a
	// router stops or starts, since each choice of a server asks for them.
	shares map[uint64]namedlimit.Share
	// maySendToCold is set while this router may be the only one that sends to a cold server, as last computed.
	maySendToCold bool
	// grantOrder are the routers that may grant the slots of each pool, and liveRouters is the number of live ones, as of
	// then. notGranting is set once this router stops to grant.
	grantOrder  map[uint64]candidates
	liveRouters int
	notGranting bool
	// discovered counts the processes of other routers that were heard.
	discovered int
	// streamsToldAt is when the others were last told of new streams.
	streamsToldAt time.Time
	// versionsAskedAt is when this router has asked the engines after a kill of most routers; zero for never.
	versionsAskedAt time.Time
	// processor is the processor time that this router may use, in thousandths of a core.
	processor atomic.Int64
	// onGrants handles messages about the slots of pools.
	onGrants GrantHandler
	// toRelay has the placements that this router is to pass on, by the Sender that made them, and collected is their
	// number. relayWake is signalled when there are some.
	toRelay   map[uint64][]Placement
	collected int
	relayWake chan struct{}
	// evacuationCursor is the first evacuated data centre of the next digest when not all fit.
	evacuationCursor atomic.Int64
	// sent counts the datagrams.
	sent atomic.Int64
	// sentProgress, sentEra and sentEvacuations are the read progress, the store's era and the position of the known
	// evacuations as last sent.
	sentProgress    []Progress
	sentEra         int64
	sentEvacuations logpos.Position
}

// Listen opens the address for digests. All routers use the same port. The
// seeds are addresses of other routers; they may be outdated or down. On the
// first start of the whole system no server has anything cached, and the router
// counts as synced.
func Listen(addr netip.AddrPort, seeds []netip.Addr, firstStart bool, state State, events *event.Logger) (*Exchange, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen for digests")
	}
	return New(conn, addr.Addr(), seeds, firstStart, state, events), nil
}

// New is Listen with a socket that is open already, at an address of self. The exchange closes it.
func New(conn PacketConn, self netip.Addr, seeds []netip.Addr, firstStart bool, state State, events *event.Logger) *Exchange {
	peers := NewPeers(self, seeds)
	peers.since = time.Now()
	return &Exchange{
		conn:   conn,
		port:   uint16(conn.LocalAddr().(*net.UDPAddr).Port),
		sender: rand.Uint64(),
		state:  state,
		events: events,
		wake:   make(chan struct{}, 1),
		peers:  peers,

		sentEvacuations: logpos.None,

		synced: firstStart, loadsSentAt: time.Now(), shares: make(map[uint64]namedlimit.Share),
		grantOrder: make(map[uint64]candidates), onGrants: func(netip.Addr, *slotgrant.Message) {},
		toRelay: make(map[uint64][]Placement), relayWake: make(chan struct{}, 1),
	}
}

// SendSoon makes the exchange send new placements and progress after a short
// delay instead of with the next regular digest.
func (e *Exchange) SendSoon() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// LiveRouters returns the addresses of the other routers that are live, in no order.
func (e *Exchange) LiveRouters() []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []netip.Addr
	for _, peer := range e.peers.Live(time.Now()) {
		list = append(list, peer.Addr)
	}
	return list
}

// SetRegion sets the region of this router, which digests tell the others. Call it before Send.
func (e *Exchange) SetRegion(region string) { e.region = region }

// RegionOf returns the region of another router, empty when that has not said it.
func (e *Exchange) RegionOf(router netip.Addr) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if peer := e.peers.tracked[router]; peer != nil {
		return peer.region
	}
	return ""
}

// LivePeerCount returns the number of other routers that are live.
func (e *Exchange) LivePeerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers.Live(time.Now()))
}

// Discovered returns how many processes of other routers were heard. It grows when a router restarts.
func (e *Exchange) Discovered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.discovered
}

// IsReader reports whether this router reads the store at the full rate.
func (e *Exchange) IsReader() bool {
	own := e.state.Progress().OwnReads
	_, reader := e.readers(time.Now(), own)
	return reader
}

// Reading reports whether this router read the store for the others when it last looked.
func (e *Exchange) Reading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reader
}

// UpdateRole looks at once whether this router is to read the store for the others, after a change of its own reads.
func (e *Exchange) UpdateRole() { e.IsReader() }

// readers returns the readers of the store and whether this router is one of them. A
// change of the latter is logged. The others are told at once: they need not do the same
// when the store answers this router, and have to when it stops to read.
func (e *Exchange) readers(now time.Time, own OwnReads) (list []netip.Addr, reader bool) {
	e.mu.Lock()
	list = e.peers.Readers(now, own)
	reader = e.peers.reader
	before := e.otherReaders
	e.otherReaders = excludeAddr(list, e.peers.self)
	told := reader && own.Recent
	changed, tell := reader != e.reader, told != e.toldReader
	e.reader, e.toldReader = reader, told
	if !changed {
		targets := e.peers.Targets(now)
		e.mu.Unlock()
		if tell {
			e.sendTo(targets, e.newMessage())
		}
		return list, reader
	}
	view := e.peers.readerView(now, own)
	silent := e.peers.silence(now, before)
	sinceLoads := now.Sub(e.loadsSentAt)
	targets := e.peers.Targets(now)
	e.mu.Unlock()
	e.events.Emit(event.ReaderChanged, "reader", reader, "era", own.Era, "reads_succeed", own.Succeed, "readers_heard", len(view.readers),
		"routers_heard", view.heard, "readers_of_earlier_era", view.entering, "routers_before", len(view.before),
		"readers_silent_ms", silent.Milliseconds(), "own_digest_ms", sinceLoads.Milliseconds())
	e.sendTo(targets, e.newMessage())
	return list, reader
}

// IsFirstReader reports whether this router has the lowest address of those that read the store for the others. The store
// has answered it lately.
func (e *Exchange) IsFirstReader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := e.peers.heardReaders
	return e.toldReader && (len(others) == 0 || e.peers.self.Less(others[0]))
}

// RoutersBefore returns the number of live routers with a lower address than this one.
func (e *Exchange) RoutersBefore() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.before(time.Now())
}

// NewestConfig returns the highest version of the configuration that a live peer has
// in force, or 0.
func (e *Exchange) NewestConfig() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.NewestConfig(time.Now())
}

// EraReported returns when a peer has first reported an era of the store, or the zero time
// when none has or one has reported a later era.
func (e *Exchange) EraReported(era int64) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.EraReported(era)
}

// ReadersListEnd returns the position up to which the first lists of the readers reach in
// an era, or logpos.None.
func (e *Exchange) ReadersListEnd(era int64) logpos.Position {
	if era == 0 {
		// A store that names no eras has not come back from an older copy.
		return logpos.None
	}
	own := e.state.Progress().OwnReads
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.ReadersListEnd(time.Now(), own, era)
}

// NewestEra returns the highest era of the store that a peer has reported; 0 for none.
func (e *Exchange) NewestEra() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.NewestEra()
}

// NewestChange returns the latest position of a topic at which a live peer has read a
// change, or logpos.None. Peers that have a configuration in force which is not newer
// than the version do not count; a version of 0 excludes none.
func (e *Exchange) NewestChange(topic int, version int64) logpos.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.NewestChange(time.Now(), topic, version)
}

// Receive processes digests until Close.
func (e *Exchange) Receive() error {
	buffer := make([]byte, 2*maxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A datagram to an unreachable peer can make a later read fail.
			continue
		}
		if m, ok := decodeGrantsDatagram(buffer[:n]); ok {
			e.onGrants(from.Addr().Unmap(), m)
			continue
		}
		m, err := Decode(buffer[:n])
		if err != nil {
			e.events.Emit(event.DigestUnusable, "from", from.String(), "bytes", n)
			continue
		}
		e.handle(from.Addr().Unmap(), m)
	}
}

func (e *Exchange) handle(from netip.Addr, m *Message) {
	now := time.Now()
	e.mu.Lock()
	isNew := e.peers.RecordMessage(now, from, m)
	if isNew {
		e.discovered++
	}
	if isNew || m.Stopping || m.NotGranting {
		e.clearShares()
		clear(e.grantOrder)
	}
	e.synced = e.synced || m.PlacementsReply
	smallFleet := e.smallFleet()
	known := len(e.peers.tracked) + 1
	requestNow := m.Synced && !e.synced
	sum := m.LoadsComplete && smallFleet && now.Sub(e.summedAt) >= sumInterval
	e.mu.Unlock()
	if m.Evacuations.Known {
		e.state.ApplyEvacuations(m.Evacuations, m.Reading && m.Role == RoleReader)
	}
	if m.RequestConfig {
		e.recordConfigRequest(from)
	}
	if m.ConfigVersion > 0 {
		e.requestConfig(now)
	}
	if m.ConfigPart != nil {
		e.state.ReceiveConfigPart(*m.ConfigPart)
	}
	if isNew {
		// The next loads are sent with the number of routers that are live.
		e.state.SetRouterCount(known)
		e.events.Emit(event.PeerDiscovered, "peer", from.String(), "stopping", m.Stopping)
		e.sendWelcome(now, from)
		e.probeRestarted(now)
	}
	if requestNow {
		e.requestPlacements(now)
	}
	if sum {
		e.sumLoads(now)
	}
	if len(m.TotalLoads) > 0 && !smallFleet {
		e.applyTotalLoads(now, m.TotalLoads)
	}
	if len(m.TotalFailures) > 0 && !smallFleet {
		e.state.SetOutcomes(m.TotalFailures)
	}
	if len(m.TotalTimes) > 0 && !smallFleet {
		e.state.SetTimes(m.TotalTimes)
	}
	e.recordPlacements(m)
	e.handleRelayed(m)
	if len(m.Servers) > 0 {
		e.state.ApplyServerChanges(m.Servers)
	}
	if len(m.Limits) > 0 {
		e.state.ApplyLimits(m.Limits)
	}
	if len(m.Cold) > 0 || m.AllCold {
		e.state.ApplyCold(m.Cold, m.AllCold)
	}
	if !m.Parts.Empty() {
		e.state.ApplyPartReport(m.Parts)
	}
	e.handleStreams(from, m)
	if m.RequestPlacements {
		e.replyWithPlacements(now, from)
	}
}

func (e *Exchange) recordPlacements(m *Message) {
	switch {
	case len(m.Cached) > 0:
		e.state.RecordCached(m.Cached)
	case len(m.Placements) > 0:
		e.state.RecordPlacements(m.Placements)
	}
}

// smallFleet reports whether routers send their loads to all. The caller holds e.mu.
func (e *Exchange) smallFleet() bool { return len(e.peers.tracked) <= smallFleetPeers }

// sumLoads passes the summed loads of the others and the summed outcomes of all
// routers to the state. Without live peers the loads are nil, which means unknown:
// the others may be busy.
func (e *Exchange) sumLoads(now time.Time) {
	e.mu.Lock()
	e.summedAt = now
	var loads map[uint32]int
	if len(e.peers.Live(now)) > 0 {
		loads = e.peers.Loads(now)
	}
	failures := e.peers.Outcomes(now, e.sentOutcomes)
	times := e.peers.Times(now, e.sentTimes)
	e.mu.Unlock()
	e.state.SetPeerLoads(loads, directLoadsAge)
	e.state.SetOutcomes(failures)
	e.state.SetTimes(times)
}

// applyTotalLoads subtracts this router's loads from the totals and passes the
// result to the state.
func (e *Exchange) applyTotalLoads(now time.Time, totals []Load) {
	e.mu.Lock()
	e.totalsReceivedAt = now
	loads := make(map[uint32]int, len(totals))
	for _, l := range totals {
		loads[l.Server] = max(l.InFlight-e.sentLoads[l.Server], 0)
	}
	e.mu.Unlock()
	e.state.SetPeerLoads(loads, totalLoadsAge)
}

// Send sends this router's digests until ctx ends.
func (e *Exchange) Send(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	e.sendDigest(true)
	spread := rand.Float64()
	relayTimer := time.NewTimer(0)
	defer relayTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			e.sendRelayed(e.targets())
			e.sendTo(e.targets(), &Message{Sender: e.sender, Stopping: true})
			return nil
		case <-e.wake:
			time.Sleep(e.batchDelay())
			e.sendDigest(false)
		case <-e.relayWake:
			relayTimer.Reset(e.batchDelayToAll())
		case <-relayTimer.C:
			e.sendRelayed(e.targets())
		case now := <-ticker.C:
			targets := e.targets()
			if now.Sub(e.regularAt) >= spreadPeriod(periodFor(len(targets)), spread) {
				spread = rand.Float64()
				e.sendDigest(true)
			}
			e.sendLoads(now, targets)
			e.probeRestarted(now)
			e.requestPlacements(now)
			e.requestConfig(now)
			e.sendServerChanges(targets)
			e.sendPartReport(targets, false)
			e.sendLimits(targets)
			e.sendCold(targets)
			e.tellNewStreams(now)
		}
	}
}

// periodFor returns the interval between regular digests for n other routers.
func periodFor(n int) time.Duration {
	return max(minPeriod, periodPerPeer*time.Duration(n))
}

// periodSpread is by how much a long interval between regular digests varies. Routers that
// started together would send all theirs at the same moment again and again: 340
// have 115,000 of them, and a socket holds fewer than 339.
const periodSpread = 0.5

// spreadPeriod varies a period with a random number from 0 to 1. The shortest one is kept,
// since routers of a small fleet are expected to be heard in it.
func spreadPeriod(period time.Duration, random float64) time.Duration {
	if period <= minPeriod {
		return period
	}
	return max(minPeriod, time.Duration(float64(period)*(1+periodSpread*(random-0.5))))
}

// Close ends Receive.
func (e *Exchange) Close() error {
	return eris.Wrap(e.conn.Close(), "cannot close the digest socket")
}
