package engine

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/routing"
	"gypsumdock/pkg/verdict"
)

// maxRoutingAttempts is the number of routing decisions tried for a unit before
// it is sent to the primary.
const maxRoutingAttempts = 4

// marksKey identifies a session's marks in a group.
type marksKey = marks.Key

// chooseUpstream routes the unit. It fetches the primary's position where routing
// needs it, and waits for a replica where the decision says so.
func (u *unit) chooseUpstream(ctx context.Context) (routing.Decision, *verdict.Error) {
	request := routing.Request{
		Route:    u.route,
		ReadOnly: u.statement.ReadOnly || u.route.ReadOnly,
		Rand:     u.engine.config.Random(),
	}
	if request.ReadOnly {
		if refused := u.setFloor(ctx, &request); refused != nil {
			return routing.Decision{}, refused
		}
	}
	for range maxRoutingAttempts {
		decision, refused := u.choose(&request)
		if refused != nil || decision.Need == routing.NeedNothing && decision.WaitFor.IsZero() {
			return decision, refused
		}
		if decision.Need != routing.NeedNothing {
			u.setFloorFromPrimary(ctx, &request)
			continue
		}
		if u.waitForReplica(ctx, decision) {
			return decision, nil
		}
		request.Exclude = decision.Upstream
	}
	u.sendToPrimary(&request)
	return u.choose(&request)
}

// choose makes one routing decision by the current snapshot.
func (u *unit) choose(request *routing.Request) (routing.Decision, *verdict.Error) {
	e := u.engine
	snapshot := e.snapshot.Load()
	request.Outstanding = e.outstanding(snapshot, u.group.ID)
	return routing.Choose(e.config.Clock.Now(), snapshot.Routing, *request)
}

// sendToPrimary changes the request so that only the primary may serve it.
func (u *unit) sendToPrimary(request *routing.Request) {
	route := *u.route
	route.ReadOnly = false
	request.Route = &route
	request.ReadOnly = false
	request.Exclude = ""
}

// setFloor sets the position that a read must find applied. It asks for the
// session's marks and, if the route has no maximum age, at the same time for the
// primary's position. If an acknowledged write of the session was lost, the read
// is refused with that error, once.
func (u *unit) setFloor(ctx context.Context, request *routing.Request) *verdict.Error {
	var answer marks.Answer
	var group errgroup.Group
	group.Go(func() error {
		answer = u.engine.config.Sessions.Ask(ctx, u.marksKey())
		return nil
	})
	if u.route.MaxAge == 0 && u.needsSample(request) {
		u.setFloorFromPrimary(ctx, request)
	}
	_ = group.Wait()
	switch answer.Status {
	case marks.AskLost:
		u.engine.config.Sessions.LossReported(u.marksKey(), answer.Mark)
		return verdict.New(verdict.WriteLost, verdict.NotRun,
			"an acknowledged write of this session was lost when its primary was replaced")
	case marks.AskKnown:
		if request.FloorKind == routing.FloorUnknown && u.route.MaxAge > 0 {
			request.FloorKind = routing.FloorMarks
			request.Floor = answer.Mark
		}
	}
	return nil
}

// needsSample reports whether routing needs the primary's position for the read.
func (u *unit) needsSample(request *routing.Request) bool {
	decision, refused := u.choose(request)
	return refused == nil && decision.Need == routing.NeedSample
}

// setFloorFromPrimary makes the primary's current position the floor. If it is
// not available, the read goes to the primary.
func (u *unit) setFloorFromPrimary(ctx context.Context, request *routing.Request) {
	position, known := u.engine.samplePrimary(ctx, u.group.ID)
	if !known {
		u.sendToPrimary(request)
		return
	}
	request.FloorKind = routing.FloorSample
	request.Floor = position
}

// waitForReplica waits until the replica has applied the decision's position, at
// most for the decision's MaxWait.
func (u *unit) waitForReplica(ctx context.Context, decision routing.Decision) bool {
	upstream, found := u.group.Upstream(decision.Upstream)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, decision.MaxWait)
	defer cancel()
	return u.engine.replicaWait(upstream.ID).wait(ctx, u.engine, u.group, upstream, decision.WaitFor)
}

// outstanding returns the number of units that run or wait for a slot at each
// upstream of the group, in the order of the routing snapshot.
func (e *Engine) outstanding(snapshot *control.Snapshot, id model.GroupID) []int {
	group, found := snapshot.Routing.Group(id)
	if !found {
		return nil
	}
	counts := make([]int, len(group.Upstreams))
	e.mu.RLock()
	defer e.mu.RUnlock()
	for i := range group.Upstreams {
		if queue, exists := e.slotQueues[group.Upstreams[i].ID]; exists {
			counts[i] = queue.outstanding()
		}
	}
	return counts
}

// isReplicaUsable reports whether the upstream is in the list and usable.
func isReplicaUsable(upstreams []routing.Upstream, id model.UpstreamID) bool {
	for i := range upstreams {
		if upstreams[i].ID == id {
			return upstreams[i].Usable
		}
	}
	return false
}

// holdsPermit reports whether this instance now holds a valid permit for the
// group's generation.
func (e *Engine) holdsPermit(id model.GroupID, number model.Generation) bool {
	group, found := e.snapshot.Load().View.Group(id)
	return found && group.Generation == number && e.config.Clock.Now() < group.PermitUntil
}

// positionTimeout bounds one query for an upstream's position.
const positionTimeout = 500 * time.Millisecond
