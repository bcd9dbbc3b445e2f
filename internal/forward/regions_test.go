package forward

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Guards against a region that only one of the route and the workspace allows, and an empty intersection that is taken for no
// regions at all.
func TestRouteAndWorkspaceBothBoundTheRegions(t *testing.T) {
	for _, c := range []struct {
		route, workspace, want string
		ok                     bool
	}{
		{"", "", "", true}, {"b a", "", "a b", true}, {"", "b", "b", true}, {"a b", "b c", "b", true}, {"b a b", "a b c", "a b", true},
		{"a", "b", "", false}, {"a b", "c", "", false},
	} {
		got, ok := regionsOf(&routing.Route{AllowedRegions: strings.Fields(c.route)}, &routing.Workspace{AllowedRegions: strings.Fields(c.workspace)})
		if ok != c.ok || !slices.Equal(got, strings.Fields(c.want)) {
			t.Errorf("route %q and workspace %q: %q, %v; want %q, %v", c.route, c.workspace, got, ok, c.want, c.ok)
		}
	}
}

// placed puts the servers of a bed in data centres, of which the first one is in the north and the second in the south.
func (b *bed) placed(dataCentres ...string) {
	b.state.mu.Lock()
	b.state.limits.Regions = map[string]string{"dc-n": "north", "dc-s": "south"}
	b.state.mu.Unlock()
	var list []*registry.Server
	for i, s := range b.servers {
		moved := *s
		moved.DataCentre = dataCentres[i]
		list = append(list, &moved)
	}
	b.servers = list
	b.state.eachPool(func(p *pool) { p.balance.SetRegions(b.state.limits.Regions) })
	b.state.SetServers(list)
}

// Guards against a request that is held or sent anywhere although no server may get it, and against one without regions that
// is refused.
func TestRequestWithoutAnAllowedRegionIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		route, workspace string
		status           int
	}{{"north", "south", 503}, {"west", "", 503}, {"", "west", 503}, {"south", "", 503}, {"north", "", 200}, {"", "", 200}, {"north west", "north south", 200}} {
		b := newBed(t, bedOptions{
			route:     routing.Route{Kind: routing.Unsafe, AllowedRegions: strings.Fields(c.route)},
			workspace: routing.Workspace{Name: "w", AllowedRegions: strings.Fields(c.workspace)}, servers: 2,
		}, ok("x"))
		b.placed("dc-n", "unlisted")
		got := b.send(ask{})
		if got.status != c.status {
			t.Errorf("route %q, workspace %q: status %d, want %d", c.route, c.workspace, got.status, c.status)
			continue
		}
		if c.status != http.StatusOK {
			b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseNoAllowedRegion})
			if got.header.Get("Retry-After") == "" || len(b.got()) > 0 {
				t.Errorf("Retry-After %q, %d requests at servers", got.header.Get("Retry-After"), len(b.got()))
			}
		}
	}
}

// Guards against retries and resumed streams that reach a server outside of the regions, and against copies from one.
func TestAttemptsKeepToTheRegions(t *testing.T) {
	t.Parallel()
	for kind, answers := range map[string][]answer{
		"retries":         {status(http.StatusInternalServerError, "x")},
		"refusals":        {notRun()},
		"resumed streams": {raw("HTTP/1.1 200 OK\r\nId: %ID%\r\nSigned: x\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\nda")},
	} {
		route := routing.Route{Kind: routing.Safe, MaxAttempts: 4, AllowedRegions: []string{"north"}}
		if kind == "resumed streams" {
			route.Kind, route.Resumable = routing.Stream, true
		}
		b := newBed(t, bedOptions{route: route, servers: 4}, answers...)
		b.placed("dc-n", "dc-s", "dc-n", "")
		for _, i := range []int{1, 3} {
			b.state.RecordCached([]digest.Placement{{PrefixHash: prefixHash("m", 7), Server: b.servers[i].Key().Hash(), Tokens: 100}})
		}
		b.send(ask{header: http.Header{"Prompt": {"7:100,8:10"}, "Model": {"m"}}})
		tried := map[string]bool{}
		for _, a := range b.got() {
			tried[a.server] = true
			if from := a.r.Header.Get("Fetch-From"); from == b.servers[1].Addr || from == b.servers[3].Addr {
				t.Errorf("%s: copied from %s, which is not in the north", kind, from)
			}
		}
		if len(tried) != 2 || !tried["s0"] || !tried["s2"] {
			t.Errorf("%s: sent to %v, want both servers in the north and no other", kind, tried)
		}
	}
}

// Guards against a request that is admitted since servers have room which it may not use.
func TestAdmissionIsByTheServersOfTheRegions(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Unsafe, AllowedRegions: []string{"north"}}, servers: 2}, ok("x"))
	b.placed("dc-n", "dc-s")
	b.send(ask{})
	if got := b.logged()["regions"]; got == nil {
		t.Error("the log does not have the regions")
	}
	all, _ := b.pool().admit(time.Now(), overload.Request{Remaining: time.Second}, balance.Job{})
	north, _ := b.pool().admit(time.Now(), overload.Request{Remaining: time.Second}, balance.Job{AllowedRegions: []string{"north"}})
	if all.Slots != 128 || north.Slots != 64 {
		t.Errorf("%d slots of all servers and %d of those in the north, want 128 and 64", all.Slots, north.Slots)
	}
}

// regionalWay is the way through other routers, which records the regions that it is asked for.
type regionalWay struct {
	mu    sync.Mutex
	asked []string
	// only is the region of the other routers.
	only string
}

func (w *regionalWay) Dial(ctx context.Context, addr string, regions ...string) (net.Conn, error) {
	w.mu.Lock()
	w.asked = append(w.asked, strings.Join(regions, " "))
	w.mu.Unlock()
	if len(regions) > 0 && !slices.Contains(regions, w.only) {
		return nil, errIndirect
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

func (w *regionalWay) taken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.asked
	w.asked = nil
	return list
}

// Guards against a body that passes a router in another region, on a connection that was opened for it or for another request,
// and against requests without regions that no longer find their way.
func TestBodiesPassNoRouterOfAnotherRegion(t *testing.T) {
	t.Parallel()
	way := &regionalWay{only: "south"}
	b := newBed(t, bedOptions{servers: 1}, ok("x"))
	config := bedConfig(bedOptions{route: routing.Route{Kind: routing.Unsafe}})
	bound := config.Routes[0]
	bound.Name, bound.Prefix, bound.AllowedRegions = "bound", "/bound", []string{"north"}
	both := bound
	both.Name, both.Prefix, both.AllowedRegions = "both", "/both", []string{"south", "north"}
	config.Routes = append(config.Routes, bound, both)
	b.state.SetTable(routing.Compile(config))
	b.placed("dc-n")
	b.state.SetTunnel(way)
	b.state.SetDial(func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: net.UnknownNetworkError("cut")}
	})
	if got := b.send(ask{}); got.status != http.StatusOK || !slices.Equal(way.taken(), []string{""}) {
		t.Fatalf("status %d of a request without regions, want it through another router", got.status)
	}
	for range 3 {
		if got := b.send(ask{path: "/bound/x"}); got.status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503 while only a router in another region reaches the server", got.status)
		}
		asked := way.taken()
		if len(asked) == 0 || slices.ContainsFunc(asked, func(s string) bool { return s != "north" }) {
			t.Errorf("asked routers of %q, want those of the north only", asked)
		}
		b.until("the server is no longer taken for unreachable", func() bool { return b.send(ask{}).status == http.StatusOK })
		way.taken()
	}
	if n := len(b.got()); n == 0 || slices.ContainsFunc(b.got(), func(a arrival) bool { return strings.HasPrefix(a.r.URL.Path, "/bound") }) {
		t.Errorf("%d requests reached the server, want none of those bound to the north", n)
	}
	if got := b.send(ask{path: "/both/x"}); got.status != http.StatusOK || !slices.Equal(way.taken(), []string{"north south"}) {
		t.Errorf("status %d of a request that may pass the south", got.status)
	}
	if got := b.send(ask{path: "/both/x"}); got.status != http.StatusOK || len(way.taken()) != 0 {
		t.Errorf("status %d of a further one, want it on the same connection", got.status)
	}
}

// Guards against routers that are no longer asked for a server since none in some regions reaches it.
func TestUnreachableInSomeRegionsIsNotUnreachable(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, tunnel *fakeWay) {
		own.set(errIndirect, 0)
		tunnel.set(errIndirect, 0)
		if _, err := p.dial(context.Background(), "tcp", someAddr, "north"); err == nil {
			t.Fatal("a connection although nobody reaches the server")
		}
		if !p.mayAsk(time.Now(), someAddr) {
			t.Error("no router is asked since none in the north reaches the server")
		}
	})
}
