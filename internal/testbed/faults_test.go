package testbed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/standin/backendsim"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// slowEngine generates answers slowly enough that a fault occurs during them.
var slowEngine = enginesim.Config{PrefillPerToken: time.Microsecond, DecodePerToken: 5 * time.Millisecond}

// longChat returns a chat whose answer takes about two seconds on engines with
// the configuration slowEngine.
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

// runLongChats sends n chats, round-robin over the routers, and calls fault
// once engines have accepted all of them. It returns when every call has
// ended.
func runLongChats(ctx context.Context, t *testing.T, b *Bed, n int, routers []*router.Router, fault func()) []result {
	t.Helper()
	c := NewCaller()
	defer c.Close()
	started := len(b.EngineLedger.Records())
	results := make([]result, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			chat := longChat(b, i)
			r, err := c.Send(ctx, routers[i%len(routers)].Addr(), chat)
			results[i] = result{chat: chat, reply: r, err: err}
		}()
	}
	if err := b.EngineLedger.Await(ctx, started+n); err != nil {
		t.Fatal(err)
	}
	fault()
	wg.Wait()
	return results
}

func requireComplete(t *testing.T, results []result) {
	t.Helper()
	for i, r := range results {
		if r.err != nil || !r.reply.Complete || r.reply.Text != r.chat.ExpectedAnswer() {
			t.Errorf("request %d: complete %v, outcome %q, code %q, detail %q, %d of %d bytes, error %v", i, r.reply.Complete,
				r.reply.Outcome, r.reply.Code, r.reply.Detail, len(r.reply.Text), len(r.chat.ExpectedAnswer()), r.err)
		}
	}
}

// poolOwner returns the router that owns the engine pool, and the others.
func poolOwner(b *Bed) (owner *router.Router, others []*router.Router) {
	all := SortedByKey(b.Routers())
	name := all[0].Status().Owners[b.Profile.EnginePool]
	for _, r := range all {
		if r.VM() == name {
			owner = r
		} else {
			others = append(others, r)
		}
	}
	return owner, others
}

// Guards against answers that are interrupted or generated again when the owner
// of their pool crashes: the entry routers resume them through the next owner.
func TestAnswersSurviveOwnerCrash(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 4, Engines: 4, Backends: 1, Engine: slowEngine})
	owner, others := poolOwner(b)
	results := runLongChats(ctx, t, b, 12, others, func() { b.KillRouter(owner.VM()) })
	requireComplete(t, results)
	if n := len(b.EngineLedger.Records()); n != 12 {
		t.Errorf("%d attempts ran for 12 requests, want 12", n)
	}
}

// Guards against a caller that cannot get the rest of an answer after its entry
// router crashed: any other router resumes the answer at the offset.
func TestAnswersResumeAfterEntryRouterCrash(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 4, Engines: 4, Backends: 1, Engine: slowEngine})
	_, others := poolOwner(b)
	entryRouter, next := others[0], others[1]
	// Callers may receive their first bytes later than any fixed time after the engines' first tokens.
	var begun atomic.Int32
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { begun.Add(1) }})
	results := runLongChats(traced, t, b, 4, []*router.Router{entryRouter}, func() {
		if err := waitForFirstTokens(ctx, b, 4); err != nil {
			t.Fatal(err)
		}
		if err := b.Wait(ctx, func() bool { return begun.Load() == 4 }); err != nil {
			t.Fatal(err)
		}
		b.KillRouter(entryRouter.VM())
	})
	c := NewCaller()
	defer c.Close()
	for i, r := range results {
		if r.reply.Complete || r.reply.RequestID == "" {
			t.Fatalf("request %d: complete %v, id %q; want an answer interrupted by the crash of its entry router", i, r.reply.Complete, r.reply.RequestID)
		}
		offset := len([]rune(r.reply.Text))
		rest, err := c.Resume(ctx, next.Addr(), r.chat.Workspace, r.reply.RequestID, offset)
		if err != nil || !rest.Complete || r.reply.Text+rest.Text != r.chat.ExpectedAnswer() {
			t.Errorf("request %d: rest from %d: complete %v, code %q, error %v", i, offset, rest.Complete, rest.Code, err)
		}
	}
}

// waitForFirstTokens waits until n answers have started.
func waitForFirstTokens(ctx context.Context, b *Bed, n int) error {
	return b.Wait(ctx, func() bool {
		started := 0
		for _, r := range b.EngineLedger.Records() {
			if !r.FirstToken.IsZero() && r.Tokens > 0 || !r.FirstToken.IsZero() && time.Since(r.FirstToken) > 50*time.Millisecond {
				started++
			}
		}
		return started >= n
	})
}

// Guards against answers that are interrupted when a router stops gracefully:
// every router of the fleet is replaced in turn.
func TestRollingStopInterruptsNoAnswer(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 3, Engines: 4, Backends: 1, Engine: slowEngine})
	for range 3 {
		routers := SortedByKey(b.Routers())
		target := routers[0]
		results := runLongChats(ctx, t, b, 9, routers, func() {
			if _, err := b.StartRouter(); err != nil {
				t.Fatal(err)
			}
			if err := b.StopRouter(ctx, target.VM()); err != nil {
				t.Fatal(err)
			}
		})
		requireComplete(t, results)
		if err := b.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against wrong outcomes when an engine crashes after the first tokens of
// all answers: each of them must be whole or end as incomplete after a correct
// beginning.
func TestEngineCrash(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 3, Engines: 3, Backends: 1, Engine: slowEngine})
	results := runLongChats(ctx, t, b, 6, SortedByKey(b.Routers()), func() {
		if err := waitForFirstTokens(ctx, b, 6); err != nil {
			t.Fatal(err)
		}
		SortedByKey(b.Engines())[0].Crash()
	})
	interrupted := 0
	for i, r := range results {
		want := r.chat.ExpectedAnswer()
		switch {
		case r.err == nil && r.reply.Complete && r.reply.Text == want:
		case r.err == nil && !r.reply.Complete && r.reply.Outcome == entry.OutcomeIncomplete && want[:len(r.reply.Text)] == r.reply.Text:
			interrupted++
		default:
			t.Errorf("request %d: complete %v, outcome %q, error %v", i, r.reply.Complete, r.reply.Outcome, r.err)
		}
	}
	if interrupted == 0 {
		t.Error("the crash of the engine interrupted no answer, so that the outcome incomplete was not tested")
	}
}

// Guards against a request that is lost or wrongly refused when its engine
// refuses connections: it must run on another engine.
func TestRefusingEngineIsAvoided(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 3, Engines: 3, Backends: 1, Engine: fastEngine})
	if err := SortedByKey(b.Engines())[0].SetRefuseConnections(true); err != nil {
		t.Fatal(err)
	}
	c := NewCaller()
	defer c.Close()
	for i := range 20 {
		chat := longChat(b, i)
		r, err := c.Send(ctx, SortedByKey(b.Routers())[i%3].Addr(), chat)
		requireComplete(t, []result{{chat: chat, reply: r, err: err}})
	}
}

// Guards against bookings that run while the log is down although they are
// refused as not run, and against chats that fail meanwhile.
func TestLogOutage(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 3, Engines: 3, Backends: 2, Engine: fastEngine})
	c := NewCaller()
	defer c.Close()
	call := Call{
		Workspace: b.Profile.Workspaces[0], Pool: b.Profile.PlainPool, Method: http.MethodPost, Path: b.Profile.BookingPath,
		Body: "{}", Key: "outage-1", Issued: time.Now(),
	}
	b.Log.SetDown(true)
	addr := routerAddrs(b)[0]
	r, err := c.Do(ctx, addr, call)
	if err != nil || r.Outcome != entry.OutcomeNotRun {
		t.Fatalf("booking while the log is down: got %+v, %v; want not_run", r, err)
	}
	chat := longChat(b, 1)
	reply, err := c.Send(ctx, addr, chat)
	requireComplete(t, []result{{chat: chat, reply: reply, err: err}})
	if n := len(b.BackendLedger.ExecutedKey(call.Key)); n != 0 {
		t.Fatalf("a booking that was refused as not_run ran %d times, want none", n)
	}
	b.Log.SetDown(false)
	call.Key = "outage-2"
	r, err = c.Do(ctx, addr, call)
	if err != nil || r.Outcome != entry.OutcomeDone {
		t.Fatalf("booking after the outage: got %+v, %v; want done", r, err)
	}
}

// Guards against a booking that is cancelled or runs twice when its caller
// disconnects before the answer: it completes once, and the caller's next
// request receives the stored answer.
func TestBookingCompletesAfterCallerDisconnects(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["lam-dong"], Routers: 3, Engines: 1, Backends: 1, Engine: fastEngine})
	server := SortedByKey(b.Backends())[0]
	server.SetFaults(backendsim.Faults{HangBeforeAnswer: true})
	c := NewCaller()
	defer c.Close()
	call := Call{
		Workspace: b.Profile.Workspaces[0], Pool: b.Profile.PlainPool, Method: http.MethodPost, Path: b.Profile.BookingPath,
		Body: "{}", Key: "disconnect-1", Issued: time.Now(),
	}
	callerCtx, disconnect := context.WithCancel(ctx)
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		_, _ = c.Do(callerCtx, routerAddrs(b)[0], call)
	}()
	if err := b.BackendLedger.Await(ctx, 1); err != nil {
		t.Fatal(err)
	}
	disconnect()
	<-disconnected
	server.SetFaults(backendsim.Faults{})
	var r Reply
	err := b.Wait(ctx, func() bool {
		var err error
		r, err = c.Do(ctx, routerAddrs(b)[1], call)
		return err == nil && r.Code != "key_in_progress"
	})
	if err != nil || !r.Replayed || r.Outcome != entry.OutcomeDone {
		t.Fatalf("second request: got %+v, %v; want the stored answer", r, err)
	}
	if n := len(b.BackendLedger.ExecutedKey(call.Key)); n != 1 {
		t.Fatalf("the booking ran %d times, want once", n)
	}
}

// Guards against a new owner that still counts attempts of the previous owner
// after their end: the pool would appear loaded, and returning chats would be
// placed on engines without their cached prefix.
func TestHandoverLeavesNoStaleLoad(t *testing.T) {
	b, ctx := startBed(t, Options{Profile: Profiles()["thekkady"], Routers: 4, Engines: 4, Backends: 1, Engine: slowEngine})
	owner, _ := poolOwner(b)
	results := runLongChats(ctx, t, b, 24, SortedByKey(b.Routers()), func() {
		if err := b.StopRouter(ctx, owner.VM()); err != nil {
			t.Fatal(err)
		}
	})
	requireComplete(t, results)
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
			t.Errorf("router %s queried engines for the end of attempts (%d bytes)", r.VM(), n)
		}
	}
}
