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
	"gypsumdock/pkg/coordination/quota"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/serving"
	"gypsumdock/pkg/transport/mesh"
	"gypsumdock/pkg/transport/meshpeer"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/pkg/transport/textforward"
	"gypsumdock/pkg/transport/textfront"
	"gypsumdock/platform"
)

// Times of a hosted instance.
const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// promotionTimeout bounds the request to promote an upstream.
	promotionTimeout = time.Second
	// meshCallTimeout bounds a request to a peer.
	meshCallTimeout = time.Second
	// permitLifetime bounds the wait for a permit holder that does not confirm
	// that it has stopped; clockDrift bounds how far two clocks drift apart in
	// that time. permitReadInterval is the time between two reads of the head
	// row, and permitReadTimeout bounds one of them.
	permitLifetime     = 2 * time.Second
	clockDrift         = 100 * time.Millisecond
	permitReadInterval = 800 * time.Millisecond
	permitReadTimeout  = 950 * time.Millisecond
	// detectAfter is how long a primary must have failed before it is replaced.
	detectAfter = 450 * time.Millisecond
	// evictAfter is the silence after which an instance that does not come back
	// loses its registration.
	evictAfter = 4 * time.Second
	// cutOffAfter is the time without connectivity after which callers are moved
	// to other instances, and connectivityInterval the time between two checks.
	cutOffAfter          = 700 * time.Millisecond
	connectivityInterval = 200 * time.Millisecond
	// switchTimeout bounds a planned change of primary, which is rolled back
	// when it takes longer. switchMaxLag is the number of log entries that its
	// target may lack, about a second of writes. leavingRetryInterval is the
	// time between two attempts to move the primary off a leaving upstream.
	switchTimeout        = 1500 * time.Millisecond
	switchMaxLag         = 100
	leavingRetryInterval = 2 * time.Second
	// promotionLease is the age of the newest confirmation of the head row up to
	// which a promoter orders promotions. promotionLeaseWait is how long an
	// instance that takes over waits for that lease to run out.
	promotionLease     = 1200 * time.Millisecond
	promotionLeaseWait = 2500 * time.Millisecond
	// maxPromiseTime bounds how long writes continue while the store is
	// unreachable.
	maxPromiseTime = time.Minute
	// defaultStopGracePeriod is the time for a stop if the settings give none.
	defaultStopGracePeriod = 6 * time.Second
	// unreadyNoticeTime is the time after which an instance that is not ready
	// gets no new callers: two readiness checks one second apart, and the
	// transmission of the second.
	unreadyNoticeTime = 2300 * time.Millisecond
	// closeMargin is the time between the end of the last session and the end of
	// the stop.
	closeMargin = 700 * time.Millisecond
	// membersAnswerAge is the age of a member's newest answer up to which an
	// observer counts as connected.
	membersAnswerAge = 1600 * time.Millisecond
	// answerMargin is the time between the last answer during a stop and the end
	// of the sessions.
	answerMargin = 200 * time.Millisecond
	// softMemoryRatio is the part of the process's memory limit that is set as the
	// soft memory limit of the Go runtime, above which the garbage collector
	// runs more often.
	softMemoryRatio = 0.6
)

// Hosted is an instance on the users' platform, which provides the
// configuration and the list of upstreams, and stores the state of groups.
type Hosted struct {
	settings *platform.Settings
	logger   *slog.Logger
	clock    clock
	self     model.Member
	store    *platform.Store
	pools    *textback.Pools
	forward  *textforward.Forwarder
	dispatch *dispatcher.Dispatcher
	loop     *region.Loop
	mesh     *mesh.Node
	front    *textfront.Server
	rates    *quota.Service
	ready    *http.Server
	stopping atomicFlag
	wasReady atomicFlag
	// cutOff is set while the instance neither holds a permit nor reaches the
	// store ("away" in the log).
	cutOff atomicFlag
	// unconfirmed is set while the configuration has client accounts and its
	// confirmation has been too old for cutOffAfter.
	unconfirmed atomicFlag
}

// NewHosted opens the listeners for callers and peers and creates the parts of
// the instance. Run starts them.
func NewHosted(settings *platform.Settings, logger *slog.Logger) (*Hosted, error) {
	h := &Hosted{settings: settings, clock: newClock()}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * softMemoryRatio))
	}
	address := net.JoinHostPort(settings.IP, strconv.Itoa(settings.MeshPort))
	// The time since boot and the wall clock together make the ID unique among
	// the processes that run on this machine one after another.
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

// assemble opens the listeners and creates the parts.
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
	h.store = platform.NewStore(h.settings.StoreAddress, storeTimeout, h.logger)
	h.pools = textback.New(wire, h.settings.Machine)
	h.forward = textforward.New(h.logger)
	h.dispatch = dispatcher.New(dispatcher.Config{Clock: h.clock, Home: h.settings.DataCentre, UseTopology: h.useTopology, Self: h.self.ID, Logger: h.logger})
	peers := meshpeer.New(meshCallTimeout)
	if h.loop, err = region.New(h.loopConfig(peers)); err != nil {
		return err
	}
	h.rates = h.newRates(peers)
	h.front = textfront.New(textfront.Config{
		Listener: callers, Codec: wire, Dispatch: h.dispatch, Pools: h.pools, Forwarder: h.forward, Logger: h.logger, Stop: h.stopTimes(),
		Busy: newProcessorUse(h.settings.Cores).Permille,
		Self: h.self.ID, ApplyTime: h.settings.ApplyTime, RevocationTime: h.settings.RevocationTime, Rates: h.rates,
	})
	h.mesh = mesh.New(mesh.Config{
		Self: h.self, Region: h.settings.Region, Listener: peerListener, Handler: newHostedPeer(h), Logger: h.logger,
	})
	h.mesh.SetSeeds(h.seeds())
	peers.SetNode(h.mesh)
	h.forward.SetNode(h.mesh)
	h.ready = &http.Server{Handler: h.readyHandler(), ReadHeaderTimeout: time.Second}
	return nil
}

// useTopology applies a new set of upstreams and servers.
func (h *Hosted) useTopology(topology dispatcher.Topology) {
	h.pools.SetUpstreams(topology.Upstreams, topology.Connections)
	orders := make(textforward.Orders, len(topology.Servers))
	near := make(map[model.InstanceID]bool)
	for id, servers := range topology.Servers {
		for _, server := range servers {
			near[server.ID] = server.DataCentre == h.self.DataCentre
		}
		orders[id] = serving.ForwardOrder(h.self, id, servers, "", false)
	}
	h.forward.SetNear(near)
	h.forward.SetOrders(orders)
	withHome := serving.CallersWithHome(topology.Callers)
	h.forward.SetCallerOrder(h.self.ID, func(group model.GroupID, caller model.CallerName) ([]model.InstanceID, bool) {
		if !withHome[caller] {
			return nil, false
		}
		return serving.ForwardOrder(h.self, group, topology.Servers[group], caller, true), true
	})
}

// loopConfig returns the configuration of the control loop.
func (h *Hosted) loopConfig(peers *meshpeer.Peers) region.Config {
	join := serving.NewJoinPolicy(h.self.ID, serving.Machine{Cores: h.settings.Cores, LinkMbps: h.settings.LinkMbps})
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
			SwitchTimeout:        switchTimeout,
			SwitchMaxLag:         switchMaxLag,
			LeavingRetryInterval: leavingRetryInterval,
			MaxPromiseTime:       maxPromiseTime,
			PromotionLease:       promotionLease,
			PromotionLeaseWait:   promotionLeaseWait,
			PlatformPromotes:     true,
			MinMembers:           join.MinMembers,
			MaxMembers:           join.MaxMembers,
			JoinDelay:            join.JoinDelay,
			UrgentJoinDelay:      join.UrgentJoinDelay,
			FirstReadDelay:       join.FirstReadDelay,
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
// Addresses that cannot be parsed are skipped.
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

// stopGracePeriod returns the time for a graceful stop.
func (h *Hosted) stopGracePeriod() time.Duration {
	if h.settings.StopGracePeriod > 0 {
		return h.settings.StopGracePeriod
	}
	return defaultStopGracePeriod
}

// stopTimes returns the schedule of a graceful stop within the grace period.
func (h *Hosted) stopTimes() textfront.StopTimes {
	closeBy := max(h.stopGracePeriod()-2*closeMargin, h.stopGracePeriod()/2)
	return textfront.StopTimes{
		IdleCloseStart: min(unreadyNoticeTime, closeBy),
		IdleCloseEnd:   closeBy,
		AnswerBy:       h.stopGracePeriod() - closeMargin - answerMargin,
		RollbackAfter:  h.stopGracePeriod() * 3 / 5,
	}
}

// Run serves until ctx ends, and then stops gracefully. A signal on reload is
// only logged. The error is nil if no work in flight was interrupted.
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
	go h.watchConnectivity(background)
	go h.reportLoads(background)
	go h.rates.Run(background)
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

// stop ends the instance gracefully within the grace period.
func (h *Hosted) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), h.stopGracePeriod()-closeMargin)
	defer cancel()
	h.stopping.set()
	events.Log(ctx, h.logger, events.StopStarted)
	h.loop.Leave()
	err := h.front.Shutdown(ctx)
	if err != nil {
		events.Log(ctx, h.logger, events.StopTimedOut, slog.Any("error", err))
	} else {
		events.Log(ctx, h.logger, events.StopDrained)
	}
	h.loop.Deregister()
	deadline := time.Now().Add(closeMargin / 2)
	for time.Now().Before(deadline) && h.loop.Snapshot().View.Registered {
		time.Sleep(deregisterPollInterval)
	}
	h.pools.Close()
	events.Log(context.Background(), h.logger, events.InstanceStopped)
	return err
}
