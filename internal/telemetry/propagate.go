package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const traceparentKey = "traceparent"

// w3c propagates the trace context only. Baggage of callers is not propagated,
// because it is unvalidated text.
var w3c = propagation.TraceContext{}

// InjectHeader writes the trace context of ctx into HTTP headers.
func InjectHeader(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// ExtractHeader returns ctx with the trace context of HTTP headers. Invalid
// headers leave ctx as it is.
func ExtractHeader(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}

// Traceparent returns the W3C traceparent of ctx, or "" without a valid span.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	w3c.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// WithTraceparent returns ctx with the trace context of a W3C traceparent. An
// invalid one leaves ctx as it is.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	return w3c.Extract(ctx, propagation.MapCarrier{traceparentKey: traceparent})
}

// TraceID returns the trace id of ctx in hex, or "" without a valid span.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
