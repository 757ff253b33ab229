package region_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/model"
)

// Guards against a generation on an old primary that the platform makes lead a new term a
// moment later: an order for it is answered at once, whether or not anything changes.
var _ = DescribeTable("a promotion that the platform has accepted has had its effect",
	func(id model.UpstreamID, sample region.Sample, settled, expected bool) {
		head := model.GroupHead{Primary: "old", Timeline: 4}
		Expect(region.IsPromoted(id, sample, head, settled)).To(Equal(expected))
	},
	Entry("once a replica leads a later term", model.UpstreamID("new"), region.Sample{Primary: true, Term: 5}, false, true),
	Entry("not while it is a replica", model.UpstreamID("new"), region.Sample{Term: 5}, true, false),
	Entry("not by a lead in the term of the head row", model.UpstreamID("new"), region.Sample{Primary: true, Term: 4}, true, false),
	Entry("once the old primary leads a later term", model.UpstreamID("old"), region.Sample{Primary: true, Term: 6}, false, true),
	Entry("not while the old primary may still start one", model.UpstreamID("old"), region.Sample{Primary: true, Term: 4}, false, false),
	Entry("once the old primary has not started one", model.UpstreamID("old"), region.Sample{Primary: true, Term: 4}, true, true),
	Entry("not while the old primary follows another one", model.UpstreamID("old"), region.Sample{Term: 5}, true, false),
)
