package region

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/share"
	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// Intervals, timeouts and limits of the loop.
const (
	tickInterval           = 50 * time.Millisecond
	platformTimeout        = 2 * time.Second
	headFetchInterval      = 500 * time.Millisecond
	inputQueueSize         = 1024
	maxConcurrentHeadReads = 4
)

// Config holds the settings of a Loop and what it uses.
type Config struct {
	Self           model.Member
	Failover       failover.Config
	Clock          Clock
	Heads          HeadStore
	Configurations Feed
	Databases      Feed
	Decoder        Decoder
	Upstreams      Upstreams
	Promotion      Promotion
	Peers          Peers
	Traffic        Traffic
	Logger         *slog.Logger
}

// Loop runs the control goroutine, which owns the control state. Its exported
// methods are safe for concurrent use.
type Loop struct {
	config            Config
	inputs            chan func()
	tasks             sync.WaitGroup
	ctx               context.Context
	cancel            context.CancelFunc
	headReadsInFlight atomic.Int32
	// latest is the snapshot published last, and served the tables for peers.
	latest atomic.Pointer[Snapshot]
	served atomic.Pointer[servedTables]
	// sharedHeadRead lets concurrent requests share one read of the head row.
	// lastHeadReadAt is used by these reads only.
	sharedHeadRead *share.Call[headResult]
	urgentHeadRead atomic.Bool
	lastHeadReadAt time.Duration
	// followsTables is set while this instance follows the tables itself. The
	// times are those of the store's newest answers, in nanoseconds of Clock.
	followsTables           atomic.Bool
	configurationAnsweredAt atomic.Int64
	databasesAnsweredAt     atomic.Int64

	// The fields below are used by the control goroutine only.
	failover  *failover.Machine
	view      failover.View
	catalog   *catalog.Catalog
	registry  *registry
	groups    map[model.GroupID]*groupMonitor
	upstreams map[model.UpstreamID]catalog.Upstream
	promoting map[model.GroupID]bool
	lastSpec  failover.BundleAdopted
	// peersVersion is the version of the members that Peers was given.
	peersVersion    uint64
	lastHeadFetchAt time.Duration
	// upstreamsVersion is the version of the newest known change of the
	// upstreams.
	upstreamsVersion int64
	// lastCurrentQueryAt is the time at which the newest query was sent whose
	// reply was current (StateReply.Current).
	lastCurrentQueryAt time.Duration
	readerFailedAt     map[model.InstanceID]time.Duration
	// refusedSince holds the upstreams that refuse every probe, with the time
	// of the first refusal.
	refusedSince map[model.UpstreamID]time.Duration

	// live holds the members from which the servers in serving were chosen.
	live    []model.Member
	serving map[model.GroupID]Serving
	// servedUntil holds the groups that this instance serves. The time is that
	// at which it ceases to if it is no longer one of the servers.
	servedUntil     map[model.GroupID]time.Duration
	topologyVersion uint64
	// confirmation tells when catalog was known to be the newest.
	confirmation access.Confirmation
	// catalogFetch and upstreamsFetch fetch what peers offer.
	catalogFetch   tableFetch
	upstreamsFetch tableFetch

	// The fields below belong to an instance that is no member. observing is set
	// while a query is in progress, and observedAt is when the last one that was
	// answered was sent. membersAnsweredAt is the same for the last one that was
	// answered by a member which is not cut off.
	observing         bool
	observedAt        time.Duration
	observerSince     time.Duration
	headRefreshedAt   time.Duration
	membersAnsweredAt time.Duration
	membersChangedAt  time.Duration
	// peerSuspects and peerCutOff are the lists of the member queried last.
	peerSuspects []model.InstanceID
	peerCutOff   []model.InstanceID
	// reportedUsable is the number last given to the failover machine as
	// MembersReported.
	reportedUsable int
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
		config:    config,
		inputs:    make(chan func(), inputQueueSize),
		ctx:       ctx,
		cancel:    cancel,
		failover:  failover.New(config.Failover),
		registry:  newRegistry(),
		groups:    make(map[model.GroupID]*groupMonitor),
		promoting: make(map[model.GroupID]bool),

		readerFailedAt: make(map[model.InstanceID]time.Duration),
		refusedSince:   make(map[model.UpstreamID]time.Duration),
		servedUntil:    make(map[model.GroupID]time.Duration),
		reportedUsable: -1,
		observedAt:     -observeInterval,
	}
	l.catalogFetch = tableFetch{loop: l, table: "configuration"}
	l.upstreamsFetch = tableFetch{loop: l, table: "databases"}
	l.sharedHeadRead = share.NewPaced(l.paceHeadReads, l.readHeadOnce)
	l.followsTables.Store(config.Failover.FirstReadDelay == 0)
	l.latest.Store(&Snapshot{Catalog: &catalog.Catalog{}})
	l.served.Store(&servedTables{})
	return l, nil
}

// Start starts the control goroutine and the goroutines that follow the tables.
// They run until Close.
func (l *Loop) Start() {
	l.tasks.Go(l.run)
	l.tasks.Go(func() {
		l.follow(tableFeed{
			name: "configuration", feed: l.config.Configurations, maxWait: configurationMaxWait, answeredAt: &l.configurationAnsweredAt,
			deliverAll: true,
		}, func(changed tableChange) {
			l.post(func() { l.configurationChanged(changed) })
		})
	})
	l.tasks.Go(func() {
		l.follow(tableFeed{
			name: "databases", feed: l.config.Databases, maxWait: databasesMaxWait, answeredAt: &l.databasesAnsweredAt,
		}, func(changed tableChange) {
			l.post(func() { l.databasesChanged(changed) })
		})
	})
}

// Close stops all goroutines of the loop, and waits for their end.
func (l *Loop) Close() {
	l.cancel()
	l.tasks.Wait()
}

// Snapshot returns the snapshot published last.
func (l *Loop) Snapshot() *Snapshot { return l.latest.Load() }

// PeerMessageReceived processes a peer's message.
func (l *Loop) PeerMessageReceived(from model.InstanceID, message failover.PeerMessage) {
	l.post(func() {
		l.suspectFromPeer(message)
		l.step(failover.PeerReceived{From: from, Message: message})
	})
}

// Leave starts a graceful stop: the instance is marked as leaving in the head
// row.
func (l *Loop) Leave() { l.post(func() { l.step(failover.StopRequested{}) }) }

// Deregister ends a graceful stop: the instance is removed from the members.
func (l *Loop) Deregister() { l.post(func() { l.step(failover.StopFinished{}) }) }

// post queues work for the control goroutine.
func (l *Loop) post(work func()) {
	select {
	case l.inputs <- work:
	case <-l.ctx.Done():
	}
}

func (l *Loop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.step(failover.Tick{})
	for {
		select {
		case <-l.ctx.Done():
			return
		case work := <-l.inputs:
			work()
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *Loop) now() time.Duration { return l.config.Clock.Now() }

func (l *Loop) tick() {
	now := l.now()
	for _, id := range l.registry.expire(now) {
		l.logUpstreamChange(catalog.Upstream{ID: id}, "gone")
		delete(l.refusedSince, id)
		l.updateGroupSpecs()
	}
	l.observe(now)
	l.updateFollowing(now)
	l.step(failover.Tick{})
	l.updateMembers(now)
	l.reportDrained()
	l.monitorGroups(now)
	if l.view.Head == nil && now-l.lastHeadFetchAt >= headFetchInterval {
		l.lastHeadFetchAt = now
		l.tasks.Go(l.fetchHeadFromPeers)
	}
}

// step passes an event to the failover machine, publishes the new state, and
// executes the machine's actions.
func (l *Loop) step(event failover.Event) {
	actions := l.failover.Handle(l.now(), event)
	l.refresh()
	for _, action := range actions {
		l.execute(action)
	}
}

// refresh takes over the failover machine's view and publishes it.
func (l *Loop) refresh() {
	before := l.view.Head
	l.view = l.failover.View()
	head := l.view.Head
	if head != nil && head.MembersVersion != l.peersVersion {
		l.peersVersion = head.MembersVersion
		l.membersChangedAt = l.now()
		l.config.Peers.SetPeers(head.Members)
	}
	if head != nil && head != before {
		l.updateGroupSpecs()
	}
	l.publish()
}

func (l *Loop) publish() {
	current := l.catalog
	if current == nil {
		current = &catalog.Catalog{}
	}
	snapshot := &Snapshot{
		Catalog:          current,
		Upstreams:        l.upstreams,
		View:             l.view,
		WritesExpectedAt: l.writesExpectedAt(),
		Serving:          l.serving,
		TopologyVersion:  l.topologyVersion,
		Current:          l.isCurrent(l.now()),

		MembersAnsweredAt: l.membersAnsweredAt,
		ConfirmedAt:       l.confirmation.At(),
	}
	l.latest.Store(snapshot)
	l.config.Traffic.Publish(snapshot)
}

// reportDrained tells the failover machine which draining groups have no writes
// in flight any more.
func (l *Loop) reportDrained() {
	for _, group := range l.view.Groups {
		if !group.Draining || l.config.Traffic.WritesInFlight(group.ID, group.Generation) > 0 {
			continue
		}
		l.step(failover.WritesDrained{Group: group.ID, Generation: group.Generation})
	}
}

// fetchHeadFromPeers gets the head row from any peer while the store gives
// none.
func (l *Loop) fetchHeadFromPeers() {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	head, err := l.config.Peers.FetchHead(ctx)
	if err != nil {
		return
	}
	l.post(func() { l.step(failover.PeerReceived{Message: failover.HeadSent{Head: head}}) })
}

// execute executes an action of the failover machine. I/O runs in goroutines of
// its own.
func (l *Loop) execute(action failover.Action) {
	switch a := action.(type) {
	case failover.ReadHead:
		l.readHead()
	case failover.WriteHead:
		l.tasks.Go(func() { l.writeHead(a) })
	case failover.SendPeer:
		l.config.Peers.Send(a.To, a.Message)
	case failover.ProbeNow:
		l.startProbes(a.Group, l.upstreamIDs(a.Group))
	case failover.Promote:
		l.promote(a)
	case failover.Report:
		control.LogReport(l.ctx, l.config.Logger, a)
	}
}

func (l *Loop) writeHead(write failover.WriteHead) {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	opID := fmt.Sprintf("%s/%d", l.config.Self.ID, write.Op)
	outcome, head := l.config.Heads.Write(ctx, opID, write.IfVersion, write.Head)
	l.post(func() { l.step(failover.HeadWritten{Op: write.Op, Outcome: outcome, Head: head}) })
}
