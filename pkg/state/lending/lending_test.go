package lending_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gypsumdock/pkg/state/lending"
	"gypsumdock/pkg/state/model"
)

func TestLending(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lending")
}

func newMembers(count, dataCentres int) []model.Member {
	var members []model.Member
	for i := range count {
		members = append(members, model.Member{
			ID:         model.InstanceID(fmt.Sprintf("i%d", i)),
			DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i%dataCentres)),
		})
	}
	return members
}

func upstream(limit int) lending.Upstream {
	return lending.Upstream{ID: "u", DataCentre: "dc0", MaxConnections: limit}
}

var _ = Describe("NewPlan", func() {
	It("gives each instance its own connections if there are enough", func() {
		members := newMembers(4, 3)
		for _, member := range members {
			plan := lending.NewPlan(member.ID, upstream(16), 4, members)
			Expect(plan).To(Equal(lending.Plan{OwnConnections: 3}))
		}
	})

	It("gives an instance that knows no other instance its own connections", func() {
		plan := lending.NewPlan("i0", upstream(28), 28, newMembers(1, 1))
		Expect(plan.OwnConnections).To(BeNumerically(">", 0))
		Expect(plan.Lenders).To(BeEmpty())
	})

	// Regression test: 28 instances with one connection each used up a limit of
	// 28. After a power loss no instance could connect for the seconds in which
	// the upstream still counted the lost connections.
	It("leaves a third of the connections free if there are as many instances as connections", func() {
		members := newMembers(28, 3)
		total := 0
		for _, member := range members {
			total += lending.NewPlan(member.ID, upstream(28), 28, members).OwnConnections
		}
		Expect(total).To(BeNumerically(">=", 12))
		Expect(total).To(BeNumerically("<=", 28*2/3))
	})

	It("chooses lenders in the upstream's data centre, the same ones for all instances", func() {
		members := newMembers(28, 3)
		first := lending.NewPlan("i0", upstream(28), 28, members).Lenders
		for _, member := range members {
			plan := lending.NewPlan(member.ID, upstream(28), 28, members)
			Expect(plan.Lenders).To(ConsistOf(first))
			Expect(plan.Lends() != plan.Borrows()).To(BeTrue())
		}
		byID := map[model.InstanceID]model.DataCentre{}
		for _, member := range members {
			byID[member.ID] = member.DataCentre
		}
		for _, lender := range first {
			Expect(byID[lender]).To(Equal(model.DataCentre("dc0")))
		}
	})

	It("never exceeds the limit, and gives every instance a connection or a lender", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(1, 400).Draw(t, "instances")
			limit := rapid.IntRange(1, 200).Draw(t, "limit")
			members := newMembers(count, rapid.IntRange(1, 5).Draw(t, "data centres"))
			total := 0
			for _, member := range members {
				plan := lending.NewPlan(member.ID, upstream(limit), count, members)
				total += plan.OwnConnections
				if plan.OwnConnections == 0 && len(plan.Lenders) == 0 {
					t.Fatalf("%s has neither a connection nor a lender", member.ID)
				}
			}
			if total > limit {
				t.Fatalf("%d connections in use, limit %d", total, limit)
			}
		})
	})
})
