package forward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/connreuse"
	"github.com/bluebellwell/bluebellwell/internal/cost"
)

// Metrics counts how requests end. It is safe for concurrent use.
type Metrics struct {
	scope tally.Scope
	// costRatios compare what was predicted with what was seen: 1 is right.
	outputRatio, slotRatio, firstByteRatio tally.Histogram
}

// ratioBuckets double from a sixteenth to sixteen times.
var ratioBuckets = tally.MustMakeExponentialValueBuckets(1.0/16, 2, 9)

// latencyBuckets ranges from cached lookups to long streams.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// NewMetrics returns metrics in scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		scope: scope, outputRatio: scope.Histogram("predicted_output_ratio", ratioBuckets),
		slotRatio:      scope.Histogram("predicted_slot_time_ratio", ratioBuckets),
		firstByteRatio: scope.Histogram("predicted_first_byte_ratio", ratioBuckets),
	}
}

// recordRetry counts a retry that the pool's budget was asked for.
func (m *Metrics) recordRetry(pool string, allowed bool) {
	m.scope.Tagged(map[string]string{"pool": pool, "allowed": strconv.FormatBool(allowed)}).Counter("retries").Inc(1)
}

// recordUnreachable counts an attempt that could not connect and costs nothing of the budget.
func (m *Metrics) recordUnreachable(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("unreachable").Inc(1)
}

// recordCold counts a request that is sent to a cold server.
func (m *Metrics) recordCold(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("cold_requests").Inc(1)
}

// recordReuse counts the periods in which connections to a server are not reused.
func (m *Metrics) recordReuse(change *connreuse.Change) {
	if !change.Allowed {
		m.scope.Tagged(map[string]string{"cause": string(change.Cause)}).Counter("reuse_stopped").Inc(1)
	}
}

// recordBackup counts a run whose memory is copied.
func (m *Metrics) recordBackup(pool string) {
	m.scope.Tagged(map[string]string{"pool": pool}).Counter("backups").Inc(1)
}

// recordTakeover counts the runs whose engine ended while they had a backup.
func (m *Metrics) recordTakeover(pool, outcome string) {
	m.scope.Tagged(map[string]string{"pool": pool, "outcome": outcome}).Counter("takeovers").Inc(1)
}

// recordTakeoverPause records the time without an event that a takeover caused.
func (m *Metrics) recordTakeoverPause(d time.Duration) {
	m.scope.Histogram("takeover_pause", latencyBuckets).RecordDuration(d)
}

func (m *Metrics) recordEnd(c *call, duration time.Duration) {
	kind := "none"
	if c.route != nil {
		kind = c.route.Kind.String()
	}
	m.scope.Tagged(map[string]string{
		"kind": kind, "outcome": string(c.outcome), "cause": string(c.cause), "status": statusLabel(c.w.status),
		"framing": string(c.attempts.framing),
	}).Counter("requests").Inc(1)
	scope := m.scope.Tagged(map[string]string{"kind": kind})
	scope.Histogram("latency", latencyBuckets).RecordDuration(duration)
	if c.firstByte > 0 {
		scope.Histogram("first_byte", latencyBuckets).RecordDuration(c.firstByte)
	}
}

// recordCost compares the predictions for a request with its answer.
func (m *Metrics) recordCost(c *call, seen cost.Answer) {
	if c.predicted.Output > 0 && seen.Output > 0 {
		m.outputRatio.RecordValue(c.predicted.Output / float64(seen.Output))
	}
	if c.predicted.Slot > 0 && seen.Slot > 0 {
		m.slotRatio.RecordValue(float64(c.predicted.Slot) / float64(seen.Slot))
	}
	firstByte := c.firstByte - c.attempts.sentAt.Sub(c.arrivedAt)
	if expected := c.attempts.choice.Expected; expected > 0 && firstByte > 0 {
		m.firstByteRatio.RecordValue(float64(expected) / float64(firstByte))
	}
}
