package observe

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/model"
)

// calmAfter is the time without a refusal after which an overload has ended.
const calmAfter = 10 * time.Second

// overload logs when units of a group begin to be refused, and when that is
// over. It is safe for concurrent use.
type overload struct {
	active atomic.Bool
	// last is the time of the last refusal, in nanoseconds.
	last atomic.Int64
}

func (o *overload) refused(ctx context.Context, e *Engine, group model.GroupID) {
	o.last.Store(e.now().UnixNano())
	if o.active.CompareAndSwap(false, true) {
		events.Log(ctx, e.logger, events.Overloaded, slog.String("group", string(group)))
	}
}

// admitted is called for each unit that is let in; it reads the clock only
// during an overload.
func (o *overload) admitted(ctx context.Context, e *Engine, group model.GroupID) {
	if !o.active.Load() || e.now().UnixNano()-o.last.Load() < int64(calmAfter) {
		return
	}
	if o.active.CompareAndSwap(true, false) {
		events.Log(ctx, e.logger, events.OverloadEnded, slog.String("group", string(group)))
	}
}
