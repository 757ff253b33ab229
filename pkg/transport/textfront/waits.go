package textfront

import (
	"strconv"
	"time"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

// callerWeight returns the relative share of a caller in the queue of a group: 4
// with priority 0 or less, 2 with priority 1, and 1 otherwise.
func callerWeight(configuration *catalog.Catalog, name model.CallerName) int {
	caller, found := configuration.CallerNamed(name)
	switch {
	case !found:
		return 1
	case caller.Priority <= 0:
		return 4
	case caller.Priority == 1:
		return 2
	default:
		return 1
	}
}

// lastNamedPriority is the last priority with metrics of its own; the others
// share theirs.
const lastNamedPriority = 2

// priorityLabel returns the label of a priority. A peer that forwards units may
// send any number as priority.
func priorityLabel(priority int) string {
	if priority < 0 {
		priority = 0
	}
	if priority > lastNamedPriority {
		return "lower"
	}
	return strconv.Itoa(priority)
}

// recordWait counts the time that a unit waited for an upstream, and its
// refusal, which is nil if it got one.
func recordWait(priority int, waited time.Duration, refusal *dispatch.Refusal) {
	label := priorityLabel(priority)
	telemetry.PriorityWaitSeconds.With(label).Update(waited.Seconds())
	if refusal != nil {
		telemetry.PriorityRefused.With(label, refusal.Reason.String()).Inc()
	}
}
