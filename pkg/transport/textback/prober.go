package textback

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
)

// idleProbeTimeout bounds the wait for an answer on an idle connection of the
// pool, which may be dead while the upstream accepts new ones.
const idleProbeTimeout = 100 * time.Millisecond

// Prober asks upstreams for their state. It uses an idle connection of the pool
// if there is one, as an upstream at its connection limit refuses a new one. If
// that gives no answer it opens a connection, and adds it to the pool if the
// pool has none, so that it serves later probes and statements.
type Prober struct{ pools *Pools }

var _ region.Upstreams = (*Prober)(nil)

// NewProber returns a prober that uses the connections of pools.
func NewProber(pools *Pools) *Prober { return &Prober{pools: pools} }

// IsTooManyConnections reports whether an upstream refused a connection because
// of its connection limit.
func IsTooManyConnections(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == statement.TooManyConnections
}

var (
	// errNoStatus means that the upstream did not answer with a status.
	errNoStatus = errors.New("the upstream gave no readable status")
	// errNoIdleConnection means that no connection to the upstream is idle.
	errNoIdleConnection = errors.New("no idle connection")
)

// Probe asks an upstream for its state.
func (p *Prober) Probe(ctx context.Context, upstream catalog.Upstream) (region.Sample, error) {
	if upstream.Address == "" {
		return region.Sample{}, errNoUpstream
	}
	if sample, err := p.probeIdle(ctx, upstream); err == nil || errors.Is(err, region.ErrBusy) {
		return sample, err
	}
	conn, err := p.pools.dial(ctx, upstream, "")
	if IsTooManyConnections(err) {
		return region.Sample{}, region.ErrTooManyConnections
	}
	if err != nil {
		return region.Sample{}, err
	}
	sample, err := conn.status(deadlineWithin(ctx, dialTimeout))
	if err != nil || !p.pools.addDialed(conn) {
		conn.close()
	}
	return sample, err
}

// probeIdle asks on an idle connection. It returns errNoIdleConnection if there
// is none.
func (p *Prober) probeIdle(ctx context.Context, upstream catalog.Upstream) (region.Sample, error) {
	conn := p.pools.borrowIdle(upstream)
	if conn == nil {
		return region.Sample{}, errNoIdleConnection
	}
	sample, err := conn.status(deadlineWithin(ctx, idleProbeTimeout))
	p.pools.Put(conn, err == nil || errors.Is(err, region.ErrBusy))
	return sample, err
}

// deadlineWithin returns the time after limit, or the deadline of ctx if that
// is sooner.
func deadlineWithin(ctx context.Context, limit time.Duration) time.Time {
	deadline := time.Now().Add(limit)
	if end, bounded := ctx.Deadline(); bounded && end.Before(deadline) {
		return end
	}
	return deadline
}

// status asks the upstream for its state. It returns region.ErrBusy if all
// statement slots of the upstream were taken.
func (c *Conn) status(deadline time.Time) (region.Sample, error) {
	answer, err := c.Exchange(c.codec.AppendCommand(nil, statement.CommandStatus, 0), deadline)
	if err != nil {
		return region.Sample{}, err
	}
	if answer.Reason == statement.Busy {
		return region.Sample{}, region.ErrBusy
	}
	if answer.Reason != statement.Succeeded || len(answer.Rows) == 0 {
		return region.Sample{}, errors.Wrap(errNoStatus, answer.Reason.String())
	}
	status, err := c.codec.ParseStatus(answer.Rows[0])
	if err != nil {
		return region.Sample{}, err
	}
	return region.Sample{Primary: status.Primary, Term: status.Term, ReceivedLSN: status.Received.LSN}, nil
}
