package testbed

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/standin/backendsim"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// slow makes answers long enough to be met by a fault.
var slow = enginesim.Config{PrefillPerToken: time.Microsecond, PerToken: 5 * time.Millisecond}

// longChat has an answer of about two seconds with the slow engines.
func longChat(b *Bed, n int) Chat {
	return Chat{
		Workspace: b.Profile.Workspaces[n%len(b.Profile.Workspaces)],
		ChatID:    fmt.Sprintf("long-%d", n),
		Model:     b.Profile.Model,
		Prompt:    fmt.Sprintf("long question %d", n),
		MaxTokens: 400,
	}
}

type result struct {
	chat  Chat
	reply Reply
	err   error
}

// runLong sends chats through the routers in turn and calls fault when all of
// them run at an engine. It returns when every caller has its last answer.
func runLong(ctx context.Context, t *testing.T, b *Bed, n int, via []*router.Router, fault func()) []result {
	t.Helper()
	c := NewCaller()
	defer c.Close()
	started := len(b.Pool.Records())
	results := make([]result, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			chat := longChat(b, i)
			r, err := c.Send(ctx, via[i%len(via)].Addr(), chat)
			results[i] = result{chat: chat, reply: r, err: err}
		}()
	}
	if err := b.Pool.Await(ctx, started+n); err != nil {
		t.Fatal(err)
	}
	fault()
	wg.Wait()
	return results
}

func mustBeWhole(t *testing.T, results []result) {
	t.Helper()
	for i, r := range results {
		if r.err != nil || !r.reply.Whole || r.reply.Text != r.chat.Answer() {
			t.Errorf("request %d: whole %v, outcome %q, code %q, detail %q, %d of %d bytes, error %v", i, r.reply.Whole,
				r.reply.Outcome, r.reply.Code, r.reply.Detail, len(r.reply.Text), len(r.chat.Answer()), r.err)
		}
	}
}

// owner returns the router that owns the engine pool, and the others.
func owner(b *Bed) (own *router.Router, others []*router.Router) {
	all := Sorted(b.Routers())
	name := all[0].Status().Owners[b.Profile.EnginePool]
	for _, r := range all {
		if r.VM() == name {
			own = r
		} else {
			others = append(others, r)
		}
	}
	return own, others
}

// Guards against answers that are cut or repeated when the router that admits
// for their pool dies: the entry routers resume them through the next owner.
func TestOwnerDeathKeepsAnswersWhole(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 4, Engines: 4, Backends: 1, Engine: slow})
	own, others := owner(b)
	results := runLong(ctx, t, b, 12, others, func() { b.KillRouter(own.VM()) })
	mustBeWhole(t, results)
	if n := len(b.Pool.Records()); n != 12 {
		t.Errorf("%d attempts ran for 12 requests", n)
	}
}

// Guards against a caller who loses the rest of an answer with its entry
// router: any other router continues it at the offset.
func TestEntryDeathIsResumedElsewhere(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 4, Engines: 4, Backends: 1, Engine: slow})
	_, others := owner(b)
	entryRouter, next := others[0], others[1]
	results := runLong(ctx, t, b, 4, []*router.Router{entryRouter}, func() {
		if err := awaitFirstTokens(ctx, b, 4); err != nil {
			t.Fatal(err)
		}
		b.KillRouter(entryRouter.VM())
	})
	c := NewCaller()
	defer c.Close()
	for i, r := range results {
		if r.reply.Whole || r.reply.RequestID == "" {
			t.Fatalf("request %d: whole %v, id %q; the entry router should have died", i, r.reply.Whole, r.reply.RequestID)
		}
		offset := len([]rune(r.reply.Text))
		rest, err := c.Resume(ctx, next.Addr(), r.chat.Workspace, r.reply.RequestID, offset)
		if err != nil || !rest.Whole || r.reply.Text+rest.Text != r.chat.Answer() {
			t.Errorf("request %d: rest from %d: whole %v, code %q, error %v", i, offset, rest.Whole, rest.Code, err)
		}
	}
}

// awaitFirstTokens waits until n answers have begun.
func awaitFirstTokens(ctx context.Context, b *Bed, n int) error {
	return b.Wait(ctx, func() bool {
		begun := 0
		for _, r := range b.Pool.Records() {
			if !r.FirstToken.IsZero() && r.Tokens > 0 || !r.FirstToken.IsZero() && time.Since(r.FirstToken) > 50*time.Millisecond {
				begun++
			}
		}
		return begun >= n
	})
}

// Guards the graceful stop: no answer is cut while every router of the fleet
// stops in turn and is replaced.
func TestRollingStopCutsNothing(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 3, Engines: 4, Backends: 1, Engine: slow})
	for range 3 {
		routers := Sorted(b.Routers())
		target := routers[0]
		results := runLong(ctx, t, b, 9, routers, func() {
			if _, err := b.StartRouter(); err != nil {
				t.Fatal(err)
			}
			if err := b.StopRouter(ctx, target.VM()); err != nil {
				t.Fatal(err)
			}
		})
		mustBeWhole(t, results)
		if err := b.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards the outcomes that callers are told when an engine dies: whole from
// another engine before the first token, incomplete after it, never a splice.
func TestEngineDeath(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 3, Engines: 3, Backends: 1, Engine: slow})
	results := runLong(ctx, t, b, 6, Sorted(b.Routers()), func() {
		if err := awaitFirstTokens(ctx, b, 6); err != nil {
			t.Fatal(err)
		}
		Sorted(b.Engines())[0].Crash()
	})
	cut := 0
	for i, r := range results {
		want := r.chat.Answer()
		switch {
		case r.err == nil && r.reply.Whole && r.reply.Text == want:
		case r.err == nil && !r.reply.Whole && r.reply.Outcome == entry.OutcomeIncomplete && want[:len(r.reply.Text)] == r.reply.Text:
			cut++
		default:
			t.Errorf("request %d: whole %v, outcome %q, error %v", i, r.reply.Whole, r.reply.Outcome, r.err)
		}
	}
	if cut == 0 {
		t.Error("no answer was met by the engine's death; the test proves nothing")
	}
}

// Guards against a request that is lost or falsely refused when its engine
// refuses connections: it runs on another one.
func TestRefusingEngineIsAvoided(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 3, Engines: 3, Backends: 1, Engine: fast})
	if err := Sorted(b.Engines())[0].SetRefuseConnections(true); err != nil {
		t.Fatal(err)
	}
	c := NewCaller()
	defer c.Close()
	for i := range 20 {
		chat := longChat(b, i)
		r, err := c.Send(ctx, Sorted(b.Routers())[i%3].Addr(), chat)
		mustBeWhole(t, []result{{chat: chat, reply: r, err: err}})
	}
}

// Guards at-most-once and honest refusals while the log is down: bookings are
// refused and do not run, chats go on.
func TestLogOutage(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 3, Engines: 3, Backends: 2, Engine: fast})
	c := NewCaller()
	defer c.Close()
	call := Call{
		Workspace: b.Profile.Workspaces[0], Pool: b.Profile.PlainPool, Method: http.MethodPost, Path: b.Profile.Booking,
		Body: "{}", Key: "outage-1", Issued: time.Now(),
	}
	b.Log.SetDown(true)
	addr := addrs(b)[0]
	r, err := c.Do(ctx, addr, call)
	if err != nil || r.Outcome != entry.OutcomeNotRun {
		t.Fatalf("booking while the log is down: %+v, %v", r, err)
	}
	chat := longChat(b, 1)
	reply, err := c.Send(ctx, addr, chat)
	mustBeWhole(t, []result{{chat: chat, reply: reply, err: err}})
	if n := len(b.Calls.ExecutedKey(call.Key)); n != 0 {
		t.Fatalf("a booking that was refused as not_run ran %d times", n)
	}
	b.Log.SetDown(false)
	call.Key = "outage-2"
	r, err = c.Do(ctx, addr, call)
	if err != nil || r.Outcome != entry.OutcomeDone {
		t.Fatalf("booking after the outage: %+v, %v", r, err)
	}
}

// Guards a booking whose caller goes away before the answer: it runs to its end
// once, and the caller's next try gets the stored answer.
func TestBookingOutlivesItsCaller(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 3, Engines: 1, Backends: 1, Engine: fast})
	server := Sorted(b.Backends())[0]
	server.SetFaults(backendsim.Faults{HangBeforeAnswer: true})
	c := NewCaller()
	defer c.Close()
	call := Call{
		Workspace: b.Profile.Workspaces[0], Pool: b.Profile.PlainPool, Method: http.MethodPost, Path: b.Profile.Booking,
		Body: "{}", Key: "gone-1", Issued: time.Now(),
	}
	callerCtx, leave := context.WithCancel(ctx)
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = c.Do(callerCtx, addrs(b)[0], call)
	}()
	if err := b.Calls.Await(ctx, 1); err != nil {
		t.Fatal(err)
	}
	leave()
	<-left
	server.SetFaults(backendsim.Faults{})
	var r Reply
	err := b.Wait(ctx, func() bool {
		var err error
		r, err = c.Do(ctx, addrs(b)[1], call)
		return err == nil && r.Code != "key_in_progress"
	})
	if err != nil || !r.Replayed || r.Outcome != entry.OutcomeDone {
		t.Fatalf("second try: %+v, %v", r, err)
	}
	if n := len(b.Calls.ExecutedKey(call.Key)); n != 1 {
		t.Fatalf("the booking ran %d times", n)
	}
}

// Guards against a new owner that counts attempts of the old one after their
// end: the pool would look loaded, and returning chats would miss their cache.
func TestHandoverLeavesNoLoadBehind(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 4, Engines: 4, Backends: 1, Engine: slow})
	own, _ := owner(b)
	results := runLong(ctx, t, b, 24, Sorted(b.Routers()), func() {
		if err := b.StopRouter(ctx, own.VM()); err != nil {
			t.Fatal(err)
		}
	})
	mustBeWhole(t, results)
	err := b.Wait(ctx, func() bool {
		for _, r := range b.Routers() {
			for _, p := range r.Status().Pools {
				if p.Pool == b.Profile.EnginePool && p.Slots > 0 {
					return false
				}
			}
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range b.Routers() {
		if n := r.Status().Control.ByCategory["probe"]; n > 0 {
			t.Errorf("router %s had to ask the engines for the end of attempts (%d bytes)", r.VM(), n)
		}
	}
}
