package order

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
)

// playLog makes the calls to the log that are due at a time.
func playLog(c *controller, log *[]logstream.Record, now time.Time) {
	for range 10 {
		o := c.nextLogOp(now)
		switch o.kind {
		case opNone:
			return
		case opAppend:
			for _, data := range o.data {
				*log = append(*log, logstream.Record{Offset: uint64(len(*log)), Time: now, Data: data})
			}
			c.journal.handleAppend(now, nil)
		case opRead:
			page := logstream.Page{Head: uint64(len(*log)), Records: (*log)[o.from:]}
			c.handleLogRead(now, func() { c.journal.handleRead(now, page, nil) })
		}
	}
}

// Guards against a load that is never granted: its record followed the renewal of its
// lease in the same append, named the number before it, and was tried again at the next
// renewal.
func TestLoadIsGrantedBesideRenewalsOfTheLease(t *testing.T) {
	timing := Timing{
		LeaseDuration: 3 * budgetRetryInterval, Margin: 300 * time.Millisecond, SendTimeout: 500 * time.Millisecond,
		CheckInterval: 500 * time.Millisecond, PollInterval: 200 * time.Millisecond, RefreshAge: time.Hour,
	}
	c := newController("r", timing, modelBudget, func() string { return time.Now().String() })
	target := Target{Engine: "e", Model: "m"}
	c.setCandidate(true)
	c.setEngines([]string{target.Engine})
	c.setPlan(Plan{States: map[Target]State{target: {Version: "v1"}}})
	start := time.Unix(1000, 0)
	var log []logstream.Record
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += 50 * time.Millisecond {
		now := start.Add(elapsed)
		// The engine answers only after the first renewal of the lease has become due.
		if task := c.nextTask(now); task.kind == taskOrder {
			return
		} else if task.kind == taskState {
			var err error
			if elapsed < budgetRetryInterval {
				err = &engineclient.Error{Op: "state", Err: engineclient.ErrEngine}
			}
			c.handleTaskResult(now, task, engineclient.OrdersState{}, err)
			c.engines[target.Engine].retryAt = now
		}
		playLog(c, &log, now)
	}
	t.Errorf("the load was not ordered in 20 s; the log has %d records", len(log))
}
