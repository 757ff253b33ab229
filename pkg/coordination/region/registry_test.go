package region_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// suite is the test that runs the specs. Specs in virtual time need it.
var suite *testing.T

func TestRegion(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "region")
}

func upstream(id model.UpstreamID) catalog.Upstream {
	return catalog.Upstream{ID: id, Group: "g", Address: "10.0.0.1:80", Slots: 2}
}

var _ = Describe("registry", func() {
	It("keeps an upstream for the grace period after its row was deleted", func() {
		r := region.NewRegistry()
		Expect(r.Put(upstream("a"))).To(BeTrue())
		r.Remove(time.Second, "a")
		Expect(r.ByGroup("g")).To(HaveLen(1))
		Expect(r.Present()).To(BeEmpty())
		Expect(r.Expire(time.Second + region.RemovalGrace - 1)).To(BeEmpty())
		Expect(r.Expire(time.Second + region.RemovalGrace)).To(ConsistOf(model.UpstreamID("a")))
		Expect(r.ByGroup("g")).To(BeEmpty())
	})

	It("keeps an upstream whose row reappears in time", func() {
		r := region.NewRegistry()
		r.Put(upstream("a"))
		r.Remove(0, "a")
		Expect(r.Put(upstream("a"))).To(BeTrue())
		Expect(r.Expire(time.Hour)).To(BeEmpty())
	})

	It("removes the upstreams that a complete read of the table lacks", func() {
		r := region.NewRegistry()
		r.Put(upstream("a"))
		Expect(r.Replace(0, []catalog.Upstream{upstream("b")})).To(BeTrue())
		Expect(r.Replace(0, []catalog.Upstream{upstream("b")})).To(BeFalse())
		Expect(r.Present()).To(Equal([]catalog.Upstream{upstream("b")}))
		Expect(r.ByGroup("g")).To(Equal([]catalog.Upstream{upstream("a"), upstream("b")}))
	})

	It("reports a change of state, but not a row written again unchanged", func() {
		r := region.NewRegistry()
		r.Put(upstream("a"))
		Expect(r.Put(upstream("a"))).To(BeFalse())
		draining := upstream("a")
		draining.Draining = true
		Expect(r.Put(draining)).To(BeTrue())
	})
})
