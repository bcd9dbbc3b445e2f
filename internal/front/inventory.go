package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// inventoryWait is how long a router waits for another one that knows which
	// servers hold the subjects.
	inventoryWait = 600 * time.Millisecond
	// inventoryTimeout bounds the call to one engine.
	inventoryTimeout = time.Second
	// inventoryCalls is the number of engines that are asked at once.
	inventoryCalls = 4
)

// collectInventory asks the engines what they hold when all routers have started
// anew and none can tell. One router does so; the others ask it.
func (f *Front) collectInventory(ctx context.Context) error {
	tick := time.NewTicker(inventoryWait)
	defer tick.Stop()
	for !f.exchange.Informed() {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if f.tracker.ready() && f.exchange.MustList() {
			f.queryEngines(ctx)
			f.exchange.Listed()
		}
	}
	return nil
}

func (f *Front) queryEngines(ctx context.Context) {
	var wg sync.WaitGroup
	var holdings atomic.Int64
	limiter := make(chan struct{}, inventoryCalls)
	engines := f.state.Engines()
	for _, s := range engines {
		wg.Go(func() {
			limiter <- struct{}{}
			defer func() { <-limiter }()
			holdings.Add(int64(f.queryEngine(ctx, s)))
		})
	}
	wg.Wait()
	f.events.Emit(event.InventoryTaken, "engines", len(engines), "holdings", holdings.Load())
}

// queryEngine notes what one engine holds and returns the number of holdings.
func (f *Front) queryEngine(ctx context.Context, s *registry.Server) int {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	parts, err := f.platform.Inventory(ctx, s.Addr)
	if err != nil {
		f.events.Emit(event.InventoryFailed, "server", s.ID, "error", err.Error())
		return 0
	}
	return f.state.RecordCachedParts(s, parts)
}
