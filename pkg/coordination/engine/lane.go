package engine

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/verdict"
)

// latencyWeight is the weight of a new latency in the usual one.
const latencyWeight = 8

// lane limits the statements that this instance runs on one upstream at once.
type lane struct {
	mu      sync.Mutex
	slots   int
	running int
	queue   []chan struct{}
	latency time.Duration
}

func newLane(slots int) *lane { return &lane{slots: slots} }

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
	l.slots = slots
	l.grant()
}

// enter waits for a slot until ctx ends.
func (l *lane) enter(ctx context.Context, u *unit) *verdict.Error {
	l.mu.Lock()
	if l.running < l.slots && len(l.queue) == 0 {
		l.running++
		l.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	l.queue = append(l.queue, turn)
	l.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		return l.giveUp(turn, u)
	}
}

// giveUp takes a waiter out of the queue. If its turn came meanwhile, the slot
// goes to the next.
func (l *lane) giveUp(turn chan struct{}, u *unit) *verdict.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-turn:
		l.running--
		l.grant()
	default:
		l.remove(turn)
	}
	return verdict.New(verdict.Overloaded, verdict.NotRun,
		"no slot of the upstream became free within the deadline").WithRetryAfter(u.engine.advice())
}

func (l *lane) remove(turn chan struct{}) {
	for i, waiting := range l.queue {
		if waiting == turn {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return
		}
	}
}

// leave gives back a slot.
func (l *lane) leave(r traffic.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if r.Outcome == verdict.Ran {
		l.latency += (r.Latency - l.latency) / latencyWeight
	}
	l.grant()
}

// grant gives free slots to those who wait. l.mu is held.
func (l *lane) grant() {
	for l.running < l.slots && len(l.queue) > 0 {
		close(l.queue[0])
		l.queue = l.queue[1:]
		l.running++
	}
}

func (l *lane) outstanding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running + len(l.queue)
}

func (l *lane) load() (time.Duration, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency, l.slots
}
