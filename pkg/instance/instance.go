// Package instance assembles an instance of the proxy from its listeners, the
// control loop, the path of statements, and the connections to peers, upstreams
// and the platform. Instance is configured by a settings file; Hosted runs on
// the users' platform.
package instance

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/engine"
	"gypsumdock/pkg/coordination/headstore"
	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/coordination/sessions"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/settings"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/mesh"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/transport/pgfront"
	"gypsumdock/pkg/transport/pgprobe"
)

// Instance is an instance of the proxy that is configured by a settings file.
type Instance struct {
	settings *settings.Settings
	logger   *slog.Logger
	clock    clock
	self     model.Member

	listeners listeners
	platform  *platform.Client
	prober    *pgprobe.Prober
	pools     *pgback.Pools
	engine    *engine.Engine
	sessions  *sessions.Service
	heads     *headstore.Relayed
	loop      *control.Loop
	mesh      *mesh.Node
	front     *pgfront.Server
	admin     *http.Server
	tracer    *telemetry.Tracer
	stopping  atomicFlag
	ready     readyLatch
	// callerUsage is nil if no rate limiter runs.
	callerUsage callerUsageSource
}

// listeners are the open listening sockets.
type listeners struct{ callers, mesh, admin net.Listener }

// New opens the listeners and creates the parts of the instance. Run starts
// them.
func New(ctx context.Context, configured *settings.Settings, logger *slog.Logger) (*Instance, error) {
	i := &Instance{settings: configured, clock: newClock()}
	opened, err := listen(configured)
	if err != nil {
		return nil, err
	}
	i.listeners = opened
	i.self = selfOf(configured, opened)
	i.logger = logger.With(slog.String("instance", string(i.self.ID)))
	if err := i.assemble(ctx); err != nil {
		opened.close()
		return nil, err
	}
	return i, nil
}

// Run serves until ctx ends, and then stops gracefully. The error is nil if no
// work in flight was interrupted.
func (i *Instance) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	events.Log(ctx, i.logger, events.InstanceStarted,
		slog.String("callers", i.listeners.callers.Addr().String()),
		slog.String("mesh", i.listeners.mesh.Addr().String()),
		slog.String("admin", i.listeners.admin.Addr().String()))
	i.loop.Start()
	go i.sessions.Run(background)
	go i.exportMetrics(background)
	go func() { _ = i.admin.Serve(i.listeners.admin) }()
	served := make(chan error, 1)
	go func() { served <- i.serveWhenReady(background) }()
	select {
	case <-ctx.Done():
	case err := <-served:
		if err != nil {
			i.close()
			return errors.Wrap(err, "serve callers")
		}
	}
	return i.stop()
}

// serveWhenReady waits until the instance is ready and then accepts callers.
func (i *Instance) serveWhenReady(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !i.isReady() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	events.Log(ctx, i.logger, events.InstanceReady)
	return i.front.Serve(ctx)
}

// readyInterval is the time between two checks of readiness.
const readyInterval = 20 * time.Millisecond

// selfOf returns this instance as a member of the region. It generates an ID if
// the settings have none.
func selfOf(configured *settings.Settings, opened listeners) model.Member {
	id := configured.Instance.ID
	if id == "" {
		id = model.InstanceID(uuid.NewString())
	}
	address := configured.Mesh.Advertise
	if address == "" {
		address = opened.mesh.Addr().String()
	}
	return model.Member{ID: id, DataCentre: configured.Instance.DataCentre, Address: address}
}
