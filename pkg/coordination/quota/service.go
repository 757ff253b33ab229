// Package quota runs the state machine that limits the rates of callers over all
// members (pkg/state/quota): it decides on units of work, and exchanges reports
// of use with the other members.
package quota

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
	"gypsumdock/pkg/telemetry"
)

const (
	// tickInterval is the time between two reports of a caller near its limit.
	tickInterval = 100 * time.Millisecond
	// measureInterval is the time between two updates of the metrics.
	measureInterval = time.Second
	// defaultWindow is the span in which a limit holds if the settings give none.
	defaultWindow = 5 * time.Second
	// logInterval is the minimum time between two log lines of one event.
	logInterval = time.Second
)

// Peers sends reports to other members. meshpeer.Peers implements it.
type Peers interface {
	SendUsage(to model.InstanceID, report quota.Report)
}

// Config holds the dependencies and settings of a Service.
type Config struct {
	Self      model.InstanceID
	Tolerance quota.Tolerance
	Clock     region.Clock
	// Snapshot returns the state of the region with the active catalog and the
	// members. It may return nil.
	Snapshot func() *region.Snapshot
	Peers    Peers
	Logger   *slog.Logger
}

// Service limits the rates of callers. It is safe for concurrent use.
type Service struct {
	config Config
	// limited is set while any caller has a limit.
	limited atomic.Bool
	invalid *events.Throttle

	mu       sync.Mutex
	machine  *quota.Machine
	snapshot *region.Snapshot
	catalog  *catalog.Catalog
	measured time.Duration
	series   map[model.CallerName]*series
	inGroup  bool
}

// New returns a Service that limits nothing before its first tick.
func New(config Config) *Service {
	if config.Tolerance.Window == 0 {
		config.Tolerance.Window = defaultWindow
	}
	return &Service{
		config:  config,
		invalid: events.NewThrottle(events.UsageReportInvalid, logInterval),
		machine: quota.New(quota.Config{Self: config.Self, Tolerance: config.Tolerance}),
		series:  make(map[model.CallerName]*series),
	}
}

// Run sends reports until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Tick()
		}
	}
}

// Admit decides on one unit of work of a caller. If it may not run, retryAfter is
// when the caller may come back.
func (s *Service) Admit(caller model.CallerName) (admitted bool, retryAfter time.Duration) {
	if caller == "" || !s.limited.Load() {
		return true, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Admit(s.config.Clock.Now(), caller)
}

// Refund takes back a unit of work that was admitted and certainly did not run.
func (s *Service) Refund(caller model.CallerName) {
	if caller == "" || !s.limited.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Refund(s.config.Clock.Now(), caller)
}

// Receive takes in the report of a peer.
func (s *Service) Receive(from model.InstanceID, report quota.Report) {
	if !s.limited.Load() {
		return
	}
	s.mu.Lock()
	dropped := s.machine.Receive(s.config.Clock.Now(), from, report)
	s.mu.Unlock()
	if dropped > 0 {
		telemetry.QuotaInvalid.With().Add(dropped)
		s.invalid.Log(context.Background(), s.config.Logger, slog.String("from", string(from)), slog.Int("entries", dropped))
	}
}

// Tick takes in the limits and the members, and sends the reports that are due.
func (s *Service) Tick() {
	reports := s.step()
	for _, out := range reports {
		s.config.Peers.SendUsage(out.To, out.Report)
	}
	if len(reports) > 0 {
		telemetry.QuotaReports.With().Add(len(reports))
	}
}

func (s *Service) step() []quota.Outgoing {
	now := s.config.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(now)
	if !s.limited.Load() {
		return nil
	}
	reports := s.machine.Tick(now)
	if now-s.measured >= measureInterval {
		s.measured = now
		s.measure(now)
	}
	s.logGroup()
	return reports
}

// adopt takes in a new snapshot.
func (s *Service) adopt(now time.Duration) {
	snapshot := s.config.Snapshot()
	if snapshot == nil || snapshot == s.snapshot {
		return
	}
	s.snapshot = snapshot
	if snapshot.Catalog != s.catalog {
		s.catalog = snapshot.Catalog
		s.machine.SetLimits(now, limitsOf(snapshot.Catalog))
		s.limited.Store(s.machine.Limited())
	}
	s.machine.SetMembers(now, membersOf(snapshot), snapshot.View.HeadConfirmedAt)
}

// limitsOf returns the limits of the callers that have one.
func limitsOf(active *catalog.Catalog) []quota.Limit {
	var limits []quota.Limit
	for _, caller := range active.Callers {
		if caller.Rate > 0 {
			limits = append(limits, quota.Limit{Caller: caller.Name, Rate: caller.Rate, Burst: caller.Burst})
		}
	}
	return limits
}

// membersOf returns the registered instances, or nil while this one is not
// registered.
func membersOf(snapshot *region.Snapshot) []model.Member {
	if !snapshot.View.Registered {
		return nil
	}
	var members []model.Member
	for _, view := range snapshot.View.Members {
		members = append(members, view.Member)
	}
	return members
}

// logGroup logs whether this member divides the rates by demand.
func (s *Service) logGroup() {
	inGroup := s.machine.InGroup()
	if inGroup == s.inGroup {
		return
	}
	s.inGroup = inGroup
	events.Log(context.Background(), s.config.Logger, events.RatesDivided, slog.Bool("by_demand", inGroup))
}
