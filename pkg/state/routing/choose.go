package routing

import (
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// FloorKind says what a request's floor stands for.
type FloorKind uint8

// The kinds of floor.
const (
	// FloorUnknown means that nothing is known of the session's writes.
	FloorUnknown FloorKind = iota
	// FloorMarks means that the floor covers the session's own writes.
	FloorMarks
	// FloorSample means that the floor is a proven position of the primary,
	// sampled after the request arrived. It covers every session's writes.
	FloorSample
)

// Need says what must be found out before a choice can be made.
type Need uint8

// The needs.
const (
	// NeedNothing means that the decision is final.
	NeedNothing Need = iota
	// NeedMarks asks for the session's marks from its home; where they are
	// unknown, a sample of the primary's position does as well.
	NeedMarks
	// NeedSample asks for a sample of the primary's position that starts
	// after the request arrived. Requests that wait share one sample.
	NeedSample
)

// Request is a unit of work to be routed.
type Request struct {
	Route *bundle.Route
	// ReadOnly is true if the unit writes nothing; a route may promise it.
	ReadOnly  bool
	Floor     model.Mark
	FloorKind FloorKind
	// Rand is a random number that the choice may use.
	Rand uint64
	// Outstanding overrides the upstreams' counts, in the order of the
	// group's upstreams; nil uses those of the snapshot.
	Outstanding []int
	// Exclude names an upstream that just refused the unit; empty is none.
	Exclude model.UpstreamID
}

// Decision is the choice for a unit of work.
type Decision struct {
	Upstream   model.UpstreamID
	Generation model.Generation
	// Primary is true if the unit runs on the primary.
	Primary bool
	// WaitFor is the position that the replica must have applied before the
	// unit is sent; zero means that it has.
	WaitFor model.Mark
	// MaxWait bounds that wait. When it has passed, choose again with
	// Exclude naming the replica.
	MaxWait time.Duration
	// Need is what must be found out first; the other fields are then zero.
	Need Need
}

// Choose returns where a unit of work may run at time now, or a refusal, which
// is always not run.
func Choose(now time.Duration, s *Snapshot, r Request) (Decision, *verdict.Error) {
	group, found := s.Group(r.Route.Group)
	if !found {
		return Decision{}, refuse(s, r, verdict.NoUpstream, "no such group")
	}
	c := chooser{now: now, snapshot: s, group: group, request: r}
	if !r.ReadOnly && !r.Route.ReadOnly || s.Options.Rules.PrimaryOnly {
		return c.primary()
	}
	return c.read()
}

type chooser struct {
	now      time.Duration
	snapshot *Snapshot
	group    *Group
	request  Request
}

// primary chooses the primary, under a permit.
func (c *chooser) primary() (Decision, *verdict.Error) {
	i, found := c.findPrimary()
	switch {
	case c.group.Sealed || c.now >= c.group.PermitUntil:
		return Decision{}, c.refuse(verdict.NoPermit, "no permit for the group's primary")
	case !found:
		return Decision{}, c.refuse(verdict.NoUpstream, "the group's primary takes no work")
	}
	return c.decide(i), nil
}

func (c *chooser) findPrimary() (int, bool) {
	for i := range c.group.Upstreams {
		u := &c.group.Upstreams[i]
		if u.Primary && c.takesWork(u) {
			return i, true
		}
	}
	return 0, false
}

func (c *chooser) takesWork(u *Upstream) bool {
	return u.Usable && !u.Leaving && u.ID != c.request.Exclude
}

// read chooses a replica where the request's age and floor allow it, and the
// primary otherwise.
func (c *chooser) read() (Decision, *verdict.Error) {
	candidates := c.replicas()
	if len(candidates) == 0 {
		return c.primary()
	}
	if need := c.need(candidates); need != NeedNothing {
		return Decision{Need: need}, nil
	}
	if ready := c.filter(candidates, c.hasFloor); len(ready) > 0 {
		return c.decide(c.pick(ready)), nil
	}
	fallback, refusal := c.primary()
	if waiting, ok := c.waitFor(candidates, refusal != nil); ok {
		return waiting, nil
	}
	return fallback, refusal
}

// need returns what must be known before one of the candidates may serve the
// read. A read without an age goes straight to the primary when no candidate
// could be expected to catch up in time.
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

// replicas returns the indexes of the replicas that the request's age allows.
func (c *chooser) replicas() []int {
	var found []int
	for i := range c.group.Upstreams {
		u := &c.group.Upstreams[i]
		if !u.Primary && c.takesWork(u) && c.withinAge(u) {
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

// mayCatchUp reports whether it is worth sampling the primary for a read
// without an age.
func (c *chooser) mayCatchUp(u *Upstream) bool {
	if c.snapshot.Options.Rules.IgnoreMarks || c.hasSampledFloor(u) {
		return true
	}
	return u.FreshKnown && u.ApplyDelay <= c.waitLimit(c.now >= c.group.PermitUntil)
}

func (c *chooser) hasSampledFloor(u *Upstream) bool {
	return c.request.FloorKind == FloorSample && c.hasFloor(u)
}

func (c *chooser) hasFloor(u *Upstream) bool {
	return c.snapshot.Options.Rules.IgnoreMarks || !u.Applied.Before(c.request.Floor)
}

func (c *chooser) filter(candidates []int, keep func(*Upstream) bool) []int {
	var kept []int
	for _, i := range candidates {
		if keep(&c.group.Upstreams[i]) {
			kept = append(kept, i)
		}
	}
	return kept
}

func (c *chooser) decide(i int) Decision {
	u := &c.group.Upstreams[i]
	return Decision{Upstream: u.ID, Generation: c.group.Generation, Primary: u.Primary}
}

func (c *chooser) refuse(code verdict.Code, reason string) *verdict.Error {
	return refuse(c.snapshot, c.request, code, reason)
}

func refuse(s *Snapshot, r Request, code verdict.Code, reason string) *verdict.Error {
	advice := s.Options.RetryAfter
	if advice > 0 {
		advice += time.Duration(r.Rand % uint64(advice))
	}
	return verdict.New(code, verdict.NotRun, reason).WithRetryAfter(advice)
}
