package intent

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
)

// fleet is a set of guards over one log.
type fleet struct {
	clock  clockwork.Clock
	log    *logsim.Log
	guards []*Guard
	calls  atomic.Int64
	// callFault returns the faults of the n-th call between routers.
	callFault func(n int64) (notSent, lost bool)
	owns      func(guard, stream int) bool
}

func newFleet(t *testing.T, clock clockwork.Clock, guards int) *fleet {
	f := &fleet{clock: clock, callFault: func(int64) (bool, bool) { return false, false }}
	f.log = logsim.New(logsim.Options{Clock: clock, Retention: time.Hour})
	f.owns = func(guard, stream int) bool { return stream%guards == guard }
	for i := range guards {
		f.guards = append(f.guards, New(Options{
			Log: f.log, Clock: clock, Streams: 4, BatchInterval: -1,
			Owns: func(stream int) bool { return f.owns(i, stream) },
			OwnerOf: func(stream int) (string, bool) {
				return fmt.Sprint(stream % guards), true
			},
			Remote: f.remote,
		}))
	}
	t.Cleanup(func() {
		for _, g := range f.guards {
			_ = g.Close()
		}
	})
	return f
}

func (f *fleet) remote(ctx context.Context, addr string, call *peerpb.IntentCall) (*peerpb.IntentReply, error) {
	notSent, lost := f.callFault(f.calls.Add(1))
	if notSent {
		return nil, eris.Wrap(ErrNotSent, "dial refused")
	}
	var n int
	_, _ = fmt.Sscan(addr, &n)
	r := f.guards[n].Handle(ctx, call)
	if lost {
		return nil, errors.New("connection reset")
	}
	return r, nil
}

func (f *fleet) beginCall(key string) *peerpb.IntentCall {
	return &peerpb.IntentCall{Op: peerpb.IntentOp_INTENT_OP_BEGIN, Uid: NewUID(), Workspace: "w", Key: key,
		Digest: []byte(key), IssuedUnixMs: f.clock.Now().UnixMilli()}
}

// closingCall returns the OUTCOME or ABANDON that follows a BEGIN.
func closingCall(call *peerpb.IntentCall, op peerpb.IntentOp) *peerpb.IntentCall {
	return &peerpb.IntentCall{Op: op, Uid: call.Uid, Workspace: call.Workspace, Key: call.Key,
		IssuedUnixMs: call.IssuedUnixMs, Status: 201, Body: []byte("run by " + call.Uid)}
}

// Guards against a second run, or a DONE reply with the outcome of another run,
// when callers repeat keys through several routers at once, replies between
// routers are lost and two routers own the same stream. Run with the race
// detector.
func TestGuardsRunKeyOnce(t *testing.T) {
	f := newFleet(t, clockwork.NewRealClock(), 3)
	f.callFault = func(n int64) (bool, bool) { return n%7 == 0, n%5 == 0 }
	f.owns = func(guard, stream int) bool { return stream%3 == guard || stream == 0 && guard == 1 }
	var mu sync.Mutex
	ran := map[string]string{}
	submit := func(g *Guard, key string) {
		call := f.beginCall(key)
		r, err := g.Call(context.Background(), call)
		if err != nil || r.State != peerpb.IntentState_INTENT_STATE_WON {
			return
		}
		mu.Lock()
		if other, dup := ran[key]; dup {
			t.Errorf("key %s was run by %s and %s", key, other, call.Uid)
		}
		ran[key] = call.Uid
		mu.Unlock()
		if r, err := g.Call(context.Background(), closingCall(call, peerpb.IntentOp_INTENT_OP_OUTCOME)); err != nil || r.State != peerpb.IntentState_INTENT_STATE_DONE {
			t.Errorf("outcome of %s: got %v, %v; want done", call.Uid, r, err)
		}
	}
	var callers sync.WaitGroup
	for i := range 120 {
		callers.Go(func() { submit(f.guards[i%3], fmt.Sprint("key", i/6)) })
	}
	callers.Wait()
	f.callFault = func(int64) (bool, bool) { return false, false }
	for key, uid := range ran {
		r, err := f.guards[0].Call(context.Background(), f.beginCall(key))
		if err != nil || r.State != peerpb.IntentState_INTENT_STATE_DONE || r.Uid != uid || string(r.Body) != "run by "+uid || r.Status != 201 {
			t.Errorf("key %s: got %v, %v", key, r, err)
		}
	}
	if len(ran) == 0 {
		t.Error("no key was run")
	}
}

// Guards against a wrong reply to the first call of a key, and to one that is
// repeated, has another body, comes after the holder's limit, abandons the key, has
// a large outcome, or has a key that has expired or was issued in the future.
func TestGuardReplies(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleet(t, clock, 2)
	ctx := context.Background()
	begin := func(call *peerpb.IntentCall) *peerpb.IntentReply {
		r, err := f.guards[0].Call(ctx, call)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	want := func(name string, r *peerpb.IntentReply, state peerpb.IntentState, detail string) {
		if r.State != state || r.Detail != detail {
			t.Errorf("%s: got %v, want %v %s", name, r, state, detail)
		}
	}
	first := f.beginCall("a")
	want("first", begin(first), peerpb.IntentState_INTENT_STATE_WON, "")
	want("running", begin(f.beginCall("a")), peerpb.IntentState_INTENT_STATE_IN_PROGRESS, "")
	other := f.beginCall("a")
	other.Digest = []byte("other")
	want("other body", begin(other), peerpb.IntentState_INTENT_STATE_DIGEST_MISMATCH, "")
	clock.Advance(dispatchLimit + defaultDeadline + DefaultMargin + time.Second)
	want("late", begin(f.beginCall("a")), peerpb.IntentState_INTENT_STATE_UNKNOWN, DetailHolderEnded)
	want("abandon", begin(closingCall(first, peerpb.IntentOp_INTENT_OP_ABANDON)), peerpb.IntentState_INTENT_STATE_NOT_RUN, DetailVoided)
	second := f.beginCall("a")
	if r := begin(second); r.State != peerpb.IntentState_INTENT_STATE_WON || r.Generation != 2 || r.Fencing == 0 {
		t.Errorf("after the abandonment: got %v, want won in generation 2 with a fencing number", r)
	}
	big := closingCall(second, peerpb.IntentOp_INTENT_OP_OUTCOME)
	big.Body = make([]byte, MaxBodyBytes+1)
	if r := begin(big); r.State != peerpb.IntentState_INTENT_STATE_DONE || !r.BodyOmitted || len(r.Body) != 0 {
		t.Errorf("large body: got %v, want done without the body", r)
	}
	old := f.beginCall("b")
	old.IssuedUnixMs -= (DefaultWindow + time.Second).Milliseconds()
	want("old key", begin(old), peerpb.IntentState_INTENT_STATE_EXPIRED, DetailKeyExpired)
	old.IssuedUnixMs = f.clock.Now().Add(2 * DefaultMargin).UnixMilli()
	want("key issued in the future", begin(old), peerpb.IntentState_INTENT_STATE_EXPIRED, DetailIssuedInFuture)
}

// Guards against a request that is accepted, or answered as unknown, while the
// log is down, and against a refused call that leaves a record in the log.
func TestGuardRefusesWhenLogIsDown(t *testing.T) {
	f := newFleet(t, clockwork.NewRealClock(), 2)
	f.log.SetDown(true)
	var refused *RefusedError
	for i := range 6 {
		if _, err := f.guards[0].Call(context.Background(), f.beginCall(fmt.Sprint(i))); !errors.As(err, &refused) || refused.Code != DetailLogUnavailable {
			t.Fatalf("got error %v, want log_unavailable", err)
		}
	}
	f.log.SetDown(false)
	for n := range 4 {
		if len(f.log.Records(StreamName(n))) != 0 {
			t.Errorf("stream %d has records of refused calls", n)
		}
	}
}

// Guards against a request that is refused or recorded twice because the reply
// to its append was lost.
func TestGuardRecordsOnceAfterLostAppendAnswer(t *testing.T) {
	f := newFleet(t, clockwork.NewRealClock(), 1)
	f.log.SetLoseAnswers(true)
	if r, err := f.guards[0].Call(context.Background(), f.beginCall("x")); err != nil || r.State != peerpb.IntentState_INTENT_STATE_WON {
		t.Fatalf("got %v, %v; want won", r, err)
	}
	records := 0
	for n := range 4 {
		records += len(f.log.Records(StreamName(n)))
	}
	if records != 1 {
		t.Fatalf("the log has %d records, want 1", records)
	}
}

// Guards against streams that stay open and are polled after the router has lost
// their ownership.
func TestRefreshClosesLostStreams(t *testing.T) {
	f := newFleet(t, clockwork.NewFakeClock(), 2)
	g := f.guards[0]
	g.Refresh()
	if len(g.streams) != 2 {
		t.Fatalf("%d open streams, want 2", len(g.streams))
	}
	f.owns = func(int, int) bool { return false }
	g.Refresh()
	r := g.Handle(context.Background(), f.beginCall("a"))
	if len(g.streams) != 0 || r.State != peerpb.IntentState_INTENT_STATE_NOT_RUN || r.Detail != DetailNotOwner {
		t.Fatalf("%d open streams, want none; reply %v, want not_run", len(g.streams), r)
	}
}

// BenchmarkFoldIntent measures the application of one intent of a new key.
func BenchmarkFoldIntent(b *testing.B) {
	records := benchRecords(b.N)
	f := NewFold(modelLimits, 0)
	b.ReportAllocs()
	b.ResetTimer()
	for i, r := range records {
		f.Apply(uint64(i), foldTime, r)
	}
	b.ReportMetric(float64(len(records[0])), "B/record")
}

func benchRecords(n int) [][]byte {
	records := make([][]byte, n)
	for i := range records {
		id := KeyID("w", fmt.Sprint(i))
		records[i] = []byte(encode(&peerpb.IntentRecord{Kind: &peerpb.IntentRecord_Intent{Intent: &peerpb.Intent{
			Id: id[:], Uid: NewUID(), Generation: 1, Digest: id[:], IssuedUnixMs: foldTime.UnixMilli(), LimitMs: 160_000}}}))
	}
	return records
}

// BenchmarkFoldMemory reports the heap size for 100,000 keys without outcomes.
func BenchmarkFoldMemory(b *testing.B) {
	records := benchRecords(100_000)
	for b.Loop() {
		before := heapBytes()
		f := NewFold(modelLimits, 0)
		for i, r := range records {
			f.Apply(uint64(i), foldTime, r)
		}
		b.ReportMetric(float64(heapBytes()-before)/1e6, "MB/100k_keys")
		if f.Len() != len(records) {
			b.Fatal("keys are missing")
		}
	}
}

// BenchmarkGroupCommit reports how many BEGINs share one append with a
// parallelism of 64. Calls to the log take no time.
func BenchmarkGroupCommit(b *testing.B) {
	log := logsim.New(logsim.Options{})
	g := New(Options{Log: log, Streams: 1, Owns: func(int) bool { return true }})
	defer func() { _ = g.Close() }()
	var n atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			call := &peerpb.IntentCall{Op: peerpb.IntentOp_INTENT_OP_BEGIN, Uid: NewUID(), Workspace: "w",
				Key: fmt.Sprint(n.Add(1)), IssuedUnixMs: time.Now().UnixMilli()}
			if r, err := g.Call(context.Background(), call); err != nil || r.State != peerpb.IntentState_INTENT_STATE_WON {
				b.Fatalf("got %v, %v", r, err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/float64(log.Calls().Appends), "intents/append")
}

// BenchmarkControlBytes reports the metered bytes of one BEGIN and its OUTCOME
// without other calls in their appends, and of one read of an idle stream.
func BenchmarkControlBytes(b *testing.B) {
	server := httptest.NewServer(logsim.New(logsim.Options{}).Handler())
	defer server.Close()
	var m meter.Meter
	log := logstream.NewClient(server.URL, server.Client(), &m, meter.LogAppend, meter.LogRead)
	g := New(Options{Log: log, Streams: 1, BatchInterval: -1, Owns: func(int) bool { return true }})
	defer func() { _ = g.Close() }()
	ctx := context.Background()
	for b.Loop() {
		call := &peerpb.IntentCall{Op: peerpb.IntentOp_INTENT_OP_BEGIN, Uid: NewUID(), Workspace: "w", Key: NewUID(),
			Digest: make([]byte, 32), IssuedUnixMs: time.Now().UnixMilli()}
		_, beginErr := g.Call(ctx, call)
		_, outcomeErr := g.Call(ctx, closingCall(call, peerpb.IntentOp_INTENT_OP_OUTCOME))
		if beginErr != nil || outcomeErr != nil {
			b.Fatal(beginErr, outcomeErr)
		}
	}
	b.ReportMetric(float64(m.Total())/float64(b.N), "B/run")
	before := m.Total()
	if _, err := log.Read(ctx, "intent-01", 0, pageRecords, 0); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(m.Total()-before), "B/idle_read")
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
