package forward

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// inDataCentres sets the data centres of the servers of a bed, in order.
func (b *bed) inDataCentres(names ...string) {
	for i, name := range names {
		b.servers[i].DataCentre = name
	}
	b.state.SetServers(append([]*registry.Server(nil), b.servers...))
}

func (b *bed) evacuate(names ...string) {
	evacuated := make(map[string]bool)
	for _, name := range names {
		evacuated[name] = true
	}
	b.state.SetEvacuated(time.Now(), evacuated)
}

// Guards against a request that reaches an evacuated server, waits for one, or is told to come back at once, and against a pool
// that stays closed after the evacuation.
func TestRequestsToEvacuatedServersAreRejected(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 3}, ok("done"))
	b.inDataCentres("a", "a", "b")
	b.evacuate("a", "unknown")
	for range 10 {
		if got := b.send(ask{}); got.status != http.StatusOK {
			t.Fatalf("status %d while a server is left, want 200", got.status)
		}
	}
	b.evacuate("a", "b")
	// A router that has just started would hold requests with a prefix for half of their objective.
	b.state.SetPlacementsKnown(func() bool { return false })
	begun := time.Now()
	got := b.send(ask{header: http.Header{"Prompt": {"1:800,2:10"}}})
	if took := time.Since(begun); got.status != http.StatusServiceUnavailable || took > time.Second {
		t.Errorf("status %d after %v, want a rejection at once", got.status, took)
	}
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil || wait < 2 || wait > 3 {
		t.Errorf("Retry-After %q, want 2 to 3 s", got.header.Get("Retry-After"))
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseEvacuated})
	for _, a := range b.got() {
		if a.server != "s2" {
			t.Errorf("a request reached %s of the evacuated data centre", a.server)
		}
	}
	b.evacuate("a")
	if got := b.send(ask{}); got.status != http.StatusOK {
		t.Errorf("status %d after the end of the evacuation, want 200", got.status)
	}
}

// Guards against a retry at a server whose data centre was evacuated while the first one had the request.
func TestRetriesAvoidEvacuatedServers(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer  answer
		outcome Outcome
		cause   Cause
	}{
		"refused":  {notRun(), OutcomeNotRun, CauseEvacuated},
		"half run": {raw("HTTP/1.1 200 OK\r\n"), OutcomeUnknown, CauseEvacuated},
	} {
		var b *bed
		evacuateAndAnswer := func(w http.ResponseWriter, r *http.Request) {
			b.evacuate("a", "b")
			c.answer(w, r)
		}
		b = newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Safe, MaxAttempts: 2}}, evacuateAndAnswer)
		b.inDataCentres("a", "b")
		b.send(ask{})
		if n := len(b.got()); n != 1 {
			t.Errorf("%s: %d servers got the request, want 1", name, n)
		}
		b.expectLog(map[string]any{"outcome": c.outcome, "cause": c.cause})
	}
}

// Guards against a stream that is taken up at an evacuated server, or at one of another version because of the evacuation.
func TestStreamOfAnEvacuatedVersionIsRejected(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v1", "v2")
	f.known[streamversion.StreamOf("first")] = streamversion.VersionOf("v1")
	b.inDataCentres("a", "b")
	b.evacuate("a")
	if got := b.send(takeUp("first")); got.status != http.StatusServiceUnavailable || len(b.got()) != 0 {
		t.Errorf("status %d, %d requests, want a rejection", got.status, len(b.got()))
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseEvacuated})
}

// Guards against an answer that ends with the evacuation of its server.
func TestAnswersInProgressGoOn(t *testing.T) {
	t.Parallel()
	var b *bed
	b = newBed(t, bedOptions{}, func(w http.ResponseWriter, r *http.Request) {
		b.evacuate("a")
		ok("done")(w, r)
	})
	b.inDataCentres("a")
	if got := b.send(ask{}); got.status != http.StatusOK || got.body != "done" {
		t.Errorf("status %d, body %q, want the whole answer", got.status, got.body)
	}
}

// Guards against connections of any kind to an evacuated server: for a request, for another router, or to find out whether it
// has ended; and against one that another router is asked for.
func TestNoConnectionsToEvacuatedServers(t *testing.T) {
	testPaths(t, func(t *testing.T, p *paths, own, tunnel *fakeWay) {
		p.evacuated = func(addr string) bool { return addr == someAddr }
		_, err := p.open()
		var op *net.OpError
		if !errors.Is(err, errEvacuated) || !errors.As(err, &op) || op.Op != "dial" {
			t.Errorf("error %v, want one of a connection that was not opened", err)
		}
		if _, err := p.dialDirect(t.Context(), "tcp", someAddr); !errors.Is(err, errEvacuated) {
			t.Errorf("error %v for another router, want that the server is evacuated", err)
		}
		if p.refuses(someAddr) {
			t.Error("an evacuated server counts as ended")
		}
		if n := own.taken() + tunnel.taken(); n != 0 {
			t.Errorf("%d connections were opened, want none", n)
		}
	})
}

// Guards against a router that opens connections to evacuated servers for others, or asks them what they have cached.
func TestEvacuatedServersAreNotOffered(t *testing.T) {
	st := NewState(Limits{})
	list := []*registry.Server{
		{ID: "x", Pool: "p", Addr: "10.0.0.1:1", DataCentre: "a", Slots: 1, Engine: true},
		{ID: "y", Pool: "q", Addr: "10.0.0.2:1", DataCentre: "b", Slots: 1, Engine: true},
	}
	st.SetEvacuated(time.Now(), map[string]bool{"a": true})
	st.SetServers(list)
	if st.KnowsServer("10.0.0.1:1") || !st.KnowsServer("10.0.0.2:1") {
		t.Error("connections are opened to the evacuated server, or to none")
	}
	if st.paths.evacuated("10.0.0.2:1") || !st.paths.evacuated("10.0.0.1:1") {
		t.Error("the evacuated server is not the one that gets no connections")
	}
	for name, engines := range map[string][]*registry.Server{"to be asked": st.Engines(), "of all": st.AllEngines()} {
		if len(engines) != 1 || engines[0].ID != "y" {
			t.Errorf("engines %s: %v, want y only", name, engines)
		}
	}
	for _, p := range st.Status(time.Now()) {
		if want := map[string]string{"p": "evacuated", "q": "ready"}[p.Name]; p.Servers[0].State != want {
			t.Errorf("pool %s: state %q, want %q", p.Name, p.Servers[0].State, want)
		}
	}
	st.SetEvacuated(time.Now(), nil)
	if !st.KnowsServer("10.0.0.1:1") || len(st.Engines()) != 2 {
		t.Error("the server does not return after the evacuation")
	}
}

// Guards against a rush on the servers of a data centre right after its evacuation has ended: they may be cold.
func TestServersAreColdAfterAnEvacuation(t *testing.T) {
	t.Parallel()
	b := coldBed(t, namedlimit.Share{}, status(http.StatusOK, "x"))
	dataCentre := b.servers[0].DataCentre
	b.state.SetEvacuated(time.Now(), map[string]bool{dataCentre: true})
	b.state.SetEvacuated(time.Now(), map[string]bool{})
	if s := b.state.Status(time.Now())[0].Servers[0]; s.State != "cold" || s.ColdMs < 1000 {
		t.Errorf("status %+v, want a cold server", s)
	}
	if got := b.send(ask{}); got.status != http.StatusServiceUnavailable || len(b.got()) != 0 {
		t.Errorf("status %d after %d requests at the server, want a refusal of a router that is not its sender", got.status, len(b.got()))
	}
}
