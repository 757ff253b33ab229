// Package meshpeer connects the coordination layer to the mesh: Peers sends the
// messages and calls of this instance, and Inbound dispatches those of other
// instances to the control loop, to the homes of sessions' marks and to the
// reader of the head row.
package meshpeer

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/transfer"
)

// ErrNoAnswer is returned when a peer answered with a failure or with a message
// of another type than expected, and when no peer had an answer.
var ErrNoAnswer = errors.New("peer gave no answer")

// Node sends messages over the mesh. mesh.Node implements it.
type Node interface {
	SetPeers(peers []model.Member)
	Peers() []model.InstanceID
	Send(to model.InstanceID, message *meshpb.Envelope) error
	Call(ctx context.Context, to model.InstanceID, message *meshpb.Envelope) (*meshpb.Envelope, error)
}

// Control handles the messages of peers for the control loop. control.Loop
// implements it.
type Control interface {
	PeerMessageReceived(from model.InstanceID, message failover.PeerMessage)
	StatusReceived(from model.InstanceID, status control.Status)
	GrantHinted(upstream model.UpstreamID)
	Snapshot() *control.Snapshot
	Bundle(digest string) ([]byte, bool)
}

// Homes handles the messages of peers for the homes of sessions' marks.
// sessions.Service implements it.
type Homes interface {
	StoreMark(key marks.Key, mark model.Mark, version uint64) marks.StoreStatus
	AskMark(key marks.Key, version uint64) marks.Answer
	ApplyLossReported(key marks.Key, mark model.Mark)
	AcceptLostMark(key marks.Key, mark model.Mark, version uint64) marks.StoreStatus
	HandedOver(from model.InstanceID, row model.RowVersion)
}

// Reader reads the head row for peers. A read starts after the call of
// ReadForPeer, so that the row is not older than the call.
type Reader interface {
	ReadForPeer(ctx context.Context) (*model.Head, error)
}

// ForwardServer serves units of work that peers forward. It owns conn.
type ForwardServer interface {
	Serve(ctx context.Context, from model.InstanceID, open *meshpb.ForwardOpen, conn net.Conn)
}

// Peers sends messages and calls to other instances. It is safe for concurrent
// use after SetNode. Messages without an answer are sent without guarantee: an
// error of the mesh is ignored.
type Peers struct {
	node        Node
	callTimeout time.Duration
}

// New returns a Peers without a mesh; see SetNode. Each call ends after
// callTimeout at the latest.
func New(callTimeout time.Duration) *Peers { return &Peers{callTimeout: callTimeout} }

// SetNode sets the mesh to send over. It must be called before any other
// method.
func (p *Peers) SetNode(node Node) { p.node = node }

// SetPeers replaces the set of instances to keep connections to.
func (p *Peers) SetPeers(peers []model.Member) { p.node.SetPeers(peers) }

// Peers returns the IDs of the connected peers.
func (p *Peers) Peers() []model.InstanceID { return p.node.Peers() }

// Send sends a message of the failover state machine.
func (p *Peers) Send(to model.InstanceID, message failover.PeerMessage) {
	if envelope := meshlink.Encode(message); envelope != nil {
		_ = p.node.Send(to, envelope)
	}
}

// Announce sends the status of this instance to all connected peers.
func (p *Peers) Announce(status control.Status) {
	for _, peer := range p.node.Peers() {
		_ = p.node.Send(peer, meshlink.EncodeStatus(status))
	}
}

// call sends message and returns the answer, or an error for a failure.
func (p *Peers) call(ctx context.Context, to model.InstanceID, message *meshpb.Envelope) (*meshpb.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	answer, err := p.node.Call(ctx, to, message)
	if err != nil {
		return nil, err
	}
	if failed := answer.GetFailure(); failed != nil {
		return nil, errors.Wrap(ErrNoAnswer, failed.GetReason())
	}
	return answer, nil
}

// HintGrant tells a peer that the row with an upstream's grants has changed.
func (p *Peers) HintGrant(to model.InstanceID, upstream model.UpstreamID) {
	hint := &meshpb.GrantHint{Upstream: string(upstream)}
	_ = p.node.Send(to, &meshpb.Envelope{Body: &meshpb.Envelope_GrantHint{GrantHint: hint}})
}

// FetchBundle returns a peer's copy of the bundle with the digest.
func (p *Peers) FetchBundle(ctx context.Context, from model.InstanceID, digest string) ([]byte, error) {
	ask := &meshpb.Envelope{Body: &meshpb.Envelope_BundleAsk{BundleAsk: &meshpb.BundleAsk{Digest: digest}}}
	answer, err := p.call(ctx, from, ask)
	if err != nil {
		return nil, err
	}
	found := answer.GetBundleAnswer()
	if found == nil {
		return nil, ErrNoAnswer
	}
	return found.GetBundle(), nil
}

// FetchHead asks the connected peers in turn for the head row that they know and
// returns the first answer. The row may be out of date.
func (p *Peers) FetchHead(ctx context.Context) (*model.Head, error) {
	for _, peer := range p.node.Peers() {
		ask := &meshpb.Envelope{Body: &meshpb.Envelope_HeadAsk{HeadAsk: &meshpb.HeadAsk{}}}
		answer, err := p.call(ctx, peer, ask)
		if err != nil {
			continue
		}
		if head, found := meshlink.DecodeHead(answer); found {
			return head, nil
		}
	}
	return nil, ErrNoAnswer
}

// FreshHead returns the head row, read from the metadata store by the relay
// after the call. The relay sends no row if known is still current; known is
// returned then.
func (p *Peers) FreshHead(ctx context.Context, relay model.InstanceID, known *model.Head) (*model.Head, error) {
	answer, err := p.call(ctx, relay, meshlink.EncodeFreshHeadAsk(known.Version))
	if err != nil {
		return nil, err
	}
	return meshlink.DecodeHeadAnswer(answer, known)
}

// QueryState asks the peer that reads the metadata store for others for changes
// since the versions in question.
func (p *Peers) QueryState(ctx context.Context, reader model.InstanceID, question region.StateQuery) (*region.StateReply, error) {
	answer, err := p.call(ctx, reader, meshlink.EncodeRegionAsk(question))
	if err != nil {
		return nil, err
	}
	return meshlink.DecodeRegionAnswer(answer, question.Head)
}

// FetchPart returns the part of a table that the peer has offered.
func (p *Peers) FetchPart(ctx context.Context, from model.InstanceID, digest transfer.Digest, offset int) ([]byte, error) {
	answer, err := p.call(ctx, from, meshlink.EncodePartAsk(digest, offset))
	if err != nil {
		return nil, err
	}
	return meshlink.DecodePart(answer)
}

// StoreMark stores a session's mark at one of its homes.
func (p *Peers) StoreMark(
	ctx context.Context, home marks.Target, key marks.Key, mark model.Mark,
) (marks.StoreStatus, error) {
	answer, err := p.call(ctx, home.Home, meshlink.EncodeMarkStore(key, mark, home.Version))
	if err != nil {
		return marks.StoreRefused, err
	}
	return meshlink.DecodeMarkStored(answer)
}

// AskMark asks a home for a session's mark in a group.
func (p *Peers) AskMark(ctx context.Context, home marks.Target, key marks.Key) (marks.Answer, error) {
	answer, err := p.call(ctx, home.Home, meshlink.EncodeMarkAsk(key, home.Version))
	if err != nil {
		return marks.Answer{}, err
	}
	return meshlink.DecodeMarkAnswer(answer)
}

// SendLossReported tells a home that the session was told of the loss of its
// write. The message is MarkTold in mesh.proto.
func (p *Peers) SendLossReported(home model.InstanceID, key marks.Key, mark model.Mark) {
	_ = p.node.Send(home, meshlink.EncodeMarkTold(key, mark))
}

// HandOver hands the mark of a lost write over to the session's home.
func (p *Peers) HandOver(ctx context.Context, lost marks.LostMark) (marks.StoreStatus, error) {
	answer, err := p.call(ctx, lost.Target.Home, meshlink.EncodeLostMark(lost))
	if err != nil {
		return marks.StoreRefused, err
	}
	return meshlink.DecodeMarkStored(answer)
}

// HandedOver tells a member that this instance has no lost marks left to hand
// over, as of the given version of the head row.
func (p *Peers) HandedOver(to model.InstanceID, row model.RowVersion) {
	done := &meshpb.HandedOver{HeadVersion: int64(row)}
	_ = p.node.Send(to, &meshpb.Envelope{Body: &meshpb.Envelope_HandedOver{HandedOver: done}})
}
