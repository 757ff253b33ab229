package observe

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/model"
)

// overloadEndsAfter is the time without a refusal after which an overload is logged
// as ended.
const overloadEndsAfter = 10 * time.Second

// overload logs the begin and the end of an overload, in which units of a group are
// refused. It is safe for concurrent use.
type overload struct {
	active atomic.Bool
	// lastRefusal is the Unix time of the last refusal, in nanoseconds.
	lastRefusal atomic.Int64
}

// recordRefusal is called for each unit that is refused for overload.
func (o *overload) recordRefusal(ctx context.Context, e *Engine, group model.GroupID) {
	o.lastRefusal.Store(e.now().UnixNano())
	if o.active.CompareAndSwap(false, true) {
		events.Log(ctx, e.logger, events.Overloaded, slog.String("group", string(group)))
	}
}

// recordAdmission is called for each unit that is admitted. It reads the clock only
// during an overload, to keep the usual path cheap.
func (o *overload) recordAdmission(ctx context.Context, e *Engine, group model.GroupID) {
	if !o.active.Load() || e.now().UnixNano()-o.lastRefusal.Load() < int64(overloadEndsAfter) {
		return
	}
	if o.active.CompareAndSwap(true, false) {
		events.Log(ctx, e.logger, events.OverloadEnded, slog.String("group", string(group)))
	}
}
