package digest

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against a router that is cut off for longer than it tracks the others, takes itself for the only one and asks nobody
// which version began a stream; and against one that asks routers which have stopped as planned.
func TestRoutersThatFellSilentCountAsOthers(t *testing.T) {
	t.Parallel()
	other := netip.MustParseAddr("10.0.0.2")
	for name, c := range map[string]struct {
		heard, stops bool
		silent       time.Duration
		want         bool
	}{
		"never heard":      {false, false, 0, false},
		"heard":            {true, false, 0, true},
		"silent":           {true, false, 2 * peerRetention, true},
		"silent for long":  {true, false, 2 * mostMemory, false},
		"stopped":          {true, true, 0, false},
		"stopped, then on": {true, true, 2 * peerRetention, false},
	} {
		p, now := NewPeers(netip.MustParseAddr("10.0.0.1"), nil), time.Now()
		if c.heard {
			p.RecordMessage(now, other, &Message{Sender: 1})
		}
		p.hasOthers(now)
		if c.stops {
			p.RecordMessage(now, other, &Message{Sender: 1, Stopping: true})
		}
		now = now.Add(c.silent)
		p.Expire(now)
		if got := p.hasOthers(now); got != c.want {
			t.Errorf("%s: has others %v, want %v", name, got, c.want)
		}
	}
}
