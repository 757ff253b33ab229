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
	// failuresUntilDown is the number of calls that fail one after another
	// before the platform counts as unreachable.
	failuresUntilDown = 3
	slowInterval      = 10 * time.Second
)

// WatchedTable logs what goes wrong with a table: when it becomes unreachable
// and reachable again, slow calls, malformed answers and lost answers. It is
// safe for concurrent use.
type WatchedTable struct {
	table  Table
	logger *slog.Logger
	slow   time.Duration
	now    func() time.Time

	slowCalls  *events.Throttle
	badAnswers *events.Throttle

	mu       sync.Mutex
	failures int
}

// NewWatchedTable returns table with its faults logged; a call counts as slow above
// half of timeout.
func NewWatchedTable(table Table, logger *slog.Logger, timeout time.Duration) *WatchedTable {
	return &WatchedTable{
		table:      table,
		logger:     logger,
		slow:       timeout / 2,
		now:        time.Now,
		slowCalls:  events.NewThrottle(events.PlatformSlow, slowInterval),
		badAnswers: events.NewThrottle(events.PlatformBadAnswer, slowInterval),
	}
}

// Get watches and calls the table's Get.
func (w *WatchedTable) Get(ctx context.Context, key string) (*Row, error) {
	start := w.now()
	row, err := w.table.Get(ctx, key)
	w.observe(ctx, start, err)
	return row, err
}

// List watches and calls the table's List.
func (w *WatchedTable) List(ctx context.Context, prefix string) ([]Row, error) {
	start := w.now()
	rows, err := w.table.List(ctx, prefix)
	w.observe(ctx, start, err)
	return rows, err
}

// Commit watches and calls the table's Commit.
func (w *WatchedTable) Commit(ctx context.Context, opID string, writes []Write) (CommitResult, error) {
	start := w.now()
	result, err := w.table.Commit(ctx, opID, writes)
	w.observe(ctx, start, err)
	if err != nil {
		events.Log(ctx, w.logger, events.CommitUnknown, slog.String("op", opID), slog.Any("error", err))
	}
	return result, err
}

func (w *WatchedTable) observe(ctx context.Context, start time.Time, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, ErrBadAnswer) {
		w.badAnswers.Log(ctx, w.logger, slog.Any("error", err))
	}
	if took := w.now().Sub(start); err == nil && took > w.slow {
		w.slowCalls.Log(ctx, w.logger, slog.Duration("took", took))
	}
	w.count(ctx, err)
}

// count logs the third failure in a row, and the first success after it.
func (w *WatchedTable) count(ctx context.Context, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failures++
		if w.failures == failuresUntilDown {
			events.Log(ctx, w.logger, events.PlatformUnreachable, slog.Any("error", err))
		}
		return
	}
	if w.failures >= failuresUntilDown {
		events.Log(ctx, w.logger, events.PlatformRecovered)
	}
	w.failures = 0
}
