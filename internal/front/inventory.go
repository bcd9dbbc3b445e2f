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

// settleInterval is the first time between two questions whether other routers have known one version only. It
// doubles up to maxSettleInterval: a router that knows answers the first ones, and after a restart of all none does.
const (
	settleInterval    = 500 * time.Millisecond
	maxSettleInterval = 10 * time.Second
)

// settleVersions asks the other routers whether they have known one version only, until one has or this
// router has run for long enough.
func (f *Front) settleVersions(ctx context.Context) error {
	for wait := settleInterval; !f.state.Settle(); wait = min(2*wait, maxSettleInterval) {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
	return nil
}

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
			prompts := f.queryEngines(ctx)
			f.exchange.MarkSynced()
			f.retellPrompts(ctx, prompts)
		}
	}
	return nil
}

// retellDelay is the time after which the others are told again which engines have prompts cached. The first
// router that is ready may know no other one yet.
const retellDelay = time.Second

func (f *Front) retellPrompts(ctx context.Context, prompts *forward.PromptVersions) {
	timer := time.NewTimer(retellDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		f.state.TellPromptVersions(prompts)
	}
}

// queryEngines asks all engines, records what they have cached and returns which versions have each prompt.
func (f *Front) queryEngines(ctx context.Context) *forward.PromptVersions {
	var wg sync.WaitGroup
	var cachedParts atomic.Int64
	var mu sync.Mutex
	var prompts forward.PromptVersions
	limiter := make(chan struct{}, inventoryCalls)
	engines := f.state.Engines()
	limit := forward.MaxCachedParts / max(len(engines), 1)
	for _, s := range engines {
		wg.Go(func() {
			limiter <- struct{}{}
			defer func() { <-limiter }()
			parts := f.queryEngine(ctx, s)
			mu.Lock()
			prompts.Add(s, parts)
			mu.Unlock()
			cachedParts.Add(int64(f.state.RecordCachedParts(s, parts, limit)))
		})
	}
	wg.Wait()
	f.state.TellPromptVersions(&prompts)
	f.events.Emit(event.InventoryCollected, "engines", len(engines), "holdings", cachedParts.Load())
	return &prompts
}

// queryEngine returns the prompt parts that one engine has cached.
func (f *Front) queryEngine(ctx context.Context, s *registry.Server) []forward.CachedPart {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	parts, err := f.platform.Inventory(ctx, s.Addr)
	if err != nil {
		f.events.Emit(event.InventoryFailed, "server", s.ID, "error", err.Error())
	}
	return parts
}
