package testbed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/order"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/standin/backendsim"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
	"github.com/bluebellwell/bluebellwell/internal/standin/vmsim"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// pollInterval is the time between two checks of a condition in Wait.
const pollInterval = 10 * time.Millisecond

// Options configures a testbed.
type Options struct {
	Profile Profile
	// Routers, Engines and Backends override the profile's numbers if positive.
	Routers, Engines, Backends int
	// Engine is the configuration of all engines except for their names.
	Engine enginesim.Config
	// SaltEngines uses every engine's name as the salt of its answers, so that the
	// same prompt has a different answer on each engine.
	SaltEngines bool
	// Log configures the log stand-in.
	Log logsim.Options
	// Policy is a baseline policy for all routers, or nil.
	Policy *router.Policy
	// Events logs the routers' events; nil discards them.
	Events *event.Logger
	// Tune, if set, changes the settings of each router before it starts.
	Tune func(s *settings.Settings)
	// Retention is the retention of the config stream that the routers assume.
	Retention time.Duration
	// Orders overrides the timing of the orders to engines.
	Orders order.Timing
}

// Bed is a running testbed: stand-ins and routers. Its methods are safe for
// concurrent use.
type Bed struct {
	Profile Profile
	Log     *logsim.Log
	VMs     *vmsim.List
	// EngineLedger records the attempts of all engines, BackendLedger the
	// executions of all plain backend servers.
	EngineLedger  *enginesim.Ledger
	BackendLedger *backendsim.Ledger

	options   Options
	logURL    string
	vmListURL string
	servers   []*http.Server

	mu       sync.Mutex
	routers  map[string]*router.Router
	engines  map[string]*enginesim.Engine
	backends map[string]*backendsim.Server
	vmCount  int
}

// New starts the stand-ins. StartRouters starts the routers.
func New(o Options) (*Bed, error) {
	clock := clockwork.NewRealClock()
	if o.Log.Clock == nil {
		o.Log.Clock = clock
	}
	if o.Events == nil {
		o.Events = event.Nop()
	}
	b := &Bed{
		Profile:       o.Profile,
		Log:           logsim.New(o.Log),
		VMs:           vmsim.New(clock),
		EngineLedger:  enginesim.NewLedger(),
		BackendLedger: backendsim.NewLedger(),
		options:       o,
		routers:       map[string]*router.Router{},
		engines:       map[string]*enginesim.Engine{},
		backends:      map[string]*backendsim.Server{},
	}
	if err := b.startPlatform(); err != nil {
		b.Close()
		return nil, err
	}
	return b, b.startServers()
}

func (b *Bed) startPlatform() error {
	var err error
	if b.logURL, err = b.serve(b.Log.Handler()); err != nil {
		return err
	}
	b.vmListURL, err = b.serve(b.VMs.Handler())
	return err
}

func (b *Bed) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	b.servers = append(b.servers, s)
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (b *Bed) startServers() error {
	for range countOrDefault(b.options.Engines, b.Profile.Engines) {
		if _, err := b.AddEngine(); err != nil {
			return err
		}
	}
	for range countOrDefault(b.options.Backends, b.Profile.Backends) {
		if _, err := b.AddBackend(); err != nil {
			return err
		}
	}
	return nil
}

func countOrDefault(override, profile int) int {
	if override > 0 {
		return override
	}
	return profile
}

// LogURL returns the base URL of the log stand-in.
func (b *Bed) LogURL() string { return b.logURL }

// VMListURL returns the base URL of the VM list stand-in.
func (b *Bed) VMListURL() string { return b.vmListURL }

func (b *Bed) nextName(kind string) (name string, i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vmCount++
	return fmt.Sprintf("%s-%s-%d", b.Profile.Name, kind, b.vmCount), b.vmCount
}

// AddEngine starts an engine and lists its VM.
func (b *Bed) AddEngine() (*enginesim.Engine, error) {
	name, i := b.nextName("engine")
	cfg := b.options.Engine
	cfg.Name = name
	cfg.Ledger = b.EngineLedger
	if b.options.SaltEngines {
		cfg.Salt = name
	}
	e := enginesim.New(cfg)
	addr, err := e.Start("127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrapf(err, "start engine %s", name)
	}
	b.mu.Lock()
	b.engines[name] = e
	b.mu.Unlock()
	b.VMs.Set(vmlist.VM{
		Name: name, Role: vmlist.RoleEngine, Pool: b.Profile.EnginePool, DataCentre: b.Profile.DataCentre(i),
		Addr: addr, State: vmlist.StateLive,
	})
	return e, nil
}

// AddBackend starts a plain backend server and lists its VM.
func (b *Bed) AddBackend() (*backendsim.Server, error) {
	name, i := b.nextName("backend")
	s := backendsim.New(backendsim.Config{Name: name, Ledger: b.BackendLedger})
	addr, err := s.Start("127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrapf(err, "start backend server %s", name)
	}
	b.mu.Lock()
	b.backends[name] = s
	b.mu.Unlock()
	b.VMs.Set(vmlist.VM{
		Name: name, Role: vmlist.RoleBackend, Pool: b.Profile.PlainPool, DataCentre: b.Profile.DataCentre(i),
		Addr: addr, State: vmlist.StateLive,
	})
	return s, nil
}

// MarkLeaving lists an engine or backend server as leaving.
func (b *Bed) MarkLeaving(name string) {
	b.VMs.SetState(name, vmlist.StateLeaving)
	b.EngineLedger.Leave(name)
}

// RemoveEngine ends an engine and removes its VM from the VM list.
func (b *Bed) RemoveEngine(name string) {
	b.mu.Lock()
	e := b.engines[name]
	delete(b.engines, name)
	b.mu.Unlock()
	if e == nil {
		return
	}
	b.VMs.Remove(name)
	b.EngineLedger.Leave(name)
	e.Close()
}

// Engines returns the running engines by name.
func (b *Bed) Engines() map[string]*enginesim.Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[string]*enginesim.Engine, len(b.engines))
	for name, e := range b.engines {
		m[name] = e
	}
	return m
}

// Backends returns the running plain backend servers by name.
func (b *Bed) Backends() map[string]*backendsim.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[string]*backendsim.Server, len(b.backends))
	for name, s := range b.backends {
		m[name] = s
	}
	return m
}

// Close ends all routers and stand-ins. Routers do not drain.
func (b *Bed) Close() {
	for _, r := range b.Routers() {
		r.Kill()
	}
	for _, e := range b.Engines() {
		e.Close()
	}
	for _, s := range b.Backends() {
		s.Close()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
}

// StartRouter starts a router, lists its VM and returns it.
func (b *Bed) StartRouter() (*router.Router, error) {
	name, i := b.nextName("router")
	r, err := router.New(b.routerSettings(name, b.Profile.DataCentre(i)), b.options.Events, router.Options{
		Policy:    b.options.Policy,
		Retention: b.options.Retention,
		Orders:    b.options.Orders,
	})
	if err != nil {
		return nil, eris.Wrapf(err, "start router %s", name)
	}
	b.mu.Lock()
	b.routers[name] = r
	b.mu.Unlock()
	b.VMs.Set(vmlist.VM{
		Name: name, Role: vmlist.RoleRouter, DataCentre: b.Profile.DataCentre(i),
		Addr: r.Addr(), PeerAddr: r.PeerAddr(), State: vmlist.StateLive,
	})
	r.Start()
	return r, nil
}

func (b *Bed) routerSettings(name, dataCentre string) *settings.Settings {
	s := &settings.Settings{
		VM:                 name,
		DataCentre:         dataCentre,
		Region:             b.Profile.Region,
		ListenCallers:      netip.MustParseAddrPort("127.0.0.1:0"),
		ListenPeers:        netip.MustParseAddrPort("127.0.0.1:0"),
		LogEndpoint:        b.logURL,
		VMListEndpoint:     b.vmListURL,
		FleetKey:           settings.Key{1, 2, 3, 4},
		PrefixIndexEntries: settings.DefaultPrefixIndexEntries,
		Limits: settings.Limits{
			MaxBodyBytes:  settings.DefaultMaxBodyBytes,
			MaxCallers:    settings.DefaultMaxCallers,
			HeaderTimeout: settings.DefaultHeaderTimeout,
			ReadTimeout:   settings.DefaultReadTimeout,
		},
		Timings: settings.Timings{
			HeartbeatInterval:  settings.DefaultHeartbeatInterval,
			VMListPollInterval: settings.DefaultVMListPollInterval,
			ConfigPollWait:     settings.DefaultConfigPollWait,
			DrainLimit:         settings.DefaultDrainLimit,
		},
		Intents: settings.Intents{Streams: settings.DefaultIntentStreams, KeyWindow: settings.DefaultKeyWindow},
		Metrics: settings.Metrics{Enabled: true, ReportInterval: settings.DefaultReportInterval},
		Logging: settings.Logging{Level: hclog.Info, Format: settings.LogText},
	}
	if b.options.Tune != nil {
		b.options.Tune(s)
	}
	return s
}

// StartRouters starts the profile's routers.
func (b *Bed) StartRouters() error {
	for range countOrDefault(b.options.Routers, b.Profile.Routers) {
		if _, err := b.StartRouter(); err != nil {
			return err
		}
	}
	return nil
}

// Routers returns the running routers by VM name.
func (b *Bed) Routers() map[string]*router.Router {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[string]*router.Router, len(b.routers))
	for name, r := range b.routers {
		m[name] = r
	}
	return m
}

// StopRouter stops a router gracefully and removes its VM from the VM list.
func (b *Bed) StopRouter(ctx context.Context, name string) error {
	r := b.removeRouter(name)
	if r == nil {
		return eris.Errorf("router %s is not running", name)
	}
	err := r.Stop(ctx)
	b.VMs.Remove(name)
	return err
}

// KillRouter ends a router without a drain, as a crash would. Its VM stays
// listed until UnlistRouter is called.
func (b *Bed) KillRouter(name string) {
	if r := b.removeRouter(name); r != nil {
		r.Kill()
	}
}

// UnlistRouter removes the VM of a killed router from the VM list.
func (b *Bed) UnlistRouter(name string) {
	b.VMs.Remove(name)
}

func (b *Bed) removeRouter(name string) *router.Router {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.routers[name]
	delete(b.routers, name)
	return r
}

// WaitReady waits until every router is ready and both pools have an owner.
func (b *Bed) WaitReady(ctx context.Context) error {
	return b.Wait(ctx, func() bool {
		owned := map[string]bool{}
		for _, r := range b.Routers() {
			s := r.Status()
			if !s.Ready {
				return false
			}
			for _, p := range s.Pools {
				owned[p.Pool] = true
			}
		}
		return owned[b.Profile.EnginePool] && owned[b.Profile.PlainPool]
	})
}

// Wait polls a condition until it is true or ctx ends.
func (b *Bed) Wait(ctx context.Context, cond func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "condition did not become true")
		case <-ticker.C:
		}
	}
	return nil
}
