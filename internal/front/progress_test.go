package front

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

func change(id string, offset int64) registry.Change {
	return registry.Change{New: &registry.Server{ID: id, Pool: "p"}, Offset: offset}
}

// Guards against a change of a server that is lost on its way while a later one
// arrives: the router must read the store, or it goes on using a server that has
// left.
func TestLostChangeIsNoticed(t *testing.T) {
	var reader, other progress
	reader.read([]registry.Change{change("a", 5), change("b", 7), change("c", 9)})
	told := reader.ServerChanges()
	if len(told) != 3 {
		t.Fatalf("%d changes are told", len(told))
	}
	if other.hear([]digest.ServerChange{told[0]}); other.missing() != 0 {
		t.Errorf("first change: missing %d", other.missing())
	}
	other.news(topicServers, 5)
	if other.hear([]digest.ServerChange{told[2]}); other.missing() != 9 {
		t.Errorf("a change after a lost one: missing %d", other.missing())
	}
	other.readTo(9)
	if other.missing() != 9 {
		t.Error("a read that ends before the change closes the gap")
	}
	other.readTo(10)
	if other.missing() != 0 {
		t.Error("a read past the change leaves the gap open")
	}
}

// Guards against changes that are told again and again: in a fleet of 60 they
// filled a link of 10 Mbit/s.
func TestChangesAreToldAFewTimes(t *testing.T) {
	var p progress
	p.read([]registry.Change{change("a", 5)})
	told := 0
	for range 10 {
		told += len(p.ServerChanges())
	}
	if told != 1 {
		t.Errorf("told %d times at once", told)
	}
	for range 10 {
		for i := range p.changes {
			p.changes[i].toldAt = p.changes[i].toldAt.Add(-tellPause)
		}
		told += len(p.ServerChanges())
	}
	if told != tellTimes {
		t.Errorf("told %d times, want %d", told, tellTimes)
	}
}

// Guards against a change that was read without an effect and is then heard as
// if one before it were missing: the gap that it left was never closed, and news
// of later changes were not looked at (DRAIN on tkd trouble-2, seed 368284738128).
func TestChangeThatWasReadLeavesNoGap(t *testing.T) {
	var p progress
	p.news(topicServers, 10)
	p.readTo(17)
	if p.hear([]digest.ServerChange{{ID: "a", Offset: 16, Prev: 15}}); p.missing() != 0 {
		t.Errorf("missing %d", p.missing())
	}
}

// Guards against records without an effect, such as heartbeats, that are told as
// news and make every other router read the store.
func TestHeartbeatsAreNoNews(t *testing.T) {
	var p progress
	p.news(topicServers, 10)
	p.readTo(500)
	if list, _ := p.state(time.Now()); list[topicServers].LastChange != 10 {
		t.Errorf("news %d, want 10", list[topicServers].LastChange)
	}
	if !p.applied(topicServers, 499) {
		t.Error("a record that was read does not count as known")
	}
}

// Guards against a router that has just begun to read for others and names no
// change before its first: one that was lost before stayed unnoticed (DRAIN on
// grown tkd trouble-2, while all routers were stopped in turn).
func TestNewReaderNamesTheChangeBefore(t *testing.T) {
	var reader, other progress
	reader.news(topicServers, 100)
	reader.read([]registry.Change{change("b", 101)})
	other.news(topicServers, 99)
	if other.hear(reader.ServerChanges()); other.missing() != 101 {
		t.Errorf("missing %d, want 101", other.missing())
	}
}

// Guards against a removal that one reader tells late: another, in its grace
// after an outage, had told later changes without it, and the removal was then
// taken for old news (DRAIN on grown tkd trouble-1).
func TestRemovalToldAfterLaterChangesCounts(t *testing.T) {
	b := newBelief(Platform{}, forward.NewWorld(forward.Limits{}), nil, event.Nop())
	now := time.Unix(1000, 0)
	b.servers.Apply(now, []registry.Entry{
		{ID: "x", Offset: 1, Server: &registry.Server{ID: "x", Pool: "p", Addr: "10.0.0.1:1"}},
		{ID: "y", Offset: 2, Server: &registry.Server{ID: "y", Pool: "p", Addr: "10.0.0.2:1"}},
	}, time.Time{})
	b.progress.news(topicServers, 235)
	tell := func(news ...digest.ServerChange) {
		done := make(chan struct{})
		go func() {
			(<-b.inbox)()
			close(done)
		}()
		b.ApplyServerChanges(news)
		<-done
	}
	tell(digest.ServerChange{ID: "y", Offset: 237, Prev: 235, Server: &registry.Server{ID: "y", Pool: "p", Addr: "10.0.0.2:1", Leaving: true}})
	tell(digest.ServerChange{ID: "x", Offset: 236, Prev: 235})
	for _, s := range b.servers.Servers() {
		if s.ID == "x" {
			t.Error("the removed server is still known")
		}
	}
}

// Guards against routers that rely on one which uses removed servers on for a
// while, because it has just regained the store.
func TestRouterThatHoldsRemovalsBackDoesNotReadForOthers(t *testing.T) {
	var p progress
	now := time.Unix(1000, 0)
	p.holdBack(now.Add(time.Second))
	if _, reading := p.state(now); reading {
		t.Error("reads for others in its grace")
	}
	if _, reading := p.state(now.Add(2 * time.Second)); !reading {
		t.Error("does not read for others after its grace")
	}
}

// Guards against routers that start together and each tell all others the whole
// list of servers: at 300 routers and 3,000 servers that was gigabytes, and
// the fleet served only 30 s after all were killed.
func TestFirstListIsNoNews(t *testing.T) {
	b := newBelief(Platform{DecodeServer: func(id string, _ []byte) (*registry.Server, error) {
		return &registry.Server{ID: id, Pool: "p", Addr: "10.0.0.1:1"}, nil
	}}, forward.NewWorld(forward.Limits{}), nil, event.Nop())
	b.exchange = &digest.Exchange{}
	record := func(id string, offset int64) feed.Record {
		return feed.Record{Key: id, Value: []byte("{}"), Offset: offset}
	}
	b.takeServers(feed.Batch{Full: true, Records: []feed.Record{record("x", 1), record("y", 2)}, Next: 3})
	if told := b.progress.ServerChanges(); len(told) != 0 {
		t.Errorf("%d servers of the first list are told", len(told))
	}
	b.takeServers(feed.Batch{Records: []feed.Record{record("z", 3)}, Next: 4})
	if told := b.progress.ServerChanges(); len(told) != 1 || told[0].Prev != 2 {
		t.Errorf("told %v, want the one new server and the change before it", told)
	}
}
