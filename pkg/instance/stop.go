package instance

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
)

// stopFlag is set once a stop began.
type stopFlag struct{ flag atomic.Bool }

func (f *stopFlag) set()        { f.flag.Store(true) }
func (f *stopFlag) isSet() bool { return f.flag.Load() }

// change sets or clears the flag.
func (f *stopFlag) change(set bool) { f.flag.Store(set) }

// Times of a stop, within the drain timeout.
const (
	finishWait     = time.Second
	finishInterval = 20 * time.Millisecond
)

// stop ends the instance gracefully: it is marked as leaving, new sessions are
// refused, what is in flight ends, and then the registration is removed.
func (i *Instance) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.Stop.DrainTimeout)
	defer cancel()
	i.stopping.set()
	events.Log(ctx, i.logger, events.StopStarted)
	i.loop.Leave()
	err := i.front.Shutdown(ctx)
	if err != nil {
		events.Log(ctx, i.logger, events.StopTimedOut, slog.Any("error", err))
	} else {
		events.Log(ctx, i.logger, events.StopDrained)
	}
	i.loop.Deregister()
	i.waitUnregistered()
	i.close()
	events.Log(context.Background(), i.logger, events.InstanceStopped)
	if err != nil {
		return errors.Wrap(err, "stop")
	}
	return nil
}

// waitUnregistered waits a short while until the registration is gone. The
// other instances remove it otherwise.
func (i *Instance) waitUnregistered() {
	deadline := time.Now().Add(finishWait)
	for time.Now().Before(deadline) && i.loop.Snapshot().View.Registered {
		time.Sleep(finishInterval)
	}
}

// close ends all parts.
func (i *Instance) close() {
	i.listeners.close()
	i.loop.Close()
	i.mesh.Close()
	i.pools.Close()
	i.prober.Close()
	i.platform.Close()
	_ = i.admin.Close()
	ctx, cancel := context.WithTimeout(context.Background(), finishWait)
	defer cancel()
	_ = i.tracer.Shutdown(ctx)
}
