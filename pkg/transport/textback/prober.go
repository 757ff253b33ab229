package textback

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
)

// Prober asks upstreams for their state, each time on a new connection, so
// that one which has gone silent says nothing of the upstream.
type Prober struct{ pools *Pools }

var _ region.Upstreams = (*Prober)(nil)

// NewProber returns a prober that opens its connections as the pools do.
func NewProber(pools *Pools) *Prober { return &Prober{pools: pools} }

// IsFull reports whether an upstream refused one more connection.
func IsFull(err error) bool {
	var refused *ErrRefused
	return errors.As(err, &refused) && refused.Reason == statement.TooManyConnections
}

// errNoStatus means that an upstream gave no readable status.
var errNoStatus = errors.New("no status")

// Probe asks the upstream for its state.
func (p *Prober) Probe(ctx context.Context, upstream catalog.Upstream) (region.Sample, error) {
	if upstream.Address == "" {
		return region.Sample{}, errNoUpstream
	}
	conn, err := p.pools.Dial(ctx, upstream)
	if IsFull(err) {
		return region.Sample{}, region.ErrBusy
	}
	if err != nil {
		return region.Sample{}, err
	}
	defer conn.close()
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(dialTimeout)
	}
	answer, err := conn.Exchange(conn.codec.AppendOrder(nil, statement.AskStatus, 0), deadline)
	if err != nil {
		return region.Sample{}, err
	}
	if answer.Reason == statement.Busy {
		return region.Sample{}, region.ErrBusy
	}
	if answer.Reason != statement.Succeeded || len(answer.Rows) == 0 {
		return region.Sample{}, errors.Wrap(errNoStatus, answer.Reason.String())
	}
	status, err := conn.codec.ParseStatus(answer.Rows[0])
	if err != nil {
		return region.Sample{}, err
	}
	return region.Sample{Primary: status.Primary, Term: status.Term, Received: status.Received.Number}, nil
}
