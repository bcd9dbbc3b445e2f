package kvmove

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

const (
	prefixTokens = 100
	systemTokens = 10
)

// rig is a pool of three engines with chats on engine "a".
type rig struct {
	t       *testing.T
	ctx     context.Context
	clock   *clockwork.FakeClock
	pool    *admission.Pool
	engines map[string]*enginesim.Engine
	clients map[string]*hooked
	mover   *Mover
	// ended receives one value for each move that ended.
	ended chan struct{}
	// collected receives one value when the chats of an engine were collected.
	collected chan struct{}
	// exporting receives one value for each export that begins.
	exporting chan struct{}
	chats     []Chat
}

// hooked is an engine client with a step between the export and its end.
type hooked struct {
	*engineclient.Client
	rig       *rig
	exported  func()
	importErr error
}

func (h *hooked) ExportKV(ctx context.Context, prefixKey, systemKey string) ([]byte, error) {
	h.rig.exporting <- struct{}{}
	blob, err := h.Client.ExportKV(ctx, prefixKey, systemKey)
	if h.exported != nil {
		h.exported()
	}
	return blob, err
}

func (h *hooked) ImportKV(ctx context.Context, blob []byte) (int, error) {
	if h.importErr != nil {
		return 0, h.importErr
	}
	return h.Client.ImportKV(ctx, blob)
}

// Write takes the mover's log lines and turns them into values of the channels.
func (r *rig) Write(line []byte) (int, error) {
	switch {
	case bytes.Contains(line, []byte("result=")):
		r.ended <- struct{}{}
	case bytes.Contains(line, []byte("chats=")):
		r.collected <- struct{}{}
	}
	return len(line), nil
}

func newRig(t *testing.T, chats, perMinute int) *rig {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	r := &rig{
		t: t, ctx: ctx, clock: clockwork.NewFakeClockAt(start),
		engines: map[string]*enginesim.Engine{}, clients: map[string]*hooked{},
		ended: make(chan struct{}, 1000), collected: make(chan struct{}, 1000), exporting: make(chan struct{}, 1000),
	}
	r.pool = admission.NewPool(admission.Config{Pool: &record.Pool{Name: "p", LoadMultiple: 1.5, MaxInFlight: 4}},
		admission.Deps{Rand: rand.New(rand.NewPCG(1, 1)).Float64})
	r.pool.SetShare(r.clock.Now(), 1, time.Time{})
	for _, name := range []string{"a", "b", "c"} {
		r.startEngine(name)
	}
	names := NewNames(0)
	r.setStates(placement.Up, placement.Down, placement.Down)
	for i := range chats {
		r.chat(names, i)
	}
	log := hclog.New(&hclog.LoggerOptions{Output: r, Level: hclog.Debug})
	r.mover = NewMover(Deps{
		Clock: r.clock, Pool: r.pool, Names: names, Events: event.NewLogger(log),
		SystemKey: func(string) string { return "system" },
		Engine:    func(name string) Engine { return r.clients[name] },
	})
	t.Cleanup(r.mover.Close)
	r.mover.SetLimit(perMinute)
	r.setStates(placement.Leaving, placement.Up, placement.Up)
	return r
}

func (r *rig) startEngine(name string) {
	e := enginesim.New(enginesim.Config{Name: name})
	r.t.Cleanup(e.Close)
	addr, err := e.Start("127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.engines[name] = e
	r.clients[name] = &hooked{rig: r, Client: engineclient.New(engineclient.Options{
		// Only the mover ends a slow call within the time of a test.
		BaseURL: "http://" + addr, KVTimeout: time.Hour,
	})}
}

func (r *rig) setStates(a, b, c placement.State) {
	r.pool.SetEngines(r.clock.Now(), []admission.Engine{
		{Name: "a", State: a, BootID: "1"}, {Name: "b", State: b, BootID: "1"}, {Name: "c", State: c, BootID: "1"},
	})
}

// chat gives engine "a" the prefix of a new chat.
func (r *rig) chat(names *Names, i int) {
	c := Chat{Workspace: "w", Name: fmt.Sprint("chat-", i)}
	r.chats = append(r.chats, c)
	blob := fmt.Sprintf(`{"prefix_key":%q,"system_key":"system","tokens":%d,"system_tokens":%d}`, c.PrefixKey(), prefixTokens, systemTokens)
	if _, err := r.clients["a"].Client.ImportKV(r.ctx, []byte(blob)); err != nil {
		r.t.Fatal(err)
	}
	ticket, grant := r.submit(c)
	r.pool.Release(r.clock.Now(), ticket, admission.Result{PromptTokens: prefixTokens})
	if grant.Engine != "a" {
		r.t.Fatalf("%s went to %s", c.Name, grant.Engine)
	}
	r.clock.Advance(time.Second)
	names.Note(r.clock.Now(), c)
}

// submit asks for a slot, which is there at once.
func (r *rig) submit(c Chat) (*admission.Ticket, *admission.Grant) {
	r.t.Helper()
	ticket := r.pool.Submit(r.clock.Now(), &admission.Request{Workspace: c.Workspace, Chat: c.Name, Class: record.PriorityStandard})
	select {
	case o := <-ticket.Done():
		if o.Grant != nil {
			return ticket, o.Grant
		}
		r.t.Fatalf("%s was refused: %v", c.Name, o.Refusal)
	default:
		r.t.Fatalf("%s had to wait", c.Name)
	}
	return nil, nil
}

func (r *rig) await(ch chan struct{}, n int) {
	r.t.Helper()
	for range n {
		select {
		case <-ch:
		case <-r.ctx.Done():
			r.t.Fatalf("no event within a minute; results %v", r.mover.Results())
		}
	}
}

// hits submits every chat once and counts those that the pool sends to an
// engine for their prefix. The engine must have it.
func (r *rig) hits() int {
	r.t.Helper()
	hits := 0
	for _, c := range r.chats {
		ticket, grant := r.submit(c)
		cached := r.engines[grant.Engine].CachedTokens(c.PrefixKey(), "system", prefixTokens)
		if grant.Reason == placement.ByPrefix {
			hits++
			if cached < prefixTokens {
				r.t.Errorf("%s went to %s for its prefix and found %d tokens", c.Name, grant.Engine, cached)
			}
		}
		r.pool.Release(r.clock.Now(), ticket, admission.Result{EngineFailed: true})
	}
	return hits
}

// Guards against moves that are lost, repeated or recorded although they
// failed, and against a fault of a move that touches a request: after each
// fault every chat is granted at once.
func TestMovesUnderFaults(t *testing.T) {
	const chats = 8
	for _, c := range []struct {
		name  string
		fault func(r *rig)
		// during runs while the first moves are in progress.
		during  func(r *rig)
		ended   int
		results map[Result]int64
		hits    int
	}{
		{name: "healthy", ended: chats, results: map[Result]int64{Moved: chats}, hits: chats},
		{
			name:  "source refuses",
			fault: func(r *rig) { must(r.t, r.engines["a"].SetRefuse(true)) },
			// Moves that ran when the rest was given up end as well.
			ended: maxSourceFailures, results: map[Result]int64{SourceFailed: maxSourceFailures},
		},
		{
			name:  "source dies during the exports",
			fault: func(r *rig) { r.engines["a"].Pause() },
			during: func(r *rig) {
				r.await(r.exporting, Concurrent)
				r.engines["a"].Die()
			},
			ended: Concurrent, results: map[Result]int64{SourceFailed: Concurrent},
		},
		{
			name:  "source hangs",
			fault: func(r *rig) { r.engines["a"].Pause() },
			during: func(r *rig) {
				r.await(r.exporting, Concurrent)
				r.clock.Advance(moveTimeout)
			},
			ended: Concurrent, results: map[Result]int64{SourceFailed: Concurrent},
		},
		{
			name: "source lost the prefixes",
			fault: func(r *rig) {
				r.engines["a"].Die()
				r.clients["a"].Close()
				must(r.t, r.engines["a"].Restart())
			},
			ended: chats, results: map[Result]int64{NotCached: chats},
		},
		{
			name: "imports are refused",
			fault: func(r *rig) {
				r.clients["b"].importErr = errors.New("refused")
				r.clients["c"].importErr = errors.New("refused")
			},
			ended: chats, results: map[Result]int64{DestinationFailed: chats},
		},
		{
			name: "destinations restart between export and import",
			fault: func(r *rig) {
				r.clients["a"].exported = func() {
					now := r.clock.Now()
					boot := fmt.Sprint(rand.Uint64())
					r.pool.SetEngines(now, []admission.Engine{
						{Name: "a", State: placement.Leaving, BootID: "1"}, {Name: "b", State: placement.Up, BootID: boot}, {Name: "c", State: placement.Up, BootID: boot},
					})
				}
			},
			ended: chats, results: map[Result]int64{Outdated: chats},
		},
		{
			name: "destinations leave between export and import",
			fault: func(r *rig) {
				var exports sync.WaitGroup
				exports.Add(Concurrent)
				r.clients["a"].exported = func() {
					exports.Done()
					exports.Wait()
					r.setStates(placement.Leaving, placement.Leaving, placement.Leaving)
				}
			},
			during: func(r *rig) {
				r.await(r.ended, Concurrent)
				r.mover.SetLeaving(nil)
				r.setStates(placement.Down, placement.Up, placement.Up)
				r.ended <- struct{}{}
			},
			ended: 1, results: map[Result]int64{Outdated: Concurrent},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, chats, 100)
			if c.fault != nil {
				c.fault(r)
			}
			r.mover.SetLeaving([]string{"a"})
			if c.during != nil {
				c.during(r)
			}
			r.await(r.ended, c.ended)
			r.mover.Close()
			for res := range numResults {
				got, want := r.mover.Results()[res.String()], c.results[res]
				if got < want || got > want && (res != SourceFailed || got > Concurrent+maxSourceFailures) {
					t.Errorf("%s: %d, want %d; all %v", res, got, want, r.mover.Results())
				}
			}
			if hits := r.hits(); hits != c.hits {
				t.Errorf("%d of %d chats found their prefix, want %d", hits, chats, c.hits)
			}
		})
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards the pool's limit of moves in a minute: the chats used last are moved
// at once, the next ones a minute later.
func TestMovesPerMinute(t *testing.T) {
	r := newRig(t, 6, 2)
	r.mover.SetLeaving([]string{"a"})
	for minute := 1; minute <= 3; minute++ {
		r.await(r.ended, 2)
		if got := r.mover.Results()["moved"]; got != int64(2*minute) {
			t.Fatalf("%d moves in minute %d", got, minute)
		}
		for i, c := range r.chats {
			held := r.pool.Holds("b", []uint64{c.Key()}, nil)[0] + r.pool.Holds("c", []uint64{c.Key()}, nil)[0]
			if moved := i >= len(r.chats)-2*minute; moved != (held > 0) {
				t.Errorf("minute %d: %s: moved %v", minute, c.Name, held > 0)
			}
		}
		if minute < 3 {
			must(t, r.clock.BlockUntilContext(r.ctx, 1))
			r.clock.Advance(window)
		}
	}
}

// Guards against an import into an engine at its bound, and against a request
// that is held back by a waiting move.
func TestNoMoveToFullEngines(t *testing.T) {
	r := newRig(t, 2, 100)
	var filler []*admission.Ticket
	for i := range 8 {
		ticket, _ := r.submit(Chat{Workspace: "other", Name: fmt.Sprint(i)})
		filler = append(filler, ticket)
	}
	r.mover.SetLeaving([]string{"a"})
	must(t, r.clock.BlockUntilContext(r.ctx, 1))
	if n := len(r.exporting); n != 0 {
		t.Fatalf("%d exports while every engine is full", n)
	}
	// The first chat returns before its move, and is placed as soon as a slot is free.
	r.pool.Release(r.clock.Now(), filler[0], admission.Result{})
	r.mover.Returned(r.chats[1])
	ticket, _ := r.submit(r.chats[1])
	r.pool.Release(r.clock.Now(), ticket, admission.Result{PromptTokens: prefixTokens})
	for _, f := range filler[1:] {
		r.pool.Release(r.clock.Now(), f, admission.Result{})
	}
	r.clock.Advance(fullPause)
	r.await(r.ended, 1)
	r.mover.Close()
	if got := r.mover.Results()["moved"]; got != 1 || len(r.exporting) != 1 {
		t.Fatalf("%d moves and %d exports, want only that of the chat that did not return", got, len(r.exporting))
	}
}

// Guards against an answer that ends on a leaving engine after its chats were
// collected, and whose chat then stays behind.
func TestChatThatEndsLateIsMoved(t *testing.T) {
	r := newRig(t, 1, 100)
	r.mover.deps.Names = NewNames(0)
	r.mover.SetLeaving([]string{"a"})
	r.await(r.collected, 1)
	r.mover.Finished(r.clock.Now(), "a", r.chats[0])
	r.await(r.ended, 1)
	if hits := r.hits(); hits != 1 {
		t.Fatalf("the chat did not find its prefix; results %v", r.mover.Results())
	}
}
