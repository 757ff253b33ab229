package control

import (
	"context"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// probers runs one prober for each upstream of the active configuration.
type probers struct {
	loop    *Loop
	running map[model.UpstreamID]prober
}

// prober is the goroutine that probes an upstream. group and login are those it
// was started with.
type prober struct {
	group  model.GroupID
	login  bundle.Login
	cancel context.CancelFunc
	// trigger requests a probe before the interval has passed.
	trigger chan struct{}
}

func newProbers(loop *Loop) *probers {
	return &probers{loop: loop, running: make(map[model.UpstreamID]prober)}
}

// setBundle starts and stops probers so that they match the bundle.
func (p *probers) setBundle(current *bundle.Bundle) {
	wanted := make(map[model.UpstreamID]bool)
	for i := range current.Groups {
		group := &current.Groups[i]
		for j := range group.Upstreams {
			wanted[group.Upstreams[j].ID] = true
			p.ensureProber(group, &group.Upstreams[j])
		}
	}
	for id, running := range p.running {
		if !wanted[id] {
			running.cancel()
			delete(p.running, id)
		}
	}
}

// ensureProber starts the prober of an upstream, and restarts it if the login
// has changed.
func (p *probers) ensureProber(group *bundle.Group, upstream *bundle.Upstream) {
	if running, exists := p.running[upstream.ID]; exists {
		if running.login == group.Login(upstream) {
			return
		}
		running.cancel()
	}
	ctx, cancel := context.WithCancel(p.loop.ctx)
	started := prober{
		group:   group.ID,
		login:   group.Login(upstream),
		cancel:  cancel,
		trigger: make(chan struct{}, 1),
	}
	p.running[upstream.ID] = started
	p.loop.tasks.Go(func() { p.loop.probeUpstream(ctx, group, upstream, started.trigger) })
}

// triggerGroup requests an immediate probe of every upstream of the group.
func (p *probers) triggerGroup(group model.GroupID) {
	for _, running := range p.running {
		if running.group != group {
			continue
		}
		select {
		case running.trigger <- struct{}{}:
		default:
		}
	}
}

func (p *probers) stop() {
	for _, running := range p.running {
		running.cancel()
	}
}

// probeUpstream probes an upstream at each interval and on each trigger, until
// ctx ends.
func (l *Loop) probeUpstream(
	ctx context.Context, group *bundle.Group, upstream *bundle.Upstream, trigger <-chan struct{},
) {
	ticker := time.NewTicker(l.config.ProbeInterval)
	defer ticker.Stop()
	for {
		l.post(probeInput{l.probeOnce(ctx, group, upstream)})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-trigger:
		}
	}
}

func (l *Loop) probeOnce(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) failover.Probed {
	ctx, cancel := context.WithTimeout(ctx, l.config.ProbeTimeout)
	defer cancel()
	probed := failover.Probed{Group: group.ID, Upstream: upstream.ID, StartedAt: l.now()}
	sample, err := l.config.Upstreams.Probe(ctx, group, upstream)
	if err != nil {
		return probed
	}
	probed.Reachable = true
	probed.Timeline = sample.Timeline
	probed.Recovering = sample.Recovering
	probed.LSN = sample.LSN
	probed.Follows = upstreamByAddress(group, sample)
	return probed
}

// upstreamByAddress returns the upstream that a replica streams from, or "" if
// it is not known.
func upstreamByAddress(group *bundle.Group, sample Sample) model.UpstreamID {
	if !sample.Follows.IsValid() {
		return ""
	}
	address := sample.Follows.String()
	for _, candidate := range group.Upstreams {
		if candidate.Address == address {
			return candidate.ID
		}
	}
	return ""
}
