package textfront

import (
	"strconv"
	"time"

	"gypsumdock/pkg/protocol/statement"
)

// refusalFailure returns the failure of a unit that got no upstream: nothing of
// it has run.
func refusalFailure(u *unit) statement.Failure {
	if u.denied.IsDenial() {
		return deniedFailure
	}
	if u.isOverRate() {
		return u.overRateFailure()
	}
	text := "not run"
	if u.refusal != nil {
		text = notRunText(u.refusal.Reason.String(), u.refusal.RetryAfter)
	}
	return statement.Failure{Code: statement.FailOverloaded, Text: text}
}

// notRunText returns the text of a refusal. retryAfter is when the caller may
// come back; zero if that is not known.
func notRunText(reason string, retryAfter time.Duration) string {
	text := "not run: " + reason
	if retryAfter > 0 {
		text += ", retry after " + strconv.FormatInt(retryAfter.Milliseconds(), 10) + " ms"
	}
	return text
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
