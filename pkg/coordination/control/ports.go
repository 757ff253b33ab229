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

// Clock returns the time since the start of the process, from a monotonic
// clock.
type Clock interface{ Now() time.Duration }

// HeadStore reads and writes the region's head row. Package headstore
// implements it.
type HeadStore interface {
	// Read returns nil while there is no head row.
	Read(ctx context.Context) (*model.Head, error)
	Write(ctx context.Context, opID string, ifVersion model.RowVersion, head *model.Head) (failover.WriteOutcome, *model.Head)
}

// Sample is the state that an upstream reports in answer to a probe or a
// promotion.
type Sample struct {
	// Recovering is set if the upstream is a replica.
	Recovering bool
	Timeline   uint32
	// LSN is the current position of a primary, the replayed position of a
	// replica, or after a promotion the position at which recovery ended.
	LSN model.LSN
	// Follows is the address that a replica streams from; invalid if it streams
	// from none.
	Follows netip.AddrPort
}

// Upstreams probes upstreams, promotes replicas, and ends connections of other
// instances.
type Upstreams interface {
	Probe(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error)
	Promote(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (Sample, error)
	// TerminateConnections ends the connections that instance has to the
	// upstream, and returns how many are left.
	TerminateConnections(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream, instance model.InstanceID) (int, error)
}

// GrantStore reads and writes the grant rows, which divide the connections of
// each upstream among the instances. Package grantstore implements it.
type GrantStore interface {
	Read(ctx context.Context, upstream model.UpstreamID) (grantstore.VersionedRow, error)
	Write(
		ctx context.Context, opID string, upstream model.UpstreamID, ifVersion model.RowVersion, row *grants.Row,
	) (grants.WriteOutcome, grantstore.VersionedRow)
}

// Pools holds this instance's connections to upstreams.
type Pools interface {
	// Usage returns how many of an upstream's connections are in use and
	// wanted.
	Usage(upstream model.UpstreamID) grants.Usage
	// SetLimits sets the limits on the connections to an upstream: new ones are
	// opened only below limit, and those beyond keep are closed.
	SetLimits(upstream model.UpstreamID, limit, keep int)
}

// Status is what an instance regularly sends its peers about itself.
type Status struct {
	// Ref names the active bundle; its revision is zero if there is none.
	Ref         adoption.BundleRef
	HeadVersion model.RowVersion
	Leaving     bool
	// Sessions is the number of callers' connections.
	Sessions int
	// AdminAddress is the address of the admin listener.
	AdminAddress string
	// UpstreamLoads lists the upstreams whose connections the instance may use,
	// ordered by ID.
	UpstreamLoads []UpstreamLoad
}

// UpstreamLoad is the use of an instance's connections to an upstream. In
// mesh.proto it is UpstreamStatus.
type UpstreamLoad struct {
	Upstream model.UpstreamID
	// Free counts connections, open or not, that serve no unit of work.
	Free int
	// Waiting counts units of work that wait for a connection.
	Waiting int
}

// Peers communicates with the other instances of the region. Send, Announce and
// HintGrant do not block, and may lose the message.
type Peers interface {
	// SetPeers sets the instances to keep connections to.
	SetPeers(peers []model.Member)
	// Peers returns the connected peers.
	Peers() []model.InstanceID
	Send(to model.InstanceID, message failover.PeerMessage)
	Announce(status Status)
	// HintGrant tells a peer that an upstream's grant row has changed.
	HintGrant(to model.InstanceID, upstream model.UpstreamID)
	// FetchBundle requests the bundle with the digest from a peer.
	FetchBundle(ctx context.Context, from model.InstanceID, digest string) ([]byte, error)
	// FetchHead requests the newest head row that any peer knows, including the
	// peers named in the settings. It renews no permit.
	FetchHead(ctx context.Context) (*model.Head, error)
}

// Sessions keeps the marks of sessions. Its methods do not wait for I/O.
type Sessions interface {
	// HeadSeen processes a head row. confirmedAt is the start of the newest
	// read that returned this row.
	HeadSeen(confirmedAt, now time.Duration, head *model.Head)
	// PrimarySampled processes a confirmed log position of a group's primary,
	// which was requested at askedAt.
	PrimarySampled(askedAt time.Duration, group model.GroupID, at model.Mark)
	// AllReplicasApplied reports that every replica in use has applied the
	// position (the low watermark of the group).
	AllReplicasApplied(group model.GroupID, at model.Mark)
	// SetGroups sets the groups of the active configuration.
	SetGroups(groups []model.GroupID)
}

// Traffic is the part of the instance that runs callers' units of work.
type Traffic interface {
	// Publish makes a snapshot the current one.
	Publish(snapshot *Snapshot)
	// WritesInFlight returns the number of units outstanding at the primary of
	// the group's generation.
	WritesInFlight(group model.GroupID, generation model.Generation) int
	// Sessions returns the number of callers' connections.
	Sessions() int
	// LatencyAndSlots returns the usual latency of a statement on the upstream,
	// and the number of statements that this instance may run there at once.
	LatencyAndSlots(upstream model.UpstreamID) (latency time.Duration, slots int)
}

// Platform is the part of the platform's services that the loop uses.
type Platform interface {
	platform.Objects
	platform.Instances
}

// HomeCandidates returns the members of a head row that may be homes of
// sessions.
func HomeCandidates(head *model.Head) *marks.MemberSet {
	return marks.NewMemberSet(head.MembersVersion, head.Members)
}
