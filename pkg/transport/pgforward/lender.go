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

// maxDeadline bounds the time that a peer may request for a unit of work.
const maxDeadline = 10 * time.Minute

// BundleSource provides the active bundle. traffic.Engine implements it.
type BundleSource interface {
	// Bundle returns the active bundle, which is immutable.
	Bundle() *bundle.Bundle
}

// Lender runs units of work that peers forward on connections of this instance.
// The borrower's engine decides whether a unit may be sent and whether its answer
// may be given to the caller; the lender only manages the connection. It is safe
// for concurrent use.
type Lender struct {
	local         ConnectionPool
	configuration BundleSource
}

// NewLender returns a Lender. local must provide connections of this instance only,
// so that no unit is forwarded twice.
func NewLender(local ConnectionPool, configuration BundleSource) *Lender {
	return &Lender{local: local, configuration: configuration}
}

// Serve runs one unit of work that a peer forwards on stream. It owns stream and
// returns when the unit has ended.
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

// lend relays the unit between stream and backend and returns how backend may be
// reused.
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

// ticket returns the ticket for a unit that is run on a connection of this instance,
// with the group and upstream of this instance's active bundle.
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

// refuse tells the borrower that it gets no connection, and why.
func refuse(stream net.Conn, refused *verdict.Error) {
	if stream.SetWriteDeadline(time.Now().Add(releaseTimeout)) != nil {
		return
	}
	_, _ = protodelim.MarshalTo(stream, &meshpb.ForwardReady{
		Reason:       refused.Reason,
		RetryAfterMs: uint64(refused.RetryAfter.Milliseconds()),
	})
}
