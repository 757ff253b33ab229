package textfront

import (
	"strconv"

	"gypsumdock/pkg/protocol/statement"
)

// refused returns the promise for a unit that was not placed.
func refused(u *unit) statement.Failure {
	text := "not run"
	if u.refusal != nil {
		text = "not run: " + u.refusal.Reason.String()
		if u.refusal.RetryAfter > 0 {
			text += ", retry after " + strconv.FormatInt(u.refusal.RetryAfter.Milliseconds(), 10) + " ms"
		}
	}
	return statement.Failure{Code: statement.FailOverloaded, Text: text}
}

// failureOf returns what a caller is told of a reason that ends a statement
// outside a transaction.
func failureOf(reason statement.Reason, writes bool) statement.FailureCode {
	switch reason {
	case statement.Faulted:
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
