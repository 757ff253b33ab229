package meshlink_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/transfer"
)

var _ = Describe("the call for a part of a table", func() {
	digest := transfer.Digest{7, 8, 9}

	It("is unchanged after encoding and decoding, and so is its answer", func() {
		decoded, offset, valid := meshlink.DecodePartAsk(meshlink.EncodePartAsk(digest, 16384).GetPartAsk())
		Expect(valid).To(BeTrue())
		Expect(decoded).To(Equal(digest))
		Expect(offset).To(Equal(16384))
		Expect(meshlink.DecodePart(meshlink.EncodePart([]byte("part")))).To(Equal([]byte("part")))
	})

	It("is answered with nothing if the part is gone", func() {
		_, err := meshlink.DecodePart(meshlink.EncodePart(nil))
		Expect(err).To(MatchError(region.ErrPartGone))
	})

	It("gets an error for another answer", func() {
		_, err := meshlink.DecodePart(meshlink.EncodeFailure("no"))
		Expect(err).To(HaveOccurred())
	})

	DescribeTable("is refused if no table can have such a part",
		func(ask *meshpb.PartAsk) {
			_, _, valid := meshlink.DecodePartAsk(ask)
			Expect(valid).To(BeFalse())
		},
		Entry("short digest", &meshpb.PartAsk{Digest: []byte{1}}),
		Entry("no digest", &meshpb.PartAsk{}),
		Entry("large offset", &meshpb.PartAsk{Digest: digest[:], Offset: math.MaxUint64}),
	)

	DescribeTable("an offer that cannot be is refused",
		func(offer *meshpb.TableOffer) {
			answer := meshlink.EncodeRegionAnswer(&region.StateReply{Head: &model.Head{Version: 7}}, 7)
			answer.GetRegionAnswer().CatalogOffer = offer
			_, err := meshlink.DecodeRegionAnswer(answer, &model.Head{Version: 7})
			Expect(err).To(HaveOccurred())
		},
		Entry("no digest", &meshpb.TableOffer{Version: 1, Size: 1}),
		Entry("size", &meshpb.TableOffer{Version: 1, Digest: digest[:], Size: math.MaxUint64}),
		Entry("version", &meshpb.TableOffer{Version: math.MaxUint64, Digest: digest[:], Size: 1}),
	)
})
