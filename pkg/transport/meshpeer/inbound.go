package meshpeer

import (
	"context"
	"net"
	"time"

	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

// Inbound dispatches the messages and forwarded units of work of peers to the
// components of this instance. It implements mesh.Handler. The fields must be
// set before the mesh starts; Forwards and Rates may be nil.
type Inbound struct {
	Control  Control
	Homes    Homes
	Reader   Reader
	Forwards ForwardServer
	Rates    Rates
}

// Rates handles the reports of peers on the use of callers with a rate limit.
type Rates interface {
	// Receive handles one report of a peer.
	Receive(from model.InstanceID, report quota.Report)
}

// HandleMessage handles one message of a peer. A call is answered through
// reply.
func (h *Inbound) HandleMessage(from model.InstanceID, message *meshpb.Envelope, reply func(*meshpb.Envelope)) {
	switch body := message.GetBody().(type) {
	case *meshpb.Envelope_Status:
		h.Control.StatusReceived(from, meshlink.DecodeStatus(body.Status))
	case *meshpb.Envelope_UsageReport:
		if h.Rates != nil {
			h.Rates.Receive(from, meshlink.DecodeUsage(body.UsageReport))
		}
	case *meshpb.Envelope_GrantHint:
		h.Control.GrantHinted(model.UpstreamID(body.GrantHint.GetUpstream()))
	case *meshpb.Envelope_HeadAsk:
		h.handleHeadAsk(body.HeadAsk, reply)
	case *meshpb.Envelope_BundleAsk:
		reply(h.bundle(body.BundleAsk.GetDigest()))
	default:
		h.handleMarks(from, message, reply)
	}
}

// handleMarks handles the messages about sessions' marks.
func (h *Inbound) handleMarks(from model.InstanceID, message *meshpb.Envelope, reply func(*meshpb.Envelope)) {
	switch body := message.GetBody().(type) {
	case *meshpb.Envelope_MarkStore:
		store := body.MarkStore
		status := h.Homes.StoreMark(meshlink.Key(store.GetKey()), meshlink.Mark(store.GetMark()), store.GetMembersVersion())
		reply(meshlink.EncodeMarkStored(status))
	case *meshpb.Envelope_MarkAsk:
		answer := h.Homes.AskMark(meshlink.Key(body.MarkAsk.GetKey()), body.MarkAsk.GetMembersVersion())
		reply(meshlink.EncodeMarkAnswer(answer))
	case *meshpb.Envelope_MarkTold:
		h.Homes.ApplyLossReported(meshlink.Key(body.MarkTold.GetKey()), meshlink.Mark(body.MarkTold.GetMark()))
	case *meshpb.Envelope_LostMark:
		lost := body.LostMark
		status := h.Homes.AcceptLostMark(meshlink.Key(lost.GetKey()), meshlink.Mark(lost.GetMark()), lost.GetMembersVersion())
		reply(meshlink.EncodeMarkStored(status))
	case *meshpb.Envelope_HandedOver:
		h.Homes.HandedOver(from, model.RowVersion(body.HandedOver.GetHeadVersion()))
	default:
		h.handleControl(from, message, reply)
	}
}

// handleControl passes the messages of the failover state machine on. Any other
// message is answered with a failure.
func (h *Inbound) handleControl(from model.InstanceID, message *meshpb.Envelope, reply func(*meshpb.Envelope)) {
	decoded, found := meshlink.Decode(message)
	if !found {
		reply(meshlink.EncodeFailure("no answer to this message"))
		return
	}
	h.Control.PeerMessageReceived(from, decoded)
}

// handleHeadAsk answers with the head row that this instance knows, or reads the
// row from the metadata store first if the peer asks for a fresh one.
func (h *Inbound) handleHeadAsk(ask *meshpb.HeadAsk, reply func(*meshpb.Envelope)) {
	if !ask.GetFresh() {
		reply(h.head())
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		head, err := h.Reader.ReadForPeer(ctx)
		if err != nil {
			reply(meshlink.EncodeFailure("the table gave no answer"))
			return
		}
		reply(meshlink.EncodeHeadAnswer(head, model.RowVersion(ask.GetKnownVersion())))
	}()
}

// readTimeout bounds a read of the head row for a peer.
const readTimeout = 2 * time.Second

// head returns the answer with the head row that this instance knows.
func (h *Inbound) head() *meshpb.Envelope {
	head := h.Control.Snapshot().View.Head
	if head == nil {
		return meshlink.EncodeFailure("no head row known")
	}
	return meshlink.EncodeHead(head)
}

// bundle returns the answer with the bundle that has the digest.
func (h *Inbound) bundle(digest string) *meshpb.Envelope {
	data, found := h.Control.Bundle(digest)
	if !found {
		return meshlink.EncodeFailure("no such bundle")
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_BundleAnswer{BundleAnswer: &meshpb.BundleAnswer{Bundle: data}}}
}

// HandleForward serves a forwarded unit of work. It closes conn if this instance
// serves none.
func (h *Inbound) HandleForward(ctx context.Context, from model.InstanceID, open *meshpb.ForwardOpen, conn net.Conn) {
	if h.Forwards == nil {
		_ = conn.Close()
		return
	}
	h.Forwards.Serve(ctx, from, open, conn)
}
