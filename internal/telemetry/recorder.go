package telemetry

import (
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Recorder keeps ended spans in memory, for tests. It is safe for concurrent use.
type Recorder struct {
	spans *tracetest.SpanRecorder
}

// NewRecorder returns a Tracing that records every span, and its recorder.
func NewRecorder() (*Tracing, *Recorder) {
	r := &Recorder{spans: tracetest.NewSpanRecorder()}
	t := newTracing(TracingOptions{}, sdktrace.WithSampler(sdktrace.AlwaysSample()), sdktrace.WithSpanProcessor(r.spans))
	return t, r
}

// Spans returns the ended spans in the order in which they ended.
func (r *Recorder) Spans() []sdktrace.ReadOnlySpan {
	return r.spans.Ended()
}

// Trace returns the ended spans of one trace, given by its id in hex.
func (r *Recorder) Trace(id string) []sdktrace.ReadOnlySpan {
	var out []sdktrace.ReadOnlySpan
	for _, s := range r.Spans() {
		if s.SpanContext().TraceID().String() == id {
			out = append(out, s)
		}
	}
	return out
}

// SpansByName returns the ended spans with a name.
func (r *Recorder) SpansByName(name string) []sdktrace.ReadOnlySpan {
	var out []sdktrace.ReadOnlySpan
	for _, s := range r.Spans() {
		if s.Name() == name {
			out = append(out, s)
		}
	}
	return out
}
