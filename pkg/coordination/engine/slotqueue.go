package engine

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/admission"
	"gypsumdock/pkg/verdict"
)

// latencyWeight is the weight of past latencies in the usual one.
const latencyWeight = 8

// lane limits the units that this instance runs on one upstream at once. It
// wraps an admission queue for the goroutines of traffic.
type lane struct {
	engine *Engine

	// mu guards the fields below.
	mu    sync.Mutex
	queue *admission.Queue
	// waiting holds the turns of the units in the queue.
	waiting map[admission.UnitID]chan admission.Decision
	last    admission.UnitID
	latency time.Duration
}

func newLane(e *Engine, slots int) *lane {
	return &lane{
		engine:  e,
		queue:   admission.New(admission.DefaultConfig(slots)),
		waiting: make(map[admission.UnitID]chan admission.Decision),
	}
}

// resize shares each upstream's slots between the members.
func (e *Engine) resize(snapshot *control.Snapshot) {
	members := max(len(snapshot.View.Members), 1)
	for i := range snapshot.Bundle.Groups {
		for _, upstream := range snapshot.Bundle.Groups[i].Upstreams {
			share := (upstream.Slots + members - 1) / members
			e.lane(upstream.ID).resize(max(share, 1))
		}
	}
}

func (l *lane) resize(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Limit() == slots {
		return
	}
	l.queue.SetLimit(slots)
	l.settle(l.queue.Expire(l.now(), l.engine.config.Random()))
}

func (l *lane) now() time.Duration { return l.engine.config.Clock.Now() }

// enter waits for a slot until ctx ends, and returns the unit's ID there.
func (l *lane) enter(ctx context.Context, u *unit) (admission.UnitID, *verdict.Error) {
	id, turn := l.arrive(u)
	select {
	case outcome := <-turn:
		return id, outcome.Refusal
	case <-ctx.Done():
		return id, l.giveUp(id, turn)
	}
}

// arrive puts a unit into the queue.
func (l *lane) arrive(u *unit) (admission.UnitID, <-chan admission.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	id := l.last
	turn := make(chan admission.Decision, 1)
	l.waiting[id] = turn
	now := l.now()
	arrival := admission.Unit{
		ID:         id,
		Caller:     u.statement.Caller,
		Connection: admission.ConnectionID(u.statement.Connection),
		Weight:     u.weight(),
		Arrived:    now,
		Deadline:   now + time.Until(u.deadline),
	}
	l.settle(l.queue.Submit(now, arrival, l.engine.config.Random()))
	return id, turn
}

// giveUp takes a unit out of the queue whose deadline passed or whose caller
// has gone. A slot that it got meanwhile goes to the next.
func (l *lane) giveUp(id admission.UnitID, turn <-chan admission.Decision) *verdict.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case outcome := <-turn:
		if outcome.Admitted() {
			l.settle(l.queue.Release(l.now(), id, l.engine.config.Random()))
		}
	default:
		delete(l.waiting, id)
		l.queue.Cancel(id)
	}
	return verdict.New(verdict.DeadlineExceeded, verdict.NotRun,
		"no slot of the upstream became free within the deadline").WithRetryAfter(l.engine.advice())
}

// note takes the latency of a unit that was executed.
func (l *lane) note(r traffic.Result) {
	if r.Outcome != verdict.Ran {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency += (r.Latency - l.latency) / latencyWeight
}

// leave gives back a slot.
func (l *lane) leave(id admission.UnitID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(l.queue.Release(l.now(), id, l.engine.config.Random()))
}

// settle gives their turn to units that got a slot or were refused. l.mu is
// held.
func (l *lane) settle(outcomes []admission.Decision) {
	for _, outcome := range outcomes {
		turn, found := l.waiting[outcome.ID]
		if !found {
			continue
		}
		delete(l.waiting, outcome.ID)
		turn <- outcome
	}
}

func (l *lane) outstanding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running() + l.queue.Queued()
}

func (l *lane) load() (latency time.Duration, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency, l.queue.Limit()
}

// weight returns the caller's share relative to others.
func (u *unit) weight() int {
	caller, found := u.engine.Bundle().Caller(u.statement.Caller)
	if !found {
		return 1
	}
	return caller.Weight
}
