package textlend

import (
	"bufio"
	"context"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/lending"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/textback"
)

const (
	// readyTimeout bounds the wait for a holder's word, beyond the time that it
	// takes for a connection.
	readyTimeout = 100 * time.Millisecond
	// avoidHolder is the time for which a holder that failed is not asked.
	avoidHolder = 2 * time.Second
	// maxHolders bounds the holders that one unit of work asks.
	maxHolders = 3
)

// Plans says how each upstream is reached. It is immutable.
type Plans = map[model.UpstreamID]lending.Plan

// Node opens streams to peers. mesh.Node implements it.
type Node interface {
	Forward(to model.InstanceID, open *meshpb.ForwardOpen) (net.Conn, error)
}

// Pools are the connections of this instance. textback.Pools implements it.
type Pools interface {
	Local
	OpenConnections(id model.UpstreamID) int
}

// Borrower gives out links to upstreams: over connections of this instance, or
// of those that hold them. It is safe for concurrent use.
type Borrower struct {
	local  Pools
	node   Node
	codec  statement.UpstreamCodec
	logger *slog.Logger
	plans  atomic.Pointer[Plans]

	mu sync.Mutex
	// failedUntil holds until when ways that failed are not taken.
	failedUntil map[way]time.Time
}

// way is a holder, or a holder's way to one upstream.
type way struct {
	holder   model.InstanceID
	upstream model.UpstreamID
}

// NewBorrower returns a borrower. Connect must be called before its first use.
func NewBorrower(local Pools, codec statement.UpstreamCodec, logger *slog.Logger) *Borrower {
	return &Borrower{local: local, codec: codec, logger: logger, failedUntil: make(map[way]time.Time)}
}

// SetNode makes b ask peers over node.
func (b *Borrower) SetNode(node Node) { b.node = node }

// SetPlans replaces the plans, and forgets ways that failed long ago.
func (b *Borrower) SetPlans(plans Plans) {
	b.plans.Store(&plans)
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.failedUntil, func(_ way, until time.Time) bool { return time.Now().After(until) })
}

// OpenConnections returns the number of connections of this instance to the upstream.
func (b *Borrower) OpenConnections(id model.UpstreamID) int { return b.local.OpenConnections(id) }

// Get returns a link to the upstream. opened is true if a connection of this
// instance was opened for it. After an error nothing was sent.
func (b *Borrower) Get(ctx context.Context, use textback.GetOptions) (link textback.Link, opened bool, err error) {
	plan := b.plan(use.Upstream)
	if !plan.Borrows() {
		return b.own(ctx, use)
	}
	asked := 0
	for _, holder := range plan.Lenders {
		if asked == maxHolders || !time.Now().Before(use.Deadline) {
			break
		}
		if b.isAvoided(way{holder: holder}) || b.isAvoided(way{holder, use.Upstream}) {
			continue
		}
		asked++
		borrowed, failure := b.borrow(holder, use)
		if failure == nil {
			return borrowed, false, nil
		}
		err = failure
	}
	if err != nil && !errors.Is(err, errHolderLost) {
		return nil, false, err
	}
	return b.own(ctx, use)
}

// own returns a connection of this instance.
func (b *Borrower) own(ctx context.Context, use textback.GetOptions) (textback.Link, bool, error) {
	conn, opened, err := b.local.Get(ctx, use)
	if err != nil {
		return nil, false, err
	}
	return conn, opened, nil
}

func (b *Borrower) plan(id model.UpstreamID) lending.Plan {
	plans := b.plans.Load()
	if plans == nil {
		return lending.Plan{}
	}
	return (*plans)[id]
}

// Put gives a link back.
func (b *Borrower) Put(link textback.Link, reusable bool) {
	switch given := link.(type) {
	case *textback.Conn:
		b.local.Put(given, reusable)
	case *remote:
		given.close()
	}
}

var (
	// errHolderLost means that a holder did not answer.
	errHolderLost = errors.New("the instance that holds connections does not answer")
	// errUnreachable means that a holder does not reach the upstream.
	errUnreachable = errors.New("the upstream does not answer the instance that holds connections")
)

// borrow asks one holder for a connection.
func (b *Borrower) borrow(holder model.InstanceID, use textback.GetOptions) (*remote, error) {
	stream, err := b.node.Forward(holder, &meshpb.ForwardOpen{
		Upstream: string(use.Upstream), ReadOnly: !use.CheckAlive,
		DeadlineMs: uint64(max(time.Until(use.Deadline), 0).Milliseconds()),
	})
	if err != nil {
		b.avoid(way{holder: holder}, err.Error())
		return nil, errors.Wrap(errHolderLost, err.Error())
	}
	borrowed := &remote{borrower: b, way: way{holder, use.Upstream}, stream: stream, reader: bufio.NewReader(stream)}
	if err := borrowed.awaitReady(use.Deadline); err != nil {
		_ = stream.Close()
		return nil, err
	}
	telemetry.Borrowed.With(string(use.Upstream)).Inc()
	return borrowed, nil
}

// awaitReady reads the holder's word.
func (r *remote) awaitReady(until time.Time) error {
	by := time.Now().Add(lendTimeout + readyTimeout)
	if until.Before(by) {
		by = until
	}
	if err := r.stream.SetReadDeadline(by); err != nil {
		return errors.Wrap(errHolderLost, err.Error())
	}
	ready := &meshpb.ForwardReady{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := options.UnmarshalFrom(r.reader, ready); err != nil {
		r.borrower.avoid(way{holder: r.way.holder}, err.Error())
		return errors.Wrap(errHolderLost, err.Error())
	}
	if ready.GetAccepted() {
		return nil
	}
	return r.borrower.refused(r.way, ready.GetRefusal())
}

// refused returns what a holder's refusal means.
func (b *Borrower) refused(by way, refusal meshpb.Refusal) error {
	switch refusal {
	case meshpb.Refusal_REFUSAL_NO_ROOM:
		return textback.ErrNoFreeConnection
	case meshpb.Refusal_REFUSAL_FULL:
		return &textback.RefusedError{Reason: statement.TooManyConnections}
	case meshpb.Refusal_REFUSAL_UNREACHABLE:
		b.avoid(by, refusal.String())
		return errUnreachable
	default:
		b.avoid(way{holder: by.holder}, refusal.String())
		return errHolderLost
	}
}

// avoid keeps from a way that failed for a while.
func (b *Borrower) avoid(failed way, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.failedUntil[failed]; !known {
		b.log(events.HolderFailed, failed, slog.String("reason", reason))
	}
	b.failedUntil[failed] = time.Now().Add(avoidHolder)
}

func (b *Borrower) log(event events.Event, of way, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("holder", string(of.holder)), slog.String("upstream", string(of.upstream)))
	events.Log(context.Background(), b.logger, event, attrs...)
}

func (b *Borrower) isAvoided(asked way) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, failed := b.failedUntil[asked]
	if failed && !time.Now().Before(until) {
		delete(b.failedUntil, asked)
		b.log(events.HolderRegained, asked)
		return false
	}
	return failed
}
