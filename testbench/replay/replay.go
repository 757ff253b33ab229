// Package replay runs a recorded trace against a cluster of processes and
// checks the outcomes that the trace states.
package replay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/history"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/trace"
)

// readyTimeout bounds the wait for an instance that was started.
const readyTimeout = 30 * time.Second

// queueLength bounds the requests of a session that wait for earlier ones.
const queueLength = 100_000

// player runs one trace.
type player struct {
	cluster *cluster.Cluster
	trace   *trace.Trace
	policy  caller.Policy
	start   time.Time

	log      history.Log
	sessions map[string]chan trace.Event
	work     errgroup.Group
	faults   errgroup.Group

	mu        sync.Mutex
	running   []*cluster.Instance
	databases map[string]string
	requests  []caller.Request
	losses    []loss
}

// loss is the loss of a group's primary.
type loss struct {
	group string
	at    time.Time
}

// Run replays t on c, whose instances must be ready.
func Run(ctx context.Context, c *cluster.Cluster, t *trace.Trace) (*Result, error) {
	p := &player{
		cluster:   c,
		trace:     t,
		policy:    caller.DefaultPolicy(),
		sessions:  make(map[string]chan trace.Event),
		running:   append([]*cluster.Instance(nil), c.Instances...),
		databases: make(map[string]string),
	}
	for _, group := range c.Profile().Groups {
		p.databases[group.ID] = group.Database
	}
	p.start = time.Now()
	err := p.play(ctx)
	for _, queue := range p.sessions {
		close(queue)
	}
	err = errors.Join(err, p.faults.Wait(), p.work.Wait())
	if err != nil {
		return nil, err
	}
	return p.result(ctx)
}

func (p *player) play(ctx context.Context) error {
	for _, event := range p.trace.Events {
		due := p.start.Add(event.At() / time.Duration(p.trace.Header.Scale))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if event.IsRequest() {
			if err := p.enqueue(ctx, event); err != nil {
				return err
			}
			continue
		}
		p.faults.Go(func() error {
			if err := p.fault(ctx, event); err != nil {
				return errors.Wrapf(err, "%s at %d ms", event.Do, event.AtMS)
			}
			return nil
		})
	}
	return nil
}

// enqueue hands a request to its session, which runs them in their order.
func (p *player) enqueue(ctx context.Context, event trace.Event) error {
	queue, known := p.sessions[event.Session]
	if !known {
		as, err := p.callerNamed(event.Caller)
		if err != nil {
			return err
		}
		queue = make(chan trace.Event, queueLength)
		p.sessions[event.Session] = queue
		session := caller.New(event.Session, as, p.cluster.Profile().Routes, &p.log)
		p.work.Go(func() error {
			defer session.Close()
			for next := range queue {
				p.request(ctx, session, next)
			}
			return nil
		})
	}
	queue <- event
	return nil
}

func (p *player) callerNamed(name string) (profile.Caller, error) {
	for _, each := range p.cluster.Profile().Callers {
		if each.Name == name {
			return each, nil
		}
	}
	return profile.Caller{}, errors.Errorf("no caller %q", name)
}

func (p *player) request(ctx context.Context, session *caller.Session, event trace.Event) {
	kinds := map[trace.Do]history.Kind{
		trace.DoWrite: history.KindWrite, trace.DoOnce: history.KindOnce,
		trace.DoFresh: history.KindFresh, trace.DoAged: history.KindAged,
	}
	request := session.Do(ctx, kinds[event.Do], event.Key, p.policy, func(attempt int) (caller.Target, bool) {
		return p.target(event, attempt)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, request)
}

// target picks the instance of an attempt: the event's, then the next ones.
func (p *player) target(event trace.Event, attempt int) (caller.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.running) == 0 {
		return caller.Target{}, false
	}
	instance := p.running[(event.Via+attempt)%len(p.running)]
	return caller.Target{
		Address: instance.ToCallers.Address(), Group: event.Group, Database: p.databases[event.Group],
	}, true
}
