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

// Times and sizes of the loop.
const (
	tickInterval      = 50 * time.Millisecond
	statusInterval    = 500 * time.Millisecond
	catchUpInterval   = 500 * time.Millisecond
	instancesInterval = 2 * time.Second
	platformTimeout   = 2 * time.Second
	inputQueue        = 1024
	maxHeadReads      = 8
)

// The least times between two messages or calls, over all members of a region.
const (
	// statusSpacing is that between two statuses that an instance sends.
	statusSpacing = 25 * time.Millisecond
	// instancesSpacing is that between two reads of the platform's list by any
	// instance.
	instancesSpacing = 50 * time.Millisecond
)

// Config is what a Loop needs.
type Config struct {
	Self     model.Member
	Failover failover.Config
	Adoption adoption.Options
	// ProbeInterval is the time between two probes of an upstream, and
	// ProbeTimeout bounds one.
	ProbeInterval  time.Duration
	ProbeTimeout   time.Duration
	PromoteTimeout time.Duration
	// AdminAddress is the address of the admin listener, told to peers.
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

// Loop owns the control state. Its exported methods are safe for concurrent
// use.
type Loop struct {
	config Config
	inputs chan input
	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	// reads counts the reads of the head row in flight.
	reads atomic.Int32
	// bundles holds the bytes of the bundle in force, for peers.
	bundles atomic.Pointer[heldBundle]
	latest  atomic.Pointer[Snapshot]

	// The fields below belong to the control goroutine.
	failover *failover.Machine
	adoption *adoption.StateMachine
	view     failover.View
	samples  *samples
	probes   *probes
	granting *granting
	peers    map[model.InstanceID]PeerStatus
	// announced is the configuration that peers were last told of.
	announced adoption.BundleRef
	leaving   bool
	ticks     ticks
}

// heldBundle is a bundle's bytes.
type heldBundle struct {
	digest string
	data   []byte
}

// New returns a loop that has not started.
func New(config Config) (*Loop, error) {
	config.Failover.Self = config.Self
	config.Failover.TickInterval = tickInterval
	if err := config.Failover.Check(); err != nil {
		return nil, errors.Wrap(err, "failover settings")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{
		config:   config,
		inputs:   make(chan input, inputQueue),
		ctx:      ctx,
		cancel:   cancel,
		failover: failover.New(config.Failover),
		adoption: adoption.New(config.Adoption),
		peers:    make(map[model.InstanceID]PeerStatus),
	}
	l.samples = newSamples(config)
	l.probes = newProbes(l)
	l.granting = newGranting(l)
	l.latest.Store(empty())
	return l, nil
}

// Start runs the control goroutine until Close.
func (l *Loop) Start() { l.tasks.Go(l.run) }

// Close ends the control goroutine and all I/O that it started, and waits.
func (l *Loop) Close() {
	l.cancel()
	l.tasks.Wait()
}

// Snapshot returns the newest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.latest.Load() }

// Bundle returns the bytes of the bundle in force, if digest names it.
func (l *Loop) Bundle(digest string) ([]byte, bool) {
	held := l.bundles.Load()
	if held == nil || held.digest != digest {
		return nil, false
	}
	return held.data, true
}

// PeerMessageReceived takes a message of a peer.
func (l *Loop) PeerMessageReceived(from model.InstanceID, message failover.PeerMessage) {
	l.post(failoverInput{failover.PeerReceived{From: from, Message: message}})
}

// StatusReceived takes the status of a peer.
func (l *Loop) StatusReceived(from model.InstanceID, status Status) {
	l.post(statusInput{from: from, status: status})
}

// Switch asks for a planned change of a group's primary. The outcome shows in
// the snapshots and the log.
func (l *Loop) Switch(group model.GroupID, target model.UpstreamID) {
	l.post(failoverInput{failover.SwitchRequested{Group: group, Target: target}})
}

// RefreshHead asks for a read of the head row. It does not wait.
func (l *Loop) RefreshHead() {
	select {
	case l.inputs <- refreshInput{}:
	default:
	}
}

// Leave starts a graceful stop: the instance is marked as leaving.
func (l *Loop) Leave() { l.post(leaveInput{}) }

// Deregister ends a graceful stop: the registration is removed.
func (l *Loop) Deregister() { l.post(failoverInput{failover.StopFinished{}}) }

// post hands an input to the control goroutine.
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
	defer l.probes.stop()
	l.carryOut(l.failover.Handle(l.now(), failover.Tick{}))
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

// step feeds the failover machine, publishes, and carries out its actions. A
// heartbeat that calls for no action shows in the snapshot of the next tick.
func (l *Loop) step(event failover.Event) {
	actions := l.failover.Handle(l.now(), event)
	if len(actions) == 0 && isHeartbeat(event) {
		return
	}
	l.refresh()
	l.carryOut(actions)
}

// isHeartbeat reports whether the event is a peer's view of the primaries. It
// changes no permit, generation or replica.
func isHeartbeat(event failover.Event) bool {
	received, isMessage := event.(failover.PeerReceived)
	if !isMessage {
		return false
	}
	_, is := received.Message.(failover.Observed)
	return is
}

// refresh takes the failover machine's view and publishes it.
func (l *Loop) refresh() {
	before := l.view
	l.view = l.failover.View()
	head := l.view.Head
	if head != nil && (head != before.Head || l.view.HeadConfirmedAt > before.HeadConfirmedAt) {
		l.config.Sessions.HeadSeen(l.view.HeadConfirmedAt, l.now(), head)
		l.confirmGrants()
	}
	if head != nil && head != before.Head {
		l.headChanged(before.Head)
	}
	l.publish()
}

// confirmGrants renews the lease on grants if the members were confirmed.
func (l *Loop) confirmGrants() {
	if l.view.HeadConfirmedAt > 0 {
		l.granting.confirmed()
	}
}

// headChanged follows a new head row.
func (l *Loop) headChanged(before *model.Head) {
	head := l.view.Head
	l.samples.headSeen(head)
	if before == nil || before.MembersVersion != head.MembersVersion {
		l.config.Peers.SetPeers(head.Members)
		l.forgetPeers(head)
	}
	ref := adoption.BundleRef{Revision: head.Revision, Digest: head.Digest}
	if ref.Revision > 0 {
		l.adopt(adoption.RevisionSeen{Ref: ref})
	}
}

// forgetPeers drops the status of instances that are no longer members.
func (l *Loop) forgetPeers(head *model.Head) {
	maps.DeleteFunc(l.peers, func(id model.InstanceID, _ PeerStatus) bool {
		_, found := head.Member(id)
		return !found
	})
}

// publish makes the snapshot of the present state.
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
		Routing:     l.samples.routing(now, current, &l.view),
		Peers:       maps.Clone(l.peers),
		Connections: l.granting.published,
		Leaving:     l.leaving,
	}
	l.latest.Store(snapshot)
	l.config.Traffic.Publish(snapshot)
}
