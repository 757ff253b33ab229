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

// Bounds of relayed reads.
const (
	// relayFrom is the number of members in a data centre from which one reads
	// the table for all. Below it each reads the table itself.
	relayFrom = 5
	// relayTimeout bounds the question to the relay, after which the table is
	// read directly.
	relayTimeout = 300 * time.Millisecond
	// readTimeout bounds a read for peers.
	readTimeout = 2 * time.Second
)

// Peers asks the relay.
type Peers interface {
	// FreshHead returns the head row, read from the table by the peer after
	// the question arrived there. known is returned if it is still in force.
	FreshHead(ctx context.Context, relay model.InstanceID, known *model.Head) (*model.Head, error)
}

// Relayed is a Store whose reads go through one instance of each large data
// centre, so that the platform's reads grow with the data centres and not with
// the instances. A peer answers only with a read that started after it was
// asked, so that the asking instance can count its permits from its own
// question.
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

// NewRelayed returns the relayed reads of store. view returns the newest view
// of the failover machine.
func NewRelayed(store *Store, self model.Member, peers Peers, view func() *failover.View) *Relayed {
	r := &Relayed{Store: store, self: self, peers: peers, view: view}
	r.call = share.New(r.readForPeers)
	return r
}

// Read returns the head row, or nil while there is none.
func (r *Relayed) Read(ctx context.Context) (*model.Head, error) {
	view := r.view()
	relay := ChooseRelay(view, r.self)
	if relay == r.self.ID || view.Head == nil {
		return r.Store.Read(ctx)
	}
	asking, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	head, err := r.peers.FreshHead(asking, relay, view.Head)
	if err == nil {
		return head, nil
	}
	return r.Store.Read(ctx)
}

// ReadForPeer returns the head row for a peer: the read starts after the call.
func (r *Relayed) ReadForPeer(ctx context.Context) (*model.Head, error) {
	result, answered := r.call.Do(ctx)
	if !answered {
		return nil, errors.Wrap(ctx.Err(), "read for a peer")
	}
	return result.head, result.err
}

func (r *Relayed) readForPeers() readResult {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	head, err := r.Store.Read(ctx)
	return readResult{head: head, err: err}
}

// ChooseRelay returns the member that reads the table for self: the first live one
// of its data centre, or self where the data centre is small.
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
	if count < relayFrom {
		return self.ID
	}
	return first
}
