package front

import (
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/digest"
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
	told := reader.ServerNews()
	if len(told) != 3 {
		t.Fatalf("%d changes are told", len(told))
	}
	if fresh := other.hear([]digest.ServerNews{told[0]}); len(fresh) != 1 || other.missing() != 0 {
		t.Errorf("first change: %v, missing %d", fresh, other.missing())
	}
	other.news(topicServers, 5)
	if fresh := other.hear([]digest.ServerNews{told[2]}); len(fresh) != 1 || other.missing() != 9 {
		t.Errorf("a change after a lost one: %v, missing %d", fresh, other.missing())
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
		told += len(p.ServerNews())
	}
	if told != 1 {
		t.Errorf("told %d times at once", told)
	}
	for range 10 {
		for i := range p.changes {
			p.changes[i].toldAt = p.changes[i].toldAt.Add(-tellPause)
		}
		told += len(p.ServerNews())
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
	if fresh := p.hear([]digest.ServerNews{{ID: "a", Offset: 16, Prev: 15}}); len(fresh) != 0 || p.missing() != 0 {
		t.Errorf("fresh %v, missing %d", fresh, p.missing())
	}
}

// Guards against records without an effect, such as heartbeats, that are told as
// news and make every other router read the store.
func TestHeartbeatsAreNoNews(t *testing.T) {
	var p progress
	p.news(topicServers, 10)
	p.readTo(500)
	if list, _ := p.state(); list[topicServers].News != 10 {
		t.Errorf("news %d, want 10", list[topicServers].News)
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
	if other.hear(reader.ServerNews()); other.missing() != 101 {
		t.Errorf("missing %d, want 101", other.missing())
	}
}
