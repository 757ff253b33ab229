package region

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// ErrHistoryGone means that the changes since a version are no longer kept.
var ErrHistoryGone = errors.New("history of the table is gone")

// Entry is a row of a table that somebody else writes.
type Entry struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Feed is a table that somebody else writes.
type Feed interface {
	// Read returns all rows, and the version at which they were read.
	Read(ctx context.Context) ([]Entry, int64, error)
	// Next waits until rows have changed after the version, and returns them
	// and the version to go on from. It returns ErrHistoryGone if that is not
	// possible.
	Next(ctx context.Context, after int64, wait time.Duration) ([]Entry, int64, error)
}

// Decoder reads the rows of the platform.
type Decoder interface {
	Configuration(entry Entry) (*catalog.Catalog, error)
	Upstream(entry Entry) (catalog.Upstream, error)
}

// Promotion names the next primary of a group at the platform.
type Promotion interface {
	// Promote orders that upstream leads the group's next term. fence rises with
	// each change of the instance that gives orders. An error leaves open
	// whether the order was taken.
	Promote(ctx context.Context, group model.GroupID, upstream model.UpstreamID, fence uint64) error
}

// Sample is what an upstream says of itself.
type Sample struct {
	Primary bool
	// Term is the newest term that it leads or follows.
	Term uint32
	// ReceivedLSN is the number up to which it has received the log.
	ReceivedLSN model.LSN
}

// ErrBusy means that an upstream is there, but has no room to say more.
var ErrBusy = errors.New("the upstream has no room")

// ErrTooManyConnections means that an upstream takes no further connection, or fails in the
// same way.
var ErrTooManyConnections = errors.New("the upstream takes no further connection")

// Upstreams asks upstreams for their state.
type Upstreams interface {
	// Probe returns ErrBusy or ErrTooManyConnections from an upstream without room.
	Probe(ctx context.Context, upstream catalog.Upstream) (Sample, error)
}

// HeadStore reads and writes the region's head row. Package headstore
// implements it.
type HeadStore interface {
	// Read returns nil while there is no head row.
	Read(ctx context.Context) (*model.Head, error)
	Write(ctx context.Context, opID string, ifVersion model.RowVersion, head *model.Head) (failover.WriteOutcome, *model.Head)
}

// Peers sends to other instances.
type Peers interface {
	SetPeers(peers []model.Member)
	// Send does not wait, and may lose the message.
	Send(to model.InstanceID, message failover.PeerMessage)
	// FetchHead asks any peer for the head row that it knows.
	FetchHead(ctx context.Context) (*model.Head, error)
	// QueryState asks a peer that reads the store for others.
	QueryState(ctx context.Context, reader model.InstanceID, question StateQuery) (*StateReply, error)
}

// Clock gives the time since the process's start. It goes on while the machine
// is suspended.
type Clock interface{ Now() time.Duration }

// PassiveHealth is what the path of statements has seen of a group's upstreams.
type PassiveHealth struct {
	// Primary is the upstream that answered as the primary of Generation to
	// what was sent at SentAt; empty if there was no such answer.
	Primary    model.UpstreamID
	Generation model.Generation
	SentAt     time.Duration
	LSN        model.LSN
	// Suspects names the upstreams that do not answer, and Refusing those of
	// them that refuse connections and are not only full.
	Suspects []model.UpstreamID
	Refusing []model.UpstreamID
}

// Traffic is the path of statements.
type Traffic interface {
	// Publish puts a snapshot in force.
	Publish(snapshot *Snapshot)
	// PassiveHealth returns what was seen of a group's upstreams.
	PassiveHealth(group model.GroupID) PassiveHealth
	// ProbeAnswered says that an upstream has answered a probe.
	ProbeAnswered(group model.GroupID, upstream model.UpstreamID)
	// WritesInFlight returns the number of units at the primary of the group's
	// generation.
	WritesInFlight(group model.GroupID, generation model.Generation) int
}

// Snapshot is the control state. It is immutable.
type Snapshot struct {
	// Catalog is never nil; its version is 0 before the first configuration.
	Catalog *catalog.Catalog
	// Upstreams holds the upstreams of all groups, by ID.
	Upstreams map[model.UpstreamID]catalog.Upstream
	View      failover.View
	// WritesExpectedAt holds when a group that takes no writes is expected to do so.
	WritesExpectedAt map[model.GroupID]time.Duration
	// InstanceCount is the number of instances that share the upstreams.
	InstanceCount int
}
