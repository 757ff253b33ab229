package textfront

import (
	"time"

	"gypsumdock/pkg/protocol/statement"
)

// unconfirmedRetryAfter is the retry time given to a caller when neither this instance
// nor a server can tell whether the configuration is the newest. By then the members
// have asked the reader again.
const unconfirmedRetryAfter = time.Second

// unconfirmedFailure is the answer to a request that the configuration does not allow,
// while a newer one may.
var unconfirmedFailure = statement.Failure{
	Code: statement.FailOverloaded,
	Text: notRunText("the configuration is not confirmed", unconfirmedRetryAfter),
}

// unknownDatabase returns the answer to a request for a database to which no route
// leads.
func (s *session) unknownDatabase() statement.Failure {
	return s.orUnconfirmed(statement.Failure{Code: statement.FailNoDatabase, Text: "no route to this database"})
}

// orUnconfirmed returns the failure if the configuration was confirmed so recently that
// its refusal is final, and otherwise unconfirmedFailure: a newer configuration that
// allows the request may have to be in force.
func (s *session) orUnconfirmed(failure statement.Failure) statement.Failure {
	bound := s.server.config.ApplyTime
	dispatch := s.server.config.Dispatch
	_, confirmedAt := dispatch.ConfirmedCatalog()
	if bound == 0 || confirmedAt != 0 && dispatch.Now()-confirmedAt <= bound {
		return failure
	}
	return unconfirmedFailure
}
