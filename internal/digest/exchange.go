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
	// periodLeast and periodPerPeer set the pace of a router's digests, so that
	// what it sends grows less than the fleet.
	periodLeast   = 250 * time.Millisecond
	periodPerPeer = 35 * time.Millisecond
	// readerPeriod is the longest period of a router that reads the store for
	// others, which must notice soon when it fails.
	readerPeriod = 400 * time.Millisecond
	// promptDelay and promptPerPeer gather the news that are told at once.
	promptDelay   = 10 * time.Millisecond
	promptPerPeer = 2 * time.Millisecond
	// askPause is the time between two questions for all holdings.
	askPause = 500 * time.Millisecond
	// sumPause bounds how often the loads of the others are summed.
	sumPause = 100 * time.Millisecond
	// namedPeers is the number of other routers that a digest names.
	namedPeers = 16
	// pairsPerDatagram bounds the loads or holdings of one datagram.
	pairsPerDatagram = 56
	// serversPerDatagram bounds the changes of servers of one datagram.
	serversPerDatagram = 8
)

// State is what a router tells and learns. Its methods are called from the
// goroutines of an Exchange and must be safe for concurrent use.
type State interface {
	// Loads returns the requests in flight at each server.
	Loads() []Load
	// Placed returns the placements since the last call.
	Placed() []Holding
	// Held returns all known placements.
	Held() []Holding
	// Progress returns how far the topics have been read, and whether the
	// store answers.
	Progress() (list []Progress, reading bool)
	// SetPeerLoads takes the sum of the other routers' loads and the average age
	// of their reports; nil when none is heard.
	SetPeerLoads(loads map[uint64]int, age time.Duration)
	// Learn takes placements of another router.
	Learn(list []Holding)
	// ServerNews returns the changes of servers that were read in the store lately.
	ServerNews() []ServerNews
	// LearnServers takes changes of servers that another router has read.
	LearnServers(list []ServerNews)
}

// Exchange sends and receives digests. Its methods are safe for concurrent use.
type Exchange struct {
	conn   *net.UDPConn
	port   uint16
	sender uint64
	state  State
	events *event.Logger
	prompt chan struct{}

	mu    sync.Mutex
	peers *Peers
	named int
	// recent holds placements that are told again.
	recent []Holding
	// informed is set once this router knows which servers hold the subjects.
	informed bool
	askedAt  time.Time
	summedAt time.Time
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
		prompt: make(chan struct{}, 1),
		peers:  NewPeers(addr.Addr(), seeds),

		informed: firstStart,
	}, nil
}

// Prompt makes the exchange tell new placements and progress soon.
func (e *Exchange) Prompt() {
	select {
	case e.prompt <- struct{}{}:
	default:
	}
}

// Reader reports whether this router reads the store at the full pace.
func (e *Exchange) Reader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.Reader(time.Now())
}

// News returns the newest offset at which another router has found news.
func (e *Exchange) News(topic int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.News(time.Now(), topic)
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
		e.take(from.Addr().Unmap(), m)
	}
}

func (e *Exchange) take(from netip.Addr, m *Message) {
	now := time.Now()
	e.mu.Lock()
	isNew := e.peers.Hear(now, from, m)
	e.informed = e.informed || m.All
	sum := m.Whole && now.Sub(e.summedAt) >= sumPause
	e.mu.Unlock()
	if isNew {
		e.events.Emit(event.PeerHeard, "peer", from.String(), "stopping", m.Stopping)
	}
	if sum {
		e.sumLoads(now)
	}
	if len(m.Holdings) > 0 {
		e.state.Learn(m.Holdings)
	}
	if len(m.Servers) > 0 {
		e.state.LearnServers(m.Servers)
	}
	if m.WantAll {
		e.sendHoldings([]netip.Addr{from}, e.state.Held(), true)
	}
}

// sumLoads tells the state what the others have in flight.
func (e *Exchange) sumLoads(now time.Time) {
	e.mu.Lock()
	e.summedAt = now
	loads, age := e.loads(now)
	e.mu.Unlock()
	e.state.SetPeerLoads(loads, age)
}

// loads returns nil while no other router is heard, since a router that hears
// nobody does not know that the others do nothing.
func (e *Exchange) loads(now time.Time) (loads map[uint64]int, age time.Duration) {
	n := len(e.peers.Live(now))
	if n == 0 {
		return nil, 0
	}
	return e.peers.Loads(now), periodFor(n) / 2
}

// Send tells the others what this router does until ctx ends.
func (e *Exchange) Send(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			e.sendTo(e.targets(), &Message{Sender: e.sender, Stopping: true})
			return nil
		case <-e.prompt:
			time.Sleep(e.promptPause())
			e.tell(false)
		case <-timer.C:
			timer.Reset(e.tell(true))
		}
	}
}

func (e *Exchange) promptPause() time.Duration {
	return max(promptDelay, promptPerPeer*time.Duration(len(e.targets())))
}

func (e *Exchange) targets() []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.Targets(time.Now())
}

// tell sends a digest to all known routers and returns the time until the next.
// A regular digest holds the loads; a prompt one only what is new.
func (e *Exchange) tell(regular bool) time.Duration {
	now := time.Now()
	e.mu.Lock()
	targets := e.peers.Targets(now)
	m := &Message{Sender: e.sender, Informed: e.informed}
	if regular {
		e.peers.Expire(now)
		m.Peers = e.names(targets)
	}
	e.mu.Unlock()
	m.Progress, m.Reading = e.state.Progress()
	if regular {
		e.sumLoads(now)
		e.askAll(now)
		m.Loads = e.state.Loads()
		m.Whole = len(m.Loads) <= pairsPerDatagram
	}
	if !m.Whole {
		m.Loads = nil
	}
	e.tellServers(targets)
	e.sendTo(targets, m)
	e.tellPlaced(targets, regular)
	return e.period(len(targets))
}

// askAll asks one router that knows the holdings for all of them, until they
// have come. One answer may be many datagrams.
func (e *Exchange) askAll(now time.Time) {
	e.mu.Lock()
	peer, found := e.peers.InformedPeer(now)
	ask := found && !e.informed && now.Sub(e.askedAt) >= askPause
	if ask {
		e.askedAt = now
	}
	e.mu.Unlock()
	if ask {
		e.sendTo([]netip.Addr{peer}, &Message{Sender: e.sender, WantAll: true})
	}
}

// period returns the time between two regular digests to n routers.
func (e *Exchange) period(n int) time.Duration {
	p := periodFor(n)
	if e.Reader() {
		p = min(p, readerPeriod)
	}
	return p
}

// periodFor is the usual period of a router that knows n others.
func periodFor(n int) time.Duration {
	return max(periodLeast, periodPerPeer*time.Duration(n))
}

// MustList reports whether this router should ask the servers what they hold:
// no other router can tell, and it is the first of those that wonder.
func (e *Exchange) MustList() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.peers.InformedPeer(now)
	return !e.informed && !found && e.peers.First(now)
}

// Informed reports whether this router knows which servers hold the subjects.
func (e *Exchange) Informed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.informed
}

// Listed notes that this router has asked the servers. The others ask it, and
// each other. A router that got no answer calls it as well, since asking again
// would not help.
func (e *Exchange) Listed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.informed = true
}

// names returns some of the known routers, others each time.
func (e *Exchange) names(targets []netip.Addr) []netip.Addr {
	n := min(namedPeers, len(targets))
	names := make([]netip.Addr, 0, n)
	for range n {
		names = append(names, targets[e.named%len(targets)])
		e.named++
	}
	return names
}

// tellServers sends the changes of servers before the digest that names their
// offsets, so that the others need not read them in the store.
func (e *Exchange) tellServers(targets []netip.Addr) {
	list := e.state.ServerNews()
	for len(list) > 0 {
		n := min(serversPerDatagram, len(list))
		e.sendTo(targets, &Message{Sender: e.sender, Servers: list[:n]})
		list = list[n:]
	}
}

// tellPlaced sends new placements, and those of the last time once more.
func (e *Exchange) tellPlaced(targets []netip.Addr, regular bool) {
	placed := e.state.Placed()
	list := placed
	if regular {
		list = append(placed, e.recent...)
		e.recent = nil
	}
	e.sendHoldings(targets, list, false)
	e.recent = append(e.recent, placed...)
}

func (e *Exchange) sendHoldings(targets []netip.Addr, list []Holding, all bool) {
	for len(list) > 0 {
		n := min(pairsPerDatagram, len(list))
		e.sendTo(targets, &Message{Sender: e.sender, All: all, Holdings: list[:n]})
		list = list[n:]
	}
}

func (e *Exchange) sendTo(targets []netip.Addr, m *Message) {
	b := Encode(m)
	for _, t := range targets {
		// A lost digest is made up for by the next.
		_, _ = e.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(t, e.port))
	}
}

// Close ends Receive.
func (e *Exchange) Close() error {
	return eris.Wrap(e.conn.Close(), "cannot close the digests' address")
}
