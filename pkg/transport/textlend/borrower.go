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
	// readyTimeout bounds the wait for the ForwardReady of a lender, in
	// addition to the time that the lender may take to obtain a connection.
	readyTimeout = 100 * time.Millisecond
	// avoidDuration is the time for which a lender that failed is not asked.
	avoidDuration = 2 * time.Second
	// maxLenders bounds the lenders that are asked for one unit of work.
	maxLenders = 3
)

// Plans says for each upstream whether its connections are opened or borrowed.
// It is not changed once it was passed to SetPlans.
type Plans = map[model.UpstreamID]lending.Plan

// Node opens streams to peers. It is implemented by mesh.Node.
type Node interface {
	Forward(to model.InstanceID, open *meshpb.ForwardOpen) (net.Conn, error)
}

// Pools holds the connections of this instance. It is implemented by
// textback.Pools.
type Pools interface {
	Local
	OpenConnections(id model.UpstreamID) int
}

// Borrower obtains links to upstreams, over connections of this instance or of
// lenders. It is safe for concurrent use.
type Borrower struct {
	local  Pools
	node   Node
	codec  statement.UpstreamCodec
	logger *slog.Logger
	plans  atomic.Pointer[Plans]

	mu sync.Mutex
	// avoidedUntil holds the paths that failed, and until when they are not
	// used.
	avoidedUntil map[lenderPath]time.Time
}

// lenderPath identifies the path over a lender to one upstream, or to all of
// them if upstream is empty.
type lenderPath struct {
	lender   model.InstanceID
	upstream model.UpstreamID
}

// NewBorrower returns a borrower. SetNode must be called before its first use.
func NewBorrower(local Pools, codec statement.UpstreamCodec, logger *slog.Logger) *Borrower {
	return &Borrower{local: local, codec: codec, logger: logger, avoidedUntil: make(map[lenderPath]time.Time)}
}

// SetNode sets the node that opens streams to lenders.
func (b *Borrower) SetNode(node Node) { b.node = node }

// SetPlans replaces the plans, and removes expired entries of avoidedUntil.
func (b *Borrower) SetPlans(plans Plans) {
	b.plans.Store(&plans)
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.avoidedUntil, func(_ lenderPath, until time.Time) bool { return time.Now().After(until) })
}

// OpenConnections returns the number of connections of this instance to an
// upstream.
func (b *Borrower) OpenConnections(id model.UpstreamID) int { return b.local.OpenConnections(id) }

// Get returns a link to an upstream. opened is true if a connection of this
// instance was opened for it. After an error nothing was sent. If no lender
// answers, a connection of this instance is used.
func (b *Borrower) Get(ctx context.Context, options textback.GetOptions) (link textback.Link, opened bool, err error) {
	plan := b.plan(options.Upstream)
	if !plan.Borrows() {
		return b.getLocal(ctx, options)
	}
	asked := 0
	for _, lender := range plan.Lenders {
		if asked == maxLenders || !time.Now().Before(options.Deadline) {
			break
		}
		if b.isAvoided(lenderPath{lender: lender}) || b.isAvoided(lenderPath{lender, options.Upstream}) {
			continue
		}
		asked++
		borrowed, failure := b.requestLoan(lender, options)
		if failure == nil {
			return borrowed, false, nil
		}
		err = failure
	}
	if err != nil && !errors.Is(err, errLenderLost) {
		return nil, false, err
	}
	return b.getLocal(ctx, options)
}

// getLocal returns a connection of this instance.
func (b *Borrower) getLocal(ctx context.Context, options textback.GetOptions) (textback.Link, bool, error) {
	conn, opened, err := b.local.Get(ctx, options)
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

// Put returns a link. One that is not reusable is closed.
func (b *Borrower) Put(link textback.Link, reusable bool) {
	switch given := link.(type) {
	case *textback.Conn:
		b.local.Put(given, reusable)
	case *borrowedLink:
		given.close()
	}
}

var (
	// errLenderLost means that a lender did not answer or is stopping.
	errLenderLost = errors.New("the lender does not answer")
	// errUnreachable means that a lender cannot reach the upstream.
	errUnreachable = errors.New("the lender cannot reach the upstream")
)

// requestLoan asks one lender for a connection.
func (b *Borrower) requestLoan(lender model.InstanceID, options textback.GetOptions) (*borrowedLink, error) {
	stream, err := b.node.Forward(lender, &meshpb.ForwardOpen{
		Upstream: string(options.Upstream), ReadOnly: !options.CheckAlive,
		DeadlineMs: uint64(max(time.Until(options.Deadline), 0).Milliseconds()),
	})
	if err != nil {
		b.avoid(lenderPath{lender: lender}, err.Error())
		return nil, errors.Wrap(errLenderLost, err.Error())
	}
	borrowed := &borrowedLink{borrower: b, lenderPath: lenderPath{lender, options.Upstream}, stream: stream, reader: bufio.NewReader(stream)}
	if err := borrowed.awaitReady(options.Deadline); err != nil {
		_ = stream.Close()
		return nil, err
	}
	telemetry.UpstreamBorrowed.With(string(options.Upstream)).Inc()
	return borrowed, nil
}

// awaitReady reads the ForwardReady of the lender.
func (l *borrowedLink) awaitReady(until time.Time) error {
	by := time.Now().Add(openConnTimeout + readyTimeout)
	if until.Before(by) {
		by = until
	}
	if err := l.stream.SetReadDeadline(by); err != nil {
		return errors.Wrap(errLenderLost, err.Error())
	}
	ready := &meshpb.ForwardReady{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := options.UnmarshalFrom(l.reader, ready); err != nil {
		l.borrower.avoid(lenderPath{lender: l.lenderPath.lender}, err.Error())
		return errors.Wrap(errLenderLost, err.Error())
	}
	if ready.GetAccepted() {
		return nil
	}
	return l.borrower.refusalError(l.lenderPath, ready.GetRefusal())
}

// refusalError returns the error for a lender's refusal. REFUSAL_FULL means
// that the upstream is at its connection limit.
func (b *Borrower) refusalError(by lenderPath, refusal meshpb.Refusal) error {
	switch refusal {
	case meshpb.Refusal_REFUSAL_NO_ROOM:
		return textback.ErrNoFreeConnection
	case meshpb.Refusal_REFUSAL_FULL:
		return &textback.RefusedError{Reason: statement.TooManyConnections}
	case meshpb.Refusal_REFUSAL_UNREACHABLE:
		b.avoid(by, refusal.String())
		return errUnreachable
	default:
		b.avoid(lenderPath{lender: by.lender}, refusal.String())
		return errLenderLost
	}
}

// avoid excludes a failed path for avoidDuration.
func (b *Borrower) avoid(failed lenderPath, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.avoidedUntil[failed]; !known {
		b.log(events.LenderFailed, failed, slog.String("reason", reason))
	}
	b.avoidedUntil[failed] = time.Now().Add(avoidDuration)
}

func (b *Borrower) log(event events.Event, of lenderPath, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("holder", string(of.lender)), slog.String("upstream", string(of.upstream)))
	events.Log(context.Background(), b.logger, event, attrs...)
}

// isAvoided reports whether a path is excluded. It ends an exclusion whose time
// has passed.
func (b *Borrower) isAvoided(asked lenderPath) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, failed := b.avoidedUntil[asked]
	if failed && !time.Now().Before(until) {
		delete(b.avoidedUntil, asked)
		b.log(events.LenderRetried, asked)
		return false
	}
	return failed
}
