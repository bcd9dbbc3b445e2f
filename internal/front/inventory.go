package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
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
// routers have restarted and none has this information. The router that claims it does so, and
// the others get the result from it.
func (f *Front) collectInventory(ctx context.Context) error {
	tick := time.NewTicker(inventoryCheck)
	defer tick.Stop()
	claimer := newInventoryClaimer(f.platform.Memory, inventoryKey, f.events)
	random := rand.Float64()
	for !f.exchange.Synced() {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			ready := f.tracker.readyFor(now)
			if ready > inventoryGiveUp {
				return nil
			}
			if ready == 0 || ready < inventoryDelay(f.exchange.LivePeerCount(), f.exchange.RoutersBefore(), random) {
				continue
			}
		}
		if f.exchange.PlacementsLost() && claimer.claim(ctx, time.Now()) {
			prompts := f.queryEngines(ctx)
			f.exchange.MarkSynced()
			told := f.heardRouters()
			f.state.TellPromptVersions(prompts)
			f.repeatPrompts(ctx, prompts, told)
		}
	}
	return nil
}

const (
	// restartCheck is the time between two checks whether most other routers have restarted. Callers take streams up
	// about a second after the routers are back.
	restartCheck = 100 * time.Millisecond
	// maxSurvivors is the number of survivors that may write the claim to ask the engines, and survivorStep the time by which
	// each waits longer than the one before it. When the store rejects 35 % of the routers, it rejects all eight in 1 of 4,000
	// kills. In a large fleet further survivors would only add calls to the store.
	maxSurvivors = 8
	survivorStep = 500 * time.Millisecond
	// survivorSettle is how much longer a survivor waits when the others do not send it their loads. It hears of the survivors
	// before it by their probes of restarted routers, which they send at the interval of the loads.
	survivorSettle = 250 * time.Millisecond
)

// survivorDelay returns how long a survivor waits before it writes the claim. before is the number of survivors with a lower address.
func survivorDelay(before int, hearsLoads bool) time.Duration {
	delay := time.Duration(before) * survivorStep
	if !hearsLoads {
		delay += survivorSettle
	}
	return delay
}

// watchRestarts asks the engines which versions have prompts cached when most of the other routers were killed while
// several versions may serve. The others get the placements from the survivors, but only routers that relayed a stream or were
// told of it knew which version began it. A claim in the store lets one survivor ask. Unless that one tells the others that it
// has asked, another one claims after claimHold, since the first may have ended. At most maxClaims survivors ask.
func (f *Front) watchRestarts(ctx context.Context) error {
	tick := time.NewTicker(restartCheck)
	defer tick.Stop()
	var claimer *inventoryClaimer
	var since time.Time
	settled := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			most, before := f.exchange.MostRestarted()
			if !most || !f.exchange.Synced() || !f.state.VersionsUncertain() {
				claimer, settled = nil, false
				f.versionsPending.Store(false)
				continue
			}
			if claimer == nil {
				claimer, since = newInventoryClaimer(f.platform.Memory, versionsKey, f.events), now
			}
			settled = settled || f.exchange.VersionsAsked()
			f.versionsPending.Store(!settled)
			if settled || before >= maxSurvivors || now.Sub(since) < survivorDelay(before, f.exchange.HearsLoads()) {
				continue
			}
			if claimer.claim(ctx, now) {
				f.askVersions(ctx)
				settled = true
			}
		}
	}
}

// askVersions asks the engines which versions have prompts cached and tells the other routers. When no engine answers, as at a
// router that is cut off from them, another survivor has to ask. The mark that it has asked goes out before the versions: a second
// survivor that asks as well could tell the others another version of the same stream.
func (f *Front) askVersions(ctx context.Context) {
	prompts, answered := f.queryVersions(ctx)
	if answered > 0 {
		f.exchange.MarkVersionsAsked()
	}
	told := f.heardRouters()
	f.state.TellPromptVersions(prompts)
	f.versionsPending.Store(false)
	f.repeatPrompts(ctx, prompts, told)
}

const (
	// tellFor is how long a router that has asked the engines tells routers that it discovers meanwhile which
	// versions have prompts cached. It may have known nobody when it asked.
	tellFor = 3 * time.Second
	// tellInterval is the time between two checks for new routers. They are told when no further one has come in it.
	tellInterval = 100 * time.Millisecond
)

// heardRouters has the number of other routers that are live, and of processes of other routers that were heard so far. The
// latter grows when a router restarts.
type heardRouters struct{ live, processes int }

func (f *Front) heardRouters() heardRouters {
	return heardRouters{f.exchange.LivePeerCount(), f.exchange.Discovered()}
}

// repeatPrompts tells the others once more which versions have prompts cached when the heard routers differ from told, those of
// the first time. A killed router counts as live for a while, and has to be told when it is back.
func (f *Front) repeatPrompts(ctx context.Context, prompts *forward.PromptVersions, told heardRouters) {
	tick := time.NewTicker(tellInterval)
	defer tick.Stop()
	known := told
	for range tellFor / tellInterval {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		before := known
		known = f.heardRouters()
		if known == before && known != told {
			told = known
			f.state.TellPromptVersions(prompts)
		}
	}
}

// queryEngines asks all engines, records what they have cached and returns which versions have each prompt.
func (f *Front) queryEngines(ctx context.Context) *forward.PromptVersions {
	var prompts forward.PromptVersions
	cachedParts := 0
	engines := f.state.Engines()
	limit := forward.MaxCachedParts / max(len(engines), 1)
	f.queryAll(ctx, engines, func(s *registry.Server, parts []forward.CachedPart) {
		prompts.Add(s, parts)
		cachedParts += f.state.RecordCachedParts(s, parts, limit)
	})
	f.events.Emit(event.InventoryCollected, "engines", len(engines), "holdings", cachedParts)
	return &prompts
}

// queryVersions asks all engines, also ejected ones, which may have begun streams all the same, and returns which versions
// have each prompt and how many engines have answered. The placements that this router knows stay as they are.
func (f *Front) queryVersions(ctx context.Context) (prompts *forward.PromptVersions, answered int) {
	prompts = &forward.PromptVersions{}
	engines := f.state.AllEngines()
	answered = f.queryAll(ctx, engines, prompts.Add)
	f.events.Emit(event.VersionsCollected, "engines", len(engines))
	return prompts, answered
}

// queryAll asks engines for the prompt parts that they have cached, and calls record with the parts of one engine at a time. It
// returns how many have answered.
func (f *Front) queryAll(ctx context.Context, engines []*registry.Server, record func(s *registry.Server, parts []forward.CachedPart)) (answered int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	limiter := make(chan struct{}, inventoryCalls)
	for _, s := range engines {
		wg.Go(func() {
			limiter <- struct{}{}
			defer func() { <-limiter }()
			parts, ok := f.queryEngine(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			record(s, parts)
			if ok {
				answered++
			}
		})
	}
	wg.Wait()
	return answered
}

// queryEngine returns the prompt parts that one engine has cached, and whether it has answered.
func (f *Front) queryEngine(ctx context.Context, s *registry.Server) (parts []forward.CachedPart, answered bool) {
	if !f.state.KnowsServer(s.Addr) {
		// Its data centre was evacuated while other engines were asked.
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	parts, err := f.platform.Inventory(ctx, s.Addr)
	if err != nil {
		f.events.Emit(event.InventoryFailed, "server", s.ID, "error", err.Error())
	}
	return parts, err == nil
}
