package sessions_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/sessions"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

func TestSessions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sessions")
}

const (
	group    model.GroupID = "plugs"
	lifetime               = 3 * time.Second
	drift                  = 200 * time.Millisecond
)

type fakeClock struct{ now atomic.Int64 }

func (c *fakeClock) Now() time.Duration         { return time.Duration(c.now.Load()) }
func (c *fakeClock) advance(span time.Duration) { c.now.Add(int64(span)) }

// cluster connects services and implements sessions.Peers. Unreachable services do
// not answer.
type cluster struct {
	clock       *fakeClock
	services    map[model.InstanceID]*sessions.Service
	unreachable map[model.InstanceID]bool
}

var errUnreachable = errors.New("unreachable")

func (c *cluster) peer(id model.InstanceID) (*sessions.Service, error) {
	if c.unreachable[id] {
		return nil, errUnreachable
	}
	return c.services[id], nil
}

func (c *cluster) StoreMark(
	_ context.Context, home marks.Target, key marks.Key, mark model.Mark,
) (marks.StoreStatus, error) {
	peer, err := c.peer(home.Home)
	if err != nil {
		return marks.StoreRefused, err
	}
	return peer.StoreMark(key, mark, home.Version), nil
}

func (c *cluster) AskMark(_ context.Context, home marks.Target, key marks.Key) (marks.Answer, error) {
	peer, err := c.peer(home.Home)
	if err != nil {
		return marks.Answer{}, err
	}
	return peer.AskMark(key, home.Version), nil
}

func (c *cluster) SendLossReported(home model.InstanceID, key marks.Key, mark model.Mark) {
	if peer, err := c.peer(home); err == nil {
		peer.ApplyLossReported(key, mark)
	}
}

func (c *cluster) HandOver(_ context.Context, lost marks.LostMark) (marks.StoreStatus, error) {
	peer, err := c.peer(lost.Target.Home)
	if err != nil {
		return marks.StoreRefused, err
	}
	return peer.AcceptLostMark(lost.Key, lost.Mark, lost.Target.Version), nil
}

func (c *cluster) HandedOver(to model.InstanceID, version model.RowVersion) {
	if peer, err := c.peer(to); err == nil {
		for id := range c.services {
			peer.HandedOver(id, version)
		}
	}
}

// newCluster returns services that have handed over everything as of the first head
// row and confirmed that row again after a lease, so that every home may answer.
// They know the primary's position.
func newCluster(ids ...model.InstanceID) *cluster {
	c := &cluster{
		clock:       &fakeClock{},
		services:    make(map[model.InstanceID]*sessions.Service),
		unreachable: make(map[model.InstanceID]bool),
	}
	for _, id := range ids {
		c.services[id] = sessions.New(sessions.Config{
			Self:        id,
			Lease:       marks.Lease{Lifetime: lifetime, Drift: drift},
			Clock:       c.clock,
			Peers:       c,
			RefreshHead: func() {},
		})
	}
	c.headSeen(c.head(1, 0))
	for _, service := range c.services {
		for id := range c.services {
			service.HandedOver(id, 1)
		}
	}
	c.clock.advance(lifetime + drift)
	c.headSeen(c.head(1, 0))
	for _, service := range c.services {
		service.PrimarySampled(c.clock.Now(), group, model.Mark{Generation: 1, LSN: 10})
	}
	return c
}

func (c *cluster) head(version model.RowVersion, start model.LSN) *model.Head {
	head := &model.Head{Version: version, MembersVersion: 1}
	head.Groups = []model.GroupHead{{ID: group, Generation: model.Generation(version), StartLSN: start}}
	for _, id := range []model.InstanceID{"i1", "i2", "i3"} {
		if _, found := c.services[id]; found {
			head.Members = append(head.Members, model.Member{ID: id})
		}
	}
	return head
}

func (c *cluster) headSeen(head *model.Head) {
	for _, service := range c.services {
		service.HeadSeen(c.clock.Now(), c.clock.Now(), head)
	}
}

// homeOf returns the home of a session among the members of the first head row.
func (c *cluster) homeOf(session model.SessionID) model.InstanceID {
	head := c.head(1, 0)
	return marks.NewMemberSet(head.MembersVersion, head.Members).Home(session)
}

// specTimeout bounds a spec, for the case that a mark is never stored.
const specTimeout = time.Minute

var _ = Describe("Service", func() {
	key := marks.Key{Session: "technician", Group: group}
	mark := model.Mark{Generation: 1, LSN: 500}
	var c *cluster

	BeforeEach(func() { c = newCluster("i1", "i2", "i3") })

	It("returns a write's mark through every instance", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(c.services["i1"].Record(ctx, key, mark)).To(Equal(sessions.StoredAtHome))
		for _, service := range c.services {
			Expect(service.Ask(ctx, key)).To(Equal(marks.Answer{Status: marks.AskKnown, Mark: mark}))
		}
	})

	It("does not know a session's marks once its lease on the members has expired", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(c.services["i1"].Record(ctx, key, mark)).To(Equal(sessions.StoredAtHome))
		c.clock.advance(lifetime)
		Expect(c.services["i2"].Ask(ctx, key).Status).To(Equal(marks.AskUnknown))
	})

	It("records a write without the home only once every replica has applied it", SpecTimeout(specTimeout), func(ctx SpecContext) {
		home := c.homeOf(key.Session)
		c.unreachable[home] = true
		writer := c.services["i1"]
		if home == "i1" {
			writer = c.services["i2"]
		}
		brief, cancel := context.WithTimeout(ctx, 120*time.Millisecond)
		defer cancel()
		Expect(writer.Record(brief, key, mark)).To(Equal(sessions.NotStored))
		done := make(chan sessions.RecordResult)
		go func() { done <- writer.Record(ctx, key, mark) }()
		writer.AllReplicasApplied(group, mark)
		Eventually(done).Should(Receive(Equal(sessions.AppliedByReplicas)))
	})

	It("reports a lost write until the session was told of it", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(c.services["i1"].Record(ctx, key, mark)).To(Equal(sessions.StoredAtHome))
		c.headSeen(c.head(2, 400))
		lost := marks.Answer{Status: marks.AskLost, Mark: mark}
		Expect(c.services["i2"].Ask(ctx, key)).To(Equal(lost))
		Expect(c.services["i3"].Ask(ctx, key)).To(Equal(lost))
		c.services["i3"].LossReported(key, mark)
		Expect(c.services["i2"].Ask(ctx, key).Status).NotTo(Equal(marks.AskLost))
	})

	It("drops marks that every replica has applied", SpecTimeout(specTimeout), func(ctx SpecContext) {
		c.services["i1"].Record(ctx, key, mark)
		for _, service := range c.services {
			service.AllReplicasApplied(group, mark)
			home, ledger := service.Size()
			Expect(home.Marks + ledger.Marks).To(BeZero())
		}
	})
})
