package events

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// SuppressedKey is the attribute that carries the number of logs of an event
// that a Throttle left out since the one before.
const SuppressedKey = "suppressed"

// Throttle logs an event at most once in an interval, so that a fault that
// many requests meet does not fill the log. All are counted. It is safe for
// concurrent use; its zero value must not be used.
type Throttle struct {
	event      Event
	interval   time.Duration
	now        func() time.Time
	next       atomic.Int64
	suppressed atomic.Uint64
}

// NewThrottle returns a throttle of event.
func NewThrottle(event Event, interval time.Duration) *Throttle {
	return &Throttle{event: event, interval: interval, now: time.Now}
}

// Log logs the event, or only counts it.
func (t *Throttle) Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr) {
	now := t.now().UnixNano()
	next := t.next.Load()
	if now < next || !t.next.CompareAndSwap(next, now+int64(t.interval)) {
		t.event.logged.Inc()
		t.suppressed.Add(1)
		return
	}
	if left := t.suppressed.Swap(0); left > 0 {
		attrs = append(attrs, slog.Uint64(SuppressedKey, left))
	}
	Log(ctx, logger, t.event, attrs...)
}
