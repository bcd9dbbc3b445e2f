package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// inventoryWait is how long a ready router waits for the digest of another one
	// that has the placements before it asks the engines. It waits up to
	// inventoryJitter longer, so that of several routers that start together and have
	// not heard of each other one is the first.
	inventoryWait   = 100 * time.Millisecond
	inventoryJitter = 150 * time.Millisecond
	// inventoryCheck is the time between two checks whether to ask the engines.
	inventoryCheck = 10 * time.Millisecond
	// inventoryTimeout bounds the call to one engine.
	inventoryTimeout = time.Second
	// inventoryCalls bounds the number of concurrent calls to engines.
	inventoryCalls = 4
)

// collectInventory asks the engines which prompt parts they have cached, when all
// routers have restarted and none has this information. One router does so, and
// the others get the result from it.
func (f *Front) collectInventory(ctx context.Context) error {
	tick := time.NewTicker(inventoryCheck)
	defer tick.Stop()
	wait := inventoryWait + rand.N(inventoryJitter)
	for !f.exchange.Synced() {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			if f.tracker.readyFor(now) < wait {
				continue
			}
		}
		if f.exchange.ShouldQueryServers() {
			f.queryEngines(ctx)
			f.exchange.MarkSynced()
		}
	}
	return nil
}

func (f *Front) queryEngines(ctx context.Context) {
	var wg sync.WaitGroup
	var cachedParts atomic.Int64
	limiter := make(chan struct{}, inventoryCalls)
	engines := f.state.Engines()
	limit := forward.MaxCachedParts / max(len(engines), 1)
	for _, s := range engines {
		wg.Go(func() {
			limiter <- struct{}{}
			defer func() { <-limiter }()
			cachedParts.Add(int64(f.queryEngine(ctx, s, limit)))
		})
	}
	wg.Wait()
	f.events.Emit(event.InventoryCollected, "engines", len(engines), "holdings", cachedParts.Load())
}

// queryEngine records the largest prompt parts that one engine has cached, at most
// limit, and returns their number.
func (f *Front) queryEngine(ctx context.Context, s *registry.Server, limit int) int {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	parts, err := f.platform.Inventory(ctx, s.Addr)
	if err != nil {
		f.events.Emit(event.InventoryFailed, "server", s.ID, "error", err.Error())
		return 0
	}
	return f.state.RecordCachedParts(s, parts, limit)
}
