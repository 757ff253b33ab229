package telemetry

import (
	"context"
	"io"
	"os"

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

// Caller starts the span of a caller's unit of work. traceparent is the
// caller's own context, or empty; see Traceparent.
func (t *Tracer) Caller(ctx context.Context, traceparent, caller, group string) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	return t.start(withRemote(ctx, traceparent), "caller", trace.SpanKindServer,
		attribute.String("db.user", caller),
		attribute.String("gypsumdock.group", group),
	)
}

// Mesh starts the span of a call to a peer.
func (t *Tracer) Mesh(ctx context.Context, peer string) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	return t.start(ctx, "mesh", trace.SpanKindClient, attribute.String("gypsumdock.peer", peer))
}

// Forwarded starts the span of a unit of work that a peer forwarded.
// traceparent comes with the call; see Inject.
func (t *Tracer) Forwarded(ctx context.Context, traceparent, peer string) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	return t.start(withRemote(ctx, traceparent), "mesh", trace.SpanKindServer, attribute.String("gypsumdock.peer", peer))
}

// Upstream starts the span of a unit of work on an upstream.
func (t *Tracer) Upstream(ctx context.Context, upstream string) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	return t.start(ctx, "upstream", trace.SpanKindClient, attribute.String("gypsumdock.upstream", upstream))
}

// Hop starts the span of a hop within a unit of work.
func (t *Tracer) Hop(ctx context.Context, name string) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	return t.start(ctx, name, trace.SpanKindInternal)
}

// Join returns ctx with the remote span of a traceparent as parent.
func (t *Tracer) Join(ctx context.Context, traceparent string) context.Context {
	if t == nil {
		return ctx
	}
	return withRemote(ctx, traceparent)
}

func (t *Tracer) start(ctx context.Context, name string, kind trace.SpanKind, attributes ...attribute.KeyValue) (context.Context, Span) {
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attributes...))
	return ctx, Span{span: span}
}

// Span is a hop of a unit of work. The zero Span does nothing.
type Span struct{ span trace.Span }

// End ends the span with the outcome of the unit; err is nil for a success.
func (s Span) End(outcome string, err error) {
	if s.span == nil {
		return
	}
	s.span.SetAttributes(attribute.String("gypsumdock.outcome", outcome))
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}
