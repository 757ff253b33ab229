package textforward

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/breaker"
	"gypsumdock/pkg/state/model"
)

const (
	// silenceTimeout is the time without an answer after which a server must
	// answer a ping, and pingTimeout bounds that answer. An instance that lost
	// power or was suspended closes no connection.
	silenceTimeout = 200 * time.Millisecond
	pingTimeout    = 200 * time.Millisecond
	// heardRecently is the time since the last message of a server in which it
	// is not pinged.
	heardRecently = 300 * time.Millisecond
	// avoidDuration is the time for which a server that failed comes last.
	avoidDuration = 2 * time.Second
	// expectAfterStart is the time from the start of the process, and
	// expectAfterAnswer that from the newest answer of any server, in which a
	// server is expected to answer soon if none does.
	expectAfterStart  = 4 * time.Second
	expectAfterAnswer = 2 * time.Second
)

// Errors of a stream.
var (
	// ErrNotSent means that nothing was sent to a server.
	ErrNotSent = errors.New("the unit of work was not sent")
	// ErrLost means that the stream ended before the answer. The statement may
	// have run.
	ErrLost = errors.New("the server gave no answer")
)

// Node opens streams to peers and calls them. It is implemented by mesh.Node.
type Node interface {
	Forward(to model.InstanceID, open *meshpb.ForwardOpen) (net.Conn, error)
	Call(ctx context.Context, to model.InstanceID, message *meshpb.Envelope) (*meshpb.Envelope, error)
}

// Orders holds, for each group, its servers in the order in which they are
// used. It is not changed once it was passed to SetOrders.
type Orders = map[model.GroupID][]model.InstanceID

// Forwarder opens streams to servers. It is safe for concurrent use.
type Forwarder struct {
	logger *slog.Logger
	node   Node
	orders atomic.Pointer[Orders]
	homes  atomic.Pointer[homes]
	// startedAt is when the forwarder was created, and heardAt when the newest
	// message of any server arrived.
	startedAt time.Time
	heardAt   atomic.Pointer[time.Time]
	balancer  *balancer
	// refusedLog and acceptedLog log changes of breaker.
	refusedLog  *events.Throttle
	acceptedLog *events.Throttle

	mu      sync.Mutex
	peers   map[model.InstanceID]*peer
	breaker *breaker.Breaker
	// news is closed, and replaced, when a unit that waits may find a server.
	news chan struct{}
}

// peer is what is known of one server.
type peer struct {
	// heardAt is when its last message arrived; nil if none has.
	heardAt atomic.Pointer[time.Time]

	// mu guards the fields below. It is held during a ping, which all that wait
	// for the server share.
	mu sync.Mutex
	// avoidedUntil is zero unless the server has failed.
	avoidedUntil time.Time
}

// New returns a forwarder. SetNode must be called before its first use.
func New(logger *slog.Logger) *Forwarder {
	return &Forwarder{
		logger: logger, startedAt: time.Now(), balancer: newBalancer(logger), peers: make(map[model.InstanceID]*peer),
		breaker: breaker.New(), news: make(chan struct{}),
		refusedLog:  events.NewThrottle(events.ServerRefused, refusalLogInterval),
		acceptedLog: events.NewThrottle(events.ServerAccepted, refusalLogInterval),
	}
}

// SetNode sets the mesh.
func (f *Forwarder) SetNode(node Node) { f.node = node }

// SetOrders replaces the servers of the groups. Those of a group that has others
// than before are all tried again.
func (f *Forwarder) SetOrders(orders Orders) {
	before := f.orders.Swap(&orders)
	f.mu.Lock()
	defer f.mu.Unlock()
	for group, servers := range orders {
		if before == nil || !slices.Equal(servers, (*before)[group]) {
			f.breaker.Reset(group)
		}
	}
	f.announce()
}

// Servers returns the servers of a group in the order in which they are to be
// used for a unit of the caller. Those that failed recently come last.
func (f *Forwarder) Servers(group model.GroupID, caller model.CallerName) []model.InstanceID {
	ordered := f.order(group, caller)
	usable := make([]model.InstanceID, 0, len(ordered))
	var avoided []model.InstanceID
	for _, id := range ordered {
		if f.isAvoided(id) {
			avoided = append(avoided, id)
			continue
		}
		usable = append(usable, id)
	}
	return append(usable, avoided...)
}

// ExpectsServer reports whether a server is expected to answer soon although
// none does: this instance has just started, or one has answered recently. An
// instance that is cut off from all of them expects none.
func (f *Forwarder) ExpectsServer() bool {
	now := time.Now()
	if now.Sub(f.startedAt) < expectAfterStart {
		return true
	}
	heard := f.heardAt.Load()
	return heard != nil && now.Sub(*heard) < expectAfterAnswer
}

func (f *Forwarder) peer(id model.InstanceID) *peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.peers[id]
	if known == nil {
		known = &peer{}
		f.peers[id] = known
	}
	return known
}

// isAvoided reports whether a server has failed recently.
func (f *Forwarder) isAvoided(id model.InstanceID) bool {
	p := f.peer(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoidedUntil.IsZero() {
		return false
	}
	if time.Now().Before(p.avoidedUntil) {
		return true
	}
	p.avoidedUntil = time.Time{}
	f.log(events.ServerRetried, id)
	return false
}

// avoid puts a server last for avoidDuration. p.mu is held.
func (f *Forwarder) avoid(p *peer, id model.InstanceID, reason string) {
	if p.avoidedUntil.IsZero() {
		f.log(events.ServerFailed, id, slog.String("reason", reason))
	}
	p.avoidedUntil = time.Now().Add(avoidDuration)
}

// Avoid puts a server last for a while, since it refused a unit of work.
func (f *Forwarder) Avoid(id model.InstanceID, reason string) {
	p := f.peer(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	f.avoid(p, id, reason)
}

func (f *Forwarder) log(event events.Event, id model.InstanceID, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("server", string(id)))
	events.Log(context.Background(), f.logger, event, attrs...)
}

// IsAlive reports whether a server answers. One that was heard from recently is
// not asked, and neither is one that has just failed.
func (f *Forwarder) IsAlive(id model.InstanceID) bool {
	p := f.peer(id)
	if p.wasHeard(heardRecently) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wasHeard(heardRecently) {
		return true
	}
	if time.Now().Before(p.avoidedUntil) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	if _, err := f.node.Call(ctx, id, &meshpb.Envelope{Body: &meshpb.Envelope_Alive{Alive: &meshpb.Alive{}}}); err != nil {
		f.avoid(p, id, err.Error())
		return false
	}
	f.heard(p)
	return true
}

// heard records that a message of a server has arrived.
func (f *Forwarder) heard(p *peer) {
	now := time.Now()
	p.heardAt.Store(&now)
	f.heardAt.Store(&now)
}

// wasHeard reports whether a message arrived within the given time.
func (p *peer) wasHeard(within time.Duration) bool {
	heard := p.heardAt.Load()
	return heard != nil && time.Since(*heard) < within
}
