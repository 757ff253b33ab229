package mesh

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
)

// Node connects this instance to its peers. Its methods are safe for concurrent
// use.
type Node struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	// mu guards links and inbound.
	mu      sync.Mutex
	links   map[model.InstanceID]*link
	inbound map[net.Conn]struct{}
}

// New starts a node that accepts peers on config.Listener, which it owns. Close
// stops it.
func New(config Config) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		config:  config.withDefaults(),
		ctx:     ctx,
		cancel:  cancel,
		links:   make(map[model.InstanceID]*link),
		inbound: make(map[net.Conn]struct{}),
	}
	events.Log(ctx, n.config.Logger, events.MeshListening,
		slog.String("address", n.config.Listener.Addr().String()))
	n.group.Go(n.acceptPeers)
	return n
}

// SetSeeds sets addresses to dial before the IDs of the instances there are
// known. They are replaced by the next call of SetPeers.
func (n *Node) SetSeeds(addresses []string) {
	seeds := make([]model.Member, 0, len(addresses))
	for _, address := range addresses {
		if address != n.config.Self.Address {
			seeds = append(seeds, model.Member{ID: model.InstanceID(seedPrefix + address), Address: address})
		}
	}
	n.SetPeers(seeds)
}

// seedPrefix starts the provisional ID of a seed, which its address follows.
const seedPrefix = "seed/"

// SetPeers replaces the set of peers to dial. Sessions dialled to other instances
// are closed.
func (n *Node) SetPeers(peers []model.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	wanted := make(map[model.InstanceID]model.Member, len(peers))
	for _, peer := range peers {
		if peer.ID != n.config.Self.ID {
			wanted[peer.ID] = peer
		}
	}
	n.dropLinks(wanted)
	n.addLinks(wanted)
}

// dropLinks closes the links to instances that are not wanted or have another
// address. The caller holds n.mu.
func (n *Node) dropLinks(wanted map[model.InstanceID]model.Member) {
	for id, existing := range n.links {
		if peer, keep := wanted[id]; keep && peer.Address == existing.peer.Address {
			continue
		}
		existing.cancel()
		delete(n.links, id)
	}
}

// addLinks starts the links that are missing. The caller holds n.mu.
func (n *Node) addLinks(wanted map[model.InstanceID]model.Member) {
	for id, peer := range wanted {
		if _, exists := n.links[id]; exists {
			continue
		}
		created := newLink(n.ctx, n.config, peer)
		n.links[id] = created
		n.group.Go(created.run)
	}
}

// Peers returns the IDs of the peers with an open session, in ascending order.
func (n *Node) Peers() []model.InstanceID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var peers []model.InstanceID
	for id, existing := range n.links {
		if existing.connected() {
			peers = append(peers, id)
		}
	}
	slices.Sort(peers)
	return peers
}

// Send queues a message that needs no answer. It does not wait until the message
// is sent.
func (n *Node) Send(to model.InstanceID, message *meshpb.Envelope) error {
	found, err := n.link(to)
	if err != nil {
		return err
	}
	return found.send(message)
}

// Call sends message and waits for its answer, until ctx ends. After an error the
// peer may still have handled the message, or may handle it later.
func (n *Node) Call(ctx context.Context, to model.InstanceID, message *meshpb.Envelope) (*meshpb.Envelope, error) {
	found, err := n.link(to)
	if err != nil {
		return nil, err
	}
	return found.call(ctx, message)
}

// Forward opens a stream for a unit of work. The caller owns the connection.
func (n *Node) Forward(to model.InstanceID, open *meshpb.ForwardOpen) (net.Conn, error) {
	found, err := n.link(to)
	if err != nil {
		return nil, err
	}
	return found.forward(open)
}

// Connected reports whether this instance has an open session to the peer.
func (n *Node) Connected(id model.InstanceID) bool {
	found, err := n.link(id)
	return err == nil && found.connected()
}

func (n *Node) link(id model.InstanceID) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	found, exists := n.links[id]
	if !exists {
		return nil, ErrPeerUnreachable
	}
	return found, nil
}

// Close closes the listener and all sessions and waits for their goroutines.
func (n *Node) Close() {
	n.cancel()
	_ = n.config.Listener.Close()
	n.mu.Lock()
	for conn := range n.inbound {
		_ = conn.Close()
	}
	n.mu.Unlock()
	n.group.Wait()
}
