package serving_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/serving"
)

func TestServing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "serving")
}

// region returns this many members, spread over five data centres.
func region(count int) []model.Member {
	var all []model.Member
	for i := range count {
		all = append(all, model.Member{
			ID:         model.InstanceID(fmt.Sprintf("instance-%03d", i)),
			DataCentre: model.DataCentre(fmt.Sprintf("centre-%d", i%5)),
		})
	}
	return all
}

func groupOf(index int) serving.Group {
	return serving.Group{
		ID:          model.GroupID(fmt.Sprintf("group-%d", index)),
		DataCentres: []model.DataCentre{"centre-0", "centre-1", "centre-2"},
	}
}

func dataCentre(id model.InstanceID, among []model.Member) model.DataCentre {
	for _, member := range among {
		if member.ID == id {
			return member.DataCentre
		}
	}
	return ""
}

var _ = Describe("Servers", func() {
	It("are all members of a small region", func() {
		Expect(serving.Servers(groupOf(1), region(4))).To(HaveLen(4))
		Expect(serving.Servers(groupOf(1), region(1))).To(HaveLen(1))
		Expect(serving.Servers(groupOf(1), nil)).To(BeEmpty())
	})

	// Guards against costs that grow with instances x upstreams: 78 instances each
	// held connections to, and permits for, 20 groups.
	It("are few in a large region, in each data centre of the upstreams", func() {
		live := region(78)
		for i := range 20 {
			servers := serving.Servers(groupOf(i), live)
			Expect(servers).To(HaveLen(serving.ServersPerGroup))
			centres := map[model.DataCentre]bool{}
			for _, id := range servers {
				centres[dataCentre(id, live)] = true
			}
			Expect(centres).To(HaveLen(3))
			Expect(centres).To(HaveKey(model.DataCentre("centre-0")))
		}
	})

	It("do not depend on the order of the members", func() {
		live := region(30)
		reversed := region(30)
		for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
			reversed[i], reversed[j] = reversed[j], reversed[i]
		}
		Expect(serving.Servers(groupOf(3), live)).To(Equal(serving.Servers(groupOf(3), reversed)))
	})

	It("change by one when one is lost", func() {
		live := region(30)
		servers := serving.Servers(groupOf(3), live)
		var others []model.Member
		for _, member := range live {
			if member.ID != servers[1] {
				others = append(others, member)
			}
		}
		after := serving.Servers(groupOf(3), others)
		Expect(after).To(HaveLen(serving.ServersPerGroup))
		Expect(after).To(ContainElements(servers[0], servers[2]))
		Expect(after).NotTo(ContainElement(servers[1]))
	})

	It("are spread over the members", func() {
		live := region(12)
		served := map[model.InstanceID]int{}
		for i := range 20 {
			for _, id := range serving.Servers(groupOf(i), live) {
				served[id]++
			}
		}
		for _, count := range served {
			Expect(count).To(BeNumerically("<=", 20))
		}
		Expect(len(served)).To(BeNumerically(">=", 6))
	})
})

var _ = Describe("ForwardOrder", func() {
	It("starts with the servers of the own data centre", func() {
		live := region(20)
		self := model.Member{ID: "caller-side", DataCentre: "centre-2"}
		order := serving.ForwardOrder(self, "group-1", live[:4], "", false)
		Expect(order).To(HaveLen(4))
		Expect(dataCentre(order[0], live)).To(Equal(model.DataCentre("centre-2")))
	})

	It("spreads instances without a server nearby", func() {
		live := region(20)
		first := map[model.InstanceID]int{}
		for i := range 100 {
			self := model.Member{ID: model.InstanceID(fmt.Sprintf("caller-side-%d", i)), DataCentre: "elsewhere"}
			first[serving.ForwardOrder(self, "group-1", live[:4], "", false)[0]]++
		}
		Expect(first).To(HaveLen(4))
		for _, count := range first {
			Expect(count).To(BeNumerically("<", 50))
		}
	})
})

var _ = Describe("the home of a caller", func() {
	servers := region(4)
	order := func(centre model.DataCentre, caller model.CallerName, servers []model.Member) []model.InstanceID {
		return serving.ForwardOrder(model.Member{ID: model.InstanceID("at-" + centre), DataCentre: centre}, "group-1", servers, caller, true)
	}

	// Guards against a caller whose units come through many instances and who opens
	// connections at all servers.
	It("is the same server at all instances, and the order of the others too", func() {
		for i := range 50 {
			caller := model.CallerName(fmt.Sprint("caller-", i))
			Expect(order("centre-0", caller, servers)).To(Equal(order("centre-3", caller, servers)))
		}
	})

	It("is spread over the servers, and only the callers of a lost one move", func() {
		homes := map[model.InstanceID]int{}
		for i := range 400 {
			caller := model.CallerName(fmt.Sprint("caller-", i))
			before := order("centre-0", caller, servers)
			homes[before[0]]++
			after := order("centre-0", caller, servers[1:])
			if before[0] == servers[0].ID {
				Expect(after[0]).To(Equal(before[1]))
			} else {
				Expect(after[0]).To(Equal(before[0]))
			}
		}
		Expect(homes).To(HaveLen(4))
		for _, count := range homes {
			Expect(count).To(BeNumerically("~", 100, 35))
		}
	})

	It("does not exist for a caller with a tenth of all demand, or with unknown demand", func() {
		callers := []catalog.Caller{
			{Name: "large", Rate: 10},
			{Name: "small", Rate: 9.9},
			{Name: "rest-1", Rate: 40},
			{Name: "rest-2", Rate: 40.1},
			{Name: "unknown"},
		}
		Expect(serving.CallersWithHome(callers)).To(Equal(map[model.CallerName]bool{"small": true}))
		Expect(serving.CallersWithHome([]catalog.Caller{{Name: "a"}, {Name: "b"}})).To(BeEmpty())
	})
})

var _ = Describe("ConnectionsPerServer", func() {
	DescribeTable("leaves connections free",
		func(maxConnections, servers, expected int) {
			got := serving.ConnectionsPerServer(maxConnections, servers)
			Expect(got).To(Equal(expected))
			Expect(got * servers).To(BeNumerically("<", maxConnections))
		},
		Entry("small site", 16, 4, 3),
		Entry("large site", 72, 4, 17),
		Entry("one instance left", 16, 1, 13),
	)

	It("is never below one", func() {
		Expect(serving.ConnectionsPerServer(2, 4)).To(Equal(1))
		Expect(serving.ConnectionsPerServer(0, 0)).To(Equal(1))
	})
})

var _ = Describe("NewJoinPolicy", func() {
	small := serving.Machine{Cores: 0.46, LinkMbps: 20}
	large := serving.Machine{Cores: 0.8, LinkMbps: 200}

	It("prefers instances with more processor time and bandwidth", func() {
		weak, strong := serving.NewJoinPolicy("a", small), serving.NewJoinPolicy("a", large)
		Expect(strong.MaxMembers).To(BeNumerically(">", weak.MaxMembers))
		Expect(strong.FirstReadDelay).To(BeZero())
		Expect(weak.FirstReadDelay).NotTo(BeZero())
	})

	It("lets every instance of a small region become a member at once", func() {
		Expect(serving.NewJoinPolicy("a", small).MinMembers).To(Equal(serving.ServersPerGroup))
		Expect(serving.NewJoinPolicy("a", small).MaxMembers).To(BeNumerically(">=", serving.ServersPerGroup))
	})

	It("treats unknown resources as sufficient", func() {
		Expect(serving.NewJoinPolicy("a", serving.Machine{}).MaxMembers).To(Equal(serving.NewJoinPolicy("a", large).MaxMembers))
	})

	// Guards against a start of all instances in which most callers wait for 0.3 s,
	// as the instances that are to become observers read nothing before.
	It("lets the weakest instance read the members within 100 ms of its start", func() {
		weakest := serving.NewJoinPolicy("a", serving.Machine{Cores: 0.001, LinkMbps: 0.1})
		Expect(weakest.FirstReadDelay).To(BeNumerically("<=", 100*time.Millisecond))
		Expect(weakest.UrgentJoinDelay).To(BeNumerically(">", 5*weakest.FirstReadDelay))
	})

	It("spreads the delays of equal instances", func() {
		delays := map[any]bool{}
		for i := range 20 {
			delays[serving.NewJoinPolicy(model.InstanceID(fmt.Sprint(i)), large).JoinDelay] = true
		}
		Expect(len(delays)).To(BeNumerically(">", 15))
	})
})
