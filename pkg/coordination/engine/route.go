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

// maxChoices bounds how often one unit is routed anew.
const maxChoices = 4

type marksKey = marks.Key

// decide routes the unit. It finds out what routing needs to know, and waits
// for a replica where routing says so.
func (u *unit) decide(ctx context.Context) (routing.Decision, *verdict.Error) {
	request := routing.Request{
		Route:    u.route,
		ReadOnly: u.statement.ReadOnly || u.route.ReadOnly,
		Rand:     u.engine.config.Random(),
	}
	if request.ReadOnly {
		if refused := u.learnFloor(ctx, &request); refused != nil {
			return routing.Decision{}, refused
		}
	}
	for range maxChoices {
		decision, refused := u.choose(&request)
		if refused != nil || decision.Need == routing.NeedNothing && decision.WaitFor.IsZero() {
			return decision, refused
		}
		if decision.Need != routing.NeedNothing {
			u.sample(ctx, &request)
			continue
		}
		if u.waitFor(ctx, decision) {
			return decision, nil
		}
		request.Exclude = decision.Upstream
	}
	u.sendToPrimary(&request)
	return u.choose(&request)
}

func (u *unit) choose(request *routing.Request) (routing.Decision, *verdict.Error) {
	e := u.engine
	snapshot := e.snapshot.Load()
	request.Outstanding = e.outstanding(snapshot, u.group.ID)
	return routing.Choose(e.config.Clock.Now(), snapshot.Routing, *request)
}

// sendToPrimary makes the request one that only the primary may serve.
func (u *unit) sendToPrimary(request *routing.Request) {
	route := *u.route
	route.ReadOnly = false
	request.Route = &route
	request.ReadOnly = false
	request.Exclude = ""
}

// learnFloor asks for the session's marks and, for a read without a stated
// age, for a sample of the primary, both at once. A session whose write did
// not survive is told so in place of its read.
func (u *unit) learnFloor(ctx context.Context, request *routing.Request) *verdict.Error {
	var answer marks.Answer
	var group errgroup.Group
	group.Go(func() error {
		answer = u.engine.config.Sessions.Ask(ctx, u.key())
		return nil
	})
	if u.route.MaxAge == 0 && u.mayUseReplica(request) {
		u.sample(ctx, request)
	}
	_ = group.Wait()
	switch answer.Status {
	case marks.AskLost:
		u.engine.config.Sessions.LossReported(u.key(), answer.Mark)
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

// mayUseReplica reports whether routing would want a sample for the read.
func (u *unit) mayUseReplica(request *routing.Request) bool {
	decision, refused := u.choose(request)
	return refused == nil && decision.Need == routing.NeedSample
}

// sample takes a position of the primary as the floor. Where there is none,
// the read goes to the primary.
func (u *unit) sample(ctx context.Context, request *routing.Request) {
	at, known := u.engine.samplePrimary(ctx, u.group.ID)
	if !known {
		u.sendToPrimary(request)
		return
	}
	request.FloorKind = routing.FloorSample
	request.Floor = at
}

// waitFor waits until the replica has applied the decision's position.
func (u *unit) waitFor(ctx context.Context, decision routing.Decision) bool {
	upstream, found := u.group.Upstream(decision.Upstream)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, decision.MaxWait)
	defer cancel()
	return u.engine.watch(upstream.ID).wait(ctx, u.engine, u.group, upstream, decision.WaitFor)
}

// outstanding counts the units at each upstream of the group, in the order of
// the routing snapshot.
func (e *Engine) outstanding(snapshot *control.Snapshot, id model.GroupID) []int {
	group, found := snapshot.Routing.Group(id)
	if !found {
		return nil
	}
	counts := make([]int, len(group.Upstreams))
	e.mu.RLock()
	defer e.mu.RUnlock()
	for i := range group.Upstreams {
		if lane, exists := e.lanes[group.Upstreams[i].ID]; exists {
			counts[i] = lane.outstanding()
		}
	}
	return counts
}

func isUsable(upstreams []routing.Upstream, id model.UpstreamID) bool {
	for i := range upstreams {
		if upstreams[i].ID == id {
			return upstreams[i].Usable
		}
	}
	return false
}

// holdsPermit reports whether this instance holds the permit of the group's
// generation at this moment.
func (e *Engine) holdsPermit(id model.GroupID, number model.Generation) bool {
	group, found := e.snapshot.Load().View.Group(id)
	return found && group.Generation == number && e.config.Clock.Now() < group.PermitUntil
}

// sampleTimeout bounds one question for a position.
const sampleTimeout = 500 * time.Millisecond
