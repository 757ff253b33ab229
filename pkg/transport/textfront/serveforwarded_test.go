package textfront

import (
	"bufio"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/transport/textforward"
)

var _ = Describe("ServeForwarded", func() {
	// exchange sends a request to a server and returns its reply.
	exchange := func(request *meshpb.UnitRequest) *meshpb.UnitReply {
		server := newFixture(catalog.Route{}, startUpstream())
		near, far := loopback()
		DeferCleanup(near.Close)
		go server.server.ServeForwarded("peer", far)
		Expect(textforward.WriteFrame(near, request, time.Now().Add(time.Minute))).To(Succeed())
		reply := &meshpb.UnitReply{}
		Expect(textforward.ReadFrame(bufio.NewReader(near), reply)).To(Succeed())
		return reply
	}
	valid := func() *meshpb.UnitRequest {
		return &meshpb.UnitRequest{
			Unit: &meshpb.UnitOpen{Route: "r", Group: string(group)},
			Kind: uint32(statement.Read), Id: "i", Text: "READ a", TimeLeftMs: 1000,
		}
	}

	It("answers a unit of a group that it serves", func() {
		reply := exchange(valid())
		Expect(reply.GetRefusal()).To(Equal(meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED))
		Expect(string(reply.GetOutput())).To(HavePrefix("DATAROW v"))
		Expect(reply.GetLoad()).NotTo(BeNil())
	})

	DescribeTable("refuses what it cannot carry out",
		func(change func(*meshpb.UnitRequest), refusal meshpb.UnitRefusal) {
			request := valid()
			change(request)
			reply := exchange(request)
			Expect(reply.GetRefusal()).To(Equal(refusal))
			Expect(reply.GetOutput()).To(BeEmpty())
		},
		Entry("no unit", func(r *meshpb.UnitRequest) { r.Unit = nil }, meshpb.UnitRefusal_UNIT_REFUSAL_MALFORMED),
		Entry("unknown group", func(r *meshpb.UnitRequest) { r.Unit.Group = "other" }, meshpb.UnitRefusal_UNIT_REFUSAL_NOT_SERVED),
		Entry("unknown consistency", func(r *meshpb.UnitRequest) { r.Unit.Consistency = 99 }, meshpb.UnitRefusal_UNIT_REFUSAL_MALFORMED),
		Entry("unknown kind", func(r *meshpb.UnitRequest) { r.Kind = 99 }, meshpb.UnitRefusal_UNIT_REFUSAL_MALFORMED),
		Entry("a second statement in the text", func(r *meshpb.UnitRequest) { r.Text = "READ a\r\nQUERY x WRITE a 1" },
			meshpb.UnitRefusal_UNIT_REFUSAL_MALFORMED),
		Entry("a second statement in a value", func(r *meshpb.UnitRequest) { r.Values = map[string]string{"tz": "utc\nQUERY"} },
			meshpb.UnitRefusal_UNIT_REFUSAL_MALFORMED),
	)

	It("refuses a message that is too long", func() {
		server := newFixture(catalog.Route{}, startUpstream())
		near, far := loopback()
		DeferCleanup(near.Close)
		go server.server.ServeForwarded("peer", far)
		_, err := near.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
		Expect(err).NotTo(HaveOccurred())
		reply := &meshpb.UnitReply{}
		Expect(textforward.ReadFrame(bufio.NewReader(near), reply)).To(Succeed())
		Expect(reply.GetRefusal()).To(Equal(meshpb.UnitRefusal_UNIT_REFUSAL_MALFORMED))
	})
})
