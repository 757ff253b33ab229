package mesh_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/mesh"
)

func TestMesh(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mesh")
}

// echo is a Handler that answers a MarkAsk with the length of the session's name
// as the log position, copies forwarded streams back and puts other messages into
// received.
type echo struct {
	received chan *meshpb.Envelope
	// hold delays the answers of sessions named heldSession until it is closed.
	hold chan struct{}
}

const heldSession = "held"

func (e *echo) HandleMessage(_ model.InstanceID, message *meshpb.Envelope, reply func(*meshpb.Envelope)) {
	ask := message.GetMarkAsk()
	if ask == nil {
		e.received <- message
		return
	}
	mark := &meshpb.Mark{Lsn: uint64(len(ask.GetKey().GetSession()))}
	answer := &meshpb.MarkAnswer{Mark: mark}
	send := func() { reply(&meshpb.Envelope{Body: &meshpb.Envelope_MarkAnswer{MarkAnswer: answer}}) }
	if ask.GetKey().GetSession() != heldSession {
		send()
		return
	}
	go func() {
		<-e.hold
		send()
	}()
}

func (e *echo) HandleForward(_ context.Context, _ model.InstanceID, _ *meshpb.ForwardOpen, conn net.Conn) {
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// start returns a node on a free port, its address and its handler.
func start(id model.InstanceID) (*mesh.Node, model.Member, *echo) {
	listener := listen()
	self := model.Member{ID: id, Address: listener.Addr().String()}
	handler := &echo{received: make(chan *meshpb.Envelope, 16), hold: make(chan struct{})}
	node := mesh.New(mesh.Config{
		Self:     self,
		Region:   "cymru-south",
		Listener: listener,
		Handler:  handler,
		Logger:   slog.New(slog.DiscardHandler),
	})
	DeferCleanup(node.Close)
	return node, self, handler
}

// markAsk returns a call that echo answers.
func markAsk(session string) *meshpb.Envelope {
	return &meshpb.Envelope{Body: &meshpb.Envelope_MarkAsk{MarkAsk: &meshpb.MarkAsk{Key: &meshpb.MarkKey{Session: session}}}}
}

var _ = Describe("Node", func() {
	var left *mesh.Node
	var right model.Member
	var handler *echo

	BeforeEach(func() {
		left, _, _ = start("left")
		_, right, handler = start("right")
		left.SetPeers([]model.Member{right})
		Eventually(func() bool { return left.Connected("right") }).Should(BeTrue())
	})

	It("delivers messages, answers to calls and forwarded streams", func(ctx SpecContext) {
		Expect(left.Send("right", &meshpb.Envelope{Body: &meshpb.Envelope_Status{Status: &meshpb.Status{Revision: 7}}})).To(Succeed())
		var message *meshpb.Envelope
		Eventually(ctx, handler.received).Should(Receive(&message))
		Expect(message.GetStatus().GetRevision()).To(Equal(uint64(7)))

		answer, err := left.Call(ctx, "right", markAsk("12345"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetMarkAnswer().GetMark().GetLsn()).To(Equal(uint64(5)))

		conn, err := left.Forward("right", &meshpb.ForwardOpen{Group: "plugs"})
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("statement"))
		Expect(err).NotTo(HaveOccurred())
		echoed := make([]byte, len("statement"))
		_, err = io.ReadFull(conn, echoed)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(echoed)).To(Equal("statement"))
		Expect(conn.Close()).To(Succeed())
	})

	It("counts the bytes of an answer whose call was given up", func(ctx SpecContext) {
		before := telemetry.MeshLateBytes.With().Get()
		given, giveUp := context.WithCancel(ctx)
		giveUp()
		_, err := left.Call(given, "right", markAsk(heldSession))
		Expect(err).To(MatchError(context.Canceled))
		close(handler.hold)
		Eventually(ctx, telemetry.MeshLateBytes.With().Get).Should(BeNumerically(">", before))
	})

	It("returns ErrPeerUnreachable for an unknown peer", func(ctx SpecContext) {
		_, err := left.Call(ctx, "nobody", markAsk("s"))
		Expect(err).To(MatchError(mesh.ErrPeerUnreachable))
	})

	DescribeTable("closes only the session on which malformed bytes arrived, and logs the cause",
		func(ctx SpecContext, garbage []byte, afterHello bool, event string) {
			logged := telemetry.EventsLogged.With(event)
			before := logged.Get()
			conn, err := net.Dial("tcp", right.Address)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			if afterHello {
				hello := &meshpb.Hello{Version: mesh.ProtocolVersion, Instance: "bad", Region: "cymru-south"}
				_, err = protodelim.MarshalTo(conn, hello)
				Expect(err).NotTo(HaveOccurred())
			}
			_, err = conn.Write(garbage)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, bufio.NewReader(conn))
			Expect(err).To(Or(BeNil(), MatchError(ContainSubstring("reset"))))
			Eventually(logged.Get).Should(Equal(before + 1))
			_, err = left.Call(ctx, "right", markAsk("still here"))
			Expect(err).NotTo(HaveOccurred())
		},
		Entry("instead of the hello", []byte{0x05, 0xff, 0xff, 0xff, 0xff, 0xff}, false, "204"),
		Entry("a hello over the frame limit", []byte{0xff, 0xff, 0xff, 0xff, 0x0f}, false, "206"),
		Entry("instead of a yamux frame", []byte("GET / HTTP/1.1\r\n\r\n"), true, "205"),
	)
})

// FuzzEnvelope checks that no input makes the decoder of frames panic.
func FuzzEnvelope(f *testing.F) {
	f.Add([]byte{0x02, 0x08, 0x01})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		mesh.DecodeEnvelope(data)
	})
}
