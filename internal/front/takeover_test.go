package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

const (
	// eventsOfRuns is the number of events of a stream of these tests, and eventPause the time before each.
	eventsOfRuns = 20
	eventPause   = 15 * time.Millisecond
)

// wholeRun returns the first events of a stream.
func wholeRun(events int) string {
	var s strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: word%d\n\n", i, i)
	}
	return s.String()
}

// backupConfig is the usual configuration for engines that copy the memory of their runs.
func backupConfig(version int) platformtest.Config {
	c := config(version)
	c.Engines = &platformtest.EngineOffer{Slots: 8, KVTokens: 480_000, KVTokenBytes: 18_432, LinkMbps: 280_000, HandleS: 5, Backups: true}
	return c
}

// runBackedUp starts a router before engines that copy the memory of their runs, of which another one has just ended.
func (b *testBed) runBackedUp() *testBed {
	b.t.Helper()
	b.publish(backupConfig(1))
	b.register(platformtest.StateReady, b.engines...)
	for _, e := range b.engines {
		e.SetDelay(eventPause)
		e.SetEvents(eventsOfRuns)
	}
	b.startReady()
	b.allowRetries()
	b.endAnother()
	return b
}

// endAnother lets an engine of the pool end, so that the router expects others to do so.
func (b *testBed) endAnother() {
	b.t.Helper()
	other := platformtest.NewEngine("other")
	b.t.Cleanup(other.Close)
	b.register(platformtest.StateReady, other)
	b.waitFor("the router knows the engine", func() bool { return b.hasServer("other") })
	other.Kill()
	b.store.Put(platform.TopicServers, other.ID, nil)
	b.waitFor("the router knows that the engine has ended", func() bool { return !b.hasServer("other") })
}

// hasServer reports whether the router's status names a server.
func (b *testBed) hasServer(id string) bool {
	resp, err := http.Get("http://" + b.settings.ListenMetrics.String() + "/status")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return strings.Contains(string(text), fmt.Sprintf("%q", id))
}

// streamRun is a stream of a caller and what happens to it.
type streamRun struct {
	bed  *testBed
	id   string
	path string
	// at is called when the caller has that number of events.
	at map[int]func(*streamRun)
	// after is called some time after the request was sent, before its first event.
	after time.Duration
	early func(*streamRun)
	ctx   context.Context
}

// do sends the request and reads its answer to the end.
func (s *streamRun) do() reply {
	s.bed.t.Helper()
	r := s.bed.request(http.MethodPost, s.path, "body", platformtest.HeaderPrompt, prompt, platformtest.HeaderModel, "m")
	if s.ctx != nil {
		r = r.WithContext(s.ctx)
	}
	s.id = r.Header.Get(platformtest.HeaderRequestID)
	if s.early != nil {
		time.AfterFunc(s.after, func() { s.early(s) })
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	var body strings.Builder
	events, lines := 0, bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if err == io.EOF {
			err = nil
			line = ""
		} else if err == nil {
			if line == "\n" {
				events++
				if f := s.at[events]; f != nil {
					f(s)
				}
			}
			continue
		}
		return reply{
			status: resp.StatusCode, header: resp.Header, body: body.String(), err: err,
			framed: resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked"),
		}
	}
}

// primary returns the engine that works on the run, and backup the one that has a copy of its memory.
func (s *streamRun) primary() *platformtest.Engine {
	for _, e := range s.bed.engines {
		if works, _ := e.Works(s.id); works {
			return e
		}
	}
	s.bed.t.Errorf("no engine works on %s", s.id)
	return s.bed.engines[0]
}

func (s *streamRun) backup() *platformtest.Engine {
	s.bed.t.Helper()
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, e := range s.bed.engines {
			if e.Copy(s.id) >= 0 {
				return e
			}
		}
	}
	s.bed.t.Errorf("no engine has a copy of %s", s.id)
	return s.bed.engines[0]
}

// received returns the requests of the run that the engines got, in order.
func (s *streamRun) received() []platformtest.ReceivedRequest {
	var list []platformtest.ReceivedRequest
	for _, e := range s.bed.engines {
		for _, r := range e.Requests() {
			if r.ID == s.id {
				list = append(list, r)
			}
		}
	}
	slices.SortFunc(list, func(a, b platformtest.ReceivedRequest) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	return list
}

// expectWhole checks that the caller got each event once, under the signature of the first engine.
func (s *streamRun) expectWhole(got reply) {
	s.bed.t.Helper()
	if got.err != nil || got.status != http.StatusOK || got.body != wholeRun(eventsOfRuns) {
		s.bed.t.Errorf("status %d, error %v, body %q; want the whole stream", got.status, got.err, got.body)
	}
}

// expectCut checks that the caller got the start of the stream in whole events, and no end.
func (s *streamRun) expectCut(got reply) {
	s.bed.t.Helper()
	if got.err == nil || got.status != http.StatusOK || !strings.HasPrefix(wholeRun(eventsOfRuns), got.body) || !strings.HasSuffix(got.body, "\n\n") {
		s.bed.t.Errorf("status %d, error %v, body %q; want the start of the stream in whole events", got.status, got.err, got.body)
	}
}

// expectTakeover checks that the run's second request names the copy and the last event.
func (s *streamRun) expectTakeover(signedBy *platformtest.Engine, got reply) {
	s.bed.t.Helper()
	list := s.received()
	if len(list) != 2 {
		s.bed.t.Errorf("engines got %d requests, want 2", len(list))
		return
	}
	first, second := list[0].Header, list[1].Header
	want := first.Get(platformtest.HeaderBackup) + "/" + s.id
	if second.Get(platformtest.HeaderContinueFrom) != want || first.Get(platformtest.HeaderBackup) == "" {
		s.bed.t.Errorf("the second request continues from %q, want %q", second.Get(platformtest.HeaderContinueFrom), want)
	}
	if signature := got.header.Get(platformtest.HeaderSignature); signature != platformtest.Signature(signedBy.ID) {
		s.bed.t.Errorf("the answer has the signature %q, want that of its first engine %s", signature, signedBy.ID)
	}
}

// backupRoutes are the routes whose streams may be resumed, and may not.
var backupRoutes = map[string]string{"stream": "/stream/x", "resumable": "/resume/x"}

// Guards against a stream that is lost, or has an event missing, twice or cut, because its engine was killed while
// another one had a copy of its memory.
func TestStreamGoesOnAtTheBackupOfItsKilledEngine(t *testing.T) {
	for name, prepare := range map[string]func(*testBed){
		"between events": func(*testBed) {},
		"in an event": func(b *testBed) {
			for _, e := range b.engines {
				e.SetPieces(5, 4*time.Millisecond)
			}
		},
		"whose answers end with their connections": func(b *testBed) {
			for _, e := range b.engines {
				e.SetFraming(platformtest.Unframed)
			}
		},
		"long after the last part of the copy": func(b *testBed) {
			for _, e := range b.engines {
				e.SetBackups(platformtest.Backups{Every: 5 * time.Second})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 3).runBackedUp()
			prepare(b)
			var first, second *platformtest.Engine
			s := &streamRun{bed: b, path: backupRoutes["stream"], at: map[int]func(*streamRun){7: func(s *streamRun) {
				first, second = s.primary(), s.backup()
				time.Sleep(6 * time.Millisecond)
				first.Kill()
			}}}
			got := s.do()
			s.expectWhole(got)
			s.expectTakeover(first, got)
			if name == "long after the last part of the copy" && second.Regenerated() == 0 {
				t.Error("the copy had all events, want one that lacks the newest")
			}
		})
	}
}

// Guards against a second run of a request that may run only once, when its engine ends before the first event: there may be no
// copy yet, and an engine that is asked to continue then may begin anew.
func TestRunIsNotTakenOverBeforeItsFirstEvent(t *testing.T) {
	t.Parallel()
	for kind, path := range backupRoutes {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 3).runBackedUp()
			for _, e := range b.engines {
				e.SetDelay(150 * time.Millisecond)
				e.SetEvents(3)
			}
			s := &streamRun{bed: b, path: path, after: 75 * time.Millisecond, early: func(s *streamRun) {
				s.primary().Kill()
			}}
			s.do()
			list := s.received()
			for _, r := range list {
				if r.Header.Get(platformtest.HeaderContinueFrom) != "" {
					t.Error("an engine was asked to continue the run")
				}
			}
			if kind == "stream" && len(list) != 1 {
				t.Errorf("%d requests, want one", len(list))
			}
		})
	}
}

// Guards against a stream that is joined wrongly or looks complete when the backup engine has no copy any more or never
// had one, and against a resumable stream that ends because of that.
func TestStreamWithoutACopyIsCutOrResumed(t *testing.T) {
	for name, spoil := range map[string]func(first, second *platformtest.Engine){
		"backup killed before": func(first, second *platformtest.Engine) {
			second.Kill()
			time.Sleep(2 * eventPause)
			first.Kill()
		},
		"both killed at once": func(first, second *platformtest.Engine) {
			go second.Kill()
			first.Kill()
		},
		"copy expired": func(first, second *platformtest.Engine) {
			second.SetBackups(platformtest.Backups{Kept: time.Microsecond})
			first.Kill()
		},
		"copy not kept": func(first, second *platformtest.Engine) {
			second.SetBackups(platformtest.Backups{Kept: time.Microsecond, Lost: true})
			first.Kill()
		},
	} {
		for kind, path := range backupRoutes {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				b := newTestBedWith(t, 4).runBackedUp()
				s := &streamRun{bed: b, path: path, at: map[int]func(*streamRun){7: func(s *streamRun) { spoil(s.primary(), s.backup()) }}}
				got := s.do()
				if kind == "resumable" {
					s.expectWhole(got)
					return
				}
				s.expectCut(got)
			})
		}
	}
}

// Guards against a stream that is lost with the second engine of its run, which had a backup of its own.
func TestStreamIsTakenOverAgain(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 4).runBackedUp()
	kill := func(s *streamRun) {
		first := s.primary()
		s.backup()
		first.Kill()
	}
	s := &streamRun{bed: b, path: backupRoutes["stream"], at: map[int]func(*streamRun){4: kill, 14: kill}}
	s.expectWhole(s.do())
	if n := len(s.received()); n != 3 {
		t.Errorf("engines got %d requests, want 3", n)
	}
}

// Guards against a full engine whose 503 counts as a run, or pauses the requests to it.
func TestFullBackupEngineRefusesTheTakeover(t *testing.T) {
	t.Parallel()
	for kind, path := range backupRoutes {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 3).runBackedUp()
			for _, e := range b.engines {
				e.SetBackups(platformtest.Backups{Room: -1})
			}
			s := &streamRun{bed: b, path: path, at: map[int]func(*streamRun){7: func(s *streamRun) { s.primary().Kill() }}}
			got := s.do()
			if kind == "resumable" {
				s.expectWhole(got)
				return
			}
			s.expectCut(got)
		})
	}
}

// Guards against a stream that is lost because the backup engine stands still for a moment when it is needed.
func TestFrozenBackupEngineContinuesTheStreamLater(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 3).runBackedUp()
	s := &streamRun{bed: b, path: backupRoutes["stream"], at: map[int]func(*streamRun){7: func(s *streamRun) {
		first, second := s.primary(), s.backup()
		second.Freeze()
		first.Kill()
		time.AfterFunc(300*time.Millisecond, second.Thaw)
	}}}
	s.expectWhole(s.do())
}

// Guards against two engines that work on one run, when only the connection to the first one was reset.
func TestEngineThatLostItsConnectionStopsBeforeTheTakeover(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 3).runBackedUp()
	for _, e := range b.engines {
		e.SetFaults(func(r *http.Request) platformtest.Fault {
			if r.Header.Get(platformtest.HeaderContinueFrom) == "" {
				return platformtest.ResetAlive
			}
			return platformtest.None
		})
	}
	var first *platformtest.Engine
	s := &streamRun{bed: b, path: backupRoutes["stream"], at: map[int]func(*streamRun){2: func(s *streamRun) {
		first = s.primary()
		s.backup()
	}}}
	got := s.do()
	s.expectWhole(got)
	s.expectTakeover(first, got)
	works, ended := first.Works(s.id)
	if late := ended.Sub(s.received()[1].ReceivedAt); works || late > 400*time.Millisecond {
		t.Errorf("the first engine works: %v, until %v after the takeover; want 400 ms at most", works, late)
	}
}

// Guards against a takeover, or a copy that is kept, for a caller who has gone.
func TestRunOfACallerThatLeftIsNotTakenOver(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 3).runBackedUp()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	s := &streamRun{bed: b, ctx: ctx, path: backupRoutes["stream"], at: map[int]func(*streamRun){5: func(s *streamRun) {
		s.backup()
		leave()
	}}}
	s.do()
	b.waitFor("no engine works on the run", func() bool {
		return !slices.ContainsFunc(b.engines, func(e *platformtest.Engine) bool { works, _ := e.Works(s.id); return works })
	})
	if n := len(s.received()); n != 1 {
		t.Errorf("engines got %d requests, want 1", n)
	}
}

// Guards against engines that go on with the runs of a router that was killed, and against an answer that looks complete.
func TestRunsOfAKilledRouterStop(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 3).runBackedUp()
	s := &streamRun{bed: b, path: backupRoutes["stream"], at: map[int]func(*streamRun){5: func(s *streamRun) {
		s.backup()
		b.stop()
	}}}
	s.expectCut(s.do())
	b.waitForUpTo(400*time.Millisecond, "no engine works on the run", func() bool {
		return !slices.ContainsFunc(b.engines, func(e *platformtest.Engine) bool { works, _ := e.Works(s.id); return works })
	})
}

// Guards against copies that nobody asked for: on a quiet day, where the configuration does not offer them, and for
// requests that are no streams.
func TestBackupsAreNamedOnlyWhenEnginesEnd(t *testing.T) {
	for name, c := range map[string]struct {
		quiet, off bool
		path       string
		want       bool
	}{
		"engine has ended": {path: "/stream/x", want: true},
		"quiet":            {quiet: true, path: "/stream/x"},
		"not offered":      {off: true, path: "/stream/x"},
		"no stream":        {path: "/unsafe/x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 3)
			config := backupConfig(1)
			config.Engines.Backups = !c.off
			b.publish(config)
			b.register(platformtest.StateReady, b.engines...)
			b.startReady()
			if !c.quiet {
				b.endAnother()
			}
			s := &streamRun{bed: b, path: c.path}
			s.do()
			for _, r := range s.received() {
				if got := r.Header.Get(platformtest.HeaderBackup) != ""; got != c.want {
					t.Errorf("a backup is named: %v, want %v", got, c.want)
				}
			}
		})
	}
}

// Guards against a router that waits for a connection that says nothing, although the entry of its engine has gone
// without a word.
func TestSilentRunOfAnEngineWhoseEntryHasGoneIsTakenOver(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 3).runBackedUp()
	var first *platformtest.Engine
	s := &streamRun{bed: b, path: backupRoutes["stream"], at: map[int]func(*streamRun){7: func(s *streamRun) {
		first = s.primary()
		s.backup()
		first.Freeze()
		b.store.Put(platform.TopicServers, first.ID, nil)
	}}}
	got := s.do()
	s.expectWhole(got)
	s.expectTakeover(first, got)
	first.Thaw()
}

// Guards against a takeover of a run whose engine is only silent.
func TestSilentRunIsNotTakenOver(t *testing.T) {
	t.Parallel()
	b := newTestBedWith(t, 3).runBackedUp()
	s := &streamRun{bed: b, path: backupRoutes["stream"], at: map[int]func(*streamRun){7: func(s *streamRun) {
		first := s.primary()
		first.Freeze()
		time.AfterFunc(1200*time.Millisecond, first.Thaw)
	}}}
	s.expectWhole(s.do())
	if n := len(s.received()); n != 1 {
		t.Errorf("engines got %d requests, want 1", n)
	}
}
