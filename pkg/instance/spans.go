package instance

import (
	"context"

	"gypsumdock/pkg/telemetry"
)

// spans starts the spans of the path of statements.
type spans struct{ tracer *telemetry.Tracer }

// Join returns ctx with the caller's span as parent.
func (s spans) Join(ctx context.Context, traceparent string) context.Context {
	return s.tracer.Join(ctx, traceparent)
}

// Start starts a span; end ends it.
func (s spans) Start(ctx context.Context, name string) (context.Context, func()) {
	ctx, span := s.tracer.Hop(ctx, name)
	return ctx, func() { span.End("", nil) }
}
