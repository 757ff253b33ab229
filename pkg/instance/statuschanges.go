package instance

import (
	"context"
	"log/slog"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

// change is an event that follows from two statuses, one after the other.
type change struct {
	event events.Event
	attrs []slog.Attr
}

// observation is what the watch compares.
type observation struct {
	status     admin.Status
	bundle     *bundle.Bundle
	registered bool
}

// observe returns the present state for the watch.
func (i *Instance) observe() observation {
	snapshot := i.loop.Snapshot()
	return observation{status: i.Status(), bundle: snapshot.Bundle, registered: snapshot.View.Registered}
}

// logChanges logs what differs between two observations.
func (i *Instance) logChanges(ctx context.Context, before, after observation) {
	for _, found := range changes(before, after) {
		events.Log(ctx, i.logger, found.event, found.attrs...)
	}
}

// changes returns the events of what differs between two observations.
func changes(before, after observation) []change {
	var found []change
	if !before.registered && after.registered {
		found = append(found, change{event: events.InstanceRegistered})
	}
	if before.registered && !after.registered && after.status.State != admin.StateStopping {
		found = append(found, change{event: events.RegistrationLost})
	}
	for _, group := range after.status.Groups {
		earlier, known := groupNamed(before.status, group.ID)
		if !known {
			continue
		}
		limit := maxAge(after.bundle, group.ID)
		found = append(found, groupChanges(earlier, group, limit)...)
	}
	return found
}

func groupNamed(status admin.Status, id model.GroupID) (admin.GroupStatus, bool) {
	for _, group := range status.Groups {
		if group.ID == id {
			return group, true
		}
	}
	return admin.GroupStatus{}, false
}

// maxAge returns the largest age that a route of the group accepts; zero when
// none accepts a stated age.
func maxAge(current *bundle.Bundle, group model.GroupID) time.Duration {
	var largest time.Duration
	for i := range current.Routes {
		if current.Routes[i].Group == group {
			largest = max(largest, current.Routes[i].MaxAge)
		}
	}
	return largest
}

func groupChanges(before, after admin.GroupStatus, limit time.Duration) []change {
	var found []change
	if hasReplica(before) && !hasReplica(after) {
		found = append(found, change{events.NoReplica, []slog.Attr{slog.String("group", string(after.ID))}})
	}
	for _, upstream := range after.Upstreams {
		for _, earlier := range before.Upstreams {
			if earlier.ID == upstream.ID {
				found = append(found, upstreamChanges(after.ID, earlier, upstream, limit)...)
			}
		}
	}
	return found
}

func hasReplica(group admin.GroupStatus) bool {
	for _, upstream := range group.Upstreams {
		if upstream.Role == admin.RoleReplica && upstream.Reachable && !upstream.Leaving {
			return true
		}
	}
	return false
}

func upstreamChanges(group model.GroupID, before, after admin.UpstreamStatus, limit time.Duration) []change {
	var found []change
	attrs := []slog.Attr{slog.String("group", string(group)), slog.String("upstream", string(after.ID))}
	add := func(event events.Event, more ...slog.Attr) {
		found = append(found, change{event, append(more, attrs...)})
	}
	if before.Grant != after.Grant {
		add(events.GrantChanged, slog.Int("from", before.Grant), slog.Int("to", after.Grant))
	}
	if !before.Leaving && after.Leaving {
		add(events.UpstreamLeaving)
	}
	if after.Leaving && before.Open > 0 && after.Open == 0 {
		add(events.UpstreamDrained)
	}
	if after.Role != admin.RoleReplica || before.Role != admin.RoleReplica || limit == 0 {
		return found
	}
	switch wasFresh, isFresh := isWithin(before, limit), isWithin(after, limit); {
	case wasFresh && !isFresh:
		add(events.ReplicaStale, slog.Duration("limit", limit))
	case !wasFresh && isFresh:
		add(events.ReplicaFresh, slog.Duration("limit", limit))
	}
	return found
}

// isWithin reports whether a replica's lag is provably within limit.
func isWithin(upstream admin.UpstreamStatus, limit time.Duration) bool {
	return upstream.LagSeconds != nil && *upstream.LagSeconds <= limit.Seconds()
}
