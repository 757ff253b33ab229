// Package platform is the interface to the platform's services: a
// transactional table, an object store and a list of instances. The protocol
// stands in docs/PLATFORM.md.
package platform

import (
	"context"

	"gypsumdock/pkg/state/model"
)

// Row is a row of the table.
type Row struct {
	Key     string
	Version model.RowVersion
	Value   []byte
	// OpID is the operation ID of the row's last write.
	OpID string
}

// Write is one conditional write of a commit.
type Write struct {
	Key string
	// IfVersion is the version that the row must have; zero means that the
	// row must not exist.
	IfVersion model.RowVersion
	Value     []byte
	Delete    bool
}

// CommitResult is the answer to a commit.
type CommitResult struct {
	Applied bool
	// Rows holds the rows in the order of the writes, as written or, where
	// the commit was not applied, as they are. A row that does not exist is nil.
	Rows []*Row
}

// Table is the transactional table service. Any error from Commit leaves its
// outcome unknown; Settle finds it out.
type Table interface {
	// Get returns nil for a row that does not exist.
	Get(ctx context.Context, key string) (*Row, error)
	// List returns the rows whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none. opID names the operation and must be
	// unique.
	Commit(ctx context.Context, opID string, writes []Write) (CommitResult, error)
}

// Objects is the object store, keyed by content digest.
type Objects interface {
	// Put stores data and returns its lower-case hexadecimal SHA-256 digest.
	Put(ctx context.Context, data []byte) (string, error)
	// Get returns the object, verified against its digest.
	Get(ctx context.Context, digest string) ([]byte, error)
}

// InstanceState is the state that the platform's list gives to an instance.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list, which lags.
type Instance struct {
	ID         model.InstanceID
	Address    string
	DataCentre model.DataCentre
	State      InstanceState
}

// Instances is the platform's list of instances.
type Instances interface {
	Instances(ctx context.Context) ([]Instance, error)
}
