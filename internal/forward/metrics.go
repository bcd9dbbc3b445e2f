package forward

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Metrics counts how requests end. It is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	retries tally.Counter
}

// latencyBuckets spans cached lookups to long streams.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// NewMetrics returns metrics in scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{scope: scope, retries: scope.Counter("retries")}
}

func (m *Metrics) retried() { m.retries.Inc(1) }

func (m *Metrics) ended(k *call, took time.Duration) {
	kind := "none"
	if k.route != nil {
		kind = k.route.Kind.String()
	}
	m.scope.Tagged(map[string]string{
		"kind": kind, "outcome": string(k.outcome), "cause": string(k.cause), "status": statusLabel(k.status),
	}).Counter("requests").Inc(1)
	scope := m.scope.Tagged(map[string]string{"kind": kind})
	scope.Histogram("latency", latencyBuckets).RecordDuration(took)
	if k.firstByte > 0 {
		scope.Histogram("first_byte", latencyBuckets).RecordDuration(k.firstByte)
	}
}
