package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/faultproxy"
	"gypsumdock/testbench/history"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/upstreamd"
)

const (
	// readyTimeout bounds the start of a cluster.
	readyTimeout = 60 * time.Second
	// queueLength bounds the requests of a session that wait.
	queueLength = 10_000
	// One-way latencies of both deployments' networks.
	callerLatency = 3 * time.Millisecond
	meshLatency   = time.Millisecond
)

// arrival is a request that has arrived.
type arrival struct {
	at   time.Time
	kind history.Kind
	key  string
	via  int
}

// finished is a request that has ended.
type finished struct {
	arrival
	caller.Request
}

// user is a session with its queue of arrivals.
type user struct {
	session *caller.Session
	group   profile.Group
	home    int
	queue   chan arrival
}

// runner is one run of a load.
type runner struct {
	config  Config
	cluster *cluster.Cluster
	random  *rand.Rand
	log     history.Log
	users   []*user
	work    errgroup.Group

	mu     sync.Mutex
	done   []finished
	shed   int
	killed time.Time
}

// Run starts a cluster, loads it and returns the figures.
func Run(ctx context.Context, config Config) (*Report, error) {
	if !config.Replicas {
		config.Profile = withoutReplicas(config.Profile)
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Profile: config.Profile, Instances: config.Instances, Tuning: config.Tuning,
	})
	if err != nil {
		return nil, err
	}
	r := &runner{config: config, cluster: c, random: rand.New(rand.NewPCG(config.Seed, 0))}
	report, err := r.run(ctx)
	return report, errors.Join(err, c.Stop())
}

// withoutReplicas returns p with only the first upstream of each group.
func withoutReplicas(p profile.Profile) profile.Profile {
	groups := make([]profile.Group, 0, len(p.Groups))
	for _, group := range p.Groups {
		group.Upstreams = group.Upstreams[:1]
		groups = append(groups, group)
	}
	p.Groups = groups
	return p
}

func (r *runner) run(ctx context.Context) (*Report, error) {
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	r.startUsers(ctx)
	begin := time.Now()
	measured := begin.Add(r.config.Warmup)
	end := measured.Add(r.config.Duration)
	faults := r.scheduleFaults(ctx, measured)
	r.arrive(ctx, begin, end)
	for _, u := range r.users {
		close(u.queue)
	}
	if err := errors.Join(r.work.Wait(), faults.Wait()); err != nil {
		return nil, err
	}
	return r.report(ctx, measured, end)
}

func (r *runner) prepare(ctx context.Context) error {
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.cluster.Apply(ready); err != nil {
		return err
	}
	if r.config.Network {
		r.delayNetwork()
	}
	for _, group := range r.cluster.Layout.Groups {
		for i, upstream := range group.Upstreams[1:] {
			fault := upstreamd.Fault{
				Group: group.ID, Upstream: upstream.ID, Action: upstreamd.ActionLag,
				LagMS: int(r.config.Lag / time.Millisecond),
			}
			if err := r.cluster.Upstreams.Apply(ctx, fault); err != nil {
				return err
			}
			if i > 0 || !r.config.StickOne {
				continue
			}
			fault.Action = upstreamd.ActionStick
			if err := r.cluster.Upstreams.Apply(ctx, fault); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *runner) delayNetwork() {
	for _, instance := range r.cluster.Instances {
		for _, direction := range []faultproxy.Direction{faultproxy.ToServer, faultproxy.ToClient} {
			instance.ToCallers.Delay(direction, callerLatency)
			instance.ToMesh.Delay(direction, meshLatency)
		}
	}
}

// startUsers opens the sessions; each works on one group.
func (r *runner) startUsers(ctx context.Context) {
	routes := r.config.Profile.Routes
	if !r.config.Tags {
		routes = profile.Routes{}
	}
	for _, as := range r.config.Profile.Callers {
		for n := range r.config.Sessions {
			u := &user{
				session: caller.New(fmt.Sprintf("%s-%d", as.Name, n), as, routes, &r.log),
				group:   r.config.Profile.Groups[n%len(r.config.Profile.Groups)],
				home:    r.random.IntN(r.config.Instances),
				queue:   make(chan arrival, queueLength),
			}
			r.users = append(r.users, u)
			r.work.Go(func() error {
				defer u.session.Close()
				for next := range u.queue {
					r.serve(ctx, u, next)
				}
				return nil
			})
		}
	}
}

// arrive makes requests at the set rate; the gaps are exponential.
func (r *runner) arrive(ctx context.Context, begin, end time.Time) {
	for at := begin; at.Before(end) && ctx.Err() == nil; at = at.Add(r.gap()) {
		u := r.users[r.random.IntN(len(r.users))]
		next := r.request(u, at)
		time.Sleep(time.Until(at))
		select {
		case u.queue <- next:
		default:
			r.mu.Lock()
			r.shed++
			r.mu.Unlock()
		}
	}
}

func (r *runner) gap() time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(time.Second) / r.config.Rate)
}

// keysOfSession is the number of records that a session writes.
const keysOfSession = 4

func (r *runner) request(u *user, at time.Time) arrival {
	next := arrival{
		at: at, via: u.home, kind: r.kind(),
		key: fmt.Sprintf("%s-%d", u.session.Name, r.random.IntN(keysOfSession)),
	}
	if r.config.Roam {
		next.via = r.random.IntN(r.config.Instances)
	}
	return next
}

func (r *runner) kind() history.Kind {
	mix := r.config.Mix
	switch n := r.random.IntN(mix.total()); {
	case n < mix.Write:
		return history.KindWrite
	case n < mix.Write+mix.Once:
		return history.KindOnce
	case n < mix.Write+mix.Once+mix.Fresh:
		return history.KindFresh
	default:
		return history.KindAged
	}
}

// serve sends a request. One whose deadline has passed while it waited for its
// session is given up without being sent.
func (r *runner) serve(ctx context.Context, u *user, next arrival) {
	policy := r.config.Policy
	policy.Deadline -= time.Since(next.at)
	if policy.Deadline <= 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.shed++
		return
	}
	request := u.session.Do(ctx, next.kind, next.key, policy, func(attempt int) (caller.Target, bool) {
		instance := r.cluster.Instances[(next.via+attempt)%r.config.Instances]
		return caller.Target{
			Address: instance.ToCallers.Address(), Group: u.group.ID, Database: u.group.Database,
		}, true
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = append(r.done, finished{arrival: next, Request: request})
}

// scheduleFaults starts the faults of the configuration at their times.
func (r *runner) scheduleFaults(ctx context.Context, measured time.Time) *errgroup.Group {
	var faults errgroup.Group
	if r.config.KillAfter > 0 {
		faults.Go(func() error {
			time.Sleep(time.Until(measured.Add(r.config.KillAfter)))
			return r.killPrimary(ctx)
		})
	}
	if r.config.CrashAfter > 0 {
		faults.Go(func() error {
			time.Sleep(time.Until(measured.Add(r.config.CrashAfter)))
			return r.cluster.Instances[0].Kill()
		})
	}
	return &faults
}

func (r *runner) killPrimary(ctx context.Context) error {
	group := r.cluster.Layout.Groups[0]
	fault := upstreamd.Fault{Group: group.ID, Upstream: group.Upstreams[0].ID, Action: upstreamd.ActionKill}
	if err := r.cluster.Upstreams.Apply(ctx, fault); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.killed = time.Now()
	return nil
}
