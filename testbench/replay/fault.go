package replay

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/platformd"
	"gypsumdock/testbench/trace"
	"gypsumdock/testbench/upstreamd"
)

// upstreamActions maps the faults of upstreams to the stand-in's.
var upstreamActions = map[trace.Do]upstreamd.Action{
	trace.DoKill:    upstreamd.ActionKill,
	trace.DoRevive:  upstreamd.ActionRevive,
	trace.DoFollow:  upstreamd.ActionFollow,
	trace.DoLag:     upstreamd.ActionLag,
	trace.DoStick:   upstreamd.ActionStick,
	trace.DoUnstick: upstreamd.ActionUnstick,
}

func (p *player) fault(ctx context.Context, event trace.Event) error {
	if action, known := upstreamActions[event.Do]; known {
		return p.upstreamFault(ctx, event, action)
	}
	switch event.Do {
	case trace.DoPlatform:
		return p.cluster.Platform.SetFaults(ctx, platformd.Faults{
			Down: event.Platform.Down, BeforeMS: event.Platform.DelayMS, LoseCommits: event.Platform.LoseCommits,
		})
	case trace.DoStart:
		return p.startInstance(ctx, event)
	}
	return p.instanceFault(ctx, event)
}

func (p *player) upstreamFault(ctx context.Context, event trace.Event, action upstreamd.Action) error {
	names, err := p.upstreams(ctx, event)
	if err != nil {
		return err
	}
	for _, name := range names {
		fault := upstreamd.Fault{Group: event.Group, Upstream: name, Action: action, LagMS: event.LagMS}
		if err = p.cluster.Upstreams.Apply(ctx, fault); err != nil {
			return err
		}
	}
	if action == upstreamd.ActionKill && event.Upstream == trace.UpstreamPrimary {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.losses = append(p.losses, loss{group: event.Group, at: time.Now()})
	}
	return nil
}

// upstreams returns the IDs of the upstreams that the event names.
func (p *player) upstreams(ctx context.Context, event trace.Event) ([]string, error) {
	if event.Upstream != trace.UpstreamPrimary && event.Upstream != trace.UpstreamReplicas {
		return []string{event.Upstream}, nil
	}
	primary, err := p.cluster.Primary(ctx, event.Group)
	if err != nil {
		return nil, err
	}
	if event.Upstream == trace.UpstreamPrimary {
		return []string{primary}, nil
	}
	var replicas []string
	for _, group := range p.cluster.Layout.Groups {
		for _, upstream := range group.Upstreams {
			if group.ID == event.Group && upstream.ID != primary {
				replicas = append(replicas, upstream.ID)
			}
		}
	}
	return replicas, nil
}

// startInstance adds an instance; it takes requests once it is ready.
func (p *player) startInstance(ctx context.Context, event trace.Event) error {
	dataCentres := p.cluster.Profile().DataCentres
	p.mu.Lock()
	instance, err := p.cluster.StartInstance(ctx, dataCentres[event.Via%len(dataCentres)])
	p.mu.Unlock()
	if err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err = instance.WaitReady(ready); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = append(p.running, instance)
	return nil
}

func (p *player) instanceFault(ctx context.Context, event trace.Event) error {
	instance, err := p.instance(event)
	if err != nil {
		return err
	}
	switch event.Do {
	case trace.DoFreeze:
		return instance.Freeze()
	case trace.DoThaw:
		return instance.Thaw()
	case trace.DoCrash:
		return instance.Kill()
	}
	if err = p.cluster.Unlist(ctx, instance); err != nil {
		return err
	}
	if err = instance.Terminate(); err != nil {
		return err
	}
	if code := instance.ExitCode(); code != 0 {
		return errors.Errorf("%s exited with %d", instance.ID, code)
	}
	return nil
}

// instance returns the instance that the event names. One that stops or
// crashes gets no further requests, as the balancer sees to it.
func (p *player) instance(event trace.Event) (*cluster.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if event.Via >= len(p.running) {
		return nil, errors.Errorf("no instance %d", event.Via)
	}
	instance := p.running[event.Via]
	if event.Do == trace.DoStop || event.Do == trace.DoCrash {
		p.running = slices.Delete(p.running, event.Via, event.Via+1)
	}
	return instance, nil
}
