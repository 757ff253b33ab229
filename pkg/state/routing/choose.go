package routing

import (
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// FloorKind is the meaning of a request's floor.
type FloorKind uint8

// The kinds of floor.
const (
	// FloorUnknown means that the session's writes are not known.
	FloorUnknown FloorKind = iota
	// FloorMarks means that the floor covers the session's own writes.
	FloorMarks
	// FloorSample means that the floor is a position of the primary, proven to
	// be sampled after the request arrived. It covers the writes of all sessions.
	FloorSample
)

// Need is the information that a choice still lacks.
type Need uint8

// The kinds of missing information.
const (
	// NeedNothing means that the decision is final.
	NeedNothing Need = iota
	// NeedMarks means that the session's marks must be requested from the
	// instance that stores them, the session's home. If they are unknown there,
	// a sample of the primary's position also serves.
	NeedMarks
	// NeedSample means that the primary's position must be sampled by a probe
	// that starts after the request arrived. Waiting requests may share one
	// sample.
	NeedSample
)

// Request is a unit of work to be routed.
type Request struct {
	Route *bundle.Route
	// ReadOnly is true if the unit writes nothing. It need not be set if the
	// route is read-only.
	ReadOnly bool
	// Floor is the position that a replica must have applied, with the meaning
	// FloorKind.
	Floor     model.Mark
	FloorKind FloorKind
	// Rand is a random number: it selects candidates and spreads retry delays.
	Rand uint64
	// Outstanding replaces Upstream.Outstanding, in the order of the group's
	// upstreams; nil uses the values of the snapshot.
	Outstanding []int
	// Exclude is an upstream that has just failed to serve the unit; empty if
	// there is none.
	Exclude model.UpstreamID
}

// Decision is the upstream chosen for a unit of work.
type Decision struct {
	Upstream   model.UpstreamID
	Generation model.Generation
	// Primary is true if the unit runs on the primary.
	Primary bool
	// WaitFor is the position that the replica must have applied before the
	// unit is sent; zero if no wait is necessary.
	WaitFor model.Mark
	// MaxWait bounds that wait. After it the caller chooses again, with the
	// replica in Request.Exclude.
	MaxWait time.Duration
	// Need is the information that must be obtained first. If it is not
	// NeedNothing the other fields are zero.
	Need Need
}

// Choose returns the upstream on which a unit of work may run at time now, or a
// refusal. The outcome of a refusal is always verdict.NotRun.
func Choose(now time.Duration, s *Snapshot, r Request) (Decision, *verdict.Error) {
	group, found := s.Group(r.Route.Group)
	if !found {
		return Decision{}, refuse(s, r, verdict.NoUpstream, "no such group")
	}
	c := chooser{now: now, snapshot: s, group: group, request: r}
	if !r.ReadOnly && !r.Route.ReadOnly || s.Options.Rules.PrimaryOnly {
		return c.choosePrimary()
	}
	return c.chooseRead()
}

// chooser chooses the upstream for one request. It refers to upstreams by their
// index in the group.
type chooser struct {
	now      time.Duration
	snapshot *Snapshot
	group    *Group
	request  Request
}

// choosePrimary chooses the primary if there is a permit for it.
func (c *chooser) choosePrimary() (Decision, *verdict.Error) {
	i, found := c.findPrimary()
	switch {
	case c.group.Sealed || c.now >= c.group.PermitUntil:
		return Decision{}, c.refuse(verdict.NoPermit, "no permit for the group's primary")
	case !found:
		return Decision{}, c.refuse(verdict.NoUpstream, "the group's primary takes no work")
	}
	return c.decisionFor(i), nil
}

func (c *chooser) findPrimary() (int, bool) {
	for i := range c.group.Upstreams {
		u := &c.group.Upstreams[i]
		if u.Primary && c.acceptsUnit(u) {
			return i, true
		}
	}
	return 0, false
}

func (c *chooser) acceptsUnit(u *Upstream) bool {
	return u.Usable && !u.Leaving && u.ID != c.request.Exclude
}

// chooseRead chooses a replica if the route's maximum age and the request's
// floor allow it, and the primary otherwise.
func (c *chooser) chooseRead() (Decision, *verdict.Error) {
	candidates := c.replicasWithinAge()
	if len(candidates) == 0 {
		return c.choosePrimary()
	}
	if need := c.need(candidates); need != NeedNothing {
		return Decision{Need: need}, nil
	}
	if ready := c.filter(candidates, c.reachesFloor); len(ready) > 0 {
		return c.decisionFor(c.pick(ready)), nil
	}
	fallback, refusal := c.choosePrimary()
	if waiting, ok := c.waitForReplica(candidates, refusal != nil); ok {
		return waiting, nil
	}
	return fallback, refusal
}

// need returns the information that is missing before one of the candidates may
// serve the read. It is not called without candidates: a read whose route has no
// maximum age then goes straight to the primary, because no replica is expected
// to catch up in time.
func (c *chooser) need(candidates []int) Need {
	rules := c.snapshot.Options.Rules
	if rules.IgnoreMarks {
		return NeedNothing
	}
	if c.request.Route.MaxAge > 0 {
		if c.request.FloorKind == FloorUnknown {
			return NeedMarks
		}
		return NeedNothing
	}
	if c.request.FloorKind == FloorSample {
		return NeedNothing
	}
	return NeedSample
}

// replicasWithinAge returns the indexes of the usable replicas whose data is
// recent enough for the route.
func (c *chooser) replicasWithinAge() []int {
	var found []int
	for i := range c.group.Upstreams {
		u := &c.group.Upstreams[i]
		if !u.Primary && c.acceptsUnit(u) && c.withinAge(u) {
			found = append(found, i)
		}
	}
	return found
}

func (c *chooser) withinAge(u *Upstream) bool {
	limit := c.request.Route.MaxAge
	if limit == 0 {
		return c.mayCatchUp(u)
	}
	if !u.FreshKnown || c.now-u.FreshAt > limit {
		return false
	}
	return c.snapshot.Options.Rules.NoHysteresis || u.AdmittedAges.Has(limit)
}

// mayCatchUp reports whether the replica is a candidate for a read on a route
// without a maximum age: it is expected to reach a new sample of the primary's
// position within the allowed wait.
func (c *chooser) mayCatchUp(u *Upstream) bool {
	if c.snapshot.Options.Rules.IgnoreMarks || c.reachesSampledFloor(u) {
		return true
	}
	return u.FreshKnown && u.ApplyDelay <= c.waitLimit(c.now >= c.group.PermitUntil)
}

func (c *chooser) reachesSampledFloor(u *Upstream) bool {
	return c.request.FloorKind == FloorSample && c.reachesFloor(u)
}

func (c *chooser) reachesFloor(u *Upstream) bool {
	return c.snapshot.Options.Rules.IgnoreMarks || !u.Applied.Before(c.request.Floor)
}

// filter returns the candidates that keep accepts.
func (c *chooser) filter(candidates []int, keep func(*Upstream) bool) []int {
	var kept []int
	for _, i := range candidates {
		if keep(&c.group.Upstreams[i]) {
			kept = append(kept, i)
		}
	}
	return kept
}

func (c *chooser) decisionFor(i int) Decision {
	u := &c.group.Upstreams[i]
	return Decision{Upstream: u.ID, Generation: c.group.Generation, Primary: u.Primary}
}

func (c *chooser) refuse(code verdict.Code, reason string) *verdict.Error {
	return refuse(c.snapshot, c.request, code, reason)
}

// refuse returns a refusal with a random retry delay.
func refuse(s *Snapshot, r Request, code verdict.Code, reason string) *verdict.Error {
	retryAfter := s.Options.RetryAfter
	if retryAfter > 0 {
		retryAfter += time.Duration(r.Rand % uint64(retryAfter))
	}
	return verdict.New(code, verdict.NotRun, reason).WithRetryAfter(retryAfter)
}
