package front_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/front"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/internal/testnet"
	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// waitTimeout bounds each wait for an expected state.
const waitTimeout = 20 * time.Second

// testBed is a router with a store and servers on loopback.
type testBed struct {
	t     *testing.T
	store *platformtest.Store
	// storeAddr is where the router reaches the store; empty for the store's own address.
	storeAddr string
	engines   []*platformtest.Engine
	front     *front.Front
	// host is the router's address, seeds are those of others, and peersPort is the port
	// for digests; zero values are replaced by free ones.
	host      string
	seeds     []netip.AddrPort
	peersPort uint16
	// restarted is set for a router that is not started with the whole fleet.
	restarted bool
	// region is that of the router, and regions has those of the data centres; the zero values are the usual ones.
	region  string
	regions map[string]string
	// delayShare is set for a router that sends a share of its requests to plain pools whose servers take long, in place of asking for
	// grants.
	delayShare bool
	// logger receives the router's log; nil for none.
	logger hclog.Logger
	// wrapSource wraps the router's way to each topic of the store; nil for none.
	wrapSource func(feed.Source) feed.Source
	// network is set for a router in a bubble of testing/synctest; its addresses are in it.
	network *testnet.Network
	// wrapMemory wraps the router's way to what must outlive all routers; nil for none.
	wrapMemory func(front.Memory) front.Memory
	// cutInventory is set while no engine tells the router which parts it has cached; nil for never.
	cutInventory *atomic.Bool
	// link is the router's way to the servers; nil for one that is never cut.
	link *serverLink
	// settings are the settings that the router was started with.
	settings *settings.Front
	baseURL  string
	readyURL string
}

func newTestBed(t *testing.T) *testBed { return newTestBedWith(t, 2) }

func newTestBedWith(t *testing.T, engines int) *testBed {
	t.Helper()
	b := &testBed{t: t, store: platformtest.NewStore()}
	t.Cleanup(b.store.Close)
	for i := range engines {
		e := platformtest.NewEngine(fmt.Sprintf("i-%d", i))
		t.Cleanup(e.Close)
		b.engines = append(b.engines, e)
	}
	return b
}

func (b *testBed) start() {
	b.t.Helper()
	if b.host == "" {
		b.host = testport.Host()
	}
	ports := b.addrs()
	storeAddr := cmp.Or(b.storeAddr, b.store.Addr())
	s := &settings.Front{
		VM: "front-1", DataCentre: "hall-a", Region: cmp.Or(b.region, "south"), Regions: b.regions, FirstStart: !b.restarted,
		ListenCallers: ports[0], ListenReadiness: ports[1], ListenMetrics: ports[2], ListenPeers: ports[3], Seeds: b.seeds,
		StoreAddress: netip.MustParseAddrPort(storeAddr),
		MemoryMB:     200, Cores: 1,
		Bounds: settings.FrontBounds{
			StopTimeout: 8 * time.Second, LoadMultiple: 2, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 480,
			GrantSlots: !b.delayShare, DelayShare: b.delayShare,
		},
	}
	logger := b.logger
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	store := b.connect(storeAddr)
	if b.wrapSource != nil {
		store.Config, store.Servers = b.wrapSource(store.Config), b.wrapSource(store.Servers)
	}
	if b.wrapMemory != nil {
		store.Memory = b.wrapMemory(store.Memory)
	}
	if b.cutInventory != nil {
		inventory := store.Inventory
		store.Inventory = func(ctx context.Context, addr string) ([]forward.CachedPart, error) {
			if b.cutInventory.Load() {
				return nil, errCut
			}
			return inventory(ctx, addr)
		}
	}
	if b.link != nil {
		store.Dial = b.link.dial
	}
	f, err := front.New(s, store, logger)
	if err != nil {
		b.t.Fatal(err)
	}
	if err := f.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.front, b.settings = f, s
	b.baseURL = "http://" + s.ListenCallers.String()
	b.readyURL = "http://" + s.ListenReadiness.String() + platform.ReadyPath
	b.t.Cleanup(b.stop)
}

// addrs returns the addresses of the router, the last of which is for digests.
func (b *testBed) addrs() []netip.AddrPort {
	if b.network == nil {
		return testport.FreeAddrsWith(b.t, b.host, 4, b.peersPort)
	}
	host := netip.MustParseAddr(b.host)
	return []netip.AddrPort{netip.AddrPortFrom(host, 1), netip.AddrPortFrom(host, 2), netip.AddrPortFrom(host, 3), netip.AddrPortFrom(host, b.peersPort)}
}

// connect returns the platform with the store at an address.
func (b *testBed) connect(storeAddr string) front.Platform {
	if b.network == nil {
		return platform.Connect(storeAddr)
	}
	p := platform.ConnectOver(storeAddr, b.network.Dial)
	p.Network, p.Dial = b.network, b.network.Dial
	return p
}

// allowRetries lets every request be tried again.
func (b *testBed) allowRetries() {
	s := *b.settings
	s.Bounds.RetryRatio, s.Bounds.RetryExtra = 10, 1_000_000
	b.front.Apply(&s)
}

// stop stops the router at once. It may be called more than once.
func (b *testBed) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := b.front.Stop(ctx); err != nil {
		b.t.Errorf("stop: %v", err)
	}
}

// config returns the configuration of the tests, with a route of each kind.
func config(version int) platformtest.Config {
	c := platformtest.Config{
		Version: version, Pools: []string{"pool"}, BodyBytes: 1000,
		Workspaces: []platformtest.Workspace{{Name: "w1", Keys: []string{"k1"}}},
		Routes: []platformtest.Route{
			{Name: "safe", Kind: "safe", Attempts: 2},
			{Name: "unsafe", Kind: "unsafe"},
			{Name: "stream", Kind: "stream"},
			{Name: "resume", Kind: "stream", Resumable: true, Attempts: 2},
			{Name: "open", Kind: "safe", Public: true},
			{Name: "short", Kind: "unsafe", Timeout: 300 * time.Millisecond},
		},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.Pool = "pool"
		r.Attempts = max(r.Attempts, 1)
		r.Timeout = cmp.Or(r.Timeout, 3*time.Second)
		r.Objective, r.Gap = 400*time.Millisecond, 300*time.Millisecond
	}
	return c
}

func (b *testBed) publish(c platformtest.Config) {
	b.store.Put(platform.TopicConfig, platform.ConfigKey, c.Encode())
}

func (b *testBed) register(state string, engines ...*platformtest.Engine) {
	for _, e := range engines {
		b.store.Put(platform.TopicServers, e.ID, e.Entry("pool", state))
	}
}

// run publishes the usual configuration and all servers, starts a router and waits
// until it is ready.
func (b *testBed) run() *testBed {
	b.t.Helper()
	b.publish(config(1))
	b.register(platformtest.StateReady, b.engines...)
	b.startReady()
	return b
}

// startReady starts a router and waits until it is ready.
func (b *testBed) startReady() {
	b.t.Helper()
	b.start()
	b.waitFor("router is ready", b.isReady)
}

func (b *testBed) isReady() bool {
	if b.network != nil {
		return b.front.Status().Ready
	}
	resp, err := http.Get(b.readyURL)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *testBed) waitFor(what string, f func() bool) {
	b.t.Helper()
	b.waitForUpTo(waitTimeout, what, f)
}

func (b *testBed) waitForUpTo(timeout time.Duration, what string, f func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(timeout)
	for !f() {
		if time.Now().After(deadline) {
			b.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// reply is the answer that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set when there was no complete answer.
	err error
	// framed is set when a length or chunks mark the end of the body.
	framed bool
}

// claimsComplete reports whether the caller must take the answer to be complete.
func (r reply) claimsComplete() bool { return r.err == nil && r.framed }

var requests atomic.Int64

func (b *testBed) request(method, target, body string, headers ...string) *http.Request {
	b.t.Helper()
	r, err := http.NewRequest(method, b.baseURL+target, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(platformtest.HeaderRequestID, fmt.Sprintf("r%d", requests.Add(1)))
	r.Header.Set(platformtest.HeaderDeadline, "5000")
	r.Header.Set(platformtest.HeaderAuthorization, platformtest.Key("k1"))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func (b *testBed) do(r *http.Request) reply {
	b.t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	if b.network != nil {
		transport.DialContext = b.network.Dial
	}
	client := http.Client{Transport: transport}
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, framed: framed}
}

func (b *testBed) requestCount() int {
	n := 0
	for _, e := range b.engines {
		n += len(e.Requests())
	}
	return n
}

const prompt = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
