package instance

import (
	"context"
	"math/rand/v2"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/engine"
	"gypsumdock/pkg/coordination/grantstore"
	"gypsumdock/pkg/coordination/headstore"
	"gypsumdock/pkg/coordination/observe"
	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/coordination/sessions"
	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/admin"
	"gypsumdock/pkg/transport/mesh"
	"gypsumdock/pkg/transport/meshpeer"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/transport/pgforward"
	"gypsumdock/pkg/transport/pgfront"
	"gypsumdock/pkg/transport/pgprobe"
)

// minIdle is the number of idle connections kept ready to each upstream.
const minIdle = 1

// assemble creates all parts. Only the mesh serves at once.
func (i *Instance) assemble(ctx context.Context) error {
	tracer, err := telemetry.NewTracer(ctx, i.settings.Traces, string(i.self.ID))
	if err != nil {
		return err
	}
	i.tracer = tracer
	i.platform = platform.NewClient(platform.Options{
		Address: i.settings.Platform.Address,
		Timeout: i.settings.Platform.Timeout,
		Token:   string(i.settings.Platform.Token),
	})
	i.prober = pgprobe.New(applicationOf(i.self.ID))
	if i.pools, err = pgback.New(pgback.Config{
		MinIdle:         minIdle,
		ApplicationName: applicationOf(i.self.ID),
		Logger:          i.logger,
	}); err != nil {
		return err
	}
	peers, err := i.assembleControl()
	if err != nil {
		return err
	}
	if err := i.assembleMesh(peers); err != nil {
		return err
	}
	return i.assembleFront()
}

// assembleControl creates the control loop, and the sessions, engine and store
// that it uses.
func (i *Instance) assembleControl() (*meshpeer.Peers, error) {
	peers := meshpeer.New(i.settings.Mesh.CallTimeout)
	lease := marks.Lease{Lifetime: i.settings.Permits.Lifetime, Drift: i.settings.Permits.Drift}
	i.sessions = sessions.New(sessions.Config{
		Self:        i.self.ID,
		Lease:       lease,
		Clock:       i.clock,
		Peers:       tracedPeers{peers, i.tracer},
		RefreshHead: func() { i.loop.RefreshHead() },
	})
	i.rates = i.newRates(peers)
	i.engine = engine.New(engine.Config{
		Clock:     i.clock,
		Sessions:  i.sessions,
		Positions: i.prober,
		Random:    rand.Uint64,
		Rates:     i.rates,
	})
	store := headstore.New(i.table(), i.settings.Instance.Region)
	view := func() *failover.View { return &i.loop.Snapshot().View }
	i.heads = headstore.NewRelayed(store, i.self, peers, view)
	loop, err := control.New(control.Config{
		Self:           i.self,
		Failover:       i.failoverConfig(),
		Adoption:       adoption.DefaultOptions(),
		ProbeInterval:  i.settings.Failover.ProbeInterval,
		ProbeTimeout:   i.settings.Failover.ProbeTimeout,
		PromoteTimeout: i.settings.Failover.PromoteTimeout,
		AdminAddress:   i.listeners.admin.Addr().String(),
		Clock:          i.clock,
		Heads:          i.heads,
		Platform:       platformServices{i.platform.Objects(), i.platform},
		Upstreams:      upstreams{i.prober},
		Peers:          peers,
		Sessions:       i.sessions,
		Traffic:        i.engine,
		Grants:         grantstore.New(i.table()),
		Pools:          poolUse{i.pools},
		Logger:         i.logger,
	})
	i.loop = loop
	return peers, err
}

// table returns the platform's table, wrapped so that its calls are counted in
// metrics and its faults are logged.
func (i *Instance) table() platform.Table {
	counted := platform.NewCountedTable(i.platform)
	return platform.NewWatchedTable(counted, i.logger, i.settings.Platform.Timeout)
}

// platformServices combines the platform's object store and list of instances.
type platformServices struct {
	platform.Objects
	list platform.Instances
}

// Instances returns the platform's list of instances.
func (p platformServices) Instances(ctx context.Context) ([]platform.Instance, error) {
	return p.list.Instances(ctx)
}

// failoverConfig returns the failover configuration by the settings.
func (i *Instance) failoverConfig() failover.Config {
	return failover.Config{
		PermitLifetime:  i.settings.Permits.Lifetime,
		Drift:           i.settings.Permits.Drift,
		ReadInterval:    i.settings.Permits.ReadInterval,
		DetectAfter:     i.settings.Failover.DetectAfter,
		ObserveInterval: i.settings.Failover.ObserveInterval,
	}
}

// assembleMesh creates the mesh node, which connects to the other instances.
func (i *Instance) assembleMesh(peers *meshpeer.Peers) error {
	server, client, err := meshTLS(i.settings.Mesh)
	if err != nil {
		return err
	}
	i.mesh = mesh.New(mesh.Config{
		Self:          i.self,
		Region:        i.settings.Instance.Region,
		Listener:      i.listeners.mesh,
		Handler:       i.inbound(),
		Logger:        i.logger,
		ServerTLS:     server,
		ClientTLS:     client,
		MaxFrameBytes: int64(i.settings.Mesh.MaxFrameBytes),
	})
	i.mesh.SetSeeds(i.settings.Mesh.Peers)
	peers.SetNode(i.mesh)
	return nil
}

// inbound returns the handler that passes the messages of peers to the parts of
// this instance.
func (i *Instance) inbound() *meshpeer.Inbound {
	return &meshpeer.Inbound{
		Control:  i.loop,
		Homes:    i.sessions,
		Reader:   i.heads,
		Rates:    i.rates,
		Forwards: pgforward.NewLender(i.pools, i.engine),
	}
}

// assembleFront creates the callers' server and the admin server.
func (i *Instance) assembleFront() error {
	secure, err := callersTLS(i.settings.Callers)
	if err != nil {
		return err
	}
	i.front, err = pgfront.New(pgfront.Config{
		Listener:        i.listeners.callers,
		Engine:          observe.New(i.engine, i.logger),
		Backends:        pgforward.NewBorrower(i.pools, i.mesh, i.tracer.Inject),
		Logger:          i.logger,
		Tracer:          spans{i.tracer},
		TLS:             secure,
		StartupTimeout:  i.settings.Callers.StartupTimeout,
		MaxMessageBytes: i.settings.Callers.MaxMessageBytes,
		MaxSessions:     i.settings.Callers.MaxConnections,
	})
	if err != nil {
		return errors.Wrap(err, "callers' server")
	}
	i.engine.SetSessionCounter(i.front.SessionCount)
	i.admin = admin.NewServer(i)
	return nil
}
