package control_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/grantstore"
	"gypsumdock/pkg/coordination/headstore"
	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/coordination/platform/platformfake"
	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

const (
	region            = "cymru-south"
	group             = model.GroupID("plugs")
	eventuallyTimeout = 20 * time.Second
	connections       = 16
)

type clock struct{ start time.Time }

func (c clock) Now() time.Duration { return time.Since(c.start) }

// upstreams simulates the three servers of a group, without statements.
type upstreams struct {
	mu      sync.Mutex
	primary model.UpstreamID
	lost    map[model.UpstreamID]bool
	// timeline rises with each promotion.
	timeline uint32
}

var errNoAnswer = errors.New("no answer")

func (u *upstreams) Probe(_ context.Context, _ *bundle.Group, upstream *bundle.Upstream) (control.Sample, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lost[upstream.ID] {
		return control.Sample{}, errNoAnswer
	}
	return control.Sample{Recovering: upstream.ID != u.primary, Timeline: u.timeline, LSN: 100}, nil
}

func (u *upstreams) Promote(_ context.Context, _ *bundle.Group, upstream *bundle.Upstream) (control.Sample, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lost[upstream.ID] {
		return control.Sample{}, errNoAnswer
	}
	if u.primary != upstream.ID {
		u.primary = upstream.ID
		u.timeline++
	}
	return control.Sample{Timeline: u.timeline, LSN: 100}, nil
}

func (u *upstreams) TerminateConnections(context.Context, *bundle.Group, *bundle.Upstream, model.InstanceID) (int, error) {
	return 0, nil
}

func (u *upstreams) setLost(id model.UpstreamID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lost[id] = true
}

// idleStub implements Peers, Sessions, Traffic and Pools of an instance without
// peers and callers. Its requests to peers fail.
type idleStub struct{}

func (idleStub) SetPeers([]model.Member)                                 {}
func (idleStub) Peers() []model.InstanceID                               { return nil }
func (idleStub) Send(model.InstanceID, failover.PeerMessage)             {}
func (idleStub) Announce(control.Status)                                 {}
func (idleStub) HintGrant(model.InstanceID, model.UpstreamID)            {}
func (idleStub) FetchHead(context.Context) (*model.Head, error)          { return nil, errNoAnswer }
func (idleStub) HeadSeen(_, _ time.Duration, _ *model.Head)              {}
func (idleStub) PrimarySampled(time.Duration, model.GroupID, model.Mark) {}
func (idleStub) AllReplicasApplied(model.GroupID, model.Mark)            {}
func (idleStub) SetGroups([]model.GroupID)                               {}
func (idleStub) Publish(*control.Snapshot)                               {}
func (idleStub) WritesInFlight(model.GroupID, model.Generation) int      { return 0 }
func (idleStub) Sessions() int                                           { return 0 }
func (idleStub) LatencyAndSlots(model.UpstreamID) (time.Duration, int)   { return 0, 1 }
func (idleStub) SetLimits(model.UpstreamID, int, int)                    {}
func (idleStub) Usage(id model.UpstreamID) grants.Usage                  { return grants.Usage{Upstream: id} }

func (idleStub) FetchBundle(context.Context, model.InstanceID, string) ([]byte, error) {
	return nil, errNoAnswer
}

// services combines the fake's objects and instances into a control.Platform.
type services struct {
	platform.Objects
	fake *platformfake.Platform
}

func (s services) Instances(ctx context.Context) ([]platform.Instance, error) {
	return s.fake.Instances(ctx)
}

func testBundle() *bundle.Bundle {
	configured := bundle.Group{ID: group, Database: "plugs", User: "dock"}
	for i, id := range []model.UpstreamID{"a", "b", "c"} {
		configured.Upstreams = append(configured.Upstreams, bundle.Upstream{
			ID: id, Address: fmt.Sprintf("127.0.0.1:%d", i+1), DataCentre: "quay-east", Slots: 2, Connections: connections,
		})
	}
	return &bundle.Bundle{Groups: []bundle.Group{configured}}
}

// activateBundle stores the test's bundle, and names it in the head row.
func activateBundle(ctx context.Context, fake *platformfake.Platform) {
	GinkgoHelper()
	data, _, err := bundle.Encode(testBundle())
	Expect(err).NotTo(HaveOccurred())
	digest, err := fake.Objects().Put(ctx, data)
	Expect(err).NotTo(HaveOccurred())
	head := &model.Head{
		Revision: 1, Digest: digest,
		Groups: []model.GroupHead{{ID: group, Generation: 1, Primary: "a", Timeline: 1}},
	}
	outcome, _ := headstore.New(fake, region).Write(ctx, "apply", 0, head)
	Expect(outcome).To(Equal(failover.WriteApplied))
}

func startLoop(fake *platformfake.Platform, servers *upstreams) *control.Loop {
	loop, err := control.New(control.Config{
		Self:           model.Member{ID: "i1", DataCentre: "quay-east", Address: "127.0.0.1:2"},
		Failover:       failover.Config{PermitLifetime: 3 * time.Second, Drift: 200 * time.Millisecond, ReadInterval: 100 * time.Millisecond, DetectAfter: 200 * time.Millisecond},
		Adoption:       adoption.DefaultOptions(),
		ProbeInterval:  20 * time.Millisecond,
		ProbeTimeout:   time.Second,
		PromoteTimeout: time.Second,
		Clock:          clock{time.Now()},
		Heads:          headstore.New(fake, region),
		Platform:       services{fake.Objects(), fake},
		Upstreams:      servers,
		Peers:          idleStub{},
		Sessions:       idleStub{},
		Traffic:        idleStub{},
		Grants:         grantstore.New(fake),
		Pools:          idleStub{},
		Logger:         slog.New(slog.NewTextHandler(GinkgoWriter, nil)),
	})
	Expect(err).NotTo(HaveOccurred())
	loop.Start()
	DeferCleanup(loop.Close)
	return loop
}

var _ = Describe("Loop", func() {
	var loop *control.Loop
	var fake *platformfake.Platform
	var servers *upstreams

	BeforeEach(func(ctx SpecContext) {
		fake = platformfake.New()
		servers = &upstreams{primary: "a", timeline: 1, lost: map[model.UpstreamID]bool{}}
		activateBundle(ctx, fake)
		loop = startLoop(fake, servers)
	})

	holdsPermit := func(generation model.Generation) func() bool {
		return func() bool {
			view, found := loop.Snapshot().View.Group(group)
			return found && view.Generation == generation && !view.Sealed && view.PermitUntil > loop.Snapshot().At
		}
	}

	It("registers, adopts the configuration, and gets permits and a grant of connections", func() {
		Eventually(holdsPermit(1), eventuallyTimeout).Should(BeTrue())
		Expect(loop.Snapshot().Ref.Revision).To(Equal(model.Revision(1)))
		Expect(loop.Snapshot().View.Registered).To(BeTrue())
		grant := func() int { return loop.Snapshot().Connections["a"].Grant }
		Eventually(grant, eventuallyTimeout).Should(BeNumerically(">", 0))
		Expect(grant()).To(BeNumerically("<", connections))
	})

	It("replaces a lost primary even if the answer to the write of the seal is lost", func() {
		Eventually(holdsPermit(1), eventuallyTimeout).Should(BeTrue())
		Eventually(func() bool { return loop.Snapshot().View.Established }, eventuallyTimeout).Should(BeTrue())
		fake.LoseNext(platformfake.LoseAnswer)
		servers.setLost("a")
		Eventually(holdsPermit(2), eventuallyTimeout).Should(BeTrue())
		view, _ := loop.Snapshot().View.Group(group)
		Expect(view.Primary).NotTo(Equal(model.UpstreamID("a")))
	})

	It("detects an outage of the platform, and holds permits again after it", func() {
		Eventually(holdsPermit(1), eventuallyTimeout).Should(BeTrue())
		fake.SetDown(true)
		Eventually(func() bool { return loop.Snapshot().View.PlatformReachable }, eventuallyTimeout).Should(BeFalse())
		fake.SetDown(false)
		Eventually(holdsPermit(1), eventuallyTimeout).Should(BeTrue())
	})

	It("removes its registration at the end of a graceful stop", func() {
		Eventually(func() bool { return loop.Snapshot().View.Registered }, eventuallyTimeout).Should(BeTrue())
		loop.Leave()
		Eventually(func() bool { return loop.Snapshot().Leaving }, eventuallyTimeout).Should(BeTrue())
		loop.Deregister()
		Eventually(func() bool { return loop.Snapshot().View.Registered }, eventuallyTimeout).Should(BeFalse())
	})
})
