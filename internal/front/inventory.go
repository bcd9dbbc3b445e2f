package front

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
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
// anew and none can tell. One router does so and tells the others.
func (f *Front) takeInventory(ctx context.Context) error {
	tick := time.NewTicker(inventoryWait)
	defer tick.Stop()
	for !f.exchange.Informed() {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if f.belief.ready() && f.exchange.MustList() {
			f.exchange.Listed(f.askEngines(ctx))
		}
	}
	return nil
}

func (f *Front) askEngines(ctx context.Context) []digest.Holding {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []digest.Holding
	gate := make(chan struct{}, inventoryCalls)
	engines := f.world.Engines()
	for _, s := range engines {
		wg.Go(func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			list := f.askEngine(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, list...)
		})
	}
	wg.Wait()
	f.events.Emit(event.InventoryTaken, "engines", len(engines), "holdings", len(all))
	return all
}

func (f *Front) askEngine(ctx context.Context, s *registry.Server) []digest.Holding {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	parts, err := f.platform.Inventory(ctx, s.Addr)
	if err != nil {
		f.events.Emit(event.InventoryFailed, "server", s.ID, "error", err.Error())
		return nil
	}
	return f.world.LearnKept(s, parts)
}
