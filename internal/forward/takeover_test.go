package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/streambackup"
)

// oneRun is a route whose streams run once and may not be resumed.
var oneRun = routing.Route{Kind: routing.Stream, MaxAttempts: 1}

// newBackupBed returns a router before engines that copy the memory of their runs, of which another one has just ended.
func newBackupBed(t *testing.T, o bedOptions, answers ...answer) *bed {
	t.Helper()
	if o.servers == 0 {
		o.servers = 3
	}
	b := newBed(t, o, answers...)
	for _, s := range b.servers {
		s.Engine, s.Version = true, "v1"
	}
	b.state.SetServers(b.servers)
	config := bedConfig(o)
	config.Pools = []routing.Pool{{Name: "p", Engine: &routing.Engine{Slots: 64, KVTokens: 1 << 20, KVTokenBytes: 1 << 14, LinkMbps: 1e7, Backups: true}}}
	b.state.SetTable(routing.Compile(config))
	b.state.pool("p").recordEnd(&registry.Server{ID: "other", Engine: true}, streambackup.Vanished)
	return b
}

// runEvents returns events of a stream.
func runEvents(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: word%d\n\n", i, i)
	}
	return s.String()
}

// broken answers with the start of a stream in chunks, and breaks off.
func broken(start string) answer {
	return raw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: %%ID%%\r\nSigned: by first\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(start)+10, start))
}

// goOn answers with the rest of a stream of 5 events after the one that the request names, as an engine with a copy does.
func goOn(w http.ResponseWriter, r *http.Request) {
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("After"), &after)
	_, _ = io.WriteString(w, runEvents(after+1, 5))
}

// noCopy answers that there is no copy.
func noCopy(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// continued returns the arrivals that continue a run.
func (b *bed) continued() []arrival {
	return slices.DeleteFunc(b.got(), func(a arrival) bool { return a.r.Header.Get("Continue-From") == "" })
}

// expectEvents checks that the caller got the events up to the last, and whether the answer was whole.
func (b *bed) expectEvents(got reply, last int, whole bool) {
	b.t.Helper()
	if got.body != runEvents(1, last) || (got.err == nil) != whole {
		b.t.Errorf("body %q, error %v; want events 1 to %d, whole %v", got.body, got.err, last, whole)
	}
}

// Guards against an event that is missing, twice or cut where a run goes on at its backup, for a break after each byte.
func TestTakeoverContinuesAfterTheLastWholeEvent(t *testing.T) {
	t.Parallel()
	first := len(runEvents(1, 1))
	start, cut := runEvents(1, 3), first
	b := newBackupBed(t, bedOptions{route: oneRun}, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Continue-From") != "" {
			goOn(w, r)
			return
		}
		broken(start[:cut])(w, r)
	})
	for ; cut <= len(start); cut++ {
		// Each break would pause or eject an engine.
		b.state.SetServers(nil)
		b.state.SetServers(b.servers)
		got := b.send(ask{})
		b.expectEvents(got, 5, true)
		list := b.got()[2*(cut-first):]
		if len(list) != 2 {
			t.Fatalf("cut after %d bytes: %d requests, want 2", cut, len(list))
		}
		named := list[0].r.Header.Get("Backup")
		if from := list[1].r.Header.Get("Continue-From"); named == "" || from != named+" r1" || list[1].r.Host != "h" {
			t.Errorf("cut after %d bytes: continues from %q, want %s", cut, from, named)
		}
		if signed := got.header.Get("Signed"); cut > len(runEvents(1, 1)) && signed != "by first" {
			t.Errorf("cut after %d bytes: signed %q, want the signature of the first engine", cut, signed)
		}
	}
}

// Guards against events that wait for those after them while there is a backup.
func TestEventsOfABackedUpRunAreRelayedAsTheyArrive(t *testing.T) {
	t.Parallel()
	got := make(chan struct{})
	b := newBackupBed(t, bedOptions{route: oneRun}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, runEvents(1, 2)+"id: 3\nda")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-got:
		case <-time.After(bedWait):
			t.Error("the caller has no event")
		}
	})
	resp, err := b.begin(ask{})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.ReadFull(resp.Body, make([]byte, len(runEvents(1, 2))))
	close(got)
	_, _ = io.Copy(io.Discard, resp.Body)
}

// Guards against a run that goes on where it must not: without a retry of the budget, after another version, after part
// of an event or events without IDs, after another run's events, or once more and more.
func TestRunIsNotTakenOver(t *testing.T) {
	t.Parallel()
	large := "id: 3\ndata: " + strings.Repeat("x", maxHeldBytes)
	for name, c := range map[string]struct {
		options bedOptions
		// first is the start that the first engine sends, and body what the caller gets.
		first, body string
		second      answer
		// before is called before the first engine breaks off.
		before    func(b *bed)
		continued int
	}{
		"no retries left":         {options: bedOptions{retry: &retrybudget.Limits{Ratio: 0.001, Window: 10 * time.Second}}},
		"backup of other version": {before: func(b *bed) { b.changeBackup(func(s *registry.Server) { s.Version = "v2" }) }},
		"backup leaves":           {before: func(b *bed) { b.changeBackup(func(s *registry.Server) { s.Leaving = true }) }},
		"backup restarted":        {before: func(b *bed) { b.changeBackup(func(s *registry.Server) { s.Born = 7 }) }},
		"part of a large event":   {first: runEvents(1, 2) + large, body: runEvents(1, 2) + large},
		"events without IDs":      {first: "data: x\n\n", body: "data: x\n\n"},
		"crashes engines":         {before: func(b *bed) { b.blame(26) }},
		"events that it has":      {second: ok(runEvents(2, 5)), continued: 1},
		"event left out":          {second: ok(runEvents(4, 5)), continued: 1},
		"answer of other status":  {second: status(http.StatusAccepted, runEvents(3, 5)), continued: 1},
		"engine that breaks":      {second: broken(""), continued: 3, options: bedOptions{servers: 8}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if c.first == "" {
				c.first, c.body = runEvents(1, 2)+"id: 3\nda", runEvents(1, 2)
			}
			if c.second == nil {
				c.second = goOn
			}
			c.options.route = oneRun
			var b *bed
			b = newBackupBed(t, c.options, func(w http.ResponseWriter, r *http.Request) {
				if c.before != nil {
					c.before(b)
				}
				broken(c.first)(w, r)
			}, c.second)
			got := b.send(ask{header: promptOf("26:100,10:50,3:20")})
			if got.body != c.body || got.err == nil {
				t.Errorf("body %.60q, error %v; want the start of the stream", got.body, got.err)
			}
			if n := len(b.continued()); n != c.continued || len(b.got()) != 1+n {
				t.Errorf("%d requests of %d continue the run, want %d", n, len(b.got())-1, c.continued)
			}
		})
	}
}

// changeBackup changes the entry of the engine that the first request named.
func (b *bed) changeBackup(change func(*registry.Server)) {
	named := b.got()[0].r.Header.Get("Backup")
	list := slices.Clone(b.servers)
	for i, s := range list {
		if s.Addr == named {
			changed := *s
			change(&changed)
			list[i] = &changed
		}
	}
	b.state.SetServers(list)
}

// Guards against a stream that ends, runs twice, or costs its second attempt, because the backup engine has no copy; and
// against that engine being held for failing.
func TestRunWithoutACopyEndsAsBefore(t *testing.T) {
	t.Parallel()
	for name, refuse := range map[string]answer{"no copy": noCopy, "not run": notRun(), "other server": status(http.StatusMisdirectedRequest, "")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackupBed(t, bedOptions{route: oneRun}, broken(runEvents(1, 2)), refuse, goOn)
			b.expectEvents(b.send(ask{}), 2, false)
			if n := len(b.got()); n != 2 {
				t.Errorf("%d requests, want 2", n)
			}
			route := resumable
			route.MaxAttempts = 2
			b = newBackupBed(t, bedOptions{route: route}, broken(runEvents(1, 2)), refuse, goOn)
			b.expectEvents(b.send(ask{header: promptOf("26:40000,3:20")}), 5, true)
			list := b.got()
			if len(list) != 3 || len(b.continued()) != 1 || list[2].r.Header.Get("Continue-From") != "" || list[2].r.Header.Get("After") != "2" || list[2].server == list[1].server {
				t.Errorf("%d requests, want a third one at another engine after event 2 and without a copy; log %v", len(list), b.logged())
			}
			// Without a third engine none is left.
			b = newBackupBed(t, bedOptions{route: route, servers: 2}, broken(runEvents(1, 2)), refuse, goOn)
			b.expectEvents(b.send(ask{header: promptOf("26:40000,3:20")}), 2, false)
			if len(b.got()) != 2 || len(b.continued()) != 1 {
				t.Errorf("%d requests before two engines, want 2", len(b.got()))
			}
			for _, o := range b.state.Outcomes() {
				if o.Failed > 1 || o.Failed == 1 && o.Ended > 1 {
					t.Errorf("outcomes %+v, want one failure of the first engine", o)
				}
			}
		})
	}
}

// Guards against a request that may run only once and runs again at the engine named for the copy: before the first event there may
// be no copy, and an engine that is asked to continue then begins anew.
func TestRunIsNotTakenOverBeforeItsFirstEvent(t *testing.T) {
	t.Parallel()
	for _, answer := range []answer{raw(""), broken(runEvents(1, 1)[:5])} {
		b := newBackupBed(t, bedOptions{route: oneRun}, answer, goOn)
		if got := b.send(ask{}); got.status != http.StatusBadGateway || len(b.got()) != 1 {
			t.Errorf("status %d, %d requests; want 502 and 1", got.status, len(b.got()))
		}
	}
}

// Guards against copies and requests that are counted after their end, and against a takeover that costs no retry.
func TestTakeoverIsCounted(t *testing.T) {
	t.Parallel()
	var b *bed
	var during, copies int
	b = newBackupBed(t, bedOptions{route: oneRun}, broken(runEvents(1, 2)), func(w http.ResponseWriter, r *http.Request) {
		for _, l := range b.state.Loads() {
			during += l.InFlight
		}
		b.state.eachPool(func(p *pool) { copies = p.backups.Copies.Count() })
		goOn(w, r)
	})
	b.expectEvents(b.send(ask{}), 5, true)
	b.expectLog(map[string]any{"takeovers": 1, "offered": 1, "outcome": "served"})
	if during != 1 || copies != 1 {
		t.Errorf("%d requests in flight and %d copies during the takeover, want 1 and 1", during, copies)
	}
	if loads := b.state.Loads(); len(loads) != 0 {
		t.Errorf("loads %v after the end, want none", loads)
	}
	b.state.eachPool(func(p *pool) {
		if n := p.backups.Copies.Count(); n != 0 {
			t.Errorf("%d copies are counted after the end", n)
		}
	})
	// The budget has one retry for this router.
	b = newBackupBed(t, bedOptions{route: oneRun, retry: &retrybudget.Limits{Window: 10 * time.Second, Extra: 24}},
		broken(runEvents(1, 2)), goOn, broken(runEvents(1, 2)), goOn)
	b.expectEvents(b.send(ask{}), 5, true)
	b.expectEvents(b.send(ask{}), 2, false)
}

// Guards against a second engine that works on a run while the first one still has its connection.
func TestConnectionIsClosedBeforeTheTakeover(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	b := newBackupBed(t, bedOptions{route: oneRun}, func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		// The connection stays open, and its chunk is malformed.
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: by first\r\nTransfer-Encoding: chunked\r\n\r\n13\r\n"+runEvents(1, 1)+"\r\nx\r\n")
		_, _ = io.Copy(io.Discard, buffered)
		close(closed)
	}, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-closed:
		case <-time.After(400 * time.Millisecond):
			t.Error("the first connection is open 400 ms after the takeover")
		}
		goOn(w, r)
	})
	b.send(ask{})
	if n := len(b.continued()); n != 1 {
		t.Errorf("%d requests continue the run, want 1", n)
	}
}

// Guards against streams that end with their connection: one whose engine has ended between two events looks complete,
// and one that is complete is lost when the copy was freed with its end.
func TestUnmarkedEndOfABackedUpRunIsChecked(t *testing.T) {
	t.Parallel()
	head := "HTTP/1.1 200 OK\r\nId: %ID%\r\nSigned: by first\r\n\r\n"
	for name, c := range map[string]struct {
		ends   bool
		second answer
		last   int
		asked  int
	}{
		"engine has ended":               {ends: true, second: raw(head + runEvents(4, 5)), last: 5, asked: 1},
		"engine has ended, run complete": {ends: true, second: noCopy, last: 3, asked: 1},
		"engine lives":                   {second: noCopy, last: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var b *bed
			b = newBackupBed(t, bedOptions{route: oneRun}, func(w http.ResponseWriter, r *http.Request) {
				if c.ends {
					_ = b.serverOf(r).Listener.Close()
				}
				raw(head+runEvents(1, 3))(w, r)
			}, c.second)
			b.expectEvents(b.send(ask{}), c.last, true)
			if n := len(b.continued()); n != c.asked {
				t.Errorf("%d requests continue the run, want %d", n, c.asked)
			}
			b.expectLog(map[string]any{"outcome": "served"})
		})
	}
}

// serverOf returns the server that got a request.
func (b *bed) serverOf(r *http.Request) *httptest.Server {
	addr := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	for _, s := range b.started {
		if s.server.Listener.Addr().String() == addr {
			return s.server
		}
	}
	b.t.Fatalf("no server at %s", addr)
	return nil
}

// Guards against a run that waits for an engine that is gone, and against one that leaves an engine which sends events
// although its entry has gone.
func TestSilentRunOfAnEngineThatIsGoneIsTakenOver(t *testing.T) {
	for name, c := range map[string]struct {
		gone      func(b *bed, s *registry.Server)
		pauses    int
		continued int
	}{
		"entry gone":         {gone: func(b *bed, s *registry.Server) { b.withoutServer(s) }, continued: 1},
		"refuses":            {gone: func(b *bed, s *registry.Server) { b.state.pool("p").recordEnd(s, streambackup.Refused) }, continued: 1},
		"silent only":        {gone: func(*bed, *registry.Server) {}},
		"entry gone, leaves": {gone: func(b *bed, s *registry.Server) { b.state.pool("p").recordLeaving(s.Key()); b.withoutServer(s) }},
		"entry gone, sends":  {gone: func(b *bed, s *registry.Server) { b.withoutServer(s) }, pauses: 12},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				var b *bed
				b = newBackupBed(t, bedOptions{virtual: true, route: oneRun}, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.WriteString(w, runEvents(1, 2))
					_ = http.NewResponseController(w).Flush()
					c.gone(b, b.servers[slices.IndexFunc(b.servers, func(s *registry.Server) bool { return s.ID == r.Header.Get("Instance") })])
					for range c.pauses {
						time.Sleep(goneSilence / 4)
						_, _ = io.WriteString(w, ": alive\n")
						_ = http.NewResponseController(w).Flush()
					}
					if c.continued == 0 {
						time.Sleep(goneSilence / 4)
						if c.pauses == 0 {
							time.Sleep(2 * goneSilence)
						}
						_, _ = io.WriteString(w, runEvents(3, 5))
						return
					}
					<-r.Context().Done()
				}, goOn)
				got := b.send(ask{})
				if strings.ReplaceAll(got.body, ": alive\n", "") != runEvents(1, 5) || got.err != nil {
					t.Errorf("body %q, error %v; want all events", got.body, got.err)
				}
				if n := len(b.continued()); n != c.continued {
					t.Errorf("%d requests continue the run, want %d", n, c.continued)
				}
			})
		})
	}
}

// withoutServer removes an entry.
func (b *bed) withoutServer(gone *registry.Server) {
	b.state.SetServers(slices.DeleteFunc(slices.Clone(b.servers), func(s *registry.Server) bool { return s == gone }))
}

// hazardOfOther returns the hazard of newBackupBed.
func hazardOfOther() (h streambackup.Hazard) {
	h.Record(time.Now(), 1, 1, streambackup.Vanished)
	return h
}

// primaryAt describes a run at a server.
func primaryAt(s *registry.Server, engines int) balance.Primary {
	return balance.Primary{Server: s, Engines: engines}
}

// Guards against a run that is cut where the IDs of its events are no successive numbers.
func TestTakeoverTakesIDsThatAreNotCounted(t *testing.T) {
	t.Parallel()
	const start, rest = "id: 10\ndata: a\n\nid: 20\ndata: b\n\n", "id: 40\ndata: c\n\n"
	b := newBackupBed(t, bedOptions{route: oneRun}, broken(start), ok(rest))
	if got := b.send(ask{}); got.body != start+rest || got.err != nil {
		t.Errorf("body %q, error %v; want both parts", got.body, got.err)
	}
}
