package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

const traceparentKey = "traceparent"

// Inject returns the trace context of ctx as a W3C traceparent, which Join
// takes, or "" outside a trace.
func (t *Tracer) Inject(ctx context.Context) string {
	if t == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// withRemote sets the caller's trace context.
func withRemote(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentKey: traceparent})
}
