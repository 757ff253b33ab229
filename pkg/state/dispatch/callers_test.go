package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
)

// newCallerGroup is newGroup with eight connections to each upstream.
func newCallerGroup() *dispatch.Group {
	group := newGroup()
	var specs []dispatch.UpstreamSpec
	for _, id := range []model.UpstreamID{primary, localReplica, remoteReplica} {
		specs = append(specs, dispatch.UpstreamSpec{ID: id, DataCentre: "quay-east", Slots: 2, MaxConnections: 8, MaxOutstanding: 8})
	}
	group.SetUpstreams(specs)
	samplePrimary(group, 0)
	return group
}

func readOf(caller model.CallerName, idleAt ...model.UpstreamID) *dispatch.Unit {
	unit := newRead(millis(10))
	unit.Caller, unit.IdleAt = caller, idleAt
	return unit
}

func writeOf(caller model.CallerName) *dispatch.Unit {
	unit := newWrite(millis(10))
	unit.Caller = caller
	return unit
}

var _ = Describe("the time to open a connection", func() {
	place := func(group *dispatch.Group, unit *dispatch.Unit) model.UpstreamID {
		placement, refusal := group.Submit(millis(10), unit)
		Expect(refusal).To(BeNil())
		return placement.Upstream
	}

	// Guards against reads that alternate between equal replicas, each of which
	// opens a connection at both, and closes those of other callers.
	It("keeps the reads of a caller at the replica where its connection is idle", func() {
		group := newCallerGroup()
		Expect(place(group, readOf("a"))).To(Equal(localReplica))
		Expect(place(newCallerGroup(), readOf("a", remoteReplica))).To(Equal(remoteReplica))
	})

	// Guards against a caller that stays at a busy replica while another is free.
	It("does not keep them there if another replica answers sooner all the same", func() {
		group := newCallerGroup()
		for range 4 {
			Expect(place(group, readOf("a", remoteReplica))).NotTo(Equal(primary))
		}
		placement, _ := group.Submit(millis(10), readOf("b", remoteReplica))
		Expect(placement.Upstream).To(Equal(localReplica))
	})

	It("is learnt from the openings", func() {
		group := newCallerGroup()
		Expect(place(group, readOf("a", remoteReplica))).To(Equal(remoteReplica))
		// With one statement at the replica, another read costs half of the route's
		// latency of 15 ms more there, which is less than an opening elsewhere.
		placement, _ := group.Submit(millis(10), readOf("b", remoteReplica))
		Expect(placement.Upstream).To(Equal(remoteReplica))
		group.Release(millis(10), placement)
		for range 100 {
			for _, id := range []model.UpstreamID{primary, localReplica, remoteReplica} {
				group.Opened(&dispatch.Placement{Upstream: id}, millis(1))
			}
		}
		Expect(place(group, readOf("c", remoteReplica))).To(Equal(localReplica))
	})

	It("does not count for units without a caller", func() {
		Expect(place(newCallerGroup(), readOf("", remoteReplica))).To(Equal(localReplica))
	})
})

var _ = Describe("the connections of a caller", func() {
	// Guards against idle transactions of one caller that hold all connections, so
	// that no other caller's write could run until they end.
	It("are at most half of those to an upstream", func() {
		group := newCallerGroup()
		var held []*dispatch.Placement
		for range 4 {
			placement, _ := group.Submit(millis(10), writeOf("a"))
			Expect(placement).NotTo(BeNil())
			group.Sent(millis(10), placement)
			group.Answered(millis(12), placement, "write", millis(2))
			held = append(held, placement)
		}
		fifth := writeOf("a")
		placement, refusal := group.Submit(millis(12), fifth)
		Expect(placement).To(BeNil())
		Expect(refusal).To(BeNil())
		other, _ := group.Submit(millis(12), writeOf("b"))
		Expect(other).NotTo(BeNil())
		Expect(group.DecideWaiting(millis(13))).To(BeEmpty())

		group.Release(millis(20), held[0])
		decisions := group.DecideWaiting(millis(20))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Unit).To(BeIdenticalTo(fifth))
		Expect(decisions[0].Placement).NotTo(BeNil())
	})

	// Guards against many waiting units of a caller that holds all the connections
	// that it may: they must not keep units of others, queued later, from a free one.
	It("leave the free ones to others, however many units of the caller wait", func() {
		group := newCallerGroup()
		for range 4 {
			placement, _ := group.Submit(millis(10), writeOf("a"))
			group.Sent(millis(10), placement)
			group.Answered(millis(12), placement, "write", millis(2))
		}
		var others []*dispatch.Placement
		for range 4 {
			placement, _ := group.Submit(millis(12), writeOf(""))
			others = append(others, placement)
		}
		for session := range 40 {
			unit := writeOf("a")
			unit.Session = uint64(session)
			queue(group, millis(12), unit)
		}
		late := writeOf("b")
		late.Weight = 4
		waiting := queue(group, millis(13), late)
		group.Release(millis(14), others[0])
		decisions := group.DecideWaiting(millis(14))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Unit).To(BeIdenticalTo(waiting))
	})

	It("are not bounded without a name, and at least one with a name", func() {
		group := newCallerGroup()
		for range 8 {
			placement, _ := group.Submit(millis(10), writeOf(""))
			Expect(placement).NotTo(BeNil())
		}
		group.SetUpstreams([]dispatch.UpstreamSpec{{ID: localReplica, Slots: 2, MaxConnections: 1, MaxOutstanding: 1}})
		group.SetLeadership(dispatch.Leadership{Generation: 2, Primary: localReplica, PermitUntil: time.Hour, Term: 1})
		placement, _ := group.Submit(millis(10), writeOf("a"))
		Expect(placement).NotTo(BeNil())
	})

	// Guards against a count that is never lowered when reads fall back to other
	// upstreams, or that is lowered twice.
	It("are counted down as they are released", func() {
		group := newCallerGroup()
		for range 100 {
			placement, _ := group.Submit(millis(10), writeOf("a"))
			Expect(placement).NotTo(BeNil())
			group.Release(millis(10), placement)
		}
	})
})
