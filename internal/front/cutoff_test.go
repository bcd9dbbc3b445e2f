package front_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// storeLink is a router's way to the store, which can be cut.
type storeLink struct {
	server *httptest.Server
	cut    atomic.Bool
	// silent is set while calls get no answer, those that wait at the store included.
	silent atomic.Bool
	// only is the topic whose calls get no answer; empty for all.
	only string
}

func newStoreLink(t *testing.T, addr string) *storeLink {
	return newStoreLinkAt(t, testport.Listener(), addr, nil)
}

// newStoreLinkAt is newStoreLink with the listener of the link and the way from there to the store; nil for the usual one.
func newStoreLinkAt(t *testing.T, listener net.Listener, addr string, transport http.RoundTripper) *storeLink {
	l := &storeLink{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr})
	proxy.Transport = transport
	l.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		if !l.isSilent(r) {
			answer := httptest.NewRecorder()
			proxy.ServeHTTP(answer, r)
			if !l.isSilent(r) {
				copyAnswer(w, answer)
				return
			}
		}
		// The end of the connection is noticed only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})}}
	l.server.Start()
	t.Cleanup(l.server.Close)
	return l
}

// isSilent reports whether a call gets no answer.
func (l *storeLink) isSilent(r *http.Request) bool {
	return l.silent.Load() && strings.Contains(r.URL.RawQuery, l.only)
}

func copyAnswer(w http.ResponseWriter, answer *httptest.ResponseRecorder) {
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// setCut cuts or restores the link. A cut breaks off the calls that wait at the store.
func (l *storeLink) setCut(cut bool) {
	l.cut.Store(cut)
	if cut {
		l.server.CloseClientConnections()
	}
}

// peerLink is the way between one router of a fleet and the others, which can be cut. The router uses
// another port for digests than they do. The link receives at the router's host and the
// others' port what they send to it, and passes it on from their hosts and the router's
// port; in the other direction likewise.
type peerLink struct {
	cut atomic.Bool
	// drop reports whether a datagram between two hosts is lost; nil for none.
	drop atomic.Pointer[func(from, to netip.Addr) bool]
	// discard reports whether a datagram with some content is lost; nil for none.
	discard atomic.Pointer[func(datagram []byte) bool]
	// sent and received are the bytes of the router's datagrams, with their headers.
	sent, received atomic.Int64
}

// datagramHeaderBytes are the headers of a datagram over IPv4.
const datagramHeaderBytes = 28

// freeUDPPort returns a port that is free at a host and at the hosts of routers, and is not the one that routers have in common.
func freeUDPPort(t *testing.T, host string, common uint16, others []*testBed) uint16 {
	t.Helper()
	for range 100 {
		port := testport.FreeAddrs(t, host, 1)[0].Port()
		if port != common && !slices.ContainsFunc(others, func(o *testBed) bool { return !isFreeUDP(o.host, port) }) && isFreeUDP(host, port) {
			return port
		}
	}
	t.Fatal("no port is free at all hosts")
	return 0
}

func isFreeUDP(host string, port uint16) bool {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(host), port)))
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func newPeerLink(t *testing.T, f *fleetBed, n int) *peerLink {
	l := &peerLink{}
	router, others := f.routers[n], slices.Delete(slices.Clone(f.routers), n, n+1)
	commonPort := router.peersPort
	port := freeUDPPort(t, router.host, commonPort, others)
	router.peersPort = port
	listen := func(host string, port uint16) *net.UDPConn {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(host), port)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	inside := listen(router.host, commonPort)
	outside := map[netip.Addr]*net.UDPConn{}
	for _, o := range others {
		addr := netip.MustParseAddr(o.host)
		outside[addr] = listen(o.host, port)
		go l.relay(outside[addr], &l.sent, func(netip.Addr) (*net.UDPConn, netip.AddrPort) {
			if l.drops(netip.MustParseAddr(router.host), addr) {
				return nil, netip.AddrPort{}
			}
			return inside, netip.AddrPortFrom(addr, commonPort)
		})
	}
	target := netip.AddrPortFrom(netip.MustParseAddr(router.host), port)
	go l.relay(inside, &l.received, func(from netip.Addr) (*net.UDPConn, netip.AddrPort) {
		if l.drops(from, target.Addr()) {
			return nil, target
		}
		return outside[from], target
	})
	return l
}

func (l *peerLink) drops(from, to netip.Addr) bool {
	drop := l.drop.Load()
	return drop != nil && (*drop)(from, to)
}

// relay passes on what a socket receives, on the socket and to the address that route
// returns for its sender, and counts its bytes.
func (l *peerLink) relay(in *net.UDPConn, bytes *atomic.Int64, route func(from netip.Addr) (*net.UDPConn, netip.AddrPort)) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if discard := l.discard.Load(); discard != nil && (*discard)(buffer[:n]) {
			continue
		}
		if out, to := route(from.Addr().Unmap()); out != nil && !l.cut.Load() {
			bytes.Add(int64(n) + datagramHeaderBytes)
			_, _ = out.WriteToUDPAddrPort(buffer[:n], to)
		}
	}
}

// knowledge is what a router knows of the configuration and of the servers.
type knowledge struct {
	version       int64
	ready, leaves []string
}

func (b *testBed) knowledge() knowledge {
	status := b.front.Status()
	k := knowledge{version: status.ConfigVersion}
	for _, p := range status.Pools {
		for _, s := range p.Servers {
			if s.State == "leaving" {
				k.leaves = append(k.leaves, s.ID)
			} else {
				k.ready = append(k.ready, s.ID)
			}
		}
	}
	slices.Sort(k.ready)
	slices.Sort(k.leaves)
	return k
}

func (k knowledge) String() string {
	return fmt.Sprintf("version %d, ready %s, leaving %s", k.version, strings.Join(k.ready, " "), strings.Join(k.leaves, " "))
}

// watchRegress checks until it is stopped that the version of a router does not go back
// and that servers which are not to be used do not become ready again.
func watchRegress(t *testing.T, b *testBed, unusable ...string) (stop func()) {
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		highest := int64(0)
		for {
			k := b.knowledge()
			if k.version < highest {
				t.Errorf("version %d is in force after version %d", k.version, highest)
				return
			}
			highest = k.version
			for _, id := range unusable {
				if slices.Contains(k.ready, id) {
					t.Errorf("server %s, which had left, is used again: %s", id, k)
					return
				}
			}
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	return func() {
		close(done)
		watcher.Wait()
	}
}

// touchWindow is the time after which a router that is back must know what was written
// before: it counts as in touch 3 s after a disturbance, and must then have a configuration
// or the state of a server within 2 s.
const touchWindow = 5 * time.Second

// knows waits until a router knows what is wanted, for touchWindow at most.
func (b *testBed) knows(when, want string) {
	b.t.Helper()
	for deadline := time.Now().Add(touchWindow); b.knowledge().String() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatalf("%s: the router knows %s; want %s", when, b.knowledge(), want)
		}
	}
}

// Guards against a router that goes back to an older configuration or uses a server that
// has left, or does not catch up, after it could reach neither the store nor the others
// while the store came back from an older copy, twice. It gets the two ways back one after
// the other.
func TestRouterCutOffThroughErasCatchesUp(t *testing.T) {
	for name, c := range map[string]struct {
		// router is the number of the router that is cut off; the first three are readers.
		router     int
		storeFirst bool
	}{
		"reader, store first":       {0, true},
		"reader, peers first":       {0, false},
		"other router, store first": {4, true},
		"other router, peers first": {4, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var store *storeLink
			var peers *peerLink
			f := newFleetWith(t, 5, 6, func(f *fleetBed) {
				r := f.routers[c.router]
				store = newStoreLink(t, f.store.Addr())
				r.storeAddr = strings.TrimPrefix(store.server.URL, "http://")
				peers = newPeerLink(t, f, c.router)
			})
			cutOff := f.routers[c.router]
			first, second := f.store.Copy(), f.store.Copy()
			f.publish(config(2))
			f.register(platformtest.StateLeaving, f.engines[0])
			f.store.Put(platform.TopicServers, f.engines[1].ID, nil)
			known := "version 2, ready i-2 i-3 i-4 i-5, leaving i-0"
			f.waitFor("all routers know the changes", func() bool {
				return f.all(func(r *testBed) bool { return r.knowledge().String() == known })
			})
			stop := watchRegress(t, cutOff, "i-0", "i-1")
			defer stop()
			store.setCut(true)
			peers.cut.Store(true)
			f.playEras(cutOff, first, second)
			if got := cutOff.knowledge().String(); got != known {
				t.Fatalf("the router knows %s while it is cut off, want %s", got, known)
			}
			// Nobody has written again that the first server leaves, and that the second has left.
			newest := "version 4, ready i-4 i-5, leaving i-0 i-2"
			if c.storeFirst {
				store.setCut(false)
				cutOff.knows("the store is back", newest)
				peers.cut.Store(false)
			} else {
				peers.cut.Store(false)
				f.waitFor("the router hears of the era", func() bool { return cutOff.front.Status().ReportedEra == 6 })
				f.register(platformtest.StateLeaving, f.engines[4])
				newest = "version 4, ready i-5, leaving i-0 i-2 i-4"
				f.waitFor("the router hears of a server that leaves", func() bool { return slices.Contains(cutOff.knowledge().leaves, "i-4") })
				store.setCut(false)
			}
			cutOff.knows("both ways are back", newest)
			f.publish(configWithRoute(5, "new"))
			f.register(platformtest.StateReady, f.engines[4])
			cutOff.knows("the next change", "version 5, ready i-4 i-5, leaving i-0 i-2")
			if got := cutOff.statusOf("/new/x"); got != http.StatusOK {
				t.Errorf("status %d on the route of the newest configuration, want 200", got)
			}
		})
	}
}

// playEras lets the store come back from two older copies in turn, with changes after each,
// while one router is cut off, and waits until the other routers know them.
func (f *fleetBed) playEras(cutOff *testBed, first, second platformtest.Copy) {
	f.t.Helper()
	others := &fleetBed{testBed: f.testBed}
	for _, r := range f.routers {
		if r != cutOff {
			others.routers = append(others.routers, r)
		}
	}
	f.store.SetErrorStatus(http.StatusServiceUnavailable)
	f.store.Restore(first, 5)
	f.store.SetErrorStatus(0)
	f.publish(config(3))
	f.register(platformtest.StateLeaving, f.engines[2])
	f.waitFor("the others know the changes of the first era", func() bool {
		return others.all(func(r *testBed) bool {
			return r.knowledge().String() == "version 3, ready i-3 i-4 i-5, leaving i-0 i-2"
		})
	})
	f.store.Restore(second, 6)
	f.publish(config(4))
	f.register(platformtest.StateLeaving, f.engines[2])
	f.store.Put(platform.TopicServers, f.engines[3].ID, nil)
	f.waitFor("the others know the changes of the second era", func() bool {
		return others.all(func(r *testBed) bool { return r.knowledge().String() == "version 4, ready i-4 i-5, leaving i-0 i-2" })
	})
}
