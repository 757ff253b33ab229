package meshlink_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

func TestMeshlink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "meshlink")
}

var _ = DescribeTable("a peer message is unchanged after encoding and decoding",
	func(message failover.PeerMessage) {
		data, err := proto.Marshal(meshlink.Encode(message))
		Expect(err).NotTo(HaveOccurred())
		var envelope meshpb.Envelope
		Expect(proto.Unmarshal(data, &envelope)).To(Succeed())
		decoded, found := meshlink.Decode(&envelope)
		Expect(found).To(BeTrue())
		Expect(decoded).To(Equal(message))
	},
	Entry(nil, failover.StopWrites{Group: "plugs", Generation: 2, HeadVersion: 3, Planned: true}),
	Entry(nil, failover.WritesStopped{Group: "plugs", Generation: 2, HeadVersion: 3}),
	Entry(nil, failover.PromiseAsked{Round: 1, MembersVersion: 2, HeadVersion: 3}),
	Entry(nil, failover.PromiseGiven{Round: 1, MembersVersion: 2, HeadVersion: 3}),
	Entry(nil, failover.PromiseRefused{Round: 1, HeadVersion: 3}),
	Entry(nil, failover.HeadChanged{Version: 9}),
	Entry(nil, failover.AdoptionAsked{HeadVersion: 9}),
	Entry(nil, failover.AdoptionConfirmed{HeadVersion: 9}),
	Entry(nil, failover.Observed{CutOff: true, Groups: []failover.Observation{{Group: "plugs", Generation: 2, Reachable: true}}}),
	Entry(nil, failover.HeadSent{Head: &model.Head{Version: 4, Revision: 2, Members: []model.Member{{ID: "a"}}}}),
)
