package instance

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
)

// atomicFlag is a flag that is safe for concurrent use.
type atomicFlag struct{ flag atomic.Bool }

// set sets the flag, and isSet reports whether it is set.
func (f *atomicFlag) set()        { f.flag.Store(true) }
func (f *atomicFlag) isSet() bool { return f.flag.Load() }

// change sets or clears the flag.
func (f *atomicFlag) change(set bool) { f.flag.Store(set) }

// Times of a stop after the drain: how long it waits for the registration to be
// removed, which also bounds the export of spans, and the time between two
// checks.
const (
	deregisterWait         = time.Second
	deregisterPollInterval = 20 * time.Millisecond
)

// stop ends the instance gracefully: it marks the instance as leaving, refuses
// new sessions, waits until the work in flight has ended and removes the
// registration.
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

// waitUnregistered waits up to deregisterWait until the registration is removed.
// If it is not, the other instances remove it later.
func (i *Instance) waitUnregistered() {
	deadline := time.Now().Add(deregisterWait)
	for time.Now().Before(deadline) && i.loop.Snapshot().View.Registered {
		time.Sleep(deregisterPollInterval)
	}
}

// close closes the listeners and all parts.
func (i *Instance) close() {
	i.listeners.close()
	i.loop.Close()
	i.mesh.Close()
	i.pools.Close()
	i.prober.Close()
	i.platform.Close()
	_ = i.admin.Close()
	ctx, cancel := context.WithTimeout(context.Background(), deregisterWait)
	defer cancel()
	_ = i.tracer.Shutdown(ctx)
}
