package textback

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
)

// idleProbeTimeout bounds the wait for an answer on a connection of the pool,
// which may have gone silent while the upstream serves new ones.
const idleProbeTimeout = 100 * time.Millisecond

// Prober asks upstreams for their state: on an idle connection if there is one,
// as an upstream whose connections are all taken refuses a new one, and on a
// new one if that gave no answer. That one is kept for the next question and for
// work, where this instance holds connections.
type Prober struct{ pools *Pools }

var _ region.Upstreams = (*Prober)(nil)

// NewProber returns a prober that opens its connections as the pools do.
func NewProber(pools *Pools) *Prober { return &Prober{pools: pools} }

// IsTooManyConnections reports whether an upstream refused one more connection.
func IsTooManyConnections(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == statement.TooManyConnections
}

var (
	// errNoStatus means that an upstream gave no readable status.
	errNoStatus = errors.New("no status")
	// errNoIdle means that no connection to the upstream is idle.
	errNoIdle = errors.New("no idle connection")
)

// Probe asks the upstream for its state.
func (p *Prober) Probe(ctx context.Context, upstream catalog.Upstream) (region.Sample, error) {
	if upstream.Address == "" {
		return region.Sample{}, errNoUpstream
	}
	if sample, err := p.probeIdle(ctx, upstream); err == nil || errors.Is(err, region.ErrBusy) {
		return sample, err
	}
	conn, err := p.pools.Dial(ctx, upstream)
	if IsTooManyConnections(err) {
		return region.Sample{}, region.ErrTooManyConnections
	}
	if err != nil {
		return region.Sample{}, err
	}
	sample, err := conn.status(deadlineOf(ctx, dialTimeout))
	if err != nil || !p.pools.adopt(conn) {
		conn.close()
	}
	return sample, err
}

// probeIdle asks on an idle connection. It returns errNoIdle if there is none.
func (p *Prober) probeIdle(ctx context.Context, upstream catalog.Upstream) (region.Sample, error) {
	conn := p.pools.lendIdle(upstream)
	if conn == nil {
		return region.Sample{}, errNoIdle
	}
	sample, err := conn.status(deadlineOf(ctx, idleProbeTimeout))
	p.pools.Put(conn, err == nil || errors.Is(err, region.ErrBusy))
	return sample, err
}

// deadlineOf returns the deadline of a call that takes no longer than limit.
func deadlineOf(ctx context.Context, limit time.Duration) time.Time {
	deadline := time.Now().Add(limit)
	if end, bounded := ctx.Deadline(); bounded && end.Before(deadline) {
		return end
	}
	return deadline
}

// status asks the upstream for its state. It returns region.ErrBusy if no slot
// was free for the question.
func (c *Conn) status(deadline time.Time) (region.Sample, error) {
	answer, err := c.Exchange(c.codec.AppendOrder(nil, statement.AskStatus, 0), deadline)
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
