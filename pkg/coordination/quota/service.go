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

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/failover"
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
	// SendUsage sends a report to a member. A report that cannot be sent is dropped.
	SendUsage(to model.InstanceID, report quota.Report)
}

// Clock gives the time since the process's start, from a monotonic clock.
type Clock interface{ Now() time.Duration }

// Input is the part of an instance's state that a Service uses.
type Input struct {
	// View holds the members. Two views at the same address are the same; nil if
	// the state is not known yet.
	View *failover.View
	// Configuration identifies the active configuration. It is comparable, and
	// Callers is called again only once it has changed.
	Configuration any
	// Callers returns the callers of the configuration. Those without a rate have
	// no limit.
	Callers func() []model.CallerPolicy
}

// Config holds the dependencies and settings of a Service.
type Config struct {
	Self      model.InstanceID
	Tolerance quota.Tolerance
	Clock     Clock
	// Input returns the newest state of the instance.
	Input  func() Input
	Peers  Peers
	Logger *slog.Logger
}

// Service limits the rates of callers. It is safe for concurrent use.
type Service struct {
	config Config
	// limited is set while any caller has a limit.
	limited atomic.Bool
	invalid *events.Throttle

	mu            sync.Mutex
	machine       *quota.Machine
	view          *failover.View
	configuration any
	measured      time.Duration
	series        map[model.CallerName]*series
	recent        map[model.CallerName]recentUse
	inGroup       bool
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
		recent:  make(map[model.CallerName]recentUse),
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
// the time from now after which the caller may retry.
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

// Receive processes the report of a peer, and counts and logs invalid entries.
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

// Tick updates the limits and the members from Config.Input, and sends the reports
// that are due.
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
		s.measure(now)
	}
	s.logGroup()
	return reports
}

// adopt updates the limits and the members if the state of the instance has
// changed.
func (s *Service) adopt(now time.Duration) {
	input := s.config.Input()
	if input.View == nil || input.View == s.view {
		return
	}
	s.view = input.View
	if input.Configuration != s.configuration {
		s.configuration = input.Configuration
		s.machine.SetLimits(now, limitsOf(input.Callers()))
		s.limited.Store(s.machine.Limited())
		// Without limits step does not call measure, so that the metrics of the last
		// callers are removed here.
		s.measure(now)
	}
	s.machine.SetMembers(now, membersOf(input.View), input.View.HeadConfirmedAt)
}

// limitsOf returns the limits of the callers that have one.
func limitsOf(callers []model.CallerPolicy) []quota.Limit {
	var limits []quota.Limit
	for _, caller := range callers {
		if caller.Limited() {
			limits = append(limits, quota.Limit{Caller: caller.Name, Rate: caller.Rate, Burst: caller.Burst})
		}
	}
	return limits
}

// membersOf returns the registered instances, or nil while this one is not
// registered.
func membersOf(view *failover.View) []model.Member {
	if !view.Registered {
		return nil
	}
	var members []model.Member
	for _, member := range view.Members {
		members = append(members, member.Member)
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
