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

func TestRegion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "region")
}

func upstream(id model.UpstreamID) catalog.Upstream {
	return catalog.Upstream{ID: id, Group: "g", Address: "10.0.0.1:80", Slots: 2}
}

var _ = Describe("registry", func() {
	It("keeps an upstream whose row is gone for as long as the row may come back", func() {
		r := region.NewRegistry()
		Expect(r.Put(upstream("a"))).To(BeTrue())
		r.Remove(time.Second, "a")
		Expect(r.Of("g")).To(HaveLen(1))
		Expect(r.Present()).To(BeEmpty())
		Expect(r.Expire(time.Second + region.RemovalGrace - 1)).To(BeEmpty())
		Expect(r.Expire(time.Second + region.RemovalGrace)).To(ConsistOf(model.UpstreamID("a")))
		Expect(r.Of("g")).To(BeEmpty())
	})

	It("forgets the removal of a row that is back", func() {
		r := region.NewRegistry()
		r.Put(upstream("a"))
		r.Remove(0, "a")
		Expect(r.Put(upstream("a"))).To(BeTrue())
		Expect(r.Expire(time.Hour)).To(BeEmpty())
	})

	It("takes a whole table as what there is", func() {
		r := region.NewRegistry()
		r.Put(upstream("a"))
		Expect(r.Replace(0, []catalog.Upstream{upstream("b")})).To(BeTrue())
		Expect(r.Replace(0, []catalog.Upstream{upstream("b")})).To(BeFalse())
		Expect(r.Present()).To(Equal([]catalog.Upstream{upstream("b")}))
		Expect(r.Of("g")).To(Equal([]catalog.Upstream{upstream("a"), upstream("b")}))
	})

	It("tells a change of state from a heartbeat", func() {
		r := region.NewRegistry()
		r.Put(upstream("a"))
		Expect(r.Put(upstream("a"))).To(BeFalse())
		draining := upstream("a")
		draining.Draining = true
		Expect(r.Put(draining)).To(BeTrue())
	})
})
