package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/overload"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// coldBed returns a router whose pool has a cold rate.
func coldBed(t *testing.T, share namedlimit.Share, answers ...answer) *bed {
	t.Helper()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Unsafe}}, answers...)
	b.state.SetLimitShare(func(uint64) namedlimit.Share { return share })
	b.state.SetColdBounds(1.5, 5)
	config := bedConfig(bedOptions{route: routing.Route{Kind: routing.Unsafe}})
	config.Pools = []routing.Pool{{Name: "p", ColdStart: time.Minute, ColdPerSecond: 4}}
	b.state.SetTable(routing.Compile(config))
	return b
}

// Guards against requests that are held, lost or asked to come back together when only cold servers are left, and against
// an answer that does not make its server cold.
func TestRequestBeyondWhatColdServersTolerateIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	b := coldBed(t, namedlimit.Share{}, status(http.StatusOK, "x", "Cold", "30s"))
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Fatalf("status %d of a server that is not cold yet", got.status)
	}
	waits := map[string]bool{}
	for range 5 {
		begun := time.Now()
		got := b.send(ask{})
		wait, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if took := time.Since(begun); got.status != http.StatusServiceUnavailable || wait < minColdRetry.Seconds() || took > time.Second {
			t.Errorf("status %d after %v, Retry-After %v s; want 503 at once and half a second at least", got.status, took, wait)
		}
		b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseServersCold})
		waits[got.header.Get("Retry-After")] = true
	}
	if len(waits) < 2 {
		t.Errorf("all callers are asked to come back after %v", waits)
	}
	if n := len(b.got()); n != 1 {
		t.Errorf("%d requests reached the server", n)
	}
	s := b.state.Status(time.Now())[0].Servers[0]
	if s.State != "cold" || s.ColdMs < 1000 || s.ColdSender {
		t.Errorf("status %+v, want a cold server of which this router is not the sender", s)
	}
	cold := b.state.TakeCold()
	if len(cold) != 1 || cold[0].Server != digest.ShortHash(b.servers[0].Key().Hash()) || cold[0].Left < 29*time.Second {
		t.Errorf("the others are told %+v, want the cold server", cold)
	}
}

// Guards against a sender that sends a cold server nothing, and against slow answers of cold servers that make the whole pool
// look slow.
func TestSenderUsesAColdServer(t *testing.T) {
	t.Parallel()
	b := coldBed(t, namedlimit.Share{Sender: true, Sole: true}, status(http.StatusOK, "x", "Cold", "30s"))
	b.send(ask{})
	b.until("another request has reached the server", func() bool {
		b.send(ask{})
		return len(b.got()) >= 2
	})
	if !b.state.Status(time.Now())[0].Servers[0].ColdSender {
		t.Error("the status does not show the sender")
	}
}

// Guards against what others say of a server that is lost because the server is not known yet, or that is applied to it when
// it has long ended; and against routers that are not told which servers are cold.
func TestColdServersAreLearnedBeforeTheServers(t *testing.T) {
	t.Parallel()
	st := NewState(Limits{ColdOverage: 1.5, ColdExtra: 5})
	st.SetTable(routing.Compile(routing.Config{Pools: []routing.Pool{{Name: "p", ColdStart: time.Minute, ColdPerSecond: 4}}}))
	st.SetRestarted()
	a := &registry.Server{ID: "a", Pool: "p", Addr: "10.0.0.1:1", Slots: 4, Start: registry.Start{Unknown: true}}
	b := &registry.Server{ID: "b", Pool: "p", Addr: "10.0.0.2:1", Slots: 4, Start: registry.Start{Unknown: true}}
	fresh := &registry.Server{ID: "c", Pool: "p", Addr: "10.0.0.3:1", Slots: 4, Start: registry.Start{At: time.Now()}}
	if _, settled := st.ColdServers(); settled {
		t.Error("knows at once which servers are cold")
	}
	short := func(s *registry.Server) uint32 { return digest.ShortHash(s.Key().Hash()) }
	st.ApplyCold([]digest.ColdServer{{Server: short(a), Left: 9 * time.Second}, {Server: short(fresh)}}, false)
	st.SetServers([]*registry.Server{a, b, fresh})
	left := func() []bool {
		var cold []bool
		for _, s := range st.Status(time.Now())[0].Servers {
			cold = append(cold, s.ColdMs > 0)
		}
		return cold
	}
	if got := left(); !got[0] || !got[1] || !got[2] {
		t.Errorf("cold: %v, want all before the others have told of all", got)
	}
	list, _ := st.ColdServers()
	if len(list) != 2 {
		t.Errorf("others are told of %+v, want the two servers that are known to be cold", list)
	}
	st.ApplyCold(nil, true)
	if got := left(); !got[0] || got[1] || !got[2] {
		t.Errorf("cold: %v, want those of which the others have told and the one that has started", got)
	}
	if _, settled := st.ColdServers(); !settled {
		t.Error("does not know which servers are cold after it was told of all")
	}
}

// Guards against the header for the router that its caller gets, and answer times of cold servers that count for the pool.
func TestColdAnswersDoNotCountForThePool(t *testing.T) {
	t.Parallel()
	b := coldBed(t, namedlimit.Share{Sender: true, Sole: true}, status(http.StatusOK, "x", "Cold", "30s"), func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		ok("x")(w, r)
	})
	b.send(ask{})
	before := b.pool().controller.Expected(b.pool().balance.Load(time.Now()))
	b.until("a slow answer has come", func() bool { return b.send(ask{}).status == http.StatusOK })
	if after := b.pool().controller.Expected(b.pool().balance.Load(time.Now())); after != before {
		t.Errorf("expected time %v after the answer of a cold server, want %v as before", after, before)
	}
}

// Guards against a request that is refused for want of room while a cold server has some.
func TestColdServerTakesRequestsOfAFullPool(t *testing.T) {
	t.Parallel()
	b := coldBed(t, namedlimit.Share{Sender: true, Sole: true}, ok("x"))
	warm := &registry.Server{ID: "warm", Pool: "p", Addr: closedAddr(t), Slots: 1}
	b.state.SetServers(append(b.servers, warm))
	p := b.pool()
	req := overload.Request{Route: "r", Objective: 100 * time.Millisecond, Remaining: time.Second}
	now := time.Now()
	p.mu.Lock()
	p.controller.Decide(now, overload.Load{Own: 1, Slots: 1}, req)
	p.controller.RecordAnswer(time.Second, time.Second)
	for range 40 {
		p.balance.Begin(now, balance.Choice{Server: warm}, balance.Job{})
	}
	p.balance.SetCold(now, func(s *registry.Server) bool { return s.ID != "warm" }, now.Add(time.Minute))
	p.mu.Unlock()
	if _, d := p.admit(now, req, balance.Job{}); d.Admitted {
		t.Fatal("accepted although the pool is full and the cold server has no room yet")
	}
	b.until("the cold server has room", func() bool {
		_, d := p.admit(time.Now(), req, balance.Job{})
		return d.Admitted
	})
}

func (b *bed) pool() *pool { return b.state.pool("p") }
