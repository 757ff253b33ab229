// Package meshpeer carries the messages of the coordination layer over the
// mesh: it sends those of this instance, and hands those of peers to the
// control state and to the home of sessions.
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
)

// ErrNoAnswer is returned when a peer answered with something else than was
// asked for.
var ErrNoAnswer = errors.New("peer gave no answer")

// Node is what a Peers needs of the mesh. mesh.Node implements it.
type Node interface {
	SetPeers(peers []model.Member)
	Peers() []model.InstanceID
	Send(to model.InstanceID, message *meshpb.Envelope) error
	Call(ctx context.Context, to model.InstanceID, message *meshpb.Envelope) (*meshpb.Envelope, error)
}

// Control takes what peers tell the control state.
type Control interface {
	PeerMessageReceived(from model.InstanceID, message failover.PeerMessage)
	StatusReceived(from model.InstanceID, status control.Status)
	GrantHinted(upstream model.UpstreamID)
	Snapshot() *control.Snapshot
	Bundle(digest string) ([]byte, bool)
}

// Homes takes what peers ask the home of sessions.
type Homes interface {
	StoreMark(key marks.Key, mark model.Mark, version uint64) marks.StoreStatus
	AskMark(key marks.Key, version uint64) marks.Answer
	ApplyLossReported(key marks.Key, mark model.Mark)
	AcceptLostMark(key marks.Key, mark model.Mark, version uint64) marks.StoreStatus
	HandedOver(from model.InstanceID, row model.RowVersion)
}

// Reader reads the head row for peers. The read starts after the call.
type Reader interface {
	ReadForPeer(ctx context.Context) (*model.Head, error)
}

// ForwardServer serves units of work that peers forward. It owns conn.
type ForwardServer interface {
	Serve(ctx context.Context, from model.InstanceID, open *meshpb.ForwardOpen, conn net.Conn)
}

// Peers sends to other instances. It is safe for concurrent use once it is
// connected.
type Peers struct {
	node        Node
	callTimeout time.Duration
}

// New returns a Peers that is not connected. Each call ends after callTimeout
// at the latest.
func New(callTimeout time.Duration) *Peers { return &Peers{callTimeout: callTimeout} }

// SetNode makes p send over node. It must be called before any other method.
func (p *Peers) SetNode(node Node) { p.node = node }

// SetPeers names the instances to keep connections to.
func (p *Peers) SetPeers(peers []model.Member) { p.node.SetPeers(peers) }

// Peers returns the peers that are connected.
func (p *Peers) Peers() []model.InstanceID { return p.node.Peers() }

// Send sends a message of the failover machine.
func (p *Peers) Send(to model.InstanceID, message failover.PeerMessage) {
	if envelope := meshlink.Encode(message); envelope != nil {
		_ = p.node.Send(to, envelope)
	}
}

// Announce sends the status to all peers.
func (p *Peers) Announce(status control.Status) {
	for _, peer := range p.node.Peers() {
		_ = p.node.Send(peer, meshlink.EncodeStatus(status))
	}
}

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

// HintGrant tells a peer that an upstream's row of grants has changed.
func (p *Peers) HintGrant(to model.InstanceID, upstream model.UpstreamID) {
	hint := &meshpb.GrantHint{Upstream: string(upstream)}
	_ = p.node.Send(to, &meshpb.Envelope{Body: &meshpb.Envelope_GrantHint{GrantHint: hint}})
}

// FetchBundle asks a peer for the bundle with the digest.
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

// FetchHead asks the peers in turn for the head row that they know.
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

// FreshHead returns the head row, read from the table by the relay after the
// question arrived there.
func (p *Peers) FreshHead(ctx context.Context, relay model.InstanceID, known *model.Head) (*model.Head, error) {
	answer, err := p.call(ctx, relay, meshlink.EncodeFreshHeadAsk(known.Version))
	if err != nil {
		return nil, err
	}
	return meshlink.DecodeHeadAnswer(answer, known)
}

// QueryState asks a peer that reads the store for others.
func (p *Peers) QueryState(ctx context.Context, reader model.InstanceID, question region.StateQuery) (*region.StateReply, error) {
	answer, err := p.call(ctx, reader, meshlink.EncodeRegionAsk(question))
	if err != nil {
		return nil, err
	}
	return meshlink.DecodeRegionAnswer(answer, question.Head)
}

// StoreMark stores a mark at its home.
func (p *Peers) StoreMark(
	ctx context.Context, home marks.Target, key marks.Key, mark model.Mark,
) (marks.StoreStatus, error) {
	answer, err := p.call(ctx, home.Home, meshlink.EncodeMarkStore(key, mark, home.Version))
	if err != nil {
		return marks.StoreRefused, err
	}
	return meshlink.DecodeMarkStored(answer)
}

// AskMark asks a home for a session's marks.
func (p *Peers) AskMark(ctx context.Context, home marks.Target, key marks.Key) (marks.Answer, error) {
	answer, err := p.call(ctx, home.Home, meshlink.EncodeMarkAsk(key, home.Version))
	if err != nil {
		return marks.Answer{}, err
	}
	return meshlink.DecodeMarkAnswer(answer)
}

// SendLossReported says that the session was told of a loss.
func (p *Peers) SendLossReported(home model.InstanceID, key marks.Key, mark model.Mark) {
	_ = p.node.Send(home, meshlink.EncodeMarkTold(key, mark))
}

// HandOver gives the mark of a lost write to its home.
func (p *Peers) HandOver(ctx context.Context, lost marks.LostMark) (marks.StoreStatus, error) {
	answer, err := p.call(ctx, lost.Target.Home, meshlink.EncodeLostMark(lost))
	if err != nil {
		return marks.StoreRefused, err
	}
	return meshlink.DecodeMarkStored(answer)
}

// HandedOver tells a member that there is nothing to hand over.
func (p *Peers) HandedOver(to model.InstanceID, row model.RowVersion) {
	told := &meshpb.HandedOver{HeadVersion: int64(row)}
	_ = p.node.Send(to, &meshpb.Envelope{Body: &meshpb.Envelope_HandedOver{HandedOver: told}})
}
