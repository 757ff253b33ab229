package instance

import (
	"context"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
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

// TerminateConnections ends the connections that an instance has to the upstream, and
// returns how many there still are.
func (u upstreams) TerminateConnections(
	ctx context.Context, group *bundle.Group, upstream *bundle.Upstream, of model.InstanceID,
) (int, error) {
	return u.prober.TerminateConnections(ctx, group, upstream, applicationOf(of))
}

// applicationOf returns the name that an instance gives to upstreams.
func applicationOf(id model.InstanceID) string { return "gypsumdock/" + string(id) }
