package testbed

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// fastEngine generates answers quickly and still one token after the other.
var fastEngine = enginesim.Config{PrefillPerToken: time.Microsecond, DecodePerToken: time.Millisecond}

// startBed starts a separate testbed for a test. The test runs in parallel with
// others, because a fleet first waits until votes of earlier processes expire.
func startBed(t *testing.T, o Options) (*Bed, context.Context) {
	t.Helper()
	t.Parallel()
	records, err := o.Profile.Records()
	if err != nil {
		t.Fatal(err)
	}
	return startBedWith(t, o, records)
}

// startBedWith starts a testbed with the given records in force.
func startBedWith(t *testing.T, o Options, records [][]byte) (*Bed, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	b, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	if _, err := b.Log.Append(ctx, fleetconfig.StreamName, records); err != nil {
		t.Fatal(err)
	}
	if err := b.StartRouters(); err != nil {
		t.Fatal(err)
	}
	if err := b.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return b, ctx
}

func routerAddrs(b *Bed) []string {
	var list []string
	for _, r := range b.Routers() {
		list = append(list, r.Addr())
	}
	return list
}

// Guards against faults on the path of a request from end to end: incomplete or
// uncounted answers, a returning chat without cache reuse, access from another
// workspace, and a booking that runs twice when it is sent twice.
func TestEndToEnd(t *testing.T) {
	p := Profiles()["thekkady"]
	b, ctx := startBed(t, Options{Profile: p, Routers: 3, Engines: 4, Backends: 2, Engine: fastEngine})
	c := NewCaller()
	defer c.Close()
	addr := routerAddrs(b)
	chat := Chat{Workspace: p.Workspaces[0], ChatID: "chat-1", Model: p.Model, Prompt: "renew shop-1 and tell me more", MaxTokens: 40}
	first, err := c.Send(ctx, addr[0], chat)
	if err != nil || !first.Complete {
		t.Fatalf("first answer: got %+v, %v; want a complete one", first, err)
	}
	if want := chat.ExpectedAnswer(); first.Text != want {
		t.Fatalf("got %q, want %q", first.Text, want)
	}
	chat.Placement = first.Placement
	second, err := c.Send(ctx, addr[1], chat)
	if err != nil || !second.Complete || second.Usage.PromptTokensDetails.CachedTokens == 0 {
		t.Fatalf("returning chat: got %+v, %v; want a complete answer with cached tokens", second, err)
	}
	rest, err := c.Resume(ctx, addr[2], chat.Workspace, first.RequestID, 10)
	if err != nil || string([]rune(first.Text)[:10])+rest.Text != first.Text {
		t.Fatalf("resumed answer: got %+v, %v; want the rest of the first one", rest, err)
	}
	foreign, err := c.Resume(ctx, addr[2], p.Workspaces[1], first.RequestID, 0)
	if err != nil || foreign.Status != http.StatusNotFound {
		t.Fatalf("request by another workspace: got %+v, %v; want status 404", foreign, err)
	}
	call := Call{
		Workspace: p.Workspaces[0], Pool: p.PlainPool, Method: http.MethodPost, Path: p.BookingPath,
		Body: `{"domain":"shop-1.example"}`, Key: "renewal-1", Issued: time.Now(),
	}
	for i := range 2 {
		r, err := c.Do(ctx, addr[i], call)
		if err != nil || r.Outcome != entry.OutcomeDone {
			t.Fatalf("booking %d: got %+v, %v; want done", i, r, err)
		}
		if r.Replayed != (i == 1) {
			t.Fatalf("booking %d: replayed is %v, want true only for the second", i, r.Replayed)
		}
	}
	if n := len(b.BackendLedger.ExecutedKey("renewal-1")); n != 1 {
		t.Fatalf("the booking ran %d times, want once", n)
	}
	// Three streams and two bookings. A router may count an answer after its end.
	err = b.Wait(ctx, func() bool {
		done := int64(0)
		for _, r := range b.Routers() {
			done += r.Status().Callers[entry.OutcomeDone]
		}
		return done == 5
	})
	if err != nil {
		t.Fatalf("the routers do not count 5 complete answers: %v", err)
	}
}
