package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// newShareBed returns a bed with servers of six slots, which sends a share of its requests to them.
func newShareBed(t *testing.T, o bedOptions, answers ...answer) *bed {
	t.Helper()
	o.delayShare = true
	b := newBed(t, o, answers...)
	for _, s := range b.servers {
		s.Slots = 6
	}
	b.state.SetServers(b.servers)
	b.state.SetRouterCount(70)
	b.state.TakeTimes()
	return b
}

// lowerShare lowers the share of the bed's pool to a third, as ten reports of long times do.
func (b *bed) lowerShare() {
	const reports = 10
	now := time.Now()
	b.state.eachPool(func(p *pool) {
		for i := range reports {
			p.delays.SetTotals(now.Add(time.Duration(i-reports+1)*250*time.Millisecond), overload.Times{Served: 40, Objectives: 200, InUse: 200})
		}
	})
}

// Guards against a request that is rejected by share but may have run, or whose caller is not told when to come back, and against a
// log line and a status that do not say why.
func TestRequestsBeyondTheShareAreRejectedUnrun(t *testing.T) {
	t.Parallel()
	b := newShareBed(t, bedOptions{route: routing.Route{Objective: time.Second}}, ok("x"))
	rejected, sent := 0, 0
	for range 20 {
		b.lowerShare()
		before := len(b.got())
		got := b.send(ask{})
		if got.status != http.StatusServiceUnavailable {
			sent++
			continue
		}
		rejected++
		if got.header.Get("Retry-After") == "" || len(b.got()) != before {
			t.Errorf("Retry-After %q, %d requests at the server; want a refusal", got.header.Get("Retry-After"), len(b.got())-before)
		}
		b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseDelayShare, "target": 0.6, "mean": 5})
	}
	if rejected < 8 || sent < 2 {
		t.Errorf("%d of 20 requests rejected and %d sent, want a part of them sent", rejected, sent)
	}
}

// Guards against an overload of which neither the log nor the status tells, and totals of all routers that do not arrive at the pool.
func TestLoweredShareIsLoggedAndShown(t *testing.T) {
	t.Parallel()
	b := newShareBed(t, bedOptions{route: routing.Route{Objective: time.Second}}, ok("x"))
	if s := b.state.Status(time.Now())[0].DelayShare; s == nil || s.Share != 1 {
		t.Errorf("status %+v, want a share of 1", s)
	}
	pool := b.pool().shortHash()
	b.until("the share is lowered and shown", func() bool {
		b.state.SetTimes([]digest.PoolTimes{{Pool: pool + 1, Served: 40, Objectives: 100}, {Pool: pool, Served: 40, Objectives: 40 * 5000, InUse: 200_000}})
		s := b.state.Status(time.Now())[0].DelayShare
		return s.Share < loweredShare && s.Mean == 5 && b.hasLine(event.ShareLowered.ID)
	})
	b.until("the share is whole again", func() bool {
		b.state.SetTimes([]digest.PoolTimes{{Pool: pool, Served: 40, Objectives: 40 * 100, InUse: 1000}})
		return b.hasLine(event.AllRequestsSent.ID)
	})
}

// Guards against times that include failures and rejections, which are fast, or what a caller takes to read.
func TestOnlyServedRequestsTellTimes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer          answer
		served, refused int
	}{
		"served":  {ok("x"), 1, 0},
		"failed":  {status(http.StatusInternalServerError, "boom"), 0, 0},
		"refused": {status(http.StatusServiceUnavailable, "", "Not-Run", "1"), 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newShareBed(t, bedOptions{route: routing.Route{Objective: time.Millisecond}}, c.answer)
			b.send(ask{})
			b.logged()
			got := b.state.TakeTimes()
			if len(got) != 1 || got[0].Served != c.served || got[0].Refused != c.refused || (got[0].Objectives > 0) != (c.served > 0) {
				t.Errorf("times %+v, want %d served and %d refused", got, c.served, c.refused)
			}
		})
	}
}

// Guards against a pool that rejects although its share is not to be limited: since it has engines, servers of unknown
// size, or servers that state their load.
func TestOtherPoolsSendAllRequests(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(b *bed){
		"engine":       func(b *bed) { b.servers[0].Engine = true },
		"unknown size": func(b *bed) { b.servers[0].Slots = 0 },
		"states load":  func(b *bed) { b.answers[0] = status(http.StatusOK, "x", "Load", "1,0,6") },
	} {
		t.Run(name, func(t *testing.T) {
			b := newShareBed(t, bedOptions{route: routing.Route{Objective: time.Second}}, ok("x"))
			change(b)
			changed := *b.servers[0]
			b.servers[0] = &changed
			b.state.SetServers(b.servers)
			b.send(ask{})
			b.state.TakeTimes()
			for range 5 {
				b.lowerShare()
				if got := b.send(ask{}); got.status == http.StatusServiceUnavailable {
					t.Fatalf("status %d", got.status)
				}
			}
			if s := b.state.Status(time.Now())[0].DelayShare; s != nil {
				t.Errorf("status %+v, want none", s)
			}
		})
	}
}

// Guards against a router that limits pools or sends times although that is off.
func TestWithoutDelayShareAllRequestsAreSent(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Objective: time.Second}}, ok("x"))
	b.send(ask{})
	b.state.SetTimes([]digest.PoolTimes{{Pool: b.pool().shortHash(), Served: 40, Objectives: 200_000, InUse: 200_000}})
	if got := b.state.TakeTimes(); len(got) != 0 {
		t.Errorf("times %v, want none", got)
	}
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
}
