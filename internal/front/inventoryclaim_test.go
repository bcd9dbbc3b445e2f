package front

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

// fakeMemory is a memory with one key.
type fakeMemory struct {
	value  []byte
	end    int64
	reads  int
	writes int
	err    error
	// loseAnswers makes writes happen and return an error.
	loseAnswers bool
}

func (m *fakeMemory) Read(context.Context, string) ([]byte, int64, error) {
	m.reads++
	return m.value, m.end, m.err
}

func (m *fakeMemory) Write(_ context.Context, _ string, value []byte) error {
	m.value, m.end = value, m.end+1
	return m.err
}

func (m *fakeMemory) WriteAt(ctx context.Context, key string, value []byte, end int64) (bool, error) {
	if m.err != nil || end != m.end {
		return false, m.err
	}
	m.writes++
	_ = m.Write(ctx, key, value)
	if m.loseAnswers {
		return false, errors.New("answer lost")
	}
	return true, nil
}

var claimStart = time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)

func newTestClaimer(m Memory) *inventoryClaimer {
	return newInventoryClaimer(m, inventoryKey, event.NewLogger(hclog.NewNullLogger()))
}

// claimsWithin lets routers that never hear each other try to claim every 10 ms, and returns how many of them did.
func claimsWithin(routers []*inventoryClaimer, start time.Time, duration time.Duration) int {
	claims := 0
	for now := start; now.Before(start.Add(duration)); now = now.Add(10 * time.Millisecond) {
		for _, r := range routers {
			if r != nil && r.claim(context.Background(), now) {
				claims++
			}
		}
	}
	return claims
}

// Guards against a fleet of any size in which more than two routers ask the engines after one restart, because they
// never hear each other, and against calls to the store that go on.
func TestRoutersThatNeverHearEachOtherClaimTwice(t *testing.T) {
	for _, n := range []int{1, 7, 60, 195, 340} {
		m := &fakeMemory{}
		var routers []*inventoryClaimer
		for range n {
			routers = append(routers, newTestClaimer(m))
		}
		claims := 0
		for now := claimStart; now.Before(claimStart.Add(inventoryGiveUp)); now = now.Add(10 * time.Millisecond) {
			for i, r := range routers {
				// A router that has claimed does not try again.
				if r != nil && r.claim(context.Background(), now) {
					claims++
					routers[i] = nil
				}
			}
		}
		if want := min(n, maxClaims); claims != want || m.reads > 3*n {
			t.Errorf("%d routers: %d claims with %d reads, want %d claims with %d reads at most", n, claims, m.reads, want, 3*n)
		}
	}
}

// Guards against a restart of all in which nobody asks the engines because of the claims of an earlier one.
func TestEachRestartHasItsClaim(t *testing.T) {
	m := &fakeMemory{}
	for restart := range 3 {
		start := claimStart.Add(time.Duration(restart) * (claimWindow + time.Second))
		if claims := claimsWithin([]*inventoryClaimer{newTestClaimer(m)}, start, 10*time.Millisecond); claims != 1 {
			t.Fatalf("restart %d: %d claims, want 1", restart, claims)
		}
	}
}

// Guards against claims that two routers hold because the clock of one VM is seconds ahead or behind.
func TestClaimHoldsOnVMsWhoseClocksDiffer(t *testing.T) {
	for _, skew := range []time.Duration{-8 * time.Second, -time.Second, time.Second, 8 * time.Second} {
		m := &fakeMemory{}
		first, second := newTestClaimer(m), newTestClaimer(m)
		if !first.claim(context.Background(), claimStart) {
			t.Fatal("the first router has no claim")
		}
		if second.claim(context.Background(), claimStart.Add(skew+100*time.Millisecond)) {
			t.Errorf("two routers have the claim with clocks %s apart", skew)
		}
	}
}

// Guards against a router that leaves the inventory to nobody: its own write happened and the answer was lost.
func TestClaimWhoseAnswerWasLostIsFoundAgain(t *testing.T) {
	m := &fakeMemory{loseAnswers: true}
	if claims := claimsWithin([]*inventoryClaimer{newTestClaimer(m)}, claimStart, 2*minClaimRetry); claims == 0 {
		t.Error("the router does not know its own claim")
	}
}

// Guards against routers that press a store which does not answer.
func TestClaimBacksOffWhileTheStoreFails(t *testing.T) {
	m := &fakeMemory{err: errors.New("status 503")}
	claimsWithin([]*inventoryClaimer{newTestClaimer(m)}, claimStart, inventoryGiveUp)
	if m.reads > 6 {
		t.Errorf("%d calls in %s, want at most 6", m.reads, inventoryGiveUp)
	}
}

// Guards against large fleets in which many routers call the store before the first one is heard, and against small
// ones whose inventory comes after they have stopped counting on it.
func TestDelayOfTheInventoryFitsFleetsOfAnySize(t *testing.T) {
	const soon = inventoryWait + 250*time.Millisecond
	early := 0
	for i := range 195 {
		if inventoryDelay(0, 0, float64(i)/195) < soon {
			early++
		}
	}
	if early == 0 || early > 10 {
		t.Errorf("%d of 195 routers that know nobody claim within %s, want 1 to 10", early, soon)
	}
	// The claim and the engines' answers take time as well.
	const latest = placementsWait - 200*time.Millisecond
	if d := inventoryDelay(0, 0, 1); d > latest {
		t.Errorf("a router alone waits %s, want at most %s", d, latest)
	}
	if d := inventoryDelay(194, 194, 1); d >= inventoryGiveUp {
		t.Errorf("the last of 195 routers waits %s and never claims", d)
	}
}
