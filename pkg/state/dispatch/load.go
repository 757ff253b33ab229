package dispatch

import "gypsumdock/pkg/state/model"

// Running returns the number of units that hold a connection.
func (g *Group) Running() int {
	running := 0
	for _, candidate := range g.upstreams {
		running += candidate.inUse
	}
	return running
}

// OutstandingAt returns the number of statements that this instance has
// outstanding at an upstream.
func (g *Group) OutstandingAt(id model.UpstreamID) int {
	if found := g.upstream(id); found != nil {
		return found.active
	}
	return 0
}

// OutstandingLimit is the limit of an upstream that follows from the load of the
// other servers of the group.
type OutstandingLimit struct {
	// Max replaces UpstreamSpec.MaxOutstanding; zero for no other limit.
	Max int
	// Others is what the other servers have outstanding, if OthersKnown is set.
	Others      int
	OthersKnown bool
}

// LimitOutstanding sets the limit of an upstream.
func (g *Group) LimitOutstanding(id model.UpstreamID, limit OutstandingLimit) {
	if found := g.upstream(id); found != nil {
		found.outstandingLimit = limit.Max
		found.othersOutstanding = limit.Others
		found.othersKnown = limit.OthersKnown
	}
}

func (u *upstream) maxOutstanding() int {
	if u.outstandingLimit > 0 {
		return u.outstandingLimit
	}
	return u.spec.MaxOutstanding
}
