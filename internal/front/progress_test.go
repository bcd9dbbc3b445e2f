package front

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// at returns a position in the first era.
func at(offset int64) logpos.Position { return logpos.Position{Offset: offset} }

func change(id string, offset int64) registry.Change {
	return registry.Change{New: &registry.Server{ID: id, Pool: "p"}, Position: at(offset)}
}

// Guards against a lost datagram with a change of a server while a later change
// arrives: the router must then read the store, or it keeps using a server that
// has left.
func TestLostChangeIsDetected(t *testing.T) {
	reader, other := newProgress(), newProgress()
	reader.recordRead([]registry.Change{change("a", 5), change("b", 7), change("c", 9)})
	sent := reader.ServerChanges()
	if len(sent) != 3 {
		t.Fatalf("%d changes are sent, want 3", len(sent))
	}
	if other.detectGap([]digest.ServerChange{sent[0]}); other.gapPosition() != logpos.None {
		t.Errorf("first change: gap at %s, want none", other.gapPosition())
	}
	other.recordReceived([]registry.Change{change("x", 5)})
	if other.detectGap([]digest.ServerChange{sent[2]}); other.gapPosition() != at(9) {
		t.Errorf("a change after a lost one: gap at %s, want 9", other.gapPosition())
	}
	other.recordReadTo(at(9), false)
	if other.gapPosition() != at(9) {
		t.Error("a read that ends before the change has closed the gap")
	}
	other.recordReadTo(at(10), false)
	if other.gapPosition() != logpos.None {
		t.Error("a read past the change has not closed the gap")
	}
}

// Guards against changes that are sent without end: in a fleet of 60 routers they
// filled a link of 10 Mbit/s.
func TestNumberOfSendsIsLimited(t *testing.T) {
	p := newProgress()
	p.recordRead([]registry.Change{change("a", 5)})
	sent := 0
	for range 10 {
		sent += len(p.ServerChanges())
	}
	if sent != 1 {
		t.Errorf("sent %d times at once, want 1", sent)
	}
	for range 10 {
		for i := range p.changes {
			p.changes[i].sentAt = p.changes[i].sentAt.Add(-resendInterval)
		}
		sent += len(p.ServerChanges())
	}
	if sent != maxSends {
		t.Errorf("sent %d times, want %d", sent, maxSends)
	}
}

// Guards against changes that are sent again to routers that have them, and against a
// regained entry or a delayed removal that is not sent again although a report of a
// later change does not show that it arrived.
func TestOnlyChangesInOrderAreSentAgainByReport(t *testing.T) {
	p := newProgress()
	p.recordRead([]registry.Change{change("in order", 5), change("later", 9), change("delayed", 7)})
	p.recordWrittenAgain([]registry.Entry{{ID: "regained", Position: at(11)}})
	for _, c := range p.ServerChanges() {
		if c.Again {
			t.Errorf("%s: the first send counts as a later one", c.ID)
		}
	}
	for i := range p.changes {
		p.changes[i].sentAt = p.changes[i].sentAt.Add(-resendInterval)
	}
	for _, c := range p.ServerChanges() {
		if want := c.ID == "in order" || c.ID == "later"; c.Again != want {
			t.Errorf("%s: sent again by report: %v, want %v", c.ID, c.Again, want)
		}
	}
}

// Guards against a gap for a change that this router has already read without an
// effect and then receives from another router. That gap was never closed, and
// later changes were ignored.
func TestChangeThatWasReadLeavesNoGap(t *testing.T) {
	p := newProgress()
	p.recordReceived([]registry.Change{change("x", 10)})
	p.recordReadTo(at(17), false)
	if p.detectGap([]digest.ServerChange{{ID: "a", Position: at(16), Prev: at(15)}}); p.gapPosition() != logpos.None {
		t.Errorf("gap at %s, want none", p.gapPosition())
	}
}

// Guards against records without an effect, such as heartbeats, that are reported
// as changes and make every other router read the store.
func TestHeartbeatsAreNotReportedAsChanges(t *testing.T) {
	p := newProgress()
	p.recordReceived([]registry.Change{change("x", 10)})
	p.recordReadTo(at(500), false)
	if list := p.report(time.Now(), 0).Topics; list[digest.TopicServers].LastChange != at(10) {
		t.Errorf("reported change %s, want 0/10", list[digest.TopicServers].LastChange)
	}
	if !p.isApplied(digest.TopicServers, at(499)) {
		t.Error("a record that was read does not count as applied")
	}
}

// Guards against a router that has just become a reader and names no change before
// the first that it reads: the loss of an earlier change was then not detected
// while all routers were stopped in turn.
func TestNewReaderReportsPrecedingChange(t *testing.T) {
	reader, other := newProgress(), newProgress()
	reader.recordReceived([]registry.Change{change("x", 100)})
	reader.recordRead([]registry.Change{change("b", 101)})
	other.recordReceived([]registry.Change{change("x", 99)})
	if other.detectGap(reader.ServerChanges()); other.gapPosition() != at(101) {
		t.Errorf("gap at %s, want 101", other.gapPosition())
	}
}

// deliver applies changes that another router has sent.
func deliver(tr *tracker, changes ...digest.ServerChange) {
	done := make(chan struct{})
	go func() {
		(<-tr.tasks)()
		close(done)
	}()
	tr.ApplyServerChanges(changes)
	<-done
}

// Guards against a removal that is ignored because it arrives after later changes:
// another reader, which delayed the removal after an outage, had sent these
// without it.
func TestRemovalReceivedAfterLaterChangesApplies(t *testing.T) {
	tr := newTracker(Platform{}, forward.NewState(forward.Limits{}), nil, event.Nop(), tally.NoopScope)
	tr.listRead = true
	now := time.Unix(1000, 0)
	tr.servers.Apply(now, []registry.Entry{
		{ID: "x", Position: at(1), Server: &registry.Server{ID: "x", Pool: "p", Addr: "10.0.0.1:1"}},
		{ID: "y", Position: at(2), Server: &registry.Server{ID: "y", Pool: "p", Addr: "10.0.0.2:1"}},
	}, time.Time{})
	tr.progress.recordReceived([]registry.Change{change("x", 235)})
	deliver(tr, digest.ServerChange{ID: "y", Position: at(237), Prev: at(235), Server: &registry.Server{ID: "y", Pool: "p", Addr: "10.0.0.2:1", Leaving: true}})
	deliver(tr, digest.ServerChange{ID: "x", Position: at(236), Prev: at(235)})
	for _, s := range tr.servers.Servers() {
		if s.ID == "x" {
			t.Error("the removed server is still in the list")
		}
	}
}

// Guards against routers that rely on the reads of one which still uses removed
// servers, because the store has only just answered it again.
func TestRouterThatDelaysRemovalsDoesNotReadForOthers(t *testing.T) {
	p := newProgress()
	now := time.Unix(1000, 0)
	p.delayRemovals(now.Add(time.Second))
	if p.report(now, 0).OwnReads.Succeed {
		t.Error("the router reads for others while it delays removals")
	}
	if !p.report(now.Add(2*time.Second), 0).OwnReads.Succeed {
		t.Error("the router does not read for others after the delay")
	}
}

// Guards against routers that start together and each send the whole list of
// servers to all others: with 300 routers and 3,000 servers that was gigabytes,
// and the fleet served only 30 s after all were killed.
func TestFirstListIsNotSent(t *testing.T) {
	tr := newTracker(Platform{DecodeServer: func(id string, _ []byte) (*registry.Server, error) {
		return &registry.Server{ID: id, Pool: "p", Addr: "10.0.0.1:1"}, nil
	}}, forward.NewState(forward.Limits{}), nil, event.Nop(), tally.NoopScope)
	tr.exchange = &digest.Exchange{}
	record := func(id string, offset int64) feed.Record {
		return feed.Record{Key: id, Value: []byte("{}"), Offset: offset}
	}
	tr.applyServers(feed.Batch{Full: true, Records: []feed.Record{record("x", 1), record("y", 2)}, Next: at(3)})
	if sent := tr.progress.ServerChanges(); len(sent) != 0 {
		t.Errorf("%d servers of the first list are sent, want none", len(sent))
	}
	tr.applyServers(feed.Batch{Records: []feed.Record{record("z", 3)}, Next: at(4)})
	if sent := tr.progress.ServerChanges(); len(sent) != 1 || sent[0].Prev != at(2) {
		t.Errorf("sent %v, want only the new server, with the change before it", sent)
	}
}

// Guards against a router that read the list of a new era before the readers did and never
// learns of what was written in between: a reader that knew it before sends it to nobody.
func TestEarlierListOfAnEraIsReadOn(t *testing.T) {
	at := func(era, offset int64) logpos.Position { return logpos.Position{Era: era, Offset: offset} }
	reader := newProgress()
	reader.recordReadTo(at(4, 20), true)
	reader.recordReadTo(at(5, 8), true)
	reader.recordReadTo(at(5, 11), false)
	if got := reader.report(time.Now(), 5).ListEnd; got != 8 {
		t.Errorf("the first list ends at %d, want 8", got)
	}
	if got := reader.report(time.Now(), 6).ListEnd; got != 0 {
		t.Errorf("the first list of an era without one ends at %d, want 0", got)
	}
	for _, c := range []struct {
		readTo, listEnd, want logpos.Position
	}{
		{at(5, 5), at(5, 8), at(5, 7)},
		{at(5, 8), at(5, 8), logpos.None},
		{at(5, 9), at(5, 8), logpos.None},
		// The state of the era before and the changes that the readers send make up this one.
		{at(4, 5), at(5, 8), logpos.None},
		{at(5, 5), logpos.None, logpos.None},
		{at(0, 0), logpos.None, logpos.None},
	} {
		p := newProgress()
		p.recordReadTo(c.readTo, true)
		if got := p.unreadOf(c.listEnd); got != c.want {
			t.Errorf("read to %v, list to %v: unread to %v, want %v", c.readTo, c.listEnd, got, c.want)
		}
	}
}

// Guards against a reader's digest that is taken for a difference because it was sent before the newest change, and
// against an old set of servers that still counts as known.
func TestEarlierServersCountForAMoment(t *testing.T) {
	p := newProgress()
	now := time.Now()
	for hash := range uint32(3 * maxEarlierHashes) {
		p.recordServers(now, hash+1)
		p.recordServers(now, hash+1)
	}
	got := p.report(now.Add(hashMaxAge/2), 0).Servers
	if got.Hash != 3*maxEarlierHashes || len(got.Earlier) != maxEarlierHashes || got.Earlier[maxEarlierHashes-1] != 3*maxEarlierHashes-1 {
		t.Errorf("%+v, want the last hash and those before it", got)
	}
	if got := p.report(now.Add(hashMaxAge), 0).Servers; len(got.Earlier) != 0 {
		t.Errorf("%d earlier hashes after %s, want none", len(got.Earlier), hashMaxAge)
	}
}

// Guards against a router that says of a past moment that it reads the store for the others: while a call has no answer, before
// the first answers, and after a freeze.
func TestReadsAreDatedByTheLastAnswers(t *testing.T) {
	p := newProgress()
	now := time.Now()
	check := func(when string, succeed, recent bool) {
		t.Helper()
		if got := p.report(now, 0).OwnReads; got.Succeed != succeed || got.Recent != recent {
			t.Errorf("%s: %+v, want that reads succeed: %v, are recent: %v", when, got, succeed, recent)
		}
	}
	check("at the start", true, false)
	if p.recordCallEnd(now, digest.TopicConfig, true) {
		t.Error("one topic is enough")
	}
	check("after one topic", true, false)
	if !p.recordCallEnd(now, digest.TopicServers, true) {
		t.Error("the last topic's first answer is no news")
	}
	check("after both topics", true, true)
	if !p.setOverdue(digest.TopicServers) || p.setOverdue(digest.TopicServers) {
		t.Error("a call is overdue once")
	}
	check("while a call is overdue", false, true)
	if !p.recordCallEnd(now, digest.TopicServers, true) {
		t.Error("the answer to an overdue call is no news")
	}
	check("after its answer", true, true)
	now = now.Add(answerMaxAge + time.Millisecond)
	check("after a freeze", true, false)
}
