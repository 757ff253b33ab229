package meshlink_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/transfer"
)

var _ = Describe("the query to the reader of a region", func() {
	known := &model.Head{Version: 7}

	It("is unchanged after encoding and decoding", func() {
		query := region.StateQuery{Head: known, CatalogVersion: 3, UpstreamsVersion: 9, Urgent: true, TakesOffers: true}
		ask := meshlink.EncodeRegionAsk(query).GetRegionAsk()
		Expect(meshlink.DecodeRegionAsk(ask)).To(Equal(query))
	})

	DescribeTable("gets an answer with the newer parts only",
		func(reply region.StateReply, head *model.Head) {
			decoded, err := meshlink.DecodeRegionAnswer(meshlink.EncodeRegionAnswer(&reply, known.Version), known)
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded.Head).To(Equal(head))
			Expect(decoded.Current).To(Equal(reply.Current))
			Expect(decoded.Catalog).To(Equal(reply.Catalog))
			Expect(decoded.Upstreams).To(Equal(reply.Upstreams))
			Expect(decoded.UpstreamsVersion).To(Equal(reply.UpstreamsVersion))
			Expect(decoded.CatalogOffer).To(Equal(reply.CatalogOffer))
			Expect(decoded.UpstreamsOffer).To(Equal(reply.UpstreamsOffer))
		},
		Entry("offers", region.StateReply{
			Head: &model.Head{Version: 7}, Current: true, UpstreamsVersion: 12,
			CatalogOffer:   &region.TableOffer{Version: 15, Offer: transfer.Offer{Digest: transfer.Digest{1, 2}, Size: 70_000}},
			UpstreamsOffer: &region.TableOffer{Version: 12, Offer: transfer.Offer{Digest: transfer.Digest{3}, Size: 1}},
		}, known),
		Entry("nothing newer", region.StateReply{Head: &model.Head{Version: 7}, Current: true}, known),
		Entry("no head row", region.StateReply{}, nil),
		Entry("all parts newer", region.StateReply{
			Head: &model.Head{Version: 8, Groups: []model.GroupHead{}, Members: []model.Member{}}, Current: true,
			Catalog: []byte("{}"), Upstreams: []byte("[]"), UpstreamsVersion: 12,
		}, &model.Head{Version: 8, Groups: []model.GroupHead{}, Members: []model.Member{}}),
	)

	// A confirmation that becomes newer on its way lets a removed key live on.
	DescribeTable("gets the age of the confirmation, rounded up",
		func(reply region.StateReply, age time.Duration) {
			reply.Head = &model.Head{Version: 7}
			decoded, err := meshlink.DecodeRegionAnswer(meshlink.EncodeRegionAnswer(&reply, known.Version), known)
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded.Confirmed).To(Equal(reply.Confirmed))
			Expect(decoded.ConfirmationAge).To(Equal(age))
		},
		Entry("none", region.StateReply{}, time.Duration(0)),
		Entry("zero", region.StateReply{Confirmed: true}, time.Duration(0)),
		Entry("part of a millisecond", region.StateReply{Confirmed: true, ConfirmationAge: 1}, time.Millisecond),
		Entry("whole milliseconds", region.StateReply{Confirmed: true, ConfirmationAge: 2 * time.Second}, 2*time.Second),
		Entry("and a part", region.StateReply{Confirmed: true, ConfirmationAge: 2*time.Second + 1}, 2*time.Second+time.Millisecond),
	)

	It("gets a bounded age from a peer that sends an absurd one", func() {
		answer := meshlink.EncodeRegionAnswer(&region.StateReply{Head: &model.Head{Version: 7}}, known.Version)
		answer.GetRegionAnswer().ConfirmationAgeMs = math.MaxUint64
		decoded, err := meshlink.DecodeRegionAnswer(answer, known)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.ConfirmationAge).To(Equal(24 * time.Hour))
	})

	It("fails for an answer of another type", func() {
		_, err := meshlink.DecodeRegionAnswer(meshlink.EncodeFailure("no"), known)
		Expect(err).To(HaveOccurred())
	})
})
