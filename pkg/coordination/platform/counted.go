package platform

import (
	"context"
	"strings"
	"time"

	"gypsumdock/pkg/telemetry"
)

// CountedTable counts the calls to a table by mechanism, which is the part of
// a key before its first slash.
type CountedTable struct{ table Table }

// NewCountedTable returns table with its calls counted.
func NewCountedTable(table Table) CountedTable { return CountedTable{table: table} }

const (
	operationRead  = "read"
	operationWrite = "write"
	resultOK       = "ok"
	resultFailed   = "failed"
)

// Get counts and calls the table's Get.
func (c CountedTable) Get(ctx context.Context, key string) (*Row, error) {
	start := time.Now()
	row, err := c.table.Get(ctx, key)
	count(operationRead, key, start, err)
	return row, err
}

// List counts and calls the table's List.
func (c CountedTable) List(ctx context.Context, prefix string) ([]Row, error) {
	start := time.Now()
	rows, err := c.table.List(ctx, prefix)
	count(operationRead, prefix, start, err)
	return rows, err
}

// Commit counts and calls the table's Commit. A commit counts once, for the
// mechanism of its first write.
func (c CountedTable) Commit(ctx context.Context, opID string, writes []Write) (CommitResult, error) {
	start := time.Now()
	result, err := c.table.Commit(ctx, opID, writes)
	if len(writes) > 0 {
		count(operationWrite, writes[0].Key, start, err)
	}
	return result, err
}

func count(operation, key string, start time.Time, err error) {
	mechanism, _, _ := strings.Cut(key, "/")
	result := resultOK
	if err != nil {
		result = resultFailed
	}
	telemetry.PlatformCalls.With(operation, mechanism, result).Inc()
	telemetry.PlatformSeconds.With(operation).UpdateDuration(start)
}
