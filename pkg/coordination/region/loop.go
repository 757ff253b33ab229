package region

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/share"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// Times and sizes of the loop.
const (
	tickInterval    = 50 * time.Millisecond
	platformTimeout = 2 * time.Second
	catchUpInterval = 500 * time.Millisecond
	inputQueue      = 1024
	maxHeadReads    = 4
)

// Config is what a Loop needs.
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

// Loop owns the control state. Its exported methods are safe for concurrent
// use.
type Loop struct {
	config Config
	inputs chan func()
	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	reads  atomic.Int32
	latest atomic.Pointer[Snapshot]
	tables atomic.Pointer[tables]
	// headRead shares the reads of the head row; lastHeadRead belongs to it.
	headRead     *share.Call[headResult]
	urgent       atomic.Bool
	lastHeadRead time.Duration
	// following is set while this instance follows the tables itself, and the
	// others hold when the store last answered.
	following         atomic.Bool
	configurationSeen atomic.Int64
	databasesSeen     atomic.Int64

	// The fields below belong to the control goroutine.
	failover  *failover.Machine
	view      failover.View
	catalog   *catalog.Catalog
	registry  *registry
	groups    map[model.GroupID]*groupWatch
	upstreams map[model.UpstreamID]catalog.Upstream
	promoting map[model.GroupID]bool
	lastSpec  failover.BundleAdopted
	peersOf   uint64
	catchUpAt time.Duration
	// upstreamsVersion is that of the newest change of the upstreams.
	upstreamsVersion int64
	// goodReplyAt is when the last question was asked that a reader has answered
	// which follows the tables.
	goodReplyAt   time.Duration
	failedReaders map[model.InstanceID]time.Duration
	// refusedSince holds since when upstreams have refused every probe.
	refusedSince map[model.UpstreamID]time.Duration
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
		config:    config,
		inputs:    make(chan func(), inputQueue),
		ctx:       ctx,
		cancel:    cancel,
		failover:  failover.New(config.Failover),
		registry:  newRegistry(),
		groups:    make(map[model.GroupID]*groupWatch),
		promoting: make(map[model.GroupID]bool),

		failedReaders: make(map[model.InstanceID]time.Duration),
		refusedSince:  make(map[model.UpstreamID]time.Duration),
	}
	l.headRead = share.New(l.spacedHeadRead)
	l.following.Store(true)
	l.latest.Store(&Snapshot{Catalog: &catalog.Catalog{}})
	return l, nil
}

// Start runs the control goroutine and the followers until Close.
func (l *Loop) Start() {
	l.tasks.Go(l.run)
	l.tasks.Go(func() {
		l.follow(followed{
			name: "configuration", feed: l.config.Configurations, wait: configurationWait, seen: &l.configurationSeen,
		}, func(changed tableChanged) {
			l.post(func() { l.configurationChanged(changed) })
		})
	})
	l.tasks.Go(func() {
		l.follow(followed{
			name: "databases", feed: l.config.Databases, wait: databasesWait, seen: &l.databasesSeen,
		}, func(changed tableChanged) {
			l.post(func() { l.databasesChanged(changed) })
		})
	})
}

// Close ends the control goroutine and all I/O that it started, and waits.
func (l *Loop) Close() {
	l.cancel()
	l.tasks.Wait()
}

// Snapshot returns the newest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.latest.Load() }

// PeerMessageReceived takes a message of a peer.
func (l *Loop) PeerMessageReceived(from model.InstanceID, message failover.PeerMessage) {
	l.post(func() {
		l.doubtFrom(message)
		l.step(failover.PeerReceived{From: from, Message: message})
	})
}

// Leave starts a graceful stop: the instance is marked as leaving.
func (l *Loop) Leave() { l.post(func() { l.step(failover.StopRequested{}) }) }

// Deregister ends a graceful stop: the registration is removed.
func (l *Loop) Deregister() { l.post(func() { l.step(failover.StopFinished{}) }) }

// post hands work to the control goroutine.
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
		l.logUpstream(catalog.Upstream{ID: id}, "gone")
		delete(l.refusedSince, id)
		l.specify()
	}
	l.decideFollowing(now)
	l.step(failover.Tick{})
	l.drained()
	l.watchGroups(now)
	if l.view.Head == nil && now-l.catchUpAt >= catchUpInterval {
		l.catchUpAt = now
		l.tasks.Go(l.askPeersForHead)
	}
}

// step feeds the failover machine, publishes, and carries out its actions.
func (l *Loop) step(event failover.Event) {
	actions := l.failover.Handle(l.now(), event)
	l.refresh()
	for _, action := range actions {
		l.carryOut(action)
	}
}

// refresh takes the failover machine's view and publishes it.
func (l *Loop) refresh() {
	before := l.view.Head
	l.view = l.failover.View()
	head := l.view.Head
	if head != nil && head.MembersVersion != l.peersOf {
		l.peersOf = head.MembersVersion
		l.config.Peers.SetPeers(head.Members)
	}
	if head != nil && head != before {
		l.specify()
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
		WritesExpectedAt: l.expected(),
		InstanceCount:    max(1, len(l.view.Members)),
	}
	l.latest.Store(snapshot)
	l.config.Traffic.Publish(snapshot)
}

// drained tells the machine of groups whose writes have all been answered.
func (l *Loop) drained() {
	for _, group := range l.view.Groups {
		if !group.Draining || l.config.Traffic.WritesInFlight(group.ID, group.Generation) > 0 {
			continue
		}
		l.step(failover.WritesDrained{Group: group.ID, Generation: group.Generation})
	}
}

// askPeersForHead gets the head row while the store gives none.
func (l *Loop) askPeersForHead() {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	head, err := l.config.Peers.FetchHead(ctx)
	if err != nil {
		return
	}
	l.post(func() { l.step(failover.PeerReceived{Message: failover.HeadSent{Head: head}}) })
}

func (l *Loop) carryOut(action failover.Action) {
	switch a := action.(type) {
	case failover.ReadHead:
		l.readHead()
	case failover.WriteHead:
		l.tasks.Go(func() { l.writeHead(a) })
	case failover.SendPeer:
		l.config.Peers.Send(a.To, a.Message)
	case failover.ProbeNow:
		l.probeAll(a.Group, l.upstreamsOf(a.Group))
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

// configurationChanged adopts a configuration that is newer than the one in
// force.
func (l *Loop) configurationChanged(changed tableChanged) {
	for _, entry := range changed.entries {
		offered, err := l.config.Decoder.Configuration(entry)
		if err != nil {
			l.refuseRow("configuration", entry, err)
			continue
		}
		l.adopt(offered)
	}
}

// adopt puts a configuration in force if it is newer.
func (l *Loop) adopt(offered *catalog.Catalog) {
	newest := catalog.Newer(l.catalog, offered)
	if newest == l.catalog {
		return
	}
	l.catalog = newest
	events.Log(l.ctx, l.config.Logger, events.CatalogAdopted,
		slog.Uint64("version", uint64(newest.Version)),
		slog.Int("routes", len(newest.Routes)), slog.Int("groups", len(newest.Groups)))
	l.serveTables()
	l.specify()
	l.publish()
}

// databasesChanged takes entries of upstreams.
func (l *Loop) databasesChanged(changed tableChanged) {
	now := l.now()
	var all []catalog.Upstream
	for _, entry := range changed.entries {
		if entry.Deleted {
			l.registry.remove(now, model.UpstreamID(entry.Key))
			continue
		}
		upstream, err := l.config.Decoder.Upstream(entry)
		if err != nil {
			l.refuseRow("databases", entry, err)
			continue
		}
		all = append(all, upstream)
	}
	l.noteChanges(all)
	different := false
	if changed.whole {
		different = l.registry.replace(now, all)
	} else {
		for _, upstream := range all {
			different = l.registry.put(upstream) || different
		}
	}
	l.upstreamsVersion = max(l.upstreamsVersion, changed.version)
	l.serveTables()
	if different {
		l.specify()
		l.publish()
	}
}

func (l *Loop) noteChanges(all []catalog.Upstream) {
	for _, upstream := range all {
		known, exists := l.registry.upstreams[upstream.ID]
		switch {
		case !exists:
			l.logUpstream(upstream, "new")
		case known != upstream:
			l.logUpstream(upstream, "changed")
		}
	}
}

func (l *Loop) logUpstream(upstream catalog.Upstream, change string) {
	events.Log(l.ctx, l.config.Logger, events.UpstreamChanged,
		slog.String("upstream", string(upstream.ID)), slog.String("change", change),
		slog.String("group", string(upstream.Group)), slog.String("address", upstream.Address),
		slog.Bool("draining", upstream.Draining), slog.Bool("claims_primary", upstream.ClaimsPrimary))
}

func (l *Loop) refuseRow(table string, entry Entry, err error) {
	events.Log(l.ctx, l.config.Logger, events.TableRowRefused, slog.String("table", table),
		slog.String("row", entry.Key), slog.Int64("version", entry.Version), slog.Any("error", err))
}

// specify tells the failover machine of the groups in use and their upstreams.
func (l *Loop) specify() {
	if l.catalog == nil {
		return
	}
	event := failover.BundleAdopted{}
	upstreams := make(map[model.UpstreamID]catalog.Upstream)
	for _, group := range l.catalog.RoutedGroups() {
		spec := failover.GroupSpec{ID: group.ID, SyncReplicas: group.SyncReplicas}
		for _, upstream := range l.known(group.ID) {
			upstreams[upstream.ID] = upstream
			spec.Upstreams = append(spec.Upstreams, failover.UpstreamSpec{
				ID: upstream.ID, DataCentre: upstream.DataCentre, Leaving: upstream.Draining,
			})
		}
		event.Groups = append(event.Groups, spec)
		l.watch(group.ID)
	}
	if maps.Equal(upstreams, l.upstreams) && l.specified(event) {
		return
	}
	l.upstreams = upstreams
	l.lastSpec = event
	l.step(event)
}
