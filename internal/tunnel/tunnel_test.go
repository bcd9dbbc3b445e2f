package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/testport"
	_ "github.com/bluebellwell/bluebellwell/internal/testseed"
)

// testWait bounds each wait for what the other side does.
const testWait = 10 * time.Second

// bed is a server, a carrier and a client.
type bed struct {
	t       *testing.T
	server  net.Listener
	carrier *Server
	client  *Client

	mu    sync.Mutex
	dials int
	// accepted keeps the server's connections from being closed as garbage when serve returns, which looks like an end by the server.
	accepted []net.Conn
}

// newBed starts a carrier whose connections to the server are handled by serve.
func newBed(t *testing.T, dial DialFunc, serve func(net.Conn)) *bed {
	t.Helper()
	b := &bed{t: t}
	var err error
	b.server, err = net.Listen("tcp", testport.ServerHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := b.server.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.accepted = append(b.accepted, conn)
			b.mu.Unlock()
			go serve(conn)
		}
	}()
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	counted := func(ctx context.Context, network, addr string) (net.Conn, error) {
		b.mu.Lock()
		b.dials++
		b.mu.Unlock()
		return dial(ctx, network, addr)
	}
	host := netip.MustParseAddr(testport.Host())
	addr := testport.FreeAddrs(t, host.String(), 1)[0]
	b.carrier, err = Listen(addr, func(addr string) bool { return addr != "127.0.0.1:1" }, counted, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	// The bounds of the product send a client to another carrier when this one is slow, and a busy machine exceeds them.
	b.carrier.dialTimeout = testWait
	done := make(chan error, 1)
	go func() { done <- b.carrier.Serve() }()
	b.client = NewClient(addr.Port(), func() []netip.Addr { return []netip.Addr{host} }, event.Nop())
	b.client.askTimeout = testWait
	t.Cleanup(func() {
		if err := errors.Join(b.client.Close(), b.carrier.Close(), b.server.Close(), <-done); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return b
}

func (b *bed) dial() net.Conn {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	conn, err := b.client.Dial(ctx, b.server.Addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testWait)); err != nil {
		b.t.Fatal(err)
	}
	return conn
}

func echo(conn net.Conn) {
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

// Guards against bytes that are lost, changed or joined out of order on their way through a carrier.
func TestBytesPassInBothDirections(t *testing.T) {
	t.Parallel()
	b := newBed(t, nil, echo)
	// The carrier's bound on opening a connection is not what this test is about: on a machine short of
	// processor time the bytes of the other connections exhaust it.
	var dialed []net.Conn
	for range 8 {
		dialed = append(dialed, b.dial())
	}
	var connections sync.WaitGroup
	for i, conn := range dialed {
		connections.Go(func() {
			sent := bytes.Repeat([]byte{byte(i), 1, 2}, 100_000)
			go func() { _, _ = conn.Write(sent) }()
			got := make([]byte, len(sent))
			if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
				t.Errorf("connection %d: %v, or other bytes than were sent", i, err)
			}
		})
	}
	connections.Wait()
}

// Guards against an end that is taken for another one: an answer without a length is whole only when the
// server itself has ended it in order.
func TestEndOfTheServerIsToldFromThatOfTheCarrier(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		serve func(net.Conn)
		// stop ends the carrier after the first bytes.
		stop bool
		want error
	}{
		"in order": {func(c net.Conn) { _, _ = c.Write([]byte("x")); _ = c.Close() }, false, io.EOF},
		"reset": {func(c net.Conn) {
			_, _ = c.Write([]byte("x"))
			_ = c.(*net.TCPConn).SetLinger(0)
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
		}, false, syscall.ECONNRESET},
		"carrier ends": {func(c net.Conn) { _, _ = c.Write([]byte("x")) }, true, errCarrierEnded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, nil, c.serve)
			conn := b.dial()
			first := make([]byte, 1)
			if _, err := io.ReadFull(conn, first); err != nil {
				t.Fatal(err)
			}
			if c.stop {
				if err := b.carrier.Close(); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := conn.Read(first); !errors.Is(err, c.want) {
				t.Errorf("read: %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a server that works on for a caller who has left.
func TestCloseReachesTheServer(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	b := newBed(t, nil, func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	if err := b.dial().Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, io.EOF) {
			t.Errorf("the server's read: %v, want the end of the connection", err)
		}
	case <-time.After(testWait):
		t.Error("the server's connection stays open")
	}
	deadline := time.Now().Add(testWait)
	for b.carrier.Carried() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if n := b.carrier.Carried(); n != 0 {
		t.Errorf("%d connections are carried after the end of the only one", n)
	}
}

// Guards against a carrier that connects to addresses which are no server's, that takes connections while it
// stops or has too many, and against a client that waits or asks others when the server itself refuses.
func TestDialErrors(t *testing.T) {
	t.Parallel()
	failing := func(err error) DialFunc {
		return func(context.Context, string, string) (net.Conn, error) { return nil, err }
	}
	cases := map[string]struct {
		dial    DialFunc
		addr    string
		prepare func(*Server)
		want    error
		dials   int
	}{
		"unknown address": {addr: "127.0.0.1:1", want: ErrNoCarrier},
		"stopping":        {prepare: (*Server).Decline, want: ErrNoCarrier},
		"full":            {prepare: func(s *Server) { s.carried.Store(maxCarried) }, want: ErrNoCarrier},
		"not reached":     {dial: failing(syscall.ETIMEDOUT), want: ErrNoCarrier, dials: 1},
		"refused":         {dial: failing(syscall.ECONNREFUSED), want: ErrRefused, dials: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, c.dial, echo)
			if c.prepare != nil {
				c.prepare(b.carrier)
			}
			addr := c.addr
			if addr == "" {
				addr = b.server.Addr().String()
			}
			_, err := b.client.Dial(context.Background(), addr)
			if !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if b.dials != c.dials {
				t.Errorf("the carrier dialled %d times, want %d", b.dials, c.dials)
			}
		})
	}
}

// Guards against a router that always asks the same others, and one that asks first those which could not
// help a moment ago.
func TestRoutersThatCouldNotHelpAreAskedLast(t *testing.T) {
	t.Parallel()
	var routers []netip.Addr
	for i := range 6 {
		routers = append(routers, netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}))
	}
	c := NewClient(1, func() []netip.Addr { return append([]netip.Addr(nil), routers...) }, event.Nop())
	now := time.Unix(1000, 0)
	first := map[netip.Addr]int{}
	for range 200 {
		first[c.candidates(now)[0]]++
	}
	if len(first) != len(routers) {
		t.Errorf("asked first: %v, want each of %d routers at times", first, len(routers))
	}
	for _, router := range routers[:3] {
		c.setAvoided(now, router)
	}
	for range 50 {
		list := c.candidates(now.Add(avoidTime - time.Millisecond))
		if len(list) != maxAsked {
			t.Fatalf("%d candidates, want %d", len(list), maxAsked)
		}
		for _, router := range list[:3] {
			if router.Less(routers[3]) {
				t.Fatalf("candidates %v, want those that could not help last", list)
			}
		}
	}
	first = map[netip.Addr]int{}
	for range 200 {
		first[c.candidates(now.Add(avoidTime))[0]]++
	}
	if len(first) != len(routers) {
		t.Errorf("asked first after %v: %v, want all again", avoidTime, first)
	}
}

// Guards against bytes of a request that pass a router outside of its regions, or one whose region is not known.
func TestOnlyRoutersInTheRegionsAreAsked(t *testing.T) {
	t.Parallel()
	var routers []netip.Addr
	regions := map[netip.Addr]string{}
	for i, region := range []string{"north", "south", "", "north", "west"} {
		routers = append(routers, netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}))
		regions[routers[i]] = region
	}
	c := NewClient(1, func() []netip.Addr { return append([]netip.Addr(nil), routers...) }, event.Nop())
	if list := c.candidates(time.Unix(1000, 0), "north", ""); len(list) != 0 {
		t.Errorf("asks %v while no region is known", list)
	}
	c.SetRegionOf(func(router netip.Addr) string { return regions[router] })
	for _, want := range []struct {
		regions []string
		n       int
	}{{nil, maxAsked}, {[]string{"north"}, 2}, {[]string{"north", "west", ""}, 3}, {[]string{"east"}, 0}} {
		list := c.candidates(time.Unix(1000, 0), want.regions...)
		if len(list) != want.n {
			t.Errorf("asks %d routers for the regions %v, want %d", len(list), want.regions, want.n)
		}
		for _, router := range list {
			if len(want.regions) > 0 && !slices.Contains(want.regions, regions[router]) {
				t.Errorf("asks a router in region %q for the regions %v", regions[router], want.regions)
			}
		}
	}
}

// Guards against a router that waits long for another one that does not answer.
func TestRouterThatDoesNotAnswerIsNotWaitedFor(t *testing.T) {
	t.Parallel()
	silent, err := net.Listen("tcp", testport.ServerHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	addr := netip.MustParseAddrPort(silent.Addr().String())
	c := NewClient(addr.Port(), func() []netip.Addr { return []netip.Addr{addr.Addr()} }, event.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	if _, err := c.Dial(ctx, "10.0.0.1:80"); !errors.Is(err, ErrNoCarrier) || ctx.Err() != nil {
		t.Errorf("error %v, want %v within %v", err, ErrNoCarrier, testWait)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against frames that are changed by their encoding.
func TestFramesAreDecodedAsTheyWereEncoded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var wire []byte
		var want []frame
		for range rapid.IntRange(1, 5).Draw(t, "frames") {
			f := frame{
				open: rapid.SampledFrom([]string{"", "10.0.0.1:80"}).Draw(t, "open"), result: result(rapid.IntRange(0, 3).Draw(t, "result")),
				data: rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data"), end: end(rapid.IntRange(0, 2).Draw(t, "end")),
			}
			wire, want = f.append(wire), append(want, f)
		}
		r := bufio.NewReader(bytes.NewReader(wire))
		for _, f := range want {
			got, err := readFrame(r, make([]byte, maxFrameBytes))
			if err != nil || got.open != f.open || got.result != f.result || !bytes.Equal(got.data, f.data) || got.end != f.end {
				t.Fatalf("%+v, %v; want %+v", got, err, f)
			}
		}
	})
}

// Guards against a frame of another router that makes this one panic or take much memory.
func TestMalformedFramesAreErrors(t *testing.T) {
	t.Parallel()
	for name, wire := range map[string]string{
		"too long": "\xff\xff\xff\xff\x0f", "cut off": "\x05\x1a", "length beyond the frame": "\x02\x1a\x7f", "no tag": "\x01\xff",
	} {
		if f, err := readFrame(bufio.NewReader(strings.NewReader(wire)), make([]byte, maxFrameBytes)); err == nil {
			t.Errorf("%s: %+v, want an error", name, f)
		}
	}
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte("\x1a\x01x"))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = decodeFrame(b) })
}

// Guards against a request that is sent through a router which stops, whose end cuts the answer, and against an exchange in
// progress that is broken off when the stop begins.
func TestNoFurtherRequestIsSentThroughACarrierThatStops(t *testing.T) {
	t.Parallel()
	b := newBed(t, nil, echo)
	conn := b.dial()
	exchange := func(text string) error {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		buffer := make([]byte, len(text))
		_, err := io.ReadFull(conn, buffer)
		if err == nil && string(buffer) != text {
			t.Errorf("got %q, want %q", buffer, text)
		}
		return err
	}
	if err := exchange("first"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "sec"); err != nil {
		t.Fatal(err)
	}
	b.carrier.Decline()
	// The rest of a request that has begun is sent; its echo brings the news of the stop.
	if _, err := io.WriteString(conn, "ond"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, len("second"))); err != nil {
		t.Fatal(err)
	}
	// net/http reads while a connection is idle.
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = conn.Read(make([]byte, 1))
	n, err := io.WriteString(conn, "third")
	var stated interface{ NothingSent() bool }
	if n != 0 || !errors.As(err, &stated) || !stated.NothingSent() {
		t.Errorf("%d bytes of a further request, error %v; want none, by a statement that nothing was sent", n, err)
	}
}
