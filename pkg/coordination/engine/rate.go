package engine

import (
	"time"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// Rates limits the units of work of callers over all instances. Package quota
// implements it.
type Rates interface {
	// Admit decides on one unit of work. If it may not run, retryAfter is the time
	// from now after which the caller may retry.
	Admit(caller model.CallerName) (admitted bool, retryAfter time.Duration)
	// Refund takes back a unit that was admitted and certainly did not run.
	Refund(caller model.CallerName)
}

var _ traffic.RateRefunder = (*Engine)(nil)

// chargeRate counts the unit towards the rate of its caller, unless an earlier
// attempt did or it executes nothing. Without a charge only the first attempt counts.
func (e *Engine) chargeRate(s traffic.Statement, charge *traffic.RateCharge) *verdict.Error {
	isCounted := charge.Counted || s.Charge == nil && s.Attempt > 0
	if e.config.Rates == nil || isCounted || s.OnlyPrepares {
		return nil
	}
	admitted, retryAfter := e.config.Rates.Admit(s.Caller)
	if !admitted {
		refused := verdict.New(verdict.Overloaded, verdict.NotRun, traffic.OverRateReason)
		return refused.WithRetryAfter(max(retryAfter, time.Millisecond))
	}
	*charge = traffic.RateCharge{Caller: s.Caller, Counted: true}
	return nil
}

// RefundRate takes back the charge of a unit of work that certainly did not run in
// any attempt and is not attempted again.
func (e *Engine) RefundRate(charge *traffic.RateCharge) {
	if charge.Counted {
		charge.Counted = false
		e.config.Rates.Refund(charge.Caller)
	}
}
