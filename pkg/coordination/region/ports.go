package region

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/transfer"
)

// ErrHistoryGone means that the store no longer keeps the changes since the
// given version.
var ErrHistoryGone = errors.New("changes since the version are no longer kept by the store")

// Entry is one row of a platform table, or the deletion of one.
type Entry struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
	// Unreadable is set for a row of which not even the key and the version could be
	// read. Its other fields are empty.
	Unreadable bool
}

// Feed reads a platform table and its changes. Instances never write it.
type Feed interface {
	// Read returns all rows, and the version at which they were read.
	Read(ctx context.Context) ([]Entry, int64, error)
	// Next waits at most for the time wait until rows have changed after the
	// version. It returns these rows and the version to continue from, or
	// ErrHistoryGone if the store no longer keeps the changes. The answer holds
	// all rows that were changed after the version and before the call started. A
	// lower version than the given one means that the store has lost changes.
	Next(ctx context.Context, after int64, wait time.Duration) ([]Entry, int64, error)
}

// Decoder decodes the rows of the platform's tables.
type Decoder interface {
	// Configuration returns ErrOtherRow for rows of the table that do not hold the
	// configuration.
	Configuration(entry Entry) (*catalog.Catalog, error)
	Upstream(entry Entry) (catalog.Upstream, error)
}

// Promotion requests promotions from the platform.
type Promotion interface {
	// Promote requests that upstream become the primary of the group's next
	// term. fence is the fencing token; it rises whenever another instance
	// becomes the one that requests promotions. After an error the request may
	// or may not have been accepted.
	Promote(ctx context.Context, group model.GroupID, upstream model.UpstreamID, fence uint64) error
}

// Sample is the state that an upstream reports in answer to a probe.
type Sample struct {
	Primary bool
	// Term is the newest term in which the upstream is or follows the primary.
	// Package failover calls it the timeline.
	Term uint32
	// ReceivedLSN is the log position up to which it has received the log.
	ReceivedLSN model.LSN
}

// ErrBusy means that an upstream is reachable but had no free slot to report
// its state.
var ErrBusy = errors.New("the upstream has no free slot for a probe")

// ErrTooManyConnections means that an upstream refused a further connection,
// either at its limit or because of a fault that looks the same.
var ErrTooManyConnections = errors.New("the upstream refuses further connections")

// Upstreams probes upstreams for their state.
type Upstreams interface {
	// Probe returns ErrBusy or ErrTooManyConnections if the upstream has no
	// capacity for the probe.
	Probe(ctx context.Context, upstream catalog.Upstream) (Sample, error)
}

// HeadStore reads and writes the region's head row. Package headstore
// implements it.
type HeadStore interface {
	// Read returns nil while there is no head row.
	Read(ctx context.Context) (*model.Head, error)
	Write(ctx context.Context, opID string, ifVersion model.RowVersion, head *model.Head) (failover.WriteOutcome, *model.Head)
}

// Peers communicates with the other instances of the region.
type Peers interface {
	// SetPeers sets the instances to keep connections to.
	SetPeers(peers []model.Member)
	// Peers returns the instances with an open connection.
	Peers() []model.InstanceID
	// Send does not block, and may lose the message.
	Send(to model.InstanceID, message failover.PeerMessage)
	// FetchHead asks any peer for the newest head row that it knows.
	FetchHead(ctx context.Context) (*model.Head, error)
	// QueryState queries the reader, the peer that reads the store for others.
	QueryState(ctx context.Context, reader model.InstanceID, query StateQuery) (*StateReply, error)
	// FetchPart returns the part of a table that the peer has offered.
	FetchPart(ctx context.Context, from model.InstanceID, digest transfer.Digest, offset int) ([]byte, error)
}

// Clock returns the time since the start of the process. It also advances while
// the machine is suspended.
type Clock interface{ Now() time.Duration }

// PassiveHealth is the state of a group's upstreams as observed from callers'
// statements, without probes.
type PassiveHealth struct {
	// Primary is the upstream that answered as the primary of Generation to a
	// statement sent at SentAt; empty if there was no such answer. LSN is the
	// log position in the answer.
	Primary    model.UpstreamID
	Generation model.Generation
	SentAt     time.Duration
	LSN        model.LSN
	// Suspects lists the upstreams that do not answer, and Refusing those of
	// them that refuse connections for another reason than their limit.
	Suspects []model.UpstreamID
	Refusing []model.UpstreamID
}

// Traffic is the part of the instance that runs callers' statements.
type Traffic interface {
	// Publish makes a snapshot the current one.
	Publish(snapshot *Snapshot)
	// PassiveHealth returns the observed state of a group's upstreams.
	PassiveHealth(group model.GroupID) PassiveHealth
	// ProbeAnswered reports that an upstream has answered a probe.
	ProbeAnswered(group model.GroupID, upstream model.UpstreamID)
	// WritesInFlight returns the number of units of work outstanding at the
	// primary of the group's generation.
	WritesInFlight(group model.GroupID, generation model.Generation) int
}

// Snapshot is the control state by which traffic routes statements. It is
// immutable.
type Snapshot struct {
	// Catalog is never nil; its version is 0 before the first configuration.
	Catalog *catalog.Catalog
	// Upstreams holds the upstreams of the groups that this instance serves, by
	// ID.
	Upstreams map[model.UpstreamID]catalog.Upstream
	View      failover.View
	// WritesExpectedAt holds, for groups that accept no writes now, the time at
	// which they are expected to accept them; a group without an estimate is
	// missing.
	WritesExpectedAt map[model.GroupID]time.Duration
	// Serving holds who serves each group to which a route leads.
	Serving map[model.GroupID]Serving
	// TopologyVersion rises with each change of Catalog, Upstreams or Serving.
	TopologyVersion uint64
	// Current is true while Catalog and Upstreams are known to be the newest
	// ones, apart from the time of their transmission.
	Current bool
	// ConfirmedAt is when Catalog was known to be the newest configuration: the
	// start of the call to the store that showed it. It is zero for never, and
	// negative for a time before the start of the process.
	ConfirmedAt time.Duration
	// MembersAnsweredAt is when the query was sent that was answered last by a
	// member which is not cut off. It is kept by observers only; see
	// failover.View.
	MembersAnsweredAt time.Duration
}
