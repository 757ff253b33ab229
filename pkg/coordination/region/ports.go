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
	// Name orders that upstream leads the group's next term. fence rises with
	// each change of the instance that gives orders. An error leaves open
	// whether the order was taken.
	Name(ctx context.Context, group model.GroupID, upstream model.UpstreamID, fence uint64) error
}

// Sample is what an upstream says of itself.
type Sample struct {
	Primary bool
	// Term is the newest term that it leads or follows.
	Term uint32
	// Received is the number up to which it has received the log.
	Received model.LSN
}

// ErrBusy means that an upstream is there, but has no room to say more.
var ErrBusy = errors.New("the upstream has no room")

// ErrFull means that an upstream takes no further connection, or fails in the
// same way.
var ErrFull = errors.New("the upstream takes no further connection")

// Upstreams asks upstreams for their state.
type Upstreams interface {
	// Probe returns ErrBusy or ErrFull from an upstream without room.
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
	// AskRegion asks a peer that reads the store for others.
	AskRegion(ctx context.Context, reader model.InstanceID, question Question) (*Reply, error)
}

// Clock gives the time since the process's start. It goes on while the machine
// is suspended.
type Clock interface{ Now() time.Duration }

// Sign is what the path of statements has seen of a group's upstreams.
type Sign struct {
	// Primary is the upstream that answered as the primary of Generation to
	// what was sent at SentAt; empty if there was no such answer.
	Primary    model.UpstreamID
	Generation model.Generation
	SentAt     time.Duration
	Number     model.LSN
	// Suspects names the upstreams that do not answer, and Refusing those of
	// them that refuse connections and are not only full.
	Suspects []model.UpstreamID
	Refusing []model.UpstreamID
}

// Traffic is the path of statements.
type Traffic interface {
	// Publish puts a snapshot in force.
	Publish(snapshot *Snapshot)
	// Signs returns what was seen of a group's upstreams.
	Signs(group model.GroupID) Sign
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
	// Expected holds when a group that takes no writes is expected to do so.
	Expected map[model.GroupID]time.Duration
	// Instances is the number of instances that share the upstreams.
	Instances int
}
