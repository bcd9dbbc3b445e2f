package wakeup

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// lateTimers is a clock whose time passes between the reading of it and the
// start of a timer.
type lateTimers struct {
	*clockwork.FakeClock
	passes time.Duration
}

func (c lateTimers) NewTimer(d time.Duration) clockwork.Timer {
	c.Advance(c.passes)
	return c.FakeClock.NewTimer(d)
}

// waited starts Wait in a goroutine; the channel receives its result.
func waited(clock clockwork.Clock, due time.Time, wake, stopped <-chan struct{}) <-chan bool {
	ended := make(chan bool, 1)
	go func() { ended <- Wait(clock, due, wake, stopped) }()
	return ended
}

func wantEnd(t *testing.T, ended <-chan bool, want bool) {
	t.Helper()
	select {
	case got := <-ended:
		if got != want {
			t.Errorf("Wait returned %v, want %v", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Wait did not return within 10 s")
	}
}

// Guards against a goroutine that sleeps past its time: the timer counts from its
// start, and due may have come between the reading of the clock and that start.
func TestWaitNoticesTimeThatPassesBeforeItsTimerStarts(t *testing.T) {
	clock := lateTimers{FakeClock: clockwork.NewFakeClock(), passes: time.Minute}
	wantEnd(t, waited(clock, clock.Now().Add(time.Minute), nil, nil), true)
}

// Guards against a wait that misses its time, a signal or the stop, and against
// one that ends before any of them.
func TestWaitEndsWithTheFirstEvent(t *testing.T) {
	for name, c := range map[string]struct {
		due  time.Duration
		end  func(clock *clockwork.FakeClock, wake, stop chan struct{})
		want bool
	}{
		"time":                  {time.Minute, func(c *clockwork.FakeClock, _, _ chan struct{}) { c.Advance(time.Minute) }, true},
		"signal before time":    {time.Minute, func(_ *clockwork.FakeClock, wake, _ chan struct{}) { wake <- struct{}{} }, true},
		"stop before time":      {time.Minute, func(_ *clockwork.FakeClock, _, stop chan struct{}) { close(stop) }, false},
		"signal without a time": {0, func(_ *clockwork.FakeClock, wake, _ chan struct{}) { wake <- struct{}{} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			wake, stop := make(chan struct{}, 1), make(chan struct{})
			var due time.Time
			if c.due > 0 {
				due = clock.Now().Add(c.due)
			}
			ended := waited(clock, due, wake, stop)
			if c.due > 0 {
				if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
					t.Fatal(err)
				}
				clock.Advance(c.due - time.Nanosecond)
			}
			select {
			case <-ended:
				t.Fatal("Wait returned before any event")
			default:
			}
			c.end(clock, wake, stop)
			wantEnd(t, ended, c.want)
		})
	}
}
