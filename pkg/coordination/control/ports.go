package control

import (
	"context"
	"net/netip"
	"time"

	"gypsumdock/pkg/coordination/grantstore"
	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// Clock gives the time since the process's start, from a monotonic clock.
type Clock interface{ Now() time.Duration }

// HeadStore reads and writes the region's head row. Package headstore
// implements it.
type HeadStore interface {
	// Read returns nil while there is no head row.
	Read(ctx context.Context) (*model.Head, error)
	Write(ctx context.Context, opID string, ifVersion model.RowVersion, head *model.Head) (failover.WriteOutcome, *model.Head)
}

// Sample is what an upstream says of itself.
type Sample struct {
	Recovering bool
	Timeline   uint32
	// LSN is the current position of a primary, the replayed position of a
	// replica, or after a promotion the position at which recovery ended.
	LSN model.LSN
	// Follows is the address that a replica streams from; invalid if none.
	Follows netip.AddrPort
}

// Upstreams asks upstreams for their state and promotes replicas.
type Upstreams interface {
	Probe(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error)
	Promote(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error)
	// TerminateConnections ends the connections that an instance has to the upstream, and
	// returns how many there still are.
	TerminateConnections(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream, of model.InstanceID) (int, error)
}

// GrantStore reads and writes the rows that divide the connections of
// upstreams. Package grantstore implements it.
type GrantStore interface {
	Read(ctx context.Context, upstream model.UpstreamID) (grantstore.Stored, error)
	Write(
		ctx context.Context, opID string, upstream model.UpstreamID, ifVersion model.RowVersion, row *grants.Row,
	) (grants.WriteOutcome, grantstore.Stored)
}

// Pools holds the connections to upstreams.
type Pools interface {
	// Usage returns the use of an upstream's connections.
	Usage(upstream model.UpstreamID) grants.Usage
	// SetLimits sets the number of connections up to which more may be
	// opened, and the number beyond which some are closed.
	SetLimits(upstream model.UpstreamID, limit, keep int)
}

// Status is what an instance tells its peers of itself.
type Status struct {
	Ref         adoption.BundleRef
	HeadVersion model.RowVersion
	Leaving     bool
	// Sessions is the number of callers' connections.
	Sessions int
	// AdminAddress is the address of the admin listener.
	AdminAddress string
	// UpstreamLoads holds the upstreams to which the instance has connections.
	UpstreamLoads []UpstreamLoad
}

// UpstreamLoad is the part of an instance's connections to an upstream that is free.
type UpstreamLoad struct {
	Upstream model.UpstreamID
	// Free counts connections, open or not, that serve no unit of work.
	Free int
	// Waiting counts units that wait for a connection.
	Waiting int
}

// Peers sends to other instances. Send and Announce do not wait, and may lose
// the message.
type Peers interface {
	// SetPeers names the instances to keep connections to.
	SetPeers(peers []model.Member)
	// Peers returns the peers that are connected.
	Peers() []model.InstanceID
	Send(to model.InstanceID, message failover.PeerMessage)
	Announce(status Status)
	// HintGrant tells a peer that an upstream's row of grants has changed.
	HintGrant(to model.InstanceID, upstream model.UpstreamID)
	// FetchBundle asks a peer for the bundle with the digest.
	FetchBundle(ctx context.Context, from model.InstanceID, digest string) ([]byte, error)
	// FetchHead asks any peer, those named in the settings included, for the
	// head row that it knows. It renews no permit.
	FetchHead(ctx context.Context) (*model.Head, error)
}

// Sessions keeps the marks of sessions. Its methods do not wait for I/O.
type Sessions interface {
	// HeadSeen takes a head row; confirmedFrom is the time before the question
	// was sent to which the table answered with this row.
	HeadSeen(confirmedFrom, now time.Duration, head *model.Head)
	// PrimarySampled takes a proven position of a group's primary.
	PrimarySampled(askedAt time.Duration, group model.GroupID, at model.Mark)
	// Passed says that every replica in use has applied the position.
	Passed(group model.GroupID, at model.Mark)
	// SetGroups names the groups of the configuration in force.
	SetGroups(groups []model.GroupID)
}

// Traffic is what control needs to know of and tell the path of statements.
type Traffic interface {
	// Publish puts a snapshot in force.
	Publish(snapshot *Snapshot)
	// WritesInFlight returns the number of units sent to the primary of the
	// group's generation and not yet answered.
	WritesInFlight(group model.GroupID, generation model.Generation) int
	// Sessions returns the number of callers' connections.
	Sessions() int
	// LatencyAndSlots returns the usual latency of a statement on the upstream, and the
	// number of statements that this instance may run there at once.
	LatencyAndSlots(upstream model.UpstreamID) (latency time.Duration, slots int)
}

// Platform is what control uses of the platform's services.
type Platform interface {
	platform.Objects
	platform.Instances
}

// HomeCandidates returns the members of a head row that may be homes of sessions.
func HomeCandidates(head *model.Head) *marks.MemberSet {
	return marks.NewMemberSet(head.MembersVersion, head.Members)
}
