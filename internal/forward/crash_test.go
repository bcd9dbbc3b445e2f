package forward

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/testport"
)

// wholeEvent is a stream that ends between two events.
const wholeEvent = "id: 1\ndata: a\n\n"

// reportedCrashes waits for the crashes that the router tells the others, for at most the
// time in which one is confirmed. What servers only broke off must name no parts.
func (b *bed) reportedCrashes() (engines []uint64, parts []uint64) {
	deadline := time.Now().Add(10 * confirmDelay)
	for len(engines) == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
		for _, c := range b.state.TakePartReport(false).Crashes {
			if c.Broken {
				if len(c.Parts) > 0 || len(c.Requests) != 1 {
					b.t.Errorf("reported as broken off: %+v, want one request and no parts", c)
				}
				continue
			}
			engines, parts = append(engines, c.Engine), append(parts, c.Parts...)
		}
	}
	slices.Sort(parts)
	return engines, parts
}

// endServer makes a server accept no connections any more, and breaks off its requests.
func (b *bed) endServer(w http.ResponseWriter, id string) {
	for _, s := range b.started {
		if s.id == id {
			_ = s.server.Listener.Close()
		}
	}
	raw("")(w, nil)
}

// Guards against crashes that nobody is told of, and against parts that are left out or
// belong to the request alone.
func TestEngineThatEndsUnderARequestIsReported(t *testing.T) {
	t.Parallel()
	var b *bed
	b = newBed(t, bedOptions{route: routing.Route{Kind: routing.Stream}}, func(w http.ResponseWriter, _ *http.Request) { b.endServer(w, "s0") })
	if got := b.send(ask{header: promptOf("26:100,10:50,3:20")}); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
	engines, parts := b.reportedCrashes()
	if len(engines) != 1 || engines[0] != b.servers[0].Key().Hash() || !slices.Equal(parts, []uint64{10, 26}) {
		t.Errorf("engines %v ended under parts %v, want the server under 10 and 26", engines, parts)
	}
}

// Guards against a crash that nobody is told of because the engine ended while its request was
// still written: net/http closes the connection then and reports its own closing as the error.
func TestEngineThatEndsWhileItsRequestIsWrittenIsReported(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", testport.ServerHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := newBed(t, bedOptions{
		route: routing.Route{Kind: routing.Stream}, config: routing.Limits{BodyBytes: 32 << 20}, bodyMemory: 64 << 20,
	}, ok("x"))
	b.state.SetServers([]*registry.Server{{ID: "ends", Pool: "p", Addr: l.Addr().String(), Slots: 64}})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = l.Close()
		_, _ = io.ReadFull(conn, make([]byte, 1024))
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	b.send(ask{header: promptOf("26:100,10:50,3:20"), body: strings.Repeat("x", 16<<20)})
	if engines, parts := b.reportedCrashes(); len(engines) != 1 || !slices.Equal(parts, []uint64{10, 26}) {
		t.Errorf("engines %v ended under parts %v, want one under 10 and 26", engines, parts)
	}
}

// Guards against parts that are blamed for connections that end while their engine lives, as
// when it closes an idle one, spoils answers or limits its connections.
func TestBrokenConnectionOfALivingEngineIsNoCrash(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Stream}}, raw(""))
	b.send(ask{header: promptOf("26:100,10:50,3:20")})
	if engines, _ := b.reportedCrashes(); len(engines) > 0 {
		t.Errorf("engines %v are reported", engines)
	}
}

// Guards against parts of long answers that are blamed for the end of their engine, which another
// request has caused.
func TestLongAnswerHasNotCrashedItsEngine(t *testing.T) {
	t.Parallel()
	var b *bed
	b = newBed(t, bedOptions{route: routing.Route{Kind: routing.Stream}}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, wholeEvent)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(blamableTime + 50*time.Millisecond)
		b.endServer(w, "s0")
	})
	b.send(ask{header: promptOf("26:100,10:50,3:20")})
	if engines, _ := b.reportedCrashes(); len(engines) > 0 {
		t.Errorf("engines %v are reported", engines)
	}
}

// blame makes the router believe that a part crashes engines.
func (b *bed) blame(part uint64) {
	b.t.Helper()
	k := b.state.crashes
	k.mu.Lock()
	now := time.Now()
	for i := range 3 {
		k.tracker.RecordCrash(now, now.Add(time.Duration(i-9)*time.Second), uint64(100+i), []uint64{part}, nil)
	}
	k.mu.Unlock()
	k.update()
}

// Guards against requests that are sent although their prompt crashes engines, and against a
// refusal that comes late, has no truthful wait or leaves no trace in the log.
func TestRequestWithACrashingPartIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}}, ok(wholeEvent))
	b.blame(26)
	got := b.send(ask{header: promptOf("26:100,10:50,3:20")})
	wait, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || wait < 60 {
		t.Errorf("status %d, Retry-After %v s; want 503 and the time until the part may be tried again", got.status, wait)
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseCrashingPart, "part": "1a", "parts": "1a,a"})
	if got := b.send(ask{header: promptOf("10:50,26:20")}); got.status != http.StatusOK {
		t.Errorf("status %d for a request whose last part, which is its own, has the same ID; want 200", got.status)
	}
	if n := len(b.got()); n != 1 {
		t.Errorf("%d requests reached servers, want 1", n)
	}
}

// Guards against a trial that is refused by its own check, or that never comes.
func TestTrialReachesAnEngineAndReleasesThePart(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Stream}}, ok(wholeEvent))
	k := b.state.crashes
	k.mu.Lock()
	past := time.Now().Add(-time.Hour)
	for i := range 3 {
		k.tracker.RecordCrash(past, past.Add(time.Duration(i)*time.Second), uint64(100+i), []uint64{26}, nil)
	}
	k.tracker.Update(past.Add(5 * time.Second))
	k.mu.Unlock()
	for range 2 {
		if got := b.send(ask{header: promptOf("26:100,3:20")}); got.status != http.StatusOK {
			t.Errorf("status %d, want 200 for the trial and after it", got.status)
		}
	}
	if n := k.count(); n != 0 {
		t.Errorf("%d parts are quarantined after one was served", n)
	}
}

// Guards against an unmarked end that releases a part: it may be that of the engine.
func TestUnmarkedEndDoesNotReleaseAPart(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Stream}}, raw(signedHead+"\r\n"+wholeEvent))
	b.suspectOnce(26)
	b.send(ask{header: promptOf("26:100,3:20")})
	if sound := b.state.TakePartReport(false).Sound; len(sound) > 0 {
		t.Errorf("parts %v are sound after an answer that ended with its connection", sound)
	}
}

// Guards against parts that stay suspected although they are served.
func TestServedPartIsReportedSound(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Stream}}, ok(wholeEvent))
	b.suspectOnce(26)
	b.send(ask{header: promptOf("26:100,3:20")})
	b.logged()
	if sound := b.state.TakePartReport(false).Sound; !slices.Equal(sound, []uint64{26}) {
		t.Errorf("parts %v are sound, want 26", sound)
	}
}

// suspectOnce records a crash under a part.
func (b *bed) suspectOnce(part uint64) {
	k := b.state.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracker.RecordCrash(time.Now(), time.Now(), 100, []uint64{part}, nil)
}

// Guards against a request that ends a second engine because it is sent again, and against
// sound ones that aren't.
func TestOnlyDoubtfulRequestsAreNotSentAgain(t *testing.T) {
	t.Parallel()
	for part, status := range map[int]int{26: http.StatusBadGateway, 27: http.StatusOK} {
		b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}}, raw(""), ok(wholeEvent))
		k := b.state.crashes
		k.mu.Lock()
		for i := range 2 {
			k.tracker.RecordCrash(time.Now(), time.Now().Add(time.Duration(i-9)*time.Second), uint64(100+i), []uint64{26}, nil)
		}
		k.mu.Unlock()
		if got := b.send(ask{header: promptOf(strconv.Itoa(part) + ":100,3:20")}); got.status != status {
			t.Errorf("part %d: status %d, want %d", part, got.status, status)
		}
	}
}

// Guards against an engine that is taken for ended because it does not answer in time.
func TestUnreachableAddressIsNoCrash(t *testing.T) {
	t.Parallel()
	if newPaths().refuses("") {
		t.Error("an address that can't be dialled counts as one that refuses connections")
	}
	if !newPaths().refuses(closedAddr(t)) {
		t.Error("a closed port does not count")
	}
	s := registry.Server{Addr: newBed(t, bedOptions{}, ok("x")).servers[0].Addr}
	if newPaths().refuses(s.Addr) {
		t.Error("a living server counts as ended")
	}
}
