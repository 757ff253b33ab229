package control

import (
	"context"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// probes runs one goroutine for each upstream of the configuration in force.
type probes struct {
	loop    *Loop
	running map[model.UpstreamID]probe
}

// probe is the goroutine of one upstream, and what it was started with.
type probe struct {
	group  model.GroupID
	login  bundle.Login
	cancel context.CancelFunc
	// now asks for a probe before the interval has passed.
	now chan struct{}
}

func newProbes(loop *Loop) *probes {
	return &probes{loop: loop, running: make(map[model.UpstreamID]probe)}
}

// set starts and stops goroutines so that they match the bundle.
func (p *probes) set(current *bundle.Bundle) {
	wanted := make(map[model.UpstreamID]bool)
	for i := range current.Groups {
		group := &current.Groups[i]
		for j := range group.Upstreams {
			wanted[group.Upstreams[j].ID] = true
			p.ensure(group, &group.Upstreams[j])
		}
	}
	for id, running := range p.running {
		if !wanted[id] {
			running.cancel()
			delete(p.running, id)
		}
	}
}

// ensure starts the probe of upstream, anew if its login changed.
func (p *probes) ensure(group *bundle.Group, upstream *bundle.Upstream) {
	if running, exists := p.running[upstream.ID]; exists {
		if running.login == group.Login(upstream) {
			return
		}
		running.cancel()
	}
	ctx, cancel := context.WithCancel(p.loop.ctx)
	started := probe{
		group:  group.ID,
		login:  group.Login(upstream),
		cancel: cancel,
		now:    make(chan struct{}, 1),
	}
	p.running[upstream.ID] = started
	p.loop.tasks.Go(func() { p.loop.probeUpstream(ctx, group, upstream, started.now) })
}

// hurry asks for a probe of every upstream of the group at once.
func (p *probes) hurry(group model.GroupID) {
	for _, running := range p.running {
		if running.group != group {
			continue
		}
		select {
		case running.now <- struct{}{}:
		default:
		}
	}
}

func (p *probes) stop() {
	for _, running := range p.running {
		running.cancel()
	}
}

// probeUpstream probes at each interval, and when asked to, until ctx ends.
func (l *Loop) probeUpstream(
	ctx context.Context, group *bundle.Group, upstream *bundle.Upstream, now <-chan struct{},
) {
	ticker := time.NewTicker(l.config.ProbeInterval)
	defer ticker.Stop()
	for {
		l.post(probeInput{l.probeOnce(ctx, group, upstream)})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-now:
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
	probed.Follows = upstreamAt(group, sample)
	return probed
}

// upstreamAt returns the upstream that a replica streams from, or "" if that
// is not known.
func upstreamAt(group *bundle.Group, sample Sample) model.UpstreamID {
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
