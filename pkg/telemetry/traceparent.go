package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// traceparentKey is the key of the traceparent in the propagator's carrier.
const traceparentKey = "traceparent"

// Inject returns the trace context of ctx as a W3C traceparent for Join, or ""
// outside a trace.
func (t *Tracer) Inject(ctx context.Context) string {
	if t == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// withRemote returns ctx with the trace context of a W3C traceparent.
func withRemote(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentKey: traceparent})
}
