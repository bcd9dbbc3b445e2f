package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// Guards against a server that says that it leaves and is used again because its entry, which is
// written at each heartbeat, says otherwise.
func TestServerThatSaysThatItLeavesStaysLeaving(t *testing.T) {
	p, now := NewPool(Limits{CapFactor: 2, CapExtra: 3}), time.Unix(1_000_000, 0)
	list := []*registry.Server{{ID: "a", Slots: 8}, {ID: "b", Slots: 8}}
	p.SetServers(list)
	if !p.RecordLeaving(list[0].Key()) || p.RecordLeaving(list[0].Key()) {
		t.Error("the first statement is new, the second is not")
	}
	p.SetServers(list)
	for i := range 10 {
		if c, ok := p.Pick(now, Job{Random: uint64(i)}); !ok || c.Server.ID != "b" {
			t.Fatalf("chosen: %+v, %v; want the other server", c.Server, ok)
		}
	}
	if list[0].Leaving {
		t.Error("the entry of the registry is changed")
	}
	restarted := *list[0]
	restarted.Born = 7
	p.SetServers([]*registry.Server{&restarted})
	if _, ok := p.Pick(now, Job{}); !ok {
		t.Error("a server that has restarted is not used")
	}
}

// Guards against a shorter statement of a request in flight that ends a longer one, against a router
// that counts such a server as free, and against an ejection that is ignored for it.
func TestServerThatWantsNoneIsWithheld(t *testing.T) {
	p, now := NewPool(Limits{CapFactor: 2, CapExtra: 3}), time.Unix(1_000_000, 0)
	list := []*registry.Server{{ID: "a", Slots: 8}, {ID: "b", Slots: 8}}
	p.SetServers(list)
	if !p.RecordRetryAfter(now, list[0].Key(), 10*time.Second) || p.RecordRetryAfter(now, list[0].Key(), time.Second) {
		t.Error("the first statement begins the time, the second does not")
	}
	for i := range 10 {
		if c, ok := p.Pick(now.Add(9*time.Second), Job{Random: uint64(i)}); !ok || c.Server.ID != "b" {
			t.Fatalf("chosen: %+v, %v; want the other server", c.Server, ok)
		}
	}
	if load := p.Load(now.Add(9 * time.Second)); load.Slots != 8 {
		t.Errorf("%d slots count, want those of the other server", load.Slots)
	}
	p.RecordRetryAfter(now, list[1].Key(), 4*time.Second)
	if _, ok := p.Pick(now, Job{}); ok || p.WithheldWait(now) != 4*time.Second {
		t.Errorf("chosen: %v, wait %v; want none and the shortest wait", ok, p.WithheldWait(now))
	}
	if _, ok := p.Pick(now.Add(10*time.Second), Job{}); !ok {
		t.Error("no server is used after the time")
	}
}
