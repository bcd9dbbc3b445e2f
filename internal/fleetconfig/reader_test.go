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

// fixture is a simulated log with its clock.
type fixture struct {
	t     *testing.T
	clock *clockwork.FakeClock
	sim   *logsim.Log
}

func newFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	return &fixture{t: t, clock: clock, sim: logsim.New(logsim.Options{Clock: clock, Retention: testRetention})}
}

func (f *fixture) append(data []byte) {
	f.t.Helper()
	if _, err := f.sim.Append(context.Background(), StreamName, [][]byte{data}); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) reader(rank int) *Reader {
	return NewReader(ReaderOptions{Log: f.sim, Clock: f.clock, Retention: testRetention, Rank: func() int { return rank }})
}

// settleSteps is a number of steps after which a reader has reached the head and
// has written any checkpoint that is due.
const settleSteps = 12

func (f *fixture) step(r *Reader, n int) {
	f.t.Helper()
	for ; n > 0; n-- {
		if err := r.Step(context.Background()); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fixture) checkpoints() (n int) {
	for _, rec := range f.sim.Records(StreamName) {
		if IsCheckpoint(rec.Data) {
			n++
		}
	}
	return n
}

// Guards against a starting router that becomes current on a partial state. It
// must use a checkpoint after which the log still holds all records, or none.
func TestStartAboveTheFloor(t *testing.T) {
	f := newFixture(t)
	s := NewState()
	add := func(data []byte) {
		f.append(data)
		s.Apply(s.Next(), data)
	}
	add(workspaceRecord("a", "w1", ""))
	old := encode(t, s)
	add(workspaceRecord("b", "w2", ""))
	add(old)
	add([]byte(`{"checkpoint":{"format":1}}`))
	ahead := NewState()
	ahead.next = 9
	add(encode(t, ahead))
	f.sim.SetFloor(StreamName, 2)
	r := f.reader(0)
	f.step(r, settleSteps)
	if snap := r.Snapshot(); snap.Log.HasState {
		t.Fatalf("got state %+v from a checkpoint after which the log has dropped records", snap)
	}
	good := encode(t, s)
	add(good)
	add(workspaceRecord("c", "w3", ""))
	f.step(r, settleSteps)
	snap := r.Snapshot()
	if !snap.Log.HasState || snap.Log.Applied != 7 || snap.Log.Head != 7 || len(snap.Config.Workspaces) != 3 {
		t.Fatalf("got %+v, want three workspaces at offset 7", snap)
	}
}

// Guards against a router that reverts its state or skips records when the log
// has dropped its next record during an outage.
func TestOutageLongerThanRetention(t *testing.T) {
	f := newFixture(t)
	lagging, writer := f.reader(9), f.reader(0)
	f.append(workspaceRecord("a", "w1", ""))
	f.step(lagging, settleSteps)
	for i := 0; i < 3; i++ {
		f.step(writer, settleSteps)
		f.clock.Advance(testRetention/2 + time.Second)
	}
	f.step(writer, settleSteps)
	f.append(workspaceRecord("b", "w1", "a"))
	f.step(lagging, settleSteps)
	snap, want := lagging.Snapshot(), uint64(len(f.sim.Records(StreamName)))
	if snap.Log.Applied != want || snap.Config.Workspaces["w1"].Version != "b" {
		t.Fatalf("got %+v, want version b at offset %d", snap, want)
	}
}

// Guards against a router that skips a record it cannot read, or that does not
// report the reason for not being current.
func TestReaderStopsAtUnreadableRecord(t *testing.T) {
	f := newFixture(t)
	f.append(workspaceRecord("a", "w1", ""))
	f.append([]byte(laterSchema))
	f.append(workspaceRecord("b", "w2", ""))
	r := f.reader(0)
	for i := 0; i < 3; i++ {
		if err := r.Step(context.Background()); !errors.Is(err, ErrUnreadable) {
			t.Fatalf("got error %v, want ErrUnreadable", err)
		}
	}
	if offset, _ := r.nextRead(); offset != 3 {
		t.Fatalf("the next read starts at %d and fetches records that cannot be applied", offset)
	}
	snap := r.Snapshot()
	if snap.Log.Applied != 1 || snap.Unreadable == nil || snap.Unreadable.Offset != 1 || snap.Log.Head != 3 {
		t.Fatalf("got %+v, want offset 1 applied, 1 unreadable and head 3", snap)
	}
	if ok, reason := IsCurrent(f.clock.Now(), snap.Log, nil, 1); ok || reason != ReasonUnreadable {
		t.Fatalf("current: %v, %s; want not current because of the unreadable record", ok, reason)
	}
}

// Guards against a paused process that handles an answer late and counts it as a
// recent read of the log.
func TestPauseDuringPollDoesNotRefreshTheHead(t *testing.T) {
	f := newFixture(t)
	r := NewReader(ReaderOptions{Log: f.sim, Clock: f.clock, PollWait: DefaultPollWait})
	f.append(workspaceRecord("a", "w1", ""))
	f.step(r, 2)
	sent := f.clock.Now()
	done := make(chan error)
	go func() { done <- r.Step(context.Background()) }()
	if err := f.clock.BlockUntilContext(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(time.Minute)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := r.Snapshot().Log.HeadReadAt; !got.Equal(sent.Add(DefaultPollWait)) {
		t.Fatalf("the head counts as read at %v, want %v", got, sent.Add(DefaultPollWait))
	}
}

// Guards against state that is lost because no checkpoint was written in time,
// and against all routers writing one at the same time.
func TestOneRouterWritesCheckpoints(t *testing.T) {
	f := newFixture(t)
	readers := []*Reader{f.reader(2), f.reader(1), f.reader(0)}
	f.append(workspaceRecord("a", "w1", ""))
	// Every checkpoint appears in the log some seconds after it was sent.
	f.sim.SetDelayAppends(true)
	for second := 0; second < 4*60*60; second++ {
		for _, r := range readers {
			if err := r.Step(context.Background()); err != nil && !errors.Is(err, logstream.ErrUnavailable) {
				t.Fatal(err)
			}
		}
		if second%4 == 0 {
			f.sim.ApplyDelayed(-1)
		}
		f.clock.Advance(time.Second)
	}
	f.sim.SetDelayAppends(false)
	if n := f.checkpoints(); n < 6 || n > 8 {
		t.Fatalf("%d checkpoints in four retention times, want one in each half of a retention time", n)
	}
	started := f.reader(0)
	f.step(started, settleSteps)
	if snap := started.Snapshot(); !snap.Log.HasState || snap.Config.Workspaces["w1"] == nil {
		t.Fatalf("the state was lost: %+v", snap)
	}
}

// Guards against state that is lost because a router that started from a peer
// has no append times of the records before its state.
func TestRouterStartedFromPeerWritesCheckpoint(t *testing.T) {
	// The record before the state is old, or the log has dropped it.
	for _, dropped := range []bool{false, true} {
		f := newFixture(t)
		f.append(workspaceRecord("a", "w1", ""))
		f.append(workspaceRecord("b", "w2", ""))
		first := f.reader(0)
		f.step(first, settleSteps)
		if dropped {
			f.sim.SetFloor(StreamName, 1)
		} else {
			f.clock.Advance(testRetention/2 + time.Second)
		}
		data, _, _ := first.Checkpoint()
		second := f.reader(0)
		if applied, err := second.ApplyCheckpoint(data); !applied || err != nil {
			t.Fatalf("applied: %v, %v; want the checkpoint applied", applied, err)
		}
		f.step(second, settleSteps)
		if f.checkpoints() != 1 {
			t.Fatalf("%d checkpoints, want 1", f.checkpoints())
		}
		if applied, err := second.ApplyCheckpoint(data); applied || err != nil {
			t.Fatalf("the state was replaced by one that is not ahead: %v", err)
		}
	}
}

// Guards against a goroutine that keeps running after its tomb was killed, during
// a poll or a pause.
func TestRunEndsWithItsTomb(t *testing.T) {
	for _, down := range []bool{false, true} {
		f := newFixture(t)
		f.sim.SetDown(down)
		r := NewReader(ReaderOptions{Log: f.sim, Clock: f.clock, PollWait: DefaultPollWait})
		var tmb tomb.Tomb
		tmb.Go(func() error { return r.Run(&tmb) })
		if err := f.clock.BlockUntilContext(context.Background(), 1); err != nil {
			t.Fatal(err)
		}
		tmb.Kill(nil)
		if err := tmb.Wait(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a log that counts as read although its head is below the
// router's state.
func TestRegressedHeadIsNotCountedAsRead(t *testing.T) {
	f := newFixture(t)
	f.append(workspaceRecord("a", "w1", ""))
	r := f.reader(0)
	f.step(r, settleSteps)
	r.log = logsim.New(logsim.Options{Clock: f.clock})
	f.clock.Advance(3 * time.Second)
	if err := r.Step(context.Background()); !errors.Is(err, ErrHeadRegressed) {
		t.Fatalf("got error %v, want ErrHeadRegressed", err)
	}
	if snap := r.Snapshot(); snap.Log.HeadReadAt.Equal(f.clock.Now()) || snap.Config.Workspaces["w1"] == nil {
		t.Fatalf("got %+v, want the workspace and an older read of the head", snap)
	}
}

// Guards against a router that considers a peer's old read of the log recent,
// installs the state of a peer that is not in service, or treats a peer without
// a state as one with an empty state.
func TestConfigReply(t *testing.T) {
	f := newFixture(t)
	r, requester := f.reader(0), NewReader(ReaderOptions{Log: f.sim, Clock: f.clock})
	unknown, _ := r.ConfigReply(0, false)
	f.append(workspaceRecord("a", "w1", ""))
	f.step(r, settleSteps)
	f.clock.Advance(2*time.Second + time.Nanosecond)
	notInService, _ := r.ConfigReply(0, false)
	status := PeerStatusOf("vm", f.clock.Now(), notInService)
	if PeerStatusOf("vm", f.clock.Now(), unknown).HasState || !status.HasState || !status.HasReadLog || status.LogAge != 2001*time.Millisecond {
		t.Fatalf("got %+v, want a state, and a read of the log 2.001 s ago", status)
	}
	reply, _ := r.ConfigReply(0, true)
	for _, inService := range []bool{false, true} {
		reply.InService = inService
		_, err := requester.ApplyReply("vm", f.clock.Now(), reply)
		if requester.Snapshot().Log.HasState != inService || err != nil || len(notInService.Checkpoint) > 0 {
			t.Fatalf("peer in service %v: got %+v, %v; want its state only if it is in service", inService, requester.Snapshot(), err)
		}
	}
}
