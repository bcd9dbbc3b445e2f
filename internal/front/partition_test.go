package front_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// cutKind is what a cut does to the connections between a router and the servers.
type cutKind int

const (
	noCut cutKind = iota
	// hangs: nothing passes on open connections, new ones get no answer.
	hangs
	// resets: open connections are reset, new ones refused.
	resetsAll
	// livesOn: open connections go on, new ones are refused.
	livesOn
)

// sendTimeout is after how long a connection ends whose peer does not acknowledge data, as the
// router asks the kernel for.
const sendTimeout = 1500 * time.Millisecond

// serverLink is a router's way to all servers, which can be cut.
type serverLink struct {
	mu    sync.Mutex
	kind  cutKind
	conns map[*linkConn]bool
}

// setCut cuts the link or, with noCut, restores it.
func (l *serverLink) setCut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind = kind
	for c := range l.conns {
		switch kind {
		case hangs:
			close(c.hung)
			delete(l.conns, c)
		case resetsAll:
			// The reader gets an error.
			_ = c.Conn.Close()
		}
	}
}

func (l *serverLink) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	kind := l.kind
	l.mu.Unlock()
	if kind == hangs {
		timeout, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-timeout.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
	}
	if kind != noCut {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, link: l, hung: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*linkConn]bool)
	}
	l.conns[c] = true
	return c, nil
}

// linkConn is a connection over a link. Once hung is closed nothing passes, and it ends with
// sendTimeout after data was written.
type linkConn struct {
	net.Conn
	link *serverLink
	hung chan struct{}
	end  sync.Once
}

func (c *linkConn) isHung() bool {
	select {
	case <-c.hung:
		return true
	default:
		return false
	}
}

func (c *linkConn) Write(p []byte) (int, error) {
	if !c.isHung() {
		return c.Conn.Write(p)
	}
	c.end.Do(func() {
		time.AfterFunc(sendTimeout, func() { _ = c.Conn.Close() })
	})
	return len(p), nil
}

// Read returns nothing that arrives after the cut.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n > 0 && c.isHung() {
		n, err = c.Conn.Read(p)
	}
	if errors.Is(err, net.ErrClosed) && c.isHung() {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
	}
	return n, err
}

func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// firstTries counts callers' first tries at a group of routers.
type firstTries struct {
	mu       sync.Mutex
	all      int
	served   int
	failures map[string]int
}

func (f *firstTries) record(got reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all++
	if got.err == nil && got.status == http.StatusOK {
		f.served++
		return
	}
	f.failures[fmt.Sprint(got.status, got.err != nil)]++
}

// Guards against a router that lost its links to all servers, while callers and the other routers
// still reach it, and that fails its callers instead of using the way of another router.
func TestCallersOfARouterWithoutServersAreServed(t *testing.T) {
	for name, kind := range map[string]cutKind{"hangs": hangs, "resets": resetsAll, "lives on": livesOn} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWith(t, 4, 4, func(f *fleetBed) {
				for _, r := range f.routers[:2] {
					r.link = &serverLink{}
				}
			})
			f.tryAll(time.Now().Add(time.Second))
			for _, r := range f.routers[:2] {
				r.link.setCut(kind)
			}
			f.tryAll(time.Now().Add(stableTime))
			cut, others := f.tryAll(time.Now().Add(3 * time.Second))
			t.Logf("served at the first try: %d of %d at partitioned routers, %d of %d at the others", cut.served, cut.all, others.served, others.all)
			if cut.served*10 < cut.all*9 {
				t.Errorf("want nine tenths at least; failures by status: %v", cut.failures)
			}
			if others.served < others.all {
				t.Errorf("failures at the others by status: %v", others.failures)
			}
		})
	}
}

// tryAll sends requests of each kind through all routers until a time, and returns the first tries at
// the routers with a link and at the others.
func (f *fleetBed) tryAll(until time.Time) (linked, others *firstTries) {
	linked, others = &firstTries{failures: map[string]int{}}, &firstTries{failures: map[string]int{}}
	var callers sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		r := f.routers[i%len(f.routers)]
		group := others
		if r.link != nil {
			group = linked
		}
		path := []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"}[i/len(f.routers)%4]
		callers.Go(func() {
			if path == "/stream/x" || path == "/resume/x" {
				group.record(r.do(r.request("POST", path, "3", platformtest.HeaderPrompt, prompt, platformtest.HeaderModel, "m")))
				return
			}
			group.record(r.do(r.request("POST", path, "x")))
		})
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	return linked, others
}
