package textfront

import (
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/dispatch"
)

// fault returns how an upstream failed a statement that should not fail.
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
