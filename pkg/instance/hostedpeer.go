package instance

import (
	"context"
	"log/slog"
	"net"

	"gypsumdock/pkg/coordination/dispatcher"
	"gypsumdock/pkg/coordination/quota"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/mesh"
	"gypsumdock/pkg/transport/textfront"
)

// hostedPeer handles the messages and forwarded units of work of peers.
type hostedPeer struct {
	loop     *region.Loop
	front    *textfront.Server
	dispatch *dispatcher.Dispatcher
	rates    *quota.Service
	logger   *slog.Logger
	// loadRefused limits the log lines about load reports that were refused.
	loadRefused *events.Throttle
}

func newHostedPeer(h *Hosted) hostedPeer {
	return hostedPeer{
		loop: h.loop, front: h.front, dispatch: h.dispatch, rates: h.rates, logger: h.logger,
		loadRefused: events.NewThrottle(events.LoadRefused, loadRefusedInterval),
	}
}

var _ mesh.Handler = hostedPeer{}

// HandleMessage handles one message of a peer.
func (p hostedPeer) HandleMessage(from model.InstanceID, message *meshpb.Envelope, reply func(*meshpb.Envelope)) {
	p.dispatch.PeerHeard(from)
	if report := message.GetLoadReport(); report != nil {
		p.useLoadReport(from, report)
		return
	}
	if message.GetHeadAsk() != nil {
		head := p.loop.Snapshot().View.Head
		if head == nil {
			reply(meshlink.EncodeFailure("no head row known"))
			return
		}
		reply(meshlink.EncodeHead(head))
		return
	}
	if message.GetAlive() != nil {
		reply(&meshpb.Envelope{Body: &meshpb.Envelope_Alive{Alive: &meshpb.Alive{}}})
		return
	}
	if ask := message.GetRegionAsk(); ask != nil {
		go p.answerRegion(ask, reply)
		return
	}
	if ask := message.GetPartAsk(); ask != nil {
		go p.answerPart(ask, reply)
		return
	}
	if report := message.GetUsageReport(); report != nil {
		p.rates.Receive(from, meshlink.DecodeUsage(report))
		return
	}
	decoded, found := meshlink.Decode(message)
	if !found {
		reply(meshlink.EncodeFailure("no answer to this message"))
		return
	}
	p.loop.PeerMessageReceived(from, decoded)
}

// answerRegion answers a peer's query for the region's state from the store.
func (p hostedPeer) answerRegion(ask *meshpb.RegionAsk, reply func(*meshpb.Envelope)) {
	ctx, cancel := context.WithTimeout(context.Background(), meshCallTimeout)
	defer cancel()
	answer, err := p.loop.AnswerStateQuery(ctx, meshlink.DecodeRegionAsk(ask))
	if err != nil {
		reply(meshlink.EncodeFailure(err.Error()))
		return
	}
	reply(meshlink.EncodeRegionAnswer(answer, model.RowVersion(ask.GetHeadVersion())))
}

// answerPart answers a peer that fetches a table. The answer is empty if this
// instance does not have the part.
func (p hostedPeer) answerPart(ask *meshpb.PartAsk, reply func(*meshpb.Envelope)) {
	var part []byte
	if digest, offset, valid := meshlink.DecodePartAsk(ask); valid {
		part, _ = p.loop.AnswerPart(digest, offset)
	}
	reply(meshlink.EncodePart(part))
}

// HandleForward executes a unit of work that a peer forwards.
func (p hostedPeer) HandleForward(_ context.Context, from model.InstanceID, _ *meshpb.ForwardOpen, conn net.Conn) {
	p.front.ServeForwarded(from, conn)
}
