package namedlimit

import (
	"testing"
	"time"
)

var sole = Share{Sender: true, Sole: true, Routers: 9}

// arrivals returns the largest number of requests within a second of several senders that always have one, each from its
// own start on.
func arrivals(b ColdBounds, starts ...time.Duration) int {
	var times []time.Duration
	senders := make([]Cold, len(starts))
	for d := time.Duration(0); d < 10*time.Second; d += time.Millisecond {
		for i := range senders {
			// A sender that has waited may send a burst.
			if d >= starts[i] || d == 0 {
				if senders[i].Allows(at(d), b, sole) && d >= starts[i] {
					senders[i].Take(at(d))
					times = append(times, d)
				}
			}
		}
	}
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a cold server that gets more than its bound when two routers take themselves for its sender, both with
// what they have not used before.
func TestTwoSendersKeepToTheBoundOfAColdServer(t *testing.T) {
	for _, b := range []ColdBounds{{9.2, 1.5, 5}, {3, 1.5, 5}, {0.5, 1.5, 5}, {40, 1.5, 5}, {200, 1.2, 8}, {20, 1, 0}} {
		bound := b.most()
		if n := arrivals(b, time.Second, 1500*time.Millisecond); float64(n) > bound {
			t.Errorf("%+v: %d requests of two senders in a second, want at most %v", b, n, bound)
		}
		if n := arrivals(b, time.Second); float64(n) < min(0.7*b.PerSecond, bound/2-2) {
			t.Errorf("%+v: %d requests of one sender in a second", b, n)
		}
	}
}

// Guards against requests of a router that is not known to be the only sender, and against a burst of one that has
// become it.
func TestOnlyASoleSenderSendsToAColdServer(t *testing.T) {
	c, b := &Cold{}, ColdBounds{9.2, 1.5, 5}
	for d := time.Duration(0); d < 5*time.Second; d += 10 * time.Millisecond {
		if c.Allows(at(d), b, Share{Sender: true, Routers: 9}) {
			t.Fatalf("allowed after %v for a router that is not the sole sender", d)
		}
	}
	if _, ok := c.Wait(at(5*time.Second), b, Share{Sender: true}); ok {
		t.Error("a wait for a router that may send nothing")
	}
	if c.Allows(at(5*time.Second), b, sole) {
		t.Error("a new sender sends at once what another one may just have sent")
	}
	if wait, ok := c.Wait(at(5*time.Second), b, sole); !ok || wait <= 0 || wait > time.Second {
		t.Errorf("wait %v, %v of a new sender", wait, ok)
	}
}
