// Package telemetry sets up traces and metrics, and redacts secrets in both.
package telemetry

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// serviceName names the daemon in traces and is the instrumentation scope.
const serviceName = "bluebellwell"

const (
	otlpTracesPath = "/v1/traces"
	exportTimeout  = 5 * time.Second
	// exportQueueSpans bounds the memory of spans that are queued for a slow
	// collector. Further spans are dropped.
	exportQueueSpans = 2048
	// maxAttributeBytes bounds attribute values, since some come from callers.
	maxAttributeBytes = 256
)

// TracingOptions configure the traces of a daemon.
type TracingOptions struct {
	VM         string
	DataCentre string
	Region     string
	Version    string
	// OTLPEndpoint is the base URL of an OTLP/HTTP collector; empty means no export.
	OTLPEndpoint string
	// SampleRatio is the share (0 to 1) of traces that start here and are exported.
	SampleRatio float64
	// OnError, if set, receives export errors of the whole process.
	OnError func(error)
}

// Tracing creates spans. It is safe for concurrent use.
type Tracing struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// NewTracing sets up tracing. Without an OTLP endpoint spans still have valid
// ids and are propagated.
func NewTracing(ctx context.Context, o TracingOptions) (*Tracing, error) {
	if o.OnError != nil {
		otel.SetErrorHandler(otel.ErrorHandlerFunc(o.OnError))
	}
	if o.OTLPEndpoint == "" {
		// The caller's sampled flag is kept, so that the servers behind this router
		// still export their part of the trace.
		return newTracing(o, sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.NeverSample()))), nil
	}
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(strings.TrimRight(o.OTLPEndpoint, "/")+otlpTracesPath),
		otlptracehttp.WithTimeout(exportTimeout))
	if err != nil {
		return nil, eris.Wrap(err, "cannot set up trace export")
	}
	sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.SampleRatio))
	batcher := sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(exportQueueSpans))
	return newTracing(o, sdktrace.WithSampler(sampler), batcher), nil
}

func newTracing(o TracingOptions, extra ...sdktrace.TracerProviderOption) *Tracing {
	limits := sdktrace.NewSpanLimits()
	limits.AttributeValueLengthLimit = maxAttributeBytes
	options := append([]sdktrace.TracerProviderOption{
		sdktrace.WithResource(newResource(o)),
		sdktrace.WithRawSpanLimits(limits),
	}, extra...)
	provider := sdktrace.NewTracerProvider(options...)
	return &Tracing{provider: provider, tracer: provider.Tracer(serviceName)}
}

func newResource(o TracingOptions) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", serviceName),
		attribute.String("service.version", o.Version),
		attribute.String("service.instance.id", o.VM),
		attribute.String("data_centre", o.DataCentre),
		attribute.String("region", o.Region),
	)
}

// Tracer returns the tracer of the daemon.
func (t *Tracing) Tracer() trace.Tracer { return t.tracer }

// Start starts a span as a child of the span in ctx.
func (t *Tracing) Start(ctx context.Context, name string, o ...trace.SpanStartOption) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, o...)
}

// Shutdown exports the queued spans and stops the export.
func (t *Tracing) Shutdown(ctx context.Context) error {
	return eris.Wrap(t.provider.Shutdown(ctx), "cannot finish trace export")
}

// Fail marks a span as failed. The error text must not contain a secret.
func Fail(span trace.Span, err error) {
	span.RecordError(err)
	span.SetStatus(codes.Error, err.Error())
}
