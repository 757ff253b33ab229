package pgwire

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/verdict"
)

// Severities of an ErrorResponse.
const (
	SeverityError = "ERROR"
	SeverityFatal = "FATAL"
)

// ErrorResponse returns the message that a caller gets for e. SeverityFatal means
// that the connection ends.
func ErrorResponse(severity string, e *verdict.Error) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.SQLState(),
		Message:             e.Reason,
		Detail:              e.Detail(),
		Hint:                hint(e),
	}
}

// hint returns the caller's advice on a retry; empty when there is none.
func hint(e *verdict.Error) string {
	switch {
	case e.Outcome == verdict.MayHaveRun:
		return "Read the data back before sending the request again."
	case e.Outcome == verdict.NotRun && e.RetryAfter > 0:
		return fmt.Sprintf("The request can be sent again after %d ms.", e.RetryAfter.Milliseconds())
	default:
		return ""
	}
}
