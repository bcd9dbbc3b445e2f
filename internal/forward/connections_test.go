package forward

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/connreuse"
)

// Guards against connections that are reused within the period or kept beyond it, and
// against a change of the decision that is not reported.
func TestKeptConnectionsAreNotUsedWithinThePeriod(t *testing.T) {
	var changes []connreuse.Change
	c := &connections{onReuse: func(change *connreuse.Change) { changes = append(changes, *change) }}
	before := c.transport(time.Now())
	if before.DisableKeepAlives || c.transport(time.Now()) != before {
		t.Fatal("connections are not reused at first")
	}
	c.recordUnasked()
	if !c.transport(time.Now()).DisableKeepAlives || c.noReuseFor(time.Now()) == 0 {
		t.Fatal("connections are reused after bytes that nobody asked for")
	}
	if len(changes) != 1 || changes[0].Allowed || changes[0].Cause != connreuse.UnaskedBytes {
		t.Fatalf("changes %+v, want a start", changes)
	}
	after := c.transport(time.Now().Add(changes[0].Period))
	if after.DisableKeepAlives || after == before {
		t.Error("the connections from before the period are used after it, or none is reused")
	}
	if len(changes) != 2 || !changes[1].Allowed {
		t.Errorf("changes %+v, want a start and an end", changes)
	}
}

// Guards against a connection from before a period in which no request came.
func TestKeptConnectionsEndWithAQuietPeriod(t *testing.T) {
	var period time.Duration
	c := &connections{onReuse: func(change *connreuse.Change) { period = change.Period }}
	before := c.transport(time.Now())
	c.recordUnasked()
	after := c.transport(time.Now().Add(period))
	if after.DisableKeepAlives || after == before {
		t.Error("the connections from before the period are used after it, or none is reused")
	}
}
