package forward

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// brittleRefusal is the rejection of a server that says it is brittle.
func brittleRefusal() answer {
	return status(http.StatusServiceUnavailable, "busy", "Not-Run", "yes", "Brittle", "3")
}

// Guards against a request that presses one brittle server after the other.
func TestRejectionOfABrittleServerIsFinal(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 3, route: routing.Route{Kind: routing.Safe, MaxAttempts: 3}}, brittleRefusal(), ok("x"))
	if got := b.send(ask{}); got.status != http.StatusServiceUnavailable || len(b.got()) != 1 {
		t.Errorf("status %d after %d requests, want 503 after one", got.status, len(b.got()))
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseOverload})
}

// Guards against a request that is blamed for the fall of a server which says that it is brittle.
func TestFallOfABrittleServerIsNoCrash(t *testing.T) {
	t.Parallel()
	for brittle, blamed := range map[string]bool{"3": false, "": true} {
		b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Unsafe}}, status(http.StatusOK, "x", "Brittle", brittle), raw(""))
		checked := make(chan bool, 1)
		b.state.crashes.ended = func(string) bool { checked <- true; return false }
		b.send(ask{})
		b.send(ask{})
		wait := bedWait
		if !blamed {
			wait = 10 * confirmDelay
		}
		select {
		case <-checked:
			if !blamed {
				t.Error("the end of a brittle server is looked into")
			}
		case <-time.After(wait):
			if blamed {
				t.Error("the end of a server is not looked into")
			}
		}
	}
}

// Guards against requests that are refused although a slot of a brittle server is free in a moment, and against
// more of them at the server than it has slots.
func TestRequestWaitsForASlotOfABrittleServer(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	inside, most := 0, 0
	slow := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		inside++
		most = max(most, inside)
		mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		mu.Lock()
		inside--
		mu.Unlock()
		status(http.StatusOK, "x", "Brittle", "3")(w, r)
	}
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Unsafe}}, status(http.StatusOK, "x", "Brittle", "3"), slow)
	b.servers[0].Slots = 1
	b.state.SetServers(b.servers)
	b.send(ask{})
	var callers sync.WaitGroup
	for range 5 {
		callers.Go(func() {
			if got := b.send(ask{}); got.status != http.StatusOK {
				t.Errorf("status %d, want 200", got.status)
			}
		})
	}
	callers.Wait()
	if most != 1 {
		t.Errorf("%d requests at once at a server with one slot", most)
	}
}
