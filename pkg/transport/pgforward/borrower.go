package pgforward

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"google.golang.org/protobuf/encoding/protodelim"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/verdict"
)

// Bounds on messages from a peer.
const (
	maxReadyBytes   = 4 << 10
	maxMessageBytes = 64 << 20
)

// Node opens streams to peers. mesh.Node implements it.
type Node interface {
	// Forward opens a stream for a unit of work. The caller owns it.
	Forward(to model.InstanceID, open *meshpb.ForwardOpen) (net.Conn, error)
}

// ConnectionPool provides connections of this instance. pgback.Pools implements
// it.
type ConnectionPool interface {
	// Acquire returns a connection for the ticket. The outcome of an error is
	// verdict.NotRun.
	Acquire(ctx context.Context, t *traffic.Ticket) (pgback.Backend, *verdict.Error)
}

// Borrower provides connections of this instance or, where a ticket names a peer,
// of that peer. It is safe for concurrent use.
type Borrower struct {
	local ConnectionPool
	node  Node
	// inject returns the trace context of ctx as a traceparent.
	inject func(ctx context.Context) string
}

// NewBorrower returns a Borrower. inject returns the trace context of ctx as a
// traceparent; it may be nil.
func NewBorrower(local ConnectionPool, node Node, inject func(ctx context.Context) string) *Borrower {
	if inject == nil {
		inject = func(context.Context) string { return "" }
	}
	return &Borrower{local: local, node: node, inject: inject}
}

// Acquire returns a connection to the ticket's upstream, from the peer ForwardTo if
// the ticket names one. The outcome of an error is always verdict.NotRun.
func (b *Borrower) Acquire(ctx context.Context, t *traffic.Ticket) (pgback.Backend, *verdict.Error) {
	if t.ForwardTo == "" {
		return b.local.Acquire(ctx, t)
	}
	stream, err := b.node.Forward(t.ForwardTo, b.open(ctx, t))
	if err != nil {
		return nil, peerLost(err)
	}
	backend, refused := receiveReady(ctx, stream, t.Deadline)
	if refused != nil {
		_ = stream.Close()
		return nil, refused
	}
	return backend, nil
}

// open returns the message that requests a connection from a peer.
func (b *Borrower) open(ctx context.Context, t *traffic.Ticket) *meshpb.ForwardOpen {
	return &meshpb.ForwardOpen{
		Group:       string(t.Group.ID),
		Upstream:    string(t.Upstream.ID),
		Generation:  uint64(t.Generation),
		Caller:      string(t.Statement.Caller),
		Traceparent: b.inject(ctx),
		DeadlineMs:  uint64(max(time.Until(t.Deadline), 0).Milliseconds()),
		ReadOnly:    !t.Primary,
	}
}

// peerLost returns the error for a peer that cannot be reached.
func peerLost(err error) *verdict.Error {
	return verdict.New(verdict.PeerLost, verdict.NotRun, "the instance that holds a connection can't be reached").WithCause(err)
}

// receiveReady waits for the lender's answer, until the deadline or the end of
// ctx.
func receiveReady(ctx context.Context, stream net.Conn, deadline time.Time) (*remote, *verdict.Error) {
	if err := stream.SetDeadline(deadline); err != nil {
		return nil, peerLost(err)
	}
	release := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer release()
	reader := bufio.NewReader(stream)
	ready := &meshpb.ForwardReady{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxReadyBytes}).UnmarshalFrom(reader, ready); err != nil {
		return nil, peerLost(err)
	}
	if !ready.GetAccepted() {
		wait := time.Duration(ready.GetRetryAfterMs()) * time.Millisecond
		return nil, verdict.New(verdict.Overloaded, verdict.NotRun, ready.GetReason()).WithRetryAfter(wait)
	}
	frontend := pgproto3.NewFrontend(reader, nil)
	frontend.SetMaxBodyLen(maxMessageBytes)
	return &remote{stream: stream, frontend: frontend, prepared: make(map[string]struct{})}, nil
}
