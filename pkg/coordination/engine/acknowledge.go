package engine

import (
	"context"

	"gypsumdock/pkg/coordination/sessions"
	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// MayAcknowledge returns nil once the answer to a write may go to the caller:
// the permit still holds, as many replicas as the route asks for have applied
// the write, and the session's mark is stored.
func (e *Engine) MayAcknowledge(ctx context.Context, t *traffic.Ticket, at model.LSN) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	if !e.holdsPermit(t.Group.ID, t.Generation) {
		return permitLapsed()
	}
	mark := model.Mark{Generation: t.Generation, LSN: at}
	if !e.waitReplicas(ctx, t, mark) {
		return verdict.New(verdict.DeadlineExceeded, verdict.MayHaveRun,
			"too few replicas applied the write within the deadline")
	}
	key := marksKey{Session: t.Statement.Session, Group: t.Group.ID}
	switch e.config.Sessions.Record(ctx, key, mark) {
	case sessions.NotStored:
		return verdict.New(verdict.MarkNotStored, verdict.MayHaveRun,
			"the write's position could not be stored within the deadline")
	case sessions.WriteLost:
		return verdict.New(verdict.WriteLost, verdict.MayHaveRun,
			"the write was lost when its primary was replaced")
	}
	if !e.holdsPermit(t.Group.ID, t.Generation) {
		return permitLapsed()
	}
	return nil
}

func permitLapsed() *verdict.Error {
	return verdict.New(verdict.PermitLapsed, verdict.MayHaveRun, "the permit lapsed before the answer")
}

// waitReplicas waits until the route's number of replicas have applied mark.
func (e *Engine) waitReplicas(ctx context.Context, t *traffic.Ticket, mark model.Mark) bool {
	wanted := t.Route.WaitReplicas
	if wanted == 0 {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replicas := others(t.Group, t.Upstream.ID)
	applied := make(chan bool, len(replicas))
	for _, replica := range replicas {
		go func() { applied <- e.watch(replica.ID).wait(ctx, e, t.Group, replica, mark) }()
	}
	for range replicas {
		if <-applied {
			wanted--
		}
		if wanted == 0 {
			return true
		}
	}
	return false
}

func others(group *bundle.Group, except model.UpstreamID) []*bundle.Upstream {
	var found []*bundle.Upstream
	for i := range group.Upstreams {
		if group.Upstreams[i].ID != except {
			found = append(found, &group.Upstreams[i])
		}
	}
	return found
}
