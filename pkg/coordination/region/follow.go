package region

import (
	"context"
	"log/slog"
	"sync/atomic"
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
	configurationWait = 700 * time.Millisecond
	databasesWait     = 1500 * time.Millisecond

	firstFeedPause = 50 * time.Millisecond
	lastFeedPause  = time.Second
	emptyFeedPause = 150 * time.Millisecond
	// restPause is the time between two looks whether to follow again.
	restPause = 100 * time.Millisecond
)

// followed is a table that is followed.
type followed struct {
	name string
	feed Feed
	// wait bounds the wait of the feed for a change.
	wait time.Duration
	// seen is set to the time of the newest answer of the store.
	seen *atomic.Int64
}

// tableChanged is what the follower of a table found.
type tableChanged struct {
	entries []Entry
	// whole is set when entries are all rows of the table.
	whole bool
	// version is that at which the entries were read.
	version int64
}

// follow reads a table and then waits for its changes, until the loop is
// closed. It hands them to deliver, in order. It rests while a peer follows the
// table for this instance.
func (l *Loop) follow(table followed, deliver func(tableChanged)) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstFeedPause
	pauses.MaxInterval = lastFeedPause
	version := int64(-1)
	lost := false
	for l.ctx.Err() == nil {
		if !l.following.Load() {
			version = -1
			wait(l.ctx, restPause)
			continue
		}
		changed, err := table.step(l.ctx, version)
		if errors.Is(err, ErrHistoryGone) {
			events.Log(l.ctx, l.config.Logger, events.TableHistoryGone, slog.String("table", table.name))
			version = -1
			wait(l.ctx, firstFeedPause)
			continue
		}
		if err != nil {
			if !lost {
				events.Log(l.ctx, l.config.Logger, events.TableFeedLost,
					slog.String("table", table.name), slog.Any("error", err))
			}
			lost = true
			wait(l.ctx, pause(pauses.NextBackOff(), version))
			continue
		}
		if lost {
			events.Log(l.ctx, l.config.Logger, events.TableFeedRegained, slog.String("table", table.name))
			lost = false
		}
		pauses.Reset()
		version = changed.version
		table.seen.Store(int64(l.now()))
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
func (f followed) step(ctx context.Context, version int64) (tableChanged, error) {
	if version < 0 {
		entries, next, err := f.feed.Read(ctx)
		return tableChanged{entries: entries, whole: true, version: next}, err
	}
	entries, next, err := f.feed.Next(ctx, version, f.wait)
	return tableChanged{entries: entries, version: next}, err
}

// wait waits for a time, or until ctx ends.
func wait(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
