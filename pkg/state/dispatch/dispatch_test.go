package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

const (
	primary = model.UpstreamID("a")
	near    = model.UpstreamID("b")
	far     = model.UpstreamID("c")
	forever = time.Hour
)

func millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// newGroup returns a group of a primary and two replicas with two slots each.
func newGroup() *dispatch.Group {
	group := dispatch.NewGroup("quay-east")
	group.SetUpstreams([]dispatch.UpstreamSpec{
		{ID: primary, DataCentre: "quay-west", Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
		{ID: near, DataCentre: "quay-east", Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
		{ID: far, DataCentre: "gate-north", Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
	})
	group.SetLeadership(dispatch.Leadership{Generation: 1, Primary: primary, PermitUntil: forever, Term: 1})
	return group
}

func write(now time.Duration) *dispatch.Unit {
	return &dispatch.Unit{
		Route: "write", NeedsPrimary: true, Priority: 1, Arrived: now,
		Deadline: now + millis(800), Target: now + millis(100),
	}
}

func read(now time.Duration) *dispatch.Unit {
	return &dispatch.Unit{
		Route: "read", Priority: 2, Arrived: now, MaxAge: millis(1500),
		Deadline: now + millis(800), Target: now + millis(200),
	}
}

func sample(group *dispatch.Group, now time.Duration) {
	group.Freshness().PrimarySampled(now, model.Position{Term: 1, Number: model.LSN(now / millis(1))})
}

var _ = Describe("Submit", func() {
	It("places writes at the primary, and reads at a fresh replica of the own data centre", func() {
		group := newGroup()
		sample(group, millis(1000))
		placement, refusal := group.Submit(millis(1010), write(millis(1010)))
		Expect(refusal).To(BeNil())
		Expect(placement.Upstream).To(Equal(primary))
		Expect(placement.RequiredPosition.IsZero()).To(BeTrue())
		placement, refusal = group.Submit(millis(1010), read(millis(1010)))
		Expect(refusal).To(BeNil())
		Expect(placement.Upstream).To(Equal(near))
		Expect(placement.RequiredPosition).To(Equal(model.Position{Term: 1, Number: 1000}))
	})

	It("asks replicas for the session's own writes too", func() {
		group := newGroup()
		sample(group, millis(1000))
		unit := read(millis(1300))
		unit.Mark = model.Position{Term: 1, Number: 1200}
		unit.MarkAt = millis(1200)
		placement, _ := group.Submit(millis(1300), unit)
		Expect(placement.RequiredPosition).To(Equal(unit.Mark))
	})

	It("reads at the primary without a sample that is young enough", func() {
		group := newGroup()
		sample(group, millis(1000))
		placement, _ := group.Submit(millis(2600), read(millis(2600)))
		Expect(placement.Upstream).To(Equal(primary))
	})

	It("forgets what it knew of an upstream that left", func() {
		group := newGroup()
		sample(group, millis(1000))
		group.Freshness().ReplicaSampled(near, millis(3000), model.Position{Term: 1, Number: 1})
		Expect(group.Freshness().Lag(near)).NotTo(BeZero())
		group.SetUpstreams([]dispatch.UpstreamSpec{{ID: primary, Slots: 2, MaxConnections: 3, MaxOutstanding: 2}})
		Expect(group.Freshness().Lag(near)).To(BeZero())
	})

	It("gives new work neither to a draining replica nor to one that failed the unit", func() {
		group := newGroup()
		sample(group, 0)
		group.SetUpstreams([]dispatch.UpstreamSpec{
			{ID: primary, Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
			{ID: near, Slots: 2, MaxConnections: 3, MaxOutstanding: 2, Draining: true},
			{ID: far, Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
		})
		unit := read(millis(10))
		placement, _ := group.Submit(millis(10), unit)
		Expect(placement.Upstream).To(Equal(far))
		unit.FailedUpstreams = append(unit.FailedUpstreams, far)
		placement, _ = group.Submit(millis(10), unit)
		Expect(placement.Upstream).To(Equal(primary))
	})

	It("places no work at a primary whose permit has run out", func() {
		group := newGroup()
		group.SetLeadership(dispatch.Leadership{Generation: 1, Primary: primary, PermitUntil: millis(100)})
		_, refusal := group.Submit(millis(100), write(millis(100)))
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(dispatch.RefusedNoPrimary))
		Expect(refusal.RetryAfter).NotTo(BeZero())
	})
})

var _ = Describe("a primary that is being replaced", func() {
	sealed := func(expected time.Duration) *dispatch.Group {
		group := newGroup()
		group.SetLeadership(dispatch.Leadership{
			Generation: 1, Primary: primary, PermitUntil: forever, Sealed: true, ExpectedAt: expected,
		})
		return group
	}

	It("holds a write that the next one serves in time, and places it then", func() {
		group := sealed(millis(500))
		unit := write(millis(0))
		placement, refusal := group.Submit(0, unit)
		Expect(placement).To(BeNil())
		Expect(refusal).To(BeNil())
		Expect(group.DecideWaiting(millis(300))).To(BeEmpty())
		group.SetLeadership(dispatch.Leadership{Generation: 2, Primary: near, PermitUntil: forever})
		decided := group.DecideWaiting(millis(520))
		Expect(decided).To(HaveLen(1))
		Expect(decided[0].Placement.Upstream).To(Equal(near))
		Expect(decided[0].Placement.Generation).To(Equal(model.Generation(2)))
	})

	It("refuses at once what it cannot serve in time", func() {
		_, refusal := sealed(millis(900)).Submit(0, write(0))
		Expect(refusal.Reason).To(Equal(dispatch.RefusedNoPrimary))
		Expect(refusal.RetryAfter).To(Equal(millis(900)))
	})

	It("goes on to serve reads of replicas", func() {
		group := sealed(0)
		sample(group, 0)
		placement, refusal := group.Submit(millis(50), read(millis(50)))
		Expect(refusal).To(BeNil())
		Expect(placement.Upstream).To(Equal(near))
	})

	It("refuses a read that neither a replica nor a primary can serve", func() {
		_, refusal := sealed(0).Submit(millis(50), read(millis(50)))
		Expect(refusal.Reason).To(Equal(dispatch.RefusedNoPrimary))
	})
})

var _ = Describe("a primary that fails", func() {
	It("is doubted by its silence, and gets no work meanwhile", func() {
		group := newGroup()
		placement, _ := group.Submit(0, write(0))
		group.Sent(0, placement)
		Expect(group.Suspects(millis(200))).To(BeEmpty())
		Expect(group.Suspects(millis(300))).To(ConsistOf(primary))
		_, refusal := group.Submit(millis(300), write(millis(300)))
		Expect(refusal.Reason).To(Equal(dispatch.RefusedNoPrimary))
		group.Answered(millis(310), placement, "write", millis(310))
		Expect(group.Suspects(millis(310))).To(BeEmpty())
	})

	It("is doubted after a connection failed until one succeeds", func() {
		group := newGroup()
		group.ConnectFailed(millis(10), primary)
		Expect(group.Suspects(millis(900))).To(ConsistOf(primary))
		group.Connected(millis(1000), primary)
		Expect(group.Suspects(millis(1000))).To(BeEmpty())
	})

	// After a power loss the connections of the lost processes count at the
	// database for three seconds, so that it takes no new ones.
	It("is not doubted while it is full", func() {
		group := newGroup()
		group.ConnectRefused(0, primary, dispatch.ConnectRefusal{})
		Expect(group.Suspects(millis(50))).To(BeEmpty())
		placement, refusal := group.Submit(millis(10), write(millis(10)))
		Expect(placement).To(BeNil())
		Expect(refusal).To(BeNil())
		Expect(group.DecideWaiting(millis(90))).To(BeEmpty())
		Expect(group.DecideWaiting(millis(110))).To(HaveLen(1))
	})
})

var _ = Describe("an upstream that refuses connections", func() {
	// A primary that reset everything was taken for one that was full, for five
	// seconds, and was never replaced.
	It("is doubted if it has also lost a statement, until it answers", func() {
		group := newGroup()
		placement, _ := group.Submit(0, write(0))
		group.Sent(0, placement)
		group.ConnectionLost(millis(5), placement)
		Expect(group.RefusingConnections()).To(BeEmpty())
		group.ConnectRefused(millis(10), primary, dispatch.ConnectRefusal{})
		Expect(group.RefusingConnections()).To(ConsistOf(primary))
		Expect(group.Suspects(millis(10))).To(ConsistOf(primary))
		group.Connected(millis(50), primary)
		Expect(group.RefusingConnections()).To(BeEmpty())
		Expect(group.Suspects(millis(50))).To(BeEmpty())
	})

	// A primary whose health check was good reset every statement of five
	// seconds; the connections to it could always be opened.
	It("is doubted if it takes connections and breaks each of them, until it answers", func() {
		group := newGroup()
		for i := range 4 {
			Expect(group.Suspects(millis(10 * i))).To(BeEmpty())
			placement, _ := group.Submit(millis(10*i), write(millis(10*i)))
			group.Connected(millis(10*i), primary)
			group.Sent(millis(10*i), placement)
			group.ConnectionLost(millis(10*i+5), placement)
			group.Release(millis(10*i+5), placement)
		}
		group.Connected(millis(60), primary)
		Expect(group.Suspects(millis(60))).To(ConsistOf(primary))
		group.ProbeAnswered(millis(70), primary)
		Expect(group.Suspects(millis(70))).To(BeEmpty())
	})

	It("is doubted if it has ended an idle connection just before", func() {
		group := newGroup()
		group.ConnectRefused(millis(10), primary, dispatch.ConnectRefusal{AfterLoss: true})
		Expect(group.Suspects(millis(10))).To(ConsistOf(primary))
	})

	// Idle connections were found closed, and new ones reset for good.
	It("is doubted once it has refused all for longer than lost connections count", func() {
		group := newGroup()
		for at := 10; at < 4000; at += 100 {
			group.ConnectRefused(millis(at), primary, dispatch.ConnectRefusal{})
			Expect(group.Suspects(millis(at))).To(BeEmpty())
		}
		group.ConnectRefused(millis(4010), primary, dispatch.ConnectRefusal{})
		Expect(group.RefusingConnections()).To(ConsistOf(primary))
	})

	It("is not doubted while this instance has connections", func() {
		group := newGroup()
		for at := 10; at < 9000; at += 100 {
			group.ConnectRefused(millis(at), primary, dispatch.ConnectRefusal{Open: 1})
		}
		Expect(group.Suspects(millis(9000))).To(BeEmpty())
	})

	It("is not doubted if the loss was long ago", func() {
		group := newGroup()
		placement, _ := group.Submit(0, write(0))
		group.Sent(0, placement)
		group.ConnectionLost(millis(5), placement)
		group.ConnectRefused(millis(1500), primary, dispatch.ConnectRefusal{})
		Expect(group.RefusingConnections()).To(BeEmpty())
		Expect(group.Suspects(millis(1500))).To(BeEmpty())
	})
})

var _ = Describe("a transaction", func() {
	It("makes room for others while it waits for its caller", func() {
		group := newGroup()
		var held []*dispatch.Placement
		for range 2 {
			placement, _ := group.Submit(0, write(0))
			group.Sent(0, placement)
			held = append(held, placement)
		}
		placement, refusal := group.Submit(0, write(0))
		Expect(placement).To(BeNil())
		Expect(refusal).To(BeNil())
		group.Answered(millis(5), held[0], "write", millis(5))
		Expect(group.DecideWaiting(millis(5))).To(HaveLen(1))
	})
})
