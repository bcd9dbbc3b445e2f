package telemetry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// Guards against a router that, without an OTLP endpoint, breaks the trace of its
// caller or creates spans without a trace id.
func TestTraceIDsWithoutExport(t *testing.T) {
	tracing, err := NewTracing(t.Context(), TracingOptions{VM: "r-1"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, span := tracing.Start(t.Context(), "request")
	defer span.End()
	if len(TraceID(ctx)) != 32 || Traceparent(ctx) == "" {
		t.Fatalf("trace id %q, want 32 characters; traceparent %q, want one", TraceID(ctx), Traceparent(ctx))
	}
	header := http.Header{}
	InjectHeader(ctx, header)
	for _, remote := range []context.Context{
		ExtractHeader(t.Context(), header), WithTraceparent(t.Context(), Traceparent(ctx)),
	} {
		next, nextSpan := tracing.Start(remote, "relay")
		nextSpan.End()
		if TraceID(next) != TraceID(ctx) {
			t.Errorf("trace id %s became %s, want the same", TraceID(ctx), TraceID(next))
		}
	}
	if err := tracing.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a router that, without an OTLP endpoint, clears the sampled flag
// and so turns off the export of the servers behind it.
func TestSampledFlagIsKept(t *testing.T) {
	tracing, err := NewTracing(t.Context(), TracingOptions{})
	if err != nil {
		t.Fatal(err)
	}
	caller := WithTraceparent(t.Context(), "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	ctx, span := tracing.Start(caller, "request")
	defer span.End()
	if got := Traceparent(ctx); !strings.HasPrefix(got, "00-0af7651916cd43dd8448eb211c80319c-") || !strings.HasSuffix(got, "-01") {
		t.Fatalf("traceparent %s, want the caller's trace id and the sampled flag", got)
	}
}

// Guards against propagating an invalid traceparent of a caller.
func TestInvalidTraceparentIsDropped(t *testing.T) {
	for _, traceparent := range []string{"", "00-x", "00-00000000000000000000000000000000-0000000000000000-01"} {
		ctx := WithTraceparent(t.Context(), traceparent)
		if TraceID(ctx) != "" || Traceparent(ctx) != "" {
			t.Errorf("traceparent %q leads to trace id %q, want none", traceparent, TraceID(ctx))
		}
	}
}

// Guards against spans that do not reach the collector at the OTLP path.
func TestExport(t *testing.T) {
	received := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- r.URL.Path + " " + string(body)
	}))
	defer collector.Close()
	tracing, err := NewTracing(t.Context(), TracingOptions{VM: "r-1", OTLPEndpoint: collector.URL, SampleRatio: 1})
	if err != nil {
		t.Fatal(err)
	}
	_, span := tracing.Start(t.Context(), "exported-span")
	span.End()
	if err := tracing.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := <-received; !strings.HasPrefix(got, "/v1/traces ") || !strings.Contains(got, "exported-span") {
		t.Fatalf("collector received %q, want the span at /v1/traces", got)
	}
}

// Guards against a recorder that loses spans, failures or their trace, and against
// attributes that are not redacted or not shortened.
func TestRecorder(t *testing.T) {
	tracing, recorder := NewRecorder()
	ctx, parent := tracing.Start(t.Context(), "parent")
	_, child := tracing.Start(ctx, "child")
	child.SetAttributes(Attr("x-placement", "t0p"), Attr("path", strings.Repeat("a", 2*maxAttributeBytes)))
	Fail(child, errors.New("engine is unavailable"))
	child.End()
	parent.End()
	if len(recorder.Trace(TraceID(ctx))) != 2 || len(recorder.SpansByName("child")) != 1 {
		t.Fatalf("recorded %d spans, want 2 of the trace and one named child", len(recorder.Spans()))
	}
	got := recorder.SpansByName("child")[0]
	if got.Status().Description != "engine is unavailable" || got.Attributes()[0].Value.AsString() != Redacted {
		t.Fatalf("got status %v and attributes %v, want the failure and a redacted placement", got.Status(), got.Attributes())
	}
	if n := len(got.Attributes()[1].Value.AsString()); n != maxAttributeBytes {
		t.Fatalf("attribute has %d bytes, want the maximum", n)
	}
}

// Guards against secrets in logs and traces, and against redaction of values that
// are not secret.
func TestRedact(t *testing.T) {
	cases := []struct{ name, value, want string }{
		{"Authorization", "Bearer abc", Redacted},
		{"Set-Cookie", "bbw_placement=x", Redacted},
		{"Idempotency-Key", "k", Redacted},
		{"error", `refused "Bearer a.b-c" by engine`, `refused "Bearer [redacted]" by engine`},
		{"X-Workspace", "disputes", "disputes"},
		{"cached_tokens", "1200", "1200"},
		{"token", "", ""},
	}
	for _, c := range cases {
		if got := Redact(c.name, c.value); got != c.want {
			t.Errorf("%s: %q became %q, want %q", c.name, c.value, got, c.want)
		}
	}
	header := http.Header{"Cookie": {"a=b"}, "X-Priority": {"lookup"}}
	if got := RedactHeader(header); got.Get("Cookie") != Redacted || got.Get("X-Priority") != "lookup" || header.Get("Cookie") != "a=b" {
		t.Errorf("got headers %v, want only the cookie redacted and the original unchanged", got)
	}
}

// Guards against a page that a Prometheus scraper cannot read: wrong names,
// labels that are not escaped, buckets that are not cumulative.
func TestMetricsPage(t *testing.T) {
	m := NewMetrics(map[string]string{"vm": "r-1"}, 0)
	scope := m.Scope().SubScope("entry")
	scope.Tagged(map[string]string{"code": "a\"b\n\\", "api_key": "s3cret"}).Counter("requests").Inc(2)
	scope.Counter("requests").Inc(3)
	scope.Gauge("in-flight").Update(1.5)
	scope.Timer("hop").Record(1 * time.Millisecond)
	scope.Timer("hop").Record(10 * time.Minute)
	values := scope.Histogram("size", tally.ValueBuckets{1, 10})
	values.RecordValue(0.5)
	values.RecordValue(5)
	values.RecordValue(500)
	scope.Histogram("wait", tally.DurationBuckets{time.Second}).RecordDuration(time.Millisecond)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	if got := response.Header().Get("Content-Type"); got != MetricsContentType {
		t.Errorf("content type %q", got)
	}
	for _, want := range []string{
		"# TYPE bluebellwell_entry_requests_total counter",
		`bluebellwell_entry_requests_total{api_key="[redacted]",code="a\"b\n\\",vm="r-1"} 2`,
		`bluebellwell_entry_requests_total{vm="r-1"} 3`,
		`bluebellwell_entry_in_flight{vm="r-1"} 1.5`,
		`bluebellwell_entry_hop_seconds_bucket{vm="r-1",le="0.0005"} 0`,
		`bluebellwell_entry_hop_seconds_bucket{vm="r-1",le="0.001"} 1`,
		`bluebellwell_entry_hop_seconds_bucket{vm="r-1",le="300"} 1`,
		`bluebellwell_entry_hop_seconds_bucket{vm="r-1",le="+Inf"} 2`,
		`bluebellwell_entry_hop_seconds_sum{vm="r-1"} 600.001`,
		`bluebellwell_entry_hop_seconds_count{vm="r-1"} 2`,
		`bluebellwell_entry_size_bucket{vm="r-1",le="1"} 1`,
		`bluebellwell_entry_size_bucket{vm="r-1",le="10"} 2`,
		`bluebellwell_entry_size_bucket{vm="r-1",le="+Inf"} 3`,
		`bluebellwell_entry_size_count{vm="r-1"} 3`,
		`bluebellwell_entry_wait_seconds_bucket{vm="r-1",le="1"} 1`,
	} {
		if !strings.Contains(response.Body.String(), want+"\n") {
			t.Errorf("page has no line %s", want)
		}
	}
	if t.Failed() {
		t.Log(response.Body.String())
	}
}

// Guards against counters that come after long histograms, where monitoring that keeps the start of
// a page misses them.
func TestHistogramsComeLastOnThePage(t *testing.T) {
	m := NewMetrics(nil, 0)
	m.Scope().Histogram("first", tally.ValueBuckets{1, 10}).RecordValue(5)
	m.Scope().Counter("last").Inc(1)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	var page strings.Builder
	if _, err := m.WriteTo(&page); err != nil {
		t.Fatal(err)
	}
	if counter, histogram := strings.Index(page.String(), "_last_total"), strings.Index(page.String(), "_first_bucket"); counter > histogram {
		t.Errorf("counter at byte %d, histogram at %d:\n%s", counter, histogram, page.String())
	}
}

// Guards against updates that are lost while the page is rendered. Run with the
// race detector.
func TestPageUnderConcurrentUse(t *testing.T) {
	const workers, rounds = 4, 200
	p := newPage()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range rounds {
				p.AllocateCounter("n", nil).ReportCount(1)
				p.AllocateTimer("t", nil).ReportTimer(time.Second)
				p.AllocateHistogram("h", nil, tally.ValueBuckets{1}).ValueBucket(0, 1).ReportSamples(1)
				p.render()
			}
		})
	}
	wg.Wait()
	for _, want := range []string{"n_total 800\n", "t_seconds_sum 800\n", "h_count 800\n"} {
		if page := p.render(); !bytes.Contains(page, []byte(want)) {
			t.Errorf("page has no %q:\n%s", want, page)
		}
	}
}

// Guards against two metrics of the same name and different types, of which the
// page would show only one.
func TestSameNameOfTwoTypes(t *testing.T) {
	p := newPage()
	p.AllocateGauge("load", nil).ReportGauge(2)
	p.AllocateHistogram("load", nil, tally.ValueBuckets{1}).ValueBucket(0, 1).ReportSamples(4)
	page := p.render()
	for _, want := range []string{"load 2\n", "load_histogram_count 4\n"} {
		if !bytes.Contains(page, []byte(want)) {
			t.Errorf("page has no %q:\n%s", want, page)
		}
	}
}
