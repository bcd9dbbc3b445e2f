package slotgrant

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/overload"
)

// shareByDelays lets each router decide by an overload.DelayShare. The totals are those of the report before the last.
func (s *sim) shareByDelays() {
	shares := make(map[*simRouter]*overload.DelayShare)
	for _, r := range s.routers {
		shares[r] = overload.NewDelayShare()
		shares[r].SetFleet(simSlots, simRouters)
	}
	s.admits = func(q *simRequest) bool {
		return shares[q.router].Admit(q.router.now(), &overload.ShareRequest{
			Workspace: strconv.Itoa(int(q.workspace)), Priority: q.priority(), Objective: simObjective, Remaining: simDeadline, Retrying: q.returned,
		}).Admitted
	}
	s.onEnd = func(q *simRequest, end End) {
		if end == Served {
			shares[q.router].RecordServed(s.now-q.sentAt, simObjective)
			return
		}
		shares[q.router].RecordRefused()
	}
	var reported overload.Times
	var report func()
	report = func() {
		var totals overload.Times
		for _, r := range s.routers {
			totals.Add(shares[r].Take(r.now()))
		}
		for _, r := range s.routers {
			shares[r].SetTotals(r.now(), reported)
		}
		reported = totals
		s.after(simReport, report)
	}
	s.at(0, report)
}

// Guards against a server whose queue makes most of its answers late, and that refuses the rest, since no router of many sees
// it: with shares by delays the answers are worth more where requests arrive faster than the slots take them, no less
// where they don't, and the slots stay in use. At a load of 1 the value depends on few bursts, so it is averaged over more seeds; where
// routers stall as well it is 0.001 less over 40 seeds.
func TestShareByDelays(t *testing.T) {
	for _, c := range []struct {
		simCase
		seeds uint64
		less  float64
	}{
		{simCase{load: 0.85}, 24, 0},
		{simCase{load: 0.85, slower: true}, 8, 0},
		{simCase{load: 1}, 24, 0},
		{simCase{load: 1, slower: true}, 8, 0},
		{simCase{load: 1, stalls: true}, 8, 0.005},
		{simCase{load: 1.75}, 8, 0},
		{simCase{load: 1.75, slower: true}, 8, 0},
		{simCase{load: 1.75, stalls: true}, 8, 0},
	} {
		t.Run(fmt.Sprintf("load %.2f, slower %v, stalls %v", c.load, c.slower, c.stalls), func(t *testing.T) {
			c.varying, c.mixed, c.returns, c.unstated, c.paired = true, true, true, true, true
			c.uniform, c.delay = true, 8*time.Millisecond
			before, after, used := compareShareByDelays(t, c.simCase, c.seeds)
			t.Logf("value %.4f, as before %.4f; %.3f of the capacity is used", after, before, used)
			if after < before-c.less || c.load > 1 && after <= before {
				t.Errorf("value %.4f, want no less than the %.4f without shares, and more at a load of 1.75", after, before)
			}
			if c.load > 1 && !c.slower && used < 0.9 {
				t.Errorf("%.3f of the capacity is used, want 0.9", used)
			}
		})
	}
}

// compareShareByDelays returns the mean value of a load without and with shares by delays, and the share of the capacity that is used
// with them.
func compareShareByDelays(t *testing.T, c simCase, seeds uint64) (before, after, used float64) {
	for c.seed = range seeds {
		c.without = true
		s := newSim(t, c)
		s.run()
		before += s.result.value() / float64(seeds)
		c.without = false
		s = newSim(t, c)
		s.shareByDelays()
		s.run()
		if c.seed == 0 {
			s.log()
		}
		after += s.result.value() / float64(seeds)
		used += s.used() / float64(seeds)
	}
	return before, after, used
}
