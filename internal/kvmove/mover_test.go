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

const prefixTokens = 100

// rig is a test pool of three engines, with the chats on engine "a".
type rig struct {
	t       *testing.T
	ctx     context.Context
	clock   *clockwork.FakeClock
	pool    *admission.Pool
	engines map[string]*enginesim.Engine
	clients map[string]*hookedClient
	mover   *Mover
	// boot is the boot id of engines "b" and "c".
	boot string
	// The channels receive one value for each move that ended, each collection
	// of an engine's chats, and each export that started.
	ended, collected, exporting chan struct{}
	chats                       []Chat
}

// hookedClient is an engine client with a hook after the export and an optional
// import error.
type hookedClient struct {
	*engineclient.Client
	rig       *rig
	exported  func()
	importErr error
}

func (h *hookedClient) ExportKV(ctx context.Context, prefixKey, systemKey string) ([]byte, error) {
	h.rig.exporting <- struct{}{}
	blob, err := h.Client.ExportKV(ctx, prefixKey, systemKey)
	if h.exported != nil {
		h.exported()
	}
	return blob, err
}

func (h *hookedClient) ImportKV(ctx context.Context, blob []byte) (int, error) {
	tokens, err := h.Client.ImportKV(ctx, blob)
	return tokens, errors.Join(err, h.importErr)
}

// Write receives the mover's log lines and sends a value to the matching channel.
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
		t: t, ctx: ctx, boot: "1", clock: clockwork.NewFakeClockAt(start),
		engines: map[string]*enginesim.Engine{}, clients: map[string]*hookedClient{},
		ended: make(chan struct{}, 1000), collected: make(chan struct{}, 1000), exporting: make(chan struct{}, 1000),
	}
	r.pool = admission.NewPool(admission.Config{Pool: &record.Pool{Name: "p", LoadMultiple: 1.5, MaxInFlight: 4}},
		admission.Deps{Rand: rand.New(rand.NewPCG(1, 1)).Float64})
	r.pool.SetShare(r.clock.Now(), 1, time.Time{})
	for _, name := range []string{"a", "b", "c"} {
		e := enginesim.New(enginesim.Config{Name: name})
		t.Cleanup(e.Close)
		addr, err := e.Start("127.0.0.1:0")
		must(t, err)
		// The client's own timeout must not end a slow call before the mover does.
		client := engineclient.New(engineclient.Options{BaseURL: "http://" + addr, KVTimeout: time.Hour})
		r.engines[name], r.clients[name] = e, &hookedClient{rig: r, Client: client}
	}
	names := NewChatNames(0)
	r.setStates(placement.Up, placement.Down, placement.Down)
	for i := range chats {
		r.chat(names, i)
	}
	log := hclog.New(&hclog.LoggerOptions{Output: r, Level: hclog.Debug})
	r.mover = NewMover(Deps{
		Clock: r.clock, Pool: r.pool, ChatNames: names, Events: event.NewLogger(log),
		SystemKey: func(string) string { return "system" },
		Engine:    func(name string) Engine { return r.clients[name] },
	})
	t.Cleanup(r.mover.Close)
	r.mover.SetLimit(perMinute)
	r.setStates(placement.Leaving, placement.Up, placement.Up)
	return r
}

func (r *rig) setStates(a, b, c placement.State) {
	r.pool.SetEngines(r.clock.Now(), []admission.Engine{
		{Name: "a", State: a, BootID: "1"}, {Name: "b", State: b, BootID: r.boot}, {Name: "c", State: c, BootID: r.boot},
	})
}

// chat gives engine "a" the prefix of a new chat.
func (r *rig) chat(names *ChatNames, i int) {
	c := Chat{Workspace: "w", Name: fmt.Sprint("chat-", i)}
	r.chats = append(r.chats, c)
	blob := fmt.Sprintf(`{"prefix_key":%q,"system_key":"system","tokens":%d,"system_tokens":10}`, c.PrefixKey(), prefixTokens)
	_, err := r.clients["a"].Client.ImportKV(r.ctx, []byte(blob))
	must(r.t, err)
	ticket, grant := r.submit(c)
	r.pool.Release(r.clock.Now(), ticket, admission.Result{PromptTokens: prefixTokens})
	if grant.Engine != "a" {
		r.t.Fatalf("%s went to %s, want a", c.Name, grant.Engine)
	}
	r.clock.Advance(time.Second)
	names.Record(r.clock.Now(), c)
}

// submit requests a slot, which must be granted at once.
func (r *rig) submit(c Chat) (*admission.Ticket, *admission.Grant) {
	r.t.Helper()
	ticket := r.pool.Submit(r.clock.Now(), &admission.Request{Workspace: c.Workspace, Chat: c.Name, Class: record.PriorityStandard})
	var o admission.Outcome
	select {
	case o = <-ticket.Done():
	default:
	}
	if o.Grant == nil {
		r.t.Fatalf("%s had to wait or was refused: %v", c.Name, o.Refusal)
	}
	return ticket, o.Grant
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

// hits submits every chat once and counts those that the pool sends to an engine
// because of their prefix. The engine must have the prefix.
func (r *rig) hits() int {
	r.t.Helper()
	hits := 0
	for _, c := range r.chats {
		ticket, grant := r.submit(c)
		if grant.Reason == placement.ByPrefix {
			hits++
			if n := r.engines[grant.Engine].CachedTokens(c.PrefixKey(), "system", prefixTokens); n < prefixTokens {
				r.t.Errorf("%s went to %s for its prefix, which has %d tokens there", c.Name, grant.Engine, n)
			}
		}
		r.pool.Release(r.clock.Now(), ticket, admission.Result{EngineFailed: true})
	}
	return hits
}

// Guards against moves that are lost, repeated or recorded although they failed,
// and against a failed move that affects requests: after each fault every chat
// is granted a slot at once.
func TestMovesUnderFaults(t *testing.T) {
	const chats = 8
	noop := func(*rig) {}
	pause := func(r *rig) { r.engines["a"].Pause() }
	for _, c := range []struct {
		name string
		// fault runs before the moves, during while exports are in progress, and
		// after once n moves have ended.
		fault, during, after func(r *rig)
		// n is the number of moves that end with the result.
		result Result
		n      int
	}{
		{"healthy", noop, noop, noop, ResultMoved, chats},
		{"source refuses", func(r *rig) { must(r.t, r.engines["a"].SetRefuseConnections(true)) }, noop, noop, ResultSourceFailed, maxSourceFailures},
		{"source crashes during the exports", pause, func(r *rig) {
			r.await(r.exporting, MaxConcurrent)
			r.engines["a"].Crash()
		}, noop, ResultSourceFailed, MaxConcurrent},
		{"source hangs", pause, func(r *rig) {
			r.await(r.exporting, MaxConcurrent)
			r.clock.Advance(moveTimeout)
		}, noop, ResultSourceFailed, MaxConcurrent},
		{"source lost the prefixes", func(r *rig) {
			r.engines["a"].Crash()
			r.clients["a"].Close()
			must(r.t, r.engines["a"].Restart())
		}, noop, noop, ResultNotCached, chats},
		{"imports are refused", func(r *rig) {
			r.clients["b"].importErr = errors.New("refused")
			r.clients["c"].importErr = errors.New("refused")
		}, noop, noop, ResultDestinationFailed, chats},
		{"destinations restart between export and import", func(r *rig) {
			var mu sync.Mutex
			r.clients["a"].exported = func() {
				mu.Lock()
				defer mu.Unlock()
				r.boot += "+"
				r.setStates(placement.Leaving, placement.Up, placement.Up)
			}
		}, noop, noop, ResultOutdated, chats},
		{"destinations leave between export and import", func(r *rig) {
			var exports sync.WaitGroup
			exports.Add(MaxConcurrent)
			r.clients["a"].exported = func() {
				exports.Done()
				exports.Wait()
				r.setStates(placement.Leaving, placement.Leaving, placement.Leaving)
			}
		}, noop, func(r *rig) {
			r.mover.SetLeaving(nil)
			r.setStates(placement.Down, placement.Up, placement.Up)
		}, ResultOutdated, MaxConcurrent},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, chats, 100)
			c.fault(r)
			r.mover.SetLeaving([]string{"a"})
			c.during(r)
			r.await(r.ended, c.n)
			c.after(r)
			r.mover.Close()
			for res := range numResults {
				got, want := r.mover.Results()[res.String()], int64(0)
				if res == c.result {
					want = int64(c.n)
				}
				// Moves that already run when the rest is abandoned end as well.
				tolerated := want > 0 && res == ResultSourceFailed && got > want && got < maxSourceFailures+MaxConcurrent
				if got != want && !tolerated {
					t.Errorf("%s: %d, want %d; all %v", res, got, want, r.mover.Results())
				}
			}
			if hits := r.hits(); hits != 0 && c.result != ResultMoved || hits != c.n && c.result == ResultMoved {
				t.Errorf("%d of %d chats found their prefix, want those that were moved", hits, chats)
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

// Guards against more moves than the pool's limit per minute, and against another
// order: the most recently used chats are moved at once, the next ones a minute
// later.
func TestMovesPerMinute(t *testing.T) {
	r := newRig(t, 6, 2)
	r.mover.SetLeaving([]string{"a"})
	for minute := 1; minute <= 3; minute++ {
		r.await(r.ended, 2)
		if got := r.mover.Results()["moved"]; got != int64(2*minute) {
			t.Fatalf("%d moves by the end of minute %d, want 2 for each minute", got, minute)
		}
		for i, c := range r.chats {
			cachedTokens := r.pool.PrefixLengths("b", []uint64{c.Key()}, nil)[0] + r.pool.PrefixLengths("c", []uint64{c.Key()}, nil)[0]
			if moved := i >= len(r.chats)-2*minute; moved != (cachedTokens > 0) {
				t.Errorf("minute %d: %s: moved %v", minute, c.Name, cachedTokens > 0)
			}
		}
		if minute < 3 {
			must(t, r.clock.BlockUntilContext(r.ctx, 1))
			r.clock.Advance(rateWindow)
		}
	}
}

// Guards against a move while every engine is at its load bound, against a request
// that is delayed by a waiting move, and against a move of a chat that got a new
// request meanwhile.
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
		t.Fatalf("%d exports while every engine is full, want none", n)
	}
	// The chat that would be moved first gets a new request before its move, which
	// is placed as soon as a slot is free.
	r.pool.Release(r.clock.Now(), filler[0], admission.Result{})
	r.mover.RecordRequest(r.chats[1])
	ticket, _ := r.submit(r.chats[1])
	r.pool.Release(r.clock.Now(), ticket, admission.Result{PromptTokens: prefixTokens})
	for _, f := range filler[1:] {
		r.pool.Release(r.clock.Now(), f, admission.Result{})
	}
	r.clock.Advance(fullRetryInterval)
	r.await(r.ended, 1)
	r.mover.Close()
	if got := r.mover.Results()["moved"]; got != 1 || len(r.exporting) != 1 {
		t.Fatalf("%d moves and %d exports, want only that of the chat without a new request", got, len(r.exporting))
	}
}

// Guards against a chat that is not moved because its answer ended on the leaving
// engine after the engine's chats were collected.
func TestChatThatEndsLateIsMoved(t *testing.T) {
	r := newRig(t, 1, 100)
	r.mover.deps.ChatNames = NewChatNames(0)
	r.mover.SetLeaving([]string{"a"})
	r.await(r.collected, 1)
	r.mover.RecordAnswer(r.clock.Now(), "a", r.chats[0])
	r.await(r.ended, 1)
	if hits := r.hits(); hits != 1 {
		t.Fatalf("the chat did not find its prefix; results %v", r.mover.Results())
	}
}
