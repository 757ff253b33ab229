package headstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/share"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

const (
	// relayMinMembers is the least number of members of a data centre for which one
	// of them, the relay, reads the table for all. In smaller ones each member reads
	// the table itself.
	relayMinMembers = 5
	// relayTimeout bounds the request to the relay. After it the table is read
	// directly.
	relayTimeout = 300 * time.Millisecond
	// readTimeout bounds a read for peers.
	readTimeout = 2 * time.Second
)

// Peers calls the relay.
type Peers interface {
	// FreshHead returns the head row, which the relay reads from the table after
	// the request has arrived. It returns known if the row has not changed.
	FreshHead(ctx context.Context, relay model.InstanceID, known *model.Head) (*model.Head, error)
}

// Relayed is a Store that reads the head row through a relay: in each large data
// centre one instance reads the table for all, so that the number of reads grows
// with the data centres and not with the instances. The relay answers with a read
// that started after the request arrived. An instance can therefore count the
// lifetime of its permits from the time at which it sent the request.
type Relayed struct {
	*Store
	self  model.Member
	peers Peers
	view  func() *failover.View
	call  *share.Call[readResult]
}

type readResult struct {
	head *model.Head
	err  error
}

// NewRelayed returns a Relayed for store. self is this instance; view returns the
// newest view of the failover state.
func NewRelayed(store *Store, self model.Member, peers Peers, view func() *failover.View) *Relayed {
	r := &Relayed{Store: store, self: self, peers: peers, view: view}
	r.call = share.New(r.readForPeers)
	return r
}

// Read returns the head row, or nil while there is none. If the relay fails, it
// reads the table itself.
func (r *Relayed) Read(ctx context.Context) (*model.Head, error) {
	view := r.view()
	relay := ChooseRelay(view, r.self)
	if relay == r.self.ID || view.Head == nil {
		return r.Store.Read(ctx)
	}
	relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	head, err := r.peers.FreshHead(relayCtx, relay, view.Head)
	if err == nil {
		return head, nil
	}
	return r.Store.Read(ctx)
}

// ReadForPeer returns the head row for a peer, from a read that starts after the
// call. Concurrent calls share reads.
func (r *Relayed) ReadForPeer(ctx context.Context) (*model.Head, error) {
	result, answered := r.call.Do(ctx)
	if !answered {
		return nil, errors.Wrap(ctx.Err(), "read head row for a peer")
	}
	return result.head, result.err
}

// readForPeers reads the table once, for the calls of ReadForPeer that share it.
func (r *Relayed) readForPeers() readResult {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	head, err := r.Store.Read(ctx)
	return readResult{head: head, err: err}
}

// ChooseRelay returns the member that reads the table for self: the live one with the
// lowest ID in its data centre, or self if the data centre has fewer than
// relayMinMembers members.
func ChooseRelay(view *failover.View, self model.Member) model.InstanceID {
	first := self.ID
	count := 0
	for _, member := range view.Members {
		if member.Member.DataCentre != self.DataCentre {
			continue
		}
		count++
		if member.State == members.Live && member.Member.ID < first {
			first = member.Member.ID
		}
	}
	if count < relayMinMembers {
		return self.ID
	}
	return first
}
