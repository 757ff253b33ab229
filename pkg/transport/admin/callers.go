package admin

import "gypsumdock/pkg/state/model"

// MaxListedCallers is the number of callers that a status lists by name, so that
// its size is bounded.
const MaxListedCallers = 100

// CallersStatus lists the callers of the active configuration.
type CallersStatus struct {
	// Listed are the first MaxListedCallers callers by name.
	Listed []CallerStatus `json:"listed,omitempty"`
	// Rest sums up the other callers; it is nil if there are none.
	Rest *OtherCallers `json:"rest,omitempty"`
}

// CallerStatus is a caller's rate limit, and its use on this instance.
type CallerStatus struct {
	Name model.CallerName `json:"name"`
	// Rate, in operations per second, and Burst, in operations, are as configured.
	// A Rate of zero sets no limit.
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Priority int     `json:"priority"`
	Weight   int     `json:"weight"`
	// Usage is nil if unknown.
	Usage *CallerUsage `json:"usage,omitempty"`
}

// OtherCallers sums up the callers that are not listed.
type OtherCallers struct {
	Count int `json:"count"`
	// Unlimited is the number of callers without a rate, and Rate the sum of the
	// rates of the others.
	Unlimited int     `json:"unlimited"`
	Rate      float64 `json:"rate"`
	// Usage is the sum over the callers whose use is known, or nil if there are
	// none.
	Usage *CallerUsage `json:"usage,omitempty"`
}

// CallerUsage is the use of a rate limit on one instance; see model.CallerUsage.
// UsedPerSecond and Limit are in operations per second.
type CallerUsage struct {
	UsedPerSecond float64 `json:"used_per_s"`
	Refused       uint64  `json:"refused"`
	Limit         float64 `json:"limit"`
}

// Add returns the sum of two uses. Either may be nil, which counts as unknown.
func (u *CallerUsage) Add(other *CallerUsage) *CallerUsage {
	if u == nil || other == nil {
		if u == nil {
			return other
		}
		return u
	}
	return &CallerUsage{
		UsedPerSecond: u.UsedPerSecond + other.UsedPerSecond,
		Refused:       u.Refused + other.Refused,
		Limit:         u.Limit + other.Limit,
	}
}
