package region

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/hedge"
	"gypsumdock/pkg/events"
)

// Timeouts and intervals of following a table.
const (
	// configurationMaxWait and databasesMaxWait bound one wait for a change. A
	// connection may hang for good while the store serves others, so they stay
	// well below the time within which a change must take effect.
	configurationMaxWait = 700 * time.Millisecond
	databasesMaxWait     = 1500 * time.Millisecond

	minRetryDelay        = 50 * time.Millisecond
	maxRetryDelay        = time.Second
	maxInitialRetryDelay = 150 * time.Millisecond
	// followPollInterval is the time between two checks whether this instance
	// has to follow the tables again.
	followPollInterval = 100 * time.Millisecond
)

// storeReadPolicy repeats a read of the store that gets no answer. Requests that
// were sent during an outage may stay without one after its end.
var storeReadPolicy = hedge.Policy{Interval: 250 * time.Millisecond, MaxAttempts: 8}

// tableFeed is the feed of a table, with what follow needs to know of it.
type tableFeed struct {
	name string
	feed Feed
	// maxWait bounds one wait of the feed for a change.
	maxWait time.Duration
	// answeredAt is set to the time of the newest answer of the store, in
	// nanoseconds of the loop's clock.
	answeredAt *atomic.Int64
	// deliverAll is set if answers without a change are delivered too.
	deliverAll bool
}

// tableChange is the result of one request to a feed.
type tableChange struct {
	entries []Entry
	// complete is set if entries holds all rows of the table.
	complete bool
	// version is the version at which the entries were read.
	version int64
	// startedAt is when the request was sent, on the loop's clock.
	startedAt time.Duration
}

// follow reads a table and then waits for its changes, until the loop is
// closed. It passes them to deliver, in order. It pauses while a peer follows
// the table for this instance.
func (l *Loop) follow(table tableFeed, deliver func(tableChange)) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = minRetryDelay
	retryBackoff.MaxInterval = maxRetryDelay
	version := int64(-1)
	failing := false
	for l.ctx.Err() == nil {
		if !l.followsTables.Load() {
			version = -1
			sleep(l.ctx, followPollInterval)
			continue
		}
		startedAt := l.now()
		changed, err := table.next(l.ctx, version)
		if err == nil && table.deliverAll && changed.version < version {
			// The store has gone back to an earlier state, so that changes after it
			// may be missed.
			err = ErrHistoryGone
		}
		if errors.Is(err, ErrHistoryGone) {
			events.Log(l.ctx, l.config.Logger, events.TableHistoryGone, slog.String("table", table.name))
			version = -1
			sleep(l.ctx, minRetryDelay)
			continue
		}
		if err != nil {
			if !failing {
				events.Log(l.ctx, l.config.Logger, events.TableFeedLost,
					slog.String("table", table.name), slog.Any("error", err))
			}
			failing = true
			sleep(l.ctx, retryDelay(retryBackoff.NextBackOff(), version))
			continue
		}
		if failing {
			events.Log(l.ctx, l.config.Logger, events.TableFeedRegained, slog.String("table", table.name))
			failing = false
		}
		retryBackoff.Reset()
		version = changed.version
		changed.startedAt = startedAt
		table.answeredAt.Store(int64(l.now()))
		if table.deliverAll || changed.complete || len(changed.entries) > 0 {
			deliver(changed)
		}
		if table.deliverAll && !changed.complete && slices.ContainsFunc(changed.entries, isUnreadable) {
			// A complete read tells whether the row was that of the configuration.
			version = -1
			sleep(l.ctx, minRetryDelay)
		}
	}
}

func isUnreadable(entry Entry) bool { return entry.Unreadable }

// retryDelay returns the delay after a failure. It stays short until the table
// was read once, since no statement can be served before.
func retryDelay(next time.Duration, version int64) time.Duration {
	if version < 0 {
		return min(next, maxInitialRetryDelay)
	}
	return next
}

// next reads the complete table if version is negative, and otherwise waits for
// changes after version.
func (f tableFeed) next(ctx context.Context, version int64) (tableChange, error) {
	if version < 0 {
		return hedge.Do(ctx, storeReadPolicy, func(ctx context.Context) (tableChange, error) {
			entries, next, err := f.feed.Read(ctx)
			return tableChange{entries: entries, complete: true, version: next}, err
		})
	}
	entries, next, err := f.feed.Next(ctx, version, f.maxWait)
	return tableChange{entries: entries, version: next}, err
}

// sleep waits for delay, or until ctx ends.
func sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
