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

// change is an event derived from two consecutive observations.
type change struct {
	event events.Event
	attrs []slog.Attr
}

// observation is the state that is compared to find changes.
type observation struct {
	status     admin.Status
	bundle     *bundle.Bundle
	registered bool
}

// observe returns the current state.
func (i *Instance) observe() observation {
	snapshot := i.loop.Snapshot()
	return observation{status: i.Status(), bundle: snapshot.Bundle, registered: snapshot.View.Registered}
}

// logChanges logs the changes between two observations.
func (i *Instance) logChanges(ctx context.Context, before, after observation) {
	for _, found := range changes(before, after) {
		events.Log(ctx, i.logger, found.event, found.attrs...)
	}
}

// changes returns the events for the differences between two observations.
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

// maxAge returns the largest maximum age of the group's routes; zero if none has
// one.
func maxAge(current *bundle.Bundle, group model.GroupID) time.Duration {
	var largest time.Duration
	for i := range current.Routes {
		if current.Routes[i].Group == group {
			largest = max(largest, current.Routes[i].MaxAge)
		}
	}
	return largest
}

// groupChanges returns the events for a group. limit is the largest maximum age
// of its routes.
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

// hasReplica reports whether a replica of the group can serve reads.
func hasReplica(group admin.GroupStatus) bool {
	for _, upstream := range group.Upstreams {
		if upstream.Role == admin.RoleReplica && upstream.Reachable && !upstream.Leaving {
			return true
		}
	}
	return false
}

// upstreamChanges returns the events for an upstream of a group.
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

// isWithin reports whether a replica's lag is known to be at most limit.
func isWithin(upstream admin.UpstreamStatus, limit time.Duration) bool {
	return upstream.LagSeconds != nil && *upstream.LagSeconds <= limit.Seconds()
}
