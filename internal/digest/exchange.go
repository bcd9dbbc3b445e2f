package digest

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

const (
	// loadInterval is how often a router tells its loads.
	loadInterval = 250 * time.Millisecond
	// smallFleetPeers is the number of other routers up to which each tells its loads
	// to all. In a larger one it tells the readers of the store, which sum them
	// up and tell the sums to all.
	smallFleetPeers = 12
	// minPeriod and periodPerPeer set the pace of a router's digests to all, so
	// that what it sends grows less than the fleet.
	minPeriod     = time.Second
	periodPerPeer = 35 * time.Millisecond
	// minBatchDelay and promptPerPeer gather the news that are told at once.
	minBatchDelay     = 10 * time.Millisecond
	batchDelayPerPeer = 2 * time.Millisecond
	// requestInterval is the time between two questions for all holdings.
	requestInterval = 500 * time.Millisecond
	// sumInterval bounds how often the loads of the others are summed.
	sumInterval = 100 * time.Millisecond
	// peersPerDigest is the number of other routers that a digest names.
	peersPerDigest = 16
	// placementsPerDatagram bounds the holdings of one datagram, loadsPerDatagram its
	// loads, which share it with outcomes.
	placementsPerDatagram = 56
	loadsPerDatagram      = 150
	// serverChangesPerDatagram bounds the changes of servers of one datagram.
	serverChangesPerDatagram = 8
	// Average ages of the others' loads: told by themselves, or as sums.
	directLoadsAge = loadInterval / 2
	summedLoadsAge = loadInterval
)

// State is what a router tells and learns. Its methods are called from the
// goroutines of an Exchange and must be safe for concurrent use.
type State interface {
	// Loads returns the requests in flight at each server.
	Loads() []Load
	// NewPlacements returns the placements since the last call.
	NewPlacements() []Placement
	// AllPlacements returns all known placements.
	AllPlacements() []Placement
	// Progress returns how far the topics have been read, and whether the
	// store answers.
	Progress() (list []Progress, reading bool)
	// SetPeerLoads takes the sum of the other routers' loads and the average age
	// of their reports; nil when none is heard.
	SetPeerLoads(loads map[uint32]int, age time.Duration)
	// Outcomes returns what became of the requests to each server lately.
	Outcomes() []Outcomes
	// SetOutcomes takes what all routers have seen lately of servers that failed.
	SetOutcomes(list []Outcomes)
	// AddPlacements takes placements of another router.
	AddPlacements(list []Placement)
	// ServerChanges returns the changes of servers that are to be told now: new ones,
	// and earlier ones once more.
	ServerChanges() []ServerChange
	// ApplyServerChanges takes changes of servers that another router has read.
	ApplyServerChanges(list []ServerChange)
}

// Exchange sends and receives digests. Its methods are safe for concurrent use.
type Exchange struct {
	conn   *net.UDPConn
	port   uint16
	sender uint64
	state  State
	events *event.Logger
	wake   chan struct{}

	mu         sync.Mutex
	peers      *Peers
	peerCursor int
	// resend holds placements that are told again.
	resend []Placement
	// synced is set once this router knows which servers hold the subjects.
	synced      bool
	requestedAt time.Time
	summedAt    time.Time
	regularAt   time.Time
	// sentLoads are the own loads that the others know, outcomes the own outcomes.
	sentLoads    map[uint32]int
	sentOutcomes []Outcomes
	// totalsReceivedAt is when another router last told sums.
	totalsReceivedAt time.Time
	// sentProgress is what the others know of this router's reads.
	sentProgress []Progress
}

// Listen opens the address for digests. All routers use the same port; the
// seeds are routers that may be stale or down. On the first start of the whole
// system no server holds anything, and the router counts as informed.
func Listen(addr netip.AddrPort, seeds []netip.Addr, firstStart bool, state State, events *event.Logger) (*Exchange, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen for digests")
	}
	return &Exchange{
		conn:   conn,
		port:   uint16(conn.LocalAddr().(*net.UDPAddr).Port),
		sender: rand.Uint64(),
		state:  state,
		events: events,
		wake:   make(chan struct{}, 1),
		peers:  NewPeers(addr.Addr(), seeds),

		synced: firstStart,
	}, nil
}

// SendSoon makes the exchange tell new placements and progress soon.
func (e *Exchange) SendSoon() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// LivePeerCount returns the number of other routers that are heard.
func (e *Exchange) LivePeerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers.Live(time.Now()))
}

// Reader reports whether this router reads the store at the full pace.
func (e *Exchange) Reader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.Reader(time.Now())
}

// NewestChange returns the newest offset at which another router has found news.
func (e *Exchange) NewestChange(topic int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.NewestChange(time.Now(), topic)
}

// Receive takes digests until Close.
func (e *Exchange) Receive() error {
	buffer := make([]byte, 2*maxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An unreachable peer shows as an error of a later read.
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
	e.synced = e.synced || m.PlacementsReply
	smallFleet := e.smallFleet()
	sum := m.LoadsComplete && smallFleet && now.Sub(e.summedAt) >= sumInterval
	e.mu.Unlock()
	if isNew {
		e.events.Emit(event.PeerHeard, "peer", from.String(), "stopping", m.Stopping)
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
	if len(m.Placements) > 0 {
		e.state.AddPlacements(m.Placements)
	}
	if len(m.Servers) > 0 {
		e.state.ApplyServerChanges(m.Servers)
	}
	if m.RequestPlacements {
		e.sendPlacements([]netip.Addr{from}, e.state.AllPlacements(), true)
	}
}

// smallFleet reports whether routers tell their loads to all. The caller holds e.mu.
func (e *Exchange) smallFleet() bool { return len(e.peers.tracked) <= smallFleetPeers }

// sumLoads tells the state what the others have told of their loads. A router
// that hears nobody does not know that the others do nothing.
func (e *Exchange) sumLoads(now time.Time) {
	e.mu.Lock()
	e.summedAt = now
	var loads map[uint32]int
	if len(e.peers.Live(now)) > 0 {
		loads = e.peers.Loads(now)
	}
	failures := e.peers.Outcomes(now, e.sentOutcomes)
	e.mu.Unlock()
	e.state.SetPeerLoads(loads, directLoadsAge)
	e.state.SetOutcomes(failures)
}

// applyTotalLoads takes the loads of all routers and leaves this router's own out.
func (e *Exchange) applyTotalLoads(now time.Time, sums []Load) {
	e.mu.Lock()
	e.totalsReceivedAt = now
	loads := make(map[uint32]int, len(sums))
	for _, l := range sums {
		loads[l.Server] = max(l.InFlight-e.sentLoads[l.Server], 0)
	}
	e.mu.Unlock()
	e.state.SetPeerLoads(loads, summedLoadsAge)
}

// Send tells the others what this router does until ctx ends.
func (e *Exchange) Send(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	e.sendDigest(true)
	for {
		select {
		case <-ctx.Done():
			e.sendTo(e.targets(), &Message{Sender: e.sender, Stopping: true})
			return nil
		case <-e.wake:
			time.Sleep(e.batchDelay())
			e.sendDigest(false)
		case now := <-ticker.C:
			if now.Sub(e.regularAt) >= periodFor(len(e.targets())) {
				e.sendDigest(true)
			}
			e.sendLoads(now)
			e.sendServerChanges(e.targets())
		}
	}
}

// requestPlacements asks one router that knows the holdings for all of them, until they
// have come. One answer may be many datagrams.
func (e *Exchange) requestPlacements(now time.Time) {
	e.mu.Lock()
	peer, found := e.peers.SyncedPeer(now)
	ask := found && !e.synced && now.Sub(e.requestedAt) >= requestInterval
	if ask {
		e.requestedAt = now
	}
	e.mu.Unlock()
	if ask {
		e.sendTo([]netip.Addr{peer}, &Message{Sender: e.sender, RequestPlacements: true})
	}
}

// periodFor is the usual period of a router that knows n others.
func periodFor(n int) time.Duration {
	return max(minPeriod, periodPerPeer*time.Duration(n))
}

// ShouldQueryServers reports whether this router should ask the servers what they hold:
// no other router can tell, and it is the first of those that wonder.
func (e *Exchange) ShouldQueryServers() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.peers.SyncedPeer(now)
	return !e.synced && !found && e.peers.HasLowestAddr(now)
}

// Synced reports whether this router knows which servers hold the subjects.
func (e *Exchange) Synced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.synced
}

// MarkSynced notes that this router has asked the servers. The others ask it, and
// each other. A router that got no answer calls it as well, since asking again
// would not help.
func (e *Exchange) MarkSynced() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.synced = true
}

// Close ends Receive.
func (e *Exchange) Close() error {
	return eris.Wrap(e.conn.Close(), "cannot close the digests' address")
}
