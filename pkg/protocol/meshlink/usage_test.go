package meshlink_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/quota"
)

var _ = Describe("a report of use", func() {
	It("is the same after its transmission, so that no field of it gets lost", func() {
		sent := quota.Report{
			Sent: 7, Echo: 5, Group: 1 << 63, LastGroup: 9, Active: true,
			Usage: []quota.Usage{{Caller: "a", Used: 3, Demand: 1.5}, {Caller: "b"}},
		}
		data, err := proto.Marshal(meshlink.EncodeUsage(sent))
		Expect(err).NotTo(HaveOccurred())
		envelope := &meshpb.Envelope{}
		Expect(proto.Unmarshal(data, envelope)).To(Succeed())
		Expect(meshlink.DecodeUsage(envelope.GetUsageReport())).To(Equal(sent))
	})
})
