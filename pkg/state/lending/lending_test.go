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

func fleet(count, dataCentres int) []model.Member {
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
	It("gives each instance connections of its own where there are enough", func() {
		members := fleet(4, 3)
		for _, member := range members {
			plan := lending.NewPlan(member.ID, upstream(16), 4, members)
			Expect(plan).To(Equal(lending.Plan{OwnConnections: 3}))
		}
	})

	It("gives an instance that knows of no other connections of its own", func() {
		plan := lending.NewPlan("i0", upstream(28), 28, fleet(1, 1))
		Expect(plan.OwnConnections).To(BeNumerically(">", 0))
		Expect(plan.Lenders).To(BeEmpty())
	})

	// 28 instances with a connection each left none at a limit of 28: after a
	// power loss nobody could connect for the seconds in which the upstream
	// still counted the lost ones.
	It("leaves a third of the connections free on a fleet as large as the limit", func() {
		members := fleet(28, 3)
		held := 0
		for _, member := range members {
			held += lending.NewPlan(member.ID, upstream(28), 28, members).OwnConnections
		}
		Expect(held).To(BeNumerically(">=", 12))
		Expect(held).To(BeNumerically("<=", 28*2/3))
	})

	It("names holders of the upstream's data centre, the same to all", func() {
		members := fleet(28, 3)
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
		for _, holder := range first {
			Expect(byID[holder]).To(Equal(model.DataCentre("dc0")))
		}
	})

	It("never holds more than the limit, and always names a way, for any fleet", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(1, 400).Draw(t, "instances")
			limit := rapid.IntRange(1, 200).Draw(t, "limit")
			members := fleet(count, rapid.IntRange(1, 5).Draw(t, "data centres"))
			held := 0
			for _, member := range members {
				plan := lending.NewPlan(member.ID, upstream(limit), count, members)
				held += plan.OwnConnections
				if plan.OwnConnections == 0 && len(plan.Lenders) == 0 {
					t.Fatalf("%s reaches the upstream in no way", member.ID)
				}
			}
			if held > limit {
				t.Fatalf("%d connections held of %d", held, limit)
			}
		})
	})
})
