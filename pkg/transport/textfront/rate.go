package textfront

import (
	"time"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/model"
)

// Rates limits the units of work of callers. A caller without a name has no
// limit.
type Rates interface {
	// Admit decides on one unit of work. If it may not run, retryAfter is the time
	// that the caller should wait before it tries again.
	Admit(caller model.CallerName) (admitted bool, retryAfter time.Duration)
	// Refund takes back a unit that was admitted and certainly did not run.
	Refund(caller model.CallerName)
}

// overRateReason is the reason of a refusal over the rate limit, for the caller
// and the log.
const overRateReason = "over the rate limit"

// rateState is the state of a unit of work with regard to its caller's rate limit.
type rateState struct {
	// counted is set once the unit was admitted.
	counted bool
	// retryAfter is the time that the caller should wait before it tries again;
	// zero unless the unit was refused.
	retryAfter time.Duration
	// sent is set once anything of the unit was sent to an upstream.
	sent bool
}

// admitRate counts the unit when it first asks for a connection. It returns false
// if the caller is over its rate limit.
func (u *unit) admitRate() bool {
	rates := u.session.server.config.Rates
	if rates == nil || u.spec.Caller == "" || u.rate.counted {
		return true
	}
	admitted, retryAfter := rates.Admit(u.spec.Caller)
	u.rate.counted = admitted
	if !admitted {
		u.rate.retryAfter = max(retryAfter, time.Millisecond)
	}
	return admitted
}

// refundRate takes the unit back if nothing of it was sent to an upstream.
func (u *unit) refundRate() {
	if u.rate.counted && !u.rate.sent {
		u.rate.counted = false
		u.session.server.config.Rates.Refund(u.spec.Caller)
	}
}

// isOverRate reports whether the unit was refused by the rate limit.
func (u *unit) isOverRate() bool { return u.rate.retryAfter > 0 }

// overRateFailure returns the failure of a unit over the rate limit.
func (u *unit) overRateFailure() statement.Failure {
	return statement.Failure{Code: statement.FailOverloaded, Text: notRunText(overRateReason, u.rate.retryAfter)}
}
