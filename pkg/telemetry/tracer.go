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

// Tracer creates a span for each hop of a unit of work. A nil Tracer creates none
// and does not allocate. It is safe for concurrent use.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// NewTracer returns a tracer with the exporter of the settings, or nil if there
// is none. instance is the ID of the instance in every span.
func NewTracer(ctx context.Context, traces settings.Traces, instance string) (*Tracer, error) {
	exporter, err := newExporter(ctx, traces, os.Stderr)
	if err != nil || exporter == nil {
		return nil, err
	}
	return newTracer(traces.SampleRatio, instance, sdktrace.WithBatcher(exporter)), nil
}

// newTracer returns a tracer that samples the given ratio of the traces for which
// the caller has not decided.
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

// newExporter returns the exporter that the settings select, or nil for none.
func newExporter(ctx context.Context, traces settings.Traces, stderr io.Writer) (sdktrace.SpanExporter, error) {
	switch traces.Exporter {
	case settings.TracesOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(traces.Endpoint))
		if err != nil {
			return nil, errors.Wrap(err, "create trace exporter")
		}
		return exporter, nil
	case settings.TracesStderr:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(stderr))
		if err != nil {
			return nil, errors.Wrap(err, "create trace exporter")
		}
		return exporter, nil
	default:
		return nil, nil
	}
}

// Shutdown exports the spans that are not yet exported, and stops the tracer.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// StartSpan starts the span of a hop of a unit of work. name consists of one of the
// hops below, a dot and the operation.
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

// kindOf returns the span kind of a hop: server for a call that the instance
// serves, client for one that it makes.
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

// Join returns ctx with the remote span of a W3C traceparent as parent. A
// malformed traceparent is ignored.
func (t *Tracer) Join(ctx context.Context, traceparent string) context.Context {
	if t == nil {
		return ctx
	}
	return withRemote(ctx, traceparent)
}

// Span is a hop of a unit of work. The zero Span does nothing.
type Span struct{ span trace.Span }

// End ends the span. A non-nil err marks it as failed.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}
