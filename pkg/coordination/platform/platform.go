// Package platform defines and implements the client side of the platform's
// services: a transactional table, an object store and a list of instances.
// docs/PLATFORM.md describes the protocol.
package platform

import (
	"context"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

// Row is a row of the table.
type Row struct {
	Key     string           `json:"key"`
	Version model.RowVersion `json:"version"`
	Value   []byte           `json:"value"`
	// OpID is the operation ID of the commit that last wrote the row.
	OpID string `json:"op_id"`
}

// Write is one conditional write of a commit.
type Write struct {
	Key string `json:"key"`
	// IfVersion is the version that the row must have for the commit to be
	// applied. Zero means that the row must not exist.
	IfVersion model.RowVersion `json:"if_version"`
	Value     []byte           `json:"value,omitempty"`
	Delete    bool             `json:"delete,omitempty"`
}

// CommitResult is the answer to a commit.
type CommitResult struct {
	// Applied is false if a row did not have the expected version; then nothing was
	// written.
	Applied bool `json:"applied"`
	// Rows holds the rows after the commit in the order of the writes. A row that
	// does not exist is nil.
	Rows []*Row `json:"rows"`
}

// Table is the transactional table service. After an error from Commit its outcome
// is unknown; ResolveCommit finds it.
type Table interface {
	// Get returns nil for a row that does not exist.
	Get(ctx context.Context, key string) (*Row, error)
	// List returns the rows whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none. opID identifies the commit and must be
	// unique, except when the same commit is sent again.
	Commit(ctx context.Context, opID string, writes []Write) (CommitResult, error)
}

// ErrNoObject means that the object store has no object with the digest.
var ErrNoObject = errors.New("no such object")

// Objects is the object store, whose keys are the digests of the contents.
type Objects interface {
	// Put stores data and returns its lower-case hexadecimal SHA-256 digest.
	Put(ctx context.Context, data []byte) (string, error)
	// Get returns the object, verified against its digest, or ErrNoObject.
	Get(ctx context.Context, digest string) ([]byte, error)
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances, which may be out of
// date.
type Instance struct {
	ID         model.InstanceID `json:"id"`
	Address    string           `json:"address"`
	DataCentre model.DataCentre `json:"data_centre"`
	State      InstanceState    `json:"state"`
}

// Instances is the platform's list of instances.
type Instances interface {
	// Instances returns all entries of the list.
	Instances(ctx context.Context) ([]Instance, error)
}
