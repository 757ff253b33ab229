package platform

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
)

const (
	// unreachableAfterFailures is the number of consecutive failed calls after which
	// the platform is logged as unreachable.
	unreachableAfterFailures = 3
	// faultLogInterval is the least time between two log lines of slow calls, and of
	// malformed answers.
	faultLogInterval = 10 * time.Second
)

// WatchedTable is a Table that logs the faults of another one: when it becomes
// unreachable and reachable again, slow calls, malformed answers, and commits with
// an unknown outcome. It is safe for concurrent use.
type WatchedTable struct {
	table     Table
	logger    *slog.Logger
	slowAfter time.Duration
	now       func() time.Time

	slowCalls  *events.Throttle
	badAnswers *events.Throttle

	mu       sync.Mutex
	failures int
}

// NewWatchedTable returns a WatchedTable that passes calls on to table. A call is
// logged as slow if it takes more than half of timeout.
func NewWatchedTable(table Table, logger *slog.Logger, timeout time.Duration) *WatchedTable {
	return &WatchedTable{
		table:      table,
		logger:     logger,
		slowAfter:  timeout / 2,
		now:        time.Now,
		slowCalls:  events.NewThrottle(events.PlatformSlow, faultLogInterval),
		badAnswers: events.NewThrottle(events.PlatformAnswerMalformed, faultLogInterval),
	}
}

// Get calls the table's Get and logs faults.
func (w *WatchedTable) Get(ctx context.Context, key string) (*Row, error) {
	start := w.now()
	row, err := w.table.Get(ctx, key)
	w.observe(ctx, start, err)
	return row, err
}

// List calls the table's List and logs faults.
func (w *WatchedTable) List(ctx context.Context, prefix string) ([]Row, error) {
	start := w.now()
	rows, err := w.table.List(ctx, prefix)
	w.observe(ctx, start, err)
	return rows, err
}

// Commit calls the table's Commit and logs faults.
func (w *WatchedTable) Commit(ctx context.Context, opID string, writes []Write) (CommitResult, error) {
	start := w.now()
	result, err := w.table.Commit(ctx, opID, writes)
	w.observe(ctx, start, err)
	if err != nil {
		events.Log(ctx, w.logger, events.CommitUnknown, slog.String("op", opID), slog.Any("error", err))
	}
	return result, err
}

// observe logs the faults of one call. Calls that were cancelled by their caller do
// not count.
func (w *WatchedTable) observe(ctx context.Context, start time.Time, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, ErrBadAnswer) {
		w.badAnswers.Log(ctx, w.logger, slog.Any("error", err))
	}
	if took := w.now().Sub(start); err == nil && took > w.slowAfter {
		w.slowCalls.Log(ctx, w.logger, slog.Duration("took", took))
	}
	w.countFailures(ctx, err)
}

// countFailures counts consecutive failures. It logs the one at which the platform
// becomes unreachable, and the first success after it.
func (w *WatchedTable) countFailures(ctx context.Context, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failures++
		if w.failures == unreachableAfterFailures {
			events.Log(ctx, w.logger, events.PlatformUnreachable, slog.Any("error", err))
		}
		return
	}
	if w.failures >= unreachableAfterFailures {
		events.Log(ctx, w.logger, events.PlatformRecovered)
	}
	w.failures = 0
}
