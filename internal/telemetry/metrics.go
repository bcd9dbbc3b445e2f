package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

// MetricsContentType is the media type of the metrics page.
const MetricsContentType = "text/plain; version=0.0.4; charset=utf-8"

// Metrics holds the metrics of a daemon: a tally scope and the page that shows it.
// It is safe for concurrent use.
type Metrics struct {
	scope  tally.Scope
	closer io.Closer
	page   *page
}

// NewMetrics returns metrics with common tags. Counters, gauges and histograms
// are reported to the page once per interval, or on Close if the interval is 0.
// Timers are reported at once.
func NewMetrics(tags map[string]string, interval time.Duration) *Metrics {
	p := newPage()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 serviceName,
		Tags:                   tags,
		Separator:              "_",
		CachedReporter:         p,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{scope: scope, closer: closer, page: p}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Close reports the last values and stops the reporting. The page stays readable.
func (m *Metrics) Close() error {
	return eris.Wrap(m.closer.Close(), "cannot close metrics")
}

// WriteTo writes the page in the Prometheus text format.
func (m *Metrics) WriteTo(w io.Writer) (int64, error) {
	n, err := w.Write(m.page.render())
	return int64(n), err
}

// Handler serves the page.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", MetricsContentType)
		// A write error means that the client has disconnected.
		_, _ = m.WriteTo(w)
	})
}
