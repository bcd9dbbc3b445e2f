package balance

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// brittlePool returns a pool of servers with slots that have all said that they are brittle, as one of some
// routers sees it.
func brittlePool(rejections float64, slots []int, share namedlimit.Share) (*Pool, []*registry.Server) {
	p := NewPool(Limits{CapFactor: 100, CapExtra: 1000})
	p.SetLimitShare(func(uint64) namedlimit.Share { return share })
	var list []*registry.Server
	for i, n := range slots {
		list = append(list, &registry.Server{ID: string(rune('a' + i)), Addr: string(rune('a' + i)), Pool: "p", Slots: n})
	}
	p.SetServers(list)
	for _, s := range list {
		p.RecordBrittle(brittleStart, s.Key(), rejections)
	}
	return p, list
}

var brittleStart = time.Unix(1000, 0)

// fillBrittle sends requests until none is taken, and returns how many each server got.
func fillBrittle(p *Pool, now time.Time) map[string]int {
	got := map[string]int{}
	for {
		c, ok := p.Pick(now, Job{})
		if !ok {
			return got
		}
		p.Begin(now, c, Job{})
		got[c.Server.ID]++
	}
}

// Guards against routers that together have more requests at a brittle server than it has slots, and slots
// that none of them uses.
func TestRoutersFillTheSlotsOfBrittleServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SliceOfN(rapid.IntRange(1, 9), 1, 9).Draw(t, "slots")
		routers := rapid.IntRange(1, 70).Draw(t, "routers")
		sum := map[string]int{}
		for before := range routers {
			p, _ := brittlePool(3, slots, namedlimit.Share{Routers: routers, Before: before})
			for id, n := range fillBrittle(p, brittleStart) {
				sum[id] += n
			}
		}
		for i, n := range slots {
			if id := string(rune('a' + i)); sum[id] != n {
				t.Fatalf("%d requests of all routers at a server with %d slots", sum[id], n)
			}
		}
	})
}

// Guards against a router that uses slots at once which another one may still use.
func TestGrownPartOfTheSlotsIsUsedLater(t *testing.T) {
	share := namedlimit.Share{Routers: 2}
	p, _ := brittlePool(3, []int{4}, share)
	p.SetLimitShare(func(uint64) namedlimit.Share { return share })
	if n := fillBrittle(p, brittleStart)["a"]; n != 2 {
		t.Errorf("%d requests, want the half of 4 slots", n)
	}
	share.Routers = 1
	now := brittleStart.Add(time.Minute)
	if n := fillBrittle(p, now)["a"]; n != 0 {
		t.Errorf("%d requests more when the other router has gone, want none at first", n)
	}
	if n := fillBrittle(p, now.Add(partSettle))["a"]; n != 2 {
		t.Errorf("%d requests more a while later, want the other half", n)
	}
}

// Guards against routers that press a server which has just rejected a request, and one that stays away
// for good.
func TestRejectionOfABrittleServerPausesTheRouter(t *testing.T) {
	for rejections, pause := range map[float64]time.Duration{3: time.Second, 50: refusedPause, 0.5: maxRejectedPause} {
		p, list := brittlePool(rejections, []int{60}, namedlimit.Share{Routers: 3})
		now := brittleStart
		c, ok := p.Pick(now, Job{})
		if !ok {
			t.Fatal("no server")
		}
		p.Begin(now, c, Job{})
		p.End(now, list[0].Key(), Refused)
		if _, ok := p.Pick(now.Add(pause-time.Millisecond), Job{}); ok {
			t.Errorf("%v rejections: a request within %v", rejections, pause)
		}
		if p.WithheldWait(now) != pause {
			t.Errorf("%v rejections: wait %v, want %v", rejections, p.WithheldWait(now), pause)
		}
		if _, ok := p.Pick(now.Add(pause), Job{}); !ok {
			t.Errorf("%v rejections: no request after %v", rejections, pause)
		}
	}
}

// Guards against a router without a slot that never hears that a server is no longer brittle, and against
// many that ask at the same moment.
func TestRouterWithoutASlotAsksNowAndThen(t *testing.T) {
	for before, want := range map[int]time.Duration{3: brittleMemory + 3*brittleStep, 7: brittleMemory + 7*brittleStep} {
		p, _ := brittlePool(3, []int{2}, namedlimit.Share{Routers: 9, Before: before})
		if n := len(fillBrittle(p, brittleStart.Add(want-time.Millisecond))); n != 0 {
			t.Errorf("router %d sent a request within %v", before, want)
		}
		if n := fillBrittle(p, brittleStart.Add(want))["a"]; n != 1 {
			t.Errorf("router %d sent %d requests after %v, want one", before, n, want)
		}
	}
}

// Guards against a server that counts as brittle for good, and statements that no server makes.
func TestBrittlenessEndsWithAnAnswerThatDoesNotNameIt(t *testing.T) {
	p, list := brittlePool(3, []int{4}, namedlimit.Share{Routers: 60, Before: 30})
	if p.RecordBrittle(brittleStart, list[0].Key(), 8) {
		t.Error("another number counts as a change of belief")
	}
	if !p.RecordBrittle(brittleStart, list[0].Key(), 0) || p.Brittle(list[0].Key()) {
		t.Error("still brittle")
	}
	if _, ok := p.Pick(brittleStart, Job{}); !ok {
		t.Error("no request to a server that is no longer brittle")
	}
	if p.RecordBrittle(brittleStart, registry.Key{}, 3) || p.Brittle(registry.Key{}) {
		t.Error("a server that is not in the list is brittle")
	}
	for _, n := range []float64{0, -1, math.Inf(1), math.NaN(), 1e12} {
		if UsableRejections(n) {
			t.Errorf("%v rejections a second are believed", n)
		}
	}
}

// Guards against requests that wait for a slot of a brittle server while another server would take them, or
// none is about to be free.
func TestOnlyFullBrittleServersAreAwaited(t *testing.T) {
	now := brittleStart
	p, list := brittlePool(3, []int{1, 1}, namedlimit.Share{Routers: 1})
	if p.BrittleFull(now) {
		t.Error("full without a request")
	}
	fillBrittle(p, now)
	if !p.BrittleFull(now) || p.HasUsable(now, Job{}) {
		t.Error("not full with a request in each slot")
	}
	for _, s := range list {
		p.End(now, s.Key(), Refused)
	}
	if p.BrittleFull(now) {
		t.Error("a slot is awaited at servers that have rejected requests")
	}
	p.RecordBrittle(now, list[0].Key(), 0)
	if p.BrittleFull(now) || !p.HasUsable(now.Add(refusedPause), Job{}) {
		t.Error("a slot is awaited although another server takes requests")
	}
}
