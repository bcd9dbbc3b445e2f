package forward

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/streambackup"
)

// ends returns the decayed number of engine ends that the router has seen, beside the one of newBackupBed.
func (b *bed) ends() (ends float64) {
	b.state.eachPool(func(p *pool) { ends = p.backups.Hazard.Ends(time.Now()) - 1 })
	return math.Round(10*ends) / 10
}

// Guards against ends of engines that are not noticed, and against other failures that count as one.
func TestSignsOfEngineEnds(t *testing.T) {
	for name, c := range map[string]struct {
		plain  bool
		down   int
		answer answer
		// then is called after the request.
		then func(b *bed)
		want float64
	}{
		"served":                        {answer: ok(runEvents(1, 5))},
		"failed":                        {answer: status(500, "")},
		"broken off":                    {answer: broken(runEvents(1, 2)), want: 0.5},
		"broken off twice":              {answer: raw(""), then: func(b *bed) { b.send(ask{}) }, want: 1},
		"broken off by plain ones":      {answer: broken(runEvents(1, 2)), plain: true},
		"vanished":                      {answer: ok(runEvents(1, 5)), then: func(b *bed) { b.withoutServer(b.servers[0]) }, want: 1},
		"broken off by one that leaves": {answer: raw("HTTP/1.1 200 OK\r\nId: %ID%\r\nSigned: by first\r\nLeaving: 1\r\nContent-Length: 99\r\n\r\n" + runEvents(1, 2))},
		"left": {answer: ok(runEvents(1, 5)), then: func(b *bed) {
			b.state.pool("p").recordLeaving(b.servers[0].Key())
			b.withoutServer(b.servers[0])
		}},
		"failures of others":   {answer: ok(runEvents(1, 5)), then: func(b *bed) { b.state.EjectFailing(b.outcomes(2, 4)) }, want: 1},
		"few failures":         {answer: ok(runEvents(1, 5)), then: func(b *bed) { b.state.EjectFailing(b.outcomes(1, 1)) }},
		"few of many failures": {answer: ok(runEvents(1, 5)), then: func(b *bed) { b.state.EjectFailing(b.outcomes(4, 9)) }},
		"failures where no backups are offered": {answer: ok(runEvents(1, 5)), then: func(b *bed) {
			b.state.SetTable(routing.Compile(bedConfig(bedOptions{route: oneRun})))
			b.state.EjectFailing(b.outcomes(2, 2))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newBackupBed(t, bedOptions{virtual: true, route: oneRun}, c.answer)
				// One engine gets all requests.
				b.servers = b.servers[:1]
				b.servers[0].Engine = !c.plain
				b.withoutServer(nil)
				b.state.eachPool(func(p *pool) { p.backups.Hazard = hazardOfOther() })
				b.send(ask{})
				if c.then != nil {
					c.then(b)
				}
				if got := b.ends(); got != c.want {
					t.Errorf("%v ends, want %v", got, c.want)
				}
			})
		})
	}
}

// outcomes returns the outcomes of all routers at the first server.
func (b *bed) outcomes(failed, ended int) []digest.Outcomes {
	return []digest.Outcomes{{Server: digest.ShortHash(b.servers[0].Key().Hash()), Failed: failed, Ended: ended}}
}

// Guards against an engine that accepts no connections and is not noticed.
func TestEngineThatRefusesConnectionsHasEnded(t *testing.T) {
	t.Parallel()
	b := newBackupBed(t, bedOptions{route: oneRun}, ok(runEvents(1, 5)))
	b.servers = []*registry.Server{{ID: "down", Pool: "p", Addr: closedAddr(t), Slots: 64, Engine: true}}
	b.withoutServer(nil)
	b.state.eachPool(func(p *pool) { p.backups.Hazard = hazardOfOther() })
	b.send(ask{})
	if got := b.ends(); got != 1 {
		t.Errorf("%v ends, want 1", got)
	}
}

// Guards against a release, a young engine or the time left that the decision does not know.
func TestDecisionKnowsTheRun(t *testing.T) {
	t.Parallel()
	b := newBackupBed(t, bedOptions{route: oneRun}, ok(runEvents(1, 5)))
	p := b.state.pool("p")
	p.versions.several = true
	s := &registry.Server{ID: "a", Born: time.Now().Add(-time.Second).UnixMilli()}
	p.mu.Lock()
	e := p.engineOf(time.Now(), primaryAt(s, 7))
	p.mu.Unlock()
	if e.ID != engineID(s) || !e.Release || e.Engines != 7 || e.Age < time.Second || e.Age > time.Minute {
		t.Errorf("engine %+v, want the release, seven engines and an age of a second", e)
	}
	c := &call{route: &routing.Route{Resumable: true}, deadline: time.Now().Add(time.Minute)}
	c.headers = RequestHeaders{Prompt: []Part{{Tokens: 5}, {Tokens: 7}}, MaxOutputTokens: 3, OutputHint: 2}
	c.stream.events.Scan([]byte("id: 4\n\n"))
	run := c.backupRun()
	if run.PromptTokens != 12 || run.MaxOutput != 3 || run.OutputHint != 2 || run.Done != 4 || !run.Resumable || run.Remaining < 50*time.Second {
		t.Errorf("run %+v, want what the request states and where the stream is", run)
	}
	c.headers.PromptTokens = 20
	if got := c.backupRun().PromptTokens; got != 20 {
		t.Errorf("%d tokens of the prompt, want those that the caller states", got)
	}
}

// Guards against an expected length of runs that is not the pool's.
func TestLengthOfRunsIsLearned(t *testing.T) {
	t.Parallel()
	b := newBackupBed(t, bedOptions{route: oneRun}, func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 3; i++ {
			_, _ = io.WriteString(w, runEvents(i, i))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
	before := streambackup.Policy{}
	b.send(ask{})
	b.logged()
	b.state.eachPool(func(p *pool) {
		if run := (streambackup.Run{PromptTokens: 1}); p.backups.Tokens(run, streambackup.Target{}) >= before.Tokens(run, streambackup.Target{}) {
			t.Errorf("runs are expected to have %d tokens, want those of a short stream", p.backups.Tokens(run, streambackup.Target{}))
		}
	})
}

// Guards against copies that nobody asked for, cost too much or exceed the bounds, and against none when they are worth it.
func TestBackupIsNamedWhereItIsWorthIt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(b *bed, e *routing.Engine)
		kind   routing.Kind
		want   bool
	}{
		"engine has ended": {kind: routing.Stream, want: true},
		"no stream":        {kind: routing.Unsafe},
		"plain server":     {kind: routing.Stream, change: func(b *bed, _ *routing.Engine) { b.servers[0].Engine = false }},
		"not offered":      {kind: routing.Stream, change: func(_ *bed, e *routing.Engine) { e.Backups = false }},
		"quiet":            {kind: routing.Stream, change: func(b *bed, _ *routing.Engine) { b.state.pool("p").backups.Hazard = streambackup.Hazard{} }},
		"too dear":         {kind: routing.Stream, change: func(_ *bed, e *routing.Engine) { e.KVTokenBytes = 1 << 40 }},
		"too many": {kind: routing.Stream, change: func(b *bed, e *routing.Engine) {
			for target := range uint64(100) {
				b.state.pool("p").backups.Copies.Add(target, 1)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := routing.Route{Kind: c.kind, MaxAttempts: 1}
			b := newBackupBed(t, bedOptions{route: route}, ok(runEvents(1, 5)))
			engine := b.state.Table().Pool("p").Engine
			if c.change != nil {
				c.change(b, engine)
			}
			// The first server gets the request.
			for _, s := range b.servers[1:] {
				s.DataCentre = "other"
			}
			b.servers[0].DataCentre = "here"
			b.state.limits.DataCentre = "here"
			b.state.SetServers(b.servers)
			b.send(ask{header: promptOf("3:1000")})
			if got := b.got()[0].r.Header.Get("Backup") != ""; got != c.want {
				t.Errorf("a backup is named: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a takeover of a run that may go on, since its engine is silent or its connection timed out, and against
// a run that is over and lost.
func TestRunIsOverWhenItsConnectionIs(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		cause, read error
		via         string
		want        bool
	}{
		{read: io.ErrUnexpectedEOF, want: true},
		{read: io.ErrUnexpectedEOF, via: "10.0.0.1", want: true},
		{read: io.EOF, via: "10.0.0.1", want: true},
		{read: &net.OpError{Op: "read", Err: syscall.ECONNRESET}, want: true},
		{read: errors.New("malformed chunk"), want: true},
		{read: errors.New("the carrier has ended"), via: "10.0.0.1"},
		{read: &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}},
		{read: &net.OpError{Op: "read", Err: syscall.EHOSTUNREACH}},
		{read: os.ErrDeadlineExceeded},
		{read: errTooLong},
		{cause: errSilent, read: context.Canceled},
		{cause: errRouterEnds, read: context.Canceled},
		{cause: errEngineGone, read: context.Canceled, want: true},
	} {
		ctx, cancel := context.WithCancelCause(context.Background())
		if c.cause != nil {
			cancel(c.cause)
		}
		call := &call{attempts: attempts{readError: c.read, via: c.via}}
		if got := call.runOver(ctx); got != c.want {
			t.Errorf("cancelled by %v, read error %v, via %q: over %v, want %v", c.cause, c.read, c.via, got, c.want)
		}
		cancel(nil)
	}
}
