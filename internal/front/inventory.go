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

// takeInventory asks the engines what they hold when all routers have started
// anew and none can tell. One router does so; the others ask it.
func (f *Front) takeInventory(ctx context.Context) error {
	tick := time.NewTicker(inventoryWait)
	defer tick.Stop()
	for !f.exchange.Synced() {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if f.belief.ready() && f.exchange.ShouldQueryServers() {
			f.askEngines(ctx)
			f.exchange.MarkSynced()
		}
	}
	return nil
}

func (f *Front) askEngines(ctx context.Context) {
	var wg sync.WaitGroup
	var holdings atomic.Int64
	gate := make(chan struct{}, inventoryCalls)
	engines := f.world.Engines()
	for _, s := range engines {
		wg.Go(func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			holdings.Add(int64(f.askEngine(ctx, s)))
		})
	}
	wg.Wait()
	f.events.Emit(event.InventoryTaken, "engines", len(engines), "holdings", holdings.Load())
}

// askEngine notes what one engine holds and returns the number of holdings.
func (f *Front) askEngine(ctx context.Context, s *registry.Server) int {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	parts, err := f.platform.Inventory(ctx, s.Addr)
	if err != nil {
		f.events.Emit(event.InventoryFailed, "server", s.ID, "error", err.Error())
		return 0
	}
	return f.world.LearnKept(s, parts)
}
