package pgforward

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/verdict"
)

// maxDeadline bounds the time that a peer may ask for.
const maxDeadline = 10 * time.Minute

// BundleSource gives the bundle in force. traffic.Engine implements it.
type BundleSource interface {
	// Bundle returns the configuration in force, which is immutable.
	Bundle() *bundle.Bundle
}

// Lender serves units of work that peers forward, on connections of this
// instance. The borrower's engine decides whether a unit may be sent, and its
// answer given; the lender decides on nothing but the connection. It is safe
// for concurrent use.
type Lender struct {
	local         ConnectionPool
	configuration BundleSource
}

// NewLender returns a Lender. local must lend connections of this instance
// only, so that no unit is forwarded twice.
func NewLender(local ConnectionPool, configuration BundleSource) *Lender {
	return &Lender{local: local, configuration: configuration}
}

// Serve serves one unit of work that the peer from forwards. It owns stream
// and returns when the unit has ended.
func (l *Lender) Serve(ctx context.Context, _ model.InstanceID, open *meshpb.ForwardOpen, stream net.Conn) {
	defer stream.Close()
	t, refused := l.ticket(open)
	if refused != nil {
		refuse(stream, refused)
		return
	}
	backend, refused := l.local.Acquire(ctx, t)
	if refused != nil {
		refuse(stream, refused)
		return
	}
	backend.Release(lend(ctx, t, backend, stream))
}

// lend carries the unit over backend and returns what may happen to it next.
func lend(ctx context.Context, t *traffic.Ticket, backend pgback.Backend, stream net.Conn) pgback.Reuse {
	if backend.SetDeadline(t.Deadline) != nil || stream.SetDeadline(t.Deadline) != nil {
		return pgback.ReuseNever
	}
	if _, err := protodelim.MarshalTo(stream, &meshpb.ForwardReady{Accepted: true}); err != nil {
		return pgback.ReuseNever
	}
	release := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer release()
	return newLoan(backend, stream).run()
}

// ticket returns the ticket for a unit that is served here and nowhere else,
// whatever the peer's configuration says.
func (l *Lender) ticket(open *meshpb.ForwardOpen) (*traffic.Ticket, *verdict.Error) {
	group, found := l.configuration.Bundle().Group(model.GroupID(open.GetGroup()))
	if !found {
		return nil, verdict.New(verdict.NoUpstream, verdict.NotRun, "the peer does not know the group")
	}
	upstream, found := group.Upstream(model.UpstreamID(open.GetUpstream()))
	if !found {
		return nil, verdict.New(verdict.NoUpstream, verdict.NotRun, "the peer does not know the upstream")
	}
	left := min(time.Duration(open.GetDeadlineMs())*time.Millisecond, maxDeadline)
	t := &traffic.Ticket{
		Statement: traffic.Statement{
			Caller:   model.CallerName(open.GetCaller()),
			ReadOnly: open.GetReadOnly(),
			Arrived:  time.Now(),
		},
		Group:      group,
		Route:      &bundle.Route{Group: group.ID, ReadOnly: open.GetReadOnly()},
		Upstream:   upstream,
		Generation: model.Generation(open.GetGeneration()),
		Primary:    !open.GetReadOnly(),
		Deadline:   time.Now().Add(left),
	}
	return t, nil
}

// refuse tells the borrower that it has no connection.
func refuse(stream net.Conn, refused *verdict.Error) {
	if stream.SetWriteDeadline(time.Now().Add(releaseTimeout)) != nil {
		return
	}
	_, _ = protodelim.MarshalTo(stream, &meshpb.ForwardReady{
		Reason:       refused.Reason,
		RetryAfterMs: uint64(refused.RetryAfter.Milliseconds()),
	})
}
