package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cost"
)

// Guards against engines that get more requests than their memory holds while others have room: they preempt requests
// and read their prompts again.
func TestEnginesWithoutMemoryArePassedOver(t *testing.T) {
	p := pool(3)
	p.SetMemory(100_000)
	full := p.members[0]
	for i := range 7 {
		p.Begin(start, at(full), Job{Run: uint64(i + 1), Cost: cost.Prediction{Memory: 12_000}})
	}
	// The others have more requests, which are small.
	for i := range 10 {
		for _, m := range p.members[1:] {
			p.Begin(start, at(m), Job{Run: uint64(i + 1), Cost: cost.Prediction{Memory: 100}})
		}
	}
	job := Job{Cost: cost.Prediction{Memory: 12_000}, Run: 99}
	if c := pick(t, p, start, job); c.Server == full.server {
		t.Error("a request goes to the engine without memory for it")
	}
	job.Cost.Memory = 1000
	if c := pick(t, p, start, job); c.Server != full.server {
		t.Errorf("a small request goes to %s, want the least loaded engine, which has memory for it", c.Server.ID)
	}
	p.SetMemory(0)
	job.Cost.Memory = 12_000
	if c := pick(t, p, start, job); c.Server != full.server {
		t.Errorf("a request goes to %s, want the least loaded engine when the memory is unknown", c.Server.ID)
	}
}

// Guards against shared parts of prompts that count once for each request, and against requests that are turned away
// from the holder of their prefix although it has memory for them.
func TestSharedPartsCountOnce(t *testing.T) {
	p := pool(3)
	p.SetMemory(20_000)
	job := large(1)
	job.Cost.Memory = 11_000
	c := pick(t, p, start, job)
	home := c.Server
	for i := range 7 {
		job.Run = uint64(i + 1)
		c = pick(t, p, start.Add(time.Second), job)
		if c.Server != home {
			t.Fatalf("request %d leaves the holder, whose requests take %d tokens", i, 10_000+1000*i)
		}
		p.Begin(start.Add(time.Second), c, job)
	}
	if got := p.byKey[home.Key()].work.tokens(); got != 17_000 {
		t.Errorf("%v tokens for seven requests of 1000 beside a shared part of 10,000", got)
	}
	job.Run = 8
	p.Begin(start.Add(time.Second), c, job)
	if c = pick(t, p, start.Add(time.Second), job); c.Server == home {
		t.Error("a request goes to its holder, which has no memory for it")
	}
}

// Guards against a pool that counts as one with free slots although its engines have no memory for further requests.
func TestMemoryBoundsTheSlotsOfAPool(t *testing.T) {
	p := pool(2)
	if got := p.Load(start).Slots; got != 128 {
		t.Fatalf("%d slots, want 128", got)
	}
	p.SetMemory(483_671)
	for i := range 30 {
		for _, m := range p.members {
			p.Begin(start, at(m), Job{Run: uint64(i + 1), Cost: cost.Prediction{Memory: 12_000}})
		}
	}
	load := p.Load(start)
	if load.Slots < 70 || load.Slots > 74 {
		t.Errorf("%d slots for requests of 12,000 tokens on two engines with 483,671, want about 72", load.Slots)
	}
	setOthers(p, start, 0, 30, 30)
	if load = p.Load(start); load.InFlight() < float64(load.Slots) {
		t.Errorf("%+v, want a full pool", load)
	}
}
