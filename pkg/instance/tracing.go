package instance

import (
	"context"

	"gypsumdock/pkg/coordination/sessions"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

// spans adapts the tracer to the interface of the callers' server.
type spans struct{ tracer *telemetry.Tracer }

// Join returns ctx with the caller's span, given by a W3C traceparent, as
// parent.
func (s spans) Join(ctx context.Context, traceparent string) context.Context {
	return s.tracer.Join(ctx, traceparent)
}

// Start starts a span. The returned function ends it.
func (s spans) Start(ctx context.Context, name string) (context.Context, func()) {
	ctx, span := s.tracer.StartSpan(ctx, name)
	return ctx, func() { span.End(nil) }
}

// tracedPeers traces the calls to other instances that store or read session
// marks.
type tracedPeers struct {
	sessions.Peers
	tracer *telemetry.Tracer
}

// StoreMark calls the StoreMark of the peers within a span.
func (p tracedPeers) StoreMark(
	ctx context.Context, home marks.Target, key marks.Key, mark model.Mark,
) (marks.StoreStatus, error) {
	ctx, span := p.tracer.StartSpan(ctx, "mesh.store_mark")
	status, err := p.Peers.StoreMark(ctx, home, key, mark)
	span.End(err)
	return status, err
}

// AskMark calls the AskMark of the peers within a span.
func (p tracedPeers) AskMark(ctx context.Context, home marks.Target, key marks.Key) (marks.Answer, error) {
	ctx, span := p.tracer.StartSpan(ctx, "mesh.ask_mark")
	answer, err := p.Peers.AskMark(ctx, home, key)
	span.End(err)
	return answer, err
}
