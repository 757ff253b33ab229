package instance

import (
	"context"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgprobe"
)

// upstreams adapts a prober to the interface of the control loop.
type upstreams struct{ prober *pgprobe.Prober }

// Probe queries an upstream for its state.
func (u upstreams) Probe(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (control.Sample, error) {
	sample, err := u.prober.Probe(ctx, group, upstream)
	return control.Sample(sample), err
}

// Promote promotes an upstream to primary.
func (u upstreams) Promote(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (control.Sample, error) {
	sample, err := u.prober.Promote(ctx, group, upstream)
	return control.Sample(sample), err
}

// TerminateConnections terminates the connections of an instance to the
// upstream and returns the number of those that are still open.
func (u upstreams) TerminateConnections(
	ctx context.Context, group *bundle.Group, upstream *bundle.Upstream, of model.InstanceID,
) (int, error) {
	return u.prober.TerminateConnections(ctx, group, upstream, applicationOf(of))
}

// applicationOf returns the PostgreSQL application name by which upstreams know
// the connections of an instance.
func applicationOf(id model.InstanceID) string { return "gypsumdock/" + string(id) }
