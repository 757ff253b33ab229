// Package connections keeps this instance's connections to each upstream
// within its grant. It carries out the decisions of package grants: reads and
// writes of the table's rows, hints to peers, and counts at the upstreams.
package connections

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

// Times of the service.
const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = time.Second
)

// Clock gives the time since the process's start, from a monotonic clock.
type Clock interface{ Now() time.Duration }

// Use is this instance's use of an upstream.
type Use struct{ Open, Busy, Waiting int }

// Pools are the connections of this instance. A pool must ask MayOpen before
// it opens a connection, and again after; if it may not, it closes it.
type Pools interface {
	Use(upstream model.UpstreamID) Use
	// SetLimit bounds the open connections; idle ones above it are closed at
	// once, others when they are released.
	SetLimit(upstream model.UpstreamID, limit int)
}

// Upstreams counts connections.
type Upstreams interface {
	// CountConnections ends the connections of another instance and returns
	// how many it still has.
	CountConnections(ctx context.Context, upstream *bundle.Upstream, of model.InstanceID) (int, error)
}

// Peers carries hints; they may be lost.
type Peers interface {
	HintGrant(to model.InstanceID, upstream model.UpstreamID)
}

// Config is what a Service needs.
type Config struct {
	Region    string
	Grants    grants.Config
	Clock     Clock
	Table     platform.Table
	Pools     Pools
	Upstreams Upstreams
	Peers     Peers
	// OpID returns a unique operation ID.
	OpID func() string
	// Reserve is the number of connections to each upstream that are not
	// granted.
	Reserve int
}

// Service is safe for concurrent use.
type Service struct {
	config Config
	calls  sync.WaitGroup

	// order serves one event at a time, with the limits that follow from it.
	// It is taken before mu and before the locks of the pools.
	order sync.Mutex
	// mu guards the fields below. Nothing is called while it is held.
	mu      sync.Mutex
	machine *grants.Machine
	current *bundle.Bundle
	ids     []model.UpstreamID
}

// New returns a service without upstreams.
func New(config Config) *Service {
	return &Service{config: config, machine: grants.New(config.Grants), current: &bundle.Bundle{}}
}

// Run reports the use of the upstreams, until ctx ends. It returns when no
// call is under way.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer s.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(ctx)
		}
	}
}

func (s *Service) tick(ctx context.Context) {
	s.handle(ctx, grants.Tick{})
	s.mu.Lock()
	ids := s.ids
	s.mu.Unlock()
	for _, id := range ids {
		s.report(ctx, id)
	}
}

// report reads the use of an upstream, after the limits that earlier events
// gave were set.
func (s *Service) report(ctx context.Context, id model.UpstreamID) {
	s.order.Lock()
	use := s.config.Pools.Use(id)
	actions := s.apply(grants.Used{Upstream: id, Open: use.Open, Busy: use.Busy, Waiting: use.Waiting})
	s.order.Unlock()
	s.carryOutAll(ctx, actions)
}

// HeadSeen takes a head row. confirmedFrom is the time before the question was
// sent to which the table answered with this row, or before all members were
// asked to promise that they remove nobody.
func (s *Service) HeadSeen(confirmedFrom time.Duration, head *model.Head) {
	members := make([]model.InstanceID, 0, len(head.Members))
	for _, member := range head.Members {
		members = append(members, member.ID)
	}
	s.post(grants.Confirmed{AskedAt: confirmedFrom, Version: head.MembersVersion, Members: members})
}

// Adopt follows a new configuration.
func (s *Service) Adopt(current *bundle.Bundle) {
	var specs []grants.Spec
	var ids []model.UpstreamID
	for i := range current.Groups {
		for _, upstream := range current.Groups[i].Upstreams {
			ids = append(ids, upstream.ID)
			specs = append(specs, grants.Spec{
				ID: upstream.ID, Connections: upstream.Connections, Reserve: s.config.Reserve,
			})
		}
	}
	s.mu.Lock()
	s.current, s.ids = current, ids
	s.mu.Unlock()
	s.post(grants.UpstreamsAdopted{Upstreams: specs})
}

// Hinted takes a peer's hint that an upstream's row has changed.
func (s *Service) Hinted(upstream model.UpstreamID) { s.post(grants.Hinted{Upstream: upstream}) }

// MayOpen reports whether a connection to the upstream may be opened now,
// within the pool's limit.
func (s *Service) MayOpen(upstream model.UpstreamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Limit(s.config.Clock.Now(), upstream) > 0
}

// Held returns the number of connections to the upstream that this instance
// may keep.
func (s *Service) Held(upstream model.UpstreamID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Held(upstream)
}

// post gives an event to the machine outside of Run. What follows from it is
// bounded by callTimeout.
func (s *Service) post(event grants.Event) { s.handle(context.Background(), event) }

// handle gives an event to the machine and starts the calls that it asks for.
func (s *Service) handle(ctx context.Context, event grants.Event) {
	s.order.Lock()
	actions := s.apply(event)
	s.order.Unlock()
	s.carryOutAll(ctx, actions)
}

// apply gives an event to the machine and sets the limits that follow from it.
// s.order is held.
func (s *Service) apply(event grants.Event) []grants.Action {
	s.mu.Lock()
	actions := s.machine.Handle(s.config.Clock.Now(), event)
	ids := s.ids
	limits := make([]int, len(ids))
	for i, id := range ids {
		limits[i] = s.machine.Held(id)
	}
	s.mu.Unlock()
	for i, id := range ids {
		s.config.Pools.SetLimit(id, limits[i])
	}
	return actions
}

func (s *Service) carryOutAll(ctx context.Context, actions []grants.Action) {
	for _, action := range actions {
		s.carryOut(ctx, action)
	}
}
