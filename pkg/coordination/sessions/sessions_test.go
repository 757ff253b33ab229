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

// fleet connects services as the mesh would. Unreachable ones do not answer.
type fleet struct {
	clock       *fakeClock
	services    map[model.InstanceID]*sessions.Service
	unreachable map[model.InstanceID]bool
}

var errUnreachable = errors.New("unreachable")

func (f *fleet) peer(id model.InstanceID) (*sessions.Service, error) {
	if f.unreachable[id] {
		return nil, errUnreachable
	}
	return f.services[id], nil
}

func (f *fleet) StoreMark(
	_ context.Context, home marks.Target, key marks.Key, mark model.Mark,
) (marks.StoreStatus, error) {
	peer, err := f.peer(home.Home)
	if err != nil {
		return marks.StoreRefused, err
	}
	return peer.StoreMark(key, mark, home.Version), nil
}

func (f *fleet) AskMark(_ context.Context, home marks.Target, key marks.Key) (marks.Answer, error) {
	peer, err := f.peer(home.Home)
	if err != nil {
		return marks.Answer{}, err
	}
	return peer.AskMark(key, home.Version), nil
}

func (f *fleet) SendLossReported(home model.InstanceID, key marks.Key, mark model.Mark) {
	if peer, err := f.peer(home); err == nil {
		peer.ApplyLossReported(key, mark)
	}
}

func (f *fleet) HandOver(_ context.Context, lost marks.LostMark) (marks.StoreStatus, error) {
	peer, err := f.peer(lost.Target.Home)
	if err != nil {
		return marks.StoreRefused, err
	}
	return peer.AcceptLostMark(lost.Key, lost.Mark, lost.Target.Version), nil
}

func (f *fleet) HandedOver(to model.InstanceID, row model.RowVersion) {
	if peer, err := f.peer(to); err == nil {
		for id := range f.services {
			peer.HandedOver(id, row)
		}
	}
}

// newFleet starts services whose set of members is settled.
func newFleet(ids ...model.InstanceID) *fleet {
	f := &fleet{
		clock:       &fakeClock{},
		services:    make(map[model.InstanceID]*sessions.Service),
		unreachable: make(map[model.InstanceID]bool),
	}
	for _, id := range ids {
		f.services[id] = sessions.New(sessions.Config{
			Self:        id,
			Lease:       marks.Lease{Lifetime: lifetime, Drift: drift},
			Clock:       f.clock,
			Peers:       f,
			RefreshHead: func() {},
		})
	}
	f.seen(f.head(1, 0))
	for _, service := range f.services {
		for id := range f.services {
			service.HandedOver(id, 1)
		}
	}
	f.clock.advance(lifetime + drift)
	f.seen(f.head(1, 0))
	for _, service := range f.services {
		service.PrimarySampled(f.clock.Now(), group, model.Mark{Generation: 1, LSN: 10})
	}
	return f
}

func (f *fleet) head(version model.RowVersion, start model.LSN) *model.Head {
	head := &model.Head{Version: version, MembersVersion: 1}
	head.Groups = []model.GroupHead{{ID: group, Generation: model.Generation(version), StartLSN: start}}
	for _, id := range []model.InstanceID{"i1", "i2", "i3"} {
		if _, found := f.services[id]; found {
			head.Members = append(head.Members, model.Member{ID: id})
		}
	}
	return head
}

func (f *fleet) seen(head *model.Head) {
	for _, service := range f.services {
		service.HeadSeen(f.clock.Now(), f.clock.Now(), head)
	}
}

// homeOf returns the home of a session.
func (f *fleet) homeOf(session model.SessionID) model.InstanceID {
	head := f.head(1, 0)
	return marks.NewMemberSet(head.MembersVersion, head.Members).Home(session)
}

// specTimeout ends a spec that waits for a mark that is never stored.
const specTimeout = time.Minute

var _ = Describe("Service", func() {
	key := marks.Key{Session: "technician", Group: group}
	mark := model.Mark{Generation: 1, LSN: 500}
	var f *fleet

	BeforeEach(func() { f = newFleet("i1", "i2", "i3") })

	It("shows a write's mark through every instance", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(f.services["i1"].Record(ctx, key, mark)).To(Equal(sessions.StoredAtHome))
		for _, service := range f.services {
			Expect(service.Ask(ctx, key)).To(Equal(marks.Answer{Status: marks.AskKnown, Mark: mark}))
		}
	})

	It("does not know a session's marks once its view of the members is out of date", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(f.services["i1"].Record(ctx, key, mark)).To(Equal(sessions.StoredAtHome))
		f.clock.advance(lifetime)
		Expect(f.services["i2"].Ask(ctx, key).Status).To(Equal(marks.AskUnknown))
	})

	It("acknowledges without the home only once every replica has the write", SpecTimeout(specTimeout), func(ctx SpecContext) {
		home := f.homeOf(key.Session)
		f.unreachable[home] = true
		writer := f.services["i1"]
		if home == "i1" {
			writer = f.services["i2"]
		}
		brief, cancel := context.WithTimeout(ctx, 120*time.Millisecond)
		defer cancel()
		Expect(writer.Record(brief, key, mark)).To(Equal(sessions.NotStored))
		done := make(chan sessions.RecordResult)
		go func() { done <- writer.Record(ctx, key, mark) }()
		writer.AllReplicasApplied(group, mark)
		Eventually(done).Should(Receive(Equal(sessions.AppliedByReplicas)))
	})

	It("tells a session of a lost write until it was told", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(f.services["i1"].Record(ctx, key, mark)).To(Equal(sessions.StoredAtHome))
		f.seen(f.head(2, 400))
		lost := marks.Answer{Status: marks.AskLost, Mark: mark}
		Expect(f.services["i2"].Ask(ctx, key)).To(Equal(lost))
		Expect(f.services["i3"].Ask(ctx, key)).To(Equal(lost))
		f.services["i3"].LossReported(key, mark)
		Expect(f.services["i2"].Ask(ctx, key).Status).NotTo(Equal(marks.AskLost))
	})

	It("drops marks that every replica has passed", SpecTimeout(specTimeout), func(ctx SpecContext) {
		f.services["i1"].Record(ctx, key, mark)
		for _, service := range f.services {
			service.AllReplicasApplied(group, mark)
			home, ledger := service.Size()
			Expect(home.Marks + ledger.Marks).To(BeZero())
		}
	})
})
