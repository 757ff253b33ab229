package meshlink_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/state/model"
)

var _ = Describe("the question to the reader of a region", func() {
	known := &model.Head{Version: 7}

	It("carries what is known", func() {
		question := region.StateQuery{Head: known, CatalogVersion: 3, UpstreamsVersion: 9, Urgent: true}
		ask := meshlink.EncodeRegionAsk(question).GetRegionAsk()
		Expect(meshlink.DecodeRegionAsk(ask)).To(Equal(question))
	})

	DescribeTable("is answered with what is newer",
		func(reply region.StateReply, head *model.Head) {
			decoded, err := meshlink.DecodeRegionAnswer(meshlink.EncodeRegionAnswer(&reply, known.Version), known)
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded.Head).To(Equal(head))
			Expect(decoded.Current).To(Equal(reply.Current))
			Expect(decoded.Catalog).To(Equal(reply.Catalog))
			Expect(decoded.Upstreams).To(Equal(reply.Upstreams))
			Expect(decoded.UpstreamsVersion).To(Equal(reply.UpstreamsVersion))
		},
		Entry("nothing", region.StateReply{Head: &model.Head{Version: 7}, Current: true}, known),
		Entry("no head row", region.StateReply{}, nil),
		Entry("all", region.StateReply{
			Head: &model.Head{Version: 8, Groups: []model.GroupHead{}, Members: []model.Member{}}, Current: true,
			Catalog: []byte("{}"), Upstreams: []byte("[]"), UpstreamsVersion: 12,
		}, &model.Head{Version: 8, Groups: []model.GroupHead{}, Members: []model.Member{}}),
	)

	It("refuses another message", func() {
		_, err := meshlink.DecodeRegionAnswer(meshlink.EncodeFailure("no"), known)
		Expect(err).To(HaveOccurred())
	})
})
