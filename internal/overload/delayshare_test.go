package overload_test

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/overload"
)

const shareObjective = 150 * time.Millisecond

var shareStart = time.Unix(1_700_000_000, 0)

// shareBed drives a DelayShare of one of 70 routers that send to 6 slots.
type shareBed struct {
	t     *testing.T
	share *overload.DelayShare
	now   time.Time
}

func newShareBed(t *testing.T) *shareBed {
	b := &shareBed{t: t, share: overload.NewDelayShare(), now: shareStart}
	b.share.SetFleet(6, 70)
	return b
}

// timesOf returns the times of 40 served requests that took a mean of d each, with the number of them at the servers.
func timesOf(d time.Duration, inUse float64) overload.Times {
	return overload.Times{Served: 40, Objectives: 40 * d.Seconds() / shareObjective.Seconds(), InUse: inUse}
}

// totals passes intervals in which totals arrive.
func (b *shareBed) totals(intervals int, t overload.Times) {
	for range intervals {
		b.now = b.now.Add(250 * time.Millisecond)
		b.share.SetTotals(b.now, t)
	}
}

func (b *shareBed) value() float64 { return b.share.Status(b.now).Share }

// overloaded lowers the share to about a half and keeps it there.
func overloaded(t *testing.T) *shareBed {
	b := newShareBed(t)
	for b.totals(1, timesOf(180*time.Millisecond, 30)); b.value() > 0.5; b.totals(1, timesOf(180*time.Millisecond, 30)) {
		if b.now.Sub(shareStart) > 10*time.Second {
			t.Fatalf("share %.2f after 10 s of times at twice the target", b.value())
		}
	}
	return b
}

func shareRequest(workspace string, priority int) overload.ShareRequest {
	return overload.ShareRequest{Workspace: workspace, Route: "r", Priority: priority, Objective: shareObjective, Remaining: 1500 * time.Millisecond}
}

// send sends requests in turn, a few each interval, and returns how many of each are admitted.
func (b *shareBed) send(rounds int, reqs ...overload.ShareRequest) []int {
	admitted := make([]int, len(reqs))
	for range rounds {
		b.now = b.now.Add(100 * time.Millisecond)
		b.share.SetTotals(b.now, timesOf(90*time.Millisecond, 18))
		for i := range reqs {
			if b.share.Admit(b.now, &reqs[i]).Admitted {
				admitted[i]++
			}
		}
	}
	return admitted
}

// Guards against a pool that is not overloaded and whose requests are rejected, and a share that does not come back to 1.
func TestShareIsOneWhileTheMeanIsWithinTheTarget(t *testing.T) {
	b := newShareBed(t)
	b.totals(40, timesOf(89*time.Millisecond, 18))
	if got := b.value(); got != 1 {
		t.Errorf("share %.3f below the target, want 1", got)
	}
	b = overloaded(t)
	b.totals(80, timesOf(40*time.Millisecond, 6))
	if got := b.value(); got != 1 {
		t.Errorf("share %.3f after the overload, want 1", got)
	}
}

// Guards against a share that changes with each of the totals that several readers send, or swings.
func TestShareChangesByATenthOfTheDifference(t *testing.T) {
	b := newShareBed(t)
	b.totals(1, timesOf(135*time.Millisecond, 25))
	if got := b.value(); got < 0.949 || got > 0.951 {
		t.Errorf("share %.3f after one interval at 1.5 times the target, want 0.95", got)
	}
	for range 5 {
		b.now = b.now.Add(5 * time.Millisecond)
		b.share.SetTotals(b.now, timesOf(135*time.Millisecond, 25))
	}
	if got := b.value(); got < 0.949 {
		t.Errorf("share %.3f after totals of several readers, want 0.95", got)
	}
	b.totals(200, timesOf(10*time.Second, 300))
	if got := b.value(); got != 0.05 {
		t.Errorf("share %.3f, want at least 0.05, so that some requests show how long they take", got)
	}
}

// Guards against a router that was restarted or frozen and sends all its requests while the others send few, and against
// a share that follows the chance of few requests.
func TestNoRouterStaysAheadOfTheOthers(t *testing.T) {
	b := newShareBed(t)
	t1 := timesOf(90*time.Millisecond, 18)
	t1.Decided, t1.Sent = 80, 20
	b.totals(1, t1)
	if got := b.value(); got < 0.49 || got > 0.51 {
		t.Errorf("share %.3f while all send a quarter, want twice that", got)
	}
	b = newShareBed(t)
	t1.Decided, t1.Sent = 10, 1
	b.totals(1, t1)
	if got := b.value(); got != 1 {
		t.Errorf("share %.3f after few requests of all, want 1", got)
	}
	req := shareRequest("a", 1)
	b = overloaded(t)
	for range 10 {
		b.share.Admit(b.now, &req)
	}
	if got := b.share.Take(b.now); got.Decided != 10 || got.Sent < 3 || got.Sent > 7 {
		t.Errorf("%+v, want about a half of 10 requests sent", got)
	}
}

// Guards against a server that refuses requests at once and so appears to be fast.
func TestRefusedRequestsCountAsAboveTheTarget(t *testing.T) {
	b := newShareBed(t)
	b.share.RecordRefused()
	if got := b.share.Take(b.now); got.Refused != 1 || got.Served != 0 || got.Objectives != 0 {
		t.Errorf("times %+v of a refused request", got)
	}
	b.totals(8, overload.Times{Served: 10, Objectives: 1, Refused: 60, InUse: 2})
	if got := b.value(); got > 0.7 {
		t.Errorf("share %.3f, want less while the server refuses most requests", got)
	}
}

// Guards against a slow server without a queue, to which fewer and fewer requests are sent although that makes none faster.
func TestSlowServerWithoutAQueueIsNotThrottled(t *testing.T) {
	b := newShareBed(t)
	b.totals(80, timesOf(400*time.Millisecond, 5))
	if got := b.value(); got != 1 {
		t.Errorf("share %.3f with fewer requests than slots, want 1", got)
	}
	b = overloaded(t)
	b.totals(80, timesOf(400*time.Millisecond, 5))
	if got := b.value(); got != 1 {
		t.Errorf("share %.3f after the queue has gone, want 1", got)
	}
}

// Guards against a router that acts on old totals, as after a freeze or when it is cut off, and one whose clock is set back.
func TestOldTotalsAreDropped(t *testing.T) {
	for _, passed := range []time.Duration{1500 * time.Millisecond, -time.Second} {
		b := overloaded(t)
		if b.now = b.now.Add(passed); b.value() != 1 {
			t.Errorf("share %.3f after %v, want 1", b.value(), passed)
		}
	}
	b := overloaded(t)
	b.now = b.now.Add(1400 * time.Millisecond)
	if got := b.value(); got > 0.5 {
		t.Errorf("share %.3f after 1.4 s, want it kept", got)
	}
}

// Guards against a router without totals that sends all its requests although its own take long, and one that keeps that share when it
// has no times of its own any more.
func TestOwnTimesCountWithoutTotals(t *testing.T) {
	b := newShareBed(t)
	b.share.Take(b.now)
	for range 40 {
		b.now = b.now.Add(250 * time.Millisecond)
		b.share.RecordServed(180*time.Millisecond, shareObjective)
		b.share.Take(b.now)
	}
	status := b.share.Status(b.now)
	if !status.OwnOnly || status.Share > 0.5 {
		t.Errorf("%+v, want a share of a half at most by own times", status)
	}
	b.now = b.now.Add(1500 * time.Millisecond)
	if got := b.value(); got != 1 {
		t.Errorf("share %.3f without any times, want 1", got)
	}
}

// Guards against rejections in a pool of unknown size, and of requests without an objective.
func TestUnknownSlotsAndObjectivesAreNotLimited(t *testing.T) {
	b := overloaded(t)
	req := shareRequest("a", 3)
	req.Objective = 0
	if got := b.send(50, req)[0]; got != 50 {
		t.Errorf("%d of 50 requests without an objective are admitted", got)
	}
	b = overloaded(t)
	b.share.SetFleet(0, 70)
	unlimited := shareRequest("a", 3)
	for range 10 {
		if !b.share.Admit(b.now, &unlimited).Admitted {
			t.Fatal("a request to a pool whose size is no longer known is rejected")
		}
	}
	if got := b.send(50, shareRequest("a", 3))[0]; got != 50 {
		t.Errorf("%d of 50 requests to a pool of unknown size are admitted", got)
	}
}

// Guards against a share of admitted requests that is not the one that the times call for, and against requests of one rank that are
// rejected or sent in long rows.
func TestAdmittedRequestsMeetTheShare(t *testing.T) {
	b := overloaded(t)
	share := b.value()
	all := 0
	for _, n := range b.send(300, shareRequest("a", 1), shareRequest("b", 1), shareRequest("c", 2), shareRequest("d", 3)) {
		all += n
	}
	if got := float64(all) / 1200; got < share-0.03 || got > share+0.03 {
		t.Errorf("%.3f are admitted at a share of %.3f", got, share)
	}
	b = overloaded(t)
	row, longest, all := 0, 0, 0
	for range 300 {
		n := b.send(1, shareRequest("a", 1))[0]
		row, all = (row+1)*(1-n), all+n
		longest = max(longest, row)
	}
	if got := float64(all) / 300; got < share-0.05 || got > share+0.05 || longest > 3 {
		t.Errorf("%.3f of one rank are admitted at a share of %.3f, and %d rejected in a row", got, share, longest)
	}
}

// Guards against an urgent request, one of a workspace within its usual share, one with its objective left, or one that was
// refused before, that is rejected while others are sent.
func TestRejectedRequestsAreChosenByRank(t *testing.T) {
	first := shareRequest("a", 1)
	first.Retrying = true
	for name, change := range map[string]func(r *overload.ShareRequest){
		"less urgent": func(r *overload.ShareRequest) { r.Priority = 2 },
		"surging":     func(r *overload.ShareRequest) { r.Surging = true },
		"late":        func(r *overload.ShareRequest) { r.Spent = 100 * time.Millisecond },
		"not refused": func(r *overload.ShareRequest) { r.Retrying = false },
	} {
		later := first
		change(&later)
		got := overloaded(t).send(200, first, later)
		if got[0] < 190 || got[1] > 20 {
			t.Errorf("%s: %d of 200 are admitted and %d of the others", name, got[1], got[0])
		}
	}
	surging, urgent := first, first
	surging.Surging, urgent.Priority = true, 0
	urgent.Surging, urgent.Retrying, urgent.Spent = true, false, shareObjective
	if got := overloaded(t).send(200, surging, urgent); got[1] < 190 {
		t.Errorf("%d of 200 urgent requests are admitted, %d of less urgent ones", got[1], got[0])
	}
}

// Guards against a workspace, route or size of which no request is ever sent, and against floors that leave little for the others.
func TestEachWorkspaceRouteAndSizeKeepsAFloor(t *testing.T) {
	b := overloaded(t)
	b.share.SetFleet(6, 10)
	workspace, route, size := shareRequest("b", 5), shareRequest("a", 5), shareRequest("a", 5)
	route.Route, size.Size = "s", 4096
	got := b.send(400, shareRequest("a", 1), shareRequest("a", 1), shareRequest("a", 1), shareRequest("a", 1), workspace, route, size)
	for i, n := range got[4:] {
		if n < 3 {
			t.Errorf("kind %d: %d of 400 requests in 40 s are admitted, want one in 10 s", i, n)
		}
	}
	b = overloaded(t)
	b.share.SetFleet(6, 0)
	urgent, others := 0, 0
	for i := range 400 {
		n := b.send(1, shareRequest("a", 0), shareRequest(string(rune('b'+i)), 9))
		urgent, others = urgent+n[0], others+n[1]
	}
	if urgent < 280 || others > 130 {
		t.Errorf("%d of 400 urgent requests are admitted, and %d of others that are due", urgent, others)
	}
}

// Guards against callers that are refused together and come back together, or later than they wait.
func TestReturnsOfRejectedCallersAreSpread(t *testing.T) {
	b := overloaded(t)
	b.send(50, shareRequest("a", 1))
	req := shareRequest("b", 9)
	last := time.Duration(0)
	for i := range 8 {
		d := b.share.Admit(b.now, &req)
		if d.Admitted {
			continue
		}
		if d.RetryAfter < 100*time.Millisecond || d.RetryAfter > 300*time.Millisecond || d.RetryAfter < last {
			t.Errorf("caller %d is asked to wait for %v after %v", i, d.RetryAfter, last)
		}
		last = d.RetryAfter
	}
	if last < 150*time.Millisecond {
		t.Errorf("the last caller is asked to wait for %v, as the first one", last)
	}
}

// Guards against memory that grows with the names that callers use.
func TestFloorsAreBounded(t *testing.T) {
	b := newShareBed(t)
	req := shareRequest("a", 1)
	for i := range 3 * 4096 {
		req.Size = 8 << (i % 3 * 3)
		req.Workspace = time.Duration(i).String()
		b.share.Admit(b.now, &req)
	}
	if n := b.share.FloorCount(); n > 4096 {
		t.Errorf("%d kinds are tracked", n)
	}
}

func BenchmarkDelayShareAdmit(b *testing.B) {
	d := overload.NewDelayShare()
	d.SetFleet(6, 70)
	now := shareStart
	for range 30 {
		now = now.Add(250 * time.Millisecond)
		d.SetTotals(now, timesOf(180*time.Millisecond, 30))
	}
	reqs := make([]overload.ShareRequest, 64)
	for i := range reqs {
		reqs[i] = shareRequest(string(rune('a'+i)), i%3)
	}
	for i := 0; b.Loop(); i++ {
		now = now.Add(50 * time.Microsecond)
		d.Admit(now, &reqs[i%len(reqs)])
	}
}
