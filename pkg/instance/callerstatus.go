package instance

import (
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

// callerUsageSource reports the use of rate limits on this instance. The rate
// limiter implements it.
type callerUsageSource interface {
	// CallerUsage returns the use of every caller that the limiter knows, in any
	// order and each at most once. It must be safe for concurrent use.
	CallerUsage() []model.CallerUsage
}

// callersStatus returns the status of callers, which are ordered by name. A nil
// source means that the use is unknown.
func callersStatus(callers []bundle.Caller, source callerUsageSource) admin.CallersStatus {
	usage := map[model.CallerName]*admin.CallerUsage{}
	if source != nil {
		for _, used := range source.CallerUsage() {
			usage[used.Name] = &admin.CallerUsage{UsedPerSecond: used.UsedPerSecond, Refused: used.Refused, Limit: used.Limit}
		}
	}
	var status admin.CallersStatus
	for i := range callers {
		policy := callers[i].Policy()
		if i >= admin.MaxListedCallers {
			status.Rest = addToRest(status.Rest, policy, usage[policy.Name])
			continue
		}
		status.Listed = append(status.Listed, admin.CallerStatus{
			Name:     policy.Name,
			Rate:     policy.Rate,
			Burst:    policy.Burst,
			Priority: policy.Priority,
			Weight:   callers[i].Weight,
			Usage:    usage[policy.Name],
		})
	}
	return status
}

// addToRest adds a caller to the sum of those that are not listed. rest may be nil.
func addToRest(rest *admin.OtherCallers, policy model.CallerPolicy, usage *admin.CallerUsage) *admin.OtherCallers {
	if rest == nil {
		rest = &admin.OtherCallers{}
	}
	rest.Count++
	if policy.Limited() {
		rest.Rate += policy.Rate
	} else {
		rest.Unlimited++
	}
	rest.Usage = rest.Usage.Add(usage)
	return rest
}
