package region

import (
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
)

// Times of following a table.
const (
	// configurationWait and databasesWait bound the wait for a change. A
	// connection may go silent for good while the store serves others, so they
	// stay well below the time in which a change has to be in force.
	configurationWait = time.Second
	databasesWait     = 2 * time.Second

	firstFeedPause = 50 * time.Millisecond
	lastFeedPause  = time.Second
	emptyFeedPause = 150 * time.Millisecond
)

// tableChanged is what the follower of a table found.
type tableChanged struct {
	entries []Entry
	// whole is set when entries are all rows of the table.
	whole bool
}

// follow reads a table and then waits for its changes until ctx ends. It hands
// them to deliver, in order.
func (l *Loop) follow(
	ctx context.Context, name string, feed Feed, longest time.Duration, deliver func(tableChanged),
) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstFeedPause
	pauses.MaxInterval = lastFeedPause
	version := int64(-1)
	lost := false
	for ctx.Err() == nil {
		changed, next, err := step(ctx, feed, version, longest)
		if errors.Is(err, ErrHistoryGone) {
			events.Log(ctx, l.config.Logger, events.TableHistoryGone, slog.String("table", name))
			version = -1
			continue
		}
		if err != nil {
			if !lost {
				events.Log(ctx, l.config.Logger, events.TableFeedLost, slog.String("table", name), slog.Any("error", err))
			}
			lost = true
			wait(ctx, pause(pauses.NextBackOff(), version))
			continue
		}
		if lost {
			events.Log(ctx, l.config.Logger, events.TableFeedRegained, slog.String("table", name))
			lost = false
		}
		pauses.Reset()
		version = next
		if changed.whole || len(changed.entries) > 0 {
			deliver(changed)
		}
	}
}

// pause returns the pause after a failure. It stays short while nothing is
// known of the table, since nothing can be served then.
func pause(next time.Duration, version int64) time.Duration {
	if version < 0 {
		return min(next, emptyFeedPause)
	}
	return next
}

// step reads the whole table, or waits for what has changed after the version.
func step(ctx context.Context, feed Feed, version int64, longest time.Duration) (tableChanged, int64, error) {
	if version < 0 {
		entries, next, err := feed.Read(ctx)
		return tableChanged{entries: entries, whole: true}, next, err
	}
	entries, next, err := feed.Next(ctx, version, longest)
	return tableChanged{entries: entries}, next, err
}

func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
