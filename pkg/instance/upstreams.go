package instance

import (
	"context"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/transport/pgprobe"
)

// upstreams lets the control state ask upstreams through a prober.
type upstreams struct{ prober *pgprobe.Prober }

// Probe asks an upstream for its state.
func (u upstreams) Probe(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (control.Sample, error) {
	sample, err := u.prober.Probe(ctx, group, upstream)
	return control.Sample(sample), err
}

// Promote makes an upstream a primary.
func (u upstreams) Promote(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (control.Sample, error) {
	sample, err := u.prober.Promote(ctx, group, upstream)
	return control.Sample(sample), err
}
