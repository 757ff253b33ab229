package instance

import (
	"context"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
	"gypsumdock/pkg/transport/pgback"
)

// Status returns the status that the admin listener shows. It implements
// admin.Source.
func (i *Instance) Status() admin.Status {
	snapshot := i.loop.Snapshot()
	home, ledger := i.sessions.Size()
	status := admin.Status{
		Instance:          i.self.ID,
		Region:            i.settings.Instance.Region,
		DataCentre:        i.self.DataCentre,
		State:             i.state(),
		Revision:          snapshot.Ref.Revision,
		Digest:            snapshot.Ref.Digest,
		TargetRevision:    snapshot.Ref.Revision,
		PlatformReachable: snapshot.View.PlatformReachable,
		CallerConnections: i.front.SessionCount(),
		InFlight:          i.engine.InFlight(),
		SessionMarks:      home.Marks + ledger.Marks,
		Peers:             i.peers(snapshot),
		Callers:           callersStatus(snapshot.Bundle.Callers, i.callerUsage),
	}
	if head := snapshot.View.Head; head != nil {
		status.TargetRevision = max(status.TargetRevision, head.Revision)
	}
	open := i.openConnections()
	for j := range snapshot.Bundle.Groups {
		status.Groups = append(status.Groups, i.group(snapshot, &snapshot.Bundle.Groups[j], open))
	}
	return status
}

// state returns where the instance is in its life cycle.
func (i *Instance) state() admin.State {
	switch {
	case i.stopping.isSet():
		return admin.StateStopping
	case i.isReady():
		return admin.StateReady
	default:
		return admin.StateStarting
	}
}

// openConnections returns the pool statistics of each upstream.
func (i *Instance) openConnections() map[model.UpstreamID]pgback.Stats {
	open := make(map[model.UpstreamID]pgback.Stats)
	for _, stats := range i.pools.Stats() {
		open[stats.Upstream] = stats
	}
	return open
}

// group returns the status of a group.
func (i *Instance) group(
	snapshot *control.Snapshot, group *bundle.Group, open map[model.UpstreamID]pgback.Stats,
) admin.GroupStatus {
	view, _ := snapshot.View.Group(group.ID)
	status := admin.GroupStatus{
		ID:          group.ID,
		Generation:  view.Generation,
		Primary:     view.Primary,
		Sealed:      view.Sealed,
		WritePermit: !view.Sealed && i.clock.Now() < view.PermitUntil,
	}
	for _, upstream := range group.Upstreams {
		status.Upstreams = append(status.Upstreams, i.upstream(snapshot, view, upstream, open[upstream.ID]))
	}
	return status
}

// upstream returns the status of an upstream of a group.
func (i *Instance) upstream(
	snapshot *control.Snapshot, view failover.GroupView, upstream bundle.Upstream, open pgback.Stats,
) admin.UpstreamStatus {
	status := admin.UpstreamStatus{
		ID:         upstream.ID,
		DataCentre: upstream.DataCentre,
		Role:       admin.RoleUnknown,
		Leaving:    upstream.Leaving,
		Grant:      snapshot.Connections[upstream.ID].Grant,
		Open:       open.Open,
	}
	if upstream.ID == view.Primary {
		status.Role = admin.RolePrimary
		status.Reachable = view.PrimaryReachable
		return status
	}
	for _, replica := range view.Replicas {
		if replica.ID == upstream.ID {
			status.Role = admin.RoleReplica
			status.Reachable = true
			status.LSN = replica.LSN.String()
		}
	}
	status.LagSeconds = i.lag(snapshot, view.ID, upstream.ID)
	return status
}

// lag returns the upper bound of a replica's lag in seconds, or nil if unknown.
func (i *Instance) lag(snapshot *control.Snapshot, group model.GroupID, id model.UpstreamID) *float64 {
	found, exists := snapshot.Routing.Group(group)
	if !exists {
		return nil
	}
	for _, upstream := range found.Upstreams {
		if upstream.ID == id && upstream.FreshKnown {
			seconds := (i.clock.Now() - upstream.FreshAt).Seconds()
			return &seconds
		}
	}
	return nil
}

// peers returns the other members of the region.
func (i *Instance) peers(snapshot *control.Snapshot) []admin.PeerStatus {
	var peers []admin.PeerStatus
	for _, member := range snapshot.View.Members {
		if member.Member.ID == i.self.ID {
			continue
		}
		peers = append(peers, admin.PeerStatus{
			ID:         member.Member.ID,
			DataCentre: member.Member.DataCentre,
			Address:    member.Member.Address,
			Admin:      snapshot.Peers[member.Member.ID].AdminAddress,
			Revision:   snapshot.Peers[member.Member.ID].Ref.Revision,
			Live:       member.State == members.Live,
		})
	}
	return peers
}

// Switch requests a change of a group's primary and does not wait for it.
func (i *Instance) Switch(_ context.Context, group model.GroupID, target model.UpstreamID) error {
	snapshot := i.loop.Snapshot()
	found, exists := snapshot.Bundle.Group(group)
	if !exists {
		return errors.Errorf("no group %q", group)
	}
	if _, exists := found.Upstream(target); !exists {
		return errors.Errorf("group %q has no upstream %q", group, target)
	}
	i.loop.Switch(group, target)
	return nil
}
