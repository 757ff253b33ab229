package textfront

import (
	"strconv"

	"gypsumdock/pkg/protocol/statement"
)

// refusalFailure returns the failure of a unit that got no upstream: nothing of
// it has run.
func refusalFailure(u *unit) statement.Failure {
	text := "not run"
	if u.refusal != nil {
		text = "not run: " + u.refusal.Reason.String()
		if u.refusal.RetryAfter > 0 {
			text += ", retry after " + strconv.FormatInt(u.refusal.RetryAfter.Milliseconds(), 10) + " ms"
		}
	}
	return statement.Failure{Code: statement.FailOverloaded, Text: text}
}

// failureCode returns the code that tells a caller why its statement outside a
// transaction failed.
func failureCode(reason statement.Reason, writes bool) statement.FailureCode {
	switch reason {
	case statement.StatementFailed:
		return statement.FailStatement
	case statement.Malformed:
		return statement.FailMalformed
	case statement.TimedOut:
		return statement.FailTimeout
	case statement.WrongUpstream, statement.TooManyConnections:
		return statement.FailOverloaded
	default:
		if writes {
			return statement.FailUnknown
		}
		return statement.FailTimeout
	}
}
