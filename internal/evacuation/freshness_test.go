package evacuation

import (
	"testing"
	"time"
)

// gap and silence are the limits with the usual bound.
const (
	gap     = 2 * time.Second
	silence = 3500 * time.Millisecond
)

// clock is the time of a router by both clocks, which also keeps it running.
type clock struct {
	now, wall time.Time
	f         Freshness
}

func newClock() *clock { return &clock{now: start, wall: start.Add(time.Hour)} }

// run lets the router run for a time.
func (c *clock) run(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		c.now, c.wall = c.now.Add(100*time.Millisecond), c.wall.Add(100*time.Millisecond)
		c.f.Check(c.now, c.wall)
	}
}

func (c *clock) view(reader bool) { c.f.RecordView(c.now, c.wall, reader) }

func (c *clock) expect(t *testing.T, when string, want Pause) {
	t.Helper()
	if got := c.f.Check(c.now, c.wall); got != want {
		t.Errorf("%s: pause %q, want %q", when, got, want)
	}
}

// Guards against a router that was frozen and sends requests before it knows what has changed meanwhile: because no tick has come
// yet, because the monotonic clock stood still, or because of what had arrived before.
func TestFrozenRouterWaitsForNews(t *testing.T) {
	for name, freeze := range map[string]func(c *clock){
		"both clocks":    func(c *clock) { c.now, c.wall = c.now.Add(3*time.Second), c.wall.Add(3*time.Second) },
		"the wall clock": func(c *clock) { c.wall = c.wall.Add(3 * time.Second) },
		"the other one":  func(c *clock) { c.now = c.now.Add(3 * time.Second) },
	} {
		c := newClock()
		c.view(true)
		c.run(time.Second)
		c.expect(t, name+", before", PauseNone)
		begun := c.now
		freeze(c)
		c.view(true)
		c.expect(t, name+", a digest that was waiting", PauseFrozen)
		c.f.RecordCall(c.now, c.wall, begun)
		c.expect(t, name+", a call that began before", PauseFrozen)
		c.run(drainTime)
		c.view(false)
		c.expect(t, name+", a router that does not read the store", PauseFrozen)
		c.view(true)
		c.expect(t, name+", a reader", PauseNone)

		freeze(c)
		c.expect(t, name+", again", PauseFrozen)
		c.run(100 * time.Millisecond)
		c.f.RecordCall(c.now, c.wall, c.now)
		c.expect(t, name+", a call", PauseNone)
		c.run(time.Second)
		c.expect(t, name+", later", PauseNone)
	}
}

// Guards against a fleet or a single router that stops for ever after a freeze because the store is down.
func TestFrozenRouterGoesOnWhileTheStoreIsDown(t *testing.T) {
	c := newClock()
	c.view(true)
	c.wall = c.wall.Add(3 * time.Second)
	c.run(readersTime + 100*time.Millisecond)
	c.expect(t, "nobody heard", PauseFrozen)
	c.view(false)
	c.expect(t, "a router that does not read the store", PauseNone)
	alone := newClock()
	alone.run(time.Second)
	alone.wall = alone.wall.Add(3 * time.Second)
	alone.run(readersTime - time.Second)
	alone.expect(t, "alone", PauseFrozen)
	alone.run(2 * time.Second)
	alone.expect(t, "alone, later", PauseNone)
}

// Guards against a router that is cut off from the store and from all others and goes on to send requests to a data centre
// that is evacuated meanwhile; and against a pause of one that hears either, or has never heard another router.
func TestIsolatedRouterPauses(t *testing.T) {
	c := newClock()
	c.run(time.Minute)
	c.expect(t, "alone", PauseNone)
	c.view(false)
	for range 10 {
		c.run(3 * time.Second)
		c.view(false)
		c.expect(t, "hears a router", PauseNone)
	}
	for range 10 {
		c.run(3 * time.Second)
		c.f.RecordCall(c.now, c.wall, c.now.Add(-time.Second))
		c.expect(t, "hears the store", PauseNone)
	}
	c.run(silence + 200*time.Millisecond)
	c.expect(t, "hears nobody", PauseIsolated)
	c.view(true)
	c.expect(t, "hears a reader", PauseNone)
	c.run(silence + 200*time.Millisecond)
	c.expect(t, "hears nobody again", PauseIsolated)
	c.f.RecordCall(c.now, c.wall, c.now.Add(-time.Minute))
	c.expect(t, "an answer to a call from before", PauseIsolated)
	c.run(100 * time.Millisecond)
	c.f.RecordCall(c.now, c.wall, c.now)
	c.expect(t, "hears the store again", PauseNone)
}

// Guards against pauses of a router that runs, but whose ticks come late on a busy VM.
func TestBusyRouterDoesNotPause(t *testing.T) {
	c := newClock()
	c.view(true)
	for range 20 {
		c.now, c.wall = c.now.Add(gap-1), c.wall.Add(gap-1)
		c.view(true)
		c.expect(t, "after a late tick", PauseNone)
	}
}

// Guards against limits that do not follow the fleet's bound, or follow it below what a router needs to hear another one.
func TestLimitsFollowTheBound(t *testing.T) {
	for bound, want := range map[time.Duration]time.Duration{0: silence, 5 * time.Second: silence, 10 * time.Second: 7 * time.Second, time.Second: minSilence} {
		c := newClock()
		c.f.SetBound(bound)
		c.view(true)
		c.run(want)
		c.expect(t, "within the limit", PauseNone)
		c.run(200 * time.Millisecond)
		c.expect(t, "beyond the limit", PauseIsolated)
	}
	c := newClock()
	c.f.SetBound(10 * time.Second)
	c.view(true)
	c.wall = c.wall.Add(4 * time.Second)
	c.expect(t, "a gap within the limit", PauseNone)
	c.f.SetBound(time.Second)
	c.wall = c.wall.Add(minGap)
	c.expect(t, "the least gap", PauseNone)
	c.wall = c.wall.Add(minGap + 1)
	c.expect(t, "more than the least gap", PauseFrozen)
}
