package platform

import (
	"context"
	"strings"
	"time"

	"gypsumdock/pkg/telemetry"
)

// CountedTable is a Table that records metrics of the calls to another one. Calls
// are counted by mechanism, the part of a key before its first slash.
type CountedTable struct{ table Table }

// NewCountedTable returns a CountedTable that passes calls on to table.
func NewCountedTable(table Table) CountedTable { return CountedTable{table: table} }

// Label values.
const (
	operationRead  = "read"
	operationWrite = "write"
	resultOK       = "ok"
	resultFailed   = "failed"
)

// Get calls the table's Get and counts it.
func (c CountedTable) Get(ctx context.Context, key string) (*Row, error) {
	start := time.Now()
	row, err := c.table.Get(ctx, key)
	count(operationRead, key, start, err)
	return row, err
}

// List calls the table's List and counts it.
func (c CountedTable) List(ctx context.Context, prefix string) ([]Row, error) {
	start := time.Now()
	rows, err := c.table.List(ctx, prefix)
	count(operationRead, prefix, start, err)
	return rows, err
}

// Commit calls the table's Commit and counts it once, for the mechanism of its first
// write.
func (c CountedTable) Commit(ctx context.Context, opID string, writes []Write) (CommitResult, error) {
	start := time.Now()
	result, err := c.table.Commit(ctx, opID, writes)
	if len(writes) > 0 {
		count(operationWrite, writes[0].Key, start, err)
	}
	return result, err
}

// count records the result and the duration of one call.
func count(operation, key string, start time.Time, err error) {
	mechanism, _, _ := strings.Cut(key, "/")
	result := resultOK
	if err != nil {
		result = resultFailed
	}
	telemetry.PlatformCalls.With(operation, mechanism, result).Inc()
	telemetry.PlatformSeconds.With(operation).UpdateDuration(start)
}
