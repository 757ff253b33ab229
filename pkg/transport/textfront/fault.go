package textfront

import (
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/dispatch"
)

// fault returns the fault of the upstream that an answer with this reason shows,
// or FaultNone if the answer shows none.
func fault(reason statement.Reason) dispatch.Fault {
	switch reason {
	case statement.StatementFailed:
		return dispatch.FaultStatement
	case statement.TimedOut:
		return dispatch.FaultTimeout
	case statement.Busy:
		return dispatch.FaultBusy
	default:
		return dispatch.FaultNone
	}
}
