package front

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

// After a restart of all routers one of them asks the engines what they have cached. Routers that know each other leave
// it to the one with the lowest address, but after such a restart most know nobody for a while, and some may never do:
// the seeds may start later or be gone. So the one that asks first writes a claim to the store, on the condition that
// nobody else has done so.

const (
	// inventoryKey and versionsKey are the keys of the claims in the store: of the inventory, and of the question which
	// versions have prompts cached.
	inventoryKey = "inventory-claim"
	versionsKey  = "versions-claim"
	// inventoryWait is how long a ready router waits for the digest of another one that has the placements before it
	// claims the inventory, and inventoryJitter by how much that varies.
	inventoryWait   = 100 * time.Millisecond
	inventoryJitter = 150 * time.Millisecond
	// aloneJitter replaces inventoryJitter at a router that has heard no other one. The latest router claims 0.2 s before it
	// no longer counts on the placements (placementsWait), so that it has them by then.
	aloneJitter = 700 * time.Millisecond
	// inventoryStep is the time by which a router waits longer than one that has half as many before it.
	inventoryStep = 400 * time.Millisecond
	// inventoryGiveUp is how long after it has become ready a router claims the inventory at the latest. Requests have
	// then shown most of what an inventory tells.
	inventoryGiveUp = 5 * time.Second
	// claimWindow is how long a claim belongs to the same restart. VMs' clocks differ by some seconds at most, and all
	// claims of a restart are made within inventoryGiveUp.
	claimWindow = 10 * time.Second
	// claimHold is how long a router leaves it to the one that has claimed the inventory. That one may have ended.
	claimHold = 1500 * time.Millisecond
	// maxClaims bounds the claims of one restart.
	maxClaims = 2
	// claimTimeout bounds one call to the store. A failed claim is repeated after minClaimRetry, which doubles.
	claimTimeout  = time.Second
	minClaimRetry = 250 * time.Millisecond
)

// inventoryDelay returns how long a ready router waits before it claims the inventory, with the number of live routers
// that it has heard and of those before it, and a random number from 0 to 1 that stays the same. Of many routers that
// have heard nobody a few are early and the others late, without knowing how many there are: the first one claims and
// the others hear of it, or of each other, before they call the store.
func inventoryDelay(heard, before int, random float64) time.Duration {
	if heard == 0 {
		return inventoryWait + time.Duration(float64(aloneJitter)*math.Cbrt(random))
	}
	return inventoryWait + time.Duration(float64(inventoryJitter)*random) + time.Duration(float64(inventoryStep)*math.Log2(float64(1+before)))
}

// inventoryClaim is the value of such a key.
type inventoryClaim struct {
	// WrittenAt is the time of day in Unix milliseconds.
	WrittenAt int64 `json:"written_at_ms"`
	// Router identifies the process that asks the engines.
	Router uint64 `json:"router,string"`
	// Number counts the claims of one restart from 1.
	Number int `json:"number"`
}

// ofThisRestart reports whether the claim was written shortly before or after a time of day.
func (c inventoryClaim) ofThisRestart(now time.Time) bool {
	return c.Number > 0 && now.Sub(time.UnixMilli(c.WrittenAt)).Abs() < claimWindow
}

// inventoryClaimer claims for one router what only one is to do. One goroutine owns it.
type inventoryClaimer struct {
	memory Memory
	key    string
	events *event.Logger
	router uint64
	// seen is the newest claim of another router, and seenAt when this one has first read it.
	seen   inventoryClaim
	seenAt time.Time
	// nextCall is the earliest time of the next call to the store, and retry the wait after the next failed call.
	nextCall time.Time
	retry    time.Duration
}

func newInventoryClaimer(memory Memory, key string, events *event.Logger) *inventoryClaimer {
	return &inventoryClaimer{memory: memory, key: key, events: events, router: rand.Uint64(), retry: minClaimRetry}
}

// claim tries to claim the inventory and reports whether this router has it. It makes no call while another router has.
func (c *inventoryClaimer) claim(ctx context.Context, now time.Time) bool {
	if now.Before(c.nextCall) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claimed, err := c.tryClaim(ctx, now)
	if err != nil {
		c.events.Emit(event.InventoryNotClaimed, "error", err.Error())
		c.nextCall = now.Add(c.retry)
		c.retry *= 2
	}
	return claimed
}

func (c *inventoryClaimer) tryClaim(ctx context.Context, now time.Time) (bool, error) {
	value, end, err := c.memory.Read(ctx, c.key)
	if err != nil {
		return false, err
	}
	newest := decodeClaim(value)
	number := 1
	if newest.ofThisRestart(now) {
		if newest.Router == c.router {
			// A write whose answer was lost.
			return true, nil
		}
		if c.leaveTo(newest, now) {
			return false, nil
		}
		number = newest.Number + 1
	}
	own, err := json.Marshal(inventoryClaim{WrittenAt: now.UnixMilli(), Router: c.router, Number: number})
	if err != nil {
		return false, eris.Wrap(err, "cannot encode the claim")
	}
	written, err := c.memory.WriteAt(ctx, c.key, own, end)
	if err == nil && !written {
		// Another router has been first.
		c.nextCall = now.Add(claimHold)
	}
	return written, err
}

// leaveTo reports whether the inventory is left to the router that wrote a claim, and when to look again.
func (c *inventoryClaimer) leaveTo(claim inventoryClaim, now time.Time) bool {
	if c.seen != claim {
		c.seen, c.seenAt = claim, now
	}
	c.nextCall = c.seenAt.Add(claimHold)
	if claim.Number >= maxClaims {
		c.nextCall = now.Add(claimWindow)
		return true
	}
	return now.Before(c.nextCall)
}

// decodeClaim returns no claim for a value that is none.
func decodeClaim(value []byte) (c inventoryClaim) {
	if json.Unmarshal(value, &c) != nil {
		return inventoryClaim{}
	}
	return c
}
