package textforward

import (
	"context"
	"log/slog"
	"time"

	"gypsumdock/pkg/state/breaker"
	"gypsumdock/pkg/state/model"
)

// refusalLogInterval is the minimum time between two log lines about servers that
// refuse a group, and about those that take one again.
const refusalLogInterval = time.Second

// minServerWait is the least time for which a unit waits before it is sent to the
// servers again. Those that cannot be reached are found so at no cost.
const minServerWait = 50 * time.Millisecond

// Allow reports whether a unit may be sent to a server: it has not refused such units
// lately, or the unit is the trial that finds out whether it still does.
func (f *Forwarder) Allow(key breaker.Key) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.breaker.Allow(f.balancer.now(), key)
}

// Refused records that a server has refused a unit, or has not answered. Further units
// like it go to the server only as trials.
func (f *Forwarder) Refused(key breaker.Key, reason string) {
	f.mu.Lock()
	opened := f.breaker.Refused(f.balancer.now(), key)
	f.mu.Unlock()
	if opened {
		f.refusedLog.Log(context.Background(), f.logger,
			slog.String("server", string(key.Server)), slog.String("group", string(key.Group)), slog.String("reason", reason))
	}
}

// Answered records that a server has taken a unit.
func (f *Forwarder) Answered(key breaker.Key) {
	f.mu.Lock()
	closed := f.breaker.Answered(key)
	if closed {
		f.announce()
	}
	f.mu.Unlock()
	if closed {
		f.acceptedLog.Log(context.Background(), f.logger, slog.String("server", string(key.Server)), slog.String("group", string(key.Group)))
	}
}

// AwaitServer waits until a unit of the group and class of key may be sent to one of
// the servers: another one serves the group, one has taken a unit again, or a trial is
// due. It returns false if that does not happen before the given time, or if ctx ends.
func (f *Forwarder) AwaitServer(ctx context.Context, key breaker.Key, servers []model.InstanceID, until time.Time) bool {
	f.mu.Lock()
	news := f.news
	now := f.balancer.now()
	trialAt, found := f.breaker.NextTrial(now, key, servers)
	f.mu.Unlock()
	wait := time.Until(until)
	if found {
		wait = min(wait, max(trialAt-now, minServerWait))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return time.Now().Before(until)
}

// announce wakes the units that wait for a server. f.mu is held.
func (f *Forwarder) announce() {
	close(f.news)
	f.news = make(chan struct{})
}
