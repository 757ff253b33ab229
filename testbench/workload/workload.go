// Package workload runs sessions of callers against a cluster until it is told
// to stop: each writes records, reads them back through other instances, and
// sends requests that may not be repeated. Sessions of the last caller only
// read, with a stated age, what others write.
package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/history"
	"gypsumdock/testbench/profile"
)

// Options say what a workload does.
type Options struct {
	// Sessions is the number of sessions; they share the groups.
	Sessions int
	// Groups limits the groups to the first ones; 0 takes all.
	Groups int
	// Pause is the time between two requests of a session.
	Pause  time.Duration
	Policy caller.Policy
	Seed   uint64
	// Anonymous gives each connection a session name of its own, so that the
	// instances cannot know whose writes a read must show.
	Anonymous bool
}

// Defaults returns a small workload.
func Defaults() Options {
	return Options{Sessions: 9, Pause: 10 * time.Millisecond, Policy: caller.DefaultPolicy(), Seed: 1}
}

// Running is a workload that runs. Stop ends it.
type Running struct {
	Log history.Log

	options Options
	cluster *cluster.Cluster
	stop    context.CancelFunc
	stopped context.Context
	work    sync.WaitGroup

	mu       sync.Mutex
	targets  []*cluster.Instance
	requests []caller.Request
}

// Start begins a workload on the instances that c runs now.
func Start(ctx context.Context, c *cluster.Cluster, options Options) *Running {
	r := &Running{options: options, cluster: c, targets: append([]*cluster.Instance(nil), c.Instances...)}
	r.stopped, r.stop = context.WithCancel(ctx)
	groups := c.Profile().Groups
	if options.Groups > 0 {
		groups = groups[:options.Groups]
	}
	for n := range options.Sessions {
		as := c.Profile().Callers[n%len(c.Profile().Callers)]
		session := caller.New(fmt.Sprintf("%s-%d", as.Name, n), as, c.Profile().Routes, &r.Log)
		session.Anonymous = options.Anonymous
		group := groups[n%len(groups)]
		random := rand.New(rand.NewPCG(options.Seed, uint64(n)))
		run := r.run
		if n%len(c.Profile().Callers) == len(c.Profile().Callers)-1 {
			run = r.look
		}
		r.work.Go(func() {
			defer session.Close()
			run(ctx, session, group, random)
		})
	}
	return r
}

// SetTargets replaces the instances that requests go to.
func (r *Running) SetTargets(targets []*cluster.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = append([]*cluster.Instance(nil), targets...)
}

// Stop ends the sessions after the request that each is at, and returns all
// requests.
func (r *Running) Stop() []caller.Request {
	r.stop()
	r.work.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

// onceEvery is the number of rounds between two requests that may not be
// repeated.
const onceEvery = 3

func (r *Running) run(ctx context.Context, s *caller.Session, group profile.Group, random *rand.Rand) {
	for round := 0; r.stopped.Err() == nil; round++ {
		key := fmt.Sprintf("%s-%d", s.Name, random.IntN(2))
		r.do(ctx, s, group, random, history.KindWrite, key)
		r.do(ctx, s, group, random, history.KindFresh, key)
		r.do(ctx, s, group, random, history.KindAged, key)
		if round%onceEvery == 0 {
			r.do(ctx, s, group, random, history.KindOnce, key)
		}
	}
}

// look reads the records of the first session of the group.
func (r *Running) look(ctx context.Context, s *caller.Session, group profile.Group, random *rand.Rand) {
	for r.stopped.Err() == nil {
		key := fmt.Sprintf("%s-%d-%d", r.cluster.Profile().Callers[0].Name, 0, random.IntN(2))
		r.do(ctx, s, group, random, history.KindAged, key)
	}
}

// do sends one request through an instance picked anew for each attempt.
func (r *Running) do(
	ctx context.Context, s *caller.Session, group profile.Group, random *rand.Rand, kind history.Kind, key string,
) {
	request := s.Do(ctx, kind, key, r.options.Policy, func(int) (caller.Target, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.targets) == 0 {
			return caller.Target{}, false
		}
		instance := r.targets[random.IntN(len(r.targets))]
		return caller.Target{Address: instance.ToCallers.Address(), Group: group.ID, Database: group.Database}, true
	})
	r.mu.Lock()
	r.requests = append(r.requests, request)
	r.mu.Unlock()
	select {
	case <-time.After(r.options.Pause):
	case <-r.stopped.Done():
	}
}

// Count returns the number of requests that ended with an answer.
func Count(requests []caller.Request, kind history.Kind) int {
	count := 0
	for _, request := range requests {
		if request.Kind == kind && request.Outcome == history.OutcomeOK {
			count++
		}
	}
	return count
}
