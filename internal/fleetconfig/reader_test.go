package fleetconfig

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
)

const testRetention = time.Hour

// fixture is a log with a clock.
type fixture struct {
	t     *testing.T
	clock *clockwork.FakeClock
	sim   *logsim.Log
}

func newFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	return &fixture{t: t, clock: clock, sim: logsim.New(logsim.Options{Clock: clock, Retention: testRetention})}
}

func (b *fixture) append(data []byte) {
	b.t.Helper()
	if _, err := b.sim.Append(context.Background(), StreamName, [][]byte{data}); err != nil {
		b.t.Fatal(err)
	}
}

func (b *fixture) reader(rank int) *Reader {
	return NewReader(ReaderOptions{Log: b.sim, Clock: b.clock, Retention: testRetention, Rank: func() int { return rank }})
}

// settled is a number of steps after which a reader has seen the head and has
// done what is due.
const settled = 12

func (b *fixture) step(r *Reader, n int) {
	b.t.Helper()
	for ; n > 0; n-- {
		if err := r.Step(context.Background()); err != nil {
			b.t.Fatal(err)
		}
	}
}

func (b *fixture) checkpoints() (n int) {
	for _, rec := range b.sim.Records(StreamName) {
		if IsCheckpoint(rec.Data) {
			n++
		}
	}
	return n
}

// Guards against a starting router that becomes current on a partial state: it
// must use a checkpoint from which all later records are kept, or none.
func TestStartAboveTheFloor(t *testing.T) {
	b := newFixture(t)
	s := NewState()
	add := func(data []byte) {
		b.append(data)
		s.Apply(s.Next(), data)
	}
	add(workspaceRecord("a", "w1", ""))
	old := encode(t, s)
	add(workspaceRecord("b", "w2", ""))
	add(old)
	add([]byte(`{"checkpoint":{"format":1}}`))
	early := NewState()
	early.next = 9
	add(encode(t, early))
	b.sim.SetFloor(StreamName, 2)
	r := b.reader(0)
	b.step(r, settled)
	if snap := r.Snapshot(); snap.Log.HasState {
		t.Fatalf("state %+v from a checkpoint whose later records are forgotten", snap)
	}
	good := encode(t, s)
	add(good)
	add(workspaceRecord("c", "w3", ""))
	b.step(r, settled)
	snap := r.Snapshot()
	if !snap.Log.HasState || snap.Log.Applied != 7 || snap.Log.Head != 7 || len(snap.Config.Workspaces) != 3 {
		t.Fatalf("got %+v, want three workspaces at offset 7", snap)
	}
}

// Guards against a router that goes back, or skips records, when the log has
// forgotten its next record during an outage.
func TestOutageLongerThanRetention(t *testing.T) {
	b := newFixture(t)
	late, writer := b.reader(9), b.reader(0)
	b.append(workspaceRecord("a", "w1", ""))
	b.step(late, settled)
	for i := 0; i < 3; i++ {
		b.step(writer, settled)
		b.clock.Advance(testRetention/2 + time.Second)
	}
	b.step(writer, settled)
	b.append(workspaceRecord("b", "w1", "a"))
	b.step(late, settled)
	snap, want := late.Snapshot(), uint64(len(b.sim.Records(StreamName)))
	if snap.Log.Applied != want || snap.Config.Workspaces["w1"].Version != "b" {
		t.Fatalf("got %+v, want version b at offset %d", snap, want)
	}
}

// Guards against a router that passes a record it cannot read, or that hides
// the reason for not being current.
func TestReaderStopsAtUnreadableRecord(t *testing.T) {
	b := newFixture(t)
	b.append(workspaceRecord("a", "w1", ""))
	b.append([]byte(laterSchema))
	b.append(workspaceRecord("b", "w2", ""))
	r := b.reader(0)
	for i := 0; i < 3; i++ {
		if err := r.Step(context.Background()); !errors.Is(err, ErrUnreadable) {
			t.Fatalf("got error %v, want ErrUnreadable", err)
		}
	}
	if offset, _ := r.plan(); offset != 3 {
		t.Fatalf("the next read starts at %d and fetches records that cannot be applied", offset)
	}
	snap := r.Snapshot()
	if snap.Log.Applied != 1 || snap.Unreadable == nil || snap.Unreadable.Offset != 1 || snap.Log.Head != 3 {
		t.Fatalf("got %+v", snap)
	}
	if ok, reason := Current(b.clock.Now(), snap.Log, nil, 1); ok || reason != ReasonUnreadable {
		t.Fatalf("got %v, %s", ok, reason)
	}
}

// Guards against a paused process that takes the arrival of an old answer for
// fresh news of the log.
func TestPauseDuringPollDoesNotRefreshTheHead(t *testing.T) {
	b := newFixture(t)
	r := NewReader(ReaderOptions{Log: b.sim, Clock: b.clock, PollWait: DefaultPollWait})
	b.append(workspaceRecord("a", "w1", ""))
	b.step(r, 2)
	sent := b.clock.Now()
	done := make(chan error)
	go func() { done <- r.Step(context.Background()) }()
	if err := b.clock.BlockUntilContext(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	b.clock.Advance(time.Minute)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := r.Snapshot().Log.HeardAt; !got.Equal(sent.Add(DefaultPollWait)) {
		t.Fatalf("the head counts as heard at %v, want %v", got, sent.Add(DefaultPollWait))
	}
}

// Guards against state that is lost because no checkpoint was written in time,
// and against all routers writing one at once.
func TestOneRouterWritesCheckpoints(t *testing.T) {
	b := newFixture(t)
	readers := []*Reader{b.reader(2), b.reader(1), b.reader(0)}
	b.append(workspaceRecord("a", "w1", ""))
	// Every checkpoint shows up in the log some seconds after it was sent.
	b.sim.SetDelayAppends(true)
	for second := 0; second < 4*60*60; second++ {
		for _, r := range readers {
			if err := r.Step(context.Background()); err != nil && !errors.Is(err, logstream.ErrUnavailable) {
				t.Fatal(err)
			}
		}
		if second%4 == 0 {
			b.sim.ApplyDelayed(-1)
		}
		b.clock.Advance(time.Second)
	}
	b.sim.SetDelayAppends(false)
	if n := b.checkpoints(); n < 6 || n > 8 {
		t.Fatalf("%d checkpoints in four retention times, want one each half", n)
	}
	fresh := b.reader(0)
	b.step(fresh, settled)
	if snap := fresh.Snapshot(); !snap.Log.HasState || snap.Config.Workspaces["w1"] == nil {
		t.Fatalf("the state was lost: %+v", snap)
	}
}

// Guards against state that is lost because a router that started from a peer
// does not know how old the records before its state are.
func TestRouterStartedFromPeerWritesCheckpoint(t *testing.T) {
	// The record before the state is old, or the log has forgotten it.
	for _, forgotten := range []bool{false, true} {
		b := newFixture(t)
		b.append(workspaceRecord("a", "w1", ""))
		b.append(workspaceRecord("b", "w2", ""))
		first := b.reader(0)
		b.step(first, settled)
		if forgotten {
			b.sim.SetFloor(StreamName, 1)
		} else {
			b.clock.Advance(testRetention/2 + time.Second)
		}
		data, _, _ := first.Checkpoint()
		second := b.reader(0)
		if taken, err := second.OfferCheckpoint(data); !taken || err != nil {
			t.Fatalf("got %v, %v", taken, err)
		}
		b.step(second, settled)
		if b.checkpoints() != 1 {
			t.Fatalf("%d checkpoints, want 1", b.checkpoints())
		}
		if taken, err := second.OfferCheckpoint(data); taken || err != nil {
			t.Fatalf("the state went back to an earlier offset: %v", err)
		}
	}
}

// Guards against a goroutine that outlives its tomb, during a poll or a pause.
func TestRunEndsWithItsTomb(t *testing.T) {
	for _, down := range []bool{false, true} {
		b := newFixture(t)
		b.sim.SetDown(down)
		r := NewReader(ReaderOptions{Log: b.sim, Clock: b.clock, PollWait: DefaultPollWait})
		var tmb tomb.Tomb
		tmb.Go(func() error { return r.Run(&tmb) })
		if err := b.clock.BlockUntilContext(context.Background(), 1); err != nil {
			t.Fatal(err)
		}
		tmb.Kill(nil)
		if err := tmb.Wait(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a log whose head has gone back counting as heard.
func TestLogThatWentBackIsNotHeard(t *testing.T) {
	b := newFixture(t)
	b.append(workspaceRecord("a", "w1", ""))
	r := b.reader(0)
	b.step(r, settled)
	r.log = logsim.New(logsim.Options{Clock: b.clock})
	b.clock.Advance(3 * time.Second)
	if err := r.Step(context.Background()); !errors.Is(err, ErrLogWentBack) {
		t.Fatalf("got error %v, want ErrLogWentBack", err)
	}
	if snap := r.Snapshot(); snap.Log.HeardAt.Equal(b.clock.Now()) || snap.Config.Workspaces["w1"] == nil {
		t.Fatalf("got %+v", snap)
	}
}

// Guards against a peer that takes old news of the log for fresh, a state from a
// router out of service, or no state for an empty one.
func TestConfigReply(t *testing.T) {
	b := newFixture(t)
	r, asker := b.reader(0), NewReader(ReaderOptions{Log: b.sim, Clock: b.clock})
	unknown, _ := r.ConfigReply(0, false)
	b.append(workspaceRecord("a", "w1", ""))
	b.step(r, settled)
	b.clock.Advance(2*time.Second + time.Nanosecond)
	out, _ := r.ConfigReply(0, false)
	status := PeerStatusOf("vm", b.clock.Now(), out)
	if PeerStatusOf("vm", b.clock.Now(), unknown).HasState || !status.HasState || !status.Heard || status.LogAge != 2001*time.Millisecond {
		t.Fatalf("got %+v", status)
	}
	reply, _ := r.ConfigReply(0, true)
	for _, inService := range []bool{false, true} {
		reply.InService = inService
		_, err := asker.TakeReply("vm", b.clock.Now(), reply)
		if asker.Snapshot().Log.HasState != inService || err != nil || len(out.Checkpoint) > 0 {
			t.Fatalf("peer in service %v: got %+v, %v", inService, asker.Snapshot(), err)
		}
	}
}
