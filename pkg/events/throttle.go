package events

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// SuppressedKey is the key of the log attribute with the number of log lines that
// a Throttle has suppressed since the previous line.
const SuppressedKey = "suppressed"

// Throttle logs an event at most once per interval, so that a fault that affects
// many requests does not fill the log. The event's counter counts all
// occurrences. A Throttle is safe for concurrent use; its zero value must not be
// used.
type Throttle struct {
	event      Event
	interval   time.Duration
	now        func() time.Time
	next       atomic.Int64
	suppressed atomic.Uint64
}

// NewThrottle returns a Throttle for event.
func NewThrottle(event Event, interval time.Duration) *Throttle {
	return &Throttle{event: event, interval: interval, now: time.Now}
}

// Log logs the event, or only counts it if the interval has not passed.
func (t *Throttle) Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr) {
	now := t.now().UnixNano()
	next := t.next.Load()
	if now < next || !t.next.CompareAndSwap(next, now+int64(t.interval)) {
		t.event.logged.Inc()
		t.suppressed.Add(1)
		return
	}
	if suppressed := t.suppressed.Swap(0); suppressed > 0 {
		attrs = append(attrs, slog.Uint64(SuppressedKey, suppressed))
	}
	Log(ctx, logger, t.event, attrs...)
}
