package operator

import (
	"fmt"
	"io"
	"strconv"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

// callerUse is the use of a caller's rate limit, summed over the instances that
// report it.
type callerUse struct {
	sum *admin.CallerUsage
	// reports is the number of instances that report the use. limitLeast and
	// limitMost are the bounds of the limits that they enforce; they differ while
	// a changed limit is not active on all of them.
	reports               int
	limitLeast, limitMost float64
}

func (u *callerUse) add(usage *admin.CallerUsage) {
	if usage == nil {
		return
	}
	if u.reports == 0 {
		u.limitLeast, u.limitMost = usage.Limit, usage.Limit
	}
	u.limitLeast, u.limitMost = min(u.limitLeast, usage.Limit), max(u.limitMost, usage.Limit)
	u.sum = u.sum.Add(usage)
	u.reports++
}

// writeCallers writes the table of the callers of the newest revision that an
// instance has in force, with their use summed over all instances.
func writeCallers(w io.Writer, instances []admin.Status) {
	newest := newestCallers(instances)
	if len(newest.Listed) == 0 {
		return
	}
	uses, rest := sumUses(instances)
	fmt.Fprintln(w, "\nCALLER\tPRIORITY\tWEIGHT\tRATE\tBURST\tLIMIT IN FORCE\tUSED/S\tREFUSED\tREPORTED BY")
	for _, caller := range newest.Listed {
		use := uses[caller.Name]
		if use == nil {
			use = &callerUse{}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\n", caller.Name, caller.Priority, caller.Weight, rateOf(caller.Rate),
			number(caller.Burst), use.columns(len(instances)))
	}
	if newest.Rest != nil {
		fmt.Fprintf(w, "%d others (%d without a limit)\t-\t-\t%s\t-\t%s\n", newest.Rest.Count, newest.Rest.Unlimited,
			number(newest.Rest.Rate), rest.columns(len(instances)))
	}
}

// newestCallers returns the callers of the highest revision.
func newestCallers(instances []admin.Status) admin.CallersStatus {
	var newest admin.Status
	for i, status := range instances {
		if i == 0 || status.Revision > newest.Revision {
			newest = status
		}
	}
	return newest.Callers
}

// sumUses sums the uses of all instances, by caller and of the callers that are
// not listed.
func sumUses(instances []admin.Status) (byName map[model.CallerName]*callerUse, rest *callerUse) {
	byName, rest = map[model.CallerName]*callerUse{}, &callerUse{}
	for _, status := range instances {
		for _, caller := range status.Callers.Listed {
			if byName[caller.Name] == nil {
				byName[caller.Name] = &callerUse{}
			}
			byName[caller.Name].add(caller.Usage)
		}
		if status.Callers.Rest != nil {
			rest.add(status.Callers.Rest.Usage)
		}
	}
	return byName, rest
}

// columns formats the limit in force, the use, the refusals and how many of the
// instances report them.
func (u *callerUse) columns(instances int) string {
	reported := fmt.Sprintf("%d of %d", u.reports, instances)
	if u.sum == nil {
		return "unknown\tunknown\tunknown\t" + reported
	}
	limit := rateOf(u.limitLeast)
	if u.limitLeast != u.limitMost {
		limit += " to " + rateOf(u.limitMost)
	}
	return fmt.Sprintf("%s\t%.1f\t%d\t%s", limit, u.sum.UsedPerSecond, u.sum.Refused, reported)
}

// rateOf formats a rate, of which zero sets no limit.
func rateOf(rate float64) string {
	if rate == 0 {
		return "none"
	}
	return number(rate)
}

// number formats a rate or a burst without an exponent.
func number(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
