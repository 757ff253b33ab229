package catalog_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

var _ = Describe("Catalog", func() {
	current := catalog.New(7,
		[]catalog.Route{{Database: "tenant", Group: "b"}, {Database: "accounts", Group: "a"}},
		[]catalog.Group{{ID: "c"}, {ID: "b"}, {ID: "a"}}, catalog.Limits{})

	It("finds routes and groups by name", func() {
		route, found := current.Route("tenant")
		Expect(found).To(BeTrue())
		Expect(route.Group).To(Equal(model.GroupID("b")))
		_, found = current.Route("other")
		Expect(found).To(BeFalse())
		_, found = current.Group("c")
		Expect(found).To(BeTrue())
	})

	It("returns the groups to which a route leads", func() {
		Expect(current.RoutedGroups()).To(Equal([]catalog.Group{{ID: "a"}, {ID: "b"}}))
	})

	DescribeTable("is replaced only by a newer version",
		func(version, offered catalog.Version, newest catalog.Version) {
			before := &catalog.Catalog{Version: version}
			Expect(catalog.Newer(before, &catalog.Catalog{Version: offered}).Version).To(Equal(newest))
		},
		Entry("newer", catalog.Version(3), catalog.Version(9), catalog.Version(9)),
		Entry("the same", catalog.Version(3), catalog.Version(3), catalog.Version(3)),
		Entry("older", catalog.Version(9), catalog.Version(3), catalog.Version(9)),
	)

	It("accepts the first configuration, and is kept if none is offered", func() {
		Expect(catalog.Newer(nil, current)).To(BeIdenticalTo(current))
		Expect(catalog.Newer(current, nil)).To(BeIdenticalTo(current))
	})
})

var _ = Describe("SameProcess", func() {
	upstream := catalog.Upstream{ID: "a", Group: "g", Address: "10.0.0.1:80", Started: 5}

	DescribeTable("tells a restart or a move from a change of state",
		func(change func(*catalog.Upstream), same bool) {
			other := upstream
			change(&other)
			Expect(upstream.SameProcess(other)).To(Equal(same))
		},
		Entry("is draining", func(u *catalog.Upstream) { u.Draining = true }, true),
		Entry("was promoted", func(u *catalog.Upstream) { u.ClaimsPrimary = true }, true),
		Entry("was restarted", func(u *catalog.Upstream) { u.Started = 6 }, false),
		Entry("has another address", func(u *catalog.Upstream) { u.Address = "10.0.0.2:80" }, false),
	)
})
