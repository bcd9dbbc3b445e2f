package forward

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// fakeWay opens connections as a test wants.
type fakeWay struct {
	// err is the result of opening one, after wait.
	err  error
	wait time.Duration

	mu    sync.Mutex
	calls int
}

func (w *fakeWay) open(ctx context.Context) (net.Conn, error) {
	w.mu.Lock()
	w.calls++
	wait, err := w.wait, w.err
	w.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	conn, other := net.Pipe()
	_ = other.Close()
	return conn, nil
}

func (w *fakeWay) set(err error, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err, w.wait = err, wait
}

// taken returns the number of calls since it was last asked.
func (w *fakeWay) taken() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.calls
	w.calls = 0
	return n
}

func (w *fakeWay) dial(ctx context.Context, _, _ string) (net.Conn, error) { return w.open(ctx) }

func (w *fakeWay) Dial(ctx context.Context, _ string, _ ...string) (net.Conn, error) {
	return w.open(ctx)
}

// testPaths plays f with the ways of a router to one server, on a clock of its own.
func testPaths(t *testing.T, f func(t *testing.T, p *paths, own, tunnel *fakeWay)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p, own, tunnel := newPaths(), &fakeWay{}, &fakeWay{}
		p.direct, p.tunnel = own.dial, tunnel
		f(t, p, own, tunnel)
		// What goes on in the background ends within the time to open a connection.
		time.Sleep(2 * dialTimeout)
	})
}

const someAddr = "10.0.0.1:80"

// open opens a connection and returns the error and the time that it took.
func (p *paths) open() (time.Duration, error) {
	begun := time.Now()
	conn, err := p.dial(context.Background(), "tcp", someAddr)
	if err == nil {
		_ = conn.Close()
	}
	return time.Since(begun), err
}

// Guards against other routers that are asked for a server which this one reaches.
func TestOwnWayIsTakenWhileItWorks(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, tunnel *fakeWay) {
		own.wait = directLead - time.Millisecond
		if _, err := p.open(); err != nil || tunnel.taken() != 0 || p.indirect(time.Now(), someAddr) {
			t.Errorf("error %v, or another router was asked", err)
		}
	})
}

// Guards against a server that is given up because this router alone does not reach it.
func TestServerIsReachedThroughAnotherRouter(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		wait   time.Duration
		within time.Duration
	}{
		"refused": {syscall.ECONNREFUSED, 0, 0},
		"hangs":   {syscall.ETIMEDOUT, dialTimeout, directLead},
	} {
		t.Run(name, func(t *testing.T) {
			testPaths(t, func(t *testing.T, p *paths, own, _ *fakeWay) {
				own.set(c.err, c.wait)
				renewed := 0
				p.onChange = func(string) { renewed++ }
				if took, err := p.open(); err != nil || took != c.within {
					t.Errorf("error %v after %v, want a connection after %v", err, took, c.within)
				}
				time.Sleep(dialTimeout)
				own.taken()
				if took, err := p.open(); err != nil || took != 0 {
					t.Errorf("error %v after %v, want the other router at once", err, took)
				}
				synctest.Wait()
				if n := own.taken(); n != 1 {
					t.Errorf("own way tried %d times, want once, in the background", n)
				}
				if renewed != 1 {
					t.Errorf("connections renewed %d times, want once", renewed)
				}
			})
		})
	}
}

// Guards against a router that goes on through another one after its own way is back, and against
// one that tries its own way for each connection meanwhile.
func TestOwnWayIsTakenAgain(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, tunnel *fakeWay) {
		own.set(syscall.ECONNREFUSED, 0)
		if _, err := p.open(); err != nil {
			t.Fatal(err)
		}
		own.taken()
		for range 10 {
			if _, err := p.open(); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if n := own.taken(); n != 1 {
			t.Errorf("own way tried %d times within %v, want once", n, probeInterval)
		}
		own.set(nil, 0)
		time.Sleep(probeInterval)
		renewed := 0
		p.onChange = func(string) { renewed++ }
		if _, err := p.open(); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if renewed != 1 {
			t.Errorf("connections renewed %d times when the own way was back, want once", renewed)
		}
		tunnel.taken()
		if _, err := p.open(); err != nil || tunnel.taken() != 0 {
			t.Errorf("error %v, or another router was asked, want the own way", err)
		}
	})
}

// Guards against a router that asks others again and again for a server that has ended, and whose error
// hides how the server refused it.
func TestEndedServerIsAskedForRarely(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, tunnel *fakeWay) {
		own.set(syscall.ECONNREFUSED, 0)
		tunnel.set(errors.New("refused there as well"), 0)
		for range 5 {
			if _, err := p.open(); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("error %v, want that of the own way", err)
			}
		}
		if n := tunnel.taken(); n != 1 {
			t.Errorf("another router was asked %d times, want once", n)
		}
		time.Sleep(tunnelPause)
		if _, err := p.open(); err == nil || tunnel.taken() != 1 {
			t.Errorf("error %v, or no other router was asked after %v", err, tunnelPause)
		}
	})
}

// Guards against a server that ends while it is reached through another router, and is asked for there with
// each request from then on.
func TestServerThatEndsBehindAnotherRouterIsAskedForRarely(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, tunnel *fakeWay) {
		own.set(syscall.ECONNREFUSED, 0)
		if _, err := p.open(); err != nil {
			t.Fatal(err)
		}
		tunnel.taken()
		tunnel.set(errors.New("refused there as well"), 0)
		for range 5 {
			if _, err := p.open(); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("error %v, want that of the own way", err)
			}
			synctest.Wait()
		}
		if n := tunnel.taken(); n != 1 {
			t.Errorf("another router was asked %d times, want once", n)
		}
	})
}

// Guards against an own way that is not waited for when no other router helps, and against a wait
// without end.
func TestOwnWayIsWaitedForWhenNobodyHelps(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, tunnel *fakeWay) {
		own.set(nil, 2*directLead)
		tunnel.set(errors.New("not reached"), 0)
		if took, err := p.open(); err != nil || took != 2*directLead {
			t.Errorf("error %v after %v, want the own way after %v", err, took, 2*directLead)
		}
		own.set(syscall.ETIMEDOUT, dialTimeout)
		tunnel.set(nil, time.Hour)
		time.Sleep(tunnelPause)
		if took, err := p.open(); err == nil || took > directLead+dialTimeout {
			t.Errorf("error %v after %v, want one after %v at most", err, took, directLead+dialTimeout)
		}
	})
}

// Guards against connections that pass through two other routers, or wait for one that does not reach the
// server itself.
func TestNoConnectionPassesTwoRouters(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, tunnel *fakeWay) {
		own.set(syscall.ETIMEDOUT, dialTimeout)
		if _, err := p.open(); err != nil {
			t.Fatal(err)
		}
		tunnel.taken()
		if _, err := p.dialDirect(context.Background(), "tcp", someAddr); !errors.Is(err, errIndirect) || tunnel.taken() != 0 {
			t.Errorf("error %v, want %v and no other router asked", err, errIndirect)
		}
		time.Sleep(dialTimeout)
	})
}

// Guards against a server that counts as ended, and its requests as the cause, because this router has
// lost its link to it.
func TestServerThatAnotherRouterReachesHasNotEnded(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, tunnel *fakeWay) {
		own.set(syscall.ECONNREFUSED, 0)
		if p.refuses(someAddr) {
			t.Error("a server that another router reaches counts as ended")
		}
		tunnel.set(errors.New("refused there as well"), 0)
		if !p.refuses(someAddr) {
			t.Error("a server that refuses both does not count as ended")
		}
	})
}

// Guards against an address that is used again and reached through another router because of the server
// that had it before.
func TestWaysToServersThatAreGoneAreForgotten(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, _ *fakeWay) {
		own.set(syscall.ECONNREFUSED, 0)
		if _, err := p.open(); err != nil {
			t.Fatal(err)
		}
		p.forget(func(addr string) bool { return addr != someAddr })
		if !p.indirect(time.Now(), someAddr) {
			t.Error("the way to a server that is still there was forgotten")
		}
		p.forget(func(addr string) bool { return addr == someAddr })
		if p.indirect(time.Now(), someAddr) {
			t.Error("the way to a server that is gone is remembered")
		}
	})
}
