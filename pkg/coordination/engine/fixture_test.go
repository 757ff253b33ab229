package engine_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/engine"
	"gypsumdock/pkg/coordination/sessions"
	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/routing"
)

const (
	group      model.GroupID    = "plugs"
	primary    model.UpstreamID = "a"
	replicaA   model.UpstreamID = "b"
	replicaB   model.UpstreamID = "c"
	generation model.Generation = 3

	slots          = 2
	applied        = 200
	permitLifetime = 3 * time.Second
	deadline       = 5 * time.Second

	// tagAged selects the route of reads with a maximum age, tagSynced that of
	// writes that wait for one replica.
	tagAged   = "aged"
	tagSynced = "synced"
)

type fakeClock struct{ now atomic.Int64 }

func (c *fakeClock) Now() time.Duration         { return time.Duration(c.now.Load()) }
func (c *fakeClock) advance(span time.Duration) { c.now.Add(int64(span)) }

// fakeSessions implements engine.Sessions with fixed results, and keeps the calls of
// LossReported.
type fakeSessions struct {
	answer      marks.Answer
	stored      sessions.RecordResult
	onRecord    func()
	lossReports []model.Mark
}

func (s *fakeSessions) Ask(context.Context, marks.Key) marks.Answer { return s.answer }

func (s *fakeSessions) LossReported(_ marks.Key, mark model.Mark) {
	s.lossReports = append(s.lossReports, mark)
}

func (s *fakeSessions) Record(context.Context, marks.Key, model.Mark) sessions.RecordResult {
	if s.onRecord != nil {
		s.onRecord()
	}
	return s.stored
}

// fakePositions implements engine.Positions. Upstreams without a position do not
// answer.
type fakePositions struct {
	mu       sync.Mutex
	at       map[model.UpstreamID]model.LSN
	promoted map[model.UpstreamID]bool
}

func (p *fakePositions) set(id model.UpstreamID, at model.LSN) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[id] = at
}

func (p *fakePositions) promote(id model.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.promoted[id] = true
}

func (p *fakePositions) position(upstream *bundle.Upstream) (model.LSN, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, known := p.at[upstream.ID]
	if !known {
		return 0, errors.New("no answer")
	}
	return at, nil
}

func (p *fakePositions) Current(_ context.Context, _ *bundle.Group, upstream *bundle.Upstream) (model.LSN, error) {
	return p.position(upstream)
}

func (p *fakePositions) Replayed(_ context.Context, _ *bundle.Group, upstream *bundle.Upstream) (model.LSN, error) {
	return p.position(upstream)
}

func (p *fakePositions) IsReplica(_ context.Context, _ *bundle.Group, upstream *bundle.Upstream) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return upstream.ID != primary && !p.promoted[upstream.ID], nil
}

// state is the part of the published snapshot that tests change.
type state struct {
	generation model.Generation
	sealed     bool
	freshAt    time.Duration
	startLSN   model.LSN
}

// fixture is an engine for a group of one primary and two replicas, with fakes for
// what it depends on.
type fixture struct {
	engine    *engine.Engine
	clock     *fakeClock
	sessions  *fakeSessions
	positions *fakePositions
	state     state
	bundle    *bundle.Bundle
}

func newFixture() *fixture {
	f := &fixture{
		clock:    &fakeClock{},
		sessions: &fakeSessions{stored: sessions.StoredAtHome},
		positions: &fakePositions{
			at:       map[model.UpstreamID]model.LSN{replicaA: applied, replicaB: applied},
			promoted: map[model.UpstreamID]bool{},
		},
		state:  state{generation: generation},
		bundle: testBundle(),
	}
	f.engine = engine.New(engine.Config{
		Clock: f.clock, Sessions: f.sessions, Positions: f.positions, Random: func() uint64 { return 7 },
	})
	f.publish(func(*state) {})
	return f
}

// testBundle returns a configuration of one group with a primary, two replicas and
// two routes.
func testBundle() *bundle.Bundle {
	configured := bundle.Group{ID: group, Database: "plugs"}
	for _, id := range []model.UpstreamID{primary, replicaA, replicaB} {
		configured.Upstreams = append(configured.Upstreams, bundle.Upstream{ID: id, Slots: slots})
	}
	return &bundle.Bundle{
		Groups: []bundle.Group{configured},
		Routes: []bundle.Route{
			{Name: "aged", Group: group, Tag: tagAged, ReadOnly: true, MaxAge: time.Minute, Deadline: deadline},
			{Name: "synced", Group: group, Tag: tagSynced, WaitReplicas: 1, Deadline: deadline},
		},
		Callers: []bundle.Caller{{Name: "desk", Weight: 1}},
	}
}

// publish changes the state and publishes a snapshot with it.
func (f *fixture) publish(change func(*state)) {
	change(&f.state)
	routed := routing.Group{
		ID: group, Generation: f.state.generation, PermitUntil: permitLifetime, Sealed: f.state.sealed,
	}
	for _, upstream := range f.bundle.Groups[0].Upstreams {
		routed.Upstreams = append(routed.Upstreams, routing.Upstream{
			ID:           upstream.ID,
			Primary:      upstream.ID == primary,
			Usable:       true,
			Applied:      model.Mark{Generation: f.state.generation, LSN: applied},
			FreshAt:      f.state.freshAt,
			FreshKnown:   true,
			AdmittedAges: routing.AgeSet{time.Minute},
			Slots:        slots,
		})
	}
	f.engine.Publish(&control.Snapshot{
		Bundle: f.bundle,
		View: failover.View{
			Members: make([]failover.MemberView, 1),
			Groups: []failover.GroupView{{
				ID: group, Generation: f.state.generation, Primary: primary,
				StartLSN: f.state.startLSN, PermitUntil: permitLifetime, Sealed: f.state.sealed,
			}},
		},
		Routing: &routing.Snapshot{Groups: []routing.Group{routed}, Options: routing.DefaultOptions()},
	})
}

// statement returns a unit of work of the caller "desk".
func (f *fixture) statement(tag string, readOnly bool) traffic.Statement {
	return traffic.Statement{
		Caller: "desk", Session: "desk", Database: "plugs", Tag: tag, ReadOnly: readOnly, Arrived: time.Now(),
	}
}
