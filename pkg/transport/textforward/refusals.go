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

// Allow reports whether a unit of the group may be sent to a server: it has not
// refused the group's units lately, or the unit is the trial that finds out whether
// it still does. The result of a unit that was let through must be told to Refused
// or Answered.
func (f *Forwarder) Allow(server model.InstanceID, group model.GroupID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.breaker.Allow(f.balancer.now(), breaker.Key{Server: server, Group: group})
}

// Refused records that a server has refused a unit of the group, or has not answered.
// Further units go to it only as trials.
func (f *Forwarder) Refused(server model.InstanceID, group model.GroupID, reason string) {
	f.mu.Lock()
	opened := f.breaker.Refused(f.balancer.now(), breaker.Key{Server: server, Group: group})
	f.mu.Unlock()
	if opened {
		f.refusedLog.Log(context.Background(), f.logger,
			slog.String("server", string(server)), slog.String("group", string(group)), slog.String("reason", reason))
	}
}

// Answered records that a server has taken a unit of the group.
func (f *Forwarder) Answered(server model.InstanceID, group model.GroupID) {
	f.mu.Lock()
	closed := f.breaker.Answered(breaker.Key{Server: server, Group: group})
	if closed {
		f.announce()
	}
	f.mu.Unlock()
	if closed {
		f.acceptedLog.Log(context.Background(), f.logger, slog.String("server", string(server)), slog.String("group", string(group)))
	}
}

// AwaitServer waits until a unit of the group may be sent to one of the servers:
// another one serves the group, one has taken a unit again, or a trial is due. It
// returns false if that does not happen before the given time, or if ctx ends.
func (f *Forwarder) AwaitServer(ctx context.Context, group model.GroupID, servers []model.InstanceID, until time.Time) bool {
	f.mu.Lock()
	news := f.news
	now := f.balancer.now()
	trialAt, found := f.breaker.NextTrial(now, group, servers)
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
