package router

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/admission"
)

// publishMetrics updates the metrics from the router's status at the interval of
// the settings.
func (r *Router) publishMetrics() error {
	interval := max(r.settings.Metrics.ReportInterval, time.Second)
	ticker := r.clock.NewTicker(interval)
	defer ticker.Stop()
	scope := r.metrics.Scope()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-ticker.Chan():
			r.updateMetrics(scope)
		}
	}
}

func (r *Router) updateMetrics(scope tally.Scope) {
	doc := r.Status()
	scope.Gauge("ready").Update(boolValue(doc.Ready))
	scope.Gauge("config_next_offset").Update(float64(doc.Config.NextOffset))
	scope.Gauge("config_log_age_ms").Update(float64(doc.Config.LogAgeMs))
	scope.Gauge("relayed").Update(float64(doc.Relayed))
	scope.Gauge("running").Update(float64(doc.Running))
	scope.Gauge("dropped_frames").Update(float64(doc.DroppedFrames))
	for outcome, n := range doc.Callers {
		scope.Tagged(map[string]string{"outcome": outcome}).Gauge("answers").Update(float64(n))
	}
	for category, n := range doc.Control.ByCategory {
		scope.Tagged(map[string]string{"category": category}).Gauge("control_bytes").Update(float64(n))
	}
	for _, p := range doc.Pools {
		updatePoolMetrics(scope.Tagged(map[string]string{"pool": p.Pool}), p)
	}
}

func updatePoolMetrics(scope tally.Scope, p admission.Stats) {
	scope.Gauge("pool_slots").Update(float64(p.Slots))
	scope.Gauge("pool_mean").Update(p.Mean)
	scope.Gauge("pool_skew").Update(p.Skew)
	scope.Gauge("pool_queued").Update(float64(p.Queued))
	for code, n := range p.Refused {
		scope.Tagged(map[string]string{"code": string(code)}).Gauge("pool_refused").Update(float64(n))
	}
	for _, e := range p.Engines {
		scope.Tagged(map[string]string{"engine": e.Name}).Gauge("engine_load").Update(float64(e.Load))
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
