package forward

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/httpsend"
)

const (
	// directLead is how long a connection may take to open before another router is asked for it as
	// well. Within a region it takes a few milliseconds.
	directLead = 50 * time.Millisecond
	// indirectTime is how long a server is reached through another router before the own way is
	// taken again without a sign that it is back.
	indirectTime = 2 * time.Second
	// probeInterval is the least time between two attempts to open the own way to a server that is
	// reached through another router.
	probeInterval = 500 * time.Millisecond
	// tunnelPause is how long no other router is asked for a server that none could reach.
	tunnelPause = 500 * time.Millisecond
)

// Tunnel opens connections to servers through other routers. It must be safe for concurrent use.
type Tunnel interface {
	// Dial asks only routers in one of the regions when there are any.
	Dial(ctx context.Context, addr string, regions ...string) (net.Conn, error)
}

// serverDialFunc opens a connection to a server, through a router in one of the regions at most when there are any.
type serverDialFunc func(ctx context.Context, network, addr string, regions ...string) (net.Conn, error)

// dialFunc opens a connection to an address. It must be safe for concurrent use.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// paths opens the connections to servers, through another router where this one can't reach a server
// and another one can. It is safe for concurrent use.
type paths struct {
	direct dialFunc
	// tunnel is nil while there is no other router to ask.
	tunnel Tunnel
	events *event.Logger
	// onChange is called when a server begins or ceases to be reached through another router.
	onChange func(addr string)
	// evacuated reports whether no connection may be opened to an address any more.
	evacuated func(addr string) bool

	mu     sync.Mutex
	byAddr map[string]*path
}

// path is what is known of the way to a server.
type path struct {
	// indirectUntil is until when it is reached through another router, and probedAt when the own way
	// was last tried meanwhile.
	indirectUntil, probedAt time.Time
	// noTunnelUntil is until when no other router is asked.
	noTunnelUntil time.Time
}

func newPaths() *paths {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setSendTimeout, KeepAliveConfig: httpsend.ShortKeepAlive()}
	return &paths{direct: dialer.DialContext, events: event.Nop(), onChange: func(string) {}, evacuated: func(string) bool { return false }, byAddr: make(map[string]*path)}
}

// dialed is the result of opening a connection.
type dialed struct {
	conn net.Conn
	err  error
}

// dial opens a connection to a server, through a router in one of the regions at most when there are any. Its error is
// that of the own way.
func (p *paths) dial(ctx context.Context, network, addr string, regions ...string) (net.Conn, error) {
	if p.evacuated(addr) {
		return nil, dialEvacuated(network)
	}
	if p.tunnel == nil {
		return p.direct(ctx, network, addr)
	}
	if p.indirect(time.Now(), addr) {
		p.probe(network, addr)
		if conn, err := p.dialTunnel(ctx, addr, regions); err == nil {
			return conn, nil
		}
		p.setUnreachable(time.Now(), addr, regions)
		return p.direct(ctx, network, addr)
	}
	direct := make(chan dialed, 1)
	go func() {
		conn, err := p.direct(ctx, network, addr)
		direct <- dialed{conn, err}
	}()
	lead := time.NewTimer(directLead)
	defer lead.Stop()
	select {
	case d := <-direct:
		if d.err == nil || !p.mayAsk(time.Now(), addr) {
			return d.conn, d.err
		}
		direct <- d
	case <-lead.C:
		if !p.mayAsk(time.Now(), addr) {
			d := <-direct
			return d.conn, d.err
		}
	}
	conn, err := p.dialTunnel(ctx, addr, regions)
	if err != nil {
		p.setUnreachable(time.Now(), addr, regions)
		d := <-direct
		return d.conn, d.err
	}
	go closeUnused(direct)
	p.setIndirect(time.Now(), addr)
	return conn, nil
}

// closeUnused closes a connection that is opened too late.
func closeUnused(direct <-chan dialed) {
	if d := <-direct; d.err == nil {
		_ = d.conn.Close()
	}
}

func (p *paths) dialTunnel(ctx context.Context, addr string, regions []string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.tunnel.Dial(ctx, addr, regions...)
}

// dialDirect opens a connection for another router. It fails at once where this router uses
// another one itself.
func (p *paths) dialDirect(ctx context.Context, network, addr string) (net.Conn, error) {
	if p.evacuated(addr) {
		return nil, dialEvacuated(network)
	}
	if p.indirect(time.Now(), addr) {
		return nil, errIndirect
	}
	return p.direct(ctx, network, addr)
}

// errIndirect is returned for a server that this router does not reach itself.
var errIndirect = errors.New("server is reached through another router only")

// refuses reports whether nothing listens at an address, by this router and by another one that
// is asked when this one is refused. A server of an evacuated data centre is not asked.
func (p *paths) refuses(addr string) bool {
	if p.evacuated(addr) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.direct(ctx, "tcp", addr)
	if err == nil {
		// The connection carried nothing.
		_ = conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if p.tunnel == nil {
		return true
	}
	conn, err = p.tunnel.Dial(ctx, addr)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// of returns what is known of the way to a server. The caller holds mu.
func (p *paths) of(addr string) *path {
	known := p.byAddr[addr]
	if known == nil {
		known = &path{}
		p.byAddr[addr] = known
	}
	return known
}

// indirect reports whether a server is reached through another router.
func (p *paths) indirect(now time.Time, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddr[addr] != nil && now.Before(p.byAddr[addr].indirectUntil)
}

// mayAsk reports whether another router may be asked for a server.
func (p *paths) mayAsk(now time.Time, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddr[addr] == nil || !now.Before(p.byAddr[addr].noTunnelUntil)
}

// setUnreachable records that no other router reaches a server, at least not any more. That none of some regions does says
// nothing of the others.
func (p *paths) setUnreachable(now time.Time, addr string, regions []string) {
	if len(regions) > 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.of(addr)
	known.noTunnelUntil, known.indirectUntil = now.Add(tunnelPause), time.Time{}
}

// setIndirect records that another router reaches a server which this one does not.
func (p *paths) setIndirect(now time.Time, addr string) {
	p.mu.Lock()
	known := p.of(addr)
	begins := !now.Before(known.indirectUntil)
	known.indirectUntil = now.Add(indirectTime)
	p.mu.Unlock()
	if begins {
		p.events.Emit(event.ServerIndirect, "addr", addr)
		p.onChange(addr)
	}
}

// probe tries the own way to a server in the background, unless that was done lately. No request
// waits for it.
func (p *paths) probe(network, addr string) {
	now := time.Now()
	p.mu.Lock()
	known := p.of(addr)
	due := now.Sub(known.probedAt) >= probeInterval
	if due {
		known.probedAt = now
	}
	p.mu.Unlock()
	if due {
		go p.tryDirect(network, addr)
	}
}

func (p *paths) tryDirect(network, addr string) {
	conn, err := p.direct(context.Background(), network, addr)
	now := time.Now()
	p.mu.Lock()
	known := p.of(addr)
	if err != nil {
		if now.Before(known.indirectUntil) {
			known.indirectUntil = now.Add(indirectTime)
		}
		p.mu.Unlock()
		return
	}
	known.indirectUntil = time.Time{}
	p.mu.Unlock()
	p.events.Emit(event.ServerDirect, "addr", addr)
	p.onChange(addr)
	// The connection carried nothing.
	_ = conn.Close()
}

// forget drops what is known of servers that are gone.
func (p *paths) forget(gone func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr := range p.byAddr {
		if gone(addr) {
			delete(p.byAddr, addr)
		}
	}
}
