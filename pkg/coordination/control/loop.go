package control

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// Intervals, timeouts and limits of the loop.
const (
	tickInterval           = 50 * time.Millisecond
	minStatusInterval      = 500 * time.Millisecond
	peerFetchInterval      = 500 * time.Millisecond
	minListInterval        = 2 * time.Second
	platformTimeout        = 2 * time.Second
	inputQueueSize         = 1024
	maxConcurrentHeadReads = 8
)

// With many members the intervals of messages and calls grow, so that their
// rate over the whole region stays bounded.
const (
	// statusIntervalPerMember is the part of the status interval that each
	// member of the region adds.
	statusIntervalPerMember = 25 * time.Millisecond
	// listIntervalPerMember is the same for the reads of the platform's list of
	// instances.
	listIntervalPerMember = 50 * time.Millisecond
)

// Config holds the settings of a Loop and what it uses.
type Config struct {
	Self     model.Member
	Failover failover.Config
	Adoption adoption.Options
	// ProbeInterval is the time between two probes of an upstream, and
	// ProbeTimeout bounds one probe.
	ProbeInterval  time.Duration
	ProbeTimeout   time.Duration
	PromoteTimeout time.Duration
	// AdminAddress is the address of the admin listener, sent to peers.
	AdminAddress string
	Clock        Clock
	Heads        HeadStore
	Platform     Platform
	Upstreams    Upstreams
	Peers        Peers
	Sessions     Sessions
	Traffic      Traffic
	Grants       GrantStore
	Pools        Pools
	Logger       *slog.Logger
}

// Loop runs the control goroutine, which owns the control state. Its exported
// methods are safe for concurrent use.
type Loop struct {
	config            Config
	inputs            chan input
	tasks             sync.WaitGroup
	ctx               context.Context
	cancel            context.CancelFunc
	headReadsInFlight atomic.Int32
	// activeBundle is the encoded active bundle, for peers that request it.
	activeBundle atomic.Pointer[encodedBundle]
	// latest is the snapshot published last.
	latest atomic.Pointer[Snapshot]

	// The fields below are used by the control goroutine only.
	failover *failover.Machine
	adoption *adoption.StateMachine
	view     failover.View
	lag      *lagMonitor
	probers  *probers
	grants   *grantRunner
	peers    map[model.InstanceID]PeerStatus
	// announcedRef names the configuration that peers were last told of.
	announcedRef adoption.BundleRef
	leaving      bool
	lastRuns     lastRuns
}

// encodedBundle is a bundle as bytes, with its digest.
type encodedBundle struct {
	digest string
	data   []byte
}

// New returns a loop; Start starts it.
func New(config Config) (*Loop, error) {
	config.Failover.Self = config.Self
	config.Failover.TickInterval = tickInterval
	if err := config.Failover.Check(); err != nil {
		return nil, errors.Wrap(err, "failover settings")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{
		config:   config,
		inputs:   make(chan input, inputQueueSize),
		ctx:      ctx,
		cancel:   cancel,
		failover: failover.New(config.Failover),
		adoption: adoption.New(config.Adoption),
		peers:    make(map[model.InstanceID]PeerStatus),
	}
	l.lag = newLagMonitor(config)
	l.probers = newProbers(l)
	l.grants = newGrantRunner(l)
	l.latest.Store(emptySnapshot())
	return l, nil
}

// Start starts the control goroutine, which runs until Close.
func (l *Loop) Start() { l.tasks.Go(l.run) }

// Close stops all goroutines of the loop, and waits for their end.
func (l *Loop) Close() {
	l.cancel()
	l.tasks.Wait()
}

// Snapshot returns the snapshot published last.
func (l *Loop) Snapshot() *Snapshot { return l.latest.Load() }

// Bundle returns the encoded active bundle if it has the digest.
func (l *Loop) Bundle(digest string) ([]byte, bool) {
	held := l.activeBundle.Load()
	if held == nil || held.digest != digest {
		return nil, false
	}
	return held.data, true
}

// PeerMessageReceived processes a peer's message.
func (l *Loop) PeerMessageReceived(from model.InstanceID, message failover.PeerMessage) {
	l.post(failoverInput{failover.PeerReceived{From: from, Message: message}})
}

// StatusReceived processes the status of a peer.
func (l *Loop) StatusReceived(from model.InstanceID, status Status) {
	l.post(statusInput{from: from, status: status})
}

// Switch requests a planned switch of a group's primary to target. The result
// shows in the snapshots and in the log.
func (l *Loop) Switch(group model.GroupID, target model.UpstreamID) {
	l.post(failoverInput{failover.SwitchRequested{Group: group, Target: target}})
}

// RefreshHead requests a read of the head row. It does not block, and does
// nothing if the input queue is full.
func (l *Loop) RefreshHead() {
	select {
	case l.inputs <- readHeadInput{}:
	default:
	}
}

// Leave starts a graceful stop: the instance is marked as leaving in the head
// row.
func (l *Loop) Leave() { l.post(leaveInput{}) }

// Deregister ends a graceful stop: the instance is removed from the members.
func (l *Loop) Deregister() { l.post(failoverInput{failover.StopFinished{}}) }

// post queues an input for the control goroutine.
func (l *Loop) post(in input) {
	select {
	case l.inputs <- in:
	case <-l.ctx.Done():
	}
}

// run is the control goroutine.
func (l *Loop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer l.probers.stop()
	l.execute(l.failover.Handle(l.now(), failover.Tick{}))
	for {
		select {
		case <-l.ctx.Done():
			return
		case in := <-l.inputs:
			in.apply(l)
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *Loop) now() time.Duration { return l.config.Clock.Now() }

// step passes an event to the failover machine, publishes the new state, and
// executes the machine's actions. After a heartbeat that causes no action the
// next tick publishes.
func (l *Loop) step(event failover.Event) {
	actions := l.failover.Handle(l.now(), event)
	if len(actions) == 0 && isHeartbeat(event) {
		return
	}
	l.refresh()
	l.execute(actions)
}

// isHeartbeat reports whether the event is a peer's view of the primaries,
// which changes no permit, generation or replica.
func isHeartbeat(event failover.Event) bool {
	received, isMessage := event.(failover.PeerReceived)
	if !isMessage {
		return false
	}
	_, isObserved := received.Message.(failover.Observed)
	return isObserved
}

// refresh takes over the failover machine's view and publishes it.
func (l *Loop) refresh() {
	before := l.view
	l.view = l.failover.View()
	head := l.view.Head
	if head != nil && (head != before.Head || l.view.HeadConfirmedAt > before.HeadConfirmedAt) {
		l.config.Sessions.HeadSeen(l.view.HeadConfirmedAt, l.now(), head)
		l.renewGrantLease()
	}
	if head != nil && head != before.Head {
		l.applyNewHead(before.Head)
	}
	l.publish()
}

// renewGrantLease renews the lease of this instance's grants if a read of the
// head row has confirmed the members.
func (l *Loop) renewGrantLease() {
	if l.view.HeadConfirmedAt > 0 {
		l.grants.membershipConfirmed()
	}
}

// applyNewHead applies a head row that differs from the previous one, before.
func (l *Loop) applyNewHead(before *model.Head) {
	head := l.view.Head
	l.lag.forgetRemovedGroups(head)
	if before == nil || before.MembersVersion != head.MembersVersion {
		l.config.Peers.SetPeers(head.Members)
		l.dropRemovedPeers(head)
	}
	ref := adoption.BundleRef{Revision: head.Revision, Digest: head.Digest}
	if ref.Revision > 0 {
		l.stepAdoption(adoption.RevisionSeen{Ref: ref})
	}
}

// dropRemovedPeers drops the status of instances that are no longer members.
func (l *Loop) dropRemovedPeers(head *model.Head) {
	maps.DeleteFunc(l.peers, func(id model.InstanceID, _ PeerStatus) bool {
		_, found := head.Member(id)
		return !found
	})
}

// publish publishes a snapshot of the present state.
func (l *Loop) publish() {
	ref, current := l.adoption.Active()
	if current == nil {
		current = &bundle.Bundle{}
	}
	now := l.now()
	snapshot := &Snapshot{
		At:          now,
		Ref:         ref,
		Bundle:      current,
		View:        l.view,
		Routing:     l.lag.routingSnapshot(now, current, &l.view),
		Peers:       maps.Clone(l.peers),
		Connections: l.grants.published,
		Leaving:     l.leaving,
	}
	l.latest.Store(snapshot)
	l.config.Traffic.Publish(snapshot)
}
