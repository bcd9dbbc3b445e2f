// Package router implements the router daemon: it connects the entry API, the
// pool owner service, the configuration and the membership. One goroutine holds
// all control state and publishes immutable snapshots, which request handlers
// read without locks.
package router

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/intent"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/order"
	"github.com/bluebellwell/bluebellwell/internal/peer"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/poolowner"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/telemetry"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

const (
	// inboxSize is the number of messages waiting for the control goroutine.
	inboxSize = 1024
	// tokenMaxAge is the age at which a placement token expires: engines have
	// evicted the prefix long before.
	tokenMaxAge = 24 * time.Hour
	// defaultDeadline applies to requests without a deadline.
	defaultDeadline = 10 * time.Minute
	// shutdownGrace bounds the wait for the HTTP server's last writes.
	shutdownGrace = 5 * time.Second
	// drainPollInterval is the interval at which a stop checks for running requests.
	drainPollInterval = 50 * time.Millisecond
)

// Options are the dependencies and parameters that tests and the bench replace.
// The zero value is for production.
type Options struct {
	Clock clockwork.Clock
	// Listener replaces listening on the settings' address for callers.
	Listener net.Listener
	// Policy replaces the placement policy with a baseline of the bench.
	Policy *Policy
	// Retention is the retention time of the log's config stream; 0 turns off
	// the writing of checkpoints.
	Retention time.Duration
	// Orders replaces the times of the lease and of the checks of orders; 0 keeps
	// a default. All routers must use the same LeaseDuration and Margin.
	Orders order.Timing
}

// Policy replaces the placement policy for experiments.
type Policy struct {
	NewPicker func() placement.Picker
	// LocalAdmission makes every router admit requests by itself, without a common
	// pool owner, as the baselines do. It then reads the engines' load reports.
	LocalAdmission bool
	// ReportInterval is the time between two reads of an engine's load.
	ReportInterval time.Duration
}

// localAdmission reports whether this router admits requests without a common pool
// owner.
func (r *Router) localAdmission() bool {
	return r.options.Policy != nil && r.options.Policy.LocalAdmission
}

// Router is a router daemon.
type Router struct {
	settings  *settings.Settings
	options   Options
	clock     clockwork.Clock
	events    *event.Logger
	meter     *meter.Meter
	sampler   *meter.Sampler
	bootID    uint64
	startedAt time.Time

	tracing   *telemetry.Tracing
	metrics   *telemetry.Metrics
	log       logstream.Log
	config    *fleetconfig.Reader
	vms       *vmlist.Client
	peers     *peer.Transport
	piggyback *piggyback
	ended     *endedAttempts
	poolOwner *poolowner.Service
	dispatch  *dispatch.Dispatcher
	guard     *intent.Guard
	outcomes  outcomeCounts
	orders    *orders

	listener net.Listener
	server   *http.Server
	inbox    chan message
	fetchVMs chan struct{}
	current  atomic.Pointer[state]
	// activeRelays counts the relayed requests that this router serves as a pool
	// owner, activeRequests the callers' requests in progress.
	activeRelays   atomic.Int64
	activeRequests atomic.Int64
	tomb           tomb.Tomb
}

// New creates a router from validated settings and opens its listeners. Start
// starts it.
func New(s *settings.Settings, events *event.Logger, o Options) (*Router, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	r := &Router{
		settings: s,
		options:  o,
		clock:    o.Clock,
		events:   events,
		meter:    meter.NewLimited(meter.NewLimiter(o.Clock.Now(), meter.DefaultBytesPerSecond, meter.DefaultBurstBytes), o.Clock.Now),
		inbox:    make(chan message, inboxSize),
		fetchVMs: make(chan struct{}, 1),
		listener: o.Listener,
	}
	r.sampler = meter.NewSampler(r.meter)
	r.startedAt = r.clock.Now()
	// Boot ids increase from one start of a VM to the next.
	r.bootID = uint64(r.startedAt.UnixNano())
	r.current.Store(&state{entry: entry.State{Config: record.NewConfig(), Reason: "starting"}})
	if err := r.provision(); err != nil {
		return nil, err
	}
	return r, nil
}

// provision creates the components in the order of their dependencies.
func (r *Router) provision() error {
	for _, step := range []func() error{
		r.provisionTelemetry, r.provisionPlatform, r.provisionPeers, r.provisionOwner, r.provisionAPI, r.provisionOrders,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) provisionTelemetry() error {
	tracing, err := telemetry.NewTracing(context.Background(), telemetry.TracingOptions{
		VM:           r.settings.VM,
		DataCentre:   r.settings.DataCentre,
		Region:       r.settings.Region,
		OTLPEndpoint: r.settings.Tracing.OTLPEndpoint,
		SampleRatio:  r.settings.Tracing.SampleRatio,
	})
	if err != nil {
		return eris.Wrap(err, "set up tracing")
	}
	r.tracing = tracing
	r.metrics = telemetry.NewMetrics(map[string]string{"vm": r.settings.VM}, r.settings.Metrics.ReportInterval)
	return nil
}

func (r *Router) provisionPlatform() error {
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	r.log = logstream.NewClient(r.settings.LogEndpoint, hc, r.meter, meter.LogAppend, meter.LogRead)
	r.vms = vmlist.NewClient(r.settings.VMListEndpoint, hc, r.meter)
	r.config = fleetconfig.NewReader(fleetconfig.ReaderOptions{
		Log:       r.log,
		Clock:     r.clock,
		Events:    r.events,
		PollWait:  r.settings.Timings.ConfigPollWait,
		Retention: r.options.Retention,
		Rank:      func() int { return r.state().rank },
	})
	r.guard = intent.New(intent.Options{
		Log:     logstream.NewClient(r.settings.LogEndpoint, hc, r.meter, meter.Intent, meter.Intent),
		Clock:   r.clock,
		Events:  r.events,
		Streams: r.settings.Intents.Streams,
		Limits:  intent.Limits{Window: r.settings.Intents.KeyWindow},
		Owns:    func(stream int) bool { return r.state().ownsStream(stream, r.settings.VM) },
		OwnerOf: func(stream int) (string, bool) { return r.state().streamOwner(stream) },
		Remote:  r.remoteIntent,
	})
	return nil
}

func (r *Router) provisionPeers() error {
	transport, err := peer.New(peer.Config{
		Listen:         r.settings.ListenPeers.String(),
		Advertise:      advertiseAddr(r.settings),
		Key:            r.settings.FleetKey[:],
		VM:             r.settings.VM,
		DataCentre:     r.settings.DataCentre,
		SchemaVersions: readableVersions(),
		Meter:          r.meter,
		Events:         r.events,
		Clock:          r.clock,
		OnConnLost:     func(p peer.Peer) { r.post(connLost{peer: p}) },
	})
	if err != nil {
		return eris.Wrap(err, "start peer transport")
	}
	r.peers = transport
	r.piggyback = newPiggyback(r.clock, r.meter, func(addr string, env *peerpb.Envelope) { _ = transport.Send(addr, env) })
	return nil
}

// advertiseAddr returns the address that peers dial. Empty means the address of
// the listener.
func advertiseAddr(s *settings.Settings) string {
	if !s.PeerAddress.IsValid() {
		return ""
	}
	return s.PeerAddress.String()
}

func readableVersions() []uint32 {
	var versions []uint32
	for _, v := range record.ReadableVersions() {
		versions = append(versions, uint32(v))
	}
	return versions
}

func (r *Router) provisionOwner() error {
	tokenSigner, err := placement.NewTokenSigner(tokenMaxAge, r.settings.FleetKey[:])
	if err != nil {
		return eris.Wrap(err, "set up placement tokens")
	}
	deps := poolowner.Deps{
		Clock:              r.clock,
		TokenSigner:        tokenSigner,
		Meter:              r.meter,
		Tracer:             r.tracing.Tracer(),
		ReportResult:       func(server string, ok bool) { r.post(serverReported{name: server, ok: ok}) },
		ReportAttemptEnded: r.reportAttemptEnded,
		Events:             r.events,
		Rand:               randomFloat,
		PrefixIndexSize:    r.settings.PrefixIndexEntries,
	}
	if r.options.Policy != nil {
		deps.NewPicker = r.options.Policy.NewPicker
	}
	r.ended = &endedAttempts{ids: map[string][][]byte{}, clock: r.clock, flush: r.sendEnded}
	r.poolOwner = poolowner.New(deps)
	r.dispatch = dispatch.New(dispatch.DefaultConfig(), opener{r}, r.clock)
	r.dispatch.InFlight().OnEnd(r.reportAttemptEnded)
	return nil
}

func (r *Router) provisionAPI() error {
	api := entry.New(entry.Deps{
		Fleet:        fleet{r},
		Runner:       r.dispatch,
		Guard:        r.guard,
		RequestIDKey: r.settings.FleetKey[:],
		Limits: entry.Limits{
			MaxBodyBytes:    int64(r.settings.Limits.MaxBodyBytes),
			MaxConcurrent:   r.settings.Limits.MaxCallers,
			DefaultDeadline: defaultDeadline,
		},
		Clock:   r.clock,
		Tracer:  r.tracing.Tracer(),
		Status:  http.HandlerFunc(r.serveStatus),
		Metrics: r.metricsHandler(),
	})
	if r.listener == nil {
		l, err := net.Listen("tcp", r.settings.ListenCallers.String())
		if err != nil {
			_ = r.peers.Close()
			return eris.Wrap(err, "listen for callers")
		}
		r.listener = l
	}
	r.server = &http.Server{
		Handler:           r.countRequests(api.Handler()),
		ReadHeaderTimeout: r.settings.Limits.HeaderTimeout,
		ReadTimeout:       r.settings.Limits.ReadTimeout,
		// net/http would answer OPTIONS * with a 200 of its own.
		DisableGeneralOptionsHandler: true,
	}
	return nil
}

// metricsHandler returns the handler of the metrics page, or one that answers 404
// if metrics are disabled.
func (r *Router) metricsHandler() http.Handler {
	if !r.settings.Metrics.Enabled {
		return http.NotFoundHandler()
	}
	return r.metrics.Handler()
}

// fleet implements entry.Fleet.
type fleet struct {
	r *Router
}

func (f fleet) State() *entry.State {
	return &f.r.state().entry
}

func (r *Router) state() *state {
	return r.current.Load()
}

// Addr returns the address that callers use.
func (r *Router) Addr() string {
	return r.listener.Addr().String()
}

// PeerAddr returns the address that other routers use.
func (r *Router) PeerAddr() string {
	return r.peers.Addr()
}

// VM returns the router's name.
func (r *Router) VM() string {
	return r.settings.VM
}

// Start starts the router and returns at once. The router becomes ready when its
// configuration is current.
func (r *Router) Start() {
	r.peers.Start(r)
	r.tomb.Go(r.runControl)
	r.tomb.Go(r.pollVMs)
	r.tomb.Go(r.tickPools)
	r.tomb.Go(r.pollPeers)
	if r.settings.Metrics.Enabled {
		r.tomb.Go(r.publishMetrics)
	}
	r.tomb.Go(func() error { return r.config.Run(&r.tomb) })
	if r.localAdmission() {
		r.tomb.Go(r.pollLoads)
	}
	go r.serveCallers()
	r.events.Emit(event.RouterStarted, "vm", r.settings.VM, "callers", r.Addr(), "peers", r.PeerAddr())
}

func (r *Router) serveCallers() {
	var err error
	if t := r.settings.TLS; t != nil {
		err = r.server.ServeTLS(r.listener, t.CertificateFile, t.KeyFile)
	} else {
		err = r.server.Serve(r.listener)
	}
	if err != nil && !eris.Is(err, http.ErrServerClosed) {
		r.tomb.Kill(eris.Wrap(err, "serve callers"))
	}
}

// Stop stops the router gracefully: it accepts no new requests, hands its pools
// over, waits for running requests and closes. The end of ctx ends the wait.
func (r *Router) Stop(ctx context.Context) error {
	r.events.Emit(event.RouterStopping, "vm", r.settings.VM)
	r.post(stopRequested{})
	r.drain(ctx)
	r.flushEnded(ctx)
	return r.close()
}

// drain waits until the load balancer has had time to notice the stop and no
// request is in progress.
func (r *Router) drain(ctx context.Context) {
	start := r.clock.Now()
	for ctx.Err() == nil {
		if r.clock.Now().Sub(start) > shutdownDelay && r.activeRequests.Load() == 0 && r.activeRelays.Load() == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-r.clock.After(drainPollInterval):
		}
	}
}

// Kill stops the router at once, like a crash of the process: running requests are
// aborted.
func (r *Router) Kill() {
	r.poolOwner.Kill()
	_ = r.peers.Close()
	_ = r.server.Close()
	_ = r.close()
}

func (r *Router) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = r.server.Shutdown(ctx)
	r.tomb.Kill(nil)
	err := r.tomb.Wait()
	r.poolOwner.Close()
	_ = r.guard.Close()
	r.orders.close()
	_ = r.peers.Close()
	_ = r.metrics.Close()
	_ = r.tracing.Shutdown(ctx)
	r.events.Emit(event.RouterStopped, "vm", r.settings.VM)
	return err
}

// Dead returns a channel that is closed when the router has failed or was stopped.
func (r *Router) Dead() <-chan struct{} {
	return r.tomb.Dead()
}

// remoteIntent sends a call to the router that owns the intent stream.
func (r *Router) remoteIntent(ctx context.Context, addr string, call *peerpb.IntentCall) (*peerpb.IntentReply, error) {
	reply, err := r.peers.Call(ctx, addr, &peerpb.Envelope{Body: &peerpb.Envelope_IntentCall{IntentCall: call}})
	if err != nil {
		if eris.Is(err, peer.ErrNotSent) {
			return nil, eris.Wrap(intent.ErrNotSent, err.Error())
		}
		return nil, err
	}
	if reply.GetIntentReply() == nil {
		return nil, errUnexpectedMessage
	}
	return reply.GetIntentReply(), nil
}
