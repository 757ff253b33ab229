package instance

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/dispatcher"
	"gypsumdock/pkg/coordination/headstore"
	store "gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/lending"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/mesh"
	"gypsumdock/pkg/transport/meshpeer"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/pkg/transport/textfront"
	"gypsumdock/pkg/transport/textlend"
	"gypsumdock/platform"
)

// Times of a hosted instance.
const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// promotionTimeout bounds the order to promote an upstream.
	promotionTimeout = time.Second
	// meshCallTimeout bounds a question to a peer.
	meshCallTimeout = time.Second
	// permitLifetime bounds the wait for an instance that does not confirm that
	// it has stopped; clockDrift is how far two clocks run apart meanwhile, and
	// permitReadInterval the time between two reads of the head row.
	permitLifetime     = 2 * time.Second
	clockDrift         = 100 * time.Millisecond
	permitReadInterval = 800 * time.Millisecond
	permitReadTimeout  = 950 * time.Millisecond
	// detectAfter is how long a primary must have failed before it is replaced.
	detectAfter = 450 * time.Millisecond
	// evictAfter is the silence after which an instance that does not come back
	// loses its registration.
	evictAfter = 4 * time.Second
	// awayAfter is the time without reach after which callers are led to other
	// instances, and reachInterval the time between two looks.
	awayAfter     = 700 * time.Millisecond
	reachInterval = 200 * time.Millisecond
	// switchWait bounds a planned change of primary, which otherwise is taken
	// back; switchDistance is the number of log entries that its target may
	// lack, about a second of writes; leavingRetry is the pause before the next
	// one.
	switchWait     = 1500 * time.Millisecond
	switchDistance = 100
	leavingRetry   = 2 * time.Second
	// dutyLease is the age of the newest confirmation of the head row up to
	// which an instance orders promotions, and dutyWait the time after which
	// another one may that has taken over from it.
	dutyLease = 1200 * time.Millisecond
	dutyWait  = 2500 * time.Millisecond
	// promiseTime bounds the time without the store for which writes go on.
	promiseTime = time.Minute
	// defaultGrace is the time for a stop if the settings name none.
	defaultGrace = 6 * time.Second
	// leaveTime is the time after which an instance that is not ready gets no
	// new callers: two questions a second apart, and the way of the second.
	leaveTime = 2300 * time.Millisecond
	// closeMargin is the time between the last session's end and the end of a
	// stop.
	closeMargin = 700 * time.Millisecond
	// ownWhileBorrowing is the number of connections to an upstream that an
	// instance opens for itself while no holder answers it.
	ownWhileBorrowing = 1
	// answerMargin is the time between the last answer of a stop and the end of
	// the sessions.
	answerMargin = 200 * time.Millisecond
	// memoryShare is the part of the memory limit at which the garbage
	// collector works harder.
	memoryShare = 0.6
)

// Hosted is an entry instance on a platform that keeps configuration, upstreams
// and the state of groups.
type Hosted struct {
	settings *platform.Settings
	logger   *slog.Logger
	clock    clock
	self     model.Member
	store    *platform.Store
	pools    *textback.Pools
	lender   *textlend.Lender
	borrower *textlend.Borrower
	dispatch *dispatcher.Dispatcher
	loop     *region.Loop
	mesh     *mesh.Node
	front    *textfront.Server
	ready    *http.Server
	stopping stopFlag
	wasReady stopFlag
	// away is set while the instance is cut off.
	away stopFlag
}

// NewHosted opens the listeners and puts the parts together. Run starts them.
func NewHosted(settings *platform.Settings, logger *slog.Logger) (*Hosted, error) {
	h := &Hosted{settings: settings, clock: newClock()}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
	address := net.JoinHostPort(settings.IP, strconv.Itoa(settings.MeshPort))
	// The clock that counts from the machine's start tells the processes of
	// one machine apart.
	h.self = model.Member{
		ID:         model.InstanceID(fmt.Sprintf("%s/%d-%d", settings.Machine, bootTime().Milliseconds(), time.Now().UnixMilli())),
		DataCentre: settings.DataCentre,
		Address:    address,
		Machine:    settings.Machine,
	}
	h.logger = logger.With(slog.String("instance", string(h.self.ID)))
	if err := h.assemble(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Hosted) assemble() error {
	callers, err := net.Listen("tcp", h.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peerListener, err := net.Listen("tcp", h.self.Address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	wire := platform.LineCodec{}
	h.store = platform.NewStore(h.settings.StoreAddress, storeTimeout)
	h.pools = textback.New(wire, h.settings.Machine)
	h.lender = textlend.NewLender(h.pools)
	h.borrower = textlend.NewBorrower(h.pools, wire, h.logger)
	h.dispatch = dispatcher.New(dispatcher.Config{
		Clock: h.clock, Self: h.self.ID, Home: h.settings.DataCentre, UseUpstreams: h.useUpstreams,
	})
	peers := meshpeer.New(meshCallTimeout)
	if h.loop, err = region.New(h.loopConfig(peers)); err != nil {
		return err
	}
	h.mesh = mesh.New(mesh.Config{
		Self: h.self, Region: h.settings.Region, Listener: peerListener, Handler: hostedPeer{loop: h.loop, lender: h.lender}, Logger: h.logger,
	})
	h.mesh.SetSeeds(h.seeds())
	peers.SetNode(h.mesh)
	h.borrower.SetNode(h.mesh)
	h.front = textfront.New(textfront.Config{
		Listener: callers, Codec: wire, Dispatch: h.dispatch, Links: h.borrower, Logger: h.logger, Stop: h.stopTimes(),
	})
	h.ready = &http.Server{Handler: h.readyHandler(), ReadHeaderTimeout: time.Second}
	return nil
}

// useUpstreams puts the upstreams in use, and how each is reached.
func (h *Hosted) useUpstreams(upstreams map[model.UpstreamID]catalog.Upstream, plans map[model.UpstreamID]lending.Plan) {
	limits := make(map[model.UpstreamID]textback.Limit)
	for id, plan := range plans {
		switch {
		case plan.Borrows():
			limits[id] = textback.Limit{MaxInUse: ownWhileBorrowing, Temporary: true}
		case plan.Lends():
			limits[id] = textback.Limit{MaxInUse: plan.OwnConnections}
		}
	}
	h.pools.SetUpstreams(upstreams, limits)
	h.lender.SetPlans(plans)
	h.borrower.SetPlans(plans)
}

func (h *Hosted) loopConfig(peers *meshpeer.Peers) region.Config {
	table := store.NewWatchedTable(store.NewCountedTable(h.store), h.logger, storeTimeout)
	return region.Config{
		Self: h.self,
		Failover: failover.Config{
			PermitLifetime:       permitLifetime,
			Drift:                clockDrift,
			ReadInterval:         permitReadInterval,
			ReadTimeout:          permitReadTimeout,
			DetectAfter:          detectAfter,
			EvictAfter:           evictAfter,
			SwitchTimeout:        switchWait,
			SwitchMaxLag:         switchDistance,
			LeavingRetryInterval: leavingRetry,
			MaxPromiseTime:       promiseTime,
			PromotionLease:       dutyLease,
			PromotionLeaseWait:   dutyWait,
		},
		Clock:          h.clock,
		Heads:          headstore.New(table, h.settings.Region),
		Configurations: h.store.ConfigurationTable(),
		Databases:      h.store.DatabaseTable(),
		Decoder:        platform.Decoder{},
		Upstreams:      textback.NewProber(h.pools),
		Promotion:      platform.NewPromotion(h.settings.CloudAPIAddress, h.settings.Machine, promotionTimeout),
		Peers:          peers,
		Traffic:        h.dispatch,
		Logger:         h.logger,
	}
}

// seeds returns the mesh addresses of the machines that the settings name.
func (h *Hosted) seeds() []string {
	var seeds []string
	for _, seed := range h.settings.SeedAddresses {
		address, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue
		}
		seeds = append(seeds, netip.AddrPortFrom(address.Addr(), uint16(h.settings.MeshPort)).String())
	}
	return seeds
}

func (h *Hosted) grace() time.Duration {
	if h.settings.StopGracePeriod > 0 {
		return h.settings.StopGracePeriod
	}
	return defaultGrace
}

func (h *Hosted) stopTimes() textfront.StopTimes {
	closeBy := max(h.grace()-2*closeMargin, h.grace()/2)
	return textfront.StopTimes{
		IdleCloseStart: min(leaveTime, closeBy),
		IdleCloseEnd:   closeBy,
		AnswerBy:       h.grace() - closeMargin - answerMargin,
		RollbackAfter:  h.grace() * 3 / 5,
	}
}

// readyHandler answers whether callers may be led here, and serves the metrics.
func (h *Hosted) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !h.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { telemetry.WriteMetrics(w) })
	return mux
}

// isReady reports whether callers are served: a configuration is in force and
// each of its groups has been led once. It stays ready through a change of
// primary, since reads go on.
func (h *Hosted) isReady() bool {
	if h.stopping.isSet() {
		return false
	}
	if h.wasReady.isSet() {
		return !h.away.isSet()
	}
	snapshot := h.loop.Snapshot()
	if snapshot.Catalog.Version == 0 {
		return false
	}
	for _, group := range snapshot.Catalog.RoutedGroups() {
		if state, led := snapshot.View.Group(group.ID); !led || state.PermitUntil == 0 {
			return false
		}
	}
	h.wasReady.set()
	events.Log(context.Background(), h.logger, events.InstanceReady)
	return true
}

// watchReach leads callers to other instances while this one is cut off: it has
// neither a permit nor an answer of the store.
func (h *Hosted) watchReach(ctx context.Context) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	var reached time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := h.clock.Now()
		if h.isReached(now) {
			reached = now
		}
		away := h.wasReady.isSet() && now-reached > awayAfter
		if away != h.away.isSet() {
			h.away.change(away)
			events.Log(ctx, h.logger, events.InstanceAway, slog.Bool("away", away), slog.Duration("since", now-reached))
		}
		h.front.SetDraining(away)
	}
}

// isReached reports whether the store answers, or a permit is held.
func (h *Hosted) isReached(now time.Duration) bool {
	view := &h.loop.Snapshot().View
	if view.PlatformReachable {
		return true
	}
	for _, group := range view.Groups {
		if now < group.PermitUntil {
			return true
		}
	}
	return false
}

// Run serves until ctx ends, and then stops gracefully. reload is told of each
// signal to read the settings again. The error is nil if nothing in flight was
// cut.
func (h *Hosted) Run(ctx context.Context, reload <-chan os.Signal) error {
	events.Log(ctx, h.logger, events.InstanceStarted,
		slog.String("callers", h.settings.CallerAddress), slog.String("mesh", h.self.Address), slog.String("admin", h.settings.ReadinessAddress))
	listener, err := net.Listen("tcp", h.settings.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	h.loop.Start()
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go func() { _ = h.ready.Serve(listener) }()
	go h.watchReach(background)
	served := make(chan error, 1)
	go func() { served <- h.front.Serve() }()
	for {
		select {
		case <-ctx.Done():
			return h.stop()
		case <-reload:
			events.Log(ctx, h.logger, events.SettingsReloaded)
		case err := <-served:
			if err != nil {
				return errors.Wrap(err, "serve callers")
			}
			return nil
		}
	}
}

// stop ends the instance gracefully.
func (h *Hosted) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), h.grace()-closeMargin)
	defer cancel()
	h.stopping.set()
	events.Log(ctx, h.logger, events.StopStarted)
	h.loop.Leave()
	h.lender.StopLending()
	err := h.front.Shutdown(ctx)
	if err != nil {
		events.Log(ctx, h.logger, events.StopTimedOut, slog.Any("error", err))
	} else {
		events.Log(ctx, h.logger, events.StopDrained)
	}
	h.lender.Wait(ctx)
	h.loop.Deregister()
	deadline := time.Now().Add(closeMargin / 2)
	for time.Now().Before(deadline) && h.loop.Snapshot().View.Registered {
		time.Sleep(finishInterval)
	}
	h.pools.Close()
	events.Log(context.Background(), h.logger, events.InstanceStopped)
	return err
}

// hostedPeer takes what peers send.
type hostedPeer struct {
	loop   *region.Loop
	lender *textlend.Lender
}

var _ mesh.Handler = hostedPeer{}

// HandleMessage takes one message of a peer.
func (p hostedPeer) HandleMessage(from model.InstanceID, message *meshpb.Envelope, reply func(*meshpb.Envelope)) {
	if message.GetHeadAsk() != nil {
		head := p.loop.Snapshot().View.Head
		if head == nil {
			reply(meshlink.EncodeFailure("no head row known"))
			return
		}
		reply(meshlink.EncodeHead(head))
		return
	}
	if ask := message.GetRegionAsk(); ask != nil {
		go p.answerRegion(ask, reply)
		return
	}
	decoded, found := meshlink.Decode(message)
	if !found {
		reply(meshlink.EncodeFailure("no answer to this message"))
		return
	}
	p.loop.PeerMessageReceived(from, decoded)
}

// answerRegion reads the store for a peer.
func (p hostedPeer) answerRegion(ask *meshpb.RegionAsk, reply func(*meshpb.Envelope)) {
	ctx, cancel := context.WithTimeout(context.Background(), meshCallTimeout)
	defer cancel()
	answer, err := p.loop.AnswerStateQuery(ctx, meshlink.DecodeRegionAsk(ask))
	if err != nil {
		reply(meshlink.EncodeFailure(err.Error()))
		return
	}
	reply(meshlink.EncodeRegionAnswer(answer, model.RowVersion(ask.GetHeadVersion())))
}

// HandleForward lends a connection.
func (p hostedPeer) HandleForward(ctx context.Context, _ model.InstanceID, open *meshpb.ForwardOpen, conn net.Conn) {
	p.lender.Serve(ctx, open, conn)
}
