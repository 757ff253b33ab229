// Package traffictest provides a fake traffic.Engine for tests of the statement
// path.
package traffictest

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// Engine admits every statement for a database of Config and sends it to the
// group's first upstream, as the primary. The hooks must be set before the first
// use.
type Engine struct {
	// Config is the active configuration.
	Config *bundle.Bundle
	// OnAdmit, if set, may change a ticket or refuse it.
	OnAdmit func(t *traffic.Ticket) *verdict.Error
	// OnMaySend, if set, provides the result of MaySend.
	OnMaySend func(t *traffic.Ticket) *verdict.Error
	// OnAcknowledge, if set, provides the result of MayAcknowledge.
	OnAcknowledge func(t *traffic.Ticket, at model.LSN) *verdict.Error

	mu        sync.Mutex
	admitted  int
	results   []traffic.Result
	positions []model.LSN
}

var _ traffic.Engine = (*Engine)(nil)

// DefaultDeadline is the time from Admit to the deadline of a ticket.
const DefaultDeadline = 10 * time.Second

// Admit returns a ticket for the first upstream of the group.
func (e *Engine) Admit(_ context.Context, s traffic.Statement) (*traffic.Ticket, *verdict.Error) {
	group, found := e.Config.GroupOfDatabase(s.Database)
	if !found {
		return nil, verdict.New(verdict.UnknownDatabase, verdict.NotRun, "unknown database")
	}
	t := &traffic.Ticket{
		Statement:  s,
		Group:      group,
		Route:      &bundle.Route{},
		Upstream:   &group.Upstreams[0],
		Generation: 1,
		Primary:    true,
		Deadline:   time.Now().Add(DefaultDeadline),
	}
	if e.OnAdmit != nil {
		if refused := e.OnAdmit(t); refused != nil {
			return nil, refused
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitted++
	return t, nil
}

// MaySend returns nil unless OnMaySend refuses.
func (e *Engine) MaySend(t *traffic.Ticket) *verdict.Error {
	if e.OnMaySend == nil {
		return nil
	}
	return e.OnMaySend(t)
}

// MayAcknowledge records the position and returns nil unless OnAcknowledge refuses.
func (e *Engine) MayAcknowledge(_ context.Context, t *traffic.Ticket, at model.LSN) *verdict.Error {
	e.mu.Lock()
	e.positions = append(e.positions, at)
	e.mu.Unlock()
	if e.OnAcknowledge == nil {
		return nil
	}
	return e.OnAcknowledge(t, at)
}

// Done records the result.
func (e *Engine) Done(_ *traffic.Ticket, r traffic.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.results = append(e.results, r)
}

// Bundle returns Config.
func (e *Engine) Bundle() *bundle.Bundle { return e.Config }

// AcknowledgedPositions returns the positions passed to MayAcknowledge, in order.
func (e *Engine) AcknowledgedPositions() []model.LSN {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]model.LSN(nil), e.positions...)
}

// Results returns the results passed to Done, in order.
func (e *Engine) Results() []traffic.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]traffic.Result(nil), e.results...)
}

// InFlight returns the number of units admitted and not yet done.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admitted - len(e.results)
}
