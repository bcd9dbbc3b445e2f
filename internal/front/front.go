// Package front is the router daemon that runs on the platform's VMs. It reads
// the configuration and the list of servers from the platform's store, accepts
// callers and forwards each request without help from another router. One
// goroutine applies the changes from the store; requests read immutable
// snapshots of the result.
package front

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/configdiff"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/telemetry"
	"github.com/bluebellwell/bluebellwell/internal/tunnel"
)

const (
	// memoryShare is the share of the VM's memory that the Go runtime may use. The
	// rest is for kernel buffers, which count towards the VM's memory as well.
	memoryShare = 0.6
	// bodyShare is the share of the VM's memory for request bodies.
	bodyShare = 0.15
	// gcPercent is the heap growth that starts a garbage collection. It is low
	// because memory costs more than processor time on the users' VMs.
	gcPercent = 15
	// metricsInterval is how often the metrics page is updated.
	metricsInterval = 2 * time.Second
	megabyte        = 1 << 20
	// startWait is how long after its start a router lets requests wait for its first configuration. A large one takes most
	// of that over a link of 10 Mbit/s; while the store is away callers should not wait at all.
	startWait = time.Second
	// thousandths is the number of units of processor time in a core, as told to other routers.
	thousandths = 1000
)

// Platform is the daemon's interface to the platform, in typed values.
type Platform struct {
	Codec   forward.Codec
	Config  feed.Source
	Servers feed.Source
	// Memory is the store's place for what must outlive all routers.
	Memory Memory
	// ConfigKey is the key of the configuration in Config.
	ConfigKey    string
	DecodeConfig func(value []byte) (routing.Config, error)
	DecodeServer func(id string, value []byte) (*registry.Server, error)
	// EvacuatedDataCentre returns the data centre that a key in Config evacuates; nil for a platform that evacuates none.
	EvacuatedDataCentre func(key string) (dataCentre string, ok bool)
	// Inventory returns the prompt parts that the engine at addr has cached.
	Inventory func(ctx context.Context, addr string) ([]forward.CachedPart, error)
	// ReadyPath is the path of the platform's readiness check.
	ReadyPath string
	// Network opens the router's own addresses; nil for those of the machine.
	Network Network
	// Dial opens connections to servers; nil for the usual dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Network opens the addresses at which a router is reached. Tests have one in memory.
type Network interface {
	Listen(addr netip.AddrPort) (net.Listener, error)
	ListenPacket(addr netip.AddrPort) (digest.PacketConn, error)
}

// machineNetwork opens addresses of the machine.
type machineNetwork struct{}

// Listen opens a TCP address.
func (machineNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// ListenPacket opens a UDP address.
func (machineNetwork) ListenPacket(addr netip.AddrPort) (digest.PacketConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// Front is a running router. Its methods are safe for concurrent use.
type Front struct {
	settings *settings.Front
	// bounds are the bounds in force; Apply replaces them.
	bounds   atomic.Pointer[settings.FrontBounds]
	platform Platform
	events   *event.Logger
	metrics  *telemetry.Metrics
	state    *forward.State
	handler  *forward.Handler
	tracker  *tracker
	exchange *digest.Exchange
	// versionsPending is set while this router, which has survived a kill of most, expects to learn which versions have prompts cached.
	versionsPending atomic.Bool
	// carrier opens connections for other routers, tunnel opens them through others.
	carrier *tunnel.Server
	tunnel  *tunnel.Client
	edge    *edge.Server
	ready   *http.Server
	admin   *http.Server
	tomb    tomb.Tomb
}

// New returns a router. It opens the addresses for callers and for other
// routers, but serves nothing before Start.
func New(s *settings.Front, p Platform, logger hclog.Logger) (*Front, error) {
	events := event.NewLogger(logger)
	metrics := telemetry.NewMetrics(map[string]string{"vm": s.VM}, metricsInterval)
	state := forward.NewState(forwardLimits(s))
	if !s.FirstStart {
		state.WaitUntilReady(time.Now().Add(startWait))
	}
	f := &Front{
		settings: s,
		platform: p,
		events:   events,
		metrics:  metrics,
		state:    state,
		handler:  forward.New(state, p.Codec, events, forward.NewMetrics(metrics.Scope())),
	}
	f.bounds.Store(&s.Bounds)
	if s.FirstStart {
		state.SetFirstStart()
	} else {
		state.SetRestarted()
	}
	if p.Dial != nil {
		state.SetDial(p.Dial)
	}
	if f.platform.Network == nil {
		f.platform.Network = machineNetwork{}
	}
	callers, err := f.listen(s.ListenCallers, "callers")
	if err != nil {
		return nil, errors.Join(err, metrics.Close())
	}
	f.edge = edge.New(callers, f.handler, logger)
	f.tracker = newTracker(p, state, f.edge, events, metrics.Scope())
	f.tracker.firstStart = s.FirstStart
	if !s.FirstStart {
		f.tracker.servers.SetRestarted()
	}
	f.tracker.evacuations.setBound(s.Bounds.Evacuate)
	peers, err := f.platform.Network.ListenPacket(s.ListenPeers)
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "cannot listen for digests"), f.edge.Close(), metrics.Close())
	}
	f.exchange = digest.New(peers, s.ListenPeers.Addr(), seedAddrs(s), s.FirstStart, &digestState{State: state, tracker: f.tracker, progress: &f.tracker.progress}, events)
	f.tracker.exchange = f.exchange
	carried, err := f.listen(s.ListenPeers, "other routers' connections")
	if err != nil {
		return nil, errors.Join(err, f.edge.Close(), f.exchange.Close(), metrics.Close())
	}
	f.carrier = tunnel.New(carried, state.KnowsServer, state.DialDirect, events)
	f.tunnel = tunnel.NewClient(s.ListenPeers.Port(), f.exchange.LiveRouters, events)
	f.tunnel.SetRegionOf(f.exchange.RegionOf)
	f.exchange.SetRegion(s.Region)
	state.SetTunnel(f.tunnel)
	state.OnNews(f.exchange.SendSoon)
	state.SetPlacementsKnown(f.placementsKnown)
	state.SetVersionsPending(f.versionsPending.Load)
	state.SetLimitShare(f.exchange.LimitShare)
	f.exchange.SetProcessor(int64(thousandths * s.CPUShare * float64(s.Cores)))
	if s.Bounds.GrantSlots {
		state.SetGrantLink(f.exchange)
		f.exchange.OnGrants(state.ReceiveGrants)
	} else {
		f.exchange.DisableGranting()
	}
	state.SetMaySend(f.tracker.evacuations.MaySend)
	state.SetTrialTurn(f.exchange.RoutersBefore)
	state.SetFleetStreams(f.exchange)
	f.ready = newServer(f.readyRouter())
	f.admin = newServer(f.adminRouter())
	return f, nil
}

// digestState implements digest.State: it provides what the router sends to the
// others, and applies what they send.
type digestState struct {
	*forward.State
	*tracker
	*progress
}

// Progress returns what this router has read of the store.
func (s *digestState) Progress() digest.StoreProgress {
	now := time.Now()
	progress := s.progress.report(now, s.tracker.eras.Current())
	progress.Evacuations = s.tracker.evacuations.view(now)
	return progress
}

// TakeDifferences returns the differences of the configuration that are to be sent.
func (s *digestState) TakeDifferences() []configdiff.Difference {
	return s.tracker.differences.takeOutgoing()
}

// DifferenceSent counts a difference that was sent or was too large for that.
func (s *digestState) DifferenceSent(sent bool) {
	result := differenceTooLarge
	if sent {
		result = differenceSent
	}
	s.tracker.differences.count(result)
}

// ReceiveConfigPart handles a part of a difference from another router.
func (s *digestState) ReceiveConfigPart(p configdiff.Part) { s.tracker.differences.receive(p) }

// ConfigMissing reports whether this router is starting and has no configuration. At the first start of the whole system no
// router has one.
func (s *digestState) ConfigMissing() bool {
	return s.State.Table() == nil && !s.tracker.firstStart && !s.tracker.stopping.Load()
}

// WholeConfig returns the configuration in force for a router that is starting.
func (s *digestState) WholeConfig() (d configdiff.Difference, found bool) {
	return s.tracker.differences.whole(s.tracker.eras.Current())
}

// ColdServers returns the cold servers, and whether this router knows of all.
func (s *digestState) ColdServers() (list []digest.ColdServer, complete bool) {
	list, settled := s.State.ColdServers()
	return list, settled && s.tracker.ServersKnown()
}

// SetOutcomes ejects the servers that fail many of all routers' requests.
func (s *digestState) SetOutcomes(list []digest.Outcomes) {
	for _, e := range s.State.EjectFailing(list) {
		kind := event.ServerEjected
		if e.Avoided {
			kind = event.ServerAvoided
		}
		s.tracker.events.Emit(kind, "server", e.Server.ID, "pool", e.Server.Pool, "cause", "failures_of_all_routers",
			"failed", e.Outcomes.Failed, "ended", e.Outcomes.Ended)
	}
}

// seedAddrs returns the hosts of the seeds. The port is not needed, because all
// routers receive digests at the same one.
func seedAddrs(s *settings.Front) []netip.Addr {
	var addrs []netip.Addr
	for _, seed := range s.Seeds {
		addrs = append(addrs, seed.Addr())
	}
	return addrs
}

// BodyMemory returns how many bytes of request bodies a router with these settings holds at the same time.
func BodyMemory(s *settings.Front) int64 { return int64(bodyShare * float64(s.MemoryMB) * megabyte) }

func forwardLimits(s *settings.Front) forward.Limits {
	const capExtra = 3
	return forward.Limits{
		Balance: balance.Limits{CapFactor: s.Bounds.LoadMultiple, CapExtra: capExtra},
		Retry: retrybudget.Limits{
			Ratio:  s.Bounds.RetryRatio,
			Window: s.Bounds.RetryWindow,
			Extra:  s.Bounds.RetryExtra,
		},
		BodyMemory: BodyMemory(s),
		BackupRisk: s.Bounds.BackupRisk,
		DelayShare: s.Bounds.DelayShare,
		DataCentre: s.DataCentre,
		Regions:    regions(s),

		ColdOverage: s.Bounds.ColdOverage, ColdExtra: s.Bounds.ColdExtra,
	}
}

// regions returns the regions of the data centres. That of this router is known also when it is not listed.
func regions(s *settings.Front) map[string]string {
	list := maps.Clone(s.Regions)
	if list == nil {
		list = make(map[string]string)
	}
	if _, ok := list[s.DataCentre]; !ok && s.Region != "" {
		list[s.DataCentre] = s.Region
	}
	return list
}

// Apply puts the bounds of changed settings in force. Changes of addresses and
// sizes take effect only at the next start.
func (f *Front) Apply(s *settings.Front) {
	f.bounds.Store(&s.Bounds)
	f.tracker.evacuations.setBound(s.Bounds.Evacuate)
	l := forwardLimits(s)
	f.state.SetBounds(l.Balance, l.Retry)
	f.state.SetColdBounds(l.ColdOverage, l.ColdExtra)
}

// ConfigureRuntime adapts the Go runtime to the cores and memory of the VM.
func ConfigureRuntime(s *settings.Front) {
	runtime.GOMAXPROCS(s.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * megabyte))
	debug.SetGCPercent(gcPercent)
}

// Start starts serving. When it returns an error the router has been closed.
func (f *Front) Start() error {
	ready, err := f.listen(f.settings.ListenReadiness, "readiness checks")
	if err != nil {
		return errors.Join(err, f.closeListeners())
	}
	admin, err := f.listen(f.settings.ListenMetrics, "metrics")
	if err != nil {
		return errors.Join(err, ready.Close(), f.closeListeners())
	}
	ctx := f.tomb.Context(context.Background())
	f.tomb.Go(func() error {
		f.tomb.Go(func() error { return f.tracker.run(ctx) })
		for _, follower := range f.tracker.followers(ctx) {
			f.tomb.Go(func() error { return follower.Run(ctx) })
		}
		f.tomb.Go(func() error { return f.tracker.followHistory(ctx) })
		f.tomb.Go(f.exchange.Receive)
		f.tomb.Go(f.carrier.Serve)
		f.tomb.Go(func() error { return f.exchange.Send(ctx) })
		f.tomb.Go(func() error { return f.collectInventory(ctx) })
		f.tomb.Go(func() error { return f.settleVersions(ctx) })
		f.tomb.Go(func() error { return f.watchRestarts(ctx) })
		f.tomb.Go(func() error { return f.keepParts(ctx) })
		f.tomb.Go(f.edge.Serve)
		f.tomb.Go(func() error { return serve(f.ready, ready) })
		f.tomb.Go(func() error { return serve(f.admin, admin) })
		<-f.tomb.Dying()
		return errors.Join(f.ready.Close(), f.admin.Close(), f.closeListeners())
	})
	f.events.Emit(event.FrontStarted, "vm", f.settings.VM, "data_centre", f.settings.DataCentre,
		"callers", f.settings.ListenCallers.String(), "store", f.settings.StoreAddress.String())
	return nil
}

// closeListeners closes what New has opened.
func (f *Front) closeListeners() error {
	return errors.Join(f.edge.Close(), f.exchange.Close(), f.carrier.Close(), f.tunnel.Close(), f.metrics.Close())
}

func (f *Front) listen(addr netip.AddrPort, purpose string) (net.Listener, error) {
	l, err := f.platform.Network.Listen(addr)
	return l, eris.Wrapf(err, "cannot listen for %s", purpose)
}

const (
	// headerTimeout bounds the reading of headers of the platform's own requests.
	headerTimeout = 5 * time.Second
	// adminIdleTimeout bounds how long connections of the platform's own requests
	// stay idle.
	adminIdleTimeout = 30 * time.Second
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: adminIdleTimeout}
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "server for readiness checks or metrics ended")
}

// placementsWait bounds how long a router that has become ready counts on the
// placements of the fleet.
const placementsWait = time.Second

// placementsKnown reports whether this router has the placements of the fleet, or
// can't count on them any more.
func (f *Front) placementsKnown() bool {
	return f.exchange.Synced() || f.tracker.readyFor(time.Now()) > placementsWait
}

// Dead is closed when the router has ended.
func (f *Front) Dead() <-chan struct{} { return f.tomb.Dead() }

// Err returns the error that ended the router.
func (f *Front) Err() error { return f.tomb.Err() }

func (f *Front) readyRouter() http.Handler {
	r := bunrouter.New()
	r.GET(f.platform.ReadyPath, func(w http.ResponseWriter, _ bunrouter.Request) error {
		if !f.tracker.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	})
	return r
}

func (f *Front) adminRouter() http.Handler {
	r := bunrouter.New()
	r.GET("/metrics", f.serveMetrics)
	r.GET(StatusPath, f.serveStatus)
	return r
}
