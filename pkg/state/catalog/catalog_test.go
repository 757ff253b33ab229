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
	made := catalog.New(7,
		[]catalog.Route{{Database: "tenant", Group: "b"}, {Database: "accounts", Group: "a"}},
		[]catalog.Group{{ID: "c"}, {ID: "b"}, {ID: "a"}}, catalog.Limits{})

	It("finds routes and groups by name", func() {
		route, found := made.Route("tenant")
		Expect(found).To(BeTrue())
		Expect(route.Group).To(Equal(model.GroupID("b")))
		_, found = made.Route("other")
		Expect(found).To(BeFalse())
		_, found = made.Group("c")
		Expect(found).To(BeTrue())
	})

	It("names the groups that a route leads to", func() {
		Expect(made.RoutedGroups()).To(Equal([]catalog.Group{{ID: "a"}, {ID: "b"}}))
	})

	DescribeTable("goes up by version only",
		func(held, offered catalog.Version, newest catalog.Version) {
			before := &catalog.Catalog{Version: held}
			Expect(catalog.Newer(before, &catalog.Catalog{Version: offered}).Version).To(Equal(newest))
		},
		Entry("newer", catalog.Version(3), catalog.Version(9), catalog.Version(9)),
		Entry("the same", catalog.Version(3), catalog.Version(3), catalog.Version(3)),
		Entry("older", catalog.Version(9), catalog.Version(3), catalog.Version(9)),
	)

	It("takes the first configuration, and keeps what it holds without an offer", func() {
		Expect(catalog.Newer(nil, made)).To(BeIdenticalTo(made))
		Expect(catalog.Newer(made, nil)).To(BeIdenticalTo(made))
	})
})

var _ = Describe("SameProcess", func() {
	upstream := catalog.Upstream{ID: "a", Group: "g", Address: "10.0.0.1:80", Started: 5}

	DescribeTable("tells a database that started again from one that changed its state",
		func(change func(*catalog.Upstream), same bool) {
			other := upstream
			change(&other)
			Expect(upstream.SameProcess(other)).To(Equal(same))
		},
		Entry("drains", func(u *catalog.Upstream) { u.Draining = true }, true),
		Entry("was promoted", func(u *catalog.Upstream) { u.ClaimsPrimary = true }, true),
		Entry("started again", func(u *catalog.Upstream) { u.Started = 6 }, false),
		Entry("moved", func(u *catalog.Upstream) { u.Address = "10.0.0.2:80" }, false),
	)
})
