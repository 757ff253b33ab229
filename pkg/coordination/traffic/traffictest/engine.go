// Package traffictest gives a small traffic.Engine for the tests of packages
// that send statements through one.
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

// Engine sends every statement of the first group's database to the primary.
// The hooks, where set, replace or extend what it does; they are set before
// the first use.
type Engine struct {
	// Config is the bundle in force.
	Config *bundle.Bundle
	// OnAdmit may change a ticket or refuse it.
	OnAdmit func(t *traffic.Ticket) *verdict.Error
	// OnMaySend replaces the answer of MaySend.
	OnMaySend func(t *traffic.Ticket) *verdict.Error
	// OnAcknowledge replaces the answer of MayAcknowledge.
	OnAcknowledge func(t *traffic.Ticket, at model.LSN) *verdict.Error

	mu       sync.Mutex
	admitted int
	results  []traffic.Result
	marks    []model.LSN
}

var _ traffic.Engine = (*Engine)(nil)

// DefaultDeadline is the deadline of a ticket that no route bounds.
const DefaultDeadline = 10 * time.Second

// Admit gives a ticket for the first upstream of the group.
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

// MaySend allows every ticket unless OnMaySend refuses.
func (e *Engine) MaySend(t *traffic.Ticket) *verdict.Error {
	if e.OnMaySend == nil {
		return nil
	}
	return e.OnMaySend(t)
}

// MayAcknowledge records the position and allows every answer unless
// OnAcknowledge refuses.
func (e *Engine) MayAcknowledge(_ context.Context, t *traffic.Ticket, at model.LSN) *verdict.Error {
	e.mu.Lock()
	e.marks = append(e.marks, at)
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

// AcknowledgedPositions returns the positions that MayAcknowledge was asked for.
func (e *Engine) AcknowledgedPositions() []model.LSN {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]model.LSN(nil), e.marks...)
}

// Results returns the results of the units of work that are done.
func (e *Engine) Results() []traffic.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]traffic.Result(nil), e.results...)
}

// InFlight returns the number of units admitted and not done.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admitted - len(e.results)
}
