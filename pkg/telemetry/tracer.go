package telemetry

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"gypsumdock/pkg/settings"
)

const (
	tracerName  = "gypsumdock"
	serviceName = "gypsumdock"
)

// Tracer makes a span for each hop of a unit of work. A nil Tracer makes none
// and costs nothing. It is safe for concurrent use.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// NewTracer returns a tracer by the settings, or nil when traces are off.
// instance names the process in every span.
func NewTracer(ctx context.Context, traces settings.Traces, instance string) (*Tracer, error) {
	exporter, err := newExporter(ctx, traces, os.Stderr)
	if err != nil || exporter == nil {
		return nil, err
	}
	return newTracer(traces.SampleRatio, instance, sdktrace.WithBatcher(exporter)), nil
}

func newTracer(ratio float64, instance string, processor sdktrace.TracerProviderOption) *Tracer {
	attributes := resource.NewSchemaless(
		attribute.String("service.name", serviceName),
		attribute.String("service.instance.id", instance),
	)
	provider := sdktrace.NewTracerProvider(
		processor,
		sdktrace.WithResource(attributes),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer(tracerName)}
}

func newExporter(ctx context.Context, traces settings.Traces, stderr io.Writer) (sdktrace.SpanExporter, error) {
	switch traces.Exporter {
	case settings.TracesOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(traces.Endpoint))
		if err != nil {
			return nil, errors.Wrap(err, "trace exporter")
		}
		return exporter, nil
	case settings.TracesStderr:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(stderr))
		if err != nil {
			return nil, errors.Wrap(err, "trace exporter")
		}
		return exporter, nil
	default:
		return nil, nil
	}
}

// Shutdown exports the spans that wait and stops.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// StartSpan starts the span of a hop of a unit of work. name starts with one of the
// hops below and a dot.
func (t *Tracer) StartSpan(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(kindOf(name)), trace.WithAttributes(attributes...))
	return ctx, Span{span: span}
}

// The hops of a unit of work.
const (
	HopCaller   = "caller"
	HopMesh     = "mesh"
	HopUpstream = "upstream"
)

// kindOf returns whether the hop of a span serves a call or makes one.
func kindOf(name string) trace.SpanKind {
	hop, _, _ := strings.Cut(name, ".")
	switch hop {
	case HopCaller:
		return trace.SpanKindServer
	case HopMesh, HopUpstream:
		return trace.SpanKindClient
	default:
		return trace.SpanKindInternal
	}
}

// Join returns ctx with the remote span of a W3C traceparent as parent. One
// that is malformed is ignored.
func (t *Tracer) Join(ctx context.Context, traceparent string) context.Context {
	if t == nil {
		return ctx
	}
	return withRemote(ctx, traceparent)
}

// Span is a hop of a unit of work. The zero Span does nothing.
type Span struct{ span trace.Span }

// End ends the span; err is nil for a success.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}
