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
// the permit is still valid, as many replicas as the route requires have applied
// the write, and the session's mark is stored. The permit is checked again at the
// end, since it may have expired during the wait. at is the log position of the
// commit.
func (e *Engine) MayAcknowledge(ctx context.Context, t *traffic.Ticket, at model.LSN) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	if !e.holdsPermit(t.Group.ID, t.Generation) {
		return permitExpired()
	}
	mark := model.Mark{Generation: t.Generation, LSN: at}
	if !e.waitForReplicas(ctx, t, mark) {
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
		return permitExpired()
	}
	return nil
}

func permitExpired() *verdict.Error {
	return verdict.New(verdict.PermitLapsed, verdict.MayHaveRun, "the permit lapsed before the answer")
}

// waitForReplicas waits until as many replicas as the route requires have applied
// mark. It reports false if ctx ends first.
func (e *Engine) waitForReplicas(ctx context.Context, t *traffic.Ticket, mark model.Mark) bool {
	missing := t.Route.WaitReplicas
	if missing == 0 {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replicas := otherUpstreams(t.Group, t.Upstream.ID)
	applied := make(chan bool, len(replicas))
	for _, replica := range replicas {
		go func() { applied <- e.replicaWait(replica.ID).wait(ctx, e, t.Group, replica, mark) }()
	}
	for range replicas {
		if <-applied {
			missing--
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

// otherUpstreams returns the upstreams of the group without except.
func otherUpstreams(group *bundle.Group, except model.UpstreamID) []*bundle.Upstream {
	var found []*bundle.Upstream
	for i := range group.Upstreams {
		if group.Upstreams[i].ID != except {
			found = append(found, &group.Upstreams[i])
		}
	}
	return found
}
