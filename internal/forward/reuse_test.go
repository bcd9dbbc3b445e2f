package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/connreuse"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/testport"
)

// noReuse returns how long connections to the first server are not reused.
func (b *bed) noReuse() time.Duration {
	b.logged()
	return b.state.pool("p").connectionsTo(b.servers[0]).noReuseFor(time.Now())
}

// Guards against requests that are lost on kept connections again and again, and against
// new connections for each request to a server that does nothing wrong on kept ones.
func TestFaultsOfKeptConnectionsEndTheirReuse(t *testing.T) {
	t.Parallel()
	garbage, other, closed := raw("\x00\x01\x02 no answer\r\n\r\n"), status(http.StatusOK, "x", "Id", "r2"), raw("")
	good := ok("x")
	for name, c := range map[string]struct {
		answers []answer
		stops   bool
	}{
		"bytes that are no answer":                 {[]answer{good, garbage}, true},
		"answer of another request":                {[]answer{good, other}, true},
		"closes":                                   {[]answer{good, closed, good, closed, good, closed}, true},
		"few closes among many answers":            {[]answer{good, closed, good, good, good, good, good, good, closed, good, good, good, good, good, good, closed}, false},
		"bytes that are no answer, new connection": {[]answer{garbage}, false},
		"other answer, new connection":             {[]answer{other}, false},
		"good answers":                             {[]answer{good, good, good}, false},
		"refusals":                                 {[]answer{notRun(), notRun()}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, bedOptions{}, c.answers...)
			for range c.answers {
				b.send(ask{body: "x"})
			}
			if got := b.noReuse() > 0; got != c.stops {
				t.Errorf("reuse stopped: %v, want %v", got, c.stops)
			}
		})
	}
}

// Guards against a server whose kept connections are given up because a request on one
// reached its deadline.
func TestDeadlineSaysNothingOfTheConnection(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Timeout: deadlineOfTests}}, ok("x"), func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId:")
		_, _ = io.Copy(io.Discard, conn)
	})
	b.send(ask{})
	b.send(ask{})
	if b.noReuse() > 0 {
		t.Error("connections are not reused after a deadline")
	}
}

// Guards against bytes on an idle connection that are taken for the next answer.
func TestBytesOnAnIdleConnectionEndItsReuse(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, func(w http.ResponseWriter, r *http.Request) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(buffer, strings.ReplaceAll(signedHead, "%ID%", "r1")+"Content-Length: 1\r\n\r\nx")
		_ = buffer.Flush()
		for {
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	b.send(ask{})
	b.until("connections are not reused", func() bool { return b.noReuse() > 0 })
}

// Guards against a request on a kept connection that its server closes at that moment.
func TestAnnouncedIdleTimeEndsConnectionsBefore(t *testing.T) {
	t.Parallel()
	c := &connections{dial: newPaths().dial}
	old := c.transport(time.Now())
	for _, step := range []struct{ announced, want time.Duration }{
		{10 * time.Second, idleTimeout},
		{2 * time.Second, 1750 * time.Millisecond},
		{5 * time.Second, 1750 * time.Millisecond},
		{0, time.Millisecond},
	} {
		c.recordIdleTime(step.announced)
		now := c.transport(time.Now())
		if now.IdleConnTimeout != step.want {
			t.Errorf("idle connections are kept for %v after %v was announced, want %v", now.IdleConnTimeout, step.announced, step.want)
		}
		if (now == old) != (old.IdleConnTimeout == step.want) {
			t.Errorf("connections with the limit %v are used after %v was announced", old.IdleConnTimeout, step.announced)
		}
		old = now
	}
}

// Guards against an announced idle time that is not read, or kept for longer.
func TestServersIdleTimeIsReadFromItsAnswers(t *testing.T) {
	t.Parallel()
	for value, want := range map[string]time.Duration{
		"timeout=1":          750 * time.Millisecond,
		"max=5, Timeout = 2": 1750 * time.Millisecond,
		"timeout=x":          idleTimeout,
		"max=1":              idleTimeout,
	} {
		b := newBed(t, bedOptions{}, status(http.StatusOK, "x", "Keep-Alive", value))
		b.send(ask{})
		b.logged()
		if got := b.state.pool("p").connectionsTo(b.servers[0]).transport(time.Now()).IdleConnTimeout; got != want {
			t.Errorf("idle connections are kept for %v after %q, want %v", got, value, want)
		}
	}
	b := newBed(t, bedOptions{}, status(http.StatusOK, "x", "Keep-Alive", "timeout=0"))
	b.send(ask{})
	b.untilOpen(0)
}

// Guards against a burst of requests that leaves a connection for each at a server, whose
// number of connections is limited.
func TestIdleConnectionsToAServerAreFew(t *testing.T) {
	t.Parallel()
	const burst = 2 * idlePerServer
	var arrived sync.WaitGroup
	b := newBed(t, bedOptions{}, func(w http.ResponseWriter, r *http.Request) {
		arrived.Done()
		arrived.Wait()
		ok("x")(w, r)
	})
	for range 2 {
		arrived.Add(burst)
		var callers sync.WaitGroup
		for range burst {
			callers.Go(func() { b.send(ask{}) })
		}
		callers.Wait()
		b.logged()
	}
	b.mu.Lock()
	opened := b.opened
	b.mu.Unlock()
	if want := 2*burst - idlePerServer; opened < want {
		t.Errorf("%d connections for two bursts of %d, want %d or more: %d are kept", opened, burst, want, idlePerServer)
	}
}

// Guards against a kept connection to a server that no longer exists: another one may have
// its address.
func TestRemovedServerHasNoKeptConnections(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, ok("x"))
	b.send(ask{})
	b.logged()
	kept := b.state.pool("p").connectionsTo(b.servers[0]).transport(time.Now())
	b.state.SetServers(nil)
	r, err := http.NewRequest(http.MethodGet, "http://"+b.servers[0].Addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := kept.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got := b.got(); got[0].r.RemoteAddr == got[1].r.RemoteAddr {
		t.Error("a connection that was kept before the removal is used after it")
	}
}

// Guards against a request on the connection of an earlier incarnation, which another
// server may have by now, and against reports on servers that are gone.
func TestIncarnationsShareNoConnections(t *testing.T) {
	t.Parallel()
	st := NewState(Limits{})
	reports := 0
	st.onReuse = func(*registry.Server, *connreuse.Change) { reports++ }
	first := &registry.Server{ID: "s", Pool: "p", Addr: "a:1", Born: 1}
	second := &registry.Server{ID: "s", Pool: "p", Addr: "a:1", Born: 2}
	st.SetServers([]*registry.Server{first})
	p := st.pool("p")
	old := p.connectionsTo(first)
	if p.connectionsTo(first) != old {
		t.Error("the connections of one incarnation are not kept")
	}
	if p.connectionsTo(second) == old {
		t.Error("two incarnations share their connections")
	}
	st.SetServers([]*registry.Server{second})
	if p.connectionsTo(second) == old || p.connectionsTo(first) == old {
		t.Error("the connections of an incarnation that is gone are used")
	}
	old.recordUnasked()
	if reports != 0 {
		t.Error("connections of a server that is gone are reported")
	}
}

// Guards against a refusal that costs a connection, of which each new one may hold a slot
// at the server.
func TestRefusalKeepsItsConnection(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, notRun(), ok("x"))
	b.send(ask{})
	b.send(ask{})
	got := b.got()
	if len(got) != 2 || got[0].r.RemoteAddr != got[1].r.RemoteAddr {
		t.Errorf("%d requests, on different connections, want two on the same", len(got))
	}
}

// Guards against a server whose headers fill the router's memory.
func TestHeadersOfAnAnswerAreBounded(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{}, status(http.StatusOK, "x", "Long", strings.Repeat("x", 1<<20)))
	if got := b.send(ask{}); got.status != http.StatusBadGateway {
		t.Errorf("status %d for an answer with a megabyte of headers, want 502", got.status)
	}
}

// Guards against a connection whose peer has vanished and that holds a request, or is
// reused, without end.
func TestVanishedPeersAreNoticedByTheKernel(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", testport.ServerHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := &connections{dial: newPaths().dial}
	conn, err := c.transport(time.Now()).DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	control, err := reflect.ValueOf(conn).Elem().FieldByName("Conn").Interface().(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for name, o := range map[string]struct{ option, want int }{
		"TCP_USER_TIMEOUT, ms": {tcpUserTimeout, 1500},
		"TCP_KEEPIDLE, s":      {syscall.TCP_KEEPIDLE, 1},
		"TCP_KEEPINTVL, s":     {syscall.TCP_KEEPINTVL, 1},
		"TCP_KEEPCNT":          {syscall.TCP_KEEPCNT, 2},
	} {
		var got int
		var optErr error
		if err := control.Control(func(fd uintptr) { got, optErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, o.option) }); err != nil || optErr != nil {
			t.Fatal(err, optErr)
		}
		if got != o.want {
			t.Errorf("%s is %d, want %d", name, got, o.want)
		}
	}
}
