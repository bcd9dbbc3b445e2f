package retrybudget

import (
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed"
)

var limits = Limits{Ratio: 0.2, Window: 10 * time.Second, Extra: 54}

// Guards against routers that together send more retries in a window than the
// fleet's limit.
func TestFleetKeepsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 10
		budgets := make([]*Budget, routers)
		for i := range budgets {
			budgets[i] = New(limits, NewFleet())
		}
		type sent struct {
			at    time.Duration
			retry bool
		}
		var all []sent
		now := time.Unix(1000, 0)
		for at := time.Duration(0); at < 30*time.Second; at += 50 * time.Millisecond {
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
				b.RecordRequest(now.Add(at))
				all = append(all, sent{at, false})
				if rapid.IntRange(0, 3).Draw(t, "fails") > 0 && b.AllowRetry(now.Add(at)) {
					all = append(all, sent{at, true})
				}
			}
		}
		for end := limits.Window; end <= 30*time.Second; end += time.Second {
			requests, retries := 0, 0
			for _, s := range all {
				if s.at <= end-limits.Window || s.at > end {
					continue
				}
				if s.retry {
					retries++
				} else {
					requests++
				}
			}
			if maxRetries := limits.Ratio*float64(requests) + limits.Extra; float64(retries) > maxRetries {
				t.Fatalf("%d retries for %d requests, want at most %.1f", retries, requests, maxRetries)
			}
		}
	})
}

// Guards against a large fleet whose routers together exceed the fixed extra: each of
// 66 routers took a twenty-fourth of it, also those that had just restarted.
func TestLargeFleetSharesTheExtra(t *testing.T) {
	for _, routers := range []int{1, 24, 60, 340} {
		retries := 0
		for range routers {
			b := New(Limits{Ratio: 0.2, Window: 10 * time.Second, Extra: 400}, fleetOf(routers))
			for b.AllowRetry(time.Unix(1000, 0)) {
				retries++
			}
		}
		if retries > 400 {
			t.Errorf("%d routers allowed %d retries without a request, want at most 400", routers, retries)
		}
	}
}

// Guards against a budget that stays exhausted.
func TestBudgetRefillsAfterTheWindow(t *testing.T) {
	b := New(limits, NewFleet())
	now := time.Unix(1000, 0)
	for b.AllowRetry(now) {
		continue
	}
	if b.AllowRetry(now.Add(limits.Window / 2)) {
		t.Error("an exhausted budget allowed a retry within the window")
	}
	if !b.AllowRetry(now.Add(limits.Window + time.Second)) {
		t.Error("no retry after the window")
	}
}

// Guards against a retry that is forgotten before a whole window has passed since.
func TestRetriesCountForAWholeWindow(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 10 * time.Millisecond {
		b := New(limits, NewFleet())
		begun := time.Unix(1000, 0)
		b.RecordRequest(begun)
		spent := begun.Add(phase)
		for b.AllowRetry(spent) {
			continue
		}
		if b.AllowRetry(spent.Add(limits.Window - time.Millisecond)) {
			t.Fatalf("a retry %v into a second is forgotten within the window", phase)
		}
	}
}

// Guards against a budget that does not grow with its requests, or allows a retry of which
// only a part is left.
func TestRequestsEarnWholeRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Limits{Ratio: 0.2, Window: 10 * time.Second}, NewFleet())
	for range 99 {
		b.RecordRequest(now)
	}
	allowed := 0
	for b.AllowRetry(now) {
		allowed++
	}
	// Three quarters of the ratio of 99 requests are 14.85.
	if allowed != 14 {
		t.Errorf("%d retries for 99 requests, want 14", allowed)
	}
}

// Guards against routers that together exceed the extra because some of them are not known
// to the others yet.
func TestExtraAllowsForUnknownRouters(t *testing.T) {
	b := New(Limits{Window: 10 * time.Second, Extra: 250}, fleetOf(100))
	if got := b.Remaining(time.Unix(1000, 0)); got != 2 {
		t.Errorf("%v retries for one of 100 routers, want 2: a share for 125", got)
	}
}

// Guards against a budget that is lost when the clock goes back, and against one that begins
// anew with each change of the limits, or counts by the buckets of another window.
func TestCountsOutliveClocksAndLimitsOfTheSameWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := Limits{Ratio: 1, Window: 10 * time.Second}
	b := New(limits, NewFleet())
	for range 10 {
		b.RecordRequest(now)
	}
	want := b.Remaining(now)
	b.RecordRequest(now.Add(-5 * time.Second))
	if got := b.Remaining(now); got <= want {
		t.Errorf("%v retries after the clock went back, want more than %v", got, want)
	}
	want = b.Remaining(now)
	limits.Extra = 24
	b.SetLimits(limits)
	if got := b.Remaining(now); got != want+1 {
		t.Errorf("%v retries with one more of the extra, want %v", got, want+1)
	}
	limits.Window = time.Hour
	b.SetLimits(limits)
	if got := b.Remaining(now); got != 1 {
		t.Errorf("%v retries in a window of another length, want 1", got)
	}
}

// stepped returns t as it is read after a jump of the time of day: the monotonic clock goes on.
func stepped(t *testing.T, at time.Time, jump time.Duration) time.Time {
	t.Helper()
	got := at
	// A time with a monotonic reading has its seconds above 30 bits of nanoseconds.
	*(*uint64)(unsafe.Pointer(&got)) += uint64(jump/time.Second) << 30
	if got.Sub(at) != 0 || got.Round(0).Sub(at.Round(0)) != jump {
		t.Fatalf("%v is not %v after a jump of %v", got, at, jump)
	}
	return got
}

// Guards against a budget that is allowed again when the time of day jumps forward.
func TestBudgetIgnoresTheTimeOfDay(t *testing.T) {
	b := New(limits, NewFleet())
	now := time.Now()
	for b.AllowRetry(now) {
		continue
	}
	if b.AllowRetry(stepped(t, now, 2*limits.Window)) {
		t.Error("an exhausted budget allowed a retry after a jump of the clock")
	}
	if !b.AllowRetry(stepped(t, now.Add(limits.Window+time.Second), -2*limits.Window)) {
		t.Error("no retry a window later, the clock having jumped back")
	}
}

// Guards against a crash without a window.
func TestBudgetWithoutAWindow(t *testing.T) {
	b := New(Limits{Extra: 24}, NewFleet())
	if now := time.Unix(1000, 0); !b.AllowRetry(now) || b.AllowRetry(now) {
		t.Error("want one retry of the extra")
	}
}
