package front_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against requests that get no answer, or run with an unknown outcome, because the connections to their servers go
// through another router which is stopped as planned.
func TestPlannedStopOfACarrierCutsNoAnswer(t *testing.T) {
	t.Parallel()
	f := newFleetWith(t, 2, 3, func(f *fleetBed) { f.routers[0].link = &serverLink{} })
	spare := f.addRouter()
	spare.startReady()
	cut, carrier := f.routers[0], f.routers[1]
	for _, e := range f.engines {
		e.SetDelay(100 * time.Millisecond)
	}
	cut.link.setCut(resetsAll)
	f.waitFor("requests go through another router", func() bool {
		return cut.do(cut.request(http.MethodPost, "/unsafe/x", "x")).status == http.StatusOK
	})
	var mu sync.Mutex
	statuses := map[int]int{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 6 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := cut.do(cut.request(http.MethodPost, "/unsafe/x", "x"))
				mu.Lock()
				statuses[got.status]++
				mu.Unlock()
				if got.err != nil {
					t.Errorf("no answer: %v", got.err)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if err := carrier.front.Stop(context.Background()); err != nil {
		t.Errorf("stop: %v", err)
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	callers.Wait()
	t.Logf("answers by status: %v", statuses)
	if statuses[http.StatusBadGateway] > 0 || statuses[http.StatusOK] == 0 {
		t.Errorf("answers by status: %v, want no unknown outcome", statuses)
	}
}
