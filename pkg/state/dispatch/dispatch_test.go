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
	primary       = model.UpstreamID("a")
	localReplica  = model.UpstreamID("b")
	remoteReplica = model.UpstreamID("c")
	forever       = time.Hour
)

func millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// newGroup returns a group of a primary and two replicas with two slots each.
func newGroup() *dispatch.Group {
	group := dispatch.NewGroup("quay-east")
	group.SetUpstreams([]dispatch.UpstreamSpec{
		{ID: primary, DataCentre: "quay-west", Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
		{ID: localReplica, DataCentre: "quay-east", Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
		{ID: remoteReplica, DataCentre: "gate-north", Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
	})
	group.SetLeadership(dispatch.Leadership{Generation: 1, Primary: primary, PermitUntil: forever, Term: 1})
	return group
}

func newWrite(now time.Duration) *dispatch.Unit {
	return &dispatch.Unit{
		Route: "write", NeedsPrimary: true, Priority: 1, Arrived: now,
		Deadline: now + millis(800), Target: now + millis(100),
	}
}

func newRead(now time.Duration) *dispatch.Unit {
	return &dispatch.Unit{
		Route: "read", Priority: 2, Arrived: now, MaxAge: millis(1500),
		Deadline: now + millis(800), Target: now + millis(200),
	}
}

// samplePrimary records a sample of the primary's log position, which grows by
// one each millisecond.
func samplePrimary(group *dispatch.Group, now time.Duration) {
	group.Freshness().AddPrimarySample(now, model.Position{Term: 1, LSN: model.LSN(now / millis(1))})
}

var _ = Describe("Submit", func() {
	It("places writes at the primary and reads at a fresh replica in the local data centre", func() {
		group := newGroup()
		samplePrimary(group, millis(1000))
		placement, refusal := group.Submit(millis(1010), newWrite(millis(1010)))
		Expect(refusal).To(BeNil())
		Expect(placement.Upstream).To(Equal(primary))
		Expect(placement.RequiredPosition.IsZero()).To(BeTrue())
		placement, refusal = group.Submit(millis(1010), newRead(millis(1010)))
		Expect(refusal).To(BeNil())
		Expect(placement.Upstream).To(Equal(localReplica))
		Expect(placement.RequiredPosition).To(Equal(model.Position{Term: 1, LSN: 1000}))
	})

	It("requires a replica to have applied the session's own writes", func() {
		group := newGroup()
		samplePrimary(group, millis(1000))
		unit := newRead(millis(1300))
		unit.Mark = model.Position{Term: 1, LSN: 1200}
		unit.MarkAt = millis(1200)
		placement, _ := group.Submit(millis(1300), unit)
		Expect(placement.RequiredPosition).To(Equal(unit.Mark))
	})

	It("places a read at the primary if no sample is recent enough", func() {
		group := newGroup()
		samplePrimary(group, millis(1000))
		placement, _ := group.Submit(millis(2600), newRead(millis(2600)))
		Expect(placement.Upstream).To(Equal(primary))
	})

	It("forgets the lag of an upstream that was removed", func() {
		group := newGroup()
		samplePrimary(group, millis(1000))
		group.Freshness().AddReplicaSample(localReplica, millis(3000), model.Position{Term: 1, LSN: 1})
		Expect(group.Freshness().Lag(localReplica)).NotTo(BeZero())
		group.SetUpstreams([]dispatch.UpstreamSpec{{ID: primary, Slots: 2, MaxConnections: 3, MaxOutstanding: 2}})
		Expect(group.Freshness().Lag(localReplica)).To(BeZero())
	})

	It("places no unit at a draining replica or at one where the unit failed before", func() {
		group := newGroup()
		samplePrimary(group, 0)
		group.SetUpstreams([]dispatch.UpstreamSpec{
			{ID: primary, Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
			{ID: localReplica, Slots: 2, MaxConnections: 3, MaxOutstanding: 2, Draining: true},
			{ID: remoteReplica, Slots: 2, MaxConnections: 3, MaxOutstanding: 2},
		})
		unit := newRead(millis(10))
		placement, _ := group.Submit(millis(10), unit)
		Expect(placement.Upstream).To(Equal(remoteReplica))
		unit.FailedUpstreams = append(unit.FailedUpstreams, remoteReplica)
		placement, _ = group.Submit(millis(10), unit)
		Expect(placement.Upstream).To(Equal(primary))
	})

	It("places no unit at a primary whose permit has expired", func() {
		group := newGroup()
		group.SetLeadership(dispatch.Leadership{Generation: 1, Primary: primary, PermitUntil: millis(100)})
		_, refusal := group.Submit(millis(100), newWrite(millis(100)))
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(dispatch.RefusedNoPermit))
		Expect(refusal.RetryAfter).NotTo(BeZero())
	})
})

var _ = Describe("a primary that is being replaced", func() {
	newSealedGroup := func(expected time.Duration) *dispatch.Group {
		group := newGroup()
		group.SetLeadership(dispatch.Leadership{
			Generation: 1, Primary: primary, PermitUntil: forever, Sealed: true, ExpectedAt: expected,
		})
		return group
	}

	It("queues a write that the new primary can serve in time, and places it there", func() {
		group := newSealedGroup(millis(500))
		unit := newWrite(millis(0))
		placement, refusal := group.Submit(0, unit)
		Expect(placement).To(BeNil())
		Expect(refusal).To(BeNil())
		Expect(group.DecideWaiting(millis(300))).To(BeEmpty())
		group.SetLeadership(dispatch.Leadership{Generation: 2, Primary: localReplica, PermitUntil: forever})
		decisions := group.DecideWaiting(millis(520))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Placement.Upstream).To(Equal(localReplica))
		Expect(decisions[0].Placement.Generation).To(Equal(model.Generation(2)))
	})

	It("refuses at once a write that the new primary cannot serve in time", func() {
		_, refusal := newSealedGroup(millis(900)).Submit(0, newWrite(0))
		Expect(refusal.Reason).To(Equal(dispatch.RefusedNoPrimary))
		Expect(refusal.RetryAfter).To(Equal(millis(900)))
	})

	It("still places reads at replicas", func() {
		group := newSealedGroup(0)
		samplePrimary(group, 0)
		placement, refusal := group.Submit(millis(50), newRead(millis(50)))
		Expect(refusal).To(BeNil())
		Expect(placement.Upstream).To(Equal(localReplica))
	})

	It("refuses a read that neither a replica nor the primary can serve", func() {
		_, refusal := newSealedGroup(0).Submit(millis(50), newRead(millis(50)))
		Expect(refusal.Reason).To(Equal(dispatch.RefusedNoPrimary))
	})
})

var _ = Describe("a primary that fails", func() {
	It("is suspected while it does not answer, and gets no unit meanwhile", func() {
		group := newGroup()
		placement, _ := group.Submit(0, newWrite(0))
		group.Sent(0, placement)
		Expect(group.Suspects(millis(200))).To(BeEmpty())
		Expect(group.Suspects(millis(300))).To(ConsistOf(primary))
		_, refusal := group.Submit(millis(300), newWrite(millis(300)))
		Expect(refusal.Reason).To(Equal(dispatch.RefusedNoPrimary))
		group.Answered(millis(310), placement, "write", millis(310))
		Expect(group.Suspects(millis(310))).To(BeEmpty())
	})

	It("is suspected from a failed connection until one succeeds", func() {
		group := newGroup()
		group.ConnectFailed(millis(10), primary)
		Expect(group.Suspects(millis(900))).To(ConsistOf(primary))
		group.Connected(millis(1000), primary)
		Expect(group.Suspects(millis(1000))).To(BeEmpty())
	})

	// After a power loss of an instance the database still counts its
	// connections for three seconds, and may refuse new ones for that time.
	It("is not suspected while it is at its connection limit", func() {
		group := newGroup()
		group.ConnectRefused(0, primary, dispatch.ConnectRefusal{})
		Expect(group.Suspects(millis(50))).To(BeEmpty())
		placement, refusal := group.Submit(millis(10), newWrite(millis(10)))
		Expect(placement).To(BeNil())
		Expect(refusal).To(BeNil())
		Expect(group.DecideWaiting(millis(90))).To(BeEmpty())
		Expect(group.DecideWaiting(millis(110))).To(HaveLen(1))
	})
})

var _ = Describe("an upstream that refuses connections", func() {
	// A primary that reset all connections for five seconds was taken for one at
	// its connection limit, and was not replaced.
	It("is suspected after the loss of a statement, until it accepts a connection", func() {
		group := newGroup()
		placement, _ := group.Submit(0, newWrite(0))
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

	// A primary reset every statement for five seconds, while its health check
	// passed and connections to it could be opened.
	It("is suspected if it accepts connections and breaks each of them, until it answers a probe", func() {
		group := newGroup()
		for i := range 4 {
			Expect(group.Suspects(millis(10 * i))).To(BeEmpty())
			placement, _ := group.Submit(millis(10*i), newWrite(millis(10*i)))
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

	It("is suspected if it closed an idle connection just before", func() {
		group := newGroup()
		group.ConnectRefused(millis(10), primary, dispatch.ConnectRefusal{AfterLoss: true})
		Expect(group.Suspects(millis(10))).To(ConsistOf(primary))
	})

	// Idle connections were found closed, and all new ones were reset.
	It("is suspected once it refuses all connections for longer than it counts those of a failed instance", func() {
		group := newGroup()
		for at := 10; at < 4000; at += 100 {
			group.ConnectRefused(millis(at), primary, dispatch.ConnectRefusal{})
			Expect(group.Suspects(millis(at))).To(BeEmpty())
		}
		group.ConnectRefused(millis(4010), primary, dispatch.ConnectRefusal{})
		Expect(group.RefusingConnections()).To(ConsistOf(primary))
	})

	It("is not suspected while this instance has an open connection", func() {
		group := newGroup()
		for at := 10; at < 9000; at += 100 {
			group.ConnectRefused(millis(at), primary, dispatch.ConnectRefusal{Open: 1})
		}
		Expect(group.Suspects(millis(9000))).To(BeEmpty())
	})

	It("is not suspected if the last loss is long ago", func() {
		group := newGroup()
		placement, _ := group.Submit(0, newWrite(0))
		group.Sent(0, placement)
		group.ConnectionLost(millis(5), placement)
		group.ConnectRefused(millis(1500), primary, dispatch.ConnectRefusal{})
		Expect(group.RefusingConnections()).To(BeEmpty())
		Expect(group.Suspects(millis(1500))).To(BeEmpty())
	})
})

var _ = Describe("a transaction", func() {
	It("lets other units run while it waits for its caller", func() {
		group := newGroup()
		var placements []*dispatch.Placement
		for range 2 {
			placement, _ := group.Submit(0, newWrite(0))
			group.Sent(0, placement)
			placements = append(placements, placement)
		}
		placement, refusal := group.Submit(0, newWrite(0))
		Expect(placement).To(BeNil())
		Expect(refusal).To(BeNil())
		group.Answered(millis(5), placements[0], "write", millis(5))
		Expect(group.DecideWaiting(millis(5))).To(HaveLen(1))
	})
})
