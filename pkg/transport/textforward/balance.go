package textforward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/balance"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

const (
	// maxReportedUnits bounds the counts of units in a reported load; a server
	// cannot have more.
	maxReportedUnits = 1 << 20
	// maxBusyPermille bounds the reported use of the processor share, in
	// thousandths. It is above 1000 as a machine may exceed its share for a while.
	maxBusyPermille = 100_000
	// maxServers is the number of servers of a group that are compared with each
	// other.
	maxServers = 16
	// permille is the number of thousandths in a whole.
	permille = 1000
	// refusedLoadInterval is the minimum time between two log lines about refused
	// loads.
	refusedLoadInterval = time.Second
)

// Need describes a unit of work to Ordered.
type Need struct {
	Group  model.GroupID
	Caller model.CallerName
	Route  string
	// TimeToTarget is the time in which the caller wants the answer; zero if no
	// target is set.
	TimeToTarget time.Duration
}

// balancer runs package balance for a Forwarder. It is safe for concurrent use.
type balancer struct {
	logger    *slog.Logger
	startedAt time.Time
	refused   *events.Throttle

	mu      sync.Mutex
	balance *balance.Balance
	// near holds the servers, with whether they are in the data centre of this
	// instance. Until it is set, the order of Servers counts as a preference.
	near map[model.InstanceID]bool
	// avoided holds the servers whose avoidance was logged.
	avoided map[model.InstanceID]bool
}

func newBalancer(logger *slog.Logger) *balancer {
	return &balancer{
		logger:    logger,
		startedAt: time.Now(),
		refused:   events.NewThrottle(events.LoadRefused, refusedLoadInterval),
		balance:   balance.New(),
		avoided:   make(map[model.InstanceID]bool),
	}
}

func (b *balancer) now() time.Duration { return time.Since(b.startedAt) }

// SetNear replaces the set of servers, with whether they are in the data centre
// of this instance.
func (f *Forwarder) SetNear(near map[model.InstanceID]bool) {
	b := f.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.near = near
	known := func(id model.InstanceID) bool {
		_, found := near[id]
		return found
	}
	b.balance.Keep(known)
	for id := range b.avoided {
		if !known(id) {
			delete(b.avoided, id)
			telemetry.ServersAvoided.With().Add(-1)
		}
	}
}

// Ordered returns the servers of a group in the order of Servers, but with the
// one first that is expected to answer first, and those that are avoided last.
func (f *Forwarder) Ordered(need Need) []model.InstanceID {
	servers := f.Servers(need.Group, need.Caller)
	usable := f.usable(servers)
	if usable > 1 {
		f.balancer.reorder(servers[:usable], need, f.homeOrder(need.Group, need.Caller) != nil)
	}
	return servers
}

// usable returns the number of servers before those that have failed recently.
func (f *Forwarder) usable(servers []model.InstanceID) int {
	for i, id := range servers {
		if f.isAvoided(id) {
			return i
		}
	}
	return len(servers)
}

// reorder sorts the servers in place. hasHome is set if the first one is the home
// of the unit's caller.
func (b *balancer) reorder(servers []model.InstanceID, need Need, hasHome bool) {
	var candidates [maxServers]balance.Candidate
	count := min(len(servers), maxServers)
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, id := range servers[:count] {
		candidates[i] = balance.Candidate{Server: id, Near: b.near[id]}
	}
	unit := balance.Unit{Route: need.Route, HasHome: hasHome || b.near == nil, TimeToTarget: need.TimeToTarget}
	chosen := servers[b.balance.Choose(b.now(), candidates[:count], unit, rand.Uint64())]
	rank := func(id model.InstanceID) int {
		switch {
		case id == chosen:
			return 0
		case b.balance.Avoided(id):
			return 2
		default:
			return 1
		}
	}
	slices.SortStableFunc(servers, func(a, b model.InstanceID) int { return rank(a) - rank(b) })
	for _, id := range servers[:count] {
		b.logChange(id, need.Group)
	}
}

// logChange logs when a server becomes avoided or is used again. b.mu is held.
func (b *balancer) logChange(id model.InstanceID, group model.GroupID) {
	avoided := b.balance.Avoided(id)
	if avoided == b.avoided[id] {
		return
	}
	attrs := []slog.Attr{slog.String("server", string(id)), slog.String("group", string(group))}
	if avoided {
		b.avoided[id] = true
		telemetry.ServersAvoided.With().Add(1)
		events.Log(context.Background(), b.logger, events.ServerSlow, append(attrs, slog.Float64("slowness", b.balance.Slowness(b.now(), id)))...)
		return
	}
	delete(b.avoided, id)
	telemetry.ServersAvoided.With().Add(-1)
	events.Log(context.Background(), b.logger, events.ServerSlowEnded, attrs...)
}

// balanceRequest describes a request to package balance. A further statement of a
// transaction counts as one that needs the primary: its route is unknown.
func balanceRequest(request *meshpb.UnitRequest) balance.Request {
	unit := request.GetUnit()
	kind := statement.Kind(request.GetKind())
	writes := kind == statement.Write || kind == statement.Execute && !request.GetPrepared().GetReadOnly()
	strong := unit.GetConsistency() == uint32(catalog.Strong)
	return balance.Request{
		Route:        unit.GetRoute(),
		NeedsPrimary: unit == nil || writes || strong || unit.GetTransaction() && !unit.GetReadOnly(),
	}
}

// sent records that a request was sent, and returns when.
func (b *balancer) sent(id model.InstanceID, request *meshpb.UnitRequest) time.Duration {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance.Sent(now, id, balanceRequest(request))
	return now
}

// answered records the end of an exchange; reply is nil if there was no answer.
// Only the first request of a unit is timed: the others contain no placement,
// and their route is not in the request.
func (b *balancer) answered(id model.InstanceID, request *meshpb.UnitRequest, reply *meshpb.UnitReply, sentAt time.Duration) {
	now := b.now()
	refused := reply.GetRefusal() != meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance.Answered(now, id, balance.Answer{
		Request: balanceRequest(request), SentAt: sentAt,
		Lost: reply == nil, Untimed: request.GetUnit() == nil || refused,
	})
	load := reply.GetLoad()
	if load == nil {
		return
	}
	if load.GetRunning() > maxReportedUnits || load.GetWaiting() > maxReportedUnits || load.GetBusyPermille() > maxBusyPermille {
		telemetry.LoadsRefused.With("reply").Inc()
		b.refused.Log(context.Background(), b.logger, slog.String("from", string(id)), slog.String("reason", "a count exceeds its bound"))
		return
	}
	b.balance.Reported(now, id, balance.Load{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Busy: float64(load.GetBusyPermille()) / permille,
	})
}
